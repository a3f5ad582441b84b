#pragma once

#include "common/identifiers.h"
#include "jobs/job.h"
#include "ports/memory/taskmodel.h"

#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace monsoonspool::ports::memory {

// A violation of an invariant, as observed by the workers.
struct Violation
{
    std::string rule;
    std::string detail;
    jobs::TaskId task;
};

// Checks the runs of all workers against these invariants:
//  - a task does not run twice at the same time on workers that are up,
//  - a task does not start after one of its runs was done, if the end of that run is
//    acknowledged then or later. An acknowledgement does not count if the worker's lease
//    expired after the end,
//  - a task does not start after `maxAttempts` acknowledged failures, unless it is lasting,
//  - a task does not start MaxStartsAfterCrashes times after it has crashed MaxCrashes workers,
//  - a task does not start before all tasks of the steps that its step depends on are done,
//  - a task does not start after its job's cancellation has taken effect.
class RunChecker
{
public:
    explicit RunChecker(const TaskModel &model);

    void noteStart(const WorkerId &worker, const jobs::TaskId &task, jobs::RunNumber run, TimePoint now);
    // Records the end `number` in the numbering of the worker's current incarnation.
    void noteEnd(const WorkerId &worker, std::int64_t number, const jobs::TaskId &task, jobs::RunNumber run,
                 jobs::RunEnd outcome);
    void noteAcknowledged(const WorkerId &worker, std::int64_t lastEnd);
    void noteLeaseExpired(const WorkerId &worker);
    // Records that the worker's process has ended, and with it its runs.
    void noteProcessEnded(const WorkerId &worker);
    // Records that the task crashed the worker that runs it.
    void noteCrash(const jobs::TaskId &task);
    // From `effectiveAt` on, no task of the job may start.
    void noteCancelled(jobs::JobKey job, TimePoint effectiveAt);

    bool isDone(const jobs::TaskId &task) const;
    int doneCount(jobs::JobKey job) const;
    // Returns the runs of the task that ended as failed.
    int failedCount(const jobs::TaskId &task) const;
    int startCount(jobs::JobKey job) const;
    // Returns the number of workers that the task crashed.
    int crashCount(const jobs::TaskId &task) const;

    void record(std::string_view rule, const jobs::TaskId &task, const WorkerId &worker);
    const std::vector<Violation> &violations() const
    {
        return m_violations;
    }

private:
    struct Start
    {
        WorkerId worker;
        jobs::RunNumber run = 0;
        std::uint64_t sequence = 0;
        bool isReported = false;
    };
    struct End
    {
        WorkerId worker;
        jobs::RunNumber run = 0;
        jobs::RunEnd outcome = jobs::RunEnd::Stopped;
        std::uint64_t sequence = 0;
        bool isAcknowledged = false;
    };
    struct ActiveRun
    {
        WorkerId worker;
        jobs::RunNumber run = 0;
    };
    struct TaskHistory
    {
        std::vector<Start> starts;
        std::vector<End> ends;
        std::vector<ActiveRun> active;
        int crashes = 0;
        int startsAfterCrashes = 0;
    };
    static constexpr int MaxCrashes = 3;
    static constexpr int MaxStartsAfterCrashes = 3;

    // An end that the worker still lists.
    struct ListedEnd
    {
        std::int64_t number = 0;
        jobs::TaskId task;
        std::size_t position = 0; // in the ends of the task
        bool isVoid = false; // the lease expired since
    };

    void checkOrder(const WorkerId &worker, const jobs::TaskId &task);
    void checkStarts(const jobs::TaskId &task, TaskHistory &history);

    const TaskModel &m_model;
    std::unordered_map<jobs::TaskId, TaskHistory> m_tasks;
    std::map<jobs::JobKey, std::vector<jobs::TaskId>> m_tasksByJob;
    std::map<WorkerId, std::vector<ListedEnd>> m_listedEnds;
    std::map<WorkerId, std::vector<jobs::TaskId>> m_activeTasks;
    std::map<jobs::JobKey, TimePoint> m_cancelled;
    std::vector<Violation> m_violations;
    std::uint64_t m_sequence = 0; // orders starts and ends
};

} // namespace monsoonspool::ports::memory
