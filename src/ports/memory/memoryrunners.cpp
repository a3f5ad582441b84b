#include "ports/memory/memoryrunners.h"

#include "jobs/names.h"

#include <algorithm>

namespace monsoonspool::ports::memory {

MemoryRunners::MemoryRunners(Scheduler &scheduler, const TaskModel &model) : m_scheduler(scheduler), m_model(model)
{
}

void MemoryRunners::addWorker(const WorkerEntry &entry)
{
    auto &runner = m_runners[entry.id];
    runner.entry = entry;
    runner.upSince = m_scheduler.now();
}

void MemoryRunners::crash(const WorkerId &id)
{
    auto &runner = m_runners.at(id);
    runner.isUp = false;
    runner.runs.clear();
}

void MemoryRunners::restart(const WorkerId &id, std::int64_t startTimeMs)
{
    auto entry = m_runners.at(id).entry;
    entry.startTimeMs = startTimeMs;
    m_runners[id] = Runner();
    addWorker(entry);
}

void MemoryRunners::setCut(const WorkerId &id, bool isCut)
{
    m_runners.at(id).isCut = isCut;
}

std::optional<Failure> MemoryRunners::unreachable(const Runner &runner) const
{
    if (runner.isCut) {
        return Failure{ErrorKind::StoreReplyLost, runner.entry.id.text()};
    }
    if (!runner.isUp) {
        return Failure{ErrorKind::DaemonUnreachable, runner.entry.id.text()};
    }
    return std::nullopt;
}

const WorkerEntry &MemoryRunners::entry(const WorkerId &id) const
{
    return m_runners.at(id).entry;
}

WorkerMillis MemoryRunners::workerClock(const Runner &runner) const
{
    return toMilliseconds(m_scheduler.now() - runner.upSince);
}

void MemoryRunners::recordViolation(std::string rule, const jobs::TaskId &task, const WorkerId &worker)
{
    m_violations.push_back({std::move(rule), jobs::taskName(task) + " on " + worker.text()});
}

void MemoryRunners::endRun(Runner &runner, const Run &run, jobs::RunEnd outcome)
{
    runner.ended.push_back({runner.nextEndNumber++, run.task, run.number, outcome, {}});
    runner.highestEndedRun[run.task] = std::max(runner.highestEndedRun[run.task], run.number);
    if (outcome == jobs::RunEnd::Done) {
        m_doneTasks.insert(run.task);
    }
}

void MemoryRunners::advance()
{
    for (auto &[id, runner] : m_runners) {
        const bool isLeaseExpired = workerClock(runner) > runner.deadline;
        std::vector<Run> remaining;
        for (const auto &it : runner.runs) {
            if (isLeaseExpired) {
                endRun(runner, it, jobs::RunEnd::Lapsed);
            } else if (it.endsAt <= m_scheduler.now()) {
                endRun(runner, it, it.fails ? jobs::RunEnd::Failed : jobs::RunEnd::Done);
            } else {
                remaining.push_back(it);
            }
        }
        runner.runs = std::move(remaining);
    }
}

AsyncResult<WorkerListing> MemoryRunners::renew(const WorkerId &id, const LeaseOrder &order)
{
    advance();
    auto &runner = m_runners.at(id);
    if (const auto failure = unreachable(runner)) {
        return *failure;
    }
    if (order.fence < runner.fence) {
        return Failure{ErrorKind::StaleEpoch, id.text()};
    }
    runner.fence = order.fence;
    runner.deadline = std::max(runner.deadline, order.deadline);
    std::erase_if(runner.ended, [&](const ListedRunEnd &it) {
        if (it.number > order.acknowledgedEnd) {
            return false;
        }
        if (it.outcome == jobs::RunEnd::Done) {
            m_acknowledgedTasks.insert(it.task);
        }
        return true;
    });
    WorkerListing listing;
    listing.clock = workerClock(runner);
    listing.startTimeMs = runner.entry.startTimeMs;
    listing.ended = runner.ended;
    for (const auto &it : runner.runs) {
        const auto percent = (m_scheduler.now() - it.startedAt) * 100 / (it.endsAt - it.startedAt);
        listing.running.push_back({it.task, it.number, {}, static_cast<int>(percent), 0});
    }
    return listing;
}

AsyncResult<StartResult> MemoryRunners::start(const WorkerId &id, const RunOrder &order)
{
    advance();
    auto &runner = m_runners.at(id);
    if (const auto failure = unreachable(runner)) {
        return *failure;
    }
    if (order.fence < runner.fence) {
        return Failure{ErrorKind::StaleEpoch, id.text()};
    }
    runner.fence = order.fence;
    if (order.deadline < workerClock(runner)) {
        return StartResult::TooLate;
    }
    const bool isRunning = std::ranges::any_of(
        runner.runs, [&](const Run &it) { return it.task == order.task && it.number == order.run; });
    if (isRunning) {
        return StartResult::Accepted;
    }
    const auto ended = runner.highestEndedRun.find(order.task);
    if (ended != runner.highestEndedRun.end() && order.run <= ended->second) {
        return StartResult::Superseded;
    }
    const auto profile = m_model.profile(order.task);
    Resources totalNeeds = profile.needs;
    for (const auto &it : runner.runs) {
        totalNeeds += it.needs;
    }
    if (!runner.entry.capacity.holds(totalNeeds)) {
        recordViolation("over capacity", order.task, id);
    }
    for (const auto &[other, it] : m_runners) {
        if (std::ranges::any_of(it.runs, [&](const Run &run) { return run.task == order.task; })) {
            recordViolation("runs twice", order.task, id);
        }
    }
    if (m_acknowledgedTasks.contains(order.task)) {
        recordViolation("started after it was done", order.task, id);
    }
    ++m_starts;
    runner.deadline = std::max(runner.deadline, order.deadline);
    runner.runs.push_back({order.task, order.run, profile.needs, m_scheduler.now(), m_scheduler.now() + profile.runTime,
                           profile.alwaysFails});
    return StartResult::Accepted;
}

AsyncResult<Done> MemoryRunners::stop(const WorkerId &id, Epoch fence, const jobs::TaskId &task, jobs::RunNumber run)
{
    advance();
    auto &runner = m_runners.at(id);
    if (const auto failure = unreachable(runner)) {
        return *failure;
    }
    if (fence < runner.fence) {
        return Failure{ErrorKind::StaleEpoch, id.text()};
    }
    runner.fence = fence;
    runner.highestEndedRun[task] = std::max(runner.highestEndedRun[task], run);
    const auto it = std::ranges::find_if(
        runner.runs, [&](const Run &candidate) { return candidate.task == task && candidate.number == run; });
    if (it != runner.runs.end()) {
        endRun(runner, *it, jobs::RunEnd::Stopped);
        runner.runs.erase(it);
    }
    return Done{};
}

int MemoryRunners::doneCount(jobs::JobKey job) const
{
    return static_cast<int>(std::ranges::count_if(m_doneTasks, [&](const jobs::TaskId &it) { return it.job == job; }));
}

int MemoryRunners::runningCount() const
{
    int count = 0;
    for (const auto &[id, it] : m_runners) {
        count += static_cast<int>(it.runs.size());
    }
    return count;
}

MemoryWorkerLink::MemoryWorkerLink(MemoryRunners &runners, Scheduler &scheduler, FaultPlan &faults)
    : m_runners(runners), m_scheduler(scheduler), m_faults(faults)
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
    auto fault = nextFault("renew");
    fault.delay += std::min(order.wait, Duration(50ms));
    deliverOrder<WorkerListing>(
        m_scheduler, fault, [this, id = worker.id, order] { return m_runners.renew(id, order); }, std::move(handler));
}

void MemoryWorkerLink::start(const WorkerEntry &worker, const RunOrder &order, Handler<StartResult> handler)
{
    deliverOrder<StartResult>(
        m_scheduler, nextFault("start"), [this, id = worker.id, order] { return m_runners.start(id, order); },
        std::move(handler));
}

void MemoryWorkerLink::stop(const WorkerEntry &worker, Epoch fence, const jobs::TaskId &task, jobs::RunNumber run,
                            Handler<Done> handler)
{
    deliverOrder<Done>(
        m_scheduler, nextFault("stop"),
        [this, id = worker.id, fence, task, run] { return m_runners.stop(id, fence, task, run); }, std::move(handler));
}

void MemoryWorkerLink::pace(const WorkerEntry &, Epoch, const jobs::TaskId &, jobs::RunNumber, int,
                            Handler<Done> handler)
{
    deliverOrder<Done>(
        m_scheduler, nextFault("pace"), [] { return AsyncResult<Done>(Done{}); }, std::move(handler));
}

void MemoryWorkerLink::closeConnections(const WorkerId &)
{
}

} // namespace monsoonspool::ports::memory
