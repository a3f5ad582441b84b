#pragma once

#include "ports/faultplan.h"
#include "ports/memory/runchecker.h"
#include "ports/memory/taskmodel.h"
#include "ports/pooledworkerlink.h"
#include "ports/scheduler.h"

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace monsoonspool::ports::memory {

// In-memory workers, shared by all hosts, that run tasks under leases and fences. A
// RunChecker observes their runs; no start may bring a worker over its capacity.
class SimulatedWorkers
{
public:
    // Called with what workers do, for the analysis of failures.
    using Observer = std::function<void(std::string_view event, const WorkerId &worker, const jobs::TaskId &task,
                                        jobs::RunNumber run, std::string_view detail)>;

    SimulatedWorkers(Scheduler &scheduler, const TaskModel &model);

    // The worker's clock advances `clockRate` times as fast as the scheduler's.
    void addWorker(const WorkerEntry &entry, double clockRate = 1);
    // Loses all runs of the worker, which is unreachable until restart(). Orders to a worker
    // that crashed silently get no answer; otherwise they are refused.
    void crash(const WorkerId &id, bool isSilent = false);
    // Starts a new process under the same identifier, which knows nothing of the former one.
    void restart(const WorkerId &id, std::int64_t startTimeMs);
    // Disconnects or reconnects the worker. While disconnected it keeps running but receives no
    // orders.
    void setDisconnected(const WorkerId &id, bool isDisconnected);
    // Changes the worker's capacity. Its runs go on.
    void setCapacity(const WorkerId &id, const Resources &capacity);
    // A start may still bring a worker up to a capacity that it had until `delay` ago.
    void setCapacityNotice(Duration delay)
    {
        m_capacityNotice = delay;
    }
    // A run that is stopped ends after `grace`.
    void setStopGrace(Duration grace)
    {
        m_stopGrace = grace;
    }
    // A worker that a task crashed starts again after `downtime`.
    void setCrashDowntime(Duration downtime)
    {
        m_crashDowntime = downtime;
    }
    // `registration` is called with the entry of each process that starts again, as it writes that entry.
    void setRegistration(std::function<void(const WorkerEntry &)> registration)
    {
        m_registration = std::move(registration);
    }
    // Lets a start end what is due on its own worker only. For many workers without silent ones:
    // the checker then learns late that leases elsewhere have expired.
    void setAdvancesOneWorker()
    {
        m_advancesOneWorker = true;
    }
    void setObserver(Observer observer)
    {
        m_observer = std::move(observer);
    }

    // Returns whether the worker receives orders and answers them, be it with a refusal.
    bool isAnswering(const WorkerId &id) const;
    // Returns the number of the worker's process, which no other process of the worker has; 0 if
    // none runs.
    std::uint64_t processNumber(const WorkerId &id) const;

    AsyncResult<WorkerListing> renew(const WorkerId &id, const LeaseOrder &order);
    // Answers once a run has ended or the order's wait is over.
    void poll(const WorkerId &id, const LeaseOrder &order, Handler<WorkerListing> handler);
    AsyncResult<StartResult> start(const WorkerId &id, const RunOrder &order);
    AsyncResult<Done> stop(const WorkerId &id, Epoch fence, const jobs::TaskId &task, jobs::RunNumber run);

    // Ends the runs of all members of a gang, of which one has ended.
    void breakGang(const jobs::TaskId &member);

    // Ends the tasks that are finished by now, and those whose lease has expired.
    void advance();

    RunChecker &checker()
    {
        return m_checker;
    }
    const RunChecker &checker() const
    {
        return m_checker;
    }
    const std::vector<Violation> &violations() const
    {
        return m_checker.violations();
    }
    int doneCount(jobs::JobKey job) const
    {
        return m_checker.doneCount(job);
    }
    int startCount() const
    {
        return m_starts;
    }
    int runningCount() const;
    // Returns whether a task of the job runs on any worker.
    bool hasRunOf(jobs::JobKey job) const;
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
        bool isStopping = false; // ends as stopped at endsAt
    };
    // A renewal that waits for a run to end.
    struct Waiter
    {
        std::uint64_t number = 0;
        Handler<WorkerListing> handler;
    };
    struct FormerCapacity
    {
        Resources capacity;
        TimePoint until;
    };
    struct SimulatedWorker
    {
        WorkerEntry entry;
        std::uint64_t process = 1;
        std::vector<FormerCapacity> formerCapacities;
        Epoch fence;
        bool isUp = true;
        bool isSilent = false;
        bool isDisconnected = false;
        double clockRate = 1;
        TimePoint upSince;
        WorkerMillis deadline = 0;
        std::int64_t nextEndNumber = 1;
        std::vector<Run> runs;
        std::vector<ListedRunEnd> ended;
        std::vector<Waiter> waiters;
        std::map<jobs::TaskId, jobs::RunNumber> highestEndedRun;
    };

    std::optional<Failure> unreachable(const SimulatedWorker &worker) const;
    WorkerMillis workerClock(const SimulatedWorker &worker) const;
    void extendLease(SimulatedWorker &worker, WorkerMillis deadline);
    void advance(SimulatedWorker &worker);
    void crashLater(const SimulatedWorker &worker, const jobs::TaskId &task, jobs::RunNumber run, Duration delay);
    // Ends the worker's process, which starts again after the downtime.
    void crashUnder(const jobs::TaskId &task, const WorkerId &id);
    void advanceLater(const SimulatedWorker &worker, Duration delay);
    void endRun(SimulatedWorker &worker, const Run &run, jobs::RunEnd outcome);
    // Returns whether a start may bring the worker to `needs`.
    bool mayHold(const SimulatedWorker &worker, const Resources &needs) const;
    WorkerListing listing(const SimulatedWorker &worker) const;
    void answerWaiters(SimulatedWorker &worker);
    void endProcess(SimulatedWorker &worker, bool isSilent);
    void observe(std::string_view event, const SimulatedWorker &worker, const jobs::TaskId &task, jobs::RunNumber run,
                 std::string_view detail) const;

    Scheduler &m_scheduler;
    const TaskModel &m_model;
    RunChecker m_checker;
    Observer m_observer;
    std::map<WorkerId, SimulatedWorker> m_workers;
    bool m_advancesOneWorker = false;
    Duration m_stopGrace{0};
    Duration m_capacityNotice{0};
    Duration m_crashDowntime{2s};
    std::function<void(const WorkerEntry &)> m_registration;
    std::uint64_t m_nextWaiter = 1;
    int m_starts = 0;
};

// One host's connections to the workers, with its own faults. A fault's delay applies to the
// order; an order whose answer is lost or late is still executed.
//
// As with TCP, a connection belongs to the process that accepted it and ends with it. An order on
// an open connection reaches this process or none; one that opens a connection reaches the process
// that runs when it arrives. A connection is not used again after a failure or a long idle time.
class MemoryWorkerLink : public PooledWorkerLink
{
public:
    // Enough that orders do not wait for each other, also with long delays.
    static constexpr std::size_t ConnectionsPerWorker = 64;

    MemoryWorkerLink(SimulatedWorkers &workers, Scheduler &scheduler, FaultPlan &faults,
                     std::size_t connectionsPerWorker = ConnectionsPerWorker);

    std::unique_ptr<WorkerChannel> openChannel(const WorkerEntry &worker) override;

private:
    SimulatedWorkers &m_workers;
    Scheduler &m_scheduler;
    FaultPlan &m_faults;
    std::shared_ptr<std::uint64_t> m_calls;
};

} // namespace monsoonspool::ports::memory
