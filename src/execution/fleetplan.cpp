// Planning of Fleet: which tasks to start, stop and pace.
#include "execution/fleetstate.h"
#include "jobs/names.h"
#include "scheduling/tailforecast.h"

#include <algorithm>
#include <limits>

namespace monsoonspool::execution {

namespace {

// A job that completes within this multiple of its objective is late but still useful,
// as defined by the platform's accounting.
constexpr int LateFactor = 3;
// Expected run times are recomputed after this time.
constexpr Duration ExpectedRunTimeValidity = 2s;
// A waiting job's rank is recomputed after this time.
constexpr Duration RankValidity = 250ms;
// A stop is sent again after this time while the run has not ended.
constexpr Duration StopResendInterval = 1s;
// A task is moved off a draining worker unless it is expected to end at least this long
// before the worker leaves.
constexpr Duration DrainMargin = 500ms;
// Within this time, a worker stops a run and lists its end.
constexpr Duration MaxStopTime = 1s;
// Tasks may take less than expected by this factor.
constexpr int MaxOverestimate = 2;
// A leader numbers its runs from (fence - 1) * RunNumbersPerTerm + 1, above those of
// all earlier leaders.
constexpr jobs::RunNumber RunNumbersPerTerm = 1000;

// A task starts within this time after the entries of the workers were read. The platform
// allows no start on a worker 2.5 s after its entry has announced that it leaves.
constexpr Duration MaxEntryAge = 2300ms;
// The same after the cancellations of jobs were read. The platform allows no start 3 s after a job's
// cancellation was acknowledged.
constexpr Duration MaxCancellationAge = 2800ms;
// Shortest validity of a start order that is worth sending.
constexpr Duration MinStartValidity = 300ms;
// The store is taken as silent when it has answered no call that was sent later than this ago. One
// renewal of the leadership that gets no answer does not take longer to be repeated.
constexpr Duration StoreSilence = 2200ms;
// Events are taken as being handled late for this time after one that was.
constexpr Duration DelayMemory = 3s;

// A crash suspect waits this long at most for a worker without another one. The platform takes
// work as lost that waits for 3 s beside free capacity.
constexpr Duration MaxTimeKeptApart = 2s;

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

double seconds(Duration d)
{
    return std::chrono::duration<double>(d).count();
}

// Returns the time that the run still needs: by its step's expected run time, or by its own
// progress if it is slower than that.
Duration expectedTimeLeft(const workers::Run &run, Duration expected, TimePoint now)
{
    const auto byEstimate = expected * (FullPercent - run.percent) / FullPercent;
    if (run.answeredAt == TimePoint()) {
        return byEstimate;
    }
    const auto byProgress = run.percent > 0
        ? (run.progressedAt - run.answeredAt) * (FullPercent - run.percent) / run.percent
        : now - run.answeredAt - expected;
    return std::max(byEstimate, byProgress);
}

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

Orders Fleet::plan(TimePoint now, jobs::WallTime wall, int maxStarts)
{
    Orders orders;
    d->endFormerLeases(now);
    d->reportTakeover(now);
    for (auto *it : d->expireLeases(d->workersToVisit(now), now)) {
        d->drainWorker(*it, now);
        d->stopStuckRuns(*it, now);
        d->stopUnwantedRuns(*it, now, orders);
        d->adjustPaces(*it, now, orders);
        d->scheduleNextVisit(*it, now);
    }
    if (!d->mayStartTasks(now) || maxStarts <= 0) {
        d->reportLastingTasks(now);
        return orders;
    }
    d->unplaceableDemands.clear();
    const auto waiting = d->waitingSteps(now, wall);
    d->updateInterferenceFreeCapacity(waiting, now);
    for (const auto &it : waiting) {
        const int startsLeft = maxStarts - static_cast<int>(orders.starts.size());
        if (startsLeft <= 0) {
            break;
        }
        const auto &spec = it.job->job.stepSpec(it.step);
        if (!spec.isGang) {
            d->placeStep(it, startsLeft, now, orders);
        } else if (spec.count <= startsLeft || orders.starts.empty()) {
            d->placeGang(it, now, orders);
        } else {
            break; // its turn comes before that of the work behind it
        }
    }
    d->reportLastingTasks(now);
    d->counts.starts += orders.starts.size();
    d->counts.startsDuringTakeover += d->unreportedWorkers.empty() ? 0 : orders.starts.size();
    d->counts.paces += orders.paces.size();
    return orders;
}

// Returns until when tasks may start, by when the workers' entries and the cancellations were read.
// While the store is silent to all hosts, workers cannot announce that they leave and jobs cannot be
// cancelled either; if it is silent only to this one, another host takes over.
TimePoint Fleet::Private::rowsUsableUntil(TimePoint now) const
{
    const auto renewedAt = termRenewedAt == TimePoint::max() ? termBeganAt : termRenewedAt;
    const auto storeAnsweredAt
        = std::max({renewedAt, workersReadAt.value_or(renewedAt), jobsReadAt.value_or(renewedAt)});
    const bool isDelayed = delayedAt && now - *delayedAt < DelayMemory;
    if (!isDelayed && now - storeAnsweredAt > StoreSilence) {
        return TimePoint::max();
    }
    return std::min(workersReadAt ? *workersReadAt + MaxEntryAge : TimePoint::max(),
                    jobsReadAt ? *jobsReadAt + MaxCancellationAge : TimePoint::max());
}

bool Fleet::Private::mayStartTasks(TimePoint now)
{
    const bool mayStart = rowsUsableUntil(now) - now >= MinStartValidity;
    if (mayStart == areStartsSuspended) {
        areStartsSuspended = !mayStart;
        log.record(mayStart ? "starts-resumed" : "starts-suspended",
                   {{"workersReadMsAgo", toMilliseconds(now - workersReadAt.value_or(now))},
                    {"jobsReadMsAgo", toMilliseconds(now - jobsReadAt.value_or(now))}});
    }
    return mayStart;
}

void Fleet::Private::updateInterferenceFreeCapacity(std::span<const WaitingStep> waiting, TimePoint now)
{
    if (!interferenceFreeCapacity.isDue(now)) {
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
    interferenceFreeCapacity.update(workers, interference, demands, now);
}

std::vector<workers::Worker *> Fleet::Private::workersToVisit(TimePoint now)
{
    while (!timedVisits.empty() && timedVisits.begin()->first <= now) {
        auto *worker = findWorker(timedVisits.begin()->second);
        worker->setVisitAt(std::nullopt);
        changedWorkers.insert(worker);
        timedVisits.erase(timedVisits.begin());
    }
    std::vector<workers::Worker *> visited(changedWorkers.begin(), changedWorkers.end());
    changedWorkers.clear();
    std::ranges::sort(visited,
                      [](const workers::Worker *a, const workers::Worker *b) { return a->entry().id < b->entry().id; });
    return visited;
}

void Fleet::Private::scheduleNextVisit(workers::Worker &worker, TimePoint now)
{
    bool hasStop = false;
    auto visitAt = TimePoint::max();
    for (const auto &it : worker.runs()) {
        hasStop = hasStop || it.state == workers::RunState::Stopping;
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

void Fleet::Private::endFormerLeases(TimePoint now)
{
    if (unreportedWorkers.empty()) {
        return;
    }
    const auto certain = soleLeaderTime(now);
    // A worker that answers has a lease of this leader; its list of ends is cut.
    const auto unheard = std::erase_if(unreportedWorkers, [&](const WorkerId &id) {
        if (certain < formerLeasesEndOn(id)) {
            return false;
        }
        auto *worker = findWorker(id);
        const bool isUnheard
            = worker == nullptr || !worker->isConfirmed() || (worker->isSilent() && worker->hasLapsed(certain));
        if (isUnheard && worker != nullptr) {
            changedWorkers.insert(worker);
        }
        return isUnheard;
    });
    if (unheard > 0) {
        log.record("former-leases-over", {{"unheard", unheard}});
    }
    if (unreportedWorkers.empty()) {
        dropFinishedJobs();
    }
}

TimePoint Fleet::Private::formerLeasesEndOn(const WorkerId &worker) const
{
    const auto it = formerLeaseEnds.find(worker);
    return it == formerLeaseEnds.end() ? formerLeasesEnd : std::min(formerLeasesEnd, it->second);
}

void Fleet::Private::reportTakeover(TimePoint now)
{
    if (unreportedWorkers.empty() || now < takeoverReportDueAt) {
        return;
    }
    takeoverReportDueAt = now + TakeoverReportInterval;
    const auto isListed = [&](const WorkerId &id) { return workersById.at(id)->isListed(); };
    log.record("takeover-waits",
               {{"fence", fence.value},
                {"afterMs", toMilliseconds(now - termBeganAt)},
                {"unreported", unreportedWorkers.size()},
                {"unlisted", unreportedWorkers.size() - std::ranges::count_if(unreportedWorkers, isListed)},
                {"firstWorker", unreportedWorkers.begin()->view()},
                {"heldBackJobs", heldBackJobs()},
                {"formerLeasesEndInMs", toMilliseconds(formerLeasesEnd - now)}});
}

void Fleet::Private::reportLastingTasks(TimePoint now)
{
    if (now < lastingReportDueAt) {
        return;
    }
    lastingReportDueAt = now + TakeoverReportInterval;
    for (const auto &key : jobsToPlace) {
        const auto *job = findJob(key);
        if (job == nullptr || !job->job.isOpen() || !job->job.spec().isLasting()) {
            continue;
        }
        std::size_t waiting = 0;
        std::size_t delayed = 0; // after a failure
        for (const auto &occurrence : job->job.occurrences()) {
            for (const auto &step : occurrence.steps) {
                const auto isWaiting = [](const jobs::Task &it) { return it.isWaiting(); };
                const auto isDelayed = [&](const jobs::Task &it) { return it.isWaiting() && now < it.retryAt; };
                waiting += static_cast<std::size_t>(std::ranges::count_if(step.tasks, isWaiting));
                delayed += static_cast<std::size_t>(std::ranges::count_if(step.tasks, isDelayed));
            }
        }
        if (waiting > 0) {
            const std::string_view cause = isBlockedByTakeover(*job) ? "takeover"
                : areStartsSuspended                                 ? "starts suspended"
                : delayed == waiting                                 ? "failures"
                                                                     : "no worker";
            const auto isSchedulable = [&](const workers::Worker *it) { return it->isSchedulable(now); };
            log.record("lasting-tasks-wait",
                       {{"job", key},
                        {"tasks", waiting},
                        {"cause", cause},
                        {"unreported", unreportedWorkers.size()},
                        {"usableWorkers", static_cast<std::size_t>(std::ranges::count_if(workers, isSchedulable))},
                        {"ageMs", toMilliseconds(now - job->job.acceptedAt())}});
        }
    }
}

std::size_t Fleet::Private::heldBackJobs() const
{
    if (unreportedWorkers.empty()) {
        return 0;
    }
    return static_cast<std::size_t>(std::ranges::count_if(
        jobsByKey, [&](const auto &it) { return it.second->job.isOpen() && isBlockedByTakeover(*it.second); }));
}

std::vector<workers::Worker *> Fleet::Private::expireLeases(std::vector<workers::Worker *> visited, TimePoint now)
{
    const auto certain = soleLeaderTime(now);
    std::erase_if(visited, [&](workers::Worker *it) {
        if (it->isSilent() && it->hasLapsed(certain)) {
            expireRuns(*it, now, "lease expired");
        }
        const bool isGone = mayForget(*it);
        if (isGone) {
            eraseWorker(WorkerId(it->entry().id), now);
        } else {
            closeOrReopen(*it);
        }
        return isGone;
    });
    return visited;
}

// Moves work off a draining worker while the ends can still be listed: what runs there when
// it leaves starts elsewhere only once its lease has expired. A stop also keeps a start order
// that is still on its way from being carried out.
void Fleet::Private::drainWorker(workers::Worker &worker, TimePoint now)
{
    const auto departure = worker.departure();
    if (!departure) {
        return;
    }
    const Duration timeLeft = *departure - now;
    for (auto &run : worker.runs()) {
        auto *job = findJob(run.task.job);
        if (run.state == workers::RunState::Stopping || job == nullptr) {
            continue;
        }
        refreshExpectedRunTimes(*job, now);
        const auto &spec = job->job.stepSpec(run.task.step);
        const auto left = expectedTimeLeft(run, job->expectedRunTimes[static_cast<std::size_t>(run.task.step)], now);
        // A stop loses the work of a task without checkpoints, so it is put off while the task may
        // still end.
        const bool mayStillEnd = timeLeft > MaxStopTime + DrainMargin && left < timeLeft * MaxOverestimate;
        const bool isLost = left + DrainMargin > timeLeft && (spec.hasCheckpoints || !mayStillEnd);
        if (!spec.isLasting && !isLost) {
            continue;
        }
        log.record("run-drained",
                   {{"task", run.task},
                    {"run", run.number},
                    {"worker", worker.entry().id.view()},
                    {"percent", run.percent},
                    {"leftMs", toMilliseconds(left)},
                    {"departsInMs", toMilliseconds(timeLeft)}});
        requestStop(run);
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
        if (!isStuck(run, now) || job == nullptr || job->avoidedWorkers[run.task].size() >= MaxAvoidedWorkers) {
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
        job->avoidedWorkers[run.task].push_back(worker.entry().id);
        worker.noteFailure(now);
        requestStop(run);
    }
}

// A former leader may have started a job that was stored after this leader read the jobs.
bool Fleet::Private::mayBelongToUnreadJob(const workers::Run &run) const
{
    const bool areAllJobsRead = jobsReadAt && *jobsReadAt > run.orderedAt;
    return !run.areNeedsKnown && !areAllJobsRead && !readJobs.contains(run.task.job);
}

void Fleet::Private::stopUnwantedRuns(workers::Worker &worker, TimePoint now, Orders &orders)
{
    if (worker.isSilent() || !worker.isConfirmed()) {
        return;
    }
    for (auto &run : worker.runs()) {
        const auto *job = findJob(run.task.job);
        const bool isWanted
            = job == nullptr ? mayBelongToUnreadJob(run) : job->job.isOpen() && !job->job.task(run.task).isDone;
        if (!isWanted && run.state != workers::RunState::Stopping && run.state != workers::RunState::Ordered) {
            requestStop(run);
        }
        if (run.state != workers::RunState::Stopping) {
            continue;
        }
        const bool isDue = !run.isStopSent || now - run.stopSentAt > StopResendInterval;
        if (isDue) {
            run.isStopSent = true;
            run.stopSentAt = now;
            orders.stops.push_back({worker.entry().id, run.task, run.number, worker.startTimeMs()});
        }
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
    const auto measured = worker.paceRegulator().update(tails, now);
    const int safe = safePace(interference, worker);
    const int room = capacityPace(worker);
    const int pace = std::min({measured.percent, safe, room});
    for (auto &run : worker.runs()) {
        if (!run.usesLeftover || run.state != workers::RunState::Running) {
            continue;
        }
        const bool isDisturbing = maxInterference(interference, worker, run) > DisturbanceThreshold;
        const int wanted = isDisturbing ? pace : measured.appliesToAll ? measured.percent : workers::FullPace;
        const bool isSignificant = std::abs(run.pace - wanted) >= MinPaceChange || run.pace < 0
            || (run.pace != wanted && (wanted == workers::FullPace || wanted == 0));
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
                        {"isDisturbing", isDisturbing ? 1 : 0}});
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
            (isDisturbing ? disturbing : harmless) += run.needs.milliCores;
        }
    }
    const auto room = std::max<std::int64_t>(worker.leftoverMilliCores() - harmless, 0);
    return disturbing <= room ? workers::FullPace : static_cast<int>(room * workers::FullPace / disturbing);
}

void Fleet::Private::refreshExpectedRunTimes(TrackedJob &job, TimePoint now) const
{
    if (!job.expectedRunTimes.empty() && now - job.expectedUpdatedAt < ExpectedRunTimeValidity) {
        return;
    }
    const auto &steps = job.job.spec().steps;
    job.expectedUpdatedAt = now;
    job.expectedRunTimes.resize(steps.size());
    job.criticalPath = Duration(0);
    std::vector<Duration> pathTimes(steps.size());
    for (std::size_t n = 0; n < steps.size(); ++n) {
        job.expectedRunTimes[n] = estimator.expected(job.job.queue(), steps[n]);
        for (const int before : steps[n].after) {
            pathTimes[n] = std::max(pathTimes[n], pathTimes[static_cast<std::size_t>(before)]);
        }
        pathTimes[n] += job.expectedRunTimes[n];
        job.criticalPath = std::max(job.criticalPath, pathTimes[n]);
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
        + Duration(static_cast<Duration::rep>(policy.stretch * static_cast<double>(job.criticalPath.count())));
    outlook.softDeadline = outlook.acceptedAt + objective;
    outlook.hardDeadline = outlook.acceptedAt + objective * LateFactor;
    std::vector<Duration> pathTimes(spec.steps.size());
    for (std::size_t n = 0; n < spec.steps.size(); ++n) {
        const auto &step = job.job.step(occurrence, static_cast<int>(n));
        for (const int before : spec.steps[n].after) {
            pathTimes[n] = std::max(pathTimes[n], pathTimes[static_cast<std::size_t>(before)]);
        }
        if (!step.isDone()) {
            pathTimes[n] += job.expectedRunTimes[n];
            const auto open = static_cast<double>(spec.steps[n].count - step.doneCount);
            outlook.work += open * seconds(job.expectedRunTimes[n])
                * static_cast<double>(std::max<std::int64_t>(spec.steps[n].needs.milliCores, 1)) / 1000;
        }
        outlook.remaining = std::max(outlook.remaining, pathTimes[n]);
    }
    return outlook;
}

// Tasks that a former leader may have started wait until every worker on its roster where they
// may run has reported its runs, or their leases have expired. A former leader starts no task
// of a job whose accepting host knew of this leader.
bool Fleet::Private::isBlockedByTakeover(const TrackedJob &job) const
{
    if (job.knownFence > fence) {
        return true;
    }
    return job.knownFence < fence && std::ranges::any_of(unreportedWorkers, [&](const WorkerId &id) {
               const auto *worker = workersById.at(id).get();
               return !worker->remainingJobs()
                   || std::ranges::find(*worker->remainingJobs(), job.job.key()) != worker->remainingJobs()->end();
           });
}

TimePoint Fleet::Private::soleLeaderTime(TimePoint now) const
{
    return std::min(now, termRenewedAt);
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
        job.job.openDueOccurrences(wall);
    }
    const auto countBefore = waiting.size();
    for (int k = 0; k < static_cast<int>(job.job.occurrences().size()); ++k) {
        if (job.job.occurrences()[static_cast<std::size_t>(k)].openSteps == 0) {
            continue;
        }
        scheduling::Rank rank;
        bool isRanked = false;
        for (int s = 0; s < static_cast<int>(spec.steps.size()); ++s) {
            if (!job.job.step(k, s).hasWaiting() || !job.job.isReady(k, s)) {
                continue;
            }
            if (!isRanked) {
                rank = rankOf(job, k, now, wall);
                isRanked = true;
            }
            waiting.push_back({&job, k, s, rank});
        }
    }
    const bool hasLaterOccurrence = static_cast<int>(job.job.occurrences().size()) < spec.occurrenceCount();
    return waiting.size() > countBefore || hasLaterOccurrence;
}

namespace {

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
    if (const auto it = job.avoidedWorkers.find(task); it != job.avoidedWorkers.end()) {
        demand.avoided = it->second;
    }
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
