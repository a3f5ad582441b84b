#include "scheduling/waitingorder.h"

#include <algorithm>

namespace monsoonspool::scheduling {

namespace {

// Bands in ascending order.
constexpr int BandsPerPriority = 4; // begun, with a reserve, without one, lasting
constexpr int ReserveOffset = 1;
constexpr int NoReserveOffset = 2;
constexpr int LastingOffset = 3;
constexpr int OnTimeBand = 0; // first of the bands of each priority
constexpr int MaxPriority = 8; // higher numbers share its bands
constexpr int LateBand = OnTimeBand + BandsPerPriority * (MaxPriority + 1);
constexpr int UnstartedLateOffset = 1;
constexpr int ExpiredBand = LateBand + 2;

// Part of its allowed wait that a job keeps in reserve: expected run times are uncertain by about as much.
constexpr double ReservePart = 0.3;

// Part of all start orders that goes to the oldest overdue jobs.
constexpr double OverduePart = 0.1;
// Orders that may gather for overdue jobs while there are none.
constexpr double MaxOverdueCredit = 16;

// The pace of starts is measured over about this time.
constexpr Duration PaceInterval = 500ms;
constexpr double PaceWeight = 0.5; // of the newest measurement

double seconds(Duration d)
{
    return std::chrono::duration<double>(d).count();
}

} // namespace

Rank DeadlineAwareOrder::rank(const RankInput &job, TimePoint now) const
{
    const int firstBand = OnTimeBand + BandsPerPriority * std::clamp(job.priority, 0, MaxPriority);
    if (job.isLasting) {
        return {firstBand + LastingOffset, seconds(job.acceptedAt.time_since_epoch()), job.acceptedAt};
    }
    const auto slack = seconds(job.softDeadline - now - job.remaining);
    const bool isUseful = now + job.remaining <= job.hardDeadline;
    const bool keepsPlace = job.areStartsShort && !job.wasStartedOverdue && isUseful;
    if (job.hasStarted && (slack >= 0 || keepsPlace)) {
        return {firstBand, slack, job.acceptedAt};
    }
    const double withoutReserve = slack - ReservePart * std::max(seconds(job.allowedWait), 0.0);
    if (withoutReserve >= 0) {
        return {firstBand + ReserveOffset, withoutReserve, job.acceptedAt};
    }
    if (slack >= 0) {
        return {firstBand + NoReserveOffset, slack, job.acceptedAt};
    }
    const int lateBand = !isUseful ? ExpiredBand : job.hasStarted ? LateBand : LateBand + UnstartedLateOffset;
    return {lateBand, seconds(job.acceptedAt.time_since_epoch()), job.acceptedAt, true};
}

int OverdueShare::available() const
{
    return std::max(static_cast<int>(m_credit), 0);
}

void OverdueShare::noteStarts(int starts, int overdue)
{
    m_credit = std::min(m_credit + OverduePart * starts - overdue, MaxOverdueCredit);
}

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

Rank FirstComeFirstServedOrder::rank(const RankInput &job, TimePoint) const
{
    return {0, seconds(job.acceptedAt.time_since_epoch()), job.acceptedAt};
}

} // namespace monsoonspool::scheduling
