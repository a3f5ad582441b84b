// Reports of Fleet on jobs that have nothing at work although a task's turn has come.
#include "execution/fleetstate.h"
#include "jobs/names.h"

#include <algorithm>
#include <tuple>

namespace monsoonspool::execution {

namespace {

// Of one report, so that the volume does not grow with the number of jobs that wait for room.
constexpr std::size_t MaxReportedJobs = 4;

constexpr std::array<std::string_view, StandstillCauseCount> CauseNames
    = {"takeover",  "starts-suspended", "retry-pause",       "order-unanswered", "order-in-doubt", "stop",
       "no-worker", "no-room",          "no-leftover-cores", "interference",     "not-placed"};

StandstillCause causeOf(workers::RunState state)
{
    switch (state) {
    case workers::RunState::Ordered:
        return StandstillCause::OrderUnanswered;
    case workers::RunState::Unanswered:
        return StandstillCause::OrderInDoubt;
    default:
        return StandstillCause::Stop;
    }
}

} // namespace

std::string_view standstillCauseName(StandstillCause cause)
{
    return CauseNames[static_cast<std::size_t>(cause)];
}

// A job with a task at work is left out. Returns the jobs whose runs are all unconfirmed, with the first
// of these runs.
std::unordered_map<jobs::JobKey, Fleet::Private::UnconfirmedRun> Fleet::Private::jobsWithoutConfirmedRun() const
{
    std::unordered_map<jobs::JobKey, UnconfirmedRun> unconfirmed;
    std::unordered_set<jobs::JobKey> atWork;
    for (const auto *worker : workers) {
        for (const auto &it : worker->runs()) {
            if (it.state == workers::RunState::Running) {
                atWork.insert(it.task.job);
            } else {
                unconfirmed.try_emplace(it.task.job, UnconfirmedRun{worker, &it});
            }
        }
    }
    std::erase_if(unconfirmed, [&](const auto &it) { return atWork.contains(it.first); });
    return unconfirmed;
}

// Returns the first task that could run.
std::optional<jobs::TaskId> Fleet::Private::firstWaitingTask(const TrackedJob &job) const
{
    const auto &spec = job.job.spec();
    for (const auto &[k, occurrence] : job.job.occurrences()) {
        for (int s = 0; s < static_cast<int>(spec.steps.size()); ++s) {
            const auto &step = occurrence.steps[static_cast<std::size_t>(s)];
            if (!step.hasWaiting() || !job.job.isReady(k, s)) {
                continue;
            }
            return jobs::TaskId{job.job.key(), k, s, step.firstWaiting()};
        }
    }
    return std::nullopt;
}

// `refused` keeps the demands of the present report that all workers with room refuse, since many jobs may wait
// for the same cause.
StandstillCause Fleet::Private::causeOfWaiting(const TrackedJob &job, const jobs::TaskId &task, TimePoint now,
                                               std::vector<UnplaceableDemand> &refused)
{
    if (isBlockedByTakeover(job)) {
        return StandstillCause::Takeover;
    }
    if (areStartsSuspended) {
        return StandstillCause::StartsSuspended;
    }
    if (now < job.job.task(task).retryAt) {
        return StandstillCause::RetryPause;
    }
    const auto demand = demandOf(job, task, {}, now);
    if (isRuledOut(refused, demand)) {
        return StandstillCause::Interference;
    }
    auto needsWithoutCores = demand.step->needs;
    needsWithoutCores.milliCores = 0;
    auto cause = StandstillCause::NoWorker;
    for (const auto *it : workers) {
        if (!scheduling::isEligible(*it, demand, now)) {
            continue;
        }
        if (workerChooser->cost(*it, demand, now)) {
            return StandstillCause::NotPlaced;
        }
        // The causes are in the order of how close the worker is to taking the task.
        auto ofWorker = StandstillCause::NoRoom;
        if (it->fits(demand.step->needs, demand.step->usesLeftover)) {
            ofWorker = StandstillCause::Interference;
        } else if (demand.step->usesLeftover && it->freeResources().contains(needsWithoutCores)) {
            ofWorker = StandstillCause::NoLeftoverCores;
        }
        cause = std::max(cause, ofWorker);
    }
    if (cause == StandstillCause::Interference) {
        ruleOut(refused, demand);
    }
    return cause;
}

// Returns the lowest tail latency in percent of its target that is forecast for the serving tasks of a worker with
// room if the task ran there; -1 if no worker has room.
int Fleet::Private::lowestForecast(const TrackedJob &job, const jobs::TaskId &task, TimePoint now)
{
    const auto demand = demandOf(job, task, {}, now);
    std::optional<double> lowest;
    for (const auto *it : workers) {
        if (scheduling::isEligible(*it, demand, now) && it->fits(demand.step->needs, demand.step->usesLeftover)) {
            const double ratio = scheduling::predictedTailRatio(*it, demand);
            lowest = std::min(lowest.value_or(ratio), ratio);
        }
    }
    return lowest ? static_cast<int>(*lowest * 100) : -1;
}

void Fleet::Private::logStandstill(const Standstill &standstill, TimePoint now)
{
    const auto *job = findJob(standstill.task.job);
    std::array<std::size_t, workers::PlacementObstacleCount> obstacles{};
    for (const auto *it : workers) {
        if (it->entry().service.view() == policyOf(*job).service.view()) {
            ++obstacles[static_cast<std::size_t>(it->placementObstacle(now))];
        }
    }
    const auto count = [&](workers::PlacementObstacle it) { return obstacles[static_cast<std::size_t>(it)]; };
    const auto &spec = job->job.stepSpec(standstill.task.step);
    log.record("job-stands-still",
               {{"task", standstill.task},
                {"cause", standstillCauseName(standstill.cause)},
                {"standsMs", toMilliseconds(now - standstill.since)},
                {"worker", standstill.worker == nullptr ? std::string_view() : standstill.worker->entry().id.view()},
                {"run", standstill.run},
                {"runAgeMs", toMilliseconds(standstill.runAge)},
                {"milliCores", spec.needs.milliCores},
                {"memoryMiB", spec.needs.memoryMiB},
                {"tasks", spec.count},
                {"image", spec.image},
                {"usesLeftover", spec.usesLeftover ? 1 : 0},
                {"isOverdue", job->rank.isOverdue ? 1 : 0},
                {"ageMs", toMilliseconds(now - job->job.acceptedAt())},
                {"forecastPercent", lowestForecast(*job, standstill.task, now)},
                {"usable", count(workers::PlacementObstacle::None)},
                {"silent", count(workers::PlacementObstacle::Silent)},
                {"unhealthy", count(workers::PlacementObstacle::Unhealthy)},
                {"onTrial", count(workers::PlacementObstacle::OnTrial)},
                {"unconfirmed", count(workers::PlacementObstacle::Unconfirmed)},
                {"undescribed", count(workers::PlacementObstacle::Undescribed)},
                {"leaving", count(workers::PlacementObstacle::Leaving)}});
}

void Fleet::Private::reportLeftoverLoad(TimePoint now)
{
    LeftoverLoad load;
    for (const auto *worker : workers) {
        for (const auto &it : worker->runs()) {
            if (it.usesLeftover) {
                const int pace = std::max(it.pace, 0); // none is known to be in force for an unknown one
                ++(pace == 0 ? load.pausedRuns : pace < workers::FullPace ? load.throttledRuns : load.fullPaceRuns);
                load.usedMilliCores += it.needs.milliCores * pace / workers::FullPace;
            }
        }
        if (worker->isSchedulable(now, true)) {
            load.milliCores += worker->leftoverMilliCores();
            load.freeMemoryMiB += worker->freeResources().memoryMiB;
            load.memoryMiB += worker->entry().capacity.memoryMiB;
        }
    }
    for (const auto &key : jobsToPlace) {
        const auto *job = findJob(key);
        load.overdueJobs += job != nullptr && job->job.isOpen() && job->rank.isOverdue ? 1 : 0;
    }
    counts.leftoverLoad = load;
    if (load.isIdle() && load.overdueJobs == 0) {
        return;
    }
    log.record("leftover-load",
               {{"paused", load.pausedRuns},
                {"throttled", load.throttledRuns},
                {"fullPace", load.fullPaceRuns},
                {"usedMilliCores", load.usedMilliCores},
                {"milliCores", load.milliCores},
                {"freeMemoryMiB", load.freeMemoryMiB},
                {"memoryMiB", load.memoryMiB},
                {"overdueJobs", load.overdueJobs},
                {"standing", counts.standingJobs.total()},
                {"longestStandMs", toMilliseconds(counts.standingJobs.longest)}});
}

void Fleet::Private::reportStandstills(TimePoint now)
{
    if (now < standstillReportDueAt) {
        return;
    }
    standstillReportDueAt = now + StandstillReportInterval;
    const auto unconfirmed = jobsWithoutConfirmedRun();
    std::vector<Standstill> standing;
    std::vector<UnplaceableDemand> refused;
    for (const auto &[key, it] : unconfirmed) {
        const auto *job = findJob(key);
        if (job != nullptr && job->job.isOpen()) {
            const auto cause = causeOf(it.run->state);
            // A run that is being stopped was at work before.
            const auto since = cause == StandstillCause::Stop ? now : it.run->orderedAt;
            standing.push_back({it.run->task, cause, since, it.worker, it.run->number, now - it.run->orderedAt});
        }
    }
    for (const auto &key : jobsToPlace) {
        const auto *job = findJob(key);
        if (job == nullptr || !job->job.isOpen() || job->activeRuns > 0) {
            continue;
        }
        if (const auto task = firstWaitingTask(*job)) {
            standing.push_back({*task, causeOfWaiting(*job, *task, now, refused), now, nullptr, 0, Duration(0)});
        }
    }
    std::unordered_map<jobs::JobKey, TimePoint> standingSince;
    counts.standingJobs = {};
    for (auto &it : standing) {
        const auto known = jobsStandingSince.find(it.task.job);
        it.since = known == jobsStandingSince.end() ? it.since : std::min(it.since, known->second);
        standingSince[it.task.job] = it.since;
        if (now - it.since >= MinReportedStandstill) {
            ++counts.standingJobs.byCause[static_cast<std::size_t>(it.cause)];
            counts.standingJobs.longest = std::max(counts.standingJobs.longest, now - it.since);
        }
    }
    jobsStandingSince = std::move(standingSince);
    std::erase_if(standing, [&](const Standstill &it) { return now - it.since < MinReportedStandstill; });
    // A lack of room is usual under load, and must not hide the others.
    std::ranges::sort(standing, {}, [](const Standstill &it) {
        const bool isUsual = it.cause == StandstillCause::NoRoom || it.cause == StandstillCause::NoLeftoverCores;
        return std::tuple(isUsual, it.since, it.task.job);
    });
    standing.resize(std::min(standing.size(), MaxReportedJobs));
    for (const auto &it : standing) {
        logStandstill(it, now);
    }
    reportLeftoverLoad(now);
}

} // namespace monsoonspool::execution
