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

Rank FirstComeFirstServedOrder::rank(const RankInput &job, TimePoint) const
{
    return {0, seconds(job.acceptedAt.time_since_epoch()), job.acceptedAt};
}

} // namespace monsoonspool::scheduling
