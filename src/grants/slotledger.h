#pragma once

#include "common/error.h"
#include "common/identifiers.h"
#include "common/time.h"
#include "grants/slotmessages.h"

#include <algorithm>
#include <map>
#include <set>
#include <span>
#include <vector>

namespace monsoonspool::grants {

// The capacity of a target that the ledger allocates.
struct TargetCapacity
{
    TargetId target;
    int slots = 0;
    int connections = 0;
    bool isLeaving = false; // draining; gets no new requests
};

// The time bounds that guarantee that a slot is never granted twice.
struct GrantTimes
{
    Duration startWindow = 660s; // how long after a renewal a holder may start requests
    Duration timeLimit = 30s; // maximum execution time of a request
    Duration ownerLease = 12s; // how long after a renewal an owner may send offers
    Duration clockMargin = 500ms; // maximum drift between two clocks over the times above

    // Returns how long a slot stays committed after the owner's last offer: until its
    // requests have ended, and until this owner has lost its lease if the holder has
    // reported the slot to a new owner at the end of its start window.
    Duration slotLifetime() const
    {
        return startWindow + std::max(timeLimit, ownerLease) + clockMargin;
    }
    // Returns how long a slot may stay in use after the holder's process has died.
    Duration slotLifetimeAfterDeath() const
    {
        return timeLimit + clockMargin;
    }
};

// The initial state and configuration of a ledger.
struct LedgerConfig
{
    Epoch epoch;
    GrantTimes times;
    int maxHolders = 9; // the connections of a target are divided by this
    bool hadPreviousOwner = false; // slots may be in use that this ledger has not granted
    std::vector<HolderId> knownHolders; // admitted by previous owners
};

// Ledger statistics for the state dump.
struct LedgerSummary
{
    int targets = 0;
    int holders = 0;
    int slots = 0;
    int committed = 0;
    int unknown = 0; // slots that a previous owner may have granted
    std::uint64_t requests = 0;
    std::uint64_t refused = 0; // requests with a stale epoch or an old sequence number
};

// Allocates the slots of a pool's targets to holders. Guarantees that the slots
// in use on a target never exceed its capacity, even if messages are lost,
// delayed, duplicated or reordered.
//
// Protocol: a holder sends requests with increasing sequence numbers. The ledger
// answers each with an offer that sets the absolute number of slots the holder
// may use on each target. A holder accepts only the offer for its latest request.
// A request names the last applied offer, which invalidates all others: the holder
// can then use no more than that offer plus the requests that it reports as still
// running above it. Until the next request names the applied offer, the ledger
// counts the maximum of these and of the new offer as committed.
//
// Expiry: the slots of a holder that sends no more requests stay committed for
// GrantTimes::slotLifetime() after its last offer, or for
// GrantTimes::slotLifetimeAfterDeath() after its process is known to have died. A
// holder measures its start window from the time at which it sent the request. That
// is before the ledger made the offer, so the holder always stops first.
//
// Change of owner: a holder is admitted with a persistent record before its first
// offer, so a new owner knows every holder that may have slots. It asks each one
// for its holdings. Capacity that no holder has reported counts as in use until all
// holders have reported or expired, or until every offer of the previous owner has
// expired.
//
// Target health: holders report unhealthy and slow targets. A holder is offered one
// slot, for probes, on a target that is unhealthy for it, and slots on a target that
// is slow for it only when no others are left. Targets that at least two other
// holders report as unhealthy or slow are sent to it as suspects.
//
// Connections: each holder gets a connection quota on a target when it first
// appears, and keeps it until it expires. The quotas on a target never exceed its
// connection limit, and a holder is never offered more slots on a target than its
// quota there.
//
// Not thread-safe: owned by the control thread. Memory is proportional to
// targets times holders; one call takes time proportional to the targets.
class SlotLedger
{
public:
    SlotLedger(LedgerConfig config, TimePoint now);

    // Replaces the set of targets. A target that is no longer listed is kept as
    // leaving until none of its slots is committed.
    void setTargets(std::span<const TargetCapacity> targets, TimePoint now);

    // Sets the time bounds of future offers.
    void setTimes(const GrantTimes &times);

    // Answers a holder's request with an offer.
    // Fails with StaleEpoch if the holder has seen a higher epoch, with
    // Superseded if this or a later request of the holder was already answered or
    // its process has died, and with Unauthorized if the holder is not admitted yet.
    Result<SlotOffer> handle(const SlotRequest &request, TimePoint now);

    // Returns the holders that have requested slots but are not admitted yet.
    std::vector<HolderId> holdersToAdmit() const;

    // Admits holders whose persistent record has been written.
    void admit(std::span<const HolderId> holders, TimePoint now);

    // Records that the process of `host` with this or an earlier incarnation has died.
    void markProcessDead(const EntryHostId &host, std::uint64_t incarnation, TimePoint now);

    // Removes expired holders and their commitments. Returns the removed holders.
    std::vector<HolderId> expire(TimePoint now);

    // Returns the holders above their fair share while another holder lacks slots.
    // Each should be told to send a request now.
    std::vector<HolderId> holdersToRecall() const;

    Epoch epoch() const
    {
        return m_epoch;
    }
    std::vector<HolderId> admittedHolders() const;
    LedgerSummary summary(TimePoint now) const;

    // Returns an upper bound on the slots of `target` in use.
    int committedSlots(const TargetId &target) const;

private:
    struct Commitment
    {
        int confirmed = 0; // granted by the last offer that the holder confirmed
        int offered = 0; // granted by the latest offer
        int inUseOverLimit = 0; // requests in use, if they exceed the applied offer
        int connections = 0; // quota

        // Returns the maximum number of slots that the holder may be using.
        int maxInUse() const;
    };
    struct Holder
    {
        bool isAdmitted = false;
        std::uint64_t sequence = 0; // of the latest request
        std::uint64_t offeredSequence = 0; // of the latest offer; 0 before the first
        std::uint64_t confirmedSequence = 0; // of the last offer that the holder confirmed; 0 before the first
        Epoch appliedEpoch;
        int wanted = 0;
        bool isFar = false; // gets only slots that the near holders leave
        std::set<TargetId> unhealthy; // reported as unhealthy
        std::set<TargetId> slow; // reported as slow
        bool mustReportHoldings = false; // may hold slots of an earlier epoch
        bool isDead = false;
        TimePoint expiresAt;
        std::map<TargetId, Commitment> commitments;

        // Returns the offered slots on targets that do not fail the holder.
        int offeredSlots() const;
    };

    void updateCommitments(Holder &holder, const SlotRequest &request);
    void confirmOffer(Holder &holder, const SlotRequest &request);
    void adoptHoldings(Holder &holder, const SlotRequest &request);
    void shortenUnknownPeriod(TimePoint now);
    void setCommitment(Commitment &commitment, const TargetId &target, const Commitment &next);
    void allocateConnections(Holder &holder);
    void offerFairShare(const HolderId &id, Holder &holder, TimePoint now);
    void revokeRemovedTargets(Holder &holder);
    void shrink(Holder &holder, int excess);
    int grow(Holder &holder, int missing, bool isSlowAllowed, TimePoint now);
    void limitToProbes(Holder &holder);
    bool isUnhealthyForMost(const TargetId &target) const;
    std::vector<TargetId> suspectTargetsFor(const HolderId &id) const;
    SlotOffer makeOffer(const SlotRequest &request, const Holder &holder) const;
    int fairShareOf(const HolderId &id) const;
    static std::map<HolderId, int> divideMaxMin(std::vector<std::pair<int, HolderId>> wanted, int &slots);
    int unknownSlots(const TargetId &target, TimePoint now) const;
    int freeSlots(const TargetCapacity &target, TimePoint now) const;
    int usableSlots() const;

    Epoch m_epoch;
    GrantTimes m_times;
    int m_maxHolders;
    TimePoint m_unknownUntil; // until then `m_unknown` counts as in use
    std::map<TargetId, TargetCapacity> m_targets;
    std::map<TargetId, int> m_unknown; // slots that a previous owner may have granted
    std::map<TargetId, int> m_committed; // sum of the bounds of all holders
    std::map<TargetId, int> m_connectionQuotas; // sum of the connection quotas of all holders
    std::map<HolderId, Holder> m_holders;
    std::uint64_t m_requestCount = 0;
    std::uint64_t m_refusedCount = 0;
};

} // namespace monsoonspool::grants
