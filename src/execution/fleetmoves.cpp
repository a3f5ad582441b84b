// Moves of throttled runs to workers that take them at full pace.
#include "execution/fleetstate.h"
#include "jobs/names.h"

#include <algorithm>

namespace monsoonspool::execution {

namespace {

constexpr int FullPercent = 100;
// A worker with paced runs is listed every 600 ms, so that a shorter interval would find no news.
constexpr Duration MoveInterval = 300ms;

bool isThrottled(const workers::Run &run)
{
    return run.usesLeftover && run.state == workers::RunState::Running && run.pace != workers::FullPace
        && run.pace != workers::UnknownPace;
}

} // namespace

// The leftover cores elsewhere are not idle then, and a moved run would take them from waiting work.
bool Fleet::Private::hasUnplaceableLeftoverWork() const
{
    return std::ranges::any_of(unplaceableDemands, &UnplaceableDemand::usesLeftover)
        || std::ranges::any_of(gangDemands, &UnplaceableDemand::usesLeftover);
}

bool Fleet::Private::isWorthMoving(TrackedJob &job, const workers::Run &run, TimePoint now) const
{
    refreshExpectedRunTimes(job, now);
    const auto &spec = job.job.stepSpec(run.task.step);
    scheduling::ThrottledRun throttled;
    throttled.lost = run.lostToPace;
    throttled.remaining
        = job.runTimes[static_cast<std::size_t>(run.task.step)].typical * (FullPercent - run.percent) / FullPercent;
    throttled.pace = run.pace;
    throttled.hasCheckpoints = spec.hasCheckpoints && !spec.isGang && !spec.isLasting;
    throttled.moves = job.movedFrom.contains(run.task) ? 1 : 0;
    return movePolicy->isWorthMoving(throttled);
}

// Called at the end of a plan, when waiting work has been placed. Runs that it stops are placed
// again once their ends are listed.
void Fleet::Private::moveThrottledRuns(TimePoint now)
{
    if (!movePolicy || now < movesDueAt || throttlingWorkers.empty() || hasUnplaceableLeftoverWork()) {
        return;
    }
    movesDueAt = now + MoveInterval;
    std::vector<std::pair<workers::Worker *, jobs::TaskId>> reserved;
    std::erase_if(throttlingWorkers, [&](const WorkerId &id) {
        auto *worker = findWorker(id);
        for (auto &it : worker->runs()) {
            if (auto *target = isThrottled(it) && !worker->isSilent() ? moveTarget(*worker, it, now) : nullptr) {
                workers::Run placeholder;
                placeholder.task = it.task;
                placeholder.needs = it.needs;
                placeholder.usesLeftover = true;
                target->add(placeholder);
                reserved.emplace_back(target, it.task);
                requestStop(it);
                changedWorkers.insert(worker);
            }
        }
        return std::ranges::none_of(worker->runs(), isThrottled);
    });
    for (const auto &[worker, task] : reserved) {
        worker->remove(task);
    }
    counts.moves += reserved.size();
}

// Returns the worker to which a throttled run is worth moving, or nullptr.
workers::Worker *Fleet::Private::moveTarget(const workers::Worker &worker, const workers::Run &run, TimePoint now)
{
    auto *job = findJob(run.task.job);
    if (job == nullptr || !job->job.isOpen() || !isWorthMoving(*job, run, now)) {
        return nullptr;
    }
    const auto &id = worker.entry().id;
    job->movedFrom[run.task] = id; // keeps it from being chosen again
    auto *target = chooseWorker(*job, run.task, {}, now);
    // The leftover cores beside a reduced run are not idle.
    if (target == nullptr || target == &worker || throttlingWorkers.contains(target->entry().id)
        || target->reducedRunCount() > 0) {
        job->movedFrom.erase(run.task);
        return nullptr;
    }
    log.record("run-moved",
               {{"task", run.task},
                {"run", run.number},
                {"worker", id.view()},
                {"target", target->entry().id.view()},
                {"percent", run.percent},
                {"pace", run.pace},
                {"lostMs", toMilliseconds(run.lostToPace)}});
    return target;
}

} // namespace monsoonspool::execution
