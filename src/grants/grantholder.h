#pragma once

#include "common/error.h"
#include "grants/slotmessages.h"

#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace monsoonspool::grants {

// The slots granted to a holder on one target, and their current use.
struct HeldSlots
{
    TargetId target;
    int allowed = 0; // limit set by the last applied offer
    int inUse = 0; // may exceed `allowed` after a grant was reduced, until requests finish
    int connections = 0; // maximum number of open connections
};

// The client side of the slot protocol: tracks the slots that one ledger has
// granted to one traffic thread.
//
// Invariants:
//  - A request starts only within the start window of the last applied offer.
//    The window is measured from the time at which the request that the offer
//    answers was sent.
//  - A request to the ledger names and reports the applied offer only while its start
//    window is open, so that no ledger confirms or adopts slots that have expired.
//  - Only the offer for the latest request is accepted, and only if its epoch is
//    not lower than the highest epoch seen.
//  - Starting a request acquires one slot, which is released exactly once.
//
// Not thread-safe: owned by one traffic thread.
class GrantHolder
{
public:
    // `isFar` is true if the ledger belongs to another region.
    GrantHolder(LedgerKey ledger, HolderId holder, bool isFar = false);

    // Returns the request to send now, if one is due. A request is due as soon as
    // `wanted` exceeds the held slots, after a recall, or when a new owner asked
    // for the current holdings; otherwise periodically, to renew the start window.
    std::optional<SlotRequest> nextRequest(int wanted, bool isLeaving, TimePoint now);

    // Makes a request due regardless of demand. nextRequest() still observes the
    // minimum interval and waits for an outstanding offer.
    void recall()
    {
        m_isRecalled = true;
    }

    // Applies `offer`.
    // Fails without side effects: with StaleEpoch if the offer comes from a
    // previous owner, with Superseded if it does not answer the latest request.
    Result<void> accept(const SlotOffer &offer);

    // Returns whether the start window is open.
    bool isStartWindowOpen(TimePoint now) const
    {
        return now < m_windowEnd;
    }

    // Returns the held slots. Only accept() changes the order of the targets.
    std::span<const HeldSlots> slots() const
    {
        return m_slots;
    }

    // Acquires a slot on the target at `index` in slots(). Returns false if the start
    // window is closed or no slot is free.
    bool tryAcquire(std::size_t index, TimePoint now);

    // Releases one acquired slot on `target`.
    void release(const TargetId &target);

    int heldCount() const;
    int inUseCount() const;
    const LedgerKey &ledger() const
    {
        return m_ledger;
    }
    Epoch epoch() const
    {
        return m_appliedEpoch;
    }

private:
    bool isRequestDue(int wanted, bool isLeaving, TimePoint now) const;
    void discardOffer();
    void apply(std::span<const SlotCount> offered);

    LedgerKey m_ledger;
    HolderId m_holder;
    bool m_isFar;
    std::vector<HeldSlots> m_slots;
    std::unordered_map<TargetId, std::size_t> m_indexOf;
    std::uint64_t m_sequence = 0;
    bool m_isAwaitingOffer = false;
    TimePoint m_sentAt;
    int m_sentWanted = 0;
    bool m_isRecalled = false;
    Epoch m_highestEpoch;
    Epoch m_appliedEpoch;
    std::uint64_t m_appliedSequence = 0;
    TimePoint m_windowEnd;
    Epoch m_holdingsEpoch;
};

} // namespace monsoonspool::grants
