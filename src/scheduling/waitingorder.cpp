#include "scheduling/waitingorder.h"

#include <algorithm>

namespace monsoonspool::scheduling {

namespace {

// Bands in ascending order.
constexpr int BandsPerPriority = 3; // started, unstarted, lasting
constexpr int UnstartedOffset = 1;
constexpr int LastingOffset = 2;
constexpr int OnTimeBand = 0; // first of three bands for each priority
constexpr int MaxPriority = 8; // higher numbers share its bands
constexpr int LateBand = OnTimeBand + BandsPerPriority * (MaxPriority + 1);
constexpr int ExpiredBand = LateBand + 1;

double seconds(Duration d)
{
    return std::chrono::duration<double>(d).count();
}

} // namespace

Rank DeadlineAwareOrder::rank(const RankInput &job, TimePoint now) const
{
    const int priority = std::clamp(job.priority, 0, MaxPriority);
    if (job.isLasting) {
        return {OnTimeBand + BandsPerPriority * priority + LastingOffset, seconds(job.acceptedAt.time_since_epoch())};
    }
    const auto slack = job.softDeadline - now - job.remaining;
    if (slack >= Duration::zero()) {
        return {OnTimeBand + BandsPerPriority * priority + (job.hasStarted ? 0 : UnstartedOffset), seconds(slack)};
    }
    if (now + job.remaining <= job.hardDeadline) {
        return {LateBand, job.work};
    }
    return {ExpiredBand, job.work};
}

Rank FirstComeFirstServedOrder::rank(const RankInput &job, TimePoint) const
{
    return {0, seconds(job.acceptedAt.time_since_epoch())};
}

} // namespace monsoonspool::scheduling
