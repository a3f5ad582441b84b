#pragma once

#include "ports/scheduler.h"
#include "ports/workerchannel.h"

#include <cstddef>
#include <map>
#include <memory>

namespace monsoonspool::ports {

// Sends orders over a few channels to each worker, and keeps those meant for one process of a
// worker from reaching a later one.
//
// Only listings name the process that answers. Orders for a process are therefore sent on a
// connection on which it has listed its runs. Before the first start on any other connection, a
// renewal that changes nothing obtains a listing on it.
//
// Starts wait behind all other orders and leave one channel to them. A start that waits for a channel
// fails as not sent once a start before it has got no answer, or after a second.
class PooledWorkerLink : public WorkerLink
{
public:
    void renew(const WorkerEntry &worker, const LeaseOrder &order, Handler<WorkerListing> handler) override;
    void start(const WorkerEntry &worker, const RunOrder &order, Handler<StartResult> handler) override;
    // A process that knows nothing of the run then refuses it, which does no harm, so that stops
    // and paces are sent on any connection.
    void stop(const WorkerEntry &worker, Epoch fence, const jobs::TaskId &task, jobs::RunNumber run,
              Handler<Done> handler) override;
    void pace(const WorkerEntry &worker, Epoch fence, const jobs::TaskId &task, jobs::RunNumber run, int percent,
              Handler<Done> handler) override;
    void closeConnections(const WorkerId &worker) override;

protected:
    PooledWorkerLink(std::size_t channelsPerWorker, Scheduler &scheduler);
    ~PooledWorkerLink() override;

private:
    struct Pool;

    virtual std::unique_ptr<WorkerChannel> openChannel(const WorkerEntry &worker) = 0;
    const std::shared_ptr<Pool> &poolOf(const WorkerEntry &worker);

    std::size_t m_channelsPerWorker;
    Scheduler &m_scheduler;
    std::map<WorkerId, std::shared_ptr<Pool>> m_pools;
};

} // namespace monsoonspool::ports
