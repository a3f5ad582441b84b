#include "placement/partition.h"

#include <tbb/blocked_range.h>
#include <tbb/parallel_for.h>

#include <algorithm>
#include <charconv>

namespace monsoonspool::placement {

namespace {

using Outcome = AttemptEnded::Outcome;
using ports::AttemptState;

// Workers scored per job.
constexpr int MaxCandidates = 48;
// Jobs considered in one plan, as a multiple of startsPerPlan.
constexpr std::size_t JobsConsideredPerStart = 2;
// Smallest number of jobs whose workers are chosen in parallel.
constexpr std::size_t MinParallelJobs = 32;
constexpr std::size_t ParallelGrainSize = 8;
// After this many urgent starts in a row, a batch job goes first.
constexpr int UrgentStartsPerBatchStart = 4;
// A job that has found no worker for this long gets one reserved.
constexpr Duration ReservationDelay = 30s;
// Evictions leave batch work this fraction of all processors, if it uses them.
constexpr double MinBatchProcessorShare = 0.1;
// Workers searched for an attempt to evict, or for one to reserve.
constexpr int MaxSearchedWorkers = 64;
// Evictions in progress at once, and requested in one plan.
constexpr std::ptrdiff_t MaxPendingEvictions = 64;
constexpr std::ptrdiff_t MaxEvictionsPerPlan = 8;
constexpr Duration LeaseCheckInterval = 200ms;
// A worker not heard from for this long gets no new work and no lease extensions.
constexpr Duration SilenceTimeout = 9s;
constexpr Duration OrderRetryInterval = 2s;
constexpr Duration EvictionRateWindow = 1h;
// A failed attempt that used this fraction of its allocated memory may have run out of it.
constexpr double MemoryShortageFraction = 0.9;
// Hysteresis of the reaction to slowed services: a report counts as slow from the high
// threshold on, and resets the count only below the low one.
constexpr double HighSlowdownThreshold = 1.3;
constexpr double LowSlowdownThreshold = 1.1;
constexpr int ReportsBeforeThrottling = 3;
constexpr int ReportsBeforeEviction = 6;
constexpr double ThrottledProcessorShare = 0.5;
constexpr double MinPairConfidence = 0.3;

std::uint64_t sequenceNumber(const JobId &id)
{
    const auto text = id.view();
    const auto digits = text.substr(text.rfind('-') + 1);
    std::uint64_t n = 0;
    std::from_chars(digits.data(), digits.data() + digits.size(), n);
    return n;
}

} // namespace

std::string workloadClass(const JobSpec &spec)
{
    const auto space = spec.command.find(' ');
    return spec.team.text() + "/" + spec.command.substr(0, space);
}

Partition::Partition(PartitionOptions options, TimePoint)
    : m_options(std::move(options)), m_scoring(makeScoringPolicy(m_options.scoring)),
      m_eviction(std::make_unique<YoungestFirst>())
{
}

Partition::WorkerState &Partition::workerState(WorkerIndex n)
{
    if (m_workerStates.size() <= n) {
        m_workerStates.resize(n + 1);
    }
    return m_workerStates[n];
}

void Partition::restore(std::span<const Job> jobs, std::span<const LogEntry> entries, TimePoint now)
{
    for (const auto &it : jobs) {
        m_jobs.restore(it);
    }
    for (const auto &it : entries) {
        // An entry that does not apply is a duplicate: its commit was retried after a
        // lost reply.
        handleFailure([&] { return m_jobs.apply(it); }, [](const Failure &) {});
    }
    std::vector<std::pair<std::uint64_t, JobId>> finished;
    for (const auto &[id, job] : m_jobs.jobs()) {
        m_nextJob = std::max(m_nextJob, sequenceNumber(id) + 1);
        if (isFinal(job.state)) {
            finished.emplace_back(job.submissionOrder, id);
        }
        if (job.attempt) {
            const auto n = m_workers.indexOf(job.attempt->worker);
            m_workers.commitUnchecked(n, job.attempt->allocated);
            m_workers.extendLease(n, now + m_options.times.ownerLease + m_options.times.maxLeaseDuration());
            trackAttempt(job, Phase::Running, now);
        }
    }
    std::ranges::sort(finished);
    for (auto &[submissionOrder, id] : finished) {
        m_finishedJobs.push_back(std::move(id));
    }
}

void Partition::setWorkers(std::span<const ports::ListedWorker> workers)
{
    m_workers.setListed(workers);
    if (m_workers.size() > 0) {
        workerState(static_cast<WorkerIndex>(m_workers.size() - 1));
    }
}

void Partition::setQuotas(const std::unordered_map<TeamName, std::int64_t> &milliCores)
{
    for (auto &[name, team] : m_teams) {
        team.quotaMilliCores = 0;
    }
    for (const auto &[name, quota] : milliCores) {
        m_teams[name].quotaMilliCores = quota;
    }
}

void Partition::append(LogEntry entry)
{
    const bool isApplied = handleFailure(
        [&]() -> Result<bool> {
            BOOST_LEAF_CHECK(m_jobs.apply(entry));
            return true;
        },
        [](const Failure &) { return false; });
    if (isApplied) {
        m_entries.push_back(std::move(entry));
    }
}

std::vector<LogEntry> Partition::takeEntries()
{
    return std::exchange(m_entries, {});
}

Result<JobId> Partition::submit(const JobSpec &spec, TimePoint)
{
    if (const auto *known = spec.key.empty() ? nullptr : m_jobs.findByKey(spec.team, spec.key)) {
        if (known->spec != spec) {
            return fail(ErrorKind::IdempotencyKeyReused,
                        "the idempotency key is already used by job " + known->id.text());
        }
        return known->id;
    }
    if (!m_workers.couldHold(spec.resources)) {
        return fail(ErrorKind::InvalidJob,
                    "the job exceeds the capacity of every worker in partition " + m_options.name.text());
    }
    const JobId id(m_options.name.text() + "-" + std::to_string(m_nextJob++));
    append(JobSubmitted{id, spec});
    return id;
}

Result<void> Partition::cancel(const JobId &id)
{
    const auto *job = m_jobs.find(id);
    if (!job) {
        return fail(ErrorKind::UnknownResource, "there is no job " + id.text());
    }
    if (isFinal(job->state) || job->isCancelling) {
        return {};
    }
    append(JobCancelled{id});
    if (job->attempt) {
        m_activeAttempts[id].mustStop = true;
        m_stopping.insert(id);
    } else {
        m_finishedJobs.push_back(id);
        m_unplacedSince.erase(id);
    }
    return {};
}

Result<JobView> Partition::view(const JobId &id) const
{
    const auto *job = m_jobs.find(id);
    if (!job) {
        return fail(ErrorKind::UnknownResource, "there is no job " + id.text());
    }
    JobView view{job->id, job->spec, job->state, job->attempts, job->evictions, job->isCancelling, {}, job->result};
    if (job->attempt) {
        view.worker = job->attempt->worker;
    }
    return view;
}

std::vector<JobView> Partition::list(const TeamName &team, std::size_t limit) const
{
    std::vector<const Job *> found;
    for (const auto &[id, job] : m_jobs.jobs()) {
        if (team.isEmpty() || job.spec.team == team) {
            found.push_back(&job);
        }
    }
    std::ranges::sort(found, std::greater<>(), &Job::submissionOrder);
    found.resize(std::min(limit, found.size()));
    std::vector<JobView> views;
    for (const auto *job : found) {
        views.push_back({job->id, job->spec, job->state, job->attempts, job->evictions, job->isCancelling,
                         job->attempt ? job->attempt->worker : WorkerId(), job->result});
    }
    return views;
}

Resources Partition::allocationFor(const Job &job) const
{
    const auto &declared = job.spec.resources;
    const auto learned = m_sizes.allocationFor(workloadClass(job.spec), declared);
    return m_workers.couldHold(learned) ? learned : declared;
}

bool Partition::isOverQuota(const Job &job) const
{
    if (job.spec.urgency == Urgency::Urgent) {
        return false;
    }
    const auto it = m_teams.find(job.spec.team);
    return it != m_teams.end() && it->second.quotaMilliCores > 0
        && it->second.usedMilliCores + job.spec.resources.milliCores > it->second.quotaMilliCores;
}

// Returns the jobs to place next: urgent ones first, with a batch job after every
// UrgentStartsPerBatchStart of them, so that batch work is not starved.
std::vector<JobId> Partition::selectJobs() const
{
    const auto limit = static_cast<std::size_t>(m_options.startsPerPlan) * JobsConsideredPerStart;
    const auto &urgent = m_jobs.waiting(Urgency::Urgent);
    const auto &batch = m_jobs.waiting(Urgency::Batch);
    std::vector<JobId> ids;
    auto u = urgent.begin();
    auto b = batch.begin();
    int urgentInRow = m_urgentStartsInRow;
    while (ids.size() < limit && (u != urgent.end() || b != batch.end())) {
        const bool isBatchTurn = u == urgent.end() || (urgentInRow >= UrgentStartsPerBatchStart && b != batch.end());
        if (isBatchTurn) {
            ids.push_back((b++)->second);
            urgentInRow = 0;
        } else {
            ids.push_back((u++)->second);
            ++urgentInRow;
        }
    }
    return ids;
}

// Chooses a worker for each job against the same state of the pool, in parallel if
// there are many jobs. Several jobs may choose the same worker; place() detects when
// the resources no longer fit.
std::vector<std::optional<WorkerIndex>> Partition::chooseWorkers(std::span<const JobId> ids, TimePoint now) const
{
    std::vector<std::optional<WorkerIndex>> proposals(ids.size());
    const auto choose = [&](std::size_t n) {
        const auto &job = *m_jobs.find(ids[n]);
        if (!isOverQuota(job)) {
            proposals[n] = chooseWorker(job, now);
        }
    };
    if (ids.size() < MinParallelJobs) {
        for (std::size_t n = 0; n < ids.size(); ++n) {
            choose(n);
        }
        return proposals;
    }
    tbb::parallel_for(tbb::blocked_range<std::size_t>(0, ids.size(), ParallelGrainSize), [&](const auto &range) {
        for (std::size_t n = range.begin(); n < range.end(); ++n) {
            choose(n);
        }
    });
    return proposals;
}

void Partition::plan(TimePoint now)
{
    expireLeases(now);
    const auto ids = selectJobs();
    const auto proposals = chooseWorkers(ids, now);
    int starts = 0;
    std::vector<JobId> unplacedUrgent;
    for (std::size_t n = 0; n < ids.size() && starts < m_options.startsPerPlan; ++n) {
        const auto &job = *m_jobs.find(ids[n]);
        if (isOverQuota(job)) {
            continue;
        }
        bool isPlaced = proposals[n] && place(job, *proposals[n], now);
        if (!isPlaced && proposals[n]) {
            const auto other = chooseWorker(job, now);
            isPlaced = other && place(job, *other, now);
        }
        if (isPlaced) {
            ++starts;
        } else {
            handleUnplaced(job, now);
            if (job.spec.urgency == Urgency::Urgent) {
                unplacedUrgent.push_back(job.id);
            }
        }
    }
    requestEvictions(unplacedUrgent, now);
    removeOldJobs();
}

// Requests an eviction for each urgent job that found no worker, less those in
// progress, within MaxEvictionsPerPlan and MaxPendingEvictions.
void Partition::requestEvictions(std::span<const JobId> unplaced, TimePoint now)
{
    const auto pending = std::ranges::count_if(m_stopping, [&](const JobId &id) {
        const auto it = m_activeAttempts.find(id);
        return it != m_activeAttempts.end() && it->second.mustCheckpoint;
    });
    const auto needed = std::min<std::ptrdiff_t>(std::ssize(unplaced), MaxPendingEvictions) - pending;
    const auto last = std::min<std::ptrdiff_t>(pending + MaxEvictionsPerPlan, std::ssize(unplaced));
    for (auto n = pending; needed > 0 && n < last; ++n) {
        requestEviction(*m_jobs.find(unplaced[static_cast<std::size_t>(n)]), now);
    }
}

bool Partition::isEligible(const Job &job, WorkerIndex n, TimePoint now) const
{
    const auto &worker = m_workers.at(n);
    if (now - worker.lastContact >= SilenceTimeout) {
        return false;
    }
    if (!m_failureAttribution.isQuarantined(worker.id)) {
        return true;
    }
    return worker.attempts == 0 && m_failureAttribution.mayProbe(worker.id, now) && job.spec.urgency == Urgency::Batch;
}

double Partition::expectedSlowdown(const Job &job, WorkerIndex n) const
{
    if (m_interference.isEmpty()) {
        return 1;
    }
    const auto workload = workloadClass(job.spec);
    double worst = 1;
    for (const auto &id : m_workerStates[n].jobs) {
        const auto &other = *m_jobs.find(id);
        if (job.spec.urgency == other.spec.urgency) {
            continue;
        }
        const auto otherWorkload = workloadClass(other.spec);
        const bool isService = job.spec.urgency == Urgency::Urgent;
        const std::string &neighbour = isService ? otherWorkload : workload;
        worst = std::max(
            worst, m_interference.expectedSlowdown(isService ? workload : otherWorkload, std::span(&neighbour, 1)));
    }
    return worst;
}

std::optional<WorkerIndex> Partition::chooseWorker(const Job &job, TimePoint now) const
{
    const auto allocated = allocationFor(job);
    const auto fitsReservedWorker = m_reservation && m_reservation->job == job.id
        && m_workers.at(m_reservation->worker).free().contains(allocated)
        && isEligible(job, m_reservation->worker, now);
    if (fitsReservedWorker) {
        return m_reservation->worker;
    }
    std::vector<WorkerIndex> found;
    m_workers.findCandidates(allocated, MaxCandidates, found);
    std::optional<WorkerIndex> best;
    double highest = 0;
    for (const auto n : found) {
        if (!isEligible(job, n, now)) {
            continue;
        }
        const auto &worker = m_workers.at(n);
        const PlacementCandidate candidate{n,
                                           worker.capacity,
                                           worker.free() - allocated,
                                           expectedSlowdown(job, n),
                                           m_failureAttribution.hasFailedOn(job.id, worker.id),
                                           0};
        const double score = m_scoring->score(candidate);
        if (!best || score > highest) {
            best = n;
            highest = score;
        }
    }
    return best;
}

bool Partition::place(const Job &job, WorkerIndex n, TimePoint now)
{
    const auto allocated = allocationFor(job);
    if (!m_workers.commit(n, allocated)) {
        return false;
    }
    if (m_reservation && m_reservation->job == job.id) {
        m_workers.setReserved(m_reservation->worker, false);
        m_reservation.reset();
    }
    m_unplacedSince.erase(job.id);
    m_urgentStartsInRow = job.spec.urgency == Urgency::Batch ? 0 : m_urgentStartsInRow + 1;
    ++m_startCount;
    const auto &worker = m_workers.at(n);
    append(AttemptPlanned{{job.id, job.attempts + 1}, worker.id, worker.incarnation, allocated});
    trackAttempt(job, Phase::Planned, now);
    return true;
}

void Partition::trackAttempt(const Job &job, Phase phase, TimePoint now)
{
    auto &active = m_activeAttempts[job.id];
    active = ActiveAttempt();
    active.worker = m_workers.indexOf(job.attempt->worker);
    active.phase = phase;
    active.startedAt = now;
    workerState(active.worker).jobs.insert(job.id);
    if (job.spec.urgency == Urgency::Batch) {
        m_teams[job.spec.team].usedMilliCores += job.spec.resources.milliCores;
        m_batchMilliCores += job.attempt->allocated.milliCores;
    }
    if (job.isCancelling) {
        active.mustStop = true;
        m_stopping.insert(job.id);
    }
}

void Partition::handleUnplaced(const Job &job, TimePoint now)
{
    const auto since = m_unplacedSince.try_emplace(job.id, now).first->second;
    if (now - since >= ReservationDelay && !m_reservation) {
        reserveWorker(job);
    }
}

void Partition::reserveWorker(const Job &job)
{
    const auto allocated = allocationFor(job);
    for (const auto n : m_workers.mostFreeCoresFirst(MaxSearchedWorkers)) {
        if (m_workers.at(n).capacity.contains(allocated) && !m_failureAttribution.isQuarantined(m_workers.at(n).id)) {
            m_workers.setReserved(n, true);
            m_reservation = Reservation{job.id, n};
            return;
        }
    }
}

int Partition::recentEvictions(const JobId &id, TimePoint now) const
{
    const auto it = m_evictionTimes.find(id);
    if (it == m_evictionTimes.end()) {
        return 0;
    }
    return static_cast<int>(
        std::ranges::count_if(it->second, [&](TimePoint at) { return now - at < EvictionRateWindow; }));
}

// Requests the eviction of one batch attempt whose resources, with those already
// free on its worker, suffice for `job`.
void Partition::requestEviction(const Job &job, TimePoint now)
{
    const auto allocated = allocationFor(job);
    const auto minBatchMilliCores
        = static_cast<std::int64_t>(MinBatchProcessorShare * static_cast<double>(m_workers.totalCapacity().milliCores));
    std::vector<EvictionCandidate> candidates;
    std::vector<JobId> ids;
    for (const auto n : m_workers.mostFreeCoresFirst(MaxSearchedWorkers)) {
        const auto &worker = m_workers.at(n);
        for (const auto &id : m_workerStates[n].jobs) {
            const auto &other = *m_jobs.find(id);
            const auto &active = m_activeAttempts.at(id);
            const bool makesRoom = (worker.free() + other.attempt->allocated).contains(allocated);
            const bool isStopping = active.mustStop || active.mustCheckpoint;
            const bool isProtected = m_batchMilliCores - other.attempt->allocated.milliCores < minBatchMilliCores;
            if (other.spec.urgency != Urgency::Batch || !makesRoom || active.phase != Phase::Running || isStopping
                || isProtected) {
                continue;
            }
            candidates.push_back({n, other.attempt->allocated, now - active.startedAt, recentEvictions(id, now),
                                  static_cast<std::uint32_t>(ids.size())});
            ids.push_back(id);
        }
    }
    const int chosen = m_eviction->choose(candidates, m_options.maxEvictionsPerHour);
    if (chosen < 0) {
        return;
    }
    const auto &victim = ids[candidates[static_cast<std::size_t>(chosen)].index];
    m_activeAttempts[victim].mustCheckpoint = true;
    m_stopping.insert(victim);
}

void Partition::noteCommitted(std::span<const LogEntry> entries, TimePoint)
{
    for (const auto &entry : entries) {
        if (const auto *planned = std::get_if<AttemptPlanned>(&entry)) {
            const auto active = m_activeAttempts.find(planned->attempt.job);
            const auto *job = m_jobs.find(planned->attempt.job);
            if (active != m_activeAttempts.end() && job && job->attempt && job->attempt->id == planned->attempt
                && active->second.phase == Phase::Planned) {
                active->second.phase = Phase::ReadyToStart;
                m_startsDue.push_back(planned->attempt.job);
            }
        }
        if (const auto *ended = std::get_if<AttemptEnded>(&entry)) {
            // Acknowledged to the worker with the next renewal.
            if (const auto *worker = m_workers.find(m_uncommittedEnds[ended->attempt])) {
                workerState(m_workers.indexOf(worker->id)).toAcknowledge.push_back(ended->attempt);
            }
            m_uncommittedEnds.erase(ended->attempt);
        }
    }
}

std::vector<WorkerOrder> Partition::dueOrders(TimePoint now)
{
    std::vector<WorkerOrder> orders = std::exchange(m_pendingOrders, {});
    appendStartOrders(orders, now);
    appendStopOrders(orders, now);
    appendRenewOrders(orders, now);
    return orders;
}

void Partition::appendStartOrders(std::vector<WorkerOrder> &orders, TimePoint now)
{
    for (const auto &id : std::exchange(m_startsDue, {})) {
        const auto *job = m_jobs.find(id);
        const auto active = m_activeAttempts.find(id);
        if (!job || !job->attempt || active == m_activeAttempts.end() || active->second.phase != Phase::ReadyToStart) {
            continue;
        }
        if (job->isCancelling) {
            endAttempt(id, Outcome::NeverStarted, {}, {}, now);
            continue;
        }
        const auto &attempt = *job->attempt;
        active->second.phase = Phase::StartSent;
        m_workers.extendLease(active->second.worker, now + m_options.times.maxLeaseDuration());
        orders.emplace_back(StartAttempt{attempt.worker,
                                         {m_options.epoch, attempt.workerIncarnation, attempt.id, attempt.allocated,
                                          job->spec.command, job->checkpoint, m_options.times.lease}});
    }
}

void Partition::appendStopOrders(std::vector<WorkerOrder> &orders, TimePoint now)
{
    for (auto it = m_stopping.begin(); it != m_stopping.end();) {
        const auto active = m_activeAttempts.find(*it);
        const auto *job = m_jobs.find(*it);
        if (active == m_activeAttempts.end() || !job || !job->attempt) {
            it = m_stopping.erase(it);
            continue;
        }
        const bool isDue
            = active->second.phase == Phase::Running && now - active->second.lastOrderAt >= OrderRetryInterval;
        if (isDue) {
            active->second.lastOrderAt = now;
            if (active->second.mustStop) {
                orders.emplace_back(StopAttempt{job->attempt->worker, job->attempt->id});
            } else {
                orders.emplace_back(CheckpointAttempt{job->attempt->worker, job->attempt->id});
            }
            // Renews at once, since the worker's report tells whether the attempt has ended.
            workerState(active->second.worker).renewedAt = TimePoint{};
        }
        ++it;
    }
}

void Partition::appendRenewOrders(std::vector<WorkerOrder> &orders, TimePoint now)
{
    for (WorkerIndex n = 0; n < m_workers.size(); ++n) {
        const auto &worker = m_workers.at(n);
        auto &state = workerState(n);
        const bool isNeeded = worker.isListed || !state.jobs.empty();
        if (!isNeeded || state.isRenewing || now - state.renewedAt < m_options.times.renewInterval) {
            continue;
        }
        state.isRenewing = true;
        state.renewedAt = now;
        const bool isSilent = worker.incarnation != 0 && now - worker.lastContact >= SilenceTimeout;
        const Duration lease = isSilent ? Duration{0} : m_options.times.lease;
        if (lease > Duration{0} && !state.jobs.empty()) {
            m_workers.extendLease(n, now + m_options.times.maxLeaseDuration());
        }
        orders.emplace_back(RenewWorker{worker.id, lease, state.toAcknowledge});
    }
}

void Partition::noteStartReply(const StartAttempt &order, const ports::AsyncResult<ports::Done> &result, TimePoint now)
{
    const auto &id = order.order.attempt.job;
    const auto active = m_activeAttempts.find(id);
    const auto *job = m_jobs.find(id);
    if (active == m_activeAttempts.end() || !job || !job->attempt || job->attempt->id != order.order.attempt
        || active->second.phase != Phase::StartSent) {
        return;
    }
    if (result.isOk()) {
        active->second.phase = Phase::Running;
        return;
    }
    switch (result.failure().kind) {
    case ErrorKind::CapacityExceeded:
    case ErrorKind::Superseded:
    case ErrorKind::DaemonUnreachable:
        // Refused permanently, or certainly not delivered.
        endAttempt(id, Outcome::NeverStarted, result.failure().detail, {}, now);
        break;
    default:
        // The order may have been delivered; the worker's reports tell.
        active->second.phase = Phase::Running;
        break;
    }
}

void Partition::noteReport(const WorkerId &id, const ports::AsyncResult<ports::WorkerReport> &result, TimePoint sentAt,
                           TimePoint now)
{
    const auto n = m_workers.indexOf(id);
    auto &state = workerState(n);
    state.isRenewing = false;
    if (!result.isOk()) {
        return;
    }
    std::erase_if(state.toAcknowledge, [&](const ports::AttemptId &attempt) {
        return std::ranges::none_of(result.value().attempts, [&](const auto &it) { return it.attempt == attempt; });
    });
    processReport(n, result.value(), sentAt, now);
}

void Partition::processReport(WorkerIndex n, const ports::WorkerReport &report, TimePoint sentAt, TimePoint now)
{
    m_workers.noteContact(n, report.incarnation, now);
    std::unordered_map<JobId, const ports::AttemptReport *> reported;
    for (const auto &it : report.attempts) {
        reported[it.attempt.job] = &it;
    }
    const std::vector<JobId> jobs(workerState(n).jobs.begin(), workerState(n).jobs.end());
    for (const auto &id : jobs) {
        const auto &job = *m_jobs.find(id);
        auto &active = m_activeAttempts.at(id);
        const auto it = reported.find(id);
        if (it != reported.end() && it->second->attempt == job.attempt->id) {
            processAttemptReport(id, *it->second, now);
        } else if (job.attempt->workerIncarnation != report.incarnation) {
            if (active.phase != Phase::Planned) {
                endAttempt(id, Outcome::Lost, "the worker restarted", {}, now);
            }
        } else if (active.phase == Phase::Running && active.startedAt < sentAt) {
            // The start order was lost or is delayed. Sending it again resolves this:
            // workers start an attempt at most once, and refuse one that has ended.
            active.phase = Phase::ReadyToStart;
            m_startsDue.push_back(id);
        }
    }
    for (const auto &it : report.attempts) {
        const auto *job = m_jobs.find(it.attempt.job);
        const bool isCurrent = job && job->attempt && job->attempt->id == it.attempt;
        if (!isCurrent && it.state == AttemptState::Running) {
            m_pendingOrders.emplace_back(StopAttempt{report.worker, it.attempt});
            continue;
        }
        const bool isAcknowledged
            = std::ranges::find(workerState(n).toAcknowledge, it.attempt) != workerState(n).toAcknowledge.end();
        if (!isCurrent && !isAcknowledged && !m_uncommittedEnds.contains(it.attempt)) {
            workerState(n).toAcknowledge.push_back(it.attempt);
        }
    }
}

void Partition::processAttemptReport(const JobId &id, const ports::AttemptReport &report, TimePoint now)
{
    const auto &job = *m_jobs.find(id);
    auto &active = m_activeAttempts.at(id);
    switch (report.state) {
    case AttemptState::Running:
        if (active.phase == Phase::StartSent || active.phase == Phase::ReadyToStart) {
            active.phase = Phase::Running;
        }
        recordSlowdown(job, report);
        break;
    case AttemptState::Succeeded:
        updateSizeEstimate(job, report);
        endAttempt(id, Outcome::Succeeded, report.result, {}, now);
        break;
    case AttemptState::Failed:
        updateSizeEstimate(job, report);
        endAttempt(id, Outcome::Failed, report.result, {}, now);
        break;
    case AttemptState::Stopped:
        endAttempt(id, Outcome::Stopped, {}, {}, now);
        break;
    case AttemptState::Checkpointed:
        m_evictionTimes[id].push_back(now);
        ++m_evictionCount;
        endAttempt(id, Outcome::Evicted, {}, report.checkpoint, now);
        break;
    case AttemptState::LeaseLapsed:
        endAttempt(id, Outcome::Lost, "the lease lapsed", {}, now);
        break;
    }
}

void Partition::updateSizeEstimate(const Job &job, const ports::AttemptReport &report)
{
    const auto workload = workloadClass(job.spec);
    if (report.state == AttemptState::Succeeded) {
        m_sizes.recordUsage(workload, report.usage);
    } else if (static_cast<double>(report.usage.memoryMiB)
               >= MemoryShortageFraction * static_cast<double>(job.attempt->allocated.memoryMiB)) {
        m_sizes.recordShortage(workload, job.attempt->allocated);
    }
}

void Partition::recordSlowdown(const Job &job, const ports::AttemptReport &report)
{
    if (job.spec.urgency != Urgency::Urgent || report.slowdown <= 0) {
        return;
    }
    auto &active = m_activeAttempts.at(job.id);
    std::vector<std::string> neighbours;
    for (const auto &id : workerState(active.worker).jobs) {
        const auto &other = *m_jobs.find(id);
        if (other.spec.urgency == Urgency::Batch && m_activeAttempts.at(id).phase == Phase::Running) {
            neighbours.push_back(workloadClass(other.spec));
        }
    }
    m_interference.addSample(workloadClass(job.spec), neighbours, report.slowdown);
    if (report.slowdown >= HighSlowdownThreshold) {
        ++active.slowReports;
    } else if (report.slowdown < LowSlowdownThreshold) {
        active.slowReports = 0;
    }
    mitigateInterference(job, active);
}

const Job *Partition::noisiestNeighbour(const Job &job, WorkerIndex n) const
{
    const Job *worst = nullptr;
    double highest = HighSlowdownThreshold;
    for (const auto &id : m_workerStates[n].jobs) {
        const auto &other = *m_jobs.find(id);
        if (other.spec.urgency != Urgency::Batch) {
            continue;
        }
        const auto estimate = m_interference.pairEstimate(workloadClass(job.spec), workloadClass(other.spec));
        if (estimate.confidence >= MinPairConfidence && estimate.slowdown > highest) {
            worst = &other;
            highest = estimate.slowdown;
        }
    }
    return worst;
}

// Throttles the batch attempt that slows the service most, and evicts it if the
// slowdown persists.
void Partition::mitigateInterference(const Job &job, ActiveAttempt &active)
{
    if (active.slowReports != ReportsBeforeThrottling && active.slowReports != ReportsBeforeEviction) {
        return;
    }
    const auto *neighbour = noisiestNeighbour(job, active.worker);
    if (!neighbour) {
        return;
    }
    auto &other = m_activeAttempts.at(neighbour->id);
    if (active.slowReports == ReportsBeforeThrottling) {
        other.processorShare = ThrottledProcessorShare;
        m_pendingOrders.emplace_back(
            ThrottleAttempt{neighbour->attempt->worker, neighbour->attempt->id, ThrottledProcessorShare});
    } else if (static_cast<int>(m_evictionTimes[neighbour->id].size()) < m_options.maxEvictionsPerHour) {
        other.mustCheckpoint = true;
        m_stopping.insert(neighbour->id);
        active.slowReports = 0;
    }
}

void Partition::endAttempt(const JobId &id, Outcome outcome, std::string result, std::string checkpoint, TimePoint now)
{
    const Job before = *m_jobs.find(id);
    const auto active = m_activeAttempts.at(id);
    m_workers.release(active.worker, before.attempt->allocated);
    workerState(active.worker).jobs.erase(id);
    if (before.spec.urgency == Urgency::Batch) {
        m_teams[before.spec.team].usedMilliCores -= before.spec.resources.milliCores;
        m_batchMilliCores -= before.attempt->allocated.milliCores;
    }
    m_activeAttempts.erase(id);
    m_stopping.erase(id);
    m_uncommittedEnds[before.attempt->id] = before.attempt->worker;
    if (outcome == Outcome::Lost) {
        ++m_lostCount;
    }
    append(AttemptEnded{before.attempt->id, outcome, std::move(result), std::move(checkpoint)});
    applyFailurePolicy(before, outcome, now);
    if (isFinal(m_jobs.find(id)->state)) {
        m_finishedJobs.push_back(id);
        m_evictionTimes.erase(id);
        m_failureAttribution.forget(id);
    }
}

void Partition::applyFailurePolicy(const Job &before, Outcome outcome, TimePoint now)
{
    const auto &worker = before.attempt->worker;
    if (outcome == Outcome::Succeeded) {
        m_failureAttribution.noteSuccess(before.id, worker);
        return;
    }
    if (outcome == Outcome::Failed) {
        m_failureAttribution.noteFailure(before.id, worker, now);
    }
    const auto &job = *m_jobs.find(before.id);
    if (isFinal(job.state)) {
        return;
    }
    if (m_failureAttribution.isFaulty(job.id)) {
        std::string workers;
        for (const auto &it : m_failureAttribution.failedWorkers(job.id)) {
            workers += (workers.empty() ? "" : ", ") + it.text();
        }
        append(
            JobFailed{job.id, "failed on " + workers + ", on which other jobs run well; the last said: " + job.result});
    } else if (static_cast<int>(job.attempts) >= m_options.maxAttempts) {
        append(JobFailed{job.id,
                         "ended " + std::to_string(job.attempts)
                             + " attempts without success; the last said: " + job.result});
    }
}

// Ends the attempts on workers all of whose leases have certainly expired.
void Partition::expireLeases(TimePoint now)
{
    if (now < m_nextLeaseCheck) {
        return;
    }
    m_nextLeaseCheck = now + LeaseCheckInterval;
    for (WorkerIndex n = 0; n < m_workers.size(); ++n) {
        if (workerState(n).jobs.empty() || now < m_workers.at(n).leaseEnd) {
            continue;
        }
        const std::vector<JobId> jobs(workerState(n).jobs.begin(), workerState(n).jobs.end());
        for (const auto &id : jobs) {
            const auto phase = m_activeAttempts.at(id).phase;
            if (phase != Phase::Planned && phase != Phase::ReadyToStart) {
                endAttempt(id, Outcome::Lost, "the worker was not heard of until its leases had lapsed", {}, now);
            }
        }
    }
}

void Partition::removeOldJobs()
{
    while (m_finishedJobs.size() > m_options.maxFinishedJobs) {
        append(JobRemoved{m_finishedJobs.front()});
        m_finishedJobs.pop_front();
    }
}

PartitionSummary Partition::summary(TimePoint now) const
{
    PartitionSummary summary;
    summary.workers = static_cast<int>(m_workers.size());
    for (WorkerIndex n = 0; n < m_workers.size(); ++n) {
        const auto &worker = m_workers.at(n);
        summary.reachableWorkers += worker.incarnation != 0 && now - worker.lastContact < SilenceTimeout ? 1 : 0;
    }
    summary.quarantinedWorkers = static_cast<int>(m_failureAttribution.quarantinedWorkers().size());
    summary.waitingUrgent = m_jobs.waiting(Urgency::Urgent).size();
    summary.waitingBatch = m_jobs.waiting(Urgency::Batch).size();
    summary.running = static_cast<int>(m_activeAttempts.size());
    summary.jobs = m_jobs.jobs().size();
    summary.capacity = m_workers.totalCapacity();
    summary.committed = m_workers.totalCommitted();
    summary.starts = m_startCount;
    summary.evictions = m_evictionCount;
    summary.lost = m_lostCount;
    return summary;
}

} // namespace monsoonspool::placement
