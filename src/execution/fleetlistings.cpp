// Event handling of Fleet: worker listings, replies to orders, and silent workers.
#include "execution/fleetstate.h"
#include "jobs/names.h"
#include "scheduling/tailforecast.h"

#include <algorithm>

namespace monsoonspool::execution {

namespace {

// How long a worker may wait for a run to end before it answers a renewal. Renewals
// also carry measurements, which are needed more often where serving tasks share the
// worker with leftover work, and most often where a tail latency is near its target or
// work is paced. A tail latency may exceed its target for 4 s.
constexpr Duration IdleWait = 1500ms;
constexpr Duration ServingWait = 1000ms;
constexpr Duration NearTargetWait = 600ms;
constexpr double NearTargetRatio = 0.7;
// The leases of a draining worker are short, and its progress decides which tasks are moved.
constexpr Duration DrainingWait = 500ms;
// The leases of a worker that the leader's row names as silent are extended once a later row is stored.
constexpr Duration NamedSilentWait = 100ms;
// Near the end of the term, a renewal waits for this part of the remaining time at most: the
// next one must reach the worker before its lease ends if the term is extended.
constexpr int RenewalsPerTermEnd = 4;
static_assert(ports::LateAnswerPatience < workers::RunLease);
// A part of membership::SupportValidity, so that the support of the witnesses does not lapse between two answers.
constexpr Duration WitnessWait = 250ms;
constexpr int FullPercent = 100;
// A worker's measurements cover its last 500 ms.
constexpr Duration ObserveInterval = 500ms;
constexpr double MaxObservedRatio = 2;
// Leftover work cannot use more of a worker's cores, but figures are rough.
constexpr double MaxUsedShare = 1.1;
// A task that is over its target when first seen is assumed to have been so for this
// long, which is about how long a change of leader takes.
constexpr Duration AssumedOverTargetTime = 1500ms;
// Weight of the newest measurement in a serving task's smoothed tail latency.
constexpr double SmoothingWeight = 0.4;

Duration listingWait(const workers::Worker &worker)
{
    if (worker.departure()) {
        return DrainingWait;
    }
    const bool isServing = std::ranges::any_of(worker.runs(), &workers::Run::isLasting)
        && std::ranges::any_of(worker.runs(), &workers::Run::usesLeftover);
    if (!isServing) {
        return IdleWait;
    }
    const bool isPaced = std::ranges::any_of(
        worker.runs(), [](const workers::Run &it) { return it.usesLeftover && it.pace != workers::FullPace; });
    return isPaced || worker.tailRatio() >= NearTargetRatio ? NearTargetWait : ServingWait;
}

} // namespace

ports::LeaseOrder Fleet::leaseOrder(const WorkerId &id, TimePoint now)
{
    auto *worker = d->findWorker(id);
    ports::LeaseOrder order;
    order.fence = d->fence;
    if (worker == nullptr) {
        return order;
    }
    order.startTimeMs = worker->isSilent() ? 0 : worker->startTimeMs();
    if (!worker->isSilent() && !worker->isNamedSilent()) {
        // The worker may carry out an order without its answer arriving. While it is
        // silent, no order may extend the lease that has to expire.
        order.deadline = worker->nextDeadline(now, d->termEnd);
    }
    if (!worker->isSilent() && !worker->isRestartAnnounced()) {
        // Otherwise it may have restarted, so that its ends have other numbers.
        order.acknowledgedEnd = worker->acknowledgedEnd();
    }
    if (worker->isConfirmed() && !worker->isSilent()) {
        auto wait = worker->isNamedSilent() ? NamedSilentWait : listingWait(*worker);
        if (now - d->termRenewedAt > membership::SupportNeededAfter && d->witnesses.contains(id)) {
            wait = std::min(wait, WitnessWait);
        }
        order.wait = std::max(std::min(wait, (d->termEnd - now) / RenewalsPerTermEnd), Duration(0));
        order.patience = ports::LateAnswerPatience;
    }
    return order;
}

void Fleet::applyListing(const WorkerId &id, const ports::WorkerListing &listing, TimePoint sentAt, TimePoint now)
{
    auto *worker = d->findWorker(id);
    if (worker == nullptr) {
        return;
    }
    d->changedWorkers.insert(worker);
    const auto startTimeMs = listing.startTimeMs != 0 ? listing.startTimeMs : worker->entry().startTimeMs;
    d->chargeCrash(id, d->lostRuns.take({id, worker->entry().address, startTimeMs}), now);
    // Renewals of a worker are sent one after another, so that another start time is that of a
    // later process, also if its time of day is behind.
    const bool isOtherProcess = startTimeMs != worker->startTimeMs();
    if (worker->startTimeMs() != 0 && isOtherProcess) {
        d->handleRestart(*worker, startTimeMs, listing.clock, now);
    }
    worker->setStartTimeMs(startTimeMs);
    if (isOtherProcess && !worker->isDescribed()) {
        d->log.record("worker-awaits-entry",
                      {{"worker", id.view()},
                       {"entryStartMs", worker->entry().startTimeMs},
                       {"startMs", startTimeMs},
                       {"runs", worker->runCount()}});
    }
    worker->noteContact(listing.clock, sentAt, now);
    d->applyEnds(*worker, listing, now);
    d->applyRunning(*worker, listing, sentAt, now);
    if (!listing.isTruncated) {
        d->resolveUnlistedRuns(*worker, listing, sentAt, now);
    }
    d->noteHealthyRuns(*worker, now);
    d->observeInterference(*worker, now);
    if (listing.isTruncated) {
        return; // any other run of this worker may have ended as well
    }
    d->markReported(id, now);
    if (d->mayForget(*worker)) {
        d->eraseWorker(id, now);
    }
}

void Fleet::markSilent(const WorkerId &id, TimePoint now)
{
    auto *worker = d->findWorker(id);
    if (worker != nullptr && !worker->isSilent()) {
        d->log.record(
            "worker-silent",
            {{"worker", id.view()}, {"runs", worker->runCount()}, {"isDraining", worker->entry().isDraining ? 1 : 0}});
        worker->noteSilence(now);
        d->changedWorkers.insert(worker);
    }
}

void Fleet::Private::applyEnds(workers::Worker &worker, const ports::WorkerListing &listing, TimePoint now)
{
    for (const auto &it : listing.ended) {
        if (it.number <= worker.processedEnd()) {
            continue;
        }
        worker.setProcessedEnd(it.number);
        workersWithEnds.insert(worker.entry().id);
        log.record("run-ended",
                   {{"task", it.task},
                    {"run", it.run},
                    {"worker", worker.entry().id.view()},
                    {"how", jobs::runEndName(it.outcome)},
                    {"number", it.number}});
        if (!readJobs.contains(it.task.job)) {
            worker.holdEnd(it.number);
            heldEnds[it.task.job].push_back({worker.entry().id, worker.startTimeMs(), now, it});
            deferredJobs.request(it.task.job);
        }
        const auto *run = worker.find(it.task);
        if (run != nullptr && run->number == it.run) {
            if (it.outcome == jobs::RunEnd::Done) {
                recordCompletion(worker, *run, now);
            } else if (it.outcome == jobs::RunEnd::Failed) {
                noteFailure(worker, it.task, now);
            }
            endRun(worker, it.task, it.outcome, it.checkpoint, now);
        } else {
            if (it.outcome == jobs::RunEnd::Failed) {
                noteFormerFailure(worker.entry().id, it.task);
            }
            applyEnd(it.task, it.run, it.outcome, it.checkpoint, now);
        }
    }
}

void Fleet::Private::noteFailure(workers::Worker &worker, const jobs::TaskId &task, TimePoint now)
{
    auto *job = findJob(task.job);
    if (job != nullptr && job->job.contains(task)) {
        if (job->job.avoidedWorkers(task).size() >= MaxAvoidedWorkers) {
            return; // says nothing about the worker
        }
        job->job.noteAvoidedWorker(task, worker.entry().id);
    }
    worker.noteFailure(now);
}

void Fleet::Private::noteFormerFailure(const WorkerId &worker, const jobs::TaskId &task)
{
    auto *job = findJob(task.job);
    if (job == nullptr || !job->job.contains(task)) {
        return;
    }
    const auto avoided = job->job.avoidedWorkers(task);
    if (avoided.size() < MaxAvoidedWorkers && std::ranges::find(avoided, worker) == avoided.end()) {
        job->job.noteAvoidedWorker(task, worker);
    }
}

void Fleet::Private::recordCompletion(workers::Worker &worker, const workers::Run &run, TimePoint now)
{
    worker.noteDone(now);
    const auto *job = findJob(run.task.job);
    const bool wasOrderedHere = run.startDeadline != 0;
    const bool isRepresentative = run.pace == workers::FullPace && !run.usesLeftover && wasOrderedHere;
    if (job != nullptr && isRepresentative && job->job.contains(run.task)) {
        estimator.learn(job->job.queue(), job->job.stepSpec(run.task.step), onRack(run, now - run.answeredAt));
    }
}

void Fleet::Private::endRun(workers::Worker &worker, const jobs::TaskId &task, jobs::RunEnd how,
                            std::string_view checkpoint, TimePoint now)
{
    const auto run = *worker.find(task);
    const auto number = run.number;
    worker.remove(task);
    noteRoomFreed(worker, run, now);
    changedWorkers.insert(&worker);
    auto *job = findJob(task.job);
    if (job != nullptr) {
        --job->activeRuns;
        job->job.noteRunOver(task);
        jobsToPlace.insert(task.job);
    }
    switch (how) {
    case jobs::RunEnd::Done:
        ++counts.done;
        break;
    case jobs::RunEnd::Failed:
        ++counts.failed;
        break;
    case jobs::RunEnd::Lapsed:
        ++counts.lapsed;
        break;
    default:
        ++counts.stopped;
        break;
    }
    applyEnd(task, number, how, checkpoint, now);
}

namespace {

// Returns whether a run of the task may be active although another one has ended.
bool isActive(const TrackedJob &job, const jobs::TaskId &task)
{
    return job.job.task(task).activeRuns > 0;
}

} // namespace

void Fleet::Private::applyEnd(const jobs::TaskId &task, jobs::RunNumber run, jobs::RunEnd how,
                              std::string_view checkpoint, TimePoint now)
{
    auto *job = findJob(task.job);
    if (job == nullptr || !job->job.contains(task)) {
        ++counts.endsOfUnknownJobs;
        log.record("end-of-unknown-job", {{"task", task}, {"run", run}, {"how", jobs::runEndName(how)}});
        return;
    }
    const auto otherRun = job->job.doneRun(task);
    if (how == jobs::RunEnd::Done && otherRun && *otherRun != run) {
        ++counts.duplicateRuns;
        log.record("task-done-again", {{"task", task}, {"run", run}, {"otherRun", *otherRun}, {"fence", fence.value}});
    }
    const bool wasOpen = job->job.isOpen();
    if (job->job.noteRunEnd(task, run, how, checkpoint, policyOf(*job).maxAttempts, now)) {
        markChanged(*job, task);
        jobsToPlace.insert(task.job);
        const bool isOver = wasOpen && !job->job.isOpen();
        const bool mayHaveOtherRuns = isActive(*job, task) || job->job.stepSpec(task.step).isGang;
        if (isOver || (how == jobs::RunEnd::Done && mayHaveOtherRuns)) {
            visitWorkersOf(*job);
        }
    }
    recordIfOver(*job, wasOpen, how == jobs::RunEnd::Failed ? "failed attempts" : "tasks done", now);
    dropIfFinished(task.job);
}

void Fleet::Private::recordIfOver(TrackedJob &job, bool wasOpen, std::string_view cause, TimePoint now)
{
    if (wasOpen && !job.job.isOpen()) {
        noteOutcome(job, now);
        log.record("job-over",
                   {{"job", job.job.key()},
                    {"state", jobs::jobStateName(job.job.state())},
                    {"cause", cause},
                    {"ageMs", toMilliseconds(now - job.job.acceptedAt())}});
    }
}

void Fleet::Private::applyHeldEnds(jobs::JobKey key, TimePoint now)
{
    const auto node = heldEnds.extract(key);
    if (node.empty()) {
        return;
    }
    log.record("held-ends-applied", {{"job", key}, {"ends", node.mapped().size()}});
    for (const auto &it : node.mapped()) {
        if (it.end.outcome == jobs::RunEnd::Failed) {
            noteFormerFailure(it.worker, it.end.task);
        }
        applyEnd(it.end.task, it.end.run, it.end.outcome, it.end.checkpoint, now);
        release(it);
    }
}

void Fleet::Private::release(const HeldEnd &held)
{
    auto *worker = findWorker(held.worker);
    if (worker != nullptr && worker->startTimeMs() == held.startTimeMs) {
        worker->releaseEnd(held.end.number);
    }
}

void Fleet::Private::applyRunning(workers::Worker &worker, const ports::WorkerListing &listing, TimePoint sentAt,
                                  TimePoint now)
{
    for (const auto &it : listing.running) {
        auto *run = worker.find(it.task);
        if (run == nullptr || run->number != it.run) {
            if (run == nullptr) {
                adoptRun(worker, it, now);
            }
            continue;
        }
        confirmListedRun(*run, sentAt, now);
        if (it.percent > run->percent) {
            run->progressedAt = now;
        }
        run->percent = it.percent;
        run->level = it.level;
        if (static_cast<double>(it.level) < static_cast<double>(toMilliseconds(run->tailTarget))) {
            run->withinTargetAt = now;
        } else if (run->withinTargetAt == TimePoint()) {
            run->withinTargetAt = now - AssumedOverTargetTime;
        }
        run->smoothedLevel += SmoothingWeight * (static_cast<double>(it.level) - run->smoothedLevel);
        auto *job = findJob(it.task.job);
        if (!it.checkpoint.empty() && job != nullptr) {
            job->job.noteCheckpoint(it.task, it.run, it.checkpoint);
        }
    }
}

void Fleet::Private::confirmListedRun(workers::Run &run, TimePoint sentAt, TimePoint now)
{
    run.isListed = true;
    run.listedAt = now;
    if (run.state == workers::RunState::Ordered || run.state == workers::RunState::Unanswered) {
        markBegun(run.task.job);
        run.state = workers::RunState::Running;
        run.answeredAt = std::min(now, std::max(run.orderedAt, sentAt));
        run.progressedAt = now;
    }
}

void Fleet::Private::observeInterference(workers::Worker &worker, TimePoint now)
{
    if (now - worker.observedAt() < ObserveInterval || !worker.isDescribed()) {
        return; // the measurements are in cores of a machine whose size is not known
    }
    worker.setObservedAt(now);
    std::vector<scheduling::Neighbour> neighbours;
    double usedShare = 0;
    for (const auto &it : worker.runs()) {
        if (it.usesLeftover) {
            neighbours.push_back({it.image, scheduling::usedShare(worker, it)});
            usedShare += neighbours.back().coreShare;
        }
    }
    if (usedShare > MaxUsedShare) {
        return; // measured before the worker's capacity shrank
    }
    for (const auto &it : worker.runs()) {
        const bool isServing = it.isLasting && it.tailTarget > Duration(0) && it.percent == FullPercent;
        if (isServing) {
            // Above twice the target the worker is overloaded, whatever runs beside the task.
            const auto maxTail = MaxObservedRatio * static_cast<double>(toMilliseconds(it.tailTarget));
            interference.observe(it.image, neighbours, std::min(static_cast<double>(it.level), maxTail));
        }
    }
    interference.fit(now);
}

void Fleet::Private::applyStepSpec(workers::Run &run, const jobs::StepSpec &spec)
{
    run.needs = spec.needs;
    run.image = interference.numberOf(spec.image);
    run.usesLeftover = spec.usesLeftover;
    run.isLasting = spec.isLasting;
    run.tailTarget = spec.tailTarget.value_or(Duration(0));
}

// Takes over a run that this leader did not order: it was started under a former leader,
// or by an order that was given up.
void Fleet::Private::adoptRun(workers::Worker &worker, const ports::ListedRun &listed, TimePoint now)
{
    auto *job = findJob(listed.task.job);
    if (job != nullptr && !job->job.contains(listed.task)) {
        job = nullptr;
    }
    workers::Run run;
    run.task = listed.task;
    run.number = listed.run;
    run.state = workers::RunState::Running;
    run.orderedAt = now;
    run.answeredAt = now;
    run.progressedAt = now;
    run.listedAt = now;
    run.percent = listed.percent;
    run.adoptedPercent = listed.percent;
    run.level = listed.level;
    if (job == nullptr) {
        unreadJobs.insert(listed.task.job);
        deferredJobs.request(listed.task.job);
    }
    takeOverRun(worker, run, job);
    if (job != nullptr && !listed.checkpoint.empty()) {
        job->job.noteCheckpoint(listed.task, listed.run, listed.checkpoint);
    }
}

// Adds a run of a former leader to its worker. It is kept if its task still needs it. `job` is
// nullptr if its row has not been read.
void Fleet::Private::takeOverRun(workers::Worker &worker, workers::Run run, TrackedJob *job)
{
    bool isWanted = run.state != workers::RunState::Stopping;
    run.areNeedsKnown = job != nullptr;
    if (job != nullptr) {
        const auto &spec = job->job.stepSpec(run.task.step);
        applyStepSpec(run, spec);
        run.isRemote = !spec.dataRack.empty() && worker.entry().rack != spec.dataRack;
        if (run.tailTarget > Duration(0)) {
            // The measurements of a former leader are not known, and this one decides at once.
            const bool isOver = run.level >= toMilliseconds(run.tailTarget);
            run.smoothedLevel = static_cast<double>(run.level);
            run.withinTargetAt = isOver ? run.listedAt - AssumedOverTargetTime : run.listedAt;
        }
        // A former leader may have paced it, and its successor is the only one that will raise the pace.
        run.pace = run.usesLeftover ? workers::UnknownPace : workers::FullPace;
        const auto &task = job->job.task(run.task);
        const bool isNeeded
            = job->job.isOpen() && !task.isDone && (task.activeRuns == 0 || spec.maySpeculate || spec.isGang);
        run.crashCount = job->job.crashSuspicion(run.task);
        job->job.noteRunOrdered(run.task, run.number);
        job->job.noteRunStarted();
        ++job->activeRuns;
        isWanted = isWanted && isNeeded;
        if (job->job.isOpen() && !isNeeded) {
            ++counts.duplicateRuns;
            log.record("run-duplicate",
                       {{"task", run.task},
                        {"run", run.number},
                        {"worker", worker.entry().id.view()},
                        {"fence", fence.value}});
        }
    }
    log.record(isWanted ? "run-adopted" : "run-unwanted",
               {{"task", run.task},
                {"run", run.number},
                {"worker", worker.entry().id.view()},
                {"fence", fence.value},
                {"isKnownJob", job != nullptr ? 1 : 0}});
    if (!isWanted) {
        run.state = workers::RunState::Stopping;
    }
    worker.add(run);
}

// Resolves runs that the worker lists neither as running nor as ended although it answered
// after they were ordered.
void Fleet::Private::resolveUnlistedRuns(workers::Worker &worker, const ports::WorkerListing &listing, TimePoint sentAt,
                                         TimePoint now)
{
    std::vector<jobs::TaskId> gone;
    for (auto &run : worker.runs()) {
        const bool isListed = std::ranges::any_of(
            listing.running, [&](const ports::ListedRun &it) { return it.task == run.task && it.run == run.number; });
        if (isListed) {
            continue;
        }
        const bool isUnansweredBefore = run.state == workers::RunState::Unanswered && sentAt > run.unansweredAt;
        if (isGone(run, listing.clock, sentAt)) {
            gone.push_back(run.task);
        } else if (isUnansweredBefore && !run.isRepeatUnderWay) {
            requestStop(run);
        }
    }
    for (const auto &it : gone) {
        log.record("run-gone", {{"task", it}, {"worker", worker.entry().id.view()}});
        endRun(worker, it, jobs::RunEnd::Stopped, {}, now);
    }
}

void Fleet::Private::markBegun(jobs::JobKey key)
{
    if (auto *job = findJob(key)) {
        job->job.noteRunStarted();
    }
}

void Fleet::Private::requestStop(workers::Run &run)
{
    run.state = workers::RunState::Stopping;
    run.isStopSent = false;
}

void Fleet::Private::expireRuns(workers::Worker &worker, TimePoint now, std::string_view reason)
{
    std::vector<jobs::TaskId> tasks;
    for (const auto &it : worker.runs()) {
        tasks.push_back(it.task);
    }
    if (!tasks.empty()) {
        log.record("worker-lost",
                   {{"worker", worker.entry().id.view()},
                    {"runs", tasks.size()},
                    {"reason", reason},
                    {"silentMs", toMilliseconds(now - worker.heardUntil(now))},
                    {"isDraining", worker.entry().isDraining ? 1 : 0},
                    {"departedMs", worker.departure() ? toMilliseconds(now - *worker.departure()) : 0},
                    {"isListed", worker.isListed() ? 1 : 0}});
    }
    keepLostRuns(worker, now);
    for (const auto &it : tasks) {
        endRun(worker, it, jobs::RunEnd::Lapsed, {}, now);
    }
}

void Fleet::Private::handleRestart(workers::Worker &worker, std::int64_t startTimeMs, ports::WorkerMillis clock,
                                   TimePoint now)
{
    ++counts.workerRestarts;
    log.record("worker-restarted",
               {{"worker", worker.entry().id.view()},
                {"formerStartMs", worker.startTimeMs()},
                {"startMs", startTimeMs},
                {"acknowledgedEnd", worker.acknowledgedEnd()},
                {"runs", worker.runCount()}});
    if (!worker.hasAnnouncedLeaving()) {
        chargeCrash(worker.entry().id, worker.possibleRuns(now), now);
    }
    // The new process may have accepted any run whose order it can have received, and may still
    // carry out an order without an answer. Its listing tells, and a stop that it confirms.
    std::vector<workers::Run> runs(worker.runs().begin(), worker.runs().end());
    worker.restart(startTimeMs, clock);
    isRosterChanged = true; // the entry may have changed
    racks.areWorkersOutdated = true;
    if (soleLeaderTime(now) < now) {
        // The new process has seen no fence, and would obey this leader also if it has a successor.
        worker.awaitTermRenewal(now);
    }
    for (auto &it : runs) {
        it.isStopSent = false;
        it.isStopConfirmed = false;
        it.mayRepeatStart = false; // the order was meant for the former process
        worker.add(it);
    }
}

void Fleet::applyStartReply(const StartTask &order, ports::StartResult answer, TimePoint now)
{
    auto *worker = d->findWorker(order.worker);
    auto *run = d->findRun(order.worker, order.task, order.run);
    if (run == nullptr) {
        return;
    }
    worker->noteOrderAnswered();
    run->isRepeatUnderWay = false;
    if (answer == ports::StartResult::Accepted) {
        d->markBegun(order.task.job);
        if (run->state == workers::RunState::Ordered || run->state == workers::RunState::Unanswered) {
            run->state = workers::RunState::Running;
        }
        run->answeredAt = now;
        run->progressedAt = now;
        if (run->isReduced) {
            d->changedWorkers.insert(worker); // the next plan orders its pace
        }
        return;
    }
    d->log.record("start-refused",
                  {{"task", order.task},
                   {"run", order.run},
                   {"worker", order.worker.view()},
                   {"answer", static_cast<int>(answer)}});
    if (answer != ports::StartResult::Superseded && answer != ports::StartResult::TooLate) {
        worker->noteUnhealthy(now);
    }
    if (run->wasStartRepeated) {
        d->applyRepeatRefusal(*run, answer, now);
        d->changedWorkers.insert(worker);
        return;
    }
    auto *job = d->findJob(order.task.job);
    if (answer == ports::StartResult::Superseded && !run->isStopSent && job != nullptr) {
        // A former leader has used more numbers than a term has. The skipped ones belong to no run.
        job->job.noteRunOrdered(order.task, order.run + RunNumbersPerTerm);
        job->job.noteRunOver(order.task);
    }
    d->endRun(*worker, order.task, jobs::RunEnd::Stopped, {}, now);
}

void Fleet::applyStartFailure(const StartTask &order, bool maybeStarted, TimePoint now, const Failure &failure)
{
    auto *worker = d->findWorker(order.worker);
    auto *run = d->findRun(order.worker, order.task, order.run);
    if (run == nullptr) {
        return;
    }
    d->log.record("start-unanswered",
                  {{"task", order.task},
                   {"run", order.run},
                   {"worker", order.worker.view()},
                   {"maybeStarted", maybeStarted ? 1 : 0},
                   {"error", errorInfo(failure.kind).name},
                   {"detail", failure.detail},
                   {"tookMs", toMilliseconds(now - run->orderedAt)}});
    run->isRepeatUnderWay = false;
    d->changedWorkers.insert(worker);
    if (!maybeStarted && !run->wasStartRepeated) {
        worker->noteUnhealthy(now);
        d->endRun(*worker, order.task, jobs::RunEnd::Stopped, {}, now);
        return;
    }
    ++d->counts.unansweredStarts;
    run->unansweredAt = now;
    if (!Private::mayRepeatStart(*run, now)) {
        worker->noteOrderUnanswered(now);
    }
    if (run->state == workers::RunState::Ordered) {
        run->state = workers::RunState::Unanswered;
    }
}

void Fleet::confirmStop(const StopTask &order, TimePoint now)
{
    auto *run = d->findRun(order.worker, order.task, order.run);
    if (run != nullptr && d->findWorker(order.worker)->startTimeMs() == order.startTimeMs) {
        run->isStopConfirmed = true;
        run->stopConfirmedAt = now;
        d->changedWorkers.insert(d->findWorker(order.worker));
    }
}

void Fleet::applyStopFailure(const StopTask &order, TimePoint)
{
    auto *run = d->findRun(order.worker, order.task, order.run);
    if (run != nullptr) {
        run->isStopSent = false;
    }
}

void Fleet::applyPaceFailure(const PaceTask &order)
{
    auto *run = d->findRun(order.worker, order.task, order.run);
    if (run == nullptr) {
        return;
    }
    run->mayPaceChangeLate = true;
    if (run->pace == order.percent) {
        d->findWorker(order.worker)->setPace(*run, workers::UnknownPace);
    }
}

} // namespace monsoonspool::execution
