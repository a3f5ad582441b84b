#include "jobs/memorybudget.h"

#include <algorithm>
#include <utility>

namespace monsoonspool::jobs {

std::size_t MemoryBudget::usedBy(std::string_view queue) const
{
    const auto it = m_usedByQueue.find(queue);
    return it == m_usedByQueue.end() ? 0 : it->second;
}

void MemoryBudget::change(std::string_view queue, std::size_t before, std::size_t bytes)
{
    if (before == bytes) {
        return;
    }
    auto it = m_usedByQueue.find(queue);
    if (it == m_usedByQueue.end()) {
        it = m_usedByQueue.emplace(queue, 0).first;
    }
    it->second = it->second - before + bytes;
    m_used = m_used - before + bytes;
    if (it->second == 0) {
        m_usedByQueue.erase(it);
    }
}

bool MemoryBudget::hasRoom(std::string_view queue, std::size_t bytes) const
{
    return m_used + usedBy(queue) + bytes <= m_limit;
}

std::vector<std::string> MemoryBudget::fullQueues(std::size_t most) const
{
    std::vector<std::pair<std::size_t, std::string>> full;
    for (const auto &[queue, bytes] : m_usedByQueue) {
        if (!hasRoom(queue, 0)) {
            full.emplace_back(bytes, queue);
        }
    }
    std::ranges::sort(full, std::greater());
    full.resize(std::min(full.size(), most));
    std::vector<std::string> queues;
    for (auto &[bytes, queue] : full) {
        queues.push_back(std::move(queue));
    }
    return queues;
}

void MemoryBudget::clear()
{
    m_used = 0;
    m_usedByQueue.clear();
}

} // namespace monsoonspool::jobs
