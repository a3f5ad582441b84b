#include "ports/memory/simulatedworkers.h"

#include "jobs/names.h"

#include <algorithm>

namespace monsoonspool::ports::memory {

SimulatedWorkers::SimulatedWorkers(Scheduler &scheduler, const TaskModel &model)
    : m_scheduler(scheduler), m_model(model)
{
}

void SimulatedWorkers::addWorker(const WorkerEntry &entry)
{
    auto &worker = m_workers[entry.id];
    worker.entry = entry;
    worker.upSince = m_scheduler.now();
}

void SimulatedWorkers::crash(const WorkerId &id)
{
    auto &worker = m_workers.at(id);
    worker.isUp = false;
    worker.runs.clear();
}

void SimulatedWorkers::restart(const WorkerId &id, std::int64_t startTimeMs)
{
    auto entry = m_workers.at(id).entry;
    entry.startTimeMs = startTimeMs;
    m_workers[id] = SimulatedWorker();
    addWorker(entry);
}

void SimulatedWorkers::setDisconnected(const WorkerId &id, bool isDisconnected)
{
    m_workers.at(id).isDisconnected = isDisconnected;
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
    return toMilliseconds(m_scheduler.now() - worker.upSince);
}

void SimulatedWorkers::recordViolation(std::string rule, const jobs::TaskId &task, const WorkerId &worker)
{
    m_violations.push_back({std::move(rule), jobs::taskName(task) + " on " + worker.text()});
}

void SimulatedWorkers::endRun(SimulatedWorker &worker, const Run &run, jobs::RunEnd outcome)
{
    worker.ended.push_back({worker.nextEndNumber++, run.task, run.number, outcome, {}});
    worker.highestEndedRun[run.task] = std::max(worker.highestEndedRun[run.task], run.number);
    if (outcome == jobs::RunEnd::Done) {
        m_doneTasks.insert(run.task);
    }
}

void SimulatedWorkers::advance()
{
    for (auto &[id, worker] : m_workers) {
        const bool isLeaseExpired = workerClock(worker) > worker.deadline;
        std::vector<Run> remaining;
        for (const auto &it : worker.runs) {
            if (isLeaseExpired) {
                endRun(worker, it, jobs::RunEnd::Lapsed);
            } else if (it.endsAt <= m_scheduler.now()) {
                endRun(worker, it, it.fails ? jobs::RunEnd::Failed : jobs::RunEnd::Done);
            } else {
                remaining.push_back(it);
            }
        }
        worker.runs = std::move(remaining);
    }
}

AsyncResult<WorkerListing> SimulatedWorkers::renew(const WorkerId &id, const LeaseOrder &order)
{
    advance();
    auto &worker = m_workers.at(id);
    if (const auto failure = unreachable(worker)) {
        return *failure;
    }
    if (order.fence < worker.fence) {
        return Failure{ErrorKind::StaleEpoch, id.text()};
    }
    worker.fence = order.fence;
    worker.deadline = std::max(worker.deadline, order.deadline);
    std::erase_if(worker.ended, [&](const ListedRunEnd &it) {
        if (it.number > order.acknowledgedEnd) {
            return false;
        }
        if (it.outcome == jobs::RunEnd::Done) {
            m_acknowledgedDoneTasks.insert(it.task);
        }
        return true;
    });
    WorkerListing listing;
    listing.clock = workerClock(worker);
    listing.startTimeMs = worker.entry.startTimeMs;
    listing.ended = worker.ended;
    for (const auto &it : worker.runs) {
        const auto percent = (m_scheduler.now() - it.startedAt) * 100 / (it.endsAt - it.startedAt);
        listing.running.push_back({it.task, it.number, {}, static_cast<int>(percent), 0});
    }
    return listing;
}

AsyncResult<StartResult> SimulatedWorkers::start(const WorkerId &id, const RunOrder &order)
{
    advance();
    auto &worker = m_workers.at(id);
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
    const auto ended = worker.highestEndedRun.find(order.task);
    if (ended != worker.highestEndedRun.end() && order.run <= ended->second) {
        return StartResult::Superseded;
    }
    const auto profile = m_model.profile(order.task);
    Resources totalNeeds = profile.needs;
    for (const auto &it : worker.runs) {
        totalNeeds += it.needs;
    }
    if (!worker.entry.capacity.contains(totalNeeds)) {
        recordViolation("over capacity", order.task, id);
    }
    for (const auto &[other, it] : m_workers) {
        if (std::ranges::any_of(it.runs, [&](const Run &run) { return run.task == order.task; })) {
            recordViolation("runs twice", order.task, id);
        }
    }
    if (m_acknowledgedDoneTasks.contains(order.task)) {
        recordViolation("started after it was done", order.task, id);
    }
    ++m_starts;
    worker.deadline = std::max(worker.deadline, order.deadline);
    worker.runs.push_back({order.task, order.run, profile.needs, m_scheduler.now(), m_scheduler.now() + profile.runTime,
                           profile.alwaysFails});
    return StartResult::Accepted;
}

AsyncResult<Done> SimulatedWorkers::stop(const WorkerId &id, Epoch fence, const jobs::TaskId &task, jobs::RunNumber run)
{
    advance();
    auto &worker = m_workers.at(id);
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
    if (it != worker.runs.end()) {
        endRun(worker, *it, jobs::RunEnd::Stopped);
        worker.runs.erase(it);
    }
    return Done{};
}

int SimulatedWorkers::doneCount(jobs::JobKey job) const
{
    return static_cast<int>(std::ranges::count_if(m_doneTasks, [&](const jobs::TaskId &it) { return it.job == job; }));
}

int SimulatedWorkers::runningCount() const
{
    int count = 0;
    for (const auto &[id, it] : m_workers) {
        count += static_cast<int>(it.runs.size());
    }
    return count;
}

MemoryWorkerLink::MemoryWorkerLink(SimulatedWorkers &workers, Scheduler &scheduler, FaultPlan &faults)
    : m_workers(workers), m_scheduler(scheduler), m_faults(faults)
{
}

Fault MemoryWorkerLink::nextFault(std::string_view name)
{
    return m_faults.next(name, ++m_calls, m_scheduler.now());
}

namespace {

// Time until a sender gives up waiting for an answer.
constexpr Duration OrderTimeout = 700ms;

// Executes an order after the fault's delay and passes on the answer. If the order or its
// answer is lost, the sender times out; the order may still be executed after that.
template <typename T, typename F>
void deliverOrder(Scheduler &scheduler, const Fault &fault, F effect, Handler<T> handler)
{
    const bool isAnswered = !fault.isRefused && !fault.isReplyLost;
    if (!fault.isRefused) {
        scheduler.runAfter(fault.delay, [effect = std::move(effect), isAnswered, handler] {
            const AsyncResult<T> result = effect();
            if (isAnswered) {
                handler(result);
            }
        });
    }
    if (!isAnswered) {
        scheduler.runAfter(OrderTimeout, [handler] { handler(Failure{ErrorKind::StoreReplyLost, "no answer"}); });
    }
}

} // namespace

void MemoryWorkerLink::renew(const WorkerEntry &worker, const LeaseOrder &order, Handler<WorkerListing> handler)
{
    // Simulates the long poll with a fixed delay, not with a wait for the next end.
    auto fault = nextFault("renew " + worker.id.text());
    fault.delay += std::min(order.wait, Duration(50ms));
    deliverOrder<WorkerListing>(
        m_scheduler, fault, [this, id = worker.id, order] { return m_workers.renew(id, order); }, std::move(handler));
}

void MemoryWorkerLink::start(const WorkerEntry &worker, const RunOrder &order, Handler<StartResult> handler)
{
    deliverOrder<StartResult>(
        m_scheduler, nextFault("start " + worker.id.text()),
        [this, id = worker.id, order] { return m_workers.start(id, order); }, std::move(handler));
}

void MemoryWorkerLink::stop(const WorkerEntry &worker, Epoch fence, const jobs::TaskId &task, jobs::RunNumber run,
                            Handler<Done> handler)
{
    deliverOrder<Done>(
        m_scheduler, nextFault("stop " + worker.id.text()),
        [this, id = worker.id, fence, task, run] { return m_workers.stop(id, fence, task, run); }, std::move(handler));
}

void MemoryWorkerLink::pace(const WorkerEntry &worker, Epoch, const jobs::TaskId &, jobs::RunNumber, int,
                            Handler<Done> handler)
{
    deliverOrder<Done>(
        m_scheduler, nextFault("pace " + worker.id.text()), [] { return AsyncResult<Done>(Done{}); },
        std::move(handler));
}

void MemoryWorkerLink::closeConnections(const WorkerId &)
{
}

} // namespace monsoonspool::ports::memory
