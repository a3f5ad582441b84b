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

struct GrantDeskOptions
{
    EntryHostId host;
    std::uint64_t incarnation = 0;
    int maxHolders = 9;
    Duration startWindow = 660s;
    int shardsPerRegion = 4;
};

// Returns the partition that the ledger of a pool in a region belongs to.
PartitionName ledgerPartition(const grants::LedgerKey &ledger, int shardsPerRegion);

// Returns all partitions of ledgers in `region`.
std::vector<PartitionName> ledgerPartitions(const RegionName &region, int shardsPerRegion);

// Returns the region of a partition of ledgers, empty for another partition.
RegionName regionOfPartition(const PartitionName &partition);

// Carries slot messages between the lanes of this host and the ledgers, wherever
// they are owned, and keeps the ledgers of the partitions owned here.
//
// A ledger decides only while its partition is owned and renewed. A holder is
// admitted by a row whose write is bound to the partition's fence, so that a
// former owner admits nobody.
//
// Not thread-safe: owned by the control thread.
class GrantDesk
{
public:
    GrantDesk(GrantDeskOptions options, membership::Ownership &ownership, ports::TableService &table,
              const RowCodec &codec, PeerLink &peers, LaneLink &lanes);
    ~GrantDesk();
    GrantDesk(const GrantDesk &) = delete;
    GrantDesk &operator=(const GrantDesk &) = delete;

    // Takes in a change of ownership.
    void noteOwnership(const membership::OwnershipEvent &event, TimePoint now);

    // Takes in the documents and the targets.
    void setWorld(std::span<const documents::ServiceDocument> documents, std::span<const ports::ListedTarget> targets,
                  TimePoint now);

    // Takes in a request from a lane of this host, or from a peer.
    void handleRequest(const grants::SlotRequest &request, TimePoint now);

    // Takes in an offer or a recall for a lane of this host.
    void handleOffer(const grants::SlotOffer &offer);
    void handleRecall(const SlotRecall &recall);

    // Notes that the process of `host` has died.
    void noteDead(const EntryHostId &host, std::uint64_t incarnation, TimePoint now);

    // Does what is due: admissions, lapses and recalls.
    void tick(TimePoint now);

    std::vector<std::pair<grants::LedgerKey, grants::LedgerSummary>> summary(TimePoint now) const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace monsoonspool::control
