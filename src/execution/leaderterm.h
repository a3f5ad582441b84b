#pragma once

#include "execution/fleet.h"
#include "execution/rowcodec.h"
#include "ports/changestore.h"
#include "ports/registry.h"
#include "ports/scheduler.h"
#include "ports/workerlink.h"

#include <functional>
#include <memory>

namespace monsoonspool::execution {

// What the execution of jobs needs from outside.
struct ExecutionPorts
{
    ports::ChangeStore &store;
    ports::WorkerLink &workers;
    ports::Scheduler &scheduler;
    const ports::Registry &registry;
    const RowCodec &codec;
    DecisionLog &log;
    std::function<jobs::WallTime()> wallNow;
};

// How a tenure begins.
struct LeaderTermStart
{
    Epoch fence;
    std::uint64_t claimVersion = 0;
    std::vector<ports::StoredRow> roster; // as the former leader left it
    std::vector<jobs::QueuePolicy> queues;
};

// One host's time as leader: reads what is stored, follows new jobs and workers,
// plans, and stores progress, until it is destroyed.
//
// Lives on the control thread.
class LeaderTerm
{
public:
    struct Hooks
    {
        std::function<void()> onFenced; // another host has a higher fence
        std::function<bool()> mayDecide;
    };

    LeaderTerm(ExecutionPorts ports, LeaderTermStart start, Hooks hooks);
    ~LeaderTerm();
    LeaderTerm(const LeaderTerm &) = delete;
    LeaderTerm &operator=(const LeaderTerm &) = delete;

    void setQueues(std::span<const jobs::QueuePolicy> queues);
    // Returns how many jobs of each queue have not started, once all are read.
    std::map<std::string, int> waitingCounts() const;
    bool isLoaded() const;
    FleetCounts counts() const;

private:
    struct Private;
    std::shared_ptr<Private> d;
};

} // namespace monsoonspool::execution
