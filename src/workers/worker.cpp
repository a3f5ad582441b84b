#include "workers/worker.h"

#include <algorithm>

namespace monsoonspool::workers {

namespace {

// A worker that refused as unhealthy is left alone for this long.
constexpr Duration UnhealthyPause = 500ms;
// A suspect worker gets its next trial task after this time for each failure.
constexpr Duration SuspectPause = 700ms;
constexpr Duration MaxSuspectPause = 4s;
// After this time without a failure a worker is trusted again.
constexpr Duration SuspicionTime = 6s;
// The part of their processors that serving tasks use on average; their load swings
// around it, and what they need more they take from work on leftover processors.
constexpr double ServingUse = 0.42;
constexpr int FullPace = 100;

} // namespace

Worker::Worker(ports::WorkerEntry entry) : m_entry(std::move(entry))
{
}

void Worker::setEntry(ports::WorkerEntry entry)
{
    m_entry = std::move(entry);
}

void Worker::restart(std::int64_t bornMs)
{
    auto entry = std::move(m_entry);
    entry.bornMs = bornMs;
    const bool isListed = m_isListed;
    const bool isRostered = m_isRostered;
    *this = Worker(std::move(entry));
    m_isListed = isListed;
    m_isRostered = isRostered;
}

bool Worker::isOpen(TimePoint now) const
{
    if (!m_isListed || !m_isRostered || !m_isConfirmed || m_isSilent || m_entry.isDraining || now < m_closedUntil) {
        return false;
    }
    if (!isSuspect() || now - m_failedAt > SuspicionTime) {
        return true;
    }
    // What ran before the failure is no trial: lasting tasks may run there for good.
    return std::ranges::none_of(m_runs, [&](const Run &it) { return it.orderedAt > m_failedAt; });
}

Resources Worker::freeRoom() const
{
    auto room = m_entry.capacity - m_held;
    room.memoryMiB -= m_leftoverHeld.memoryMiB;
    room.accelerators -= m_leftoverHeld.accelerators;
    return room;
}

Resources Worker::leftoverCapacity() const
{
    auto capacity = m_entry.capacity - m_held;
    capacity.milliCores += static_cast<std::int64_t>(static_cast<double>(m_servingMilliCores) * (1 - ServingUse));
    return capacity;
}

Resources Worker::leftoverRoom() const
{
    return leftoverCapacity() - m_leftoverHeld;
}

bool Worker::fits(const Resources &needs, bool usesLeftover) const
{
    return (usesLeftover ? leftoverRoom() : freeRoom()).holds(needs);
}

int Worker::runsOfStep(const jobs::TaskId &task) const
{
    return static_cast<int>(std::ranges::count_if(m_runs, [&](const Run &it) {
        return it.task.job == task.job && it.task.occurrence == task.occurrence && it.task.step == task.step;
    }));
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

// A run that is slowed down leaves the rest of its processors to others.
Resources heldBy(const Run &run)
{
    auto held = run.needs;
    if (run.usesLeftover && run.pace >= 0) {
        held.milliCores = held.milliCores * run.pace / FullPace;
    }
    return held;
}

} // namespace

void Worker::setPace(Run &run, int percent)
{
    m_leftoverHeld -= heldBy(run);
    run.pace = percent;
    m_leftoverHeld += heldBy(run);
}

void Worker::add(const Run &run)
{
    m_runs.push_back(run);
    m_servingMilliCores += run.isLasting ? run.needs.milliCores : 0;
    (run.usesLeftover ? m_leftoverHeld : m_held) += heldBy(run);
}

void Worker::remove(const jobs::TaskId &task)
{
    const auto it = std::ranges::find(m_runs, task, &Run::task);
    if (it != m_runs.end()) {
        (it->usesLeftover ? m_leftoverHeld : m_held) -= heldBy(*it);
        m_servingMilliCores -= it->isLasting ? it->needs.milliCores : 0;
        m_runs.erase(it);
    }
}

// Counted from the least that the clock can show, so that the worker never keeps
// its runs for longer than RunLease; the greatest deadline ever sent counts.
ports::WorkerMillis Worker::nextDeadline(TimePoint now)
{
    if (!m_clock.isKnown()) {
        return 0;
    }
    m_deadline = std::max<ports::WorkerMillis>(m_deadline, m_clock.earliest(now) + toMilliseconds(RunLease));
    return m_deadline;
}

// A start that succeeds lengthens the lease of everything on the worker.
ports::WorkerMillis Worker::startDeadline(TimePoint now)
{
    const ports::WorkerMillis deadline = m_clock.latest(now) + toMilliseconds(StartValidity);
    m_deadline = std::max(m_deadline, deadline);
    return deadline;
}

bool Worker::hasLapsed(TimePoint now) const
{
    return m_clock.isKnown() && m_clock.earliest(now) > m_deadline + LeaseMargin;
}

bool Worker::isTooLateToStart(const Run &run, TimePoint now) const
{
    return m_clock.isKnown() && m_clock.earliest(now) > run.startDeadline + LeaseMargin;
}

void Worker::noteContact(ports::WorkerMillis clock, TimePoint sentAt, TimePoint now)
{
    m_clock.note(clock, sentAt, now);
    m_isConfirmed = true;
    m_isSilent = false;
    m_isMeasured = true;
}

void Worker::noteSilence(TimePoint)
{
    m_isSilent = true;
}

void Worker::acknowledge(std::int64_t number)
{
    m_acknowledgedEnd = std::max(m_acknowledgedEnd, number);
}

void Worker::noteDone(TimePoint)
{
    m_suspicion = 0;
    m_closedUntil = {};
}

void Worker::noteFailure(TimePoint now)
{
    ++m_suspicion;
    m_failedAt = now;
    if (isSuspect()) {
        m_closedUntil = now + std::min(SuspectPause * (m_suspicion - SuspicionLimit + 1), MaxSuspectPause);
    }
}

void Worker::noteUnhealthy(TimePoint now)
{
    m_closedUntil = std::max(m_closedUntil, now + UnhealthyPause);
}

} // namespace monsoonspool::workers
