#pragma once

#include "admission/admissionqueue.h"
#include "common/error.h"
#include "grants/grantholder.h"
#include "routing/targetchooser.h"
#include "routing/targethealth.h"

#include <memory>
#include <optional>
#include <string_view>
#include <vector>

namespace monsoonspool::routing {

// A slot acquired for one request.
struct AcquiredSlot
{
    grants::LedgerKey ledger;
    TargetId target;
    int connections = 1; // maximum number of open connections of the holder to the target
};

// The slots of a pool at one locality level, either in the local region or in all
// other regions, and the queue of the requests that wait for them.
//
// Not thread-safe: owned by one traffic thread.
class SlotTier
{
public:
    // `isFar` is true for the tier of the other regions.
    SlotTier(std::span<const admission::FlowPlan> flows, std::string_view discipline, bool isFar);

    admission::AdmissionQueue &queue()
    {
        return m_queue;
    }
    const admission::AdmissionQueue &queue() const
    {
        return m_queue;
    }

    // Adds a holder for the ledger of a region, if there is none yet.
    void addRegion(const grants::LedgerKey &ledger, const grants::HolderId &holder);

    // Returns the holder for `ledger`, or nullptr if there is none.
    grants::GrantHolder *find(const grants::LedgerKey &ledger);
    std::span<grants::GrantHolder> holders()
    {
        return m_holders;
    }
    std::span<const grants::GrantHolder> holders() const
    {
        return m_holders;
    }

    // Acquires a free slot. Uses the target `avoid` only if no other has a free slot.
    std::optional<AcquiredSlot> tryAcquire(TargetChooser &chooser, TargetHealth &health, const TargetId &avoid,
                                           TimePoint now);

    // Releases an acquired slot.
    void release(const AcquiredSlot &slot);

    // Returns the number of free slots on targets that may receive requests now.
    int freeCount(const TargetHealth &health, TimePoint now) const;
    int heldCount() const;
    int inUseCount() const;

private:
    bool m_isFar;
    admission::AdmissionQueue m_queue;
    std::vector<grants::GrantHolder> m_holders;
    std::vector<TargetCandidate> m_candidates;
    struct SlotPosition
    {
        std::size_t holder = 0; // index in m_holders
        std::size_t slot = 0; // index in GrantHolder::slots()
    };
    std::vector<SlotPosition> m_positions;
};

} // namespace monsoonspool::routing
