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

// One execution of a task. Attempt numbers of a task increase.
struct AttemptId
{
    JobId job;
    std::uint32_t attempt = 0;
    auto operator<=>(const AttemptId &) const = default;
};

// A request to a worker to start an attempt.
struct StartOrder
{
    Epoch epoch; // of the owner of the worker's partition
    std::uint64_t workerIncarnation = 0; // the worker rejects an order with another incarnation
    AttemptId attempt;
    Resources resources;
    std::string command;
    std::string checkpoint; // name of the object to resume from; empty for a fresh start
    Duration lease{0};
};

enum class AttemptState {
    Running,
    Succeeded,
    Failed,
    Stopped, // by a stop order
    Checkpointed, // stopped by a checkpoint order, with its state saved
    LeaseLapsed,
};

// State of an attempt as reported by its worker. `usage` is measured with a delay.
struct AttemptReport
{
    AttemptId attempt;
    AttemptState state = AttemptState::Running;
    Resources usage;
    std::string result; // output of a finished attempt, or the reason of its failure
    std::string checkpoint; // name of the object, once checkpointed
    double slowdown = 0; // factor for a service's task: 2 is twice as slow, 1 is normal; 0 if unknown
};

// State of a worker, returned by every renewal. It lists an ended attempt until the
// scheduler has acknowledged it.
struct WorkerReport
{
    WorkerId worker;
    std::uint64_t incarnation = 0; // changes when the worker restarts
    Epoch highestEpoch; // of all orders received
    std::vector<AttemptReport> attempts;
};

// Orders to the workers. A worker stops an attempt by itself when the lease expires.
//
// Failures:
//  - StaleEpoch: the worker has received an order with a higher epoch,
//  - CapacityExceeded: the worker lacks the resources for a start,
//  - Superseded: a start was meant for an earlier incarnation of the worker, or for an
//    attempt that it knows already, started or rejected. Repeating the start of an attempt
//    whose end is not acknowledged succeeds without an effect instead.
//  - DaemonUnreachable: the order did not arrive,
//  - StoreReplyLost: the order may have arrived.
//
// Not thread-safe. Handlers are called on the thread that makes the calls.
class WorkerAgent
{
public:
    virtual ~WorkerAgent() = default;

    virtual void start(const WorkerId &worker, const StartOrder &order, Handler<Done> handler) = 0;

    // Extends the leases of all attempts on the worker to at least `lease` from now,
    // acknowledges ended attempts, and returns the worker's report.
    virtual void renew(const WorkerId &worker, Epoch epoch, Duration lease, std::span<const AttemptId> acknowledged,
                       Handler<WorkerReport> handler)
        = 0;

    virtual void stop(const WorkerId &worker, Epoch epoch, const AttemptId &attempt, Handler<Done> handler) = 0;

    // Saves the attempt's state, then stops it.
    virtual void checkpoint(const WorkerId &worker, Epoch epoch, const AttemptId &attempt, Handler<Done> handler) = 0;

    // Limits the attempt to the fraction `processorShare` (0 to 1) of its processors.
    virtual void throttle(const WorkerId &worker, Epoch epoch, const AttemptId &attempt, double processorShare,
                          Handler<Done> handler)
        = 0;
};

} // namespace monsoonspool::ports
