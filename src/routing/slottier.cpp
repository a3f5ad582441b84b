#include "routing/slottier.h"

#include <algorithm>
#include <numeric>

namespace monsoonspool::routing {

SlotTier::SlotTier(std::span<const admission::FlowPlan> flows, std::string_view discipline, bool isFar)
    : m_isFar(isFar), m_queue(flows, admission::makeQueueDiscipline(discipline))
{
}

void SlotTier::addRegion(const grants::LedgerKey &ledger, const grants::HolderId &holder)
{
    if (!find(ledger)) {
        m_holders.emplace_back(ledger, holder, m_isFar);
    }
}

grants::GrantHolder *SlotTier::find(const grants::LedgerKey &ledger)
{
    const auto it = std::ranges::find_if(m_holders, [&](const auto &holder) { return holder.ledger() == ledger; });
    return it == m_holders.end() ? nullptr : &*it;
}

std::optional<AcquiredSlot> SlotTier::tryAcquire(TargetChooser &chooser, TargetHealth &health, const TargetId &avoid,
                                                 TimePoint now)
{
    m_candidates.clear();
    m_positions.clear();
    std::optional<SlotPosition> avoided;
    for (std::size_t h = 0; h < m_holders.size(); ++h) {
        if (!m_holders[h].isStartWindowOpen(now)) {
            continue;
        }
        const auto slots = m_holders[h].slots();
        for (std::size_t n = 0; n < slots.size(); ++n) {
            const auto &it = slots[n];
            if (it.inUse >= it.allowed || !health.isUsable(it.target, now)) {
                continue;
            }
            if (it.target == avoid) {
                avoided = SlotPosition{h, n};
                continue;
            }
            m_candidates.push_back(
                {m_positions.size(), it.inUse, it.allowed, health.weight(it.target), health.slowness(it.target)});
            m_positions.push_back({h, n});
        }
    }
    const auto chosen = chooser.choose(m_candidates);
    const auto position = chosen ? std::optional(m_positions[m_candidates[*chosen].index]) : avoided;
    if (!position) {
        return std::nullopt;
    }
    auto &holder = m_holders[position->holder];
    holder.tryAcquire(position->slot, now);
    const auto &held = holder.slots()[position->slot];
    health.recordDispatch(held.target, now);
    return AcquiredSlot{holder.ledger(), held.target, std::max(1, held.connections)};
}

void SlotTier::release(const AcquiredSlot &slot)
{
    if (auto *holder = find(slot.ledger)) {
        holder->release(slot.target);
    }
}

int SlotTier::freeCount(const TargetHealth &health, TimePoint now) const
{
    int n = 0;
    for (const auto &holder : m_holders) {
        if (!holder.isStartWindowOpen(now)) {
            continue;
        }
        for (const auto &it : holder.slots()) {
            n += health.isUsable(it.target, now) ? std::max(0, it.allowed - it.inUse) : 0;
        }
    }
    return n;
}

int SlotTier::heldCount() const
{
    return std::accumulate(m_holders.begin(), m_holders.end(), 0,
                           [](int sum, const auto &holder) { return sum + holder.heldCount(); });
}

int SlotTier::inUseCount() const
{
    return std::accumulate(m_holders.begin(), m_holders.end(), 0,
                           [](int sum, const auto &holder) { return sum + holder.inUseCount(); });
}

} // namespace monsoonspool::routing
