#pragma once

#include "common/error.h"
#include "common/identifiers.h"
#include "common/time.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <vector>

namespace monsoonspool::membership {

// The row of a partition in the table service, which is authoritative for its owner.
struct OwnershipRow
{
    EntryHostId owner; // empty after the last owner has released it
    std::uint64_t incarnation = 0; // of the owner
    Epoch epoch;
    std::uint64_t beat = 0; // increases with each renewal
};

// A write of one ownership row that should be made now.
struct OwnershipWrite
{
    PartitionName partition;
    std::uint64_t expectedVersion = 0;
    OwnershipRow row;
};

enum class OwnershipChange {
    Gained,
    Lost,
};

struct OwnershipEvent
{
    PartitionName partition;
    OwnershipChange change = OwnershipChange::Gained;
    Epoch epoch;
    bool hadOwnerBefore = false; // grants or tasks of an earlier epoch may exist
    std::uint64_t claimVersion = 0; // version of the rows that the claim wrote
};

// One partition as shown in the state dump.
struct OwnershipSummary
{
    PartitionName partition;
    OwnershipRow row;
    bool isOwnedHere = false;
};

// How long an owner may decide after it sent its last successful renewal. Longer than
// a commit takes when the table service is slow.
constexpr Duration OwnerLease = 12s;

// Tracks which partitions this host owns.
//
// Each partition has one row (owner, epoch, beat). The owner renews the beat; a
// host takes a partition over by a compare-and-set that raises the epoch, when
//  - the owner has released it, or there was none, or
//  - the row has not changed for RowStaleAfter by this host's own clock, and the
//    owner's heartbeats are missing too.
// The heartbeat condition keeps ownership from flapping when only the network or
// only the store fails. The candidates claim in the order of their rendezvous rank.
// An unnecessary takeover costs time but not safety, which rests on the epoch:
// receivers refuse orders with a lower one.
//
// mayDecide() tells whether an owner may still decide: for OwnerLease after it sent
// its last successful renewal, or after all other hosts last reported that they
// cannot reach the table, because then none of them can have claimed. A successor
// accounts for everything that may have been granted until then.
//
// Not thread-safe: owned by the control thread.
class Ownership
{
public:
    Ownership(EntryHostId self, std::uint64_t incarnation);

    // Adds the partitions that are not known yet.
    void setPartitions(std::span<const PartitionName> partitions);

    // Records a row as read from the table; nullopt if it does not exist.
    void noteRow(const PartitionName &partition, const std::optional<OwnershipRow> &row, std::uint64_t version,
                 TimePoint now);

    // Returns the hosts that may own a partition.
    using Candidates = std::function<std::vector<EntryHostId>(const PartitionName &)>;

    // Returns the claims to write now, each in a commit of its own, so that a conflict
    // on one does not fail the others.
    std::vector<OwnershipWrite> dueClaims(const Candidates &candidates, std::span<const EntryHostId> healthyHosts,
                                          TimePoint now);
    // Returns the renewals to write now, in one commit.
    std::vector<OwnershipWrite> dueRenewals(TimePoint now);

    // Returns the writes that release all partitions owned here.
    std::vector<OwnershipWrite> releases();

    // Records the result of writes that were sent at `sentAt`.
    void noteWritten(std::span<const OwnershipWrite> writes, std::uint64_t version, TimePoint sentAt, TimePoint now);
    void noteFailed(std::span<const OwnershipWrite> writes, ErrorKind kind, TimePoint now);

    // Records that no host reaches the table, so that no other host can have claimed a
    // partition until now. A lease that has already expired is not extended.
    void noteStoreUnreachableForAll(TimePoint now);

    // Returns the ownership changes since the last call, and clears them.
    std::vector<OwnershipEvent> takeEvents();

    // Returns the epoch of `partition` if this host owns it.
    std::optional<Epoch> ownedEpoch(const PartitionName &partition) const;

    // Returns whether this host owns `partition` and its lease has not expired.
    bool mayDecide(const PartitionName &partition, TimePoint now) const;

    // Returns the owner of `partition` as last read, if any.
    std::optional<EntryHostId> ownerOf(const PartitionName &partition) const;

    // Records a peer's report that `owner` owns `partition` at `epoch`.
    void noteOwner(const PartitionName &partition, const EntryHostId &owner, Epoch epoch);

    std::vector<OwnershipSummary> summary() const;
    const EntryHostId &self() const
    {
        return m_self;
    }

private:
    struct Partition
    {
        bool isKnown = false; // its row has been read at least once
        bool hasRow = false;
        OwnershipRow row;
        std::uint64_t version = 0;
        TimePoint changedAt; // when this host first saw this version
        bool isOwned = false;
        bool isWriting = false;
        TimePoint renewedAt;
        TimePoint confirmedAt; // last time at which certainly no other host had claimed it
        TimePoint retryAt;
    };

    bool isClaimable(const Partition &partition, std::span<const EntryHostId> healthyHosts, TimePoint now,
                     Duration delay) const;
    void markLost(const PartitionName &name, Partition &partition);

    EntryHostId m_self;
    std::uint64_t m_incarnation;
    std::map<PartitionName, Partition> m_partitions;
    std::vector<OwnershipEvent> m_events;
};

} // namespace monsoonspool::membership
