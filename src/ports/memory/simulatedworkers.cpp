#include "ports/memory/simulatedworkers.h"

#include "jobs/names.h"

#include <algorithm>
#include <iterator>
#include <memory>
#include <utility>

namespace monsoonspool::ports::memory {

namespace {

// The platform's limits: a longer lease is shortened, and one listing has at most this many ends.
constexpr WorkerMillis MaxLease = 10000;
constexpr std::size_t MaxListedEnds = 500;

} // namespace

SimulatedWorkers::SimulatedWorkers(Scheduler &scheduler, const TaskModel &model)
    : m_scheduler(scheduler), m_model(model), m_checker(model)
{
}

void SimulatedWorkers::addWorker(const WorkerEntry &entry, double clockRate)
{
    auto &worker = m_workers[entry.id];
    worker.entry = entry;
    worker.clockRate = clockRate;
    worker.upSince = m_scheduler.now();
}

void SimulatedWorkers::endProcess(SimulatedWorker &worker, bool isSilent)
{
    advance(worker);
    observe("process-ended", worker, {}, 0, {});
    worker.isUp = false;
    worker.isSilent = isSilent;
    worker.runs.clear();
    worker.ended.clear();
    m_checker.noteProcessEnded(worker.entry.id);
    for (const auto &it : std::exchange(worker.waiters, {})) {
        if (!isSilent) {
            it.handler(Failure{ErrorKind::StoreReplyLost, "the connection was reset"});
        }
    }
}

void SimulatedWorkers::crash(const WorkerId &id, bool isSilent)
{
    endProcess(m_workers.at(id), isSilent);
}

void SimulatedWorkers::restart(const WorkerId &id, std::int64_t startTimeMs)
{
    auto &former = m_workers.at(id);
    endProcess(former, former.isSilent);
    auto entry = former.entry;
    const auto clockRate = former.clockRate;
    const bool isDisconnected = former.isDisconnected;
    const auto process = former.process;
    entry.startTimeMs = startTimeMs;
    m_workers[id] = SimulatedWorker();
    addWorker(entry, clockRate);
    m_workers[id].isDisconnected = isDisconnected;
    m_workers[id].process = process + 1;
    observe("process-started", m_workers[id], {}, 0, std::to_string(startTimeMs));
    if (m_registration) {
        m_registration(m_workers[id].entry);
    }
}

void SimulatedWorkers::setCapacity(const WorkerId &id, const Resources &capacity)
{
    auto &worker = m_workers.at(id);
    worker.formerCapacities.push_back({worker.entry.capacity, m_scheduler.now()});
    worker.entry.capacity = capacity;
}

bool SimulatedWorkers::mayHold(const SimulatedWorker &worker, const Resources &needs) const
{
    const auto recently = m_scheduler.now() - m_capacityNotice;
    return worker.entry.capacity.contains(needs)
        || std::ranges::any_of(worker.formerCapacities, [&](const FormerCapacity &it) {
               return it.until >= recently && it.capacity.contains(needs);
           });
}

void SimulatedWorkers::setDisconnected(const WorkerId &id, bool isDisconnected)
{
    m_workers.at(id).isDisconnected = isDisconnected;
}

bool SimulatedWorkers::isAnswering(const WorkerId &id) const
{
    const auto &worker = m_workers.at(id);
    return !worker.isDisconnected && (worker.isUp || !worker.isSilent);
}

std::uint64_t SimulatedWorkers::processNumber(const WorkerId &id) const
{
    const auto &worker = m_workers.at(id);
    return worker.isUp ? worker.process : 0;
}

std::optional<Failure> SimulatedWorkers::unreachable(const SimulatedWorker &worker) const
{
    if (worker.isDisconnected) {
        return Failure{ErrorKind::StoreReplyLost, worker.entry.id.text()};
    }
    if (!worker.isUp) {
        return Failure{ErrorKind::DaemonUnreachable, worker.entry.id.text()};
    }
    return std::nullopt;
}

const WorkerEntry &SimulatedWorkers::entry(const WorkerId &id) const
{
    return m_workers.at(id).entry;
}

WorkerMillis SimulatedWorkers::workerClock(const SimulatedWorker &worker) const
{
    const auto elapsed = std::chrono::duration<double, std::milli>(m_scheduler.now() - worker.upSince);
    return static_cast<WorkerMillis>(elapsed.count() * worker.clockRate);
}

void SimulatedWorkers::observe(std::string_view event, const SimulatedWorker &worker, const jobs::TaskId &task,
                               jobs::RunNumber run, std::string_view detail) const
{
    if (m_observer) {
        m_observer(event, worker.entry.id, task, run, detail);
    }
}

void SimulatedWorkers::endRun(SimulatedWorker &worker, const Run &run, jobs::RunEnd outcome)
{
    observe("ended", worker, run.task, run.number, jobs::runEndName(outcome));
    m_checker.noteEnd(worker.entry.id, worker.nextEndNumber, run.task, run.number, outcome);
    worker.ended.push_back({worker.nextEndNumber++, run.task, run.number, outcome, {}});
    worker.highestEndedRun[run.task] = std::max(worker.highestEndedRun[run.task], run.number);
}

void SimulatedWorkers::extendLease(SimulatedWorker &worker, WorkerMillis deadline)
{
    worker.deadline = std::max(worker.deadline, std::min(deadline, workerClock(worker) + MaxLease));
}

void SimulatedWorkers::advanceLater(const SimulatedWorker &worker, Duration delay)
{
    m_scheduler.runAfter(delay, [this, id = worker.entry.id, startTimeMs = worker.entry.startTimeMs] {
        auto &it = m_workers.at(id);
        if (it.isUp && it.entry.startTimeMs == startTimeMs) {
            advance(it);
        }
    });
}

void SimulatedWorkers::crashLater(const SimulatedWorker &worker, const jobs::TaskId &task, jobs::RunNumber run,
                                  Duration delay)
{
    m_scheduler.runAfter(delay, [this, id = worker.entry.id, startTimeMs = worker.entry.startTimeMs, task, run] {
        auto &it = m_workers.at(id);
        const bool isRunning = it.isUp && it.entry.startTimeMs == startTimeMs
            && std::ranges::any_of(it.runs,
                                   [&](const Run &other) { return other.task == task && other.number == run; });
        if (!isRunning) {
            return;
        }
        crashUnder(task, id);
    });
}

void SimulatedWorkers::crashUnder(const jobs::TaskId &task, const WorkerId &id)
{
    m_checker.noteCrash(task);
    crash(id, true);
    m_scheduler.runAfter(m_crashDowntime, [this, id, startTimeMs = m_workers.at(id).entry.startTimeMs] {
        if (!m_workers.at(id).isUp) {
            restart(id, startTimeMs + 1);
        }
    });
}

void SimulatedWorkers::advance(SimulatedWorker &worker)
{
    if (!worker.isUp) {
        return;
    }
    const bool isLeaseExpired = workerClock(worker) > worker.deadline;
    const auto now = m_scheduler.now();
    std::vector<Run> ended;
    std::erase_if(worker.runs, [&](const Run &it) {
        const bool isEnded = isLeaseExpired || it.endsAt <= now;
        if (isEnded) {
            ended.push_back(it);
        }
        return isEnded;
    });
    for (const auto &it : ended) {
        const auto outcome = it.isStopping ? jobs::RunEnd::Stopped
            : isLeaseExpired               ? jobs::RunEnd::Lapsed
            : it.fails                     ? jobs::RunEnd::Failed
                                           : jobs::RunEnd::Done;
        endRun(worker, it, outcome);
    }
    if (isLeaseExpired) {
        m_checker.noteLeaseExpired(worker.entry.id);
    }
    answerWaiters(worker);
}

void SimulatedWorkers::breakGang(const jobs::TaskId &member)
{
    const auto isMember = [&](const Run &it) {
        return it.task.job == member.job && it.task.occurrence == member.occurrence && it.task.step == member.step;
    };
    for (auto &[id, worker] : m_workers) {
        advance(worker);
        std::vector<Run> broken;
        std::ranges::copy_if(worker.runs, std::back_inserter(broken), isMember);
        std::erase_if(worker.runs, isMember);
        for (const auto &it : broken) {
            endRun(worker, it, jobs::RunEnd::Broken);
        }
        answerWaiters(worker);
    }
}

void SimulatedWorkers::advance()
{
    for (auto &[id, worker] : m_workers) {
        advance(worker);
    }
}

WorkerListing SimulatedWorkers::listing(const SimulatedWorker &worker) const
{
    WorkerListing listing;
    listing.clock = workerClock(worker);
    listing.startTimeMs = worker.entry.startTimeMs;
    const auto count = std::min(worker.ended.size(), MaxListedEnds);
    listing.isTruncated = count < worker.ended.size();
    listing.ended.assign(worker.ended.begin(), worker.ended.begin() + static_cast<std::ptrdiff_t>(count));
    for (const auto &it : worker.runs) {
        const auto length = std::max(it.endsAt - it.startedAt, Duration(1ms));
        const auto percent = (m_scheduler.now() - it.startedAt) * 100 / length;
        listing.running.push_back({it.task, it.number, {}, static_cast<int>(percent), 0});
    }
    return listing;
}

void SimulatedWorkers::answerWaiters(SimulatedWorker &worker)
{
    if (worker.ended.empty()) {
        return;
    }
    for (const auto &it : std::exchange(worker.waiters, {})) {
        it.handler(listing(worker));
    }
}

AsyncResult<WorkerListing> SimulatedWorkers::renew(const WorkerId &id, const LeaseOrder &order)
{
    auto &worker = m_workers.at(id);
    advance(worker);
    if (const auto failure = unreachable(worker)) {
        return *failure;
    }
    if (order.fence < worker.fence) {
        return Failure{ErrorKind::StaleEpoch, id.text()};
    }
    worker.fence = order.fence;
    extendLease(worker, order.deadline);
    const auto acknowledged
        = std::erase_if(worker.ended, [&](const ListedRunEnd &it) { return it.number <= order.acknowledgedEnd; });
    if (acknowledged > 0) {
        observe("acknowledged", worker, {}, 0,
                std::to_string(order.acknowledgedEnd) + " fence " + std::to_string(order.fence.value));
    }
    m_checker.noteAcknowledged(id, order.acknowledgedEnd);
    return listing(worker);
}

void SimulatedWorkers::poll(const WorkerId &id, const LeaseOrder &order, Handler<WorkerListing> handler)
{
    const auto result = renew(id, order);
    if (!result.isOk() || !result.value().ended.empty() || order.wait <= Duration(0)) {
        handler(result);
        return;
    }
    const auto number = m_nextWaiter++;
    m_workers.at(id).waiters.push_back({number, std::move(handler)});
    m_scheduler.runAfter(order.wait, [this, id, number] {
        auto &worker = m_workers.at(id);
        advance(worker);
        const auto it = std::ranges::find(worker.waiters, number, &Waiter::number);
        if (it != worker.waiters.end()) {
            const auto waiting = std::move(it->handler);
            worker.waiters.erase(it);
            waiting(listing(worker));
        }
    });
}

AsyncResult<StartResult> SimulatedWorkers::start(const WorkerId &id, const RunOrder &order)
{
    auto &worker = m_workers.at(id);
    if (m_advancesOneWorker) {
        advance(worker);
    } else {
        advance();
    }
    if (const auto failure = unreachable(worker)) {
        return *failure;
    }
    if (order.fence < worker.fence) {
        return Failure{ErrorKind::StaleEpoch, id.text()};
    }
    worker.fence = order.fence;
    if (order.deadline < workerClock(worker)) {
        return StartResult::TooLate;
    }
    const bool isRunning = std::ranges::any_of(
        worker.runs, [&](const Run &it) { return it.task == order.task && it.number == order.run; });
    if (isRunning) {
        return StartResult::Accepted;
    }
    extendLease(worker, order.deadline); // also by a start that is refused from here on
    const auto ended = worker.highestEndedRun.find(order.task);
    if (ended != worker.highestEndedRun.end() && order.run <= ended->second) {
        return StartResult::Superseded;
    }
    const auto profile = m_model.profile(order.task);
    Resources totalNeeds = profile.needs;
    for (const auto &it : worker.runs) {
        totalNeeds += it.needs;
    }
    if (!mayHold(worker, totalNeeds)) {
        m_checker.record("over capacity", order.task, id);
    }
    observe("started", worker, order.task, order.run, std::to_string(order.fence.value));
    m_checker.noteStart(id, order.task, order.run, m_scheduler.now());
    ++m_starts;
    worker.runs.push_back({order.task, order.run, profile.needs, m_scheduler.now(), m_scheduler.now() + profile.runTime,
                           profile.alwaysFails, false});
    advanceLater(worker, profile.runTime);
    if (profile.crashesWorkerAfter == Duration(0)) {
        crashUnder(order.task, id);
        return *unreachable(worker);
    }
    if (profile.crashesWorkerAfter) {
        crashLater(worker, order.task, order.run, *profile.crashesWorkerAfter);
    }
    return StartResult::Accepted;
}

AsyncResult<Done> SimulatedWorkers::stop(const WorkerId &id, Epoch fence, const jobs::TaskId &task, jobs::RunNumber run)
{
    auto &worker = m_workers.at(id);
    advance(worker);
    if (const auto failure = unreachable(worker)) {
        return *failure;
    }
    if (fence < worker.fence) {
        return Failure{ErrorKind::StaleEpoch, id.text()};
    }
    worker.fence = fence;
    worker.highestEndedRun[task] = std::max(worker.highestEndedRun[task], run);
    const auto it = std::ranges::find_if(
        worker.runs, [&](const Run &candidate) { return candidate.task == task && candidate.number == run; });
    if (it != worker.runs.end() && !it->isStopping) {
        it->isStopping = true;
        it->endsAt = m_scheduler.now() + m_stopGrace;
        advanceLater(worker, m_stopGrace);
        advance(worker);
    }
    return Done{};
}

int SimulatedWorkers::runningCount() const
{
    int count = 0;
    for (const auto &[id, it] : m_workers) {
        count += static_cast<int>(it.runs.size());
    }
    return count;
}

bool SimulatedWorkers::hasRunOf(jobs::JobKey job) const
{
    return std::ranges::any_of(m_workers, [&](const auto &entry) {
        return std::ranges::any_of(entry.second.runs, [&](const Run &it) { return it.task.job == job; });
    });
}

namespace {

// Time until a sender gives up waiting for an answer.
constexpr Duration OrderTimeout = 700ms;
// A connection that was idle for longer is not used again.
constexpr Duration MaxIdleTime = 5s;

struct MemoryConnection
{
    std::uint64_t process = 0; // that accepted it; 0 until an order has arrived
    bool isOpen = true;
    TimePoint lastUsed;
};

class MemoryWorkerChannel : public WorkerChannel
{
public:
    MemoryWorkerChannel(SimulatedWorkers &workers, Scheduler &scheduler, FaultPlan &faults,
                        std::shared_ptr<std::uint64_t> calls)
        : m_workers(workers), m_scheduler(scheduler), m_faults(faults), m_calls(std::move(calls))
    {
    }

    void renew(const WorkerEntry &worker, ConnectionNumber connection, const LeaseOrder &order,
               Handler<WorkerListing> handler) override
    {
        deliver<WorkerListing>(
            "renew ", worker.id, connection, order.wait + order.patience,
            [&workers = m_workers, id = worker.id, order](Handler<WorkerListing> reply) {
                workers.poll(id, order, std::move(reply));
            },
            std::move(handler));
    }
    void start(const WorkerEntry &worker, ConnectionNumber connection, const RunOrder &order,
               Handler<StartResult> handler) override
    {
        deliver<StartResult>(
            "start ", worker.id, connection, OrderTimeout,
            [&workers = m_workers, id = worker.id, order](const Handler<StartResult> &reply) {
                reply(workers.start(id, order));
            },
            std::move(handler));
    }
    void stop(const WorkerEntry &worker, Epoch fence, const jobs::TaskId &task, jobs::RunNumber run,
              Handler<Done> handler) override
    {
        deliver<Done>(
            "stop ", worker.id, AnyConnection, OrderTimeout,
            [&workers = m_workers, id = worker.id, fence, task, run](const Handler<Done> &reply) {
                reply(workers.stop(id, fence, task, run));
            },
            std::move(handler));
    }
    void pace(const WorkerEntry &worker, Epoch, const jobs::TaskId &, jobs::RunNumber, int,
              Handler<Done> handler) override
    {
        deliver<Done>(
            "pace ", worker.id, AnyConnection, OrderTimeout, [](const Handler<Done> &reply) { reply(Done{}); },
            std::move(handler));
    }
    ConnectionNumber connection() const override
    {
        return m_number;
    }

private:
    // Executes an order after the fault's delay and passes on the answer. If the order or its
    // answer is lost or late, the sender times out; the order may still be executed after that.
    template <typename T>
    void deliver(std::string_view name, const WorkerId &id, ConnectionNumber number, Duration timeout,
                 std::function<void(Handler<T>)> effect, Handler<T> handler)
    {
        if (m_connection && (!m_connection->isOpen || m_scheduler.now() - m_connection->lastUsed > MaxIdleTime)) {
            m_connection.reset();
        }
        if (number != AnyConnection && (!m_connection || number != m_number)) {
            m_scheduler.runAfter(Duration(0), [handler = std::move(handler)] {
                handler(Failure{ErrorKind::DaemonUnreachable, "the connection was closed"});
            });
            return;
        }
        if (!m_connection) {
            m_connection = std::make_shared<MemoryConnection>();
            ++m_number;
        }
        const auto fault = m_faults.next(std::string(name) + id.text(), ++*m_calls, m_scheduler.now());
        const auto isAnswered = std::make_shared<bool>(false);
        const Handler<T> once = [isAnswered, &scheduler = m_scheduler, connection = m_connection,
                                 handler = std::move(handler)](const AsyncResult<T> &result) {
            if (!std::exchange(*isAnswered, true)) {
                connection->isOpen = result.isOk() || isAnswer(result.failure().kind);
                connection->lastUsed = scheduler.now();
                handler(result);
            }
        };
        m_scheduler.runAfter(timeout, [once] { once(Failure{ErrorKind::StoreReplyLost, "no answer"}); });
        if (fault.isConnectionEnded) {
            m_scheduler.runAfter(Duration(0), [once] { once(Failure{ErrorKind::StoreReplyLost, "end of file"}); });
        }
        if (fault.isRefused) {
            return;
        }
        const Handler<T> reply
            = [&workers = m_workers, &scheduler = m_scheduler, id, once, fault](const AsyncResult<T> &result) {
                  if (!fault.isReplyLost && workers.isAnswering(id)) {
                      scheduler.runAfter(fault.replyDelay, [once, result] { once(result); });
                  }
              };
        m_scheduler.runAfter(fault.delay,
                             [&workers = m_workers, id, connection = m_connection, effect = std::move(effect), reply] {
                                 if (!workers.isAnswering(id)) {
                                     return;
                                 }
                                 const auto process = workers.processNumber(id);
                                 if (connection->process == 0) {
                                     connection->process = process;
                                 }
                                 if (connection->process != process) {
                                     reply(Failure{ErrorKind::StoreReplyLost, "the connection was reset"});
                                 } else {
                                     effect(reply);
                                 }
                             });
    }

    // Returns whether a worker answered, so that the connection remains open.
    static bool isAnswer(ErrorKind kind)
    {
        return kind != ErrorKind::StoreReplyLost && kind != ErrorKind::DaemonUnreachable;
    }

    SimulatedWorkers &m_workers;
    Scheduler &m_scheduler;
    FaultPlan &m_faults;
    std::shared_ptr<std::uint64_t> m_calls;
    std::shared_ptr<MemoryConnection> m_connection;
    ConnectionNumber m_number = AnyConnection;
};

} // namespace

MemoryWorkerLink::MemoryWorkerLink(SimulatedWorkers &workers, Scheduler &scheduler, FaultPlan &faults,
                                   std::size_t connectionsPerWorker)
    : PooledWorkerLink(connectionsPerWorker, scheduler), m_workers(workers), m_scheduler(scheduler), m_faults(faults),
      m_calls(std::make_shared<std::uint64_t>(0))
{
}

std::unique_ptr<WorkerChannel> MemoryWorkerLink::openChannel(const WorkerEntry &)
{
    return std::make_unique<MemoryWorkerChannel>(m_workers, m_scheduler, m_faults, m_calls);
}

} // namespace monsoonspool::ports::memory
