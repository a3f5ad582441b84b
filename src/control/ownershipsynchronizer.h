#pragma once

#include "common/time.h"
#include "control/rowcodec.h"
#include "membership/entryhosts.h"
#include "membership/ownership.h"
#include "ports/tableservice.h"

#include <functional>
#include <memory>
#include <vector>

namespace monsoonspool::control {

// Synchronizes the Ownership aggregate with the ownership rows in the table service:
// reads the rows, and writes claims, renewals and releases.
//
// A claim also writes the partition's fence row. Writes on behalf of a partition are
// conditional on the version of that row, so that they fail once a successor has
// claimed the partition.
//
// Not thread-safe: owned by the control thread.
class OwnershipSynchronizer
{
public:
    // Returns which hosts may own a partition, given the members.
    using Eligible
        = std::function<std::vector<EntryHostId>(const PartitionName &, std::span<const EntryHostId> members)>;

    OwnershipSynchronizer(membership::Ownership &ownership, membership::EntryHosts &hosts, ports::TableService &table,
                          const RowCodec &codec, Eligible eligible);
    ~OwnershipSynchronizer();
    OwnershipSynchronizer(const OwnershipSynchronizer &) = delete;
    OwnershipSynchronizer &operator=(const OwnershipSynchronizer &) = delete;

    void setPartitions(std::span<const PartitionName> partitions);

    // Reads the rows and writes claims and renewals, as far as they are due.
    void tick(TimePoint now);

    // Releases all partitions. Calls `done` when the write has succeeded or failed.
    void releaseAll(TimePoint now, std::function<void()> done);

    // Returns whether the last call to the table service succeeded.
    bool isStoreReachable() const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

// Returns the key of the row that fences writes for `partition`.
std::string fenceKey(const PartitionName &partition);

// Returns the value of the fence row while `epoch` is the latest.
std::string fenceValue(Epoch epoch);

} // namespace monsoonspool::control
