// Waiting of tasks for the rack of their data, and of gangs for a rack with room for all members.
#include "execution/fleetstate.h"
#include "jobs/names.h"

#include <algorithm>
#include <utility>

namespace monsoonspool::execution {

namespace {

// Stands for the run time of a lasting task, which gives no room back soon.
constexpr Duration LastingRunTime = 1h;

Resources times(const Resources &needs, std::int64_t count)
{
    return {needs.milliCores * count, needs.memoryMiB * count, needs.accelerators * count};
}

// Returns the key of a service's workers on a rack. Each service has its own room there.
std::string rackKey(std::string_view service, std::string_view rack)
{
    std::string key(service);
    key += '/';
    key += rack;
    return key;
}

// Returns whether the step may have become ready in this term. If not, a former leader may have let
// its tasks wait.
bool becameReadyInTerm(const jobs::Job &job, int occurrence, int step)
{
    const auto &before = job.stepSpec(step).after;
    return std::ranges::any_of(before, [&](int it) { return job.step(occurrence, it).hasDoneRun(); });
}

} // namespace

void Fleet::setRemoteRunTimeFactor(std::optional<double> factor)
{
    d->racks.remoteFactor = factor.value_or(1);
    d->racks.policy
        = d->racks.remoteFactor > 1 ? std::make_unique<scheduling::WaitWhileItPays>(d->racks.remoteFactor) : nullptr;
}

void Fleet::setLocalityPolicy(std::unique_ptr<scheduling::LocalityPolicy> policy)
{
    d->racks.policy = std::move(policy);
}

Duration Fleet::Private::onRack(const workers::Run &run, Duration runTime) const
{
    return run.isRemote
        ? Duration(static_cast<Duration::rep>(static_cast<double>(runTime.count()) / racks.remoteFactor))
        : runTime;
}

Duration Fleet::Private::expectedRunTime(const TrackedJob &job, const workers::Run &run) const
{
    const auto onRack = job.runTimes[static_cast<std::size_t>(run.task.step)].typical;
    return run.isRemote ? Duration(static_cast<Duration::rep>(static_cast<double>(onRack.count()) * racks.remoteFactor))
                        : onRack;
}

// Room counts only on workers that take tasks.
void Fleet::Private::noteRoomFreed(const workers::Worker &worker, const workers::Run &run, TimePoint now)
{
    if (racks.policy != nullptr && !worker.entry().rack.empty() && worker.isSchedulable(now)) {
        racks.room.noteFreed(rackKey(worker.entry().service.view(), worker.entry().rack), run.needs, run.usesLeftover,
                             now);
    }
}

std::span<workers::Worker *const> Fleet::Private::workersOnRack(std::string_view key)
{
    if (racks.areWorkersOutdated) {
        racks.areWorkersOutdated = false;
        racks.workers.clear();
        for (auto *it : workers) {
            if (!it->entry().rack.empty()) {
                racks.workers[rackKey(it->entry().service.view(), it->entry().rack)].push_back(it);
            }
        }
        racks.room.retain([&](std::string_view it) { return racks.workers.contains(it); });
        for (const auto &[memberKey, members] : racks.workers) {
            Resources capacity;
            for (const auto *it : members) {
                capacity += it->entry().capacity;
            }
            racks.room.setCapacity(memberKey, capacity);
        }
    }
    const auto it = racks.workers.find(key);
    return it == racks.workers.end() ? std::span<workers::Worker *const>() : it->second;
}

std::optional<Fleet::Private::RackQuestion> Fleet::Private::rackQuestion(const WaitingStep &waiting,
                                                                         jobs::WallTime wall) const
{
    const auto &spec = waiting.job->job.stepSpec(waiting.step);
    if (racks.policy == nullptr || (spec.dataRack.empty() && !(spec.isGang && spec.isColocated))) {
        return std::nullopt;
    }
    RackQuestion made;
    made.rack = spec.dataRack;
    made.key = rackKey(policyOf(*waiting.job).service.view(), made.rack);
    made.missing = spec.needs;
    made.wall = wall;
    return made;
}

// Computed on demand, since most steps of a long queue are decided without it.
void Fleet::Private::addOutlook(const TrackedJob &job, const jobs::TaskId &task, RackQuestion &rack,
                                TimePoint now) const
{
    if (rack.hasOutlook) {
        return;
    }
    const auto step = static_cast<std::size_t>(task.step);
    const auto outlook = this->outlook(job, task.occurrence, now, rack.wall);
    rack.hasOutlook = true;
    rack.acceptedAt = outlook.acceptedAt;
    rack.question.runTime = job.runTimes[step].typical;
    rack.question.isLasting = job.job.stepSpec(task.step).isLasting;
    rack.question.remainingAfter = job.pathTimesAfter[step];
    rack.question.softDeadline = outlook.softDeadline;
    rack.question.hardDeadline = outlook.hardDeadline;
}

bool Fleet::Private::keepsWaitingForRack(const TrackedJob &job, const jobs::TaskId &task, RackQuestion &rack,
                                         TimePoint now)
{
    const auto it = job.rackWaits.find(task);
    if (it == job.rackWaits.end()) {
        return false;
    }
    updateExpectedWait(job, task, rack, now);
    rack.question.waitsSince = it->second.countsFrom;
    if (!racks.policy->decide(rack.question, now).waits || roomOnRack(job, task, rack, now) != RackRoom::Full) {
        return false;
    }
    enqueueForRack(job, task, rack);
    return true;
}

bool Fleet::Private::beginsToWaitForRack(TrackedJob &job, const jobs::TaskId &task, RackQuestion &rack, TimePoint now)
{
    // A task that ran before has lost time already.
    if (job.rackWaits.contains(task) || job.job.task(task).lastRun > 0 || !job.job.avoidedWorkers(task).empty()
        || job.job.crashCount(task) > 0) {
        return false;
    }
    updateExpectedWait(job, task, rack, now);
    const bool mayHaveWaited = rack.acceptedAt < termBeganAt && !becameReadyInTerm(job.job, task.occurrence, task.step);
    rack.question.waitsSince = mayHaveWaited ? rack.acceptedAt : now;
    const auto decision = racks.policy->decide(rack.question, now);
    if (!decision.waits || roomOnRack(job, task, rack, now) != RackRoom::Full) {
        return false;
    }
    job.rackWaits[task] = {now, rack.question.waitsSince};
    ++counts.rackWaits;
    log.record("rack-wait",
               {{"task", task},
                {"rack", rack.rack},
                {"expectedWaitMs", toMilliseconds(rack.question.expectedWait.value_or(Duration(0)))},
                {"longestWaitMs", toMilliseconds(decision.until - now)},
                {"runMs", toMilliseconds(rack.question.runTime)}});
    enqueueForRack(job, task, rack);
    return true;
}

void Fleet::Private::endRackWait(TrackedJob &job, const jobs::TaskId &task, const workers::Worker &worker,
                                 bool isRemote, TimePoint now)
{
    counts.remoteStarts += isRemote ? 1 : 0;
    const auto it = job.rackWaits.find(task);
    if (it == job.rackWaits.end()) {
        return;
    }
    const auto waited = now - it->second.beganAt;
    ++(isRemote ? counts.rackWaitsGivenUp : counts.rackWaitsMet);
    counts.rackWait.add(waited);
    log.record("rack-wait-over",
               {{"task", task},
                {"worker", worker.entry().id.view()},
                {"isOnRack", isRemote ? 0 : 1},
                {"waitedMs", toMilliseconds(waited)}});
    job.rackWaits.erase(it);
}

// Called for a step whose tasks find no room. They take what becomes free on their rack before work that
// ranks behind.
void Fleet::Private::enqueueRest(const WaitingStep &waiting, int alreadyQueued)
{
    const auto &spec = waiting.job->job.stepSpec(waiting.step);
    const auto &rack = spec.dataRack.empty() ? spec.requiredLabel : spec.dataRack; // may name a kind of workers instead
    if (racks.policy == nullptr || rack.empty()) {
        return;
    }
    const auto &step = waiting.job->job.step(waiting.occurrence, waiting.step);
    const int rest = step.waitingCount() - alreadyQueued;
    racks.room.enqueue(rackKey(policyOf(*waiting.job).service.view(), rack), times(spec.needs, rest),
                       spec.usesLeftover);
}

void Fleet::Private::enqueueForRack(const TrackedJob &job, const jobs::TaskId &task, RackQuestion &rack)
{
    racks.room.enqueue(rack.key, rack.missing, job.job.stepSpec(task.step).usesLeftover);
    ++rack.queued;
}

void Fleet::Private::updateExpectedWait(const TrackedJob &job, const jobs::TaskId &task, RackQuestion &rack,
                                        TimePoint now)
{
    addOutlook(job, task, rack, now);
    workersOnRack(rack.key); // brings the capacities up to date
    const auto runTime = rack.question.isLasting ? LastingRunTime : rack.question.runTime;
    rack.question.expectedWait
        = racks.room.expectedWait(rack.key, rack.missing, job.job.stepSpec(task.step).usesLeftover, runTime, now);
}

// Returns whether the rack of the question has room for a task. The workers are looked at once in a
// plan for all tasks of the step, and for those of other steps that need as much or more.
Fleet::Private::RackRoom Fleet::Private::roomOnRack(const TrackedJob &job, const jobs::TaskId &task, RackQuestion &rack,
                                                    TimePoint now)
{
    if (rack.room == RackRoom::None || rack.room == RackRoom::Full || job.job.stepSpec(task.step).isGang) {
        return rack.room; // of a gang as determined by findRackForGang()
    }
    const auto demand = demandOf(job, task, {}, now);
    auto &unplaceable = racks.unplaceable[rack.key];
    if (isRuledOut(unplaceable, demand)) {
        rack.room = RackRoom::Full;
        return rack.room;
    }
    ++counts.workerSearches;
    const auto candidates = workersOnRack(rack.key);
    if (workerChooser->choose(demand, candidates, now) != nullptr) {
        return RackRoom::Free;
    }
    const bool isUsable = std::ranges::any_of(
        candidates, [&](const workers::Worker *it) { return scheduling::isEligible(*it, demand, now); });
    rack.room = isUsable ? RackRoom::Full : RackRoom::None;
    if (isUsable) {
        ruleOut(unplaceable, demand);
    }
    return rack.room;
}

// Sets the rack on which the whole gang has room, or is expected to have it first.
void Fleet::Private::findRackForGang(const WaitingStep &waiting, RackQuestion &rack, TimePoint now)
{
    const auto &job = *waiting.job;
    const auto &spec = job.job.stepSpec(waiting.step);
    const auto demand = demandOf(job, {job.job.key(), waiting.occurrence, waiting.step, 0}, {}, now);
    const std::int64_t most = spec.maxPerWorker == 0 ? spec.count : spec.maxPerWorker;
    addOutlook(job, demand.task, rack, now);
    ++counts.workerSearches;
    rack.room = RackRoom::None;
    rack.question.expectedWait.reset();
    workersOnRack(rack.key); // brings the workers of all racks up to date
    for (const auto &[key, candidates] : racks.workers) {
        const std::string_view name = candidates.front()->entry().rack;
        if (!spec.dataRack.empty() && name != spec.dataRack) {
            continue;
        }
        std::int64_t fitting = 0;
        std::int64_t fittingIfIdle = 0;
        for (const auto *it : candidates) {
            if (!scheduling::isEligible(*it, demand, now)) {
                continue;
            }
            fittingIfIdle += std::min(timesContained(it->entry().capacity, spec.needs), most);
            if (it->fits(spec.needs, spec.usesLeftover)) {
                const auto room = spec.usesLeftover ? it->freeLeftoverResources() : it->freeResources();
                fitting += std::min(timesContained(room, spec.needs), most);
            }
        }
        if (fittingIfIdle < spec.count) {
            continue;
        }
        if (fitting >= spec.count) {
            rack.rack = name;
            rack.key = key;
            rack.room = RackRoom::Free;
            return;
        }
        const auto missing = times(spec.needs, spec.count - fitting);
        const auto wait = racks.room.expectedWait(key, missing, spec.usesLeftover,
                                                  spec.isLasting ? LastingRunTime : rack.question.runTime, now);
        if (wait && (!rack.question.expectedWait || *wait < *rack.question.expectedWait)) {
            rack.rack = name;
            rack.key = key;
            rack.room = RackRoom::Full;
            rack.missing = missing;
            rack.question.expectedWait = wait;
        }
    }
}

} // namespace monsoonspool::execution
