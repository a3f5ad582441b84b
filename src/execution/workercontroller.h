#pragma once

#include "execution/fleet.h"
#include "execution/orders.h"
#include "ports/scheduler.h"
#include "ports/workerlink.h"

#include <functional>
#include <memory>
#include <vector>

namespace monsoonspool::execution {

// Communicates with all workers during one leadership term: renews leases, passes
// listings to the fleet, and sends orders.
//
// Used only on the control thread.
class WorkerController
{
public:
    struct Hooks
    {
        std::function<void()> onChange; // an event was applied to the fleet
        std::function<void()> onStartAnswered; // or failed
        std::function<void()> onFenced; // a worker has seen a higher fence
        std::function<bool()> mayDecide; // whether leases may still be renewed
    };

    WorkerController(ports::WorkerLink &link, ports::Scheduler &scheduler, Fleet &fleet, Hooks hooks);
    ~WorkerController();
    WorkerController(const WorkerController &) = delete;
    WorkerController &operator=(const WorkerController &) = delete;

    // Starts lease renewal for workers that are new to the fleet. A worker whose answer is overdue counts as silent;
    // an answer that arrives later is applied all the same.
    void trackWorkers();
    void dispatch(const Orders &orders);
    // Returns the number of start orders without an answer.
    int startsUnderWay() const;
    // Returns the round trips of the start orders that were answered or have failed since the last call.
    std::vector<Duration> takeStartRoundTrips();
    // Sets how late the control thread runs. The later, the more ends share one renewal.
    void setLateness(Duration lateness);

private:
    struct Private;
    std::shared_ptr<Private> d;
};

} // namespace monsoonspool::execution
