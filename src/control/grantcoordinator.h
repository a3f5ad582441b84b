#pragma once

#include "common/time.h"
#include "control/ports.h"
#include "control/rowcodec.h"
#include "documents/documentset.h"
#include "grants/slotledger.h"
#include "membership/entryhosts.h"
#include "membership/ownership.h"
#include "ports/hostlist.h"
#include "ports/tableservice.h"

#include <memory>
#include <span>
#include <utility>
#include <vector>

namespace monsoonspool::control {

struct GrantCoordinatorOptions
{
    EntryHostId host;
    std::uint64_t incarnation = 0;
    int maxHolders = 9;
    Duration startWindow = 660s;
    int shardsPerRegion = 4;
};

// Returns the partition that contains `ledger`.
PartitionName ledgerPartition(const grants::LedgerKey &ledger, int shardsPerRegion);

// Returns all ledger partitions of `region`.
std::vector<PartitionName> ledgerPartitions(const RegionName &region, int shardsPerRegion);

// Returns the region of a ledger partition, empty for other partitions.
RegionName regionOfPartition(const PartitionName &partition);

// Routes slot messages between the lanes of this host and the owners of the ledgers,
// and keeps the ledgers of the partitions owned here.
//
// A ledger makes decisions only while this host owns its partition and the lease is
// valid. Admitting a holder writes a row in a commit conditional on the partition's
// fence row, so that a former owner cannot admit holders.
//
// Not thread-safe: owned by the control thread.
class GrantCoordinator
{
public:
    GrantCoordinator(GrantCoordinatorOptions options, membership::Ownership &ownership, ports::TableService &table,
                     const RowCodec &codec, PeerLink &peers, LaneLink &lanes);
    ~GrantCoordinator();
    GrantCoordinator(const GrantCoordinator &) = delete;
    GrantCoordinator &operator=(const GrantCoordinator &) = delete;

    // Handles a change of ownership.
    void noteOwnership(const membership::OwnershipEvent &event, TimePoint now);

    // Replaces the pools, as the documents define them, and their targets.
    void setPools(std::span<const documents::ServiceDocument> documents, std::span<const ports::ListedTarget> targets,
                  TimePoint now);

    // Handles a request from a lane of this host, or from a peer.
    void handleRequest(const grants::SlotRequest &request, TimePoint now);

    // Forward an offer or a recall to a lane of this host.
    void handleOffer(const grants::SlotOffer &offer);
    void handleRecall(const SlotRecall &recall);

    // Records that the process of `host` with `incarnation`, and all before it, have died.
    void noteDead(const EntryHostId &host, std::uint64_t incarnation, TimePoint now);

    // Runs the periodic work: admissions, lapses and recalls.
    void tick(TimePoint now);

    std::vector<std::pair<grants::LedgerKey, grants::LedgerSummary>> summary(TimePoint now) const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace monsoonspool::control
