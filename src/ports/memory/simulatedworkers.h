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

// Behaviour of a task when it runs alone on a healthy worker.
struct TaskProfile
{
    Duration runTime{1s};
    bool alwaysFails = false;
    Resources needs;
};

// Provides the actual behaviour of tasks, which the scheduler under test does not know.
class TaskModel
{
public:
    virtual ~TaskModel() = default;
    virtual TaskProfile profile(const jobs::TaskId &task) const = 0;
};

// A violation of an invariant, as observed by the workers.
struct Violation
{
    std::string rule;
    std::string detail;
};

// In-memory workers, shared by all hosts, that run tasks under leases and fences. They
// record each violation of these invariants:
//  - a task does not run twice at the same time,
//  - a task does not start after its completion was acknowledged,
//  - the tasks on a worker do not exceed its capacity.
class SimulatedWorkers
{
public:
    SimulatedWorkers(Scheduler &scheduler, const TaskModel &model);

    void addWorker(const WorkerEntry &entry);
    // Loses all runs of the worker, which is unreachable until restart().
    void crash(const WorkerId &id);
    void restart(const WorkerId &id, std::int64_t startTimeMs);
    // Disconnects or reconnects the worker. While disconnected it keeps running but receives no
    // orders.
    void setDisconnected(const WorkerId &id, bool isDisconnected);

    AsyncResult<WorkerListing> renew(const WorkerId &id, const LeaseOrder &order);
    AsyncResult<StartResult> start(const WorkerId &id, const RunOrder &order);
    AsyncResult<Done> stop(const WorkerId &id, Epoch fence, const jobs::TaskId &task, jobs::RunNumber run);

    // Ends the tasks that are finished by now, and those whose lease has expired.
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
    struct SimulatedWorker
    {
        WorkerEntry entry;
        Epoch fence;
        bool isUp = true;
        bool isDisconnected = false;
        TimePoint upSince;
        WorkerMillis deadline = 0;
        std::int64_t nextEndNumber = 1;
        std::vector<Run> runs;
        std::vector<ListedRunEnd> ended;
        std::map<jobs::TaskId, jobs::RunNumber> highestEndedRun;
    };

    std::optional<Failure> unreachable(const SimulatedWorker &worker) const;
    WorkerMillis workerClock(const SimulatedWorker &worker) const;
    void endRun(SimulatedWorker &worker, const Run &run, jobs::RunEnd outcome);
    void recordViolation(std::string rule, const jobs::TaskId &task, const WorkerId &worker);

    Scheduler &m_scheduler;
    const TaskModel &m_model;
    std::map<WorkerId, SimulatedWorker> m_workers;
    std::set<jobs::TaskId> m_acknowledgedDoneTasks;
    std::set<jobs::TaskId> m_doneTasks;
    std::vector<Violation> m_violations;
    int m_starts = 0;
};

// One host's connection to the workers, with its own faults. A fault's delay applies to the
// order; an order whose answer is lost is still executed.
class MemoryWorkerLink : public WorkerLink
{
public:
    MemoryWorkerLink(SimulatedWorkers &workers, Scheduler &scheduler, FaultPlan &faults);

    void renew(const WorkerEntry &worker, const LeaseOrder &order, Handler<WorkerListing> handler) override;
    void start(const WorkerEntry &worker, const RunOrder &order, Handler<StartResult> handler) override;
    void stop(const WorkerEntry &worker, Epoch fence, const jobs::TaskId &task, jobs::RunNumber run,
              Handler<Done> handler) override;
    void pace(const WorkerEntry &worker, Epoch fence, const jobs::TaskId &task, jobs::RunNumber run, int percent,
              Handler<Done> handler) override;
    void closeConnections(const WorkerId &worker) override;

private:
    Fault nextFault(std::string_view name);

    SimulatedWorkers &m_workers;
    Scheduler &m_scheduler;
    FaultPlan &m_faults;
    std::uint64_t m_calls = 0;
};

} // namespace monsoonspool::ports::memory
