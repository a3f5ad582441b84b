#pragma once

#include "common/identifiers.h"
#include "common/time.h"
#include "jobs/taskid.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace monsoonspool::jobs {

// The state from which a task resumes.
struct Checkpoint
{
    RunNumber run = 0; // that made it
    std::string text; // opaque; empty to start from the beginning

    bool operator==(const Checkpoint &) const = default;
};

struct Task
{
    bool isDone = false;
    std::vector<RunNumber> failedRuns; // without duplicates, since an end may be listed repeatedly
    std::vector<RunNumber> crashedRuns; // under which a worker crashed, without duplicates
    std::optional<RunNumber> possiblyCrashedRun; // the first one whose worker crashed and that may not have begun
    std::uint8_t activeRuns = 0; // runs that may be active on a worker
    bool wasLost = false; // a run was lost with a silent worker, which may have crashed
    RunNumber lastRun = 0;
    std::string checkpoint; // to resume from; empty to start from the beginning
    RunNumber checkpointRun = 0; // that made it
    std::vector<WorkerId> avoidedWorkers; // on which a run failed or stalled
    Checkpoint endedCheckpoint; // when a run ended last; stored, since no worker lists it any more
    TimePoint retryAt; // earliest time of the next run
    Duration retryDelay{0}; // after the last failure

    bool isWaiting() const
    {
        return !isDone && activeRuns == 0;
    }
};

// The tasks of a step in one occurrence of its job.
//
// A client may submit far more tasks than can run for a long time, so that a task takes memory only once
// it differs from one that was never started: a step that waits costs the same whatever its number of tasks.
//
// Not thread-safe: owned by the control thread.
class Step
{
public:
    // Creates a step none of whose tasks has been started, or one whose tasks are all done.
    explicit Step(int count, bool isDone = false);

    int count() const
    {
        return m_count;
    }
    int doneCount() const
    {
        return m_doneCount;
    }
    // Returns the number of tasks that are not done and have an active run.
    int activeCount() const
    {
        return m_activeCount;
    }
    int waitingCount() const
    {
        return m_count - m_doneCount - m_activeCount;
    }
    bool isDone() const
    {
        return m_doneCount == m_count;
    }
    bool hasWaiting() const
    {
        return waitingCount() > 0;
    }

    // Returns the state of a task. The reference is valid until the step is changed.
    const Task &task(int index) const;
    // Returns the state of a task to be changed, other than by the functions below.
    Task &mutableTask(int index);
    // Returns the run whose end as done was passed to markDone(), or nullopt if there was none.
    std::optional<RunNumber> doneRun(int index) const;
    // Returns whether there is such a run of any task.
    bool hasDoneRun() const
    {
        return m_hasDoneRun;
    }
    // Returns an index below which all tasks are done. Plans begin there, as a step may have thousands of them.
    int firstOpen() const
    {
        return m_firstOpen;
    }
    // Returns the index of the first waiting task, or count() if there is none.
    int firstWaiting() const;
    // Returns whether `isMet` holds for any task that was ever started or restored, and not released.
    template <typename F>
    bool isAnyKnown(F isMet) const
    {
        return std::ranges::any_of(m_known, [&](const auto &it) { return isMet(it.second); });
    }
    // Returns the number of these tasks for which `isMet` holds.
    template <typename F>
    std::size_t countKnown(F isMet) const
    {
        return static_cast<std::size_t>(
            std::ranges::count_if(m_known, [&](const auto &it) { return isMet(it.second); }));
    }
    // Calls `change` with each such task.
    template <typename F>
    void changeKnown(F change)
    {
        for (auto &[index, task] : m_known) {
            change(task);
        }
    }

    void noteRunOrdered(int index, RunNumber run);
    void noteRunOver(int index);
    // Records that a task is done. `run` is the run that was done, if this scheduler has seen its end.
    // Returns false if the task was done before.
    bool markDone(int index, std::optional<RunNumber> run);
    // Releases what is known of tasks that are done and have no active run, but for their done runs.
    void releaseDone();
    // Returns whether nothing is known of the step but its number of tasks.
    bool isUntouched() const
    {
        return m_known.empty() && m_doneCount == 0 && failedRuns.empty() && crashedRuns.empty();
    }
    // Returns the approximate number of bytes in use.
    std::size_t memoryUse() const;

    std::vector<RunNumber> failedRuns; // of a gang, whose members fail together
    std::vector<RunNumber> crashedRuns; // of a gang, under any of its members

private:
    bool isTaskDone(int index) const;

    int m_count;
    int m_doneCount = 0;
    int m_activeCount = 0;
    int m_firstOpen = 0;
    bool m_hasDoneRun = false;
    bool m_hasReleasable = false; // a task was done since the last releaseDone()
    std::map<int, Task> m_known;
    // By task, once one is done: its done run, OpenTask, or DoneElsewhere if the run is not known.
    std::vector<RunNumber> m_doneRuns;
};

} // namespace monsoonspool::jobs
