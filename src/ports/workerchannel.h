#pragma once

#include "ports/workerlink.h"

#include <cstdint>

namespace monsoonspool::ports {

// Numbers the connections that a channel has opened. A connection ends with the process that
// accepted it, so that nothing sent on it reaches a later process at the same address.
using ConnectionNumber = std::uint64_t;
// Lets the channel open a connection if it has none.
constexpr ConnectionNumber AnyConnection = 0;

// Carries one order at a time to a worker, on one connection that is reopened as needed.
//
// Failures are those of WorkerLink. An order for a connection that is no longer open fails with
// DaemonUnreachable.
//
// Not thread-safe. Handlers are called on the thread that makes the calls.
class WorkerChannel
{
public:
    virtual ~WorkerChannel() = default;

    virtual void renew(const WorkerEntry &worker, ConnectionNumber connection, const LeaseOrder &order,
                       Handler<WorkerListing> handler)
        = 0;
    virtual void start(const WorkerEntry &worker, ConnectionNumber connection, const RunOrder &order,
                       Handler<StartResult> handler)
        = 0;
    virtual void stop(const WorkerEntry &worker, Epoch fence, const jobs::TaskId &task, jobs::RunNumber run,
                      Handler<Done> handler)
        = 0;
    virtual void pace(const WorkerEntry &worker, Epoch fence, const jobs::TaskId &task, jobs::RunNumber run,
                      int percent, Handler<Done> handler)
        = 0;
    // Returns the connection on which the last answer arrived.
    virtual ConnectionNumber connection() const = 0;
};

} // namespace monsoonspool::ports
