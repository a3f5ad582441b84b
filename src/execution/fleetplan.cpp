// What the fleet decides to start, stop and pace.
#include "execution/fleetstate.h"
#include "jobs/names.h"
#include "scheduling/tailforecast.h"

#include <algorithm>

namespace monsoonspool::execution {

namespace {

// A job done by this multiple of its objective is late but still of use; the
// platform's accounting says so.
constexpr int LateFactor = 3;
// Expected run times are worked out anew after this time.
constexpr Duration ExpectedValidity = 2s;
// So long a job keeps its place in the order of waiting work.
constexpr Duration RankValidity = 250ms;
// A stop that got no confirmation is sent again after this time.
constexpr Duration StopRepeat = 1s;
// A checkpointed task is moved off a leaving worker unless it ends well before.
constexpr Duration DrainMargin = 500ms;
// Runs of one leader are numbered from here on, above those of all before it.
constexpr jobs::RunNumber RunsPerTenure = 1000;

constexpr int FullPace = 100;
constexpr int WholeWork = 100; // percent
// A run at this pace or more whose progress stands still for so long is stuck. Workers
// list progress every 1.5 s at least.
constexpr int MinMovingPace = 50;
constexpr Duration StuckTime = 2500ms;
// A task that stood still or failed so often is left where it is: it may be its own way.
constexpr std::size_t MaxAvoided = 3;
// A run that disturbs those beside it less than this is harmless; see maxInterference().
constexpr double MinDisturbance = 0.08;
// Smaller changes of pace are not worth a call.
constexpr int MinPaceChange = 8;

double seconds(Duration d)
{
    return std::chrono::duration<double>(d).count();
}

} // namespace

Orders Fleet::plan(TimePoint now, jobs::WallTime wall)
{
    Orders orders;
    d->noteLapses(now);
    for (auto *it : d->workers) {
        d->evacuate(*it, now);
        d->stopStuck(*it, now);
        d->stopUnwanted(*it, now, orders);
        d->regulate(*it, now, orders);
    }
    d->failedDemands.clear();
    const auto waiting = d->waitingSteps(now, wall);
    d->updateHarmlessRoom(waiting, now);
    for (const auto &it : waiting) {
        if (it.job->job.stepSpec(it.step).isGang) {
            d->placeGang(it, now, orders);
        } else {
            d->placeStep(it, now, orders);
        }
    }
    d->counts.starts += orders.starts.size();
    d->counts.paces += orders.paces.size();
    return orders;
}

void Fleet::Private::updateHarmlessRoom(std::span<const WaitingStep> waiting, TimePoint now)
{
    if (!harmlessRoom.isDue(now)) {
        return;
    }
    std::vector<std::int64_t> demands;
    const auto add = [&](scheduling::ImageNumber image, std::int64_t milliCores) {
        demands.resize(std::max(demands.size(), image + 1));
        demands[image] += milliCores;
    };
    for (const auto *worker : workers) {
        for (const auto &run : worker->runs()) {
            add(run.image, run.usesLeftover ? run.needs.milliCores : 0);
        }
    }
    for (const auto &it : waiting) {
        const auto &spec = it.job->job.stepSpec(it.step);
        if (spec.usesLeftover) {
            const auto &step = it.job->job.step(it.occurrence, it.step);
            add(interference.numberOf(spec.image),
                spec.needs.milliCores * (spec.count - step.doneCount - step.activeCount));
        }
    }
    harmlessRoom.update(workers, interference, demands, now);
}

void Fleet::Private::noteLapses(TimePoint now)
{
    if (!unheard.empty() && now >= formerLeasesEnd) {
        log.record("former-leases-over", {{"unheard", unheard.size()}});
        unheard.clear();
        dropAllOver();
    }
    std::vector<WorkerId> gone;
    for (auto *it : workers) {
        if (it->isSilent() && it->hasLapsed(now)) {
            lapseAll(*it, now, "lease lapsed");
        }
        if (!it->isListed() && it->runCount() == 0 && !unheard.contains(it->entry().id)) {
            gone.push_back(it->entry().id);
        }
    }
    for (const auto &it : gone) {
        eraseWorker(it);
    }
}

// Moves work off a worker that leaves: lasting tasks at once, since they would be away
// until their leases lapse, and checkpointed ones that would not end in time.
void Fleet::Private::evacuate(workers::Worker &worker, TimePoint now)
{
    if (!worker.entry().isDraining) {
        return;
    }
    for (auto &run : worker.runs()) {
        auto *job = findJob(run.task.job);
        if (run.state != workers::RunState::Running || job == nullptr) {
            continue;
        }
        refreshExpected(*job, now);
        const auto &spec = job->job.stepSpec(run.task.step);
        const auto left
            = job->expected[static_cast<std::size_t>(run.task.step)] * (WholeWork - run.percent) / WholeWork;
        const bool isLost = left + DrainMargin > worker.entry().remaining;
        if (spec.isLasting || (spec.hasCheckpoints && isLost)) {
            requestStop(run);
        }
    }
}

// Tasks that stand still on a worker that answers: they are started elsewhere, and the
// worker gets few tasks until one of them is done.
void Fleet::Private::stopStuck(workers::Worker &worker, TimePoint now)
{
    if (worker.isSilent() || !worker.isConfirmed()) {
        return;
    }
    for (auto &run : worker.runs()) {
        auto *job = findJob(run.task.job);
        const bool isExpectedToMove = run.state == workers::RunState::Running && !run.isLasting
            && run.pace >= MinMovingPace && run.percent < WholeWork && now - run.paceChangedAt > StuckTime;
        if (!isExpectedToMove || job == nullptr || now - run.progressedAt < StuckTime
            || job->avoided[run.task].size() >= MaxAvoided) {
            continue;
        }
        log.record("run-stuck",
                   {{"task", jobs::taskName(run.task)},
                    {"run", run.number},
                    {"worker", worker.entry().id.view()},
                    {"percent", run.percent},
                    {"standsStillMs", toMilliseconds(now - run.progressedAt)}});
        job->avoided[run.task].push_back(worker.entry().id);
        worker.noteFailure(now);
        requestStop(run);
    }
}

void Fleet::Private::stopUnwanted(workers::Worker &worker, TimePoint now, Orders &orders)
{
    if (worker.isSilent() || !worker.isConfirmed()) {
        return;
    }
    for (auto &run : worker.runs()) {
        const auto *job = findJob(run.task.job);
        const bool isWanted = job != nullptr && job->job.isOpen() && !job->job.task(run.task).isDone;
        if (!isWanted && run.state != workers::RunState::Stopping && run.state != workers::RunState::Ordered) {
            requestStop(run);
        }
        if (run.state != workers::RunState::Stopping) {
            continue;
        }
        const bool isDue = !run.isStopSent || now - run.stopSentAt > StopRepeat;
        if (isDue) {
            run.isStopSent = true;
            run.stopSentAt = now;
            orders.stops.push_back({worker.entry().id, run.task, run.number});
        }
    }
}

void Fleet::Private::regulate(workers::Worker &worker, TimePoint now, Orders &orders)
{
    if (worker.isSilent() || !worker.isConfirmed() || !worker.consumeNewListing()) {
        return;
    }
    scheduling::PaceRegulator::TailState tails;
    bool hasLeftover = false;
    for (const auto &run : worker.runs()) {
        if (run.usesLeftover) {
            hasLeftover = true;
            tails.isCauseKnown = tails.isCauseKnown || maxInterference(interference, worker, run) > MinDisturbance;
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
    const auto measured = worker.paceRegulator().update(tails, now);
    const int safe = safePace(interference, worker);
    const int room = roomPace(worker);
    const int pace = std::min({measured.percent, safe, room});
    for (auto &run : worker.runs()) {
        if (!run.usesLeftover || run.state != workers::RunState::Running) {
            continue;
        }
        const bool isDisturbing = maxInterference(interference, worker, run) > MinDisturbance;
        const int wanted = isDisturbing ? pace : measured.appliesToAll ? measured.percent : FullPace;
        const bool isNotable = std::abs(run.pace - wanted) >= MinPaceChange || run.pace < 0
            || (run.pace != wanted && (wanted == FullPace || wanted == 0));
        if (isNotable) {
            worker.setPace(run, wanted);
            run.paceChangedAt = now;
            log.record("pace",
                       {{"task", jobs::taskName(run.task)},
                        {"run", run.number},
                        {"worker", worker.entry().id.view()},
                        {"percent", wanted},
                        {"measuredPercent", measured.percent},
                        {"safePercent", safe},
                        {"roomPercent", room},
                        {"tailPercentOfTarget", static_cast<int>(tails.worstRatio * WholeWork)},
                        {"overMs", toMilliseconds(tails.longestViolation)},
                        {"isDisturbing", isDisturbing ? 1 : 0}});
            orders.paces.push_back({worker.entry().id, run.task, run.number, wanted});
        }
    }
}

// Returns the pace at which the work that disturbs fits beside that which does not.
int Fleet::Private::roomPace(const workers::Worker &worker) const
{
    std::int64_t disturbing = 0;
    std::int64_t harmless = 0;
    for (const auto &run : worker.runs()) {
        if (run.usesLeftover) {
            const bool isDisturbing = maxInterference(interference, worker, run) > MinDisturbance;
            (isDisturbing ? disturbing : harmless) += run.needs.milliCores;
        }
    }
    const auto room = std::max<std::int64_t>(worker.leftoverMilliCores() - harmless, 0);
    return disturbing <= room ? FullPace : static_cast<int>(room * FullPace / disturbing);
}

void Fleet::Private::refreshExpected(TrackedJob &job, TimePoint now) const
{
    if (!job.expected.empty() && now - job.expectedAt < ExpectedValidity) {
        return;
    }
    const auto &steps = job.job.spec().steps;
    job.expectedAt = now;
    job.expected.resize(steps.size());
    job.wholeChain = Duration(0);
    std::vector<Duration> chains(steps.size());
    for (std::size_t n = 0; n < steps.size(); ++n) {
        job.expected[n] = estimator.expected(job.job.queue(), steps[n]);
        for (const int before : steps[n].after) {
            chains[n] = std::max(chains[n], chains[static_cast<std::size_t>(before)]);
        }
        chains[n] += job.expected[n];
        job.wholeChain = std::max(job.wholeChain, chains[n]);
    }
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
    outlook.acceptedAt = job.job.acceptedAt();
    if (spec.isTimed()) {
        outlook.acceptedAt
            = now + std::chrono::duration_cast<Duration>(spec.firstDue + spec.interval * occurrence - wall);
    }
    const Duration objective = policy.targetLatency
        + Duration(static_cast<Duration::rep>(policy.stretch * static_cast<double>(job.wholeChain.count())));
    outlook.softDeadline = outlook.acceptedAt + objective;
    outlook.hardDeadline = outlook.acceptedAt + objective * LateFactor;
    std::vector<Duration> chains(spec.steps.size());
    for (std::size_t n = 0; n < spec.steps.size(); ++n) {
        const auto &step = job.job.step(occurrence, static_cast<int>(n));
        for (const int before : spec.steps[n].after) {
            chains[n] = std::max(chains[n], chains[static_cast<std::size_t>(before)]);
        }
        if (!step.isDone()) {
            chains[n] += job.expected[n];
            const auto open = static_cast<double>(spec.steps[n].count - step.doneCount);
            outlook.work += open * seconds(job.expected[n])
                * static_cast<double>(std::max<std::int64_t>(spec.steps[n].needs.milliCores, 1)) / 1000;
        }
        outlook.remaining = std::max(outlook.remaining, chains[n]);
    }
    return outlook;
}

// Tasks that a former leader may have started somewhere wait until every worker of
// its roster has said what it runs.
bool Fleet::Private::isBlocked(const TrackedJob &job, TimePoint now) const
{
    return !unheard.empty() && job.version <= claimVersion && now < formerLeasesEnd;
}

scheduling::Rank Fleet::Private::rankOf(TrackedJob &job, int occurrence, TimePoint now, jobs::WallTime wall)
{
    const bool isFresh = job.rankedOccurrence == occurrence && now - job.rankedAt < RankValidity;
    if (!isFresh) {
        refreshExpected(job, now);
        job.rank = waitingOrder->rank(outlook(job, occurrence, now, wall), now);
        job.rankedOccurrence = occurrence;
        job.rankedAt = now;
    }
    return job.rank;
}

std::vector<Fleet::Private::WaitingStep> Fleet::Private::waitingSteps(TimePoint now, jobs::WallTime wall)
{
    std::vector<WaitingStep> waiting;
    for (auto &[key, job] : jobsByKey) {
        if (!job->job.isOpen() || isBlocked(*job, now)) {
            continue;
        }
        if (job->job.spec().isTimed()) {
            job->job.openDueOccurrences(wall);
        }
        for (int k = 0; k < static_cast<int>(job->job.occurrences().size()); ++k) {
            if (job->job.occurrences()[static_cast<std::size_t>(k)].openSteps == 0) {
                continue;
            }
            scheduling::Rank rank;
            bool isRanked = false;
            for (int s = 0; s < static_cast<int>(job->job.spec().steps.size()); ++s) {
                if (!job->job.step(k, s).hasWaiting() || !job->job.isReady(k, s)) {
                    continue;
                }
                if (!isRanked) {
                    rank = rankOf(*job, k, now, wall);
                    isRanked = true;
                }
                waiting.push_back({job.get(), k, s, rank});
            }
        }
    }
    std::ranges::sort(waiting, [](const WaitingStep &a, const WaitingStep &b) {
        return std::tuple(a.rank, a.job->job.key(), a.occurrence, a.step)
            < std::tuple(b.rank, b.job->job.key(), b.occurrence, b.step);
    });
    return waiting;
}

workers::Worker *Fleet::Private::findRoom(const TrackedJob &job, const jobs::TaskId &task,
                                          std::string_view preferredRack, TimePoint now)
{
    const auto &spec = job.job.stepSpec(task.step);
    const auto image = interference.numberOf(spec.image);
    const bool isConcerned = spec.isLasting || (spec.usesLeftover && interference.interferesWithAny(image));
    scheduling::TaskDemand demand;
    demand.task = task;
    demand.step = &spec;
    demand.image = image;
    demand.service = policyOf(job).service.view();
    demand.preferredRack = preferredRack;
    demand.interference = isConcerned ? &interference : nullptr;
    demand.interferenceFreeCapacity = &harmlessRoom;
    if (const auto it = job.avoided.find(task); it != job.avoided.end()) {
        demand.avoided = it->second;
    }
    // Leftover work that disturbs others finds no worker for its image's sake.
    const auto failedImage
        = spec.usesLeftover && isConcerned ? std::optional(image) : std::optional<scheduling::ImageNumber>();
    const auto isAlike = [&](const FailedDemand &it) {
        return it.service == demand.service && it.usesLeftover == spec.usesLeftover && it.image == failedImage;
    };
    const bool isHopeless = std::ranges::any_of(
        failedDemands, [&](const FailedDemand &it) { return isAlike(it) && spec.needs.holds(it.needs); });
    if (isHopeless) {
        return nullptr;
    }
    auto *worker = workerChooser->choose(demand, workers, now);
    const bool isPlain = spec.requiredLabel.empty() && spec.maxPerWorker == 0;
    if (worker == nullptr && isPlain) {
        // Only the smallest sizes that failed are worth remembering.
        std::erase_if(failedDemands, [&](const FailedDemand &it) { return isAlike(it) && it.needs.holds(spec.needs); });
        failedDemands.push_back({demand.service, spec.usesLeftover, failedImage, spec.needs});
    }
    return worker;
}

jobs::RunNumber Fleet::Private::nextRun(const jobs::Task &task) const
{
    return std::max(task.lastRun, (fence.value - 1) * RunsPerTenure) + 1;
}

void Fleet::Private::orderStart(TrackedJob &job, const jobs::TaskId &task, workers::Worker &worker,
                                jobs::RunNumber number, TimePoint now, Orders &orders)
{
    const auto &spec = job.job.stepSpec(task.step);
    workers::Run run;
    run.task = task;
    run.number = number;
    describeRun(run, spec);
    run.orderedAt = now;
    run.progressedAt = now;
    run.startDeadline = worker.startDeadline(now);
    worker.add(run);
    ++job.runs;
    const auto checkpoint = job.job.task(task).checkpoint;
    if (job.job.state() == jobs::JobState::Queued) {
        counts.firstStart.add(now - job.job.acceptedAt());
    }
    job.job.noteRunOrdered(task, number);
    log.record("start",
               {{"task", jobs::taskName(task)},
                {"run", number},
                {"worker", worker.entry().id.view()},
                {"waitedMs", toMilliseconds(now - job.job.acceptedAt())},
                {"freeCores", worker.freeResources().milliCores}});
    orders.starts.push_back({worker.entry().id, task, number, checkpoint, {}, run.startDeadline});
}

void Fleet::Private::placeStep(const WaitingStep &waiting, TimePoint now, Orders &orders)
{
    auto &job = *waiting.job;
    const auto count = job.job.stepSpec(waiting.step).count;
    for (int n = 0; n < count; ++n) {
        const jobs::TaskId id{job.job.key(), waiting.occurrence, waiting.step, n};
        const auto &task = job.job.task(id);
        if (!task.isWaiting() || now < task.retryAt) {
            continue;
        }
        auto *worker = findRoom(job, id, {}, now);
        if (worker == nullptr) {
            return;
        }
        orderStart(job, id, *worker, nextRun(task), now, orders);
    }
}

// The members of a gang start together or not at all, so that none waits for
// others without working.
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
    std::vector<workers::Worker *> chosen;
    std::string_view rack;
    for (int n = 0; n < spec.count; ++n) {
        const jobs::TaskId id{job.job.key(), waiting.occurrence, waiting.step, n};
        auto *worker = findRoom(job, id, spec.isColocated ? rack : std::string_view(), now);
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
        return;
    }
    for (int n = 0; n < spec.count; ++n) {
        orderStart(job, {job.job.key(), waiting.occurrence, waiting.step, n}, *chosen[static_cast<std::size_t>(n)],
                   number, now, orders);
    }
}

} // namespace monsoonspool::execution
