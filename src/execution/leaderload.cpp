#include "execution/leaderload.h"

#include <algorithm>

namespace monsoonspool::execution {

namespace {

constexpr Duration ReportInterval = 1s;

} // namespace

LeaderLoadReport::LeaderLoadReport(DecisionLog &log, TimePoint now, Duration processorTime) : m_log(log)
{
    begin(0, now, processorTime);
}

void LeaderLoadReport::begin(std::uint64_t starts, TimePoint now, Duration processorTime)
{
    const auto limit = m_interval.limit;
    const auto constraint = m_interval.constraint;
    m_interval = {};
    m_interval.beganAt = now;
    m_interval.processorTime = processorTime;
    m_interval.starts = starts;
    m_interval.lowestLimit = limit;
    m_interval.limit = limit;
    m_interval.constraint = constraint;
}

void LeaderLoadReport::notePlan(Duration elapsed, Duration used)
{
    ++m_interval.plans;
    m_interval.longestPlan = std::max(m_interval.longestPlan, elapsed);
    m_interval.planTime += used;
}

void LeaderLoadReport::noteLimit(const StartLimiter &limiter, Duration lateness)
{
    m_interval.limit = limiter.limit();
    m_interval.lowestLimit
        = m_interval.lowestLimit == 0 ? limiter.limit() : std::min(m_interval.lowestLimit, limiter.limit());
    m_interval.constraint = limiter.constraint();
    m_interval.longestLateness = std::max(m_interval.longestLateness, lateness);
    m_interval.longestQueueing = std::max(m_interval.longestQueueing, limiter.queueing());
}

void LeaderLoadReport::reportIfDue(const FleetCounts &counts, int startsUnderWay, TimePoint now, Duration processorTime)
{
    if (now - m_interval.beganAt < ReportInterval) {
        return;
    }
    const auto used = processorTime - m_interval.processorTime;
    m_longestPlan = m_interval.longestPlan;
    m_planShare
        = used > Duration(0) ? static_cast<double>(m_interval.planTime.count()) / static_cast<double>(used.count()) : 0;
    m_log.record("leader-load",
                 {{"limit", m_interval.limit},
                  {"lowestLimit", m_interval.lowestLimit},
                  {"constraint", startConstraintName(m_interval.constraint)},
                  {"latenessMs", toMilliseconds(m_interval.longestLateness)},
                  {"queueingMs", toMilliseconds(m_interval.longestQueueing)},
                  {"starts", counts.starts - std::min(m_interval.starts, counts.starts)},
                  {"underWay", startsUnderWay},
                  {"dueTasks", counts.dueTasks},
                  {"openJobs", counts.openJobs},
                  {"plans", m_interval.plans},
                  {"longestPlanMs", toMilliseconds(m_interval.longestPlan)},
                  {"planCpuMs", toMilliseconds(m_interval.planTime)},
                  {"cpuMs", toMilliseconds(used)},
                  {"intervalMs", toMilliseconds(now - m_interval.beganAt)}});
    begin(counts.starts, now, processorTime);
}

Duration LeaderLoadReport::longestPlan() const
{
    return m_longestPlan;
}

double LeaderLoadReport::planShare() const
{
    return m_planShare;
}

} // namespace monsoonspool::execution
