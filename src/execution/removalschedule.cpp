#include "execution/removalschedule.h"

#include "execution/rowlayout.h"

namespace monsoonspool::execution {

void RemovalSchedule::noteRead(jobs::JobKey job, std::uint64_t version, TimePoint now)
{
    auto &entry = m_entries[job];
    if (version <= entry.version) {
        return;
    }
    auto &part = m_byPart[partOf(job)];
    part.erase({entry.readAt, job});
    entry = {version, now};
    part.insert({now, job});
}

void RemovalSchedule::noteRemoved(jobs::JobKey job, std::uint64_t version)
{
    const auto it = m_entries.find(job);
    if (it != m_entries.end() && it->second.version <= version) {
        m_byPart[partOf(job)].erase({it->second.readAt, job});
        m_entries.erase(it);
    }
}

std::vector<RemovalSchedule::Due> RemovalSchedule::takeDue(TimePoint now)
{
    std::vector<Due> due;
    if (m_isRemoving || now - m_removedAt < m_limits.interval) {
        return due;
    }
    const std::set<std::pair<TimePoint, jobs::JobKey>> *oldest = nullptr;
    for (const auto &[part, entries] : m_byPart) {
        const bool isOlder = !entries.empty() && (oldest == nullptr || *entries.begin() < *oldest->begin());
        oldest = isOlder ? &entries : oldest;
    }
    if (oldest == nullptr) {
        return due;
    }
    for (const auto &[readAt, job] : *oldest) {
        if (now - readAt < m_limits.lifetime || due.size() == m_limits.mostPerRemoval) {
            break;
        }
        due.push_back({job, m_entries.at(job).version});
    }
    const bool isFull = due.size() == m_limits.mostPerRemoval;
    if (!isFull && now - oldest->begin()->first < m_limits.lifetime + m_limits.batchDelay) {
        due.clear();
    }
    if (!due.empty()) {
        m_isRemoving = true;
        m_removedAt = now;
    }
    return due;
}

void RemovalSchedule::noteRemovalEnded()
{
    m_isRemoving = false;
}

Duration RemovalSchedule::oldestAge(TimePoint now) const
{
    Duration age{0};
    for (const auto &[part, entries] : m_byPart) {
        age = entries.empty() ? age : std::max(age, Duration(now - entries.begin()->first));
    }
    return age;
}

} // namespace monsoonspool::execution
