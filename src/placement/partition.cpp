#include "placement/partition.h"

#include <tbb/blocked_range.h>
#include <tbb/parallel_for.h>

#include <algorithm>
#include <charconv>

namespace monsoonspool::placement {

namespace {

using How = AttemptEnded::How;
using ports::AttemptState;

// Workers that are scored for one job.
constexpr int MaxCandidates = 48;
// Jobs that are looked at in one plan, for each that may start.
constexpr std::size_t LooksPerStart = 2;
// With so many jobs at once their candidates are scored in parallel.
constexpr std::size_t ParallelFrom = 32;
constexpr std::size_t ParallelGrain = 8;
// One batch start goes before the next urgent one after so many of these.
constexpr int UrgentStartsPerBatchStart = 4;
// A job that has found no room for so long gets a worker kept free for it.
constexpr Duration ReserveAfter = 30s;
// Batch work keeps this part of the processors, if it wants them, in every flood.
constexpr double MinBatchShare = 0.1;
// Workers that are searched for something to evict.
constexpr int EvictionLooks = 64;
// Evictions under way at once, and asked for in one plan.
constexpr std::ptrdiff_t MaxPendingEvictions = 64;
constexpr std::ptrdiff_t EvictionsPerPlan = 8;
constexpr Duration LapseSweepInterval = 200ms;
// A worker silent for so long gets no renewals that would extend its leases.
constexpr Duration SilentAfter = 9s;
constexpr Duration AskAgain = 2s;
constexpr Duration EvictionMemory = 1h;
// An attempt that failed having used this part of its memory may have lacked it.
constexpr double ShortOfMemory = 0.9;
// Hysteresis of the reaction to a slowed service.
constexpr double SlowFrom = 1.3;
constexpr double QuietBelow = 1.1;
constexpr int ThrottleAfter = 3;
constexpr int MoveAfter = 6;
constexpr double ThrottledPart = 0.5;
constexpr double BelievedFrom = 0.3;

std::uint64_t numberOf(const JobId &id)
{
    const auto text = id.view();
    const auto digits = text.substr(text.rfind('-') + 1);
    std::uint64_t n = 0;
    std::from_chars(digits.data(), digits.data() + digits.size(), n);
    return n;
}

} // namespace

std::string kindOf(const JobSpec &spec)
{
    const auto space = spec.command.find(' ');
    return spec.team.text() + "/" + spec.command.substr(0, space);
}

Partition::Partition(PartitionOptions options, TimePoint)
    : m_options(std::move(options)), m_scoring(makeScoringPolicy(m_options.scoring)),
      m_eviction(std::make_unique<YoungestFirst>())
{
}

Partition::WorkerState &Partition::stateOf(WorkerIndex n)
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
        // An entry that cannot follow was committed twice around a lost reply.
        handleFailure([&] { return m_jobs.apply(it); }, [](const Failure &) {});
    }
    std::vector<std::pair<std::uint64_t, JobId>> finished;
    for (const auto &[id, job] : m_jobs.jobs()) {
        m_nextJob = std::max(m_nextJob, numberOf(id) + 1);
        if (isFinal(job.state)) {
            finished.emplace_back(job.order, id);
        }
        if (job.attempt) {
            const auto n = m_workers.indexOf(job.attempt->worker);
            m_workers.adopt(n, job.attempt->allotted);
            m_workers.extendLease(n, now + m_options.times.ownerLease + m_options.times.lapse());
            beginLive(job, Phase::Running, now);
        }
    }
    std::ranges::sort(finished);
    for (auto &[order, id] : finished) {
        m_finished.push_back(std::move(id));
    }
}

void Partition::setWorkers(std::span<const ports::ListedWorker> workers)
{
    m_workers.setListed(workers);
    if (m_workers.size() > 0) {
        stateOf(static_cast<WorkerIndex>(m_workers.size() - 1));
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
            return fail(ErrorKind::IdempotencyKeyReused, "the key belongs to another job, " + known->id.text());
        }
        return known->id;
    }
    if (!m_workers.couldHold(spec.resources)) {
        return fail(ErrorKind::InvalidJob, "no worker of " + m_options.name.text() + " is large enough for the job");
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
        m_live[id].mustStop = true;
        m_ending.insert(id);
    } else {
        m_finished.push_back(id);
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
    std::ranges::sort(found, std::greater<>(), &Job::order);
    found.resize(std::min(limit, found.size()));
    std::vector<JobView> views;
    for (const auto *job : found) {
        views.push_back({job->id, job->spec, job->state, job->attempts, job->evictions, job->isCancelling,
                         job->attempt ? job->attempt->worker : WorkerId(), job->result});
    }
    return views;
}

Resources Partition::allotmentFor(const Job &job) const
{
    const auto &declared = job.spec.resources;
    const auto learned = m_sizes.allot(kindOf(job.spec), declared);
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

// Returns the jobs to look at next: urgent ones first, with a batch job among
// every few, so that batch work keeps moving.
std::vector<JobId> Partition::nextToPlan() const
{
    const auto limit = static_cast<std::size_t>(m_options.startsPerPlan) * LooksPerStart;
    const auto &urgent = m_jobs.waiting(Urgency::Urgent);
    const auto &batch = m_jobs.waiting(Urgency::Batch);
    std::vector<JobId> ids;
    auto u = urgent.begin();
    auto b = batch.begin();
    int debt = m_batchDebt;
    while (ids.size() < limit && (u != urgent.end() || b != batch.end())) {
        const bool isBatchTurn = u == urgent.end() || (debt >= UrgentStartsPerBatchStart && b != batch.end());
        if (isBatchTurn) {
            ids.push_back((b++)->second);
            debt = 0;
        } else {
            ids.push_back((u++)->second);
            ++debt;
        }
    }
    return ids;
}

// Chooses a worker for each job over the pool as it is now. The choices may
// collide; place() settles them one after the other.
std::vector<std::optional<WorkerIndex>> Partition::propose(std::span<const JobId> ids, TimePoint now) const
{
    std::vector<std::optional<WorkerIndex>> proposals(ids.size());
    const auto choose = [&](std::size_t n) {
        const auto &job = *m_jobs.find(ids[n]);
        if (!isOverQuota(job)) {
            proposals[n] = chooseWorker(job, now);
        }
    };
    if (ids.size() < ParallelFrom) {
        for (std::size_t n = 0; n < ids.size(); ++n) {
            choose(n);
        }
        return proposals;
    }
    tbb::parallel_for(tbb::blocked_range<std::size_t>(0, ids.size(), ParallelGrain), [&](const auto &range) {
        for (std::size_t n = range.begin(); n < range.end(); ++n) {
            choose(n);
        }
    });
    return proposals;
}

void Partition::plan(TimePoint now)
{
    lapseWorkers(now);
    const auto ids = nextToPlan();
    const auto proposals = propose(ids, now);
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
            noteUnplaced(job, now);
            if (job.spec.urgency == Urgency::Urgent) {
                unplacedUrgent.push_back(job.id);
            }
        }
    }
    evictForUrgent(unplacedUrgent, now);
    forgetFinished();
}

// Asks for as many evictions as urgent jobs lack room, a bounded number at once.
void Partition::evictForUrgent(std::span<const JobId> unplaced, TimePoint now)
{
    const auto pending = std::ranges::count_if(m_ending, [&](const JobId &id) {
        const auto it = m_live.find(id);
        return it != m_live.end() && it->second.mustCheckpoint;
    });
    const auto lacking = std::min<std::ptrdiff_t>(std::ssize(unplaced), MaxPendingEvictions) - pending;
    const auto last = std::min<std::ptrdiff_t>(pending + EvictionsPerPlan, std::ssize(unplaced));
    for (auto n = pending; lacking > 0 && n < last; ++n) {
        evictFor(*m_jobs.find(unplaced[static_cast<std::size_t>(n)]), now);
    }
}

bool Partition::isUsableFor(const Job &job, WorkerIndex n, TimePoint now) const
{
    const auto &worker = m_workers.at(n);
    if (now - worker.lastContact >= SilentAfter) {
        return false;
    }
    if (!m_suspicion.isQuarantined(worker.id)) {
        return true;
    }
    return worker.attempts == 0 && m_suspicion.mayProbe(worker.id, now) && job.spec.urgency == Urgency::Batch;
}

double Partition::expectedSlowdown(const Job &job, WorkerIndex n) const
{
    if (m_interference.isEmpty()) {
        return 1;
    }
    const auto kind = kindOf(job.spec);
    double worst = 1;
    for (const auto &id : m_workerStates[n].jobs) {
        const auto &other = *m_jobs.find(id);
        if (job.spec.urgency == other.spec.urgency) {
            continue;
        }
        const auto otherKind = kindOf(other.spec);
        const bool isService = job.spec.urgency == Urgency::Urgent;
        const std::string &neighbour = isService ? otherKind : kind;
        worst = std::max(worst, m_interference.expected(isService ? kind : otherKind, std::span(&neighbour, 1)));
    }
    return worst;
}

std::optional<WorkerIndex> Partition::chooseWorker(const Job &job, TimePoint now) const
{
    const auto allotted = allotmentFor(job);
    const auto holdsReserved = m_reservation && m_reservation->job == job.id
        && m_workers.at(m_reservation->worker).free().holds(allotted) && isUsableFor(job, m_reservation->worker, now);
    if (holdsReserved) {
        return m_reservation->worker;
    }
    std::vector<WorkerIndex> found;
    m_workers.findCandidates(allotted, MaxCandidates, found);
    std::optional<WorkerIndex> best;
    double highest = 0;
    for (const auto n : found) {
        if (!isUsableFor(job, n, now)) {
            continue;
        }
        const auto &worker = m_workers.at(n);
        const PlacementCandidate candidate{n,
                                           worker.capacity,
                                           worker.free() - allotted,
                                           expectedSlowdown(job, n),
                                           m_suspicion.hasFailedOn(job.id, worker.id),
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
    const auto allotted = allotmentFor(job);
    if (!m_workers.commit(n, allotted)) {
        return false;
    }
    if (m_reservation && m_reservation->job == job.id) {
        m_workers.setReserved(m_reservation->worker, false);
        m_reservation.reset();
    }
    m_unplacedSince.erase(job.id);
    m_batchDebt = job.spec.urgency == Urgency::Batch ? 0 : m_batchDebt + 1;
    ++m_startCount;
    const auto &worker = m_workers.at(n);
    append(AttemptPlanned{{job.id, job.attempts + 1}, worker.id, worker.incarnation, allotted});
    beginLive(job, Phase::Planned, now);
    return true;
}

void Partition::beginLive(const Job &job, Phase phase, TimePoint now)
{
    auto &live = m_live[job.id];
    live = Live();
    live.worker = m_workers.indexOf(job.attempt->worker);
    live.phase = phase;
    live.startedAt = now;
    stateOf(live.worker).jobs.insert(job.id);
    if (job.spec.urgency == Urgency::Batch) {
        m_teams[job.spec.team].usedMilliCores += job.spec.resources.milliCores;
        m_batchMilliCores += job.attempt->allotted.milliCores;
    }
    if (job.isCancelling) {
        live.mustStop = true;
        m_ending.insert(job.id);
    }
}

void Partition::noteUnplaced(const Job &job, TimePoint now)
{
    const auto since = m_unplacedSince.try_emplace(job.id, now).first->second;
    if (now - since >= ReserveAfter && !m_reservation) {
        reserveFor(job);
    }
}

void Partition::reserveFor(const Job &job)
{
    const auto allotted = allotmentFor(job);
    for (const auto n : m_workers.largestFirst(EvictionLooks)) {
        if (m_workers.at(n).capacity.holds(allotted) && !m_suspicion.isQuarantined(m_workers.at(n).id)) {
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
    return static_cast<int>(std::ranges::count_if(it->second, [&](TimePoint at) { return now - at < EvictionMemory; }));
}

// Asks one batch attempt to make room, on a worker where the room it leaves is
// enough.
void Partition::evictFor(const Job &job, TimePoint now)
{
    const auto allotted = allotmentFor(job);
    const auto kept
        = static_cast<std::int64_t>(MinBatchShare * static_cast<double>(m_workers.totalCapacity().milliCores));
    std::vector<EvictionCandidate> candidates;
    std::vector<JobId> ids;
    for (const auto n : m_workers.largestFirst(EvictionLooks)) {
        const auto &worker = m_workers.at(n);
        for (const auto &id : m_workerStates[n].jobs) {
            const auto &other = *m_jobs.find(id);
            const auto &live = m_live.at(id);
            const bool makesRoom = (worker.free() + other.attempt->allotted).holds(allotted);
            const bool isAsked = live.mustStop || live.mustCheckpoint;
            const bool isProtected = m_batchMilliCores - other.attempt->allotted.milliCores < kept;
            if (other.spec.urgency != Urgency::Batch || !makesRoom || live.phase != Phase::Running || isAsked
                || isProtected) {
                continue;
            }
            candidates.push_back({n, other.attempt->allotted, now - live.startedAt, recentEvictions(id, now),
                                  static_cast<std::uint32_t>(ids.size())});
            ids.push_back(id);
        }
    }
    const int chosen = m_eviction->choose(candidates, m_options.maxEvictionsPerHour);
    if (chosen < 0) {
        return;
    }
    const auto &victim = ids[candidates[static_cast<std::size_t>(chosen)].index];
    m_live[victim].mustCheckpoint = true;
    m_ending.insert(victim);
}

void Partition::noteCommitted(std::span<const LogEntry> entries, TimePoint)
{
    for (const auto &entry : entries) {
        if (const auto *planned = std::get_if<AttemptPlanned>(&entry)) {
            const auto live = m_live.find(planned->attempt.job);
            const auto *job = m_jobs.find(planned->attempt.job);
            if (live != m_live.end() && job && job->attempt && job->attempt->id == planned->attempt
                && live->second.phase == Phase::Planned) {
                live->second.phase = Phase::Ready;
                m_ready.push_back(planned->attempt.job);
            }
        }
        if (const auto *ended = std::get_if<AttemptEnded>(&entry)) {
            // Told to the worker with the next renewal.
            if (const auto *worker = m_workers.find(m_endedOn[ended->attempt])) {
                stateOf(m_workers.indexOf(worker->id)).acknowledge.push_back(ended->attempt);
            }
            m_endedOn.erase(ended->attempt);
        }
    }
}

std::vector<WorkerOrder> Partition::dueOrders(TimePoint now)
{
    std::vector<WorkerOrder> orders = std::exchange(m_extraOrders, {});
    orderStarts(orders, now);
    orderEndings(orders, now);
    orderRenewals(orders, now);
    return orders;
}

void Partition::orderStarts(std::vector<WorkerOrder> &orders, TimePoint now)
{
    for (const auto &id : std::exchange(m_ready, {})) {
        const auto *job = m_jobs.find(id);
        const auto live = m_live.find(id);
        if (!job || !job->attempt || live == m_live.end() || live->second.phase != Phase::Ready) {
            continue;
        }
        if (job->isCancelling) {
            endAttempt(id, How::NeverStarted, {}, {}, now);
            continue;
        }
        const auto &attempt = *job->attempt;
        live->second.phase = Phase::Ordering;
        m_workers.extendLease(live->second.worker, now + m_options.times.lapse());
        orders.emplace_back(StartAttempt{attempt.worker,
                                         {m_options.epoch, attempt.workerIncarnation, attempt.id, attempt.allotted,
                                          job->spec.command, job->checkpoint, m_options.times.lease}});
    }
}

void Partition::orderEndings(std::vector<WorkerOrder> &orders, TimePoint now)
{
    for (auto it = m_ending.begin(); it != m_ending.end();) {
        const auto live = m_live.find(*it);
        const auto *job = m_jobs.find(*it);
        if (live == m_live.end() || !job || !job->attempt) {
            it = m_ending.erase(it);
            continue;
        }
        const bool isDue = live->second.phase == Phase::Running && now - live->second.askedAt >= AskAgain;
        if (isDue) {
            live->second.askedAt = now;
            if (live->second.mustStop) {
                orders.emplace_back(StopAttempt{job->attempt->worker, job->attempt->id});
            } else {
                orders.emplace_back(CheckpointAttempt{job->attempt->worker, job->attempt->id});
            }
            // Its end is learned from the worker's next report, which should be soon.
            stateOf(live->second.worker).renewedAt = TimePoint{};
        }
        ++it;
    }
}

void Partition::orderRenewals(std::vector<WorkerOrder> &orders, TimePoint now)
{
    for (WorkerIndex n = 0; n < m_workers.size(); ++n) {
        const auto &worker = m_workers.at(n);
        auto &state = stateOf(n);
        const bool isNeeded = worker.isListed || !state.jobs.empty();
        if (!isNeeded || state.isRenewing || now - state.renewedAt < m_options.times.renewInterval) {
            continue;
        }
        state.isRenewing = true;
        state.renewedAt = now;
        const bool isSilent = worker.incarnation != 0 && now - worker.lastContact >= SilentAfter;
        const Duration lease = isSilent ? Duration{0} : m_options.times.lease;
        if (lease > Duration{0} && !state.jobs.empty()) {
            m_workers.extendLease(n, now + m_options.times.lapse());
        }
        orders.emplace_back(RenewWorker{worker.id, lease, state.acknowledge});
    }
}

void Partition::noteStartReply(const StartAttempt &order, const ports::AsyncResult<ports::Done> &result, TimePoint now)
{
    const auto &id = order.order.attempt.job;
    const auto live = m_live.find(id);
    const auto *job = m_jobs.find(id);
    if (live == m_live.end() || !job || !job->attempt || job->attempt->id != order.order.attempt
        || live->second.phase != Phase::Ordering) {
        return;
    }
    if (result.isOk()) {
        live->second.phase = Phase::Running;
        return;
    }
    switch (result.failure().kind) {
    case ErrorKind::CapacityExceeded:
    case ErrorKind::Superseded:
    case ErrorKind::DaemonUnreachable:
        // Refused for good, or certainly never sent.
        endAttempt(id, How::NeverStarted, result.failure().detail, {}, now);
        break;
    default:
        // It may have arrived, or may yet: the worker's reports will tell.
        live->second.phase = Phase::Running;
        break;
    }
}

void Partition::noteReport(const WorkerId &id, const ports::AsyncResult<ports::WorkerReport> &result, TimePoint sentAt,
                           TimePoint now)
{
    const auto n = m_workers.indexOf(id);
    auto &state = stateOf(n);
    state.isRenewing = false;
    if (!result.isOk()) {
        return;
    }
    std::erase_if(state.acknowledge, [&](const ports::AttemptId &attempt) {
        return std::ranges::none_of(result.value().attempts, [&](const auto &it) { return it.attempt == attempt; });
    });
    takeReport(n, result.value(), sentAt, now);
}

void Partition::takeReport(WorkerIndex n, const ports::WorkerReport &report, TimePoint sentAt, TimePoint now)
{
    m_workers.noteContact(n, report.incarnation, now);
    std::unordered_map<JobId, const ports::AttemptReport *> reported;
    for (const auto &it : report.attempts) {
        reported[it.attempt.job] = &it;
    }
    const std::vector<JobId> jobs(stateOf(n).jobs.begin(), stateOf(n).jobs.end());
    for (const auto &id : jobs) {
        const auto &job = *m_jobs.find(id);
        auto &live = m_live.at(id);
        const auto it = reported.find(id);
        if (it != reported.end() && it->second->attempt == job.attempt->id) {
            takeAttemptReport(id, *it->second, now);
        } else if (job.attempt->workerIncarnation != report.incarnation) {
            if (live.phase != Phase::Planned) {
                endAttempt(id, How::Lost, "the worker restarted", {}, now);
            }
        } else if (live.phase == Phase::Running && live.startedAt < sentAt) {
            // The start has not arrived, or not yet. Ordering it again settles
            // which: it starts now, or it has started, or it never will.
            live.phase = Phase::Ready;
            m_ready.push_back(id);
        }
    }
    for (const auto &it : report.attempts) {
        const auto *job = m_jobs.find(it.attempt.job);
        const bool isCurrent = job && job->attempt && job->attempt->id == it.attempt;
        if (!isCurrent && it.state == AttemptState::Running) {
            m_extraOrders.emplace_back(StopAttempt{report.worker, it.attempt});
            continue;
        }
        const bool isAcknowledged
            = std::ranges::find(stateOf(n).acknowledge, it.attempt) != stateOf(n).acknowledge.end();
        if (!isCurrent && !isAcknowledged && !m_endedOn.contains(it.attempt)) {
            stateOf(n).acknowledge.push_back(it.attempt);
        }
    }
}

void Partition::takeAttemptReport(const JobId &id, const ports::AttemptReport &report, TimePoint now)
{
    const auto &job = *m_jobs.find(id);
    auto &live = m_live.at(id);
    switch (report.state) {
    case AttemptState::Running:
        if (live.phase == Phase::Ordering || live.phase == Phase::Ready) {
            live.phase = Phase::Running;
        }
        watchSlowdown(job, report);
        break;
    case AttemptState::Succeeded:
        learn(job, report);
        endAttempt(id, How::Succeeded, report.result, {}, now);
        break;
    case AttemptState::Failed:
        learn(job, report);
        endAttempt(id, How::Failed, report.result, {}, now);
        break;
    case AttemptState::Stopped:
        endAttempt(id, How::Stopped, {}, {}, now);
        break;
    case AttemptState::Checkpointed:
        m_evictionTimes[id].push_back(now);
        ++m_evictionCount;
        endAttempt(id, How::Evicted, {}, report.checkpoint, now);
        break;
    case AttemptState::LeaseLapsed:
        endAttempt(id, How::Lost, "the lease lapsed", {}, now);
        break;
    }
}

void Partition::learn(const Job &job, const ports::AttemptReport &report)
{
    const auto kind = kindOf(job.spec);
    if (report.state == AttemptState::Succeeded) {
        m_sizes.noteUsage(kind, report.usage);
    } else if (static_cast<double>(report.usage.memoryMiB)
               >= ShortOfMemory * static_cast<double>(job.attempt->allotted.memoryMiB)) {
        m_sizes.noteShortage(kind, job.attempt->allotted);
    }
}

void Partition::watchSlowdown(const Job &job, const ports::AttemptReport &report)
{
    if (job.spec.urgency != Urgency::Urgent || report.slowdown <= 0) {
        return;
    }
    auto &live = m_live.at(job.id);
    std::vector<std::string> neighbours;
    for (const auto &id : stateOf(live.worker).jobs) {
        const auto &other = *m_jobs.find(id);
        if (other.spec.urgency == Urgency::Batch && m_live.at(id).phase == Phase::Running) {
            neighbours.push_back(kindOf(other.spec));
        }
    }
    m_interference.note(kindOf(job.spec), neighbours, report.slowdown);
    if (report.slowdown >= SlowFrom) {
        ++live.badReports;
    } else if (report.slowdown < QuietBelow) {
        live.badReports = 0;
    }
    easePressure(job, live);
}

const Job *Partition::worstNeighbour(const Job &job, WorkerIndex n) const
{
    const Job *worst = nullptr;
    double highest = SlowFrom;
    for (const auto &id : m_workerStates[n].jobs) {
        const auto &other = *m_jobs.find(id);
        if (other.spec.urgency != Urgency::Batch) {
            continue;
        }
        const auto estimate = m_interference.pair(kindOf(job.spec), kindOf(other.spec));
        if (estimate.confidence >= BelievedFrom && estimate.slowdown > highest) {
            worst = &other;
            highest = estimate.slowdown;
        }
    }
    return worst;
}

// First throttles the neighbour that hurts most, then moves it.
void Partition::easePressure(const Job &job, Live &live)
{
    if (live.badReports != ThrottleAfter && live.badReports != MoveAfter) {
        return;
    }
    const auto *neighbour = worstNeighbour(job, live.worker);
    if (!neighbour) {
        return;
    }
    auto &other = m_live.at(neighbour->id);
    if (live.badReports == ThrottleAfter) {
        other.throttledTo = ThrottledPart;
        m_extraOrders.emplace_back(ThrottleAttempt{neighbour->attempt->worker, neighbour->attempt->id, ThrottledPart});
    } else if (static_cast<int>(m_evictionTimes[neighbour->id].size()) < m_options.maxEvictionsPerHour) {
        other.mustCheckpoint = true;
        m_ending.insert(neighbour->id);
        live.badReports = 0;
    }
}

void Partition::endAttempt(const JobId &id, How how, std::string result, std::string checkpoint, TimePoint now)
{
    const Job before = *m_jobs.find(id);
    const auto live = m_live.at(id);
    m_workers.release(live.worker, before.attempt->allotted);
    stateOf(live.worker).jobs.erase(id);
    if (before.spec.urgency == Urgency::Batch) {
        m_teams[before.spec.team].usedMilliCores -= before.spec.resources.milliCores;
        m_batchMilliCores -= before.attempt->allotted.milliCores;
    }
    m_live.erase(id);
    m_ending.erase(id);
    m_endedOn[before.attempt->id] = before.attempt->worker;
    if (how == How::Lost) {
        ++m_lostCount;
    }
    append(AttemptEnded{before.attempt->id, how, std::move(result), std::move(checkpoint)});
    judge(before, how, now);
    if (isFinal(m_jobs.find(id)->state)) {
        m_finished.push_back(id);
        m_evictionTimes.erase(id);
        m_suspicion.forget(id);
    }
}

void Partition::judge(const Job &before, How how, TimePoint now)
{
    const auto &worker = before.attempt->worker;
    if (how == How::Succeeded) {
        m_suspicion.noteSuccess(before.id, worker);
        return;
    }
    if (how == How::Failed) {
        m_suspicion.noteFailure(before.id, worker, now);
    }
    const auto &job = *m_jobs.find(before.id);
    if (isFinal(job.state)) {
        return;
    }
    if (m_suspicion.isUnable(job.id)) {
        std::string workers;
        for (const auto &it : m_suspicion.failedOn(job.id)) {
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

// Ends the attempts on workers whose every lease must have lapsed.
void Partition::lapseWorkers(TimePoint now)
{
    if (now < m_nextSweep) {
        return;
    }
    m_nextSweep = now + LapseSweepInterval;
    for (WorkerIndex n = 0; n < m_workers.size(); ++n) {
        if (stateOf(n).jobs.empty() || now < m_workers.at(n).leaseEnd) {
            continue;
        }
        const std::vector<JobId> jobs(stateOf(n).jobs.begin(), stateOf(n).jobs.end());
        for (const auto &id : jobs) {
            const auto phase = m_live.at(id).phase;
            if (phase != Phase::Planned && phase != Phase::Ready) {
                endAttempt(id, How::Lost, "the worker was not heard of until its leases had lapsed", {}, now);
            }
        }
    }
}

void Partition::forgetFinished()
{
    while (m_finished.size() > m_options.maxFinishedJobs) {
        append(JobForgotten{m_finished.front()});
        m_finished.pop_front();
    }
}

PartitionSummary Partition::summary(TimePoint now) const
{
    PartitionSummary summary;
    summary.workers = static_cast<int>(m_workers.size());
    for (WorkerIndex n = 0; n < m_workers.size(); ++n) {
        const auto &worker = m_workers.at(n);
        summary.reachableWorkers += worker.incarnation != 0 && now - worker.lastContact < SilentAfter ? 1 : 0;
    }
    summary.quarantinedWorkers = static_cast<int>(m_suspicion.quarantined().size());
    summary.waitingUrgent = m_jobs.waiting(Urgency::Urgent).size();
    summary.waitingBatch = m_jobs.waiting(Urgency::Batch).size();
    summary.running = static_cast<int>(m_live.size());
    summary.jobs = m_jobs.jobs().size();
    summary.capacity = m_workers.totalCapacity();
    summary.committed = m_workers.totalCommitted();
    summary.starts = m_startCount;
    summary.evictions = m_evictionCount;
    summary.lost = m_lostCount;
    return summary;
}

} // namespace monsoonspool::placement
