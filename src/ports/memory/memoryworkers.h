#pragma once

#include "ports/faultplan.h"
#include "ports/scheduler.h"
#include "ports/workeragent.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace monsoonspool::ports::memory {

// Simulates the execution of commands on a worker.
class CommandModel
{
public:
    struct Run
    {
        Duration duration{0};
        bool succeeds = true;
        std::string result;
        Resources usage;
        double slowdown = 0;
    };

    virtual ~CommandModel() = default;
    virtual Run plan(const WorkerId &worker, const StartOrder &order) = 0;
};

// Supports "sleep MS", "fail MS" and "echo TEXT". Any other command succeeds after 10 ms.
class SimpleCommands : public CommandModel
{
public:
    Run plan(const WorkerId &worker, const StartOrder &order) override;
};

// An event on a worker, recorded so that tests can check the history.
struct WorkerEvent
{
    enum class Kind {
        Started,
        Ended,
        Overcommitted,
        RefusedStale,
    };
    Kind kind;
    TimePoint at;
    WorkerId worker;
    AttemptId attempt;
    std::string checkpoint;
};

// In-memory workers with injected faults. An attempt runs until its command ends, an order
// stops it, its lease expires, or the worker is killed.
class MemoryWorkers : public WorkerAgent
{
public:
    MemoryWorkers(Scheduler &scheduler, FaultPlan &faults, CommandModel &commands);
    ~MemoryWorkers() override;

    void add(const WorkerId &worker, Resources capacity);
    void kill(const WorkerId &worker);
    void restart(const WorkerId &worker);
    void setReachable(const WorkerId &worker, bool isReachable);

    void start(const WorkerId &worker, const StartOrder &order, Handler<Done> handler) override;
    void renew(const WorkerId &worker, Epoch epoch, Duration lease, std::span<const AttemptId> acknowledged,
               Handler<WorkerReport> handler) override;
    void stop(const WorkerId &worker, Epoch epoch, const AttemptId &attempt, Handler<Done> handler) override;
    void checkpoint(const WorkerId &worker, Epoch epoch, const AttemptId &attempt, Handler<Done> handler) override;
    void throttle(const WorkerId &worker, Epoch epoch, const AttemptId &attempt, double processorShare,
                  Handler<Done> handler) override;

    // Returns all events in chronological order.
    const std::vector<WorkerEvent> &history() const
    {
        return m_history;
    }

private:
    struct Attempt
    {
        StartOrder order;
        AttemptState state = AttemptState::Running;
        TimePoint leaseEnd;
        CommandModel::Run run;
        std::string checkpoint;
    };
    struct Worker
    {
        Resources capacity;
        Resources used;
        std::uint64_t incarnation = 1;
        Epoch highestEpoch;
        bool isAlive = true;
        bool isReachable = true;
        std::map<AttemptId, Attempt> attempts;
        std::map<JobId, std::uint32_t> highestAttempt; // by job; kept after attempts are acknowledged
    };

    template <typename T, typename F>
    void call(std::string_view name, const WorkerId &worker, F effect, Handler<T> handler);
    AsyncResult<Done> checkEpoch(const WorkerId &id, Worker &worker, Epoch epoch, const AttemptId &attempt);
    AsyncResult<Done> startAttempt(const WorkerId &id, Worker &worker, const StartOrder &order);
    void endAttempt(const WorkerId &id, Worker &worker, Attempt &attempt, AttemptState state);
    void scheduleLeaseExpiry(const WorkerId &id, std::uint64_t incarnation, const AttemptId &attempt);
    AsyncResult<Done> endByOrder(const WorkerId &id, Epoch epoch, const AttemptId &attempt, AttemptState state);
    WorkerReport report(const WorkerId &id, const Worker &worker) const;

    Scheduler &m_scheduler;
    FaultPlan &m_faults;
    CommandModel &m_commands;
    std::map<WorkerId, Worker> m_workers;
    std::vector<WorkerEvent> m_history;
    std::uint64_t m_callCount = 0;
};

} // namespace monsoonspool::ports::memory
