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
    runner.bornAt = m_scheduler.now();
}

void MemoryRunners::crash(const WorkerId &id)
{
    auto &runner = m_runners.at(id);
    runner.isUp = false;
    runner.runs.clear();
}

void MemoryRunners::restart(const WorkerId &id, std::int64_t bornMs)
{
    auto entry = m_runners.at(id).entry;
    entry.bornMs = bornMs;
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

WorkerMillis MemoryRunners::clock(const Runner &runner) const
{
    return toMilliseconds(m_scheduler.now() - runner.bornAt);
}

void MemoryRunners::note(std::string rule, const jobs::TaskId &task, const WorkerId &worker)
{
    m_violations.push_back({std::move(rule), jobs::taskName(task) + " on " + worker.text()});
}

void MemoryRunners::end(Runner &runner, const Run &run, jobs::RunEnd how)
{
    runner.ended.push_back({runner.nextEnd++, run.task, run.number, how, {}});
    runner.highestOver[run.task] = std::max(runner.highestOver[run.task], run.number);
    if (how == jobs::RunEnd::Done) {
        m_done.insert(run.task);
    }
}

void MemoryRunners::advance()
{
    for (auto &[id, runner] : m_runners) {
        const bool hasLapsed = clock(runner) > runner.deadline;
        std::vector<Run> kept;
        for (const auto &it : runner.runs) {
            if (hasLapsed) {
                end(runner, it, jobs::RunEnd::Lapsed);
            } else if (it.endsAt <= m_scheduler.now()) {
                end(runner, it, it.fails ? jobs::RunEnd::Failed : jobs::RunEnd::Done);
            } else {
                kept.push_back(it);
            }
        }
        runner.runs = std::move(kept);
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
    std::erase_if(runner.ended, [&](const ListedEnd &it) {
        if (it.number > order.acknowledgedEnd) {
            return false;
        }
        if (it.how == jobs::RunEnd::Done) {
            m_acknowledgedDone.insert(it.task);
        }
        return true;
    });
    WorkerListing listing;
    listing.clock = clock(runner);
    listing.bornMs = runner.entry.bornMs;
    listing.ended = runner.ended;
    for (const auto &it : runner.runs) {
        const auto percent = (m_scheduler.now() - it.startedAt) * 100 / (it.endsAt - it.startedAt);
        listing.running.push_back({it.task, it.number, {}, static_cast<int>(percent), 0});
    }
    return listing;
}

AsyncResult<RunAnswer> MemoryRunners::start(const WorkerId &id, const RunOrder &order)
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
    if (order.deadline < clock(runner)) {
        return RunAnswer::TooLate;
    }
    const bool isThere = std::ranges::any_of(
        runner.runs, [&](const Run &it) { return it.task == order.task && it.number == order.run; });
    if (isThere) {
        return RunAnswer::Accepted;
    }
    const auto over = runner.highestOver.find(order.task);
    if (over != runner.highestOver.end() && order.run <= over->second) {
        return RunAnswer::Superseded;
    }
    const auto truth = m_model.truth(order.task);
    Resources held = truth.needs;
    for (const auto &it : runner.runs) {
        held += it.needs;
    }
    if (!runner.entry.capacity.contains(held)) {
        note("over capacity", order.task, id);
    }
    for (const auto &[other, it] : m_runners) {
        if (std::ranges::any_of(it.runs, [&](const Run &run) { return run.task == order.task; })) {
            note("runs twice", order.task, id);
        }
    }
    if (m_acknowledgedDone.contains(order.task)) {
        note("started after it was done", order.task, id);
    }
    ++m_starts;
    runner.deadline = std::max(runner.deadline, order.deadline);
    runner.runs.push_back(
        {order.task, order.run, truth.needs, m_scheduler.now(), m_scheduler.now() + truth.runTime, truth.alwaysFails});
    return RunAnswer::Accepted;
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
    runner.highestOver[task] = std::max(runner.highestOver[task], run);
    const auto it = std::ranges::find_if(
        runner.runs, [&](const Run &candidate) { return candidate.task == task && candidate.number == run; });
    if (it != runner.runs.end()) {
        end(runner, *it, jobs::RunEnd::Stopped);
        runner.runs.erase(it);
    }
    return Done{};
}

int MemoryRunners::doneCount(jobs::JobKey job) const
{
    return static_cast<int>(std::ranges::count_if(m_done, [&](const jobs::TaskId &it) { return it.job == job; }));
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

// How long a sender waits for an answer that does not come.
constexpr Duration AnswerTimeout = 700ms;

// Carries an order out after the fault's delay and answers, unless the order or its
// answer is lost; then the sender waits in vain, and the order may come later still.
template <typename T, typename F>
void carryOut(Scheduler &scheduler, const Fault &fault, F effect, Handler<T> handler)
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
        scheduler.runAfter(AnswerTimeout, [handler] { handler(Failure{ErrorKind::StoreReplyLost, "no answer"}); });
    }
}

} // namespace

void MemoryWorkerLink::renew(const WorkerEntry &worker, const LeaseOrder &order, Handler<WorkerListing> handler)
{
    // The worker waits a little rather than for an end.
    auto fault = nextFault("renew");
    fault.delay += std::min(order.wait, Duration(50ms));
    carryOut<WorkerListing>(
        m_scheduler, fault, [this, id = worker.id, order] { return m_runners.renew(id, order); }, std::move(handler));
}

void MemoryWorkerLink::start(const WorkerEntry &worker, const RunOrder &order, Handler<RunAnswer> handler)
{
    carryOut<RunAnswer>(
        m_scheduler, nextFault("start"), [this, id = worker.id, order] { return m_runners.start(id, order); },
        std::move(handler));
}

void MemoryWorkerLink::stop(const WorkerEntry &worker, Epoch fence, const jobs::TaskId &task, jobs::RunNumber run,
                            Handler<Done> handler)
{
    carryOut<Done>(
        m_scheduler, nextFault("stop"),
        [this, id = worker.id, fence, task, run] { return m_runners.stop(id, fence, task, run); }, std::move(handler));
}

void MemoryWorkerLink::pace(const WorkerEntry &, Epoch, const jobs::TaskId &, jobs::RunNumber, int,
                            Handler<Done> handler)
{
    carryOut<Done>(
        m_scheduler, nextFault("pace"), [] { return AsyncResult<Done>(Done{}); }, std::move(handler));
}

void MemoryWorkerLink::forget(const WorkerId &)
{
}

} // namespace monsoonspool::ports::memory
