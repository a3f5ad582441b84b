#include "grants/grantholder.h"

#include <algorithm>
#include <utility>

namespace monsoonspool::grants {

namespace {

// A request without an offer after this time is considered lost.
constexpr Duration AnswerTimeout = 400ms;
// Minimum time between two requests, however often the demand changes.
constexpr Duration MinRequestInterval = 20ms;
// Maximum time between two requests; each one renews the start window.
constexpr Duration MaxRequestInterval = 1s;
// Slots are returned early only if demand has dropped by more than this since the
// last request; smaller excess is returned with the next periodic request.
constexpr int ShrinkThreshold = 4;

} // namespace

GrantHolder::GrantHolder(LedgerKey ledger, HolderId holder, bool isFar)
    : m_ledger(std::move(ledger)), m_holder(std::move(holder)), m_isFar(isFar)
{
}

bool GrantHolder::isRequestDue(int wanted, bool isLeaving, TimePoint now) const
{
    const Duration age = now - m_sentAt;
    if (m_sequence == 0 || (m_isAwaitingOffer && age >= AnswerTimeout)) {
        return true;
    }
    if (m_isAwaitingOffer || age < MinRequestInterval) {
        return false;
    }
    const bool hasUnmetDemand = wanted > heldCount() && wanted > m_sentWanted;
    const bool hasExcess = wanted + ShrinkThreshold < m_sentWanted;
    const bool mustLeave = isLeaving && heldCount() > 0;
    const bool mustReportHoldings = m_holdingsEpoch > m_appliedEpoch;
    return m_isRecalled || hasUnmetDemand || hasExcess || mustLeave || mustReportHoldings || age >= MaxRequestInterval;
}

std::optional<SlotRequest> GrantHolder::nextRequest(int wanted, bool isLeaving, TimePoint now)
{
    if (!isRequestDue(wanted, isLeaving, now)) {
        return std::nullopt;
    }
    if (!isStartWindowOpen(now)) {
        discardOffer();
    }
    SlotRequest request;
    request.ledger = m_ledger;
    request.holder = m_holder;
    request.sequence = ++m_sequence;
    request.appliedEpoch = m_appliedEpoch;
    request.appliedSequence = m_appliedSequence;
    request.wanted = wanted;
    request.isFar = m_isFar;
    request.isLeaving = isLeaving;
    const bool mustReportHoldings = m_holdingsEpoch > m_appliedEpoch;
    request.holdingsEpoch = mustReportHoldings ? m_holdingsEpoch : Epoch{};
    for (const auto &it : m_slots) {
        if (it.inUse > it.allowed) {
            request.inUseOverLimit.push_back({it.target, it.inUse, 0});
        }
        if (mustReportHoldings) {
            request.holdings.push_back({it.target, it.allowed, it.connections});
        }
    }
    m_isAwaitingOffer = true;
    m_isRecalled = false;
    m_sentAt = now;
    m_sentWanted = wanted;
    return request;
}

Result<void> GrantHolder::accept(const SlotOffer &offer)
{
    if (offer.epoch < m_highestEpoch) {
        return fail(ErrorKind::StaleEpoch, "offer comes from a previous owner of the ledger");
    }
    if (!m_isAwaitingOffer || offer.sequence != m_sequence) {
        return fail(ErrorKind::Superseded, "offer does not answer the latest slot request");
    }
    m_highestEpoch = offer.epoch;
    m_isAwaitingOffer = false;
    if (offer.wantsHoldings) {
        m_holdingsEpoch = offer.epoch;
        return {};
    }
    if (!offer.isUnchanged) {
        apply(offer.slots);
    }
    m_appliedEpoch = offer.epoch;
    m_appliedSequence = offer.sequence;
    m_windowEnd = m_sentAt + offer.startWindow;
    return {};
}

// After the end of the start window, the ledger may grant the slots and connections to
// other holders.
void GrantHolder::discardOffer()
{
    for (auto &it : m_slots) {
        it.allowed = 0;
        it.connections = 0;
    }
    m_appliedEpoch = {};
    m_appliedSequence = 0;
}

void GrantHolder::apply(std::span<const SlotCount> offered)
{
    for (auto &it : m_slots) {
        it.allowed = 0;
    }
    for (const auto &it : offered) {
        const auto [entry, isNew] = m_indexOf.try_emplace(it.target, m_slots.size());
        if (isNew) {
            m_slots.push_back({it.target, 0, 0, 0});
        }
        auto &held = m_slots[entry->second];
        held.allowed = it.slots;
        held.connections = it.connections;
    }
    std::erase_if(m_slots, [](const HeldSlots &it) { return it.allowed == 0 && it.inUse == 0; });
    m_indexOf.clear();
    for (std::size_t n = 0; n < m_slots.size(); ++n) {
        m_indexOf.emplace(m_slots[n].target, n);
    }
}

bool GrantHolder::tryAcquire(std::size_t index, TimePoint now)
{
    auto &held = m_slots[index];
    if (!isStartWindowOpen(now) || held.inUse >= held.allowed) {
        return false;
    }
    ++held.inUse;
    return true;
}

void GrantHolder::release(const TargetId &target)
{
    const auto it = m_indexOf.find(target);
    if (it != m_indexOf.end() && m_slots[it->second].inUse > 0) {
        --m_slots[it->second].inUse;
    }
}

int GrantHolder::heldCount() const
{
    int n = 0;
    for (const auto &it : m_slots) {
        n += it.allowed;
    }
    return n;
}

int GrantHolder::inUseCount() const
{
    int n = 0;
    for (const auto &it : m_slots) {
        n += it.inUse;
    }
    return n;
}

} // namespace monsoonspool::grants
