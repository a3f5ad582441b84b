#include "ports/virtualscheduler.h"

#include <algorithm>

namespace monsoonspool::ports {

VirtualScheduler::VirtualScheduler(TimePoint start) : m_now(start)
{
}

TimePoint VirtualScheduler::now() const
{
    return m_now;
}

void VirtualScheduler::runAfter(Duration delay, std::function<void()> f)
{
    m_scheduled.emplace(std::pair(m_now + std::max(delay, Duration{0}), m_nextSequence++), std::move(f));
}

bool VirtualScheduler::runNext()
{
    if (m_scheduled.empty()) {
        return false;
    }
    auto node = m_scheduled.extract(m_scheduled.begin());
    m_now = std::max(m_now, node.key().first);
    node.mapped()();
    return true;
}

void VirtualScheduler::runUntil(TimePoint until)
{
    while (!m_scheduled.empty() && m_scheduled.begin()->first.first <= until) {
        runNext();
    }
    m_now = std::max(m_now, until);
}

void VirtualScheduler::runFor(Duration d)
{
    runUntil(m_now + d);
}

} // namespace monsoonspool::ports
