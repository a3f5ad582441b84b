#pragma once

#include "execution/fleet.h"
#include "execution/orders.h"
#include "ports/scheduler.h"
#include "ports/workerlink.h"

#include <functional>
#include <memory>

namespace monsoonspool::execution {

// Keeps in touch with every worker for one tenure: renews leases, hands listings
// to the fleet, and carries out orders.
//
// Lives on the control thread.
class WorkerController
{
public:
    struct Hooks
    {
        std::function<void()> onChange; // the fleet took in something
        std::function<void()> onFenced; // a worker knows a higher fence
        std::function<bool()> mayDecide; // whether leases may still be renewed
    };

    WorkerController(ports::WorkerLink &link, ports::Scheduler &scheduler, Fleet &fleet, Hooks hooks);
    ~WorkerController();
    WorkerController(const WorkerController &) = delete;
    WorkerController &operator=(const WorkerController &) = delete;

    // Begins to keep in touch with workers that the fleet has come to know.
    void trackWorkers();
    void dispatch(const Orders &orders);

private:
    struct Private;
    std::shared_ptr<Private> d;
};

} // namespace monsoonspool::execution
