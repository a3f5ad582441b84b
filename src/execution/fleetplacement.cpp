// Placement of waiting tasks and gangs on workers.
#include "execution/fleetstate.h"
#include "jobs/names.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace monsoonspool::execution {

namespace {

// A crash suspect waits this long at most for a worker without another one. The platform takes
// work as lost that waits for 3 s beside free capacity.
constexpr Duration MaxTimeKeptApart = 2s;

// Work waits this long at most behind a gang while under half of its service's capacity is reserved. The
// bound of the platform, 3 s, applies then.
constexpr Duration MaxTimeHeldBack = 2s;

// A task that has failed waits this long at most for a worker that is not suspect. The cause may be the
// workers all the same, which would use up its attempts.
constexpr Duration MaxTimeAwaitingSoundWorker = 2s;

// Work on leftover cores that all workers refuse starts as a reduced run after this time. The platform takes work as
// lost that waits for 3 s beside free memory and accelerators.
constexpr Duration MaxTimeRefused = 2s;

// Workers that a plan looks at for reduced runs, each of which costs a look at all of them: at size, many looks make
// the plans too long for the work that can be on time.
constexpr std::size_t MaxReducedLooks = 2000;

jobs::TaskId firstOfStep(jobs::TaskId task)
{
    task.index = 0;
    return task;
}

// The members of a gang wait together.
jobs::TaskId waitingTask(const TrackedJob &job, jobs::TaskId task)
{
    if (job.job.stepSpec(task.step).isGang) {
        task.index = 0;
    }
    return task;
}

} // namespace

std::int64_t timesContained(const Resources &capacity, const Resources &needs)
{
    auto times = std::numeric_limits<std::int64_t>::max();
    for (const auto member : {&Resources::milliCores, &Resources::memoryMiB, &Resources::accelerators}) {
        if (needs.*member > 0) {
            times = std::min(times, capacity.*member / needs.*member);
        }
    }
    return times;
}

scheduling::TaskDemand Fleet::Private::demandOf(const TrackedJob &job, const jobs::TaskId &task,
                                                std::string_view preferredRack, TimePoint now)
{
    const auto &spec = job.job.stepSpec(task.step);
    const auto image = interference.numberOf(spec.image);
    const bool usesInterference = spec.isLasting || (spec.usesLeftover && interference.interferesWithAny(image));
    scheduling::TaskDemand demand;
    demand.task = task;
    demand.step = &spec;
    demand.image = image;
    demand.service = policyOf(job).service.view();
    demand.ignoresSuspicion = ignoresSuspicion(demand.service, spec, now) && !awaitsSoundWorker(job, task, now);
    demand.preferredRack = preferredRack;
    demand.crashCount = job.job.crashSuspicion(task);
    demand.interference = usesInterference ? &interference : nullptr;
    demand.interferenceFreeCapacity = &interferenceFreeCapacity;
    demand.avoided = job.job.avoidedWorkers(task);
    if (const auto it = job.movedFrom.find(task); it != job.movedFrom.end()) {
        demand.movedFrom = &it->second;
    }
    return demand;
}

bool Fleet::Private::ignoresSuspicion(std::string_view service, const jobs::StepSpec &step, TimePoint now)
{
    std::string key(service);
    key += '/';
    key += step.requiredLabel;
    const auto [it, isNew] = suspicionIgnored.try_emplace(std::move(key), false);
    if (isNew) {
        it->second = scheduling::areMostSuspect(workers, service, step.requiredLabel, now);
    }
    return it->second;
}

bool Fleet::Private::awaitsSoundWorker(const TrackedJob &job, const jobs::TaskId &task, TimePoint now)
{
    return !job.job.avoidedWorkers(task).empty() && now - job.job.task(task).retryAt < MaxTimeAwaitingSoundWorker;
}

namespace {

// Which workers can take disturbing leftover work depends on its image.
std::optional<scheduling::ImageNumber> restrictingImage(const scheduling::TaskDemand &demand)
{
    const bool isRestricted = demand.step->usesLeftover && demand.interference != nullptr;
    return isRestricted ? std::optional(demand.image) : std::nullopt;
}

bool isComparable(const UnplaceableDemand &unplaceable, const scheduling::TaskDemand &demand)
{
    return unplaceable.service == demand.service && unplaceable.usesLeftover == demand.step->usesLeftover
        && unplaceable.reducedStart == demand.reducedStart && unplaceable.image == restrictingImage(demand)
        && unplaceable.ignoresSuspicion == demand.ignoresSuspicion;
}

} // namespace

bool Fleet::Private::isRuledOut(std::span<const UnplaceableDemand> unplaceable, const scheduling::TaskDemand &demand)
{
    return std::ranges::any_of(unplaceable, [&](const UnplaceableDemand &it) {
        return isComparable(it, demand) && demand.step->needs.contains(it.needs);
    });
}

void Fleet::Private::ruleOut(std::vector<UnplaceableDemand> &unplaceable, const scheduling::TaskDemand &demand)
{
    const auto &spec = *demand.step;
    if (!spec.requiredLabel.empty() || spec.maxPerWorker != 0 || demand.crashCount != 0) {
        return; // others may find room
    }
    // Only the smallest demands that failed are kept, since they rule out larger ones.
    std::erase_if(unplaceable, [&](const UnplaceableDemand &it) {
        return isComparable(it, demand) && it.needs.contains(spec.needs);
    });
    unplaceable.push_back({demand.service, spec.usesLeftover, demand.ignoresSuspicion, demand.reducedStart,
                           restrictingImage(demand), spec.needs});
}

workers::Worker *Fleet::Private::chooseWorker(TrackedJob &job, const jobs::TaskId &task, std::string_view preferredRack,
                                              TimePoint now, std::optional<scheduling::RankedWorkers> *ranked)
{
    auto demand = demandOf(job, task, preferredRack, now);
    if (isRuledOut(unplaceableDemands, demand) || isHeldBack(job, demand, now)) {
        return nullptr;
    }
    // Tasks of one step differ only where earlier runs failed, or where one may still be active.
    const bool isLikeOthers
        = ranked != nullptr && demand.avoided.empty() && demand.movedFrom == nullptr && demand.crashCount == 0;
    if (isLikeOthers && !*ranked) {
        ++counts.workerSearches;
        ranked->emplace(*workerChooser, demand, workers, now);
    }
    auto *worker = isLikeOthers ? (*ranked)->best() : nullptr;
    if (!isLikeOthers || (worker != nullptr && worker->find(task) != nullptr)) {
        ++counts.workerSearches;
        worker = workerChooser->choose(demand, workers, now);
    }
    if (worker == nullptr && demand.crashCount > 0) {
        const auto since = job.keptApartSince.try_emplace(waitingTask(job, task), now).first->second;
        demand.isKeptApart = now - since < MaxTimeKeptApart;
        worker = demand.isKeptApart ? nullptr : workerChooser->choose(demand, workers, now);
    }
    if (worker == nullptr) {
        ruleOut(unplaceableDemands, demand);
    }
    return worker;
}

Fleet::Private::Placement Fleet::Private::findPlace(const WaitingStep &waiting, const jobs::TaskId &task,
                                                    std::string_view preferredRack, TimePoint now,
                                                    std::optional<scheduling::RankedWorkers> *ranked)
{
    auto &job = *waiting.job;
    if (auto *worker = chooseWorker(job, task, preferredRack, now, ranked)) {
        return {worker, false};
    }
    if (!job.job.stepSpec(task.step).usesLeftover) {
        return {};
    }
    const auto demand = demandOf(job, task, preferredRack, now);
    const auto since = job.refusedSince.try_emplace(firstOfStep(task), now).first->second;
    if (now - since < MaxTimeRefused || isHeldBack(job, demand, now)) {
        return {};
    }
    return findReducedPlace(job, demand, now);
}

// A reduced run takes next to nothing from others, so that a worker without leftover work is used for it at once.
// Elsewhere only a job gets one of which nothing runs: it then goes on in any case, and its other tasks wait for places
// at full pace.
Fleet::Private::Placement Fleet::Private::findReducedPlace(TrackedJob &job, scheduling::TaskDemand demand,
                                                           TimePoint now)
{
    using scheduling::ReducedStart;
    if (demand.crashCount > 0) {
        const auto since = job.keptApartSince.try_emplace(waitingTask(job, demand.task), now).first->second;
        demand.isKeptApart = now - since < MaxTimeKeptApart;
    }
    const bool isAnywhere = demand.step->isLasting || job.activeRuns == 0;
    demand.reducedStart = isAnywhere ? ReducedStart::Anywhere : ReducedStart::BesideNoLeftoverWork;
    const bool mayLook = reducedLooks == 0 || reducedLooks + workers.size() <= MaxReducedLooks;
    if (!mayLook || isRuledOut(unplaceableDemands, demand)) {
        return {};
    }
    reducedLooks += workers.size();
    ++counts.workerSearches;
    auto *worker = workerChooser->choose(demand, workers, now);
    if (worker == nullptr) {
        ruleOut(unplaceableDemands, demand);
    }
    return {worker, true};
}

bool Fleet::Private::isHeldBack(TrackedJob &job, const scheduling::TaskDemand &demand, TimePoint now)
{
    if (!isRuledOut(gangDemands, demand)) {
        return false;
    }
    const auto since = job.heldBackSince.try_emplace(firstOfStep(demand.task), now).first->second;
    return now - since < MaxTimeHeldBack || isHalfReserved(demand.service, now);
}

bool Fleet::Private::isHalfReserved(std::string_view service, TimePoint now)
{
    if (const auto it = halfReserved.find(service); it != halfReserved.end()) {
        return it->second;
    }
    std::int64_t capacity = 0;
    std::int64_t free = 0;
    for (const auto *it : workers) {
        if (it->entry().service.view() == service && it->isSchedulable(now, true)) {
            capacity += it->entry().capacity.milliCores;
            free += it->freeResources().milliCores;
        }
    }
    return halfReserved.emplace(service, free * 2 <= capacity).first->second;
}

jobs::RunNumber Fleet::Private::nextRun(const jobs::Task &task) const
{
    return std::max(task.lastRun, (fence.value - 1) * RunNumbersPerTerm) + 1;
}

void Fleet::Private::orderStart(TrackedJob &job, const jobs::TaskId &task, const Placement &placement,
                                jobs::RunNumber number, bool isRemote, TimePoint now, Orders &orders)
{
    auto &worker = *placement.worker;
    const auto &spec = job.job.stepSpec(task.step);
    workers::Run run;
    run.task = task;
    run.number = number;
    applyStepSpec(run, spec);
    run.orderedAt = now;
    run.progressedAt = now;
    run.startDeadline = worker.startDeadline(now, std::min(termEnd, rowsUsableUntil(now)));
    run.crashCount = job.job.crashSuspicion(task);
    run.isVerified = worker.startTimeMs() != 0 && job.job.needsVerifiedStart(task);
    run.isRemote = isRemote;
    run.isReduced = placement.isReduced;
    counts.reducedStarts += placement.isReduced ? 1 : 0;
    endRackWait(job, task, worker, isRemote, now);
    job.keptApartSince.erase(waitingTask(job, task));
    job.heldBackSince.erase(firstOfStep(task));
    worker.add(run);
    ++job.activeRuns;
    const auto checkpoint = job.job.task(task).checkpoint;
    if (job.job.state() == jobs::JobState::Queued) {
        counts.firstStart.add(now - job.job.acceptedAt());
        job.wasStartedOverdue = job.rank.isOverdue;
    }
    job.job.noteRunOrdered(task, number);
    // While a step gets reduced runs only, the next ones follow without a wait.
    if (!placement.isReduced || !job.job.step(task.occurrence, task.step).hasWaiting()) {
        job.refusedSince.erase(firstOfStep(task));
    }
    log.record("start",
               {{"task", task},
                {"run", number},
                {"worker", worker.entry().id.view()},
                {"fence", fence.value},
                {"jobFence", job.knownFence.value},
                {"jobVersion", job.version},
                {"unreported", unreportedWorkers.size()},
                {"waitedMs", toMilliseconds(now - job.job.acceptedAt())},
                {"freeCores", worker.freeResources().milliCores},
                {"isReduced", run.isReduced ? 1 : 0},
                {"isVerified", run.isVerified ? 1 : 0}});
    orders.starts.push_back(
        {worker.entry().id, task, number, checkpoint, {}, run.startDeadline, worker.startTimeMs(), run.isVerified});
}

void Fleet::Private::placeStep(const WaitingStep &waiting, int maxStarts, TimePoint now, jobs::WallTime wall,
                               Orders &orders, const std::function<bool(const jobs::Task &)> &isMeant)
{
    auto &job = *waiting.job;
    const auto &spec = job.job.stepSpec(waiting.step);
    auto rack = rackQuestion(waiting, wall);
    std::optional<scheduling::RankedWorkers> ranked;
    int starts = 0;
    const int firstOpen = job.job.step(waiting.occurrence, waiting.step).firstOpen();
    for (int n = firstOpen; n < spec.count && starts < maxStarts; ++n) {
        const jobs::TaskId id{job.job.key(), waiting.occurrence, waiting.step, n};
        const auto &task = job.job.task(id);
        if (!task.isWaiting() || now < task.retryAt || (isMeant && !isMeant(task))) {
            continue;
        }
        if (rack && keepsWaitingForRack(job, id, *rack, now)) {
            continue;
        }
        const auto placement = findPlace(waiting, id, {}, now, &ranked);
        const auto *worker = placement.worker;
        if (worker == nullptr && (job.job.crashSuspicion(id) > 0 || awaitsSoundWorker(job, id, now))) {
            continue; // waits for a worker of its own, which the others need not
        }
        if (worker == nullptr) {
            enqueueRest(waiting, rack ? rack->queued : 0);
            return;
        }
        const bool isRemote = !spec.dataRack.empty() && worker->entry().rack != spec.dataRack;
        if (rack && isRemote && beginsToWaitForRack(job, id, *rack, now)) {
            continue; // takes no room from the work behind it
        }
        orderStart(job, id, placement, nextRun(task), isRemote, now, orders);
        ++starts;
        if (ranked && ranked->best() == worker) {
            ranked->updateBest(now);
        } else {
            ranked.reset(); // another worker than the best one has changed
        }
    }
}

// Returns whether all members of a gang would fit if nothing else ran.
bool Fleet::Private::fitsIdleWorkers(const WaitingStep &waiting, TimePoint now)
{
    const auto &job = waiting.job->job;
    const auto &spec = job.stepSpec(waiting.step);
    scheduling::TaskDemand demand;
    demand.task = {job.key(), waiting.occurrence, waiting.step, 0};
    demand.step = &spec;
    demand.service = policyOf(*waiting.job).service.view();
    demand.ignoresSuspicion = ignoresSuspicion(demand.service, spec, now);
    std::int64_t members = 0;
    for (const auto *it : workers) {
        if (scheduling::isEligible(*it, demand, now)) {
            const auto most = spec.maxPerWorker == 0 ? spec.count : spec.maxPerWorker;
            members += std::min<std::int64_t>(timesContained(it->entry().capacity, spec.needs), most);
        }
    }
    return members >= spec.count;
}

std::vector<Fleet::Private::Placement> Fleet::Private::chooseMembers(const WaitingStep &waiting,
                                                                     std::string_view rackKey, TimePoint now)
{
    auto &job = *waiting.job;
    const auto &spec = job.job.stepSpec(waiting.step);
    std::vector<Placement> chosen;
    std::string_view rackOfOthers;
    for (int n = 0; n < spec.count; ++n) {
        const jobs::TaskId id{job.job.key(), waiting.occurrence, waiting.step, n};
        const auto placement = rackKey.empty()
            ? findPlace(waiting, id, spec.isColocated ? rackOfOthers : std::string_view(), now)
            : Placement{workerChooser->choose(demandOf(job, id, rackOfOthers, now), workersOnRack(rackKey), now)};
        if (placement.worker == nullptr) {
            break;
        }
        rackOfOthers = placement.worker->entry().rack;
        workers::Run placeholder;
        placeholder.task = id;
        placeholder.needs = spec.needs;
        placeholder.usesLeftover = spec.usesLeftover;
        placeholder.isReduced = placement.isReduced;
        placement.worker->add(placeholder);
        chosen.push_back(placement);
    }
    for (std::size_t n = 0; n < chosen.size(); ++n) {
        chosen[n].worker->remove({job.job.key(), waiting.occurrence, waiting.step, static_cast<int>(n)});
    }
    return chosen;
}

bool Fleet::Private::isOffRack(const jobs::StepSpec &spec, std::span<const Placement> members)
{
    const auto &rack = spec.dataRack.empty() ? members.front().worker->entry().rack : spec.dataRack;
    const bool isAffected = spec.isColocated || !spec.dataRack.empty();
    return isAffected
        && std::ranges::any_of(members, [&](const Placement &it) { return it.worker->entry().rack != rack; });
}

// Starts all members of a gang or none, so that no member occupies a worker while it
// waits for the others. Work of the same size that ranks below it waits as well for a time, unless the
// gang is too large for the workers that there are.
void Fleet::Private::placeGang(const WaitingStep &waiting, TimePoint now, jobs::WallTime wall, Orders &orders)
{
    auto &job = *waiting.job;
    const auto &spec = job.job.stepSpec(waiting.step);
    const auto &step = job.job.step(waiting.occurrence, waiting.step);
    jobs::RunNumber number = 0;
    for (int n = 0; n < spec.count; ++n) {
        const auto &task = step.task(n);
        if (!task.isWaiting() || now < task.retryAt) {
            return;
        }
        number = std::max(number, nextRun(task));
    }
    const jobs::TaskId first{job.job.key(), waiting.occurrence, waiting.step, 0};
    auto rack = rackQuestion(waiting, wall);
    if (rack && job.rackWaits.contains(first)) {
        findRackForGang(waiting, *rack, now);
        if (keepsWaitingForRack(job, first, *rack, now)) {
            return;
        }
    }
    const auto unplaceableWithoutGang = unplaceableDemands;
    auto chosen = chooseMembers(waiting, {}, now);
    if (static_cast<int>(chosen.size()) < spec.count) {
        if (!chosen.empty()) {
            unplaceableDemands = unplaceableWithoutGang;
            if (fitsIdleWorkers(waiting, now)) {
                ruleOut(gangDemands, demandOf(job, first, {}, now));
            }
        }
        return;
    }
    bool isRemote = isOffRack(spec, chosen);
    if (rack && isRemote) {
        findRackForGang(waiting, *rack, now);
        if (rack->room == RackRoom::Free) {
            auto together = chooseMembers(waiting, rack->key, now);
            if (static_cast<int>(together.size()) == spec.count) {
                chosen = std::move(together);
                isRemote = false;
            }
        } else if (beginsToWaitForRack(job, first, *rack, now)) {
            return;
        }
    }
    for (int n = 0; n < spec.count; ++n) {
        orderStart(job, {job.job.key(), waiting.occurrence, waiting.step, n}, chosen[static_cast<std::size_t>(n)],
                   number, isRemote, now, orders);
    }
}

} // namespace monsoonspool::execution
