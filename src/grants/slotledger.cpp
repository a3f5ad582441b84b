#include "grants/slotledger.h"

#include <algorithm>

namespace monsoonspool::grants {

namespace {

// Number of holders that must report a target before it is suspect for others.
constexpr int MinReporters = 2;

} // namespace

int SlotLedger::Commitment::maxInUse() const
{
    return std::max({confirmed, offered, inUseOverLimit});
}

int SlotLedger::Holder::offeredSlots() const
{
    int n = 0;
    for (const auto &[target, commitment] : commitments) {
        n += unhealthy.contains(target) ? 0 : commitment.offered;
    }
    return n;
}

SlotLedger::SlotLedger(LedgerConfig config, TimePoint now)
    : m_epoch(config.epoch), m_times(config.times), m_maxHolders(std::max(1, config.maxHolders)),
      m_unknownUntil(config.hadPreviousOwner ? now + config.times.ownerLease + config.times.slotLifetime() : now)
{
    for (const auto &it : config.knownHolders) {
        auto &holder = m_holders[it];
        holder.isAdmitted = true;
        holder.mustReportHoldings = true;
        holder.expiresAt = m_unknownUntil;
    }
    shortenUnknownPeriod(now);
}

void SlotLedger::setTargets(std::span<const TargetCapacity> targets, TimePoint now)
{
    for (auto &[id, capacity] : m_targets) {
        capacity.isLeaving = true;
    }
    for (const auto &it : targets) {
        const bool isNew = m_targets.insert_or_assign(it.target, it).second;
        if (isNew && now < m_unknownUntil) {
            m_unknown.try_emplace(it.target, std::max(0, it.slots - committedSlots(it.target)));
        }
    }
    std::erase_if(m_targets,
                  [&](const auto &entry) { return entry.second.isLeaving && committedSlots(entry.first) == 0; });
}

void SlotLedger::setTimes(const GrantTimes &times)
{
    m_times = times;
}

Result<SlotOffer> SlotLedger::handle(const SlotRequest &request, TimePoint now)
{
    ++m_requestCount;
    if (request.appliedEpoch > m_epoch || request.holdingsEpoch > m_epoch) {
        ++m_refusedCount;
        return fail(ErrorKind::StaleEpoch, "holder has seen a later epoch than this ledger");
    }
    expire(now);
    auto &holder = m_holders[request.holder];
    if (!holder.isAdmitted) {
        holder.wanted = request.wanted;
        holder.expiresAt = now + m_times.slotLifetime();
        return fail(ErrorKind::Unauthorized, "holder is not admitted yet");
    }
    if (request.sequence <= holder.sequence || holder.isDead) {
        ++m_refusedCount;
        return fail(ErrorKind::Superseded,
                    "this or a later request of the holder was already answered, or the holder is dead");
    }
    holder.sequence = request.sequence;
    holder.wanted = request.isLeaving ? 0 : request.wanted;
    holder.isFar = request.isFar;
    holder.unhealthy = {request.unhealthy.begin(), request.unhealthy.end()};
    holder.slow = {request.slow.begin(), request.slow.end()};
    if (holder.mustReportHoldings && request.holdingsEpoch != m_epoch) {
        SlotOffer holdingsRequest{
            request.ledger, request.holder, request.sequence, m_epoch, Duration{0}, true, false, {}, {}};
        return holdingsRequest;
    }
    updateCommitments(holder, request);
    shortenUnknownPeriod(now);
    allocateConnections(holder);
    offerFairShare(request.holder, holder, now);
    holder.offeredSequence = request.sequence;
    holder.expiresAt = now + m_times.slotLifetime();
    return makeOffer(request, holder);
}

void SlotLedger::updateCommitments(Holder &holder, const SlotRequest &request)
{
    holder.appliedEpoch = request.appliedEpoch;
    if (holder.mustReportHoldings) {
        adoptHoldings(holder, request);
    } else {
        confirmOffer(holder, request);
    }
}

void SlotLedger::setCommitment(Commitment &commitment, const TargetId &target, const Commitment &next)
{
    m_committed[target] += next.maxInUse() - commitment.maxInUse();
    commitment = next;
}

void SlotLedger::confirmOffer(Holder &holder, const SlotRequest &request)
{
    const bool isLatestApplied = request.appliedEpoch == m_epoch && holder.offeredSequence != 0
        && request.appliedSequence == holder.offeredSequence;
    if (isLatestApplied) {
        holder.confirmedSequence = request.appliedSequence;
    }
    std::map<TargetId, int> inUseOverLimit;
    for (const auto &it : request.inUseOverLimit) {
        inUseOverLimit[it.target] = it.slots;
    }
    for (auto &[target, commitment] : holder.commitments) {
        Commitment next = commitment;
        if (isLatestApplied) {
            next.confirmed = commitment.offered;
        }
        next.offered = next.confirmed;
        const auto it = inUseOverLimit.find(target);
        next.inUseOverLimit = it == inUseOverLimit.end() ? 0 : it->second;
        setCommitment(commitment, target, next);
    }
}

void SlotLedger::adoptHoldings(Holder &holder, const SlotRequest &request)
{
    holder.mustReportHoldings = false;
    for (const auto &it : request.holdings) {
        auto &commitment = holder.commitments[it.target];
        Commitment next = commitment;
        next.confirmed = it.slots;
        next.offered = it.slots;
        next.connections = it.connections;
        setCommitment(commitment, it.target, next);
        m_connectionQuotas[it.target] += it.connections;
    }
    for (const auto &it : request.inUseOverLimit) {
        auto &commitment = holder.commitments[it.target];
        Commitment next = commitment;
        next.inUseOverLimit = it.slots;
        setCommitment(commitment, it.target, next);
    }
    for (const auto &[target, commitment] : holder.commitments) {
        if (const auto it = m_unknown.find(target); it != m_unknown.end()) {
            it->second = std::max(0, it->second - commitment.maxInUse());
        }
    }
}

// Unknown slots become free early once every known holder has reported, or died
// so long ago that none of its requests can still be running.
void SlotLedger::shortenUnknownPeriod(TimePoint now)
{
    if (now >= m_unknownUntil) {
        return;
    }
    TimePoint until = now;
    for (const auto &[id, holder] : m_holders) {
        if (holder.mustReportHoldings) {
            until = std::max(until, holder.expiresAt);
        }
    }
    m_unknownUntil = std::min(m_unknownUntil, until);
}

std::vector<HolderId> SlotLedger::holdersToAdmit() const
{
    std::vector<HolderId> ids;
    for (const auto &[id, holder] : m_holders) {
        if (!holder.isAdmitted) {
            ids.push_back(id);
        }
    }
    return ids;
}

void SlotLedger::admit(std::span<const HolderId> holders, TimePoint now)
{
    for (const auto &it : holders) {
        auto &holder = m_holders[it];
        holder.isAdmitted = true;
        holder.expiresAt = std::max(holder.expiresAt, now + m_times.slotLifetime());
    }
}

std::vector<HolderId> SlotLedger::admittedHolders() const
{
    std::vector<HolderId> ids;
    for (const auto &[id, holder] : m_holders) {
        if (holder.isAdmitted) {
            ids.push_back(id);
        }
    }
    return ids;
}

void SlotLedger::markProcessDead(const EntryHostId &host, std::uint64_t incarnation, TimePoint now)
{
    for (auto &[id, holder] : m_holders) {
        if (id.host == host && id.incarnation <= incarnation && !holder.isDead) {
            holder.isDead = true;
            holder.expiresAt = std::min(holder.expiresAt, now + m_times.slotLifetimeAfterDeath());
        }
    }
    shortenUnknownPeriod(now);
}

std::vector<HolderId> SlotLedger::expire(TimePoint now)
{
    std::vector<HolderId> expired;
    for (auto it = m_holders.begin(); it != m_holders.end();) {
        if (it->second.expiresAt > now) {
            ++it;
            continue;
        }
        for (const auto &[target, commitment] : it->second.commitments) {
            m_committed[target] -= commitment.maxInUse();
            m_connectionQuotas[target] -= commitment.connections;
        }
        expired.push_back(it->first);
        it = m_holders.erase(it);
    }
    return expired;
}

void SlotLedger::allocateConnections(Holder &holder)
{
    for (const auto &[id, capacity] : m_targets) {
        auto &commitment = holder.commitments[id];
        if (commitment.connections > 0) {
            continue;
        }
        const int share = std::max(1, capacity.connections / m_maxHolders);
        const int available = std::max(0, capacity.connections - m_connectionQuotas[id]);
        commitment.connections = std::min(share, available);
        m_connectionQuotas[id] += commitment.connections;
    }
}

void SlotLedger::offerFairShare(const HolderId &id, Holder &holder, TimePoint now)
{
    const int share = holder.wanted == 0 ? 0 : fairShareOf(id);
    limitToProbes(holder);
    const int excess = holder.offeredSlots() - share;
    if (excess > 0) {
        shrink(holder, excess);
    } else {
        const int missing = grow(holder, -excess, false, now);
        grow(holder, missing, true, now);
    }
    revokeRemovedTargets(holder);
}

int SlotLedger::usableSlots() const
{
    int n = 0;
    for (const auto &[id, capacity] : m_targets) {
        n += capacity.isLeaving || isUnhealthyForMost(id) ? 0 : capacity.slots;
    }
    return n;
}

bool SlotLedger::isUnhealthyForMost(const TargetId &target) const
{
    const auto n
        = std::ranges::count_if(m_holders, [&](const auto &entry) { return entry.second.unhealthy.contains(target); });
    return 2 * static_cast<std::size_t>(n) > m_holders.size();
}

// Reduces the offer on each target that fails the holder to one slot, for probes.
void SlotLedger::limitToProbes(Holder &holder)
{
    for (const auto &target : holder.unhealthy) {
        const auto it = holder.commitments.find(target);
        if (it != holder.commitments.end() && it->second.offered > 1) {
            Commitment next = it->second;
            next.offered = 1;
            setCommitment(it->second, target, next);
        }
    }
}

// Max-min fair allocation: no holder gets more than it wants, and the holders that
// cannot get all they want share the slots evenly. Subtracts the allocated slots from `slots`.
std::map<HolderId, int> SlotLedger::divideMaxMin(std::vector<std::pair<int, HolderId>> wanted, int &slots)
{
    std::ranges::sort(wanted);
    std::map<HolderId, int> shares;
    int n = static_cast<int>(wanted.size());
    for (const auto &[want, id] : wanted) {
        const int granted = std::min(want, (slots + n - 1) / n);
        slots -= granted;
        shares[id] = granted;
        --n;
    }
    return shares;
}

// Near holders are served first, far holders share the rest. Slots that are still
// left are spread evenly over the near holders, so that these can start their next
// requests without waiting for an offer.
int SlotLedger::fairShareOf(const HolderId &id) const
{
    std::vector<std::pair<int, HolderId>> near;
    std::vector<std::pair<int, HolderId>> far;
    for (const auto &[holderId, holder] : m_holders) {
        if (holder.wanted > 0 && !holder.isDead) {
            (holder.isFar ? far : near).emplace_back(holder.wanted, holderId);
        }
    }
    int left = usableSlots();
    const auto nearShares = divideMaxMin(near, left);
    const auto farShares = divideMaxMin(far, left);
    const auto it = nearShares.find(id);
    if (it != nearShares.end()) {
        return it->second + left / static_cast<int>(nearShares.size());
    }
    const auto farIt = farShares.find(id);
    return farIt == farShares.end() ? 0 : farIt->second;
}

int SlotLedger::committedSlots(const TargetId &target) const
{
    const auto it = m_committed.find(target);
    return it == m_committed.end() ? 0 : it->second;
}

int SlotLedger::unknownSlots(const TargetId &target, TimePoint now) const
{
    const auto it = m_unknown.find(target);
    return now >= m_unknownUntil || it == m_unknown.end() ? 0 : it->second;
}

int SlotLedger::freeSlots(const TargetCapacity &target, TimePoint now) const
{
    if (target.isLeaving) {
        return 0;
    }
    return std::max(0, target.slots - committedSlots(target.target) - unknownSlots(target.target, now));
}

// Removes one slot at a time from the target with the most offered slots, so that
// the holder's load stays spread over the targets.
void SlotLedger::shrink(Holder &holder, int excess)
{
    std::vector<Commitment *> largest;
    for (auto &[target, commitment] : holder.commitments) {
        if (commitment.offered > 0) {
            largest.push_back(&commitment);
        }
    }
    const auto less = [](const Commitment *a, const Commitment *b) { return a->offered < b->offered; };
    std::ranges::make_heap(largest, less);
    for (; excess > 0 && !largest.empty(); --excess) {
        std::ranges::pop_heap(largest, less);
        // The applied offer stays committed, so m_committed need not be updated.
        if (--largest.back()->offered == 0) {
            largest.pop_back();
        } else {
            std::ranges::push_heap(largest, less);
        }
    }
}

// Adds one slot at a time on the target with the most free slots. Returns the number
// of slots that were not available.
int SlotLedger::grow(Holder &holder, int missing, bool isSlowAllowed, TimePoint now)
{
    struct Candidate
    {
        const TargetCapacity *capacity;
        Commitment *commitment;
        int available;
    };
    std::vector<Candidate> candidates;
    for (const auto &[id, capacity] : m_targets) {
        if (missing <= 0 || holder.unhealthy.contains(id) || (!isSlowAllowed && holder.slow.contains(id))) {
            continue;
        }
        auto &commitment = holder.commitments[id];
        // Slots already committed to this holder can be offered to it again.
        const int reusable = capacity.isLeaving ? 0 : commitment.maxInUse() - commitment.offered;
        const int available
            = std::min(freeSlots(capacity, now) + reusable, commitment.connections - commitment.offered);
        if (available > 0) {
            candidates.push_back({&capacity, &commitment, available});
        }
    }
    const auto less = [](const Candidate &a, const Candidate &b) { return a.available < b.available; };
    std::ranges::make_heap(candidates, less);
    for (; missing > 0 && !candidates.empty(); --missing) {
        std::ranges::pop_heap(candidates, less);
        auto &it = candidates.back();
        Commitment next = *it.commitment;
        ++next.offered;
        setCommitment(*it.commitment, it.capacity->target, next);
        if (--it.available == 0) {
            candidates.pop_back();
        } else {
            std::ranges::push_heap(candidates, less);
        }
    }
    return missing;
}

void SlotLedger::revokeRemovedTargets(Holder &holder)
{
    for (auto &[target, commitment] : holder.commitments) {
        const auto it = m_targets.find(target);
        if (it == m_targets.end() || it->second.isLeaving) {
            Commitment next = commitment;
            next.offered = 0;
            setCommitment(commitment, target, next);
        }
    }
    std::erase_if(holder.commitments, [&](const auto &entry) {
        const bool isRemoved = entry.second.maxInUse() == 0 && !m_targets.contains(entry.first);
        if (isRemoved) {
            m_connectionQuotas[entry.first] -= entry.second.connections;
        }
        return isRemoved;
    });
}

std::vector<TargetId> SlotLedger::suspectTargetsFor(const HolderId &id) const
{
    std::map<TargetId, int> reporters;
    for (const auto &[holderId, holder] : m_holders) {
        if (holderId == id) {
            continue;
        }
        for (const auto &target : holder.unhealthy) {
            ++reporters[target];
        }
        for (const auto &target : holder.slow) {
            ++reporters[target];
        }
    }
    std::vector<TargetId> suspects;
    for (const auto &[target, n] : reporters) {
        if (n >= MinReporters) {
            suspects.push_back(target);
        }
    }
    return suspects;
}

SlotOffer SlotLedger::makeOffer(const SlotRequest &request, const Holder &holder) const
{
    SlotOffer offer;
    offer.ledger = request.ledger;
    offer.holder = request.holder;
    offer.sequence = request.sequence;
    offer.epoch = m_epoch;
    offer.startWindow = m_times.startWindow;
    offer.suspects = suspectTargetsFor(request.holder);
    // An offer from before the holder expired and was admitted again is not counted here.
    offer.isUnchanged = request.appliedEpoch == m_epoch && holder.confirmedSequence != 0
        && request.appliedSequence == holder.confirmedSequence;
    for (const auto &[target, commitment] : holder.commitments) {
        offer.isUnchanged = offer.isUnchanged && commitment.offered == commitment.confirmed;
    }
    if (offer.isUnchanged) {
        return offer;
    }
    for (const auto &[target, commitment] : holder.commitments) {
        if (commitment.offered > 0) {
            offer.slots.push_back({target, commitment.offered, commitment.connections});
        }
    }
    return offer;
}

std::vector<HolderId> SlotLedger::holdersToRecall() const
{
    std::vector<HolderId> recalled;
    bool hasUnmetDemand = false;
    for (const auto &[id, holder] : m_holders) {
        const int share = fairShareOf(id);
        const int offered = holder.offeredSlots();
        hasUnmetDemand = hasUnmetDemand || (holder.wanted > offered && share > offered);
        if (offered > share && !holder.isDead) {
            recalled.push_back(id);
        }
    }
    return hasUnmetDemand ? recalled : std::vector<HolderId>{};
}

LedgerSummary SlotLedger::summary(TimePoint now) const
{
    LedgerSummary summary;
    summary.targets = static_cast<int>(m_targets.size());
    summary.holders = static_cast<int>(m_holders.size());
    summary.slots = usableSlots();
    for (const auto &[target, n] : m_committed) {
        summary.committed += n;
    }
    for (const auto &[target, capacity] : m_targets) {
        summary.unknown += unknownSlots(target, now);
    }
    summary.requests = m_requestCount;
    summary.refused = m_refusedCount;
    return summary;
}

} // namespace monsoonspool::grants
