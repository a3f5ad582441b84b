// The order in which waiting work is placed.
#include "execution/fleetstate.h"
#include "jobs/names.h"

#include <algorithm>

namespace monsoonspool::execution {

namespace {

// A job that completes within this multiple of its objective is late but still useful,
// as defined by the platform's accounting.
constexpr int LateFactor = 3;
// Expected run times are recomputed after this time.
constexpr Duration ExpectedRunTimeValidity = 2s;
// Occurrences of a timed job open ahead of what can start as long as fewer of its tasks than this wait: more
// than are started between two plans.
constexpr std::int64_t MaxReadyTasks = 1000;
// Of all timed jobs together. A plan looks at each one.
constexpr std::int64_t MaxOpenTimedSteps = 4000;
// A waiting job's rank is recomputed after this time.
constexpr Duration RankValidity = 250ms;

double seconds(Duration d)
{
    return std::chrono::duration<double>(d).count();
}

} // namespace

void Fleet::Private::refreshExpectedRunTimes(TrackedJob &job, TimePoint now) const
{
    if (!job.runTimes.empty() && now - job.expectedUpdatedAt < ExpectedRunTimeValidity) {
        return;
    }
    const auto &steps = job.job.spec().steps;
    job.expectedUpdatedAt = now;
    job.runTimes.resize(steps.size());
    job.criticalPath = Duration(0);
    std::vector<Duration> stepTimes(steps.size());
    std::vector<Duration> pathTimes(steps.size());
    for (std::size_t n = 0; n < steps.size(); ++n) {
        job.runTimes[n] = estimator.forecast(job.job.queue(), steps[n]);
        stepTimes[n] = job.runTimes[n].longestOf(steps[n].count);
        for (const int before : steps[n].after) {
            pathTimes[n] = std::max(pathTimes[n], pathTimes[static_cast<std::size_t>(before)]);
        }
        pathTimes[n] += stepTimes[n];
        job.criticalPath = std::max(job.criticalPath, pathTimes[n]);
    }
    job.pathTimesAfter.assign(steps.size(), Duration(0));
    for (std::size_t n = steps.size(); n-- > 0;) {
        for (const int before : steps[n].after) {
            auto &after = job.pathTimesAfter[static_cast<std::size_t>(before)];
            after = std::max(after, stepTimes[n] + job.pathTimesAfter[n]);
        }
    }
}

Fleet::Private::Deadlines Fleet::Private::deadlinesOf(const TrackedJob &job, TimePoint acceptedAt) const
{
    const auto &policy = policyOf(job);
    const Duration objective = policy.targetLatency
        + Duration(static_cast<Duration::rep>(policy.stretch * static_cast<double>(job.criticalPath.count())));
    return {acceptedAt + objective, acceptedAt + objective * LateFactor};
}

scheduling::RankInput Fleet::Private::outlook(const TrackedJob &job, int occurrence, TimePoint now,
                                              jobs::WallTime wall) const
{
    const auto &policy = policyOf(job);
    const auto &spec = job.job.spec();
    scheduling::RankInput outlook;
    outlook.priority = policy.priority;
    outlook.isLasting = spec.isLasting();
    outlook.hasStarted = job.job.state() == jobs::JobState::Running;
    outlook.wasStartedOverdue = job.wasStartedOverdue;
    outlook.areStartsShort = startPace.isShort();
    outlook.acceptedAt = job.job.acceptedAt();
    if (spec.isTimed()) {
        outlook.acceptedAt
            = now + std::chrono::duration_cast<Duration>(spec.firstDue + spec.interval * occurrence - wall);
    }
    const auto deadlines = deadlinesOf(job, outlook.acceptedAt);
    outlook.softDeadline = deadlines.soft;
    outlook.hardDeadline = deadlines.hard;
    outlook.allowedWait = deadlines.soft - outlook.acceptedAt - job.criticalPath;
    std::vector<Duration> pathTimes(spec.steps.size());
    for (std::size_t n = 0; n < spec.steps.size(); ++n) {
        const auto &step = job.job.step(occurrence, static_cast<int>(n));
        for (const int before : spec.steps[n].after) {
            pathTimes[n] = std::max(pathTimes[n], pathTimes[static_cast<std::size_t>(before)]);
        }
        if (!step.isDone()) {
            // Those at work have a part of their time behind them.
            const int waiting = step.waitingCount();
            pathTimes[n] += job.runTimes[n].longestOf(waiting) + startPace.timeFor(waiting);
        }
        outlook.remaining = std::max(outlook.remaining, pathTimes[n]);
    }
    return outlook;
}

scheduling::Rank Fleet::Private::rankOf(TrackedJob &job, int occurrence, TimePoint now, jobs::WallTime wall)
{
    const bool isFresh = job.rankedOccurrence == occurrence && now - job.rankedAt < RankValidity;
    if (!isFresh) {
        refreshExpectedRunTimes(job, now);
        job.rank = waitingOrder->rank(outlook(job, occurrence, now, wall), now);
        job.rankedOccurrence = occurrence;
        job.rankedAt = now;
    }
    return job.rank;
}

std::vector<Fleet::Private::WaitingStep> Fleet::Private::waitingSteps(TimePoint now, jobs::WallTime wall)
{
    std::vector<WaitingStep> waiting;
    if (termEnd - now < workers::StartValidity) {
        return waiting; // the workers would reject the orders
    }
    std::erase_if(jobsToPlace, [&](const jobs::JobKey &key) {
        auto *job = findJob(key);
        if (job == nullptr || !job->job.isOpen()) {
            return true;
        }
        return !isBlockedByTakeover(*job) && !addWaitingSteps(*job, now, wall, waiting);
    });
    std::ranges::sort(waiting, [](const WaitingStep &a, const WaitingStep &b) {
        return std::tuple(a.rank, a.job->job.key(), a.occurrence, a.step)
            < std::tuple(b.rank, b.job->job.key(), b.occurrence, b.step);
    });
    return waiting;
}

bool Fleet::Private::addWaitingSteps(TrackedJob &job, TimePoint now, jobs::WallTime wall,
                                     std::vector<WaitingStep> &waiting)
{
    const auto &spec = job.job.spec();
    if (spec.isTimed()) {
        const auto openBefore = job.openTimedSteps;
        job.job.openDueOccurrences(wall, {MaxReadyTasks, MaxOpenTimedSteps - (openTimedSteps - openBefore)});
        job.openTimedSteps = job.job.openSteps();
        openTimedSteps += job.openTimedSteps - openBefore;
        const int overdue = job.job.overdueCount(wall);
        counts.overdueOccurrences += static_cast<std::size_t>(overdue - job.overdueOccurrences);
        job.overdueOccurrences = overdue;
    } else {
        job.job.releaseDone();
    }
    recountMemory(job);
    const auto countBefore = waiting.size();
    for (const auto &[k, occurrence] : job.job.occurrences()) {
        if (occurrence.isDone()) {
            continue;
        }
        scheduling::Rank rank;
        bool isRanked = false;
        for (int s = 0; s < static_cast<int>(spec.steps.size()); ++s) {
            if (!occurrence.steps[static_cast<std::size_t>(s)].hasWaiting() || !job.job.isReady(k, s)) {
                continue;
            }
            if (!isRanked) {
                rank = rankOf(job, k, now, wall);
                isRanked = true;
            }
            waiting.push_back({&job, k, s, rank});
        }
    }
    return waiting.size() > countBefore || job.job.hasLaterOccurrence();
}

} // namespace monsoonspool::execution
