// Planning of Fleet: which workers and jobs a plan looks at, and in which order.
#include "execution/fleetstate.h"
#include "jobs/names.h"

#include <algorithm>
#include <tuple>

namespace monsoonspool::execution {

namespace {

// A stop is sent again after this time while the run has not ended.
constexpr Duration StopResendInterval = 1s;
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

} // namespace

Orders Fleet::plan(TimePoint now, jobs::WallTime wall, int maxStarts)
{
    Orders orders;
    d->endFormerLeases(now);
    d->reportTakeover(now);
    d->reportEvacuations();
    for (auto *it : d->expireLeases(d->workersToVisit(now), now)) {
        d->drainWorker(*it, now);
        d->stopStuckRuns(*it, now);
        d->stopUnwantedRuns(*it, now, orders);
        d->settleRunsInDoubt(*it, now, orders);
        d->slowDownReducedRuns(*it, now, orders);
        d->adjustPaces(*it, now, orders);
        d->scheduleNextVisit(*it, now);
    }
    if (!d->mayStartTasks(now) || maxStarts <= 0) {
        d->reportLastingTasks(now);
        d->reportStandstills(now);
        d->reportOutcomes(now);
        d->reportMemory(now);
        orders.areStartsLimited = maxStarts <= 0;
        return orders;
    }
    d->unplaceableDemands.clear();
    d->gangDemands.clear();
    d->suspicionIgnored.clear();
    d->halfReserved.clear();
    d->reducedLooks = 0;
    d->racks.unplaceable.clear();
    d->racks.room.beginQueue();
    const auto waiting = d->waitingSteps(now, wall);
    d->updateInterferenceFreeCapacity(waiting, now);
    d->counts.dueTasks = 0;
    for (const auto &it : waiting) {
        const auto &step = it.job->job.step(it.occurrence, it.step);
        d->counts.dueTasks += static_cast<std::size_t>(step.waitingCount());
    }
    d->replaceLostLastingTasks(waiting, maxStarts, now, wall, orders);
    const auto lostLasting = orders.starts.size();
    d->placeOverdue(waiting, maxStarts, now, wall, orders);
    // What is left of these steps is looked at again in its turn. Until then a gang that does not fit keeps no
    // room from the work before it.
    d->racks.room.beginQueue();
    d->gangDemands.clear();
    const auto startsAhead = orders.starts.size();
    for (const auto &it : waiting) {
        const int startsLeft = maxStarts - static_cast<int>(orders.starts.size());
        if (startsLeft <= 0) {
            break;
        }
        const auto &spec = it.job->job.stepSpec(it.step);
        if (!spec.isGang) {
            d->placeStep(it, startsLeft, now, wall, orders);
        } else if (spec.count <= startsLeft || orders.starts.size() == startsAhead) {
            d->placeGang(it, now, wall, orders);
        } else {
            orders.areStartsLimited = true;
            break; // its turn comes before that of the work behind it
        }
    }
    orders.areStartsLimited = orders.areStartsLimited || static_cast<int>(orders.starts.size()) >= maxStarts;
    d->startPace.notePlan(static_cast<int>(orders.starts.size()), orders.areStartsLimited, now);
    d->overdueShare.noteStarts(static_cast<int>(orders.starts.size()), static_cast<int>(startsAhead - lostLasting));
    d->moveThrottledRuns(now);
    d->reportLastingTasks(now);
    d->reportStandstills(now);
    d->reportOutcomes(now);
    d->reportMemory(now);
    d->counts.starts += orders.starts.size();
    d->counts.startsDuringTakeover += d->unreportedWorkers.empty() ? 0 : orders.starts.size();
    d->counts.paces += orders.paces.size();
    return orders;
}

// Such a task waits behind all short work of its priority otherwise, whose stream may have no end. Their number
// is bounded by what was lost; a lasting task that was never ordered waits for its turn. Which tasks a former
// leader has ordered is not known, so that all of a job that was begun under it count.
void Fleet::Private::replaceLostLastingTasks(std::span<const WaitingStep> waiting, int maxStarts, TimePoint now,
                                             jobs::WallTime wall, Orders &orders)
{
    for (const auto &it : waiting) {
        const int startsLeft = maxStarts - static_cast<int>(orders.starts.size());
        if (startsLeft <= 0) {
            return;
        }
        const auto &spec = it.job->job.stepSpec(it.step);
        if (spec.isLasting && !spec.isGang) {
            const bool mayHaveRun = it.job->knownFence < fence && it.job->job.state() == jobs::JobState::Running;
            placeStep(it, startsLeft, now, wall, orders,
                      [mayHaveRun](const jobs::Task &task) { return mayHaveRun || task.lastRun > 0; });
        }
    }
}

void Fleet::Private::placeOverdue(std::span<const WaitingStep> waiting, int maxStarts, TimePoint now,
                                  jobs::WallTime wall, Orders &orders)
{
    const int startsBefore = static_cast<int>(orders.starts.size());
    const int share = std::min(overdueShare.available(), maxStarts - startsBefore);
    if (share <= 0) {
        return;
    }
    std::vector<const WaitingStep *> overdue;
    for (const auto &it : waiting) {
        if (it.rank.isOverdue) {
            overdue.push_back(&it);
        }
    }
    std::ranges::sort(overdue, {}, [](const WaitingStep *it) {
        return std::tuple(it->rank.acceptedAt, it->job->job.key(), it->occurrence, it->step);
    });
    for (const auto *it : overdue) {
        const int startsLeft = share + startsBefore - static_cast<int>(orders.starts.size());
        if (startsLeft <= 0) {
            return;
        }
        if (it->job->job.stepSpec(it->step).isGang) {
            placeGang(*it, now, wall, orders);
        } else {
            placeStep(*it, startsLeft, now, wall, orders);
        }
    }
}

// Returns until when tasks may start, by when the workers' entries, the cancellations and the
// evacuations were read. While the store is silent to all hosts, workers cannot announce that they
// leave, jobs cannot be cancelled and nothing can be evacuated either; if it is silent only to this
// one, another host takes over. Nothing starts before the evacuations were read once.
TimePoint Fleet::Private::rowsUsableUntil(TimePoint now) const
{
    const auto renewedAt = termRenewedAt == TimePoint::max() ? termBeganAt : termRenewedAt;
    const bool areEvacuationsUnread = evacuations && !evacuations->readAt();
    if (areEvacuationsUnread) {
        return TimePoint::min();
    }
    const auto evacuationsReadAt = evacuations ? *evacuations->readAt() : renewedAt;
    const auto storeAnsweredAt
        = std::max({renewedAt, workersReadAt.value_or(renewedAt), jobsReadAt.value_or(renewedAt), evacuationsReadAt});
    const bool isDelayed = delayedAt && now - *delayedAt < DelayMemory;
    if (!isDelayed && now - storeAnsweredAt > StoreSilence) {
        return TimePoint::max();
    }
    return std::min({workersReadAt ? *workersReadAt + MaxEntryAge : TimePoint::max(),
                     jobsReadAt ? *jobsReadAt + MaxCancellationAge : TimePoint::max(), evacuationsUsableUntil()});
}

bool Fleet::Private::mayStartTasks(TimePoint now)
{
    const bool mayStart = rowsUsableUntil(now) >= now + MinStartValidity;
    if (mayStart == areStartsSuspended) {
        areStartsSuspended = !mayStart;
        log.record(mayStart ? "starts-resumed" : "starts-suspended",
                   {{"workersReadMsAgo", toMilliseconds(now - workersReadAt.value_or(now))},
                    {"jobsReadMsAgo", toMilliseconds(now - jobsReadAt.value_or(now))},
                    {"areEvacuationsRead", !evacuations || evacuations->readAt()},
                    {"evacuationsReadMsAgo",
                     toMilliseconds(now - (evacuations ? evacuations->readAt().value_or(now) : now))}});
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
            add(interference.numberOf(spec.image), spec.needs.milliCores * step.waitingCount());
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
        for (const auto &[number, occurrence] : job->job.occurrences()) {
            for (const auto &step : occurrence.steps) {
                const auto isDelayed = [&](const jobs::Task &it) { return it.isWaiting() && now < it.retryAt; };
                waiting += static_cast<std::size_t>(step.waitingCount());
                delayed += step.countKnown(isDelayed);
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

// A former leader may have started a job that was stored after this leader read the jobs, or one that this
// leader has deferred.
bool Fleet::Private::mayBelongToUnreadJob(const workers::Run &run) const
{
    if (deferredJobs.contains(run.task.job)) {
        return true;
    }
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

} // namespace monsoonspool::execution
