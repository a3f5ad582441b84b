#include "scheduling/waitingorder.h"

#include <algorithm>

namespace monsoonspool::scheduling {

namespace {

// Bands in ascending order.
constexpr int LastingBand = 0;
constexpr int OnTimeBand = 1; // first of two bands for each priority: started, unstarted
constexpr int MaxPriority = 8; // higher numbers share its bands
constexpr int LateBand = OnTimeBand + 2 * (MaxPriority + 1);
constexpr int ExpiredBand = LateBand + 1;

double seconds(Duration d)
{
    return std::chrono::duration<double>(d).count();
}

} // namespace

Rank DeadlineAwareOrder::rank(const RankInput &job, TimePoint now) const
{
    if (job.isLasting) {
        return {LastingBand, seconds(job.acceptedAt.time_since_epoch())};
    }
    const auto slack = job.softDeadline - now - job.remaining;
    if (slack >= Duration::zero()) {
        const int priority = std::clamp(job.priority, 0, MaxPriority);
        return {OnTimeBand + 2 * priority + (job.hasStarted ? 0 : 1), seconds(slack)};
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
