#include "scheduling/startpace.h"

namespace monsoonspool::scheduling {

namespace {

// The pace of starts is measured over about this time.
constexpr Duration PaceInterval = 500ms;
constexpr double PaceWeight = 0.5; // of the newest measurement

double seconds(Duration d)
{
    return std::chrono::duration<double>(d).count();
}

} // namespace

void StartPace::notePlan(int starts, bool isLimited, TimePoint now)
{
    if (!m_lastPlanAt || now - *m_lastPlanAt > PaceInterval) {
        m_since = now; // nothing could be started for a while, which says nothing about the pace
        m_starts = 0;
        m_wasLimited = false;
    }
    m_lastPlanAt = now;
    m_starts += starts;
    m_wasLimited = m_wasLimited || isLimited;
    if (now - m_since < PaceInterval) {
        return;
    }
    const double perSecond = m_starts / seconds(now - m_since);
    if (!m_wasLimited || perSecond <= 0) {
        m_perSecond = 0;
    } else {
        m_perSecond = m_perSecond <= 0 ? perSecond : m_perSecond + PaceWeight * (perSecond - m_perSecond);
    }
    m_since = now;
    m_starts = 0;
    m_wasLimited = false;
}

Duration StartPace::timeFor(int starts) const
{
    return m_perSecond <= 0 || starts <= 0
        ? Duration(0)
        : std::chrono::duration_cast<Duration>(std::chrono::duration<double>(starts / m_perSecond));
}

} // namespace monsoonspool::scheduling
