#include "jobs/step.h"

#include <limits>

namespace monsoonspool::jobs {

namespace {

constexpr RunNumber OpenTask = 0;
constexpr RunNumber DoneElsewhere = std::numeric_limits<RunNumber>::max();

// What an entry of a std::map takes besides its key and value.
constexpr std::size_t MapEntryOverhead = 40;
// For a task's lists and texts, which are short as a rule.
constexpr std::size_t TaskListBytes = 128;

Task makeDoneTask()
{
    Task task;
    task.isDone = true;
    return task;
}

} // namespace

Step::Step(int count, bool isDone) : m_count(count), m_doneCount(isDone ? count : 0), m_firstOpen(isDone ? count : 0)
{
}

bool Step::isTaskDone(int index) const
{
    return isDone() || (!m_doneRuns.empty() && m_doneRuns[static_cast<std::size_t>(index)] != OpenTask);
}

const Task &Step::task(int index) const
{
    static const Task newTask;
    static const Task doneTask = makeDoneTask();
    const auto it = m_known.find(index);
    if (it != m_known.end()) {
        return it->second;
    }
    return isTaskDone(index) ? doneTask : newTask;
}

Task &Step::mutableTask(int index)
{
    const auto [it, isNew] = m_known.try_emplace(index);
    if (isNew) {
        it->second.isDone = isTaskDone(index);
        m_hasReleasable = m_hasReleasable || it->second.isDone;
    }
    return it->second;
}

std::optional<RunNumber> Step::doneRun(int index) const
{
    const auto run = m_doneRuns.empty() ? OpenTask : m_doneRuns[static_cast<std::size_t>(index)];
    return run == OpenTask || run == DoneElsewhere ? std::nullopt : std::optional(run);
}

int Step::firstWaiting() const
{
    int n = hasWaiting() ? m_firstOpen : m_count;
    while (n < m_count && !task(n).isWaiting()) {
        ++n;
    }
    return n;
}

void Step::noteRunOrdered(int index, RunNumber run)
{
    auto &task = mutableTask(index);
    if (task.activeRuns++ == 0 && !task.isDone) {
        ++m_activeCount;
    }
    task.lastRun = std::max(task.lastRun, run);
}

void Step::noteRunOver(int index)
{
    auto &task = mutableTask(index);
    if (task.activeRuns > 0 && --task.activeRuns == 0 && !task.isDone) {
        --m_activeCount;
    }
    m_hasReleasable = m_hasReleasable || task.isDone;
}

bool Step::markDone(int index, std::optional<RunNumber> run)
{
    if (isTaskDone(index)) {
        return false;
    }
    if (m_doneRuns.empty()) {
        m_doneRuns.assign(static_cast<std::size_t>(m_count), OpenTask);
    }
    m_doneRuns[static_cast<std::size_t>(index)] = run && *run != OpenTask ? *run : DoneElsewhere;
    m_hasDoneRun = m_hasDoneRun || run.has_value();
    ++m_doneCount;
    while (m_firstOpen < m_count && isTaskDone(m_firstOpen)) {
        ++m_firstOpen;
    }
    if (const auto it = m_known.find(index); it != m_known.end()) {
        it->second.isDone = true;
        m_activeCount -= it->second.activeRuns > 0 ? 1 : 0;
        m_hasReleasable = true;
    }
    return true;
}

void Step::releaseDone()
{
    if (!m_hasReleasable) {
        return;
    }
    std::erase_if(m_known, [](const auto &it) { return it.second.isDone && it.second.activeRuns == 0; });
    m_hasReleasable = false;
}

std::size_t Step::memoryUse() const
{
    return sizeof(*this) + m_doneRuns.capacity() * sizeof(RunNumber)
        + m_known.size() * (sizeof(std::pair<const int, Task>) + MapEntryOverhead + TaskListBytes)
        + (failedRuns.capacity() + crashedRuns.capacity()) * sizeof(RunNumber);
}

} // namespace monsoonspool::jobs
