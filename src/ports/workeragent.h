#pragma once

#include "common/identifiers.h"
#include "common/resources.h"
#include "common/time.h"
#include "ports/asyncresult.h"

#include <compare>
#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace monsoonspool::ports {

// One run of a task. A later run of the same task has a higher attempt number.
struct AttemptId
{
    JobId job;
    std::uint32_t attempt = 0;
    auto operator<=>(const AttemptId &) const = default;
};

// Everything that a worker needs to start an attempt.
struct StartOrder
{
    Epoch epoch; // of the owner of the worker's partition
    std::uint64_t workerIncarnation = 0; // an order to an earlier run of the worker is refused
    AttemptId attempt;
    Resources resources;
    std::string command;
    std::string checkpoint; // name of the object to resume from; empty to begin
    Duration lease{0};
};

enum class AttemptState {
    Running,
    Succeeded,
    Failed,
    Stopped, // by an order
    Checkpointed, // stopped after its state was saved
    LeaseLapsed,
};

// What a worker tells of an attempt. Usage lags.
struct AttemptReport
{
    AttemptId attempt;
    AttemptState state = AttemptState::Running;
    Resources usage;
    std::string result; // of a finished attempt, or the reason of a failure
    std::string checkpoint; // name of the object, once checkpointed
    double slowdown = 0; // of a service's task: 1 is none, 2 is twice as slow; 0 is not known
};

// What a worker tells of itself. Sent for every call, so that an ended attempt
// is told of until it is acknowledged.
struct WorkerReport
{
    WorkerId worker;
    std::uint64_t incarnation = 0; // changes when the worker restarts
    Epoch highestEpoch; // of the orders that it has seen
    std::vector<AttemptReport> attempts;
};

// Orders to the workers. A worker refuses an order whose epoch is lower than
// the highest that it has seen (StaleEpoch), and a start that it cannot hold
// (CapacityExceeded). An attempt that it has seen before, run or refused, does not
// start again: if its end is not acknowledged yet the order succeeds without
// effect, or else it is refused (Superseded). A start for an earlier run of the
// worker is refused (Superseded). An attempt whose lease lapses is stopped by the
// worker itself.
//
// Failures besides: DaemonUnreachable when the order certainly did not arrive,
// StoreReplyLost when it may have.
// Used from one thread; handlers are called on that thread.
class WorkerAgent
{
public:
    virtual ~WorkerAgent() = default;

    virtual void start(const WorkerId &worker, const StartOrder &order, Handler<Done> handler) = 0;

    // Makes the leases of all attempts on the worker last for `lease` at least,
    // acknowledges ended attempts, and hands over a report.
    virtual void renew(const WorkerId &worker, Epoch epoch, Duration lease, std::span<const AttemptId> acknowledged,
                       Handler<WorkerReport> handler)
        = 0;

    virtual void stop(const WorkerId &worker, Epoch epoch, const AttemptId &attempt, Handler<Done> handler) = 0;

    // Saves the attempt's state and then stops it.
    virtual void checkpoint(const WorkerId &worker, Epoch epoch, const AttemptId &attempt, Handler<Done> handler) = 0;

    // Limits the attempt to `part` (0 to 1) of its processors.
    virtual void throttle(const WorkerId &worker, Epoch epoch, const AttemptId &attempt, double part,
                          Handler<Done> handler)
        = 0;
};

} // namespace monsoonspool::ports
