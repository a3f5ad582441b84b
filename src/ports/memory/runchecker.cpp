#include "ports/memory/runchecker.h"

#include "jobs/names.h"

#include <algorithm>

namespace monsoonspool::ports::memory {

RunChecker::RunChecker(const TaskModel &model) : m_model(model)
{
}

void RunChecker::record(std::string_view rule, const jobs::TaskId &task, const WorkerId &worker)
{
    m_violations.push_back({std::string(rule), jobs::taskName(task) + " on " + worker.text(), task});
}

void RunChecker::noteStart(const WorkerId &worker, const jobs::TaskId &task, jobs::RunNumber run, TimePoint now)
{
    auto &history = m_tasks[task];
    if (history.starts.empty()) {
        m_tasksByJob[task.job].push_back(task);
    }
    if (!history.active.empty()) {
        record("runs twice", task, worker);
    }
    checkOrder(worker, task);
    if (const auto it = m_cancelled.find(task.job); it != m_cancelled.end() && now > it->second) {
        record("started after its cancellation", task, worker);
    }
    if (history.crashes >= MaxCrashes && ++history.startsAfterCrashes >= MaxStartsAfterCrashes) {
        record("started again and again after it crashed workers", task, worker);
    }
    history.starts.push_back({worker, run, ++m_sequence, false});
    history.active.push_back({worker, run});
    m_activeTasks[worker].push_back(task);
    checkStarts(task, history);
}

void RunChecker::noteCrash(const jobs::TaskId &task)
{
    ++m_tasks[task].crashes;
}

int RunChecker::crashCount(const jobs::TaskId &task) const
{
    const auto it = m_tasks.find(task);
    return it == m_tasks.end() ? 0 : it->second.crashes;
}

void RunChecker::noteEnd(const WorkerId &worker, std::int64_t number, const jobs::TaskId &task, jobs::RunNumber run,
                         jobs::RunEnd outcome)
{
    auto &history = m_tasks[task];
    std::erase_if(history.active, [&](const ActiveRun &it) { return it.worker == worker && it.run == run; });
    auto &active = m_activeTasks[worker];
    if (const auto it = std::ranges::find(active, task); it != active.end()) {
        active.erase(it);
    }
    m_listedEnds[worker].push_back({number, task, history.ends.size(), false});
    history.ends.push_back({worker, run, outcome, ++m_sequence, false});
}

void RunChecker::noteAcknowledged(const WorkerId &worker, std::int64_t lastEnd)
{
    auto &listed = m_listedEnds[worker];
    const auto isListed = [&](const ListedEnd &it) { return it.number > lastEnd; };
    const auto acknowledged = std::stable_partition(listed.begin(), listed.end(), isListed);
    const std::vector<ListedEnd> ends(acknowledged, listed.end());
    listed.erase(acknowledged, listed.end());
    for (const auto &it : ends) {
        if (it.isVoid) {
            continue;
        }
        auto &history = m_tasks[it.task];
        history.ends[it.position].isAcknowledged = true;
        checkStarts(it.task, history);
    }
}

void RunChecker::noteLeaseExpired(const WorkerId &worker)
{
    for (auto &it : m_listedEnds[worker]) {
        it.isVoid = true;
    }
}

void RunChecker::noteProcessEnded(const WorkerId &worker)
{
    for (const auto &task : m_activeTasks[worker]) {
        std::erase_if(m_tasks[task].active, [&](const ActiveRun &it) { return it.worker == worker; });
    }
    m_activeTasks.erase(worker);
    m_listedEnds.erase(worker);
}

void RunChecker::noteCancelled(jobs::JobKey job, TimePoint effectiveAt)
{
    m_cancelled.try_emplace(job, effectiveAt);
}

bool RunChecker::isDone(const jobs::TaskId &task) const
{
    const auto it = m_tasks.find(task);
    return it != m_tasks.end()
        && std::ranges::any_of(it->second.ends, [](const End &end) { return end.outcome == jobs::RunEnd::Done; });
}

int RunChecker::doneCount(jobs::JobKey job) const
{
    const auto tasks = m_tasksByJob.find(job);
    return tasks == m_tasksByJob.end()
        ? 0
        : static_cast<int>(std::ranges::count_if(tasks->second, [&](const jobs::TaskId &it) { return isDone(it); }));
}

int RunChecker::failedCount(const jobs::TaskId &task) const
{
    const auto it = m_tasks.find(task);
    return it == m_tasks.end()
        ? 0
        : static_cast<int>(std::ranges::count(it->second.ends, jobs::RunEnd::Failed, &End::outcome));
}

int RunChecker::startCount(jobs::JobKey job) const
{
    const auto tasks = m_tasksByJob.find(job);
    std::size_t count = 0;
    if (tasks != m_tasksByJob.end()) {
        for (const auto &it : tasks->second) {
            count += m_tasks.at(it).starts.size();
        }
    }
    return static_cast<int>(count);
}

void RunChecker::checkOrder(const WorkerId &worker, const jobs::TaskId &task)
{
    const auto *spec = m_model.spec(task.job);
    if (spec == nullptr) {
        return;
    }
    for (const int before : spec->steps[static_cast<std::size_t>(task.step)].after) {
        for (int n = 0; n < spec->steps[static_cast<std::size_t>(before)].count; ++n) {
            if (!isDone({task.job, task.occurrence, before, n})) {
                record("started before an earlier step was done", task, worker);
                return;
            }
        }
    }
}

// Called after each start and each acknowledgement, since an end may be acknowledged after
// the start that it forbids.
void RunChecker::checkStarts(const jobs::TaskId &task, TaskHistory &history)
{
    const auto *spec = m_model.spec(task.job);
    const bool isLasting = spec != nullptr && spec->steps[static_cast<std::size_t>(task.step)].isLasting;
    const int maxAttempts = isLasting ? 0 : m_model.maxAttempts(task.job);
    for (auto &start : history.starts) {
        int failures = 0;
        bool wasDone = false;
        for (const auto &end : history.ends) {
            if (end.isAcknowledged && end.sequence < start.sequence) {
                wasDone = wasDone || end.outcome == jobs::RunEnd::Done;
                failures += end.outcome == jobs::RunEnd::Failed ? 1 : 0;
            }
        }
        const bool isExhausted = maxAttempts > 0 && failures >= maxAttempts;
        if (!start.isReported && (wasDone || isExhausted)) {
            start.isReported = true;
            record(wasDone ? "started after it was done" : "started after its last attempt", task, start.worker);
        }
    }
}

} // namespace monsoonspool::ports::memory
