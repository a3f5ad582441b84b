#include "ports/memory/memoryworkers.h"

#include <charconv>

namespace monsoonspool::ports::memory {

namespace {

constexpr Duration DefaultRunTime = 10ms;
constexpr Duration MaxRunTime = 24h;

// Returns `text` as milliseconds, or the default run time if it is not a number.
Duration parseRunTime(std::string_view text)
{
    long long n = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), n);
    if (ec != std::errc() || n < 0) {
        return DefaultRunTime;
    }
    return std::min<Duration>(std::chrono::milliseconds(n), MaxRunTime);
}

} // namespace

CommandModel::Run SimpleCommands::plan(const WorkerId &, const StartOrder &order)
{
    const std::string_view command = order.command;
    const std::size_t space = command.find(' ');
    const std::string_view verb = command.substr(0, space);
    const std::string_view rest = space == std::string_view::npos ? std::string_view() : command.substr(space + 1);
    if (verb == "sleep") {
        return {parseRunTime(rest), true, "slept", order.resources};
    }
    if (verb == "fail") {
        return {parseRunTime(rest), false, "the command failed", order.resources};
    }
    if (verb == "echo") {
        return {DefaultRunTime, true, std::string(rest), order.resources};
    }
    return {DefaultRunTime, true, "done", order.resources};
}

MemoryWorkers::MemoryWorkers(Scheduler &scheduler, FaultPlan &faults, CommandModel &commands)
    : m_scheduler(scheduler), m_faults(faults), m_commands(commands)
{
}

MemoryWorkers::~MemoryWorkers() = default;

void MemoryWorkers::add(const WorkerId &worker, Resources capacity)
{
    m_workers[worker].capacity = capacity;
}

void MemoryWorkers::kill(const WorkerId &id)
{
    auto &worker = m_workers[id];
    for (auto &[attemptId, attempt] : worker.attempts) {
        if (attempt.state == AttemptState::Running) {
            endAttempt(id, worker, attempt, AttemptState::Failed);
        }
    }
    worker.attempts.clear();
    worker.highestAttempt.clear();
    worker.isAlive = false;
}

void MemoryWorkers::restart(const WorkerId &id)
{
    kill(id);
    auto &worker = m_workers[id];
    worker.isAlive = true;
    ++worker.incarnation;
}

void MemoryWorkers::setReachable(const WorkerId &worker, bool isReachable)
{
    m_workers[worker].isReachable = isReachable;
}

template <typename T, typename F>
void MemoryWorkers::call(std::string_view name, const WorkerId &worker, F effect, Handler<T> handler)
{
    const auto fault = m_faults.next(name, m_callCount++, m_scheduler.now());
    m_scheduler.runAfter(
        fault.delay, [this, fault, worker, effect = std::move(effect), handler = std::move(handler)]() mutable {
            const auto it = m_workers.find(worker);
            if (fault.isRefused || it == m_workers.end() || !it->second.isAlive || !it->second.isReachable) {
                handler(Failure{ErrorKind::DaemonUnreachable, worker.text()});
                return;
            }
            AsyncResult<T> result = effect(it->second);
            if (fault.isReplyLost) {
                handler(Failure{ErrorKind::StoreReplyLost, worker.text()});
                return;
            }
            handler(result);
        });
}

AsyncResult<Done> MemoryWorkers::checkEpoch(const WorkerId &id, Worker &worker, Epoch epoch, const AttemptId &attempt)
{
    if (epoch < worker.highestEpoch) {
        m_history.push_back({WorkerEvent::Kind::RefusedStale, m_scheduler.now(), id, attempt, {}});
        return Failure{ErrorKind::StaleEpoch, "the worker has seen epoch " + std::to_string(worker.highestEpoch.value)};
    }
    worker.highestEpoch = epoch;
    return Done{};
}

AsyncResult<Done> MemoryWorkers::startAttempt(const WorkerId &id, Worker &worker, const StartOrder &order)
{
    if (order.workerIncarnation != worker.incarnation) {
        return Failure{ErrorKind::Superseded, "the worker has restarted"};
    }
    auto &highest = worker.highestAttempt[order.attempt.job];
    if (worker.attempts.contains(order.attempt)) {
        return Done{};
    }
    if (order.attempt.attempt <= highest) {
        return Failure{ErrorKind::Superseded, "the attempt is over"};
    }
    highest = order.attempt.attempt;
    if (!worker.capacity.contains(worker.used + order.resources)) {
        m_history.push_back({WorkerEvent::Kind::Overcommitted, m_scheduler.now(), id, order.attempt, {}});
        return Failure{ErrorKind::CapacityExceeded, id.text()};
    }
    auto &attempt = worker.attempts[order.attempt];
    attempt.order = order;
    attempt.leaseEnd = m_scheduler.now() + order.lease;
    attempt.run = m_commands.plan(id, order);
    worker.used += order.resources;
    m_history.push_back({WorkerEvent::Kind::Started, m_scheduler.now(), id, order.attempt, order.checkpoint});
    m_scheduler.runAfter(attempt.run.duration, [this, id, incarnation = worker.incarnation, key = order.attempt] {
        auto &host = m_workers[id];
        const auto it = host.attempts.find(key);
        if (host.incarnation == incarnation && it != host.attempts.end() && it->second.state == AttemptState::Running) {
            endAttempt(id, host, it->second, it->second.run.succeeds ? AttemptState::Succeeded : AttemptState::Failed);
        }
    });
    scheduleLeaseExpiry(id, worker.incarnation, order.attempt);
    return Done{};
}

void MemoryWorkers::scheduleLeaseExpiry(const WorkerId &id, std::uint64_t incarnation, const AttemptId &key)
{
    const auto &attempt = m_workers[id].attempts.at(key);
    m_scheduler.runAfter(attempt.leaseEnd - m_scheduler.now(), [this, id, incarnation, key] {
        auto &worker = m_workers[id];
        const auto it = worker.attempts.find(key);
        if (worker.incarnation != incarnation || it == worker.attempts.end()
            || it->second.state != AttemptState::Running) {
            return;
        }
        if (it->second.leaseEnd > m_scheduler.now()) {
            scheduleLeaseExpiry(id, incarnation, key);
            return;
        }
        endAttempt(id, worker, it->second, AttemptState::LeaseLapsed);
    });
}

void MemoryWorkers::endAttempt(const WorkerId &id, Worker &worker, Attempt &attempt, AttemptState state)
{
    attempt.state = state;
    worker.used -= attempt.order.resources;
    if (state == AttemptState::Checkpointed) {
        attempt.checkpoint
            = "checkpoint/" + attempt.order.attempt.job.text() + "/" + std::to_string(attempt.order.attempt.attempt);
    }
    m_history.push_back({WorkerEvent::Kind::Ended, m_scheduler.now(), id, attempt.order.attempt, attempt.checkpoint});
}

WorkerReport MemoryWorkers::report(const WorkerId &id, const Worker &worker) const
{
    WorkerReport report{id, worker.incarnation, worker.highestEpoch, {}};
    for (const auto &[key, attempt] : worker.attempts) {
        const bool isFinished = attempt.state == AttemptState::Succeeded || attempt.state == AttemptState::Failed;
        report.attempts.push_back({key, attempt.state, attempt.run.usage,
                                   isFinished ? attempt.run.result : std::string(), attempt.checkpoint,
                                   attempt.run.slowdown});
    }
    return report;
}

void MemoryWorkers::start(const WorkerId &id, const StartOrder &order, Handler<Done> handler)
{
    call<Done>(
        "worker.start", id,
        [this, id, order](Worker &worker) {
            const auto epoch = checkEpoch(id, worker, order.epoch, order.attempt);
            return epoch.isOk() ? startAttempt(id, worker, order) : epoch;
        },
        std::move(handler));
}

void MemoryWorkers::renew(const WorkerId &id, Epoch epoch, Duration lease, std::span<const AttemptId> acknowledged,
                          Handler<WorkerReport> handler)
{
    call<WorkerReport>(
        "worker.renew", id,
        [this, id, epoch, lease, done = std::vector<AttemptId>(acknowledged.begin(), acknowledged.end())](
            Worker &worker) -> AsyncResult<WorkerReport> {
            const auto checked = checkEpoch(id, worker, epoch, {});
            if (!checked.isOk()) {
                return checked.failure();
            }
            for (const auto &key : done) {
                const auto it = worker.attempts.find(key);
                if (it != worker.attempts.end() && it->second.state != AttemptState::Running) {
                    worker.attempts.erase(it);
                }
            }
            for (auto &[key, attempt] : worker.attempts) {
                attempt.leaseEnd = std::max(attempt.leaseEnd, m_scheduler.now() + lease);
            }
            return report(id, worker);
        },
        std::move(handler));
}

AsyncResult<Done> MemoryWorkers::endByOrder(const WorkerId &id, Epoch epoch, const AttemptId &key, AttemptState state)
{
    auto &worker = m_workers[id];
    const auto checked = checkEpoch(id, worker, epoch, key);
    if (!checked.isOk()) {
        return checked;
    }
    const auto it = worker.attempts.find(key);
    if (it != worker.attempts.end() && it->second.state == AttemptState::Running) {
        endAttempt(id, worker, it->second, state);
    }
    return Done{};
}

void MemoryWorkers::stop(const WorkerId &id, Epoch epoch, const AttemptId &attempt, Handler<Done> handler)
{
    call<Done>(
        "worker.stop", id,
        [this, id, epoch, attempt](Worker &) { return endByOrder(id, epoch, attempt, AttemptState::Stopped); },
        std::move(handler));
}

void MemoryWorkers::checkpoint(const WorkerId &id, Epoch epoch, const AttemptId &attempt, Handler<Done> handler)
{
    call<Done>(
        "worker.checkpoint", id,
        [this, id, epoch, attempt](Worker &) { return endByOrder(id, epoch, attempt, AttemptState::Checkpointed); },
        std::move(handler));
}

void MemoryWorkers::throttle(const WorkerId &id, Epoch epoch, const AttemptId &attempt, double, Handler<Done> handler)
{
    call<Done>(
        "worker.throttle", id,
        [this, id, epoch, attempt](Worker &worker) { return checkEpoch(id, worker, epoch, attempt); },
        std::move(handler));
}

} // namespace monsoonspool::ports::memory
