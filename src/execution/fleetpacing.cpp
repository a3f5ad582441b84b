// Paces of tasks on leftover cores, and runs that make no progress.
#include "execution/fleetstate.h"
#include "jobs/names.h"
#include "scheduling/tailforecast.h"

#include <algorithm>

namespace monsoonspool::execution {

namespace {

constexpr int FullPercent = 100;
// A run at this pace in percent or more that makes no progress for StuckTime is stuck.
// Workers list progress every 1.5 s at least.
constexpr int MinProgressPace = 50;
constexpr Duration StuckTime = 2500ms;
// A listing must show that it stands still this long after its last progress. Without one, its worker
// is slow to answer or this host is late to read the answer.
constexpr Duration MinObservedStandstill = 1s;
// A run whose maxInterference() of its neighbours is at most this is treated as harmless.
constexpr double DisturbanceThreshold = 0.08;
// Smaller changes of pace, in percent, are not worth a call.
constexpr int MinPaceChange = 8;

// Returns whether the worker lists the run with a higher percentage after some time.
bool isExpectedToProgress(const workers::Run &run)
{
    return run.state == workers::RunState::Running && !run.isLasting && run.pace >= MinProgressPace
        && run.percent < FullPercent;
}

// Returns since when the run should have made progress.
TimePoint progressDueSince(const workers::Run &run)
{
    return std::max(run.progressedAt, run.paceChangedAt);
}

bool isStuck(const workers::Run &run, TimePoint now)
{
    const auto since = progressDueSince(run);
    return isExpectedToProgress(run) && now - since > StuckTime && run.listedAt - since >= MinObservedStandstill;
}

} // namespace

void Fleet::Private::scheduleNextVisit(workers::Worker &worker, TimePoint now)
{
    bool hasStop = false;
    auto visitAt = TimePoint::max();
    for (const auto &it : worker.runs()) {
        hasStop = hasStop || it.state == workers::RunState::Stopping || it.isInDoubt();
        if (isExpectedToProgress(it)) {
            const auto stuckAt = progressDueSince(it) + StuckTime + Duration(1);
            visitAt = stuckAt > now ? std::min(visitAt, stuckAt) : visitAt;
        }
    }
    if (hasStop || worker.isSilent() || !worker.isListed() || worker.remainingJobs() || worker.entry().isDraining) {
        changedWorkers.insert(&worker);
    }
    if (const auto formerVisitAt = worker.visitAt()) {
        timedVisits.erase({*formerVisitAt, worker.entry().id});
    }
    worker.setVisitAt(visitAt == TimePoint::max() ? std::nullopt : std::optional(visitAt));
    if (const auto nextVisitAt = worker.visitAt()) {
        timedVisits.insert({*nextVisitAt, worker.entry().id});
    }
}

// Stops tasks that make no progress on a worker that answers. They are started
// elsewhere, and the worker gets few tasks until one of them completes.
void Fleet::Private::stopStuckRuns(workers::Worker &worker, TimePoint now)
{
    if (worker.isSilent() || !worker.isConfirmed()) {
        return;
    }
    for (auto &run : worker.runs()) {
        auto *job = findJob(run.task.job);
        if (!isStuck(run, now) || job == nullptr || job->job.avoidedWorkers(run.task).size() >= MaxAvoidedWorkers) {
            continue;
        }
        if (run.mayPaceChangeLate) {
            run.mayPaceChangeLate = false;
            worker.setPace(run, workers::UnknownPace);
            log.record("pace-repeated",
                       {{"task", run.task}, {"run", run.number}, {"worker", worker.entry().id.view()}});
            continue;
        }
        log.record("run-stuck",
                   {{"task", run.task},
                    {"run", run.number},
                    {"worker", worker.entry().id.view()},
                    {"percent", run.percent},
                    {"standsStillMs", toMilliseconds(now - run.progressedAt)}});
        job->job.noteAvoidedWorker(run.task, worker.entry().id);
        worker.noteFailure(now);
        requestStop(run);
    }
}

void Fleet::Private::adjustPaces(workers::Worker &worker, TimePoint now, Orders &orders)
{
    if (worker.isSilent() || !worker.isConfirmed() || !worker.consumeNewListing()) {
        return;
    }
    scheduling::PaceRegulator::TailState tails;
    bool hasLeftover = false;
    for (const auto &run : worker.runs()) {
        if (run.usesLeftover) {
            hasLeftover = true;
            tails.isCauseKnown
                = tails.isCauseKnown || maxInterference(interference, worker, run) > DisturbanceThreshold;
        } else if (run.tailTarget > Duration(0) && run.state == workers::RunState::Running && run.smoothedLevel > 0) {
            tails.worstRatio
                = std::max(tails.worstRatio, run.smoothedLevel / static_cast<double>(toMilliseconds(run.tailTarget)));
            tails.longestViolation = std::max(tails.longestViolation, now - run.withinTargetAt);
        }
    }
    worker.setTailRatio(tails.worstRatio);
    if (!hasLeftover) {
        return;
    }
    endReduction(worker, now);
    const auto measured = worker.paceRegulator().update(tails, now);
    const int safe = safePace(interference, worker);
    const int room = capacityPace(worker);
    const int pace = std::min({measured.percent, safe, room});
    const int reducedRoom = reducedCapacityPace(worker);
    const int safeReduced = std::min(reducedRoom, safeReducedPace(interference, worker));
    for (auto &run : worker.runs()) {
        if (!run.usesLeftover || run.state != workers::RunState::Running) {
            continue;
        }
        noteThrottling(worker, run, now);
        if (run.isReduced && run.paceChangedAt == now) {
            continue; // two orders of one plan could overtake each other
        }
        const bool isDisturbing = maxInterference(interference, worker, run) > DisturbanceThreshold;
        int wanted = isDisturbing ? pace : measured.appliesToAll ? measured.percent : workers::FullPace;
        if (run.isReduced) {
            const int most = isDisturbing ? safeReduced : reducedRoom;
            wanted = wanted == workers::FullPace ? most : wanted * workers::ReducedPace / workers::FullPace;
        }
        const bool isSignificant = std::abs(run.pace - wanted) >= MinPaceChange || run.pace < 0
            || (run.pace != wanted && (wanted == workers::FullPace || wanted == 0 || (run.isReduced && run.pace == 0)));
        if (isSignificant) {
            worker.setPace(run, wanted);
            run.paceChangedAt = now;
            log.record("pace",
                       {{"task", run.task},
                        {"run", run.number},
                        {"worker", worker.entry().id.view()},
                        {"percent", wanted},
                        {"measuredPercent", measured.percent},
                        {"safePercent", safe},
                        {"roomPercent", room},
                        {"tailPercentOfTarget", static_cast<int>(tails.worstRatio * FullPercent)},
                        {"overMs", toMilliseconds(tails.longestViolation)},
                        {"isDisturbing", isDisturbing ? 1 : 0},
                        {"isReduced", run.isReduced ? 1 : 0}});
            orders.paces.push_back({worker.entry().id, run.task, run.number, wanted});
        }
    }
}

// Returns the pace in percent at which disturbing leftover work fits beside harmless
// leftover work.
int Fleet::Private::capacityPace(const workers::Worker &worker) const
{
    std::int64_t disturbing = 0;
    std::int64_t harmless = 0;
    for (const auto &run : worker.runs()) {
        if (run.usesLeftover) {
            const bool isDisturbing = maxInterference(interference, worker, run) > DisturbanceThreshold;
            const auto part = run.isReduced ? workers::ReducedPace : workers::FullPace;
            (isDisturbing ? disturbing : harmless) += run.needs.milliCores * part / workers::FullPace;
        }
    }
    const auto room = std::max<std::int64_t>(worker.leftoverMilliCores() - harmless, 0);
    return disturbing <= room ? workers::FullPace : static_cast<int>(room * workers::FullPace / disturbing);
}

// Returns the pace in percent at which reduced runs fit into the leftover cores that the other runs leave at their
// present paces.
int Fleet::Private::reducedCapacityPace(const workers::Worker &worker)
{
    std::int64_t needed = 0;
    for (const auto &run : worker.runs()) {
        needed += run.isReduced ? run.needs.milliCores : 0;
    }
    const auto reserved = needed * workers::ReducedPace / workers::FullPace;
    const auto room = worker.freeLeftoverResources().milliCores + reserved;
    return std::clamp(static_cast<int>(room * workers::FullPace / std::max<std::int64_t>(needed, 1)),
                      workers::ReducedPace, workers::FullPace);
}

// A reduced run that the worker would take now like any other becomes one. One at a time, since the others are
// judged beside it.
void Fleet::Private::endReduction(workers::Worker &worker, TimePoint now)
{
    if (worker.reducedRunCount() == 0) {
        return;
    }
    const std::vector<workers::Run> runs(worker.runs().begin(), worker.runs().end());
    for (const auto &it : runs) {
        const auto *job = it.isReduced ? findJob(it.task.job) : nullptr;
        if (job == nullptr) {
            continue;
        }
        worker.remove(it.task); // which would keep its own task from joining
        const bool isTaken = workerChooser->cost(worker, demandOf(*job, it.task, {}, now), now).has_value();
        worker.add(it);
        if (isTaken) {
            worker.endReduction(*worker.find(it.task));
            return;
        }
    }
}

// Workers start each run at full pace.
void Fleet::Private::slowDownReducedRuns(workers::Worker &worker, TimePoint now, Orders &orders)
{
    if (worker.isSilent() || !worker.hasUnpacedReducedRun()) {
        return;
    }
    for (auto &run : worker.runs()) {
        if (run.isReduced && run.state == workers::RunState::Running && run.paceChangedAt == TimePoint()) {
            worker.setPace(run, workers::ReducedPace);
            run.paceChangedAt = now;
            orders.paces.push_back({worker.entry().id, run.task, run.number, workers::ReducedPace});
        }
    }
}

// Counts the run time that a run loses to its pace, which decides when it is moved.
void Fleet::Private::noteThrottling(workers::Worker &worker, workers::Run &run, TimePoint now)
{
    if (run.pace == workers::FullPace) {
        run.lostToPace = Duration(0);
    } else if (run.pace != workers::UnknownPace) {
        run.lostToPace += (now - run.lostToPaceUntil) * (workers::FullPace - run.pace) / workers::FullPace;
        throttlingWorkers.insert(worker.entry().id);
    }
    run.lostToPaceUntil = now;
}

} // namespace monsoonspool::execution
