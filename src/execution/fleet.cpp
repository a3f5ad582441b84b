#include "execution/fleet.h"

#include "execution/fleetstate.h"

#include <algorithm>
#include <utility>

namespace monsoonspool::execution {

namespace {

// A clock that differs between hosts must not make a job look older than this.
constexpr Duration MaxBelievedAge = 120s;

TimePoint acceptedAtOf(const AcceptedJob &job, TimePoint now, jobs::WallTime wall)
{
    const Duration age = std::chrono::duration_cast<Duration>(wall - job.acceptedAt);
    return now - std::clamp(age, Duration(0), MaxBelievedAge);
}

} // namespace

TrackedJob::TrackedJob(AcceptedJob accepted, TimePoint acceptedAt)
    : job(accepted.key, std::move(accepted.spec), accepted.policy.queue, acceptedAt),
      acceptedPolicy(std::move(accepted.policy)), version(accepted.version)
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

void Fleet::beginTenure(Epoch fence, std::uint64_t claimVersion, std::span<const ports::WorkerEntry> roster,
                        TimePoint formerLeasesEnd)
{
    d->fence = fence;
    d->claimVersion = claimVersion;
    d->formerLeasesEnd = formerLeasesEnd;
    d->jobsByKey.clear();
    d->workersById.clear();
    d->workers.clear();
    d->changedJobs.clear();
    d->unheard.clear();
    d->isRosterChanged = false;
    for (const auto &it : roster) {
        auto &worker = d->addWorker(it);
        worker.setListed(false);
        worker.setRostered();
        d->unheard.insert(it.id);
    }
}

Epoch Fleet::fence() const
{
    return d->fence;
}

void Fleet::setQueues(std::span<const jobs::QueuePolicy> queues)
{
    // Queues that were removed keep their policy for the jobs that are left.
    for (const auto &it : queues) {
        d->queues[it.queue] = it;
    }
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

workers::Worker &Fleet::Private::addWorker(const ports::WorkerEntry &entry)
{
    auto &worker = workersById[entry.id];
    worker = std::make_unique<workers::Worker>(entry);
    const auto idOf = [](const workers::Worker *it) -> const WorkerId & { return it->entry().id; };
    workers.insert(std::ranges::lower_bound(workers, entry.id, {}, idOf), worker.get());
    isRosterChanged = true;
    return *worker;
}

void Fleet::Private::eraseWorker(const WorkerId &id)
{
    const auto it = workersById.find(id);
    std::erase(workers, it->second.get());
    workersById.erase(it);
    noteHeard(id);
    isRosterChanged = true;
}

void Fleet::addJob(AcceptedJob job, TimePoint now, jobs::WallTime wall)
{
    if (d->jobsByKey.contains(job.key)) {
        return;
    }
    const auto key = job.key;
    const auto acceptedAt = acceptedAtOf(job, now, wall);
    auto &tracked = d->jobsByKey[key];
    tracked = std::make_unique<TrackedJob>(std::move(job), acceptedAt);
    // A former leader may have started it before this one read of it.
    for (const auto *worker : d->workers) {
        for (const auto &run : worker->runs()) {
            if (run.task.job == key && tracked->job.contains(run.task)) {
                tracked->job.noteRunOrdered(run.task, run.number);
                ++tracked->runs;
            }
        }
    }
}

void Fleet::restoreProgress(jobs::JobKey key, const jobs::JobProgress &progress)
{
    auto *job = d->findJob(key);
    if (job == nullptr) {
        return;
    }
    job->job.restore(progress);
    if (job->job.state() == progress.state && jobs::isFinal(progress.state)) {
        job->isStored = true;
        d->dropIfOver(key);
    }
}

void Fleet::cancel(jobs::JobKey key)
{
    auto *job = d->findJob(key);
    if (job == nullptr || !job->job.isOpen()) {
        return;
    }
    job->job.cancel();
    job->isStored = true; // the cancellation was stored first
    d->dropIfOver(key);
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
    return counts;
}

void Fleet::noteWorker(const ports::WorkerEntry &entry, TimePoint now)
{
    auto *worker = d->findWorker(entry.id);
    if (worker == nullptr) {
        d->addWorker(entry);
        return;
    }
    worker->setListed(true);
    if (entry.bornMs > worker->entry().bornMs && worker->entry().bornMs != 0) {
        d->restart(*worker, entry.bornMs, now);
    }
    if (entry.bornMs < worker->entry().bornMs) {
        return; // the row still tells of the run before
    }
    if (entry.isDraining && !worker->entry().isDraining) {
        d->log.record("worker-draining",
                      {{"worker", entry.id.view()}, {"remainingMs", toMilliseconds(entry.remaining)}});
    }
    if (entry.address != worker->entry().address) {
        d->isRosterChanged = true;
    }
    worker->setEntry(entry);
}

void Fleet::removeWorker(const WorkerId &id, TimePoint)
{
    auto *worker = d->findWorker(id);
    if (worker == nullptr) {
        return;
    }
    d->log.record("worker-unlisted", {{"worker", id.view()}, {"runs", worker->runCount()}});
    worker->setListed(false);
    if (worker->runCount() == 0 && !d->unheard.contains(id)) {
        d->eraseWorker(id);
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

std::vector<ports::WorkerEntry> Fleet::roster() const
{
    std::vector<ports::WorkerEntry> roster;
    for (const auto *it : d->workers) {
        roster.push_back(it->entry());
    }
    return roster;
}

bool Fleet::takeRosterChanged()
{
    return std::exchange(d->isRosterChanged, false);
}

void Fleet::markRosterChanged()
{
    d->isRosterChanged = true;
}

void Fleet::noteRosterStored(std::span<const ports::WorkerEntry> roster)
{
    for (const auto &it : roster) {
        if (auto *worker = d->findWorker(it.id)) {
            worker->setRostered();
        }
    }
}

const ports::WorkerEntry *Fleet::entryOf(const WorkerId &id) const
{
    const auto *worker = d->findWorker(id);
    return worker == nullptr ? nullptr : &worker->entry();
}

std::vector<jobs::JobKey> Fleet::takeChangedJobs()
{
    std::vector<jobs::JobKey> keys(d->changedJobs.begin(), d->changedJobs.end());
    d->changedJobs.clear();
    return keys;
}

void Fleet::markChanged(jobs::JobKey key)
{
    if (d->jobsByKey.contains(key)) {
        d->changedJobs.insert(key);
    }
}

std::vector<EndMark> Fleet::endMarks() const
{
    std::vector<EndMark> marks;
    for (const auto *it : d->workers) {
        if (it->processedEnd() > it->acknowledgedEnd()) {
            marks.push_back({it->entry().id, it->entry().bornMs, it->processedEnd()});
        }
    }
    return marks;
}

void Fleet::acknowledge(std::span<const EndMark> marks)
{
    for (const auto &it : marks) {
        auto *worker = d->findWorker(it.worker);
        if (worker != nullptr && worker->entry().bornMs == it.bornMs) {
            worker->acknowledge(it.takenEnd);
        }
    }
}

void Fleet::noteStored(jobs::JobKey key)
{
    auto *job = d->findJob(key);
    if (job != nullptr && !job->job.isOpen()) {
        job->isStored = true;
        d->dropIfOver(key);
    }
}

// While workers are unheard, a job that is over may still run there, and what it
// needs there must be known.
void Fleet::Private::dropIfOver(jobs::JobKey key)
{
    const auto *job = findJob(key);
    if (job != nullptr && job->isStored && job->runs == 0 && unheard.empty()) {
        changedJobs.erase(key);
        jobsByKey.erase(key);
    }
}

void Fleet::Private::noteHeard(const WorkerId &id)
{
    if (unheard.erase(id) > 0 && unheard.empty()) {
        dropAllOver();
    }
}

void Fleet::Private::dropAllOver()
{
    std::vector<jobs::JobKey> keys;
    for (const auto &[key, it] : jobsByKey) {
        keys.push_back(key);
    }
    for (const auto &it : keys) {
        dropIfOver(it);
    }
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
    }
    return counts;
}

} // namespace monsoonspool::execution
