#include "execution/deferredjobs.h"

namespace monsoonspool::execution {

void DeferredJobs::add(jobs::JobKey key, std::string_view queue, std::uint64_t version, std::size_t bytes)
{
    const auto [it, isNew] = m_jobs.try_emplace(key, Entry{std::string(queue), version, bytes});
    if (isNew) {
        m_order[it->second.queue].emplace(version, key);
    }
}

void DeferredJobs::remove(jobs::JobKey key)
{
    const auto it = m_jobs.find(key);
    if (it == m_jobs.end()) {
        return;
    }
    const auto order = m_order.find(it->second.queue);
    order->second.erase({it->second.version, key});
    if (order->second.empty()) {
        m_order.erase(order);
    }
    m_requested.erase(key);
    m_jobs.erase(it);
}

std::optional<std::uint64_t> DeferredJobs::versionOf(jobs::JobKey key) const
{
    const auto it = m_jobs.find(key);
    return it == m_jobs.end() ? std::nullopt : std::optional(it->second.version);
}

void DeferredJobs::clear()
{
    m_jobs.clear();
    m_order.clear();
    m_requested.clear();
}

void DeferredJobs::request(jobs::JobKey key)
{
    if (contains(key)) {
        m_requested.insert(key);
    }
}

void DeferredJobs::markBegun(jobs::JobKey key)
{
    if (const auto it = m_jobs.find(key); it != m_jobs.end()) {
        it->second.hasBegun = true;
    }
}

std::optional<jobs::JobKey>
DeferredJobs::next(const std::function<bool(std::string_view queue, std::size_t bytes)> &hasRoom)
{
    if (!m_requested.empty()) {
        return *m_requested.begin();
    }
    auto it = m_order.upper_bound(m_lastQueue);
    for (std::size_t n = 0; n < m_order.size(); ++n, ++it) {
        it = it == m_order.end() ? m_order.begin() : it;
        const auto key = it->second.begin()->second;
        if (hasRoom(it->first, m_jobs.at(key).bytes)) {
            m_lastQueue = it->first;
            return key;
        }
    }
    return std::nullopt;
}

void DeferredJobs::addWaitingCounts(std::map<std::string, int> &counts) const
{
    for (const auto &[key, it] : m_jobs) {
        if (!it.hasBegun) {
            ++counts[it.queue];
        }
    }
}

} // namespace monsoonspool::execution
