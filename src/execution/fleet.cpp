#include "execution/fleet.h"

#include "execution/fleetstate.h"
#include "execution/jobage.h"
#include "jobs/names.h"

#include <algorithm>
#include <utility>

namespace monsoonspool::execution {

TrackedJob::TrackedJob(AcceptedJob accepted, TimePoint acceptedAt)
    : job(accepted.key, std::move(accepted.spec), accepted.policy.queue, acceptedAt),
      acceptedPolicy(std::move(accepted.policy)), knownFence(accepted.knownFence), version(accepted.version)
{
}

Fleet::Private::Private(DecisionLog &decisionLog)
    : log(decisionLog), waitingOrder(std::make_unique<scheduling::DeadlineAwareOrder>()),
      workerChooser(std::make_unique<scheduling::BestFit>())
{
}

Fleet::Fleet(DecisionLog &log) : d(std::make_unique<Private>(log))
{
}

Fleet::~Fleet() = default;

void Fleet::beginTerm(Epoch fence, std::uint64_t claimVersion, std::span<const RosterEntry> roster,
                      TimePoint formerLeasesEnd, TimePoint now, std::span<const membership::SilentWorker> silentWorkers)
{
    d->fence = fence;
    d->termBeganAt = now;
    d->termRenewedAt = TimePoint::max();
    d->termEnd = TimePoint::max();
    d->claimVersion = claimVersion;
    d->formerLeasesEnd = formerLeasesEnd;
    d->jobsByKey.clear();
    d->openTimedSteps = 0;
    d->memory.clear();
    d->deferredJobs.clear();
    d->droppedJobs.clear();
    d->overWhileDeferred.clear();
    d->memoryReportDueAt = now + MemoryReportInterval;
    d->counts.overdueOccurrences = 0;
    d->readJobs.clear();
    d->unreadJobs.clear();
    d->jobsToPlace.clear();
    d->heldEnds.clear();
    d->workersById.clear();
    d->workers.clear();
    d->changedWorkers.clear();
    d->timedVisits.clear();
    d->throttlingWorkers.clear();
    d->workersWithEnds.clear();
    d->changedSections.clear();
    d->unreportedWorkers.clear();
    d->lostRuns.clear();
    d->racks.room.reset(now);
    d->racks.workers.clear();
    d->racks.areWorkersOutdated = true;
    d->isRosterChanged = false;
    d->workersReadAt.reset();
    d->jobsReadAt.reset();
    d->delayedAt.reset();
    d->evacuations.reset();
    d->reportedEvacuations.clear();
    d->takeoverReportDueAt = now + TakeoverReportInterval;
    d->lastingReportDueAt = now + TakeoverReportInterval;
    d->standstillReportDueAt = now + StandstillReportInterval;
    d->jobsStandingSince.clear();
    d->startPace = {};
    d->overdueShare = {};
    d->outcomeReportDueAt = now + OutcomeReportInterval;
    d->counts.standingJobs = {};
    d->counts.leftoverLoad = {};
    d->counts.outcomes.clear();
    d->formerLeaseEnds.clear();
    d->witnesses.clear();
    d->namedSilent.clear();
    d->takenSilent.clear();
    for (const auto &it : silentWorkers) {
        d->formerLeaseEnds[it.worker] = now + it.leasesEndIn;
        d->namedSilent.insert(it.worker);
    }
    for (const auto &it : roster) {
        auto &worker = d->addWorker(it.worker, now);
        worker.setListed(false);
        worker.setOnTakenRoster(true);
        if (it.remainingJobs) {
            worker.close(*it.remainingJobs);
        } else {
            worker.setRostered();
        }
        d->unreportedWorkers.insert(it.worker.id);
    }
    const auto closed = std::ranges::count_if(roster, [](const auto &it) { return it.remainingJobs.has_value(); });
    d->log.record("takeover-begun",
                  {{"fence", fence.value},
                   {"workers", roster.size()},
                   {"silentWorkers", silentWorkers.size()},
                   {"closedWorkers", closed},
                   {"formerLeasesEndInMs", toMilliseconds(formerLeasesEnd - now)}});
}

Epoch Fleet::fence() const
{
    return d->fence;
}

void Fleet::setQueues(std::span<const jobs::QueuePolicy> queues)
{
    // Removed queues keep their policy for their remaining jobs.
    for (const auto &it : queues) {
        d->queues[it.queue] = it;
    }
}

void Fleet::setMoveCost(const std::optional<scheduling::MoveCost> &cost)
{
    d->movePolicy = cost ? std::make_unique<scheduling::BreakEvenMove>(*cost) : nullptr;
}

const jobs::QueuePolicy &Fleet::Private::policyOf(const TrackedJob &job) const
{
    const auto it = queues.find(job.job.queue());
    return it == queues.end() ? job.acceptedPolicy : it->second;
}

TrackedJob *Fleet::Private::findJob(jobs::JobKey key)
{
    const auto it = jobsByKey.find(key);
    return it == jobsByKey.end() ? nullptr : it->second.get();
}

workers::Worker *Fleet::Private::findWorker(const WorkerId &id)
{
    const auto it = workersById.find(id);
    return it == workersById.end() ? nullptr : it->second.get();
}

workers::Run *Fleet::Private::findRun(const WorkerId &id, const jobs::TaskId &task, jobs::RunNumber number)
{
    auto *worker = findWorker(id);
    auto *run = worker == nullptr ? nullptr : worker->find(task);
    return run != nullptr && run->number == number ? run : nullptr;
}

workers::Worker &Fleet::Private::addWorker(const ports::WorkerEntry &entry, TimePoint now)
{
    auto &worker = workersById[entry.id];
    changedWorkers.erase(worker.get());
    worker = std::make_unique<workers::Worker>(entry, now);
    const auto idOf = [](const workers::Worker *it) -> const WorkerId & { return it->entry().id; };
    workers.insert(std::ranges::lower_bound(workers, entry.id, {}, idOf), worker.get());
    changedWorkers.insert(worker.get());
    worker->setNamedSilent(namedSilent.contains(entry.id));
    applyEvacuations(*worker);
    racks.areWorkersOutdated = true;
    isRosterChanged = true;
    return *worker;
}

bool Fleet::Private::mayForget(const workers::Worker &worker) const
{
    return !worker.isListed() && mayLeaveRoster(worker);
}

// A new leader waits only for the workers on the roster, so a worker stays there until its
// runs have ended and the ends are stored, and no other run can start there.
bool Fleet::Private::mayLeaveRoster(const workers::Worker &worker) const
{
    return (!worker.isListed() || worker.remainingJobs()) && worker.runCount() == 0
        && worker.acknowledgedEnd() >= worker.processedEnd() && !unreportedWorkers.contains(worker.entry().id);
}

// A new leader waits for a closed worker only with the jobs that may have runs there.
void Fleet::Private::closeOrReopen(workers::Worker &worker)
{
    if (unreportedWorkers.contains(worker.entry().id)) {
        return; // a former leader may have started any task there that it did not exclude
    }
    if (worker.entry().isDraining) {
        // The jobs of unstored ends are not known any more.
        const bool isClosed = worker.remainingJobs() || worker.acknowledgedEnd() >= worker.processedEnd();
        if (isClosed && worker.close()) {
            isRosterChanged = true;
        }
    } else if (worker.remainingJobs() && worker.isListed()) {
        worker.reopen();
        isRosterChanged = true;
    }
    if (worker.isOnTakenRoster() == mayLeaveRoster(worker)) {
        isRosterChanged = true;
    }
}

void Fleet::Private::eraseWorker(const WorkerId &id, TimePoint now)
{
    const auto it = workersById.find(id);
    std::erase(workers, it->second.get());
    throttlingWorkers.erase(id);
    racks.areWorkersOutdated = true;
    changedWorkers.erase(it->second.get());
    if (const auto visitAt = it->second->visitAt()) {
        timedVisits.erase({*visitAt, id});
    }
    workersById.erase(it);
    markReported(id, now);
    isRosterChanged = true;
}

void Fleet::addUnreadableJob(jobs::JobKey key)
{
    d->deferredJobs.remove(key);
    d->readJobs.insert(key);
}

bool Fleet::hasRead(jobs::JobKey key) const
{
    return d->readJobs.contains(key) || d->deferredJobs.contains(key);
}

void Fleet::noteWorkersRead(TimePoint time)
{
    d->workersReadAt = time;
}

void Fleet::noteDelayed(TimePoint now)
{
    d->delayedAt = now;
}

void Fleet::noteJobsRead(TimePoint time)
{
    d->jobsReadAt = time;
    for (auto &[key, ends] : d->heldEnds) {
        std::erase_if(ends, [&](const HeldEnd &it) {
            if (it.listedAt > time || d->deferredJobs.contains(it.end.task.job)) {
                return false;
            }
            d->release(it);
            return true;
        });
    }
    std::erase_if(d->heldEnds, [](const auto &it) { return it.second.empty(); });
}

void Fleet::restoreProgress(jobs::JobKey key, const jobs::JobProgress &progress)
{
    auto *job = d->findJob(key);
    if (job == nullptr) {
        d->noteDeferredProgress(key, progress);
        return;
    }
    const bool wasOpen = job->job.isOpen();
    job->job.restore(progress);
    d->recountMemory(*job);
    if (wasOpen && !job->job.isOpen() && isCountedByOutcome(job->job.spec())) {
        d->counts.outcomes.forgetAccepted(job->job.queue(), ordersNeeded(job->job.spec()));
    }
    d->jobsToPlace.insert(key);
    d->visitWorkersOf(*job);
    if (job->job.state() == progress.state && jobs::isFinal(progress.state)) {
        job->isFinalStateStored = true;
        d->dropIfFinished(key);
    } else if (!job->job.isOpen() && !job->isFinalStateStored) {
        d->changedSections.insert({key, 0}); // the merged crashes failed the job
    }
}

void Fleet::applyForeignProgress(jobs::JobKey key, const jobs::JobProgress &progress, std::uint64_t version)
{
    const auto *job = d->findJob(key);
    const auto before = job == nullptr ? std::int64_t(0) : job->job.doneCount();
    restoreProgress(key, progress);
    job = d->findJob(key);
    const auto learned = job == nullptr ? std::int64_t(0) : job->job.doneCount() - before;
    ++d->counts.progressConflicts;
    d->counts.foreignDoneTasks += static_cast<std::uint64_t>(learned);
    d->log.record("progress-conflict",
                  {{"job", key},
                   {"version", version},
                   {"claimVersion", d->claimVersion},
                   {"state", jobs::jobStateName(progress.state)},
                   {"foreignDone", learned}});
}

void Fleet::cancel(jobs::JobKey key)
{
    auto *job = d->findJob(key);
    if (job == nullptr) {
        d->forgetDeferred(key, jobs::JobState::Cancelled);
        return;
    }
    if (!job->job.isOpen()) {
        return;
    }
    job->job.cancel();
    if (isCountedByOutcome(job->job.spec())) {
        d->counts.outcomes.noteEnded(job->job.queue(), ordersNeeded(job->job.spec()), jobs::JobOutcome::Cancelled);
    }
    d->visitWorkersOf(*job);
    job->isFinalStateStored = true; // a cancellation is stored before it is applied
    d->dropIfFinished(key);
}

const jobs::Job *Fleet::find(jobs::JobKey key) const
{
    const auto *job = d->findJob(key);
    return job == nullptr ? nullptr : &job->job;
}

std::map<std::string, int> Fleet::waitingCounts() const
{
    std::map<std::string, int> counts;
    for (const auto &[key, it] : d->jobsByKey) {
        if (it->job.isWaiting()) {
            ++counts[it->job.queue()];
        }
    }
    d->deferredJobs.addWaitingCounts(counts);
    return counts;
}

void Fleet::updateWorker(const ports::WorkerEntry &entry, TimePoint now)
{
    auto *worker = d->findWorker(entry.id);
    if (worker == nullptr) {
        if (entry.isDraining) {
            d->log.record("worker-draining",
                          {{"worker", entry.id.view()}, {"remainingMs", toMilliseconds(entry.remaining)}, {"runs", 0}});
        }
        d->addWorker(entry, now);
        return;
    }
    worker->setListed(true);
    d->changedWorkers.insert(worker);
    if (entry.startTimeMs < worker->startTimeMs() && !worker->isSilent()) {
        worker->keepEntry(entry, now);
        return;
    }
    const bool isRestartAnnounced = worker->startTimeMs() != 0 && entry.startTimeMs > worker->startTimeMs();
    if (isRestartAnnounced && entry.startTimeMs != worker->entry().startTimeMs) {
        // The row may be untrue, and the new process may have accepted orders already.
        d->log.record("worker-restart-announced",
                      {{"worker", entry.id.view()},
                       {"formerStartMs", worker->startTimeMs()},
                       {"startMs", entry.startTimeMs},
                       {"runs", worker->runCount()}});
    }
    if (entry.isDraining && !worker->entry().isDraining) {
        d->log.record("worker-draining",
                      {{"worker", entry.id.view()},
                       {"remainingMs", toMilliseconds(entry.remaining)},
                       {"runs", worker->runCount()}});
    }
    if (entry.address != worker->entry().address) {
        d->isRosterChanged = true;
    }
    if (entry.rack != worker->entry().rack || entry.service != worker->entry().service
        || entry.capacity != worker->entry().capacity) {
        d->racks.areWorkersOutdated = true;
    }
    worker->setEntry(entry, now);
    d->applyEvacuations(*worker);
}

void Fleet::removeWorker(const WorkerId &id, TimePoint now)
{
    auto *worker = d->findWorker(id);
    if (worker == nullptr) {
        return;
    }
    d->log.record("worker-unlisted", {{"worker", id.view()}, {"runs", worker->runCount()}});
    worker->setListed(false);
    d->changedWorkers.insert(worker);
    if (d->mayForget(*worker)) {
        d->eraseWorker(id, now);
    }
}

std::vector<WorkerId> Fleet::workerIds() const
{
    std::vector<WorkerId> ids;
    for (const auto *it : d->workers) {
        ids.push_back(it->entry().id);
    }
    return ids;
}

std::vector<RosterEntry> Fleet::takeRoster()
{
    std::vector<RosterEntry> roster;
    for (auto *it : d->workers) {
        d->closeOrReopen(*it);
        it->setOnTakenRoster(!d->mayLeaveRoster(*it));
        if (it->isOnTakenRoster()) {
            roster.push_back({it->entry(), it->remainingJobs()});
        }
        if (!it->isOnTakenRoster() || it->remainingJobs()) {
            // The write may be carried out even if it is reported as failed.
            it->setRostered(false);
        }
    }
    d->isRosterChanged = false;
    return roster;
}

bool Fleet::consumeRosterChanged()
{
    return std::exchange(d->isRosterChanged, false);
}

void Fleet::markRosterChanged()
{
    d->isRosterChanged = true;
}

void Fleet::markRosterStored(std::span<const RosterEntry> roster)
{
    for (const auto &it : roster) {
        auto *worker = d->findWorker(it.worker.id);
        if (worker != nullptr && !it.remainingJobs) {
            worker->setRostered();
        }
    }
}

const ports::WorkerEntry *Fleet::entryOf(const WorkerId &id) const
{
    const auto *worker = d->findWorker(id);
    return worker == nullptr ? nullptr : &worker->entry();
}

std::vector<jobs::ProgressSection> Fleet::consumeChangedSections()
{
    std::vector<jobs::ProgressSection> sections(d->changedSections.begin(), d->changedSections.end());
    d->changedSections.clear();
    return sections;
}

void Fleet::markChanged(const jobs::ProgressSection &section)
{
    if (d->jobsByKey.contains(section.job)) {
        d->changedSections.insert(section);
    }
}

void Fleet::Private::markChanged(const TrackedJob &job, const jobs::TaskId &task)
{
    for (const int it : job.job.sectionsOf(task)) {
        changedSections.insert({task.job, it});
    }
}

void Fleet::abandonJob(jobs::JobKey key, TimePoint now)
{
    auto *job = d->findJob(key);
    if (job == nullptr || !job->job.isOpen()) {
        return;
    }
    job->job.abandon();
    d->changedSections.insert({key, 0});
    d->visitWorkersOf(*job);
    d->recordIfOver(*job, true, "progress cannot be stored", now);
}

std::vector<EndCursor> Fleet::endCursors() const
{
    std::vector<EndCursor> cursors;
    for (const auto &id : d->workersWithEnds) {
        const auto *it = d->findWorker(id);
        if (it != nullptr && it->acknowledgeableEnd() > it->acknowledgedEnd()) {
            cursors.push_back({it->entry().id, it->startTimeMs(), it->acknowledgeableEnd()});
        }
    }
    return cursors;
}

void Fleet::acknowledge(std::span<const EndCursor> cursors)
{
    for (const auto &it : cursors) {
        auto *worker = d->findWorker(it.worker);
        if (worker != nullptr && worker->startTimeMs() == it.startTimeMs) {
            worker->acknowledge(it.lastEnd);
            d->changedWorkers.insert(worker);
            if (worker->acknowledgedEnd() >= worker->processedEnd()) {
                d->workersWithEnds.erase(it.worker);
            }
        }
    }
}

void Fleet::markStored(jobs::JobKey key)
{
    auto *job = d->findJob(key);
    if (job != nullptr && !job->job.isOpen()) {
        job->isFinalStateStored = true;
        d->dropIfFinished(key);
    }
}

std::vector<DroppedJob> Fleet::takeDroppedJobs()
{
    return std::exchange(d->droppedJobs, {});
}

void Fleet::forget(jobs::JobKey key)
{
    d->readJobs.erase(key);
}

// While some workers have not reported, a finished job may still have runs on them, and
// the resources that these runs need must stay known.
void Fleet::Private::dropIfFinished(jobs::JobKey key)
{
    const auto *job = findJob(key);
    if (job != nullptr && job->isFinalStateStored && job->activeRuns == 0 && unreportedWorkers.empty()) {
        changedSections.erase(changedSections.lower_bound({key, 0}),
                              changedSections.upper_bound({key, std::numeric_limits<int>::max()}));
        droppedJobs.push_back({key, job->version, job->job.state() == jobs::JobState::Cancelled});
        eraseJob(key);
    }
}

void Fleet::Private::visitWorkersOf(const TrackedJob &job)
{
    if (job.activeRuns == 0) {
        return;
    }
    for (auto *worker : workers) {
        if (std::ranges::any_of(worker->runs(), [&](const workers::Run &it) { return it.task.job == job.job.key(); })) {
            changedWorkers.insert(worker);
        }
    }
}

void Fleet::Private::dropFinishedJobs()
{
    std::vector<jobs::JobKey> keys;
    for (const auto &[key, it] : jobsByKey) {
        keys.push_back(key);
    }
    for (const auto &it : keys) {
        dropIfFinished(it);
    }
    droppedJobs.insert(droppedJobs.end(), overWhileDeferred.begin(), overWhileDeferred.end());
    overWhileDeferred.clear();
}

std::vector<scheduling::LearnedInterference> Fleet::learnedInterference() const
{
    return d->interference.learned();
}

void Fleet::restoreInterference(std::span<const scheduling::LearnedInterference> learned)
{
    d->interference.restore(learned);
}

const FleetCounts &Fleet::counts() const
{
    auto &counts = d->counts;
    counts.openJobs = d->jobsByKey.size();
    counts.workers = d->workers.size();
    counts.jobBytes = d->memory.used();
    counts.jobBytesLimit = d->memory.limit();
    counts.deferredJobs = d->deferredJobs.size();
    return counts;
}

FleetCounts Fleet::fullCounts() const
{
    auto counts = this->counts();
    for (const auto *it : d->workers) {
        counts.runs += static_cast<std::size_t>(it->runCount());
        counts.silentWorkers += it->isSilent() ? 1 : 0;
    }
    for (const auto &[key, it] : d->jobsByKey) {
        counts.waitingJobs += it->job.isWaiting() ? 1 : 0;
        counts.tasksWaitingForRack += it->job.isOpen() ? it->rackWaits.size() : 0;
    }
    counts.unreportedWorkers = d->unreportedWorkers.size();
    const auto heldBack = d->heldBackJobs();
    counts.heldBackJobs = heldBack.size();
    counts.heldBackLastingJobs = static_cast<std::size_t>(
        std::ranges::count_if(heldBack, [](const TrackedJob *it) { return it->job.spec().isLasting(); }));
    counts.evacuatedDomains = d->evacuatedDomains();
    return counts;
}

} // namespace monsoonspool::execution
