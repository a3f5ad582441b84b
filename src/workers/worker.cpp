#include "workers/worker.h"

#include <algorithm>
#include <cmath>

namespace monsoonspool::workers {

namespace {

// A worker that rejected an order as unhealthy gets no new tasks for this time.
constexpr Duration UnhealthyBackoff = 500ms;
// Backoff before the next trial task of a suspect worker, multiplied by the number of
// consecutive failures from SuspectFailureCount on.
constexpr Duration SuspectBackoff = 700ms;
constexpr Duration MaxSuspectBackoff = 4s;
// Backoff before the next trial order to a worker that leaves orders without an answer; doubles up to
// the maximum.
constexpr Duration UnansweredBackoff = 500ms;
constexpr Duration MaxUnansweredBackoff = 4s;
// A suspect worker is treated as healthy after this time without a failure.
constexpr Duration SuspicionTimeout = 6s;
// Mean fraction of their cores that serving tasks use. Their load varies around it, and
// they take what they need beyond it from tasks on leftover cores.
constexpr double MeanServingUtilization = 0.42;

} // namespace

Worker::Worker(ports::WorkerEntry entry, TimePoint now)
    : m_entry(std::move(entry)), m_leavingStartTimeMs(m_entry.isDraining ? m_entry.startTimeMs : 0)
{
    if (m_entry.isDraining) {
        m_departure = now + m_entry.remaining;
    }
}

// An entry is received some time after it was written, and the same one may be received again,
// so that of several estimates the earliest is the best one.
void Worker::setEntry(ports::WorkerEntry entry, TimePoint now)
{
    const bool isExtended = entry.startTimeMs != m_entry.startTimeMs || entry.remaining > m_entry.remaining;
    const auto departure = now + entry.remaining;
    if (!entry.isDraining) {
        m_departure.reset();
    } else if (!m_departure || isExtended || departure < *m_departure) {
        m_departure = departure;
    }
    m_entry = std::move(entry);
    m_keptEntry.reset();
    if (m_entry.isDraining) {
        m_leavingStartTimeMs = m_entry.startTimeMs;
    }
}

std::optional<TimePoint> Worker::departure() const
{
    const bool isOfOtherProcess = m_startTimeMs != 0 && m_entry.startTimeMs != m_startTimeMs;
    return isOfOtherProcess ? std::nullopt : m_departure;
}

void Worker::restart(std::int64_t startTimeMs, ports::WorkerMillis clock)
{
    Worker fresh(std::move(m_entry), {});
    fresh.m_departure = m_departure;
    fresh.m_startTimeMs = startTimeMs;
    fresh.m_deadline = std::min<ports::WorkerMillis>(m_deadline, clock + toMilliseconds(MaxRunLease));
    fresh.m_isListed = m_isListed;
    fresh.m_isNamedSilent = m_isNamedSilent;
    fresh.m_isEvacuated = m_isEvacuated;
    fresh.m_isRostered = m_isRostered;
    fresh.m_isOnTakenRoster = m_isOnTakenRoster;
    fresh.m_remainingJobs = std::move(m_remainingJobs);
    fresh.m_visitAt = m_visitAt;
    if (m_keptEntry && m_keptEntry->entry.startTimeMs == startTimeMs) {
        fresh.setEntry(std::move(m_keptEntry->entry), m_keptEntry->receivedAt);
    }
    *this = std::move(fresh);
}

bool Worker::close()
{
    bool isChanged = !m_remainingJobs;
    if (!m_remainingJobs) {
        m_remainingJobs.emplace();
    }
    for (const auto &it : m_runs) {
        if (std::ranges::find(*m_remainingJobs, it.task.job) == m_remainingJobs->end()) {
            m_remainingJobs->push_back(it.task.job);
            isChanged = true;
        }
    }
    m_isRostered = false;
    return isChanged;
}

PlacementObstacle Worker::placementObstacle(TimePoint now, bool ignoresSuspicion) const
{
    if (!m_isListed || m_entry.isDraining || m_isEvacuated) {
        return PlacementObstacle::Leaving;
    }
    if (m_isSilent || m_isNamedSilent) {
        return PlacementObstacle::Silent;
    }
    if (!m_isRostered || !m_isConfirmed || m_awaitsTermRenewalSince) {
        return PlacementObstacle::Unconfirmed;
    }
    if (!isDescribed()) {
        return PlacementObstacle::Undescribed;
    }
    if (now < std::max(m_unschedulableUntil, m_unansweredUntil)) {
        return PlacementObstacle::Unhealthy;
    }
    const auto isUnconfirmed = [&](const Run &it) {
        return it.isInDoubt() || (it.orderedAt > m_lastUnansweredAt && it.state == RunState::Ordered);
    };
    if (m_unansweredOrders > 0 && std::ranges::any_of(m_runs, isUnconfirmed)) {
        return PlacementObstacle::OnTrial;
    }
    if (ignoresSuspicion || !isUnderSuspicion(now)) {
        return PlacementObstacle::None;
    }
    if (now < m_suspectUntil) {
        return PlacementObstacle::Unhealthy;
    }
    // Runs ordered before the failure are not trials: lasting tasks may never end.
    const bool hasTrial = std::ranges::any_of(m_runs, [&](const Run &it) { return it.orderedAt > m_lastFailureAt; });
    return hasTrial ? PlacementObstacle::OnTrial : PlacementObstacle::None;
}

Resources Worker::unreservedResources() const
{
    auto unreserved = m_entry.capacity - m_reserved;
    if (m_runsOfUnknownNeeds > 0) {
        for (auto *it : {&unreserved.milliCores, &unreserved.memoryMiB, &unreserved.accelerators}) {
            *it = std::min<std::int64_t>(*it, 0);
        }
    }
    return unreserved;
}

Resources Worker::freeResources() const
{
    auto available = unreservedResources();
    available.memoryMiB -= m_leftoverReserved.memoryMiB;
    available.accelerators -= m_leftoverReserved.accelerators;
    return available;
}

Resources Worker::leftoverCapacity() const
{
    auto capacity = unreservedResources();
    capacity.milliCores
        += static_cast<std::int64_t>(static_cast<double>(m_servingMilliCores) * (1 - MeanServingUtilization));
    return capacity;
}

Resources Worker::freeLeftoverResources() const
{
    return leftoverCapacity() - m_leftoverReserved;
}

bool Worker::fits(const Resources &needs, bool usesLeftover) const
{
    return (usesLeftover ? freeLeftoverResources() : freeResources()).contains(needs);
}

bool Worker::fitsReduced(const Resources &needs, bool keepsHalf) const
{
    const auto free = freeResources();
    const auto &capacity = m_entry.capacity;
    const bool isHalfFree = free.memoryMiB * 2 >= capacity.memoryMiB && free.accelerators * 2 >= capacity.accelerators;
    return (isHalfFree || !keepsHalf) && free.memoryMiB >= needs.memoryMiB && free.accelerators >= needs.accelerators
        && leftoverMilliCores() >= needs.milliCores * ReducedPace / FullPace;
}

int Worker::reducedRunCount() const
{
    return static_cast<int>(std::ranges::count_if(m_runs, &Run::isReduced));
}

bool Worker::hasUnpacedReducedRun() const
{
    return std::ranges::any_of(m_runs, [](const Run &it) {
        return it.isReduced && (it.paceChangedAt == TimePoint() || it.pace == UnknownPace);
    });
}

namespace {

bool isSameStep(const jobs::TaskId &a, const jobs::TaskId &b)
{
    return a.job == b.job && a.occurrence == b.occurrence && a.step == b.step;
}

} // namespace

int Worker::runsOfStep(const jobs::TaskId &task) const
{
    return static_cast<int>(std::ranges::count_if(m_runs, [&](const Run &it) { return isSameStep(it.task, task); }));
}

bool Worker::hasCrashSuspect(const jobs::TaskId &task, int minCrashes, TimePoint now) const
{
    return m_crashSuspects > 0 && std::ranges::any_of(m_runs, [&](const Run &it) {
               return it.crashCount >= minCrashes && now - it.orderedAt < CrashSuspicionTime
                   && !isSameStep(it.task, task);
           });
}

const Run *Worker::find(const jobs::TaskId &task) const
{
    const auto it = std::ranges::find(m_runs, task, &Run::task);
    return it == m_runs.end() ? nullptr : &*it;
}

Run *Worker::find(const jobs::TaskId &task)
{
    const auto it = std::ranges::find(m_runs, task, &Run::task);
    return it == m_runs.end() ? nullptr : &*it;
}

namespace {

// A throttled run on leftover cores reserves cores in proportion to its pace.
Resources reservedBy(const Run &run)
{
    auto reserved = run.needs;
    if (run.usesLeftover) {
        // What a reduced run works beyond its pace it yields to others.
        const int pace = run.pace == UnknownPace ? FullPace : run.isReduced ? ReducedPace : run.pace;
        reserved.milliCores = reserved.milliCores * pace / FullPace;
    }
    return reserved;
}

} // namespace

void Worker::setPace(Run &run, int percent)
{
    m_leftoverReserved -= reservedBy(run);
    run.pace = percent;
    m_leftoverReserved += reservedBy(run);
}

void Worker::endReduction(Run &run)
{
    m_leftoverReserved -= reservedBy(run);
    run.isReduced = false;
    m_leftoverReserved += reservedBy(run);
}

void Worker::add(const Run &run)
{
    m_runs.push_back(run);
    m_crashSuspects += run.crashCount > 0 ? 1 : 0;
    m_servingMilliCores += run.isLasting ? run.needs.milliCores : 0;
    m_runsOfUnknownNeeds += run.areNeedsKnown ? 0 : 1;
    (run.usesLeftover ? m_leftoverReserved : m_reserved) += reservedBy(run);
}

void Worker::remove(const jobs::TaskId &task)
{
    const auto it = std::ranges::find(m_runs, task, &Run::task);
    if (it != m_runs.end()) {
        (it->usesLeftover ? m_leftoverReserved : m_reserved) -= reservedBy(*it);
        m_servingMilliCores -= it->isLasting ? it->needs.milliCores : 0;
        m_runsOfUnknownNeeds -= it->areNeedsKnown ? 0 : 1;
        m_crashSuspects -= it->crashCount > 0 ? 1 : 0;
        m_runs.erase(it);
    }
}

// Computed from the lower bound of the worker's clock, so that no renewal makes the worker
// keep its runs for longer than its lease. A worker never shortens its lease.
ports::WorkerMillis Worker::nextDeadline(TimePoint now, TimePoint termEnd)
{
    if (!m_clock.isKnown()) {
        return 0;
    }
    const auto leaving = departure();
    const auto lease = leaving ? std::clamp<Duration>(*leaving - now, DepartingRunLease, RunLease) : RunLease;
    const auto deadline
        = std::min<ports::WorkerMillis>(m_clock.earliest(now) + toMilliseconds(lease), m_clock.earliest(termEnd));
    m_deadline = std::max(m_deadline, deadline);
    return deadline;
}

// A successful start extends the lease of all runs on the worker.
ports::WorkerMillis Worker::startDeadline(TimePoint now, TimePoint termEnd)
{
    const auto deadline
        = std::min<ports::WorkerMillis>(m_clock.latest(now) + toMilliseconds(StartValidity), m_clock.earliest(termEnd));
    m_deadline = std::max(m_deadline, deadline);
    return deadline;
}

bool Worker::hasLapsed(TimePoint now) const
{
    return m_clock.isKnown() && m_clock.earliest(now) > m_deadline + LeaseMargin;
}

namespace {

// Returns an upper bound of a time that a worker has measured as `d`.
Duration onHostClock(Duration d)
{
    const auto slowest = std::ceil(static_cast<double>(toMilliseconds(d)) / (1 - ports::MaxClockDrift));
    return std::chrono::milliseconds(static_cast<std::int64_t>(slowest));
}

} // namespace

Duration Worker::leaseRemaining(TimePoint now) const
{
    if (!m_clock.isKnown()) {
        return Duration(0); // no lease was granted
    }
    const auto remaining = std::max<ports::WorkerMillis>(m_deadline + LeaseMargin + 1 - m_clock.earliest(now), 0);
    auto end = now + onHostClock(std::chrono::milliseconds(remaining));
    for (const auto &it : m_runs) {
        // Orders for a process with a known start time reach no later process, which would read the
        // deadline by another clock.
        const bool isProcessKnown = it.startDeadline == 0 || it.isListed || m_startTimeMs != 0;
        end = isProcessKnown ? end : std::max(end, it.orderedAt + onHostClock(MaxRunLease));
    }
    return end - now;
}

bool Worker::isTooLateToStart(const Run &run, TimePoint now) const
{
    return m_clock.isKnown() && m_clock.earliest(now) > run.startDeadline + LeaseMargin;
}

void Worker::noteContact(ports::WorkerMillis clock, TimePoint sentAt, TimePoint now)
{
    if (!m_clock.isKnown()) {
        // A former leader's lease: it was granted before the worker confirmed this fence.
        m_deadline = std::max<ports::WorkerMillis>(m_deadline, clock + toMilliseconds(RunLease));
    }
    m_clock.note(clock, sentAt, now);
    m_isConfirmed = true;
    m_contactSentAt = sentAt;
    m_isSilent = false;
    m_hasNewListing = true;
}

void Worker::noteSilence(TimePoint now)
{
    if (!m_isSilent) {
        m_silentSince = now;
    }
    m_isSilent = true;
}

std::vector<LostRun> Worker::possibleRuns(TimePoint now) const
{
    std::vector<LostRun> possible;
    for (const auto &it : m_runs) {
        const bool isAnswered = it.answeredAt != TimePoint();
        const bool isUnanswered = it.state == RunState::Unanswered || it.state == RunState::Ordered;
        if (!isAnswered && !isUnanswered) {
            continue;
        }
        // While an order has no result, it may not have been sent yet.
        const bool wasSent = it.state != RunState::Ordered;
        const auto evidence = isAnswered ? RunEvidence::Confirmed
            : wasSent && it.isVerified   ? RunEvidence::Verified
                                         : RunEvidence::None;
        const auto begunAt = isAnswered ? it.answeredAt : it.orderedAt;
        const bool isAdopted = it.startDeadline == 0;
        const auto before = isAdopted ? jobs::LastingTrialTime + Duration(1) : Duration(0);
        possible.push_back({it.task, it.number, before + std::max(heardUntil(now) - begunAt, Duration(0)), evidence});
    }
    return possible;
}

void Worker::acknowledge(std::int64_t number)
{
    m_acknowledgedEnd = std::max(m_acknowledgedEnd, number);
}

void Worker::noteDone(TimePoint)
{
    m_consecutiveFailures = 0;
    m_unschedulableUntil = {};
    m_suspectUntil = {};
}

void Worker::noteFailure(TimePoint now)
{
    ++m_consecutiveFailures;
    m_lastFailureAt = now;
    if (isSuspect()) {
        m_suspectUntil
            = now + std::min(SuspectBackoff * (m_consecutiveFailures - SuspectFailureCount + 1), MaxSuspectBackoff);
    }
}

void Worker::noteOrderAnswered()
{
    m_unansweredOrders = 0;
}

void Worker::noteOrderUnanswered(TimePoint now)
{
    constexpr int maxDoublings = 3; // reach the maximum
    const auto backoff = UnansweredBackoff * (1 << std::min(m_unansweredOrders, maxDoublings));
    ++m_unansweredOrders;
    m_lastUnansweredAt = now;
    m_unansweredUntil = now + std::min(backoff, MaxUnansweredBackoff);
}

bool Worker::isUnderSuspicion(TimePoint now) const
{
    return isSuspect() && now - m_lastFailureAt <= SuspicionTimeout;
}

void Worker::noteUnhealthy(TimePoint now)
{
    m_unschedulableUntil = std::max(m_unschedulableUntil, now + UnhealthyBackoff);
}

} // namespace monsoonspool::workers
