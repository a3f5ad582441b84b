// Placement of waiting tasks and gangs on workers.
#include "execution/fleetstate.h"
#include "jobs/names.h"

#include <algorithm>
#include <limits>

namespace monsoonspool::execution {

namespace {

// A crash suspect waits this long at most for a worker without another one. The platform takes
// work as lost that waits for 3 s beside free capacity.
constexpr Duration MaxTimeKeptApart = 2s;

// Returns how often `needs` fit into `capacity`.
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

// The members of a gang wait together.
jobs::TaskId waitingTask(const TrackedJob &job, jobs::TaskId task)
{
    if (job.job.stepSpec(task.step).isGang) {
        task.index = 0;
    }
    return task;
}

} // namespace

workers::Worker *Fleet::Private::chooseWorker(TrackedJob &job, const jobs::TaskId &task, std::string_view preferredRack,
                                              TimePoint now, std::optional<scheduling::RankedWorkers> *ranked)
{
    const auto &spec = job.job.stepSpec(task.step);
    const auto image = interference.numberOf(spec.image);
    const bool usesInterference = spec.isLasting || (spec.usesLeftover && interference.interferesWithAny(image));
    scheduling::TaskDemand demand;
    demand.task = task;
    demand.step = &spec;
    demand.image = image;
    demand.service = policyOf(job).service.view();
    demand.preferredRack = preferredRack;
    demand.crashCount = job.job.crashCount(task);
    demand.interference = usesInterference ? &interference : nullptr;
    demand.interferenceFreeCapacity = &interferenceFreeCapacity;
    const auto failedOn = job.job.avoidedWorkers(task);
    std::vector<WorkerId> avoided(failedOn.begin(), failedOn.end());
    if (const auto it = job.movedFrom.find(task); it != job.movedFrom.end()) {
        avoided.push_back(it->second);
    }
    demand.avoided = avoided;
    // Which workers can take disturbing leftover work depends on its image.
    const auto failedImage
        = spec.usesLeftover && usesInterference ? std::optional(image) : std::optional<scheduling::ImageNumber>();
    const auto isComparable = [&](const UnplaceableDemand &it) {
        return it.service == demand.service && it.usesLeftover == spec.usesLeftover && it.image == failedImage;
    };
    const bool isUnplaceable = std::ranges::any_of(unplaceableDemands, [&](const UnplaceableDemand &it) {
        return isComparable(it) && spec.needs.contains(it.needs);
    });
    if (isUnplaceable) {
        return nullptr;
    }
    // Tasks of one step differ only where earlier runs failed, or where one may still be active.
    const bool isLikeOthers = ranked != nullptr && demand.avoided.empty() && demand.crashCount == 0;
    if (isLikeOthers && !*ranked) {
        ranked->emplace(*workerChooser, demand, workers, now);
    }
    auto *worker = isLikeOthers ? (*ranked)->best() : nullptr;
    if (!isLikeOthers || (worker != nullptr && worker->find(task) != nullptr)) {
        worker = workerChooser->choose(demand, workers, now);
    }
    if (worker == nullptr && demand.crashCount > 0) {
        const auto since = job.keptApartSince.try_emplace(waitingTask(job, task), now).first->second;
        demand.isKeptApart = now - since < MaxTimeKeptApart;
        worker = demand.isKeptApart ? nullptr : workerChooser->choose(demand, workers, now);
    }
    const bool isUnconstrained = spec.requiredLabel.empty() && spec.maxPerWorker == 0 && demand.crashCount == 0;
    if (worker == nullptr && isUnconstrained) {
        // Only the smallest demands that failed are kept, since they rule out larger ones.
        std::erase_if(unplaceableDemands,
                      [&](const UnplaceableDemand &it) { return isComparable(it) && it.needs.contains(spec.needs); });
        unplaceableDemands.push_back({demand.service, spec.usesLeftover, failedImage, spec.needs});
    }
    return worker;
}

jobs::RunNumber Fleet::Private::nextRun(const jobs::Task &task) const
{
    return std::max(task.lastRun, (fence.value - 1) * RunNumbersPerTerm) + 1;
}

void Fleet::Private::orderStart(TrackedJob &job, const jobs::TaskId &task, workers::Worker &worker,
                                jobs::RunNumber number, TimePoint now, Orders &orders)
{
    const auto &spec = job.job.stepSpec(task.step);
    workers::Run run;
    run.task = task;
    run.number = number;
    applyStepSpec(run, spec);
    run.orderedAt = now;
    run.progressedAt = now;
    run.startDeadline = worker.startDeadline(now, std::min(termEnd, rowsUsableUntil(now)));
    run.crashCount = job.job.crashCount(task);
    job.keptApartSince.erase(waitingTask(job, task));
    worker.add(run);
    ++job.activeRuns;
    const auto checkpoint = job.job.task(task).checkpoint;
    if (job.job.state() == jobs::JobState::Queued) {
        counts.firstStart.add(now - job.job.acceptedAt());
    }
    job.job.noteRunOrdered(task, number);
    log.record("start",
               {{"task", task},
                {"run", number},
                {"worker", worker.entry().id.view()},
                {"fence", fence.value},
                {"jobFence", job.knownFence.value},
                {"jobVersion", job.version},
                {"unreported", unreportedWorkers.size()},
                {"waitedMs", toMilliseconds(now - job.job.acceptedAt())},
                {"freeCores", worker.freeResources().milliCores}});
    orders.starts.push_back({worker.entry().id, task, number, checkpoint, {}, run.startDeadline, worker.startTimeMs()});
}

void Fleet::Private::placeStep(const WaitingStep &waiting, int maxStarts, TimePoint now, Orders &orders)
{
    auto &job = *waiting.job;
    const auto count = job.job.stepSpec(waiting.step).count;
    std::optional<scheduling::RankedWorkers> ranked;
    int starts = 0;
    for (int n = 0; n < count && starts < maxStarts; ++n) {
        const jobs::TaskId id{job.job.key(), waiting.occurrence, waiting.step, n};
        const auto &task = job.job.task(id);
        if (!task.isWaiting() || now < task.retryAt) {
            continue;
        }
        auto *worker = chooseWorker(job, id, {}, now, &ranked);
        if (worker == nullptr && job.job.crashCount(id) > 0) {
            continue; // waits for a worker of its own, which the others need not
        }
        if (worker == nullptr) {
            return;
        }
        orderStart(job, id, *worker, nextRun(task), now, orders);
        ++starts;
        if (ranked && ranked->best() == worker) {
            ranked->updateBest(now);
        } else {
            ranked.reset(); // another worker than the best one has changed
        }
    }
}

// Returns whether all members of a gang would fit if nothing else ran.
bool Fleet::Private::fitsIdleWorkers(const WaitingStep &waiting, TimePoint now) const
{
    const auto &job = waiting.job->job;
    const auto &spec = job.stepSpec(waiting.step);
    scheduling::TaskDemand demand;
    demand.task = {job.key(), waiting.occurrence, waiting.step, 0};
    demand.step = &spec;
    demand.service = policyOf(*waiting.job).service.view();
    std::int64_t members = 0;
    for (const auto *it : workers) {
        if (scheduling::isEligible(*it, demand, now)) {
            const auto most = spec.maxPerWorker == 0 ? spec.count : spec.maxPerWorker;
            members += std::min<std::int64_t>(timesContained(it->entry().capacity, spec.needs), most);
        }
    }
    return members >= spec.count;
}

// Starts all members of a gang or none, so that no member occupies a worker while it
// waits for the others. Work of the same size that ranks below it waits as well, unless the gang is
// too large for the workers that there are.
void Fleet::Private::placeGang(const WaitingStep &waiting, TimePoint now, Orders &orders)
{
    auto &job = *waiting.job;
    const auto &spec = job.job.stepSpec(waiting.step);
    const auto &step = job.job.step(waiting.occurrence, waiting.step);
    jobs::RunNumber number = 0;
    for (const auto &it : step.tasks) {
        if (!it.isWaiting() || now < it.retryAt) {
            return;
        }
        number = std::max(number, nextRun(it));
    }
    const auto unplaceableWithoutGang = unplaceableDemands;
    std::vector<workers::Worker *> chosen;
    std::string_view rack;
    for (int n = 0; n < spec.count; ++n) {
        const jobs::TaskId id{job.job.key(), waiting.occurrence, waiting.step, n};
        auto *worker = chooseWorker(job, id, spec.isColocated ? rack : std::string_view(), now);
        if (worker == nullptr) {
            break;
        }
        rack = worker->entry().rack;
        workers::Run placeholder;
        placeholder.task = id;
        placeholder.needs = spec.needs;
        placeholder.usesLeftover = spec.usesLeftover;
        worker->add(placeholder);
        chosen.push_back(worker);
    }
    for (std::size_t n = 0; n < chosen.size(); ++n) {
        chosen[n]->remove({job.job.key(), waiting.occurrence, waiting.step, static_cast<int>(n)});
    }
    if (static_cast<int>(chosen.size()) < spec.count) {
        if (!chosen.empty() && !fitsIdleWorkers(waiting, now)) {
            unplaceableDemands = unplaceableWithoutGang;
        }
        return;
    }
    for (int n = 0; n < spec.count; ++n) {
        orderStart(job, {job.job.key(), waiting.occurrence, waiting.step, n}, *chosen[static_cast<std::size_t>(n)],
                   number, now, orders);
    }
}

} // namespace monsoonspool::execution
