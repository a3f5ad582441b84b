#pragma once

#include "ports/faultplan.h"
#include "ports/scheduler.h"
#include "ports/workerlink.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace monsoonspool::ports::memory {

// What a task would do if it ran alone on a sound worker.
struct TaskTruth
{
    Duration runTime{1s};
    bool alwaysFails = false;
    Resources needs;
};

// Tells the truth on tasks that the scheduler has to find out.
class TaskModel
{
public:
    virtual ~TaskModel() = default;
    virtual TaskTruth truth(const jobs::TaskId &task) const = 0;
};

// Something that must never happen, as the workers saw it.
struct Violation
{
    std::string rule;
    std::string detail;
};

// Workers that run tasks under leases and fences, shared by all hosts. They keep a
// history and take down each violation of what must always hold: one task in two
// places, a start after its end was acknowledged as done, a worker over its capacity.
class MemoryRunners
{
public:
    MemoryRunners(Scheduler &scheduler, const TaskModel &model);

    void addWorker(const WorkerEntry &entry);
    // Ends everything on the worker; it answers nobody until restart().
    void crash(const WorkerId &id);
    void restart(const WorkerId &id, std::int64_t bornMs);
    // Cuts the worker off, or heals the cut: it runs on, and no order reaches it.
    void setCut(const WorkerId &id, bool isCut);

    AsyncResult<WorkerListing> renew(const WorkerId &id, const LeaseOrder &order);
    AsyncResult<RunAnswer> start(const WorkerId &id, const RunOrder &order);
    AsyncResult<Done> stop(const WorkerId &id, Epoch fence, const jobs::TaskId &task, jobs::RunNumber run);

    // Lets time pass: tasks end, leases lapse.
    void advance();

    const std::vector<Violation> &violations() const
    {
        return m_violations;
    }
    int doneCount(jobs::JobKey job) const;
    int startCount() const
    {
        return m_starts;
    }
    int runningCount() const;
    const WorkerEntry &entry(const WorkerId &id) const;

private:
    struct Run
    {
        jobs::TaskId task;
        jobs::RunNumber number = 0;
        Resources needs;
        TimePoint startedAt;
        TimePoint endsAt;
        bool fails = false;
    };
    struct Runner
    {
        WorkerEntry entry;
        Epoch fence;
        bool isUp = true;
        bool isCut = false;
        TimePoint bornAt;
        WorkerMillis deadline = 0;
        std::int64_t nextEnd = 1;
        std::vector<Run> runs;
        std::vector<ListedEnd> ended;
        std::map<jobs::TaskId, jobs::RunNumber> highestOver;
    };

    std::optional<Failure> unreachable(const Runner &runner) const;
    WorkerMillis clock(const Runner &runner) const;
    void end(Runner &runner, const Run &run, jobs::RunEnd how);
    void note(std::string rule, const jobs::TaskId &task, const WorkerId &worker);

    Scheduler &m_scheduler;
    const TaskModel &m_model;
    std::map<WorkerId, Runner> m_runners;
    std::set<jobs::TaskId> m_acknowledgedDone;
    std::set<jobs::TaskId> m_done;
    std::vector<Violation> m_violations;
    int m_starts = 0;
};

// One host's way to the workers, with faults of its own. A fault's delay holds for
// the order; an order whose answer is lost is carried out.
class MemoryWorkerLink : public WorkerLink
{
public:
    MemoryWorkerLink(MemoryRunners &runners, Scheduler &scheduler, FaultPlan &faults);

    void renew(const WorkerEntry &worker, const LeaseOrder &order, Handler<WorkerListing> handler) override;
    void start(const WorkerEntry &worker, const RunOrder &order, Handler<RunAnswer> handler) override;
    void stop(const WorkerEntry &worker, Epoch fence, const jobs::TaskId &task, jobs::RunNumber run,
              Handler<Done> handler) override;
    void pace(const WorkerEntry &worker, Epoch fence, const jobs::TaskId &task, jobs::RunNumber run, int percent,
              Handler<Done> handler) override;
    void forget(const WorkerId &worker) override;

private:
    Fault nextFault(std::string_view name);

    MemoryRunners &m_runners;
    Scheduler &m_scheduler;
    FaultPlan &m_faults;
    std::uint64_t m_calls = 0;
};

} // namespace monsoonspool::ports::memory
