#pragma once

#include "common/identifiers.h"
#include "common/resources.h"
#include "common/time.h"
#include "jobs/job.h"
#include "ports/asyncresult.h"
#include "ports/hostlist.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace monsoonspool::ports {

// A point on a worker's own clock, in milliseconds since the worker's start. The
// clock may run up to MaxClockDrift slow or fast.
using WorkerMillis = std::int64_t;

// The platform states that workers' clocks are at most this much off.
constexpr double MaxClockDrift = 0.02;

// A worker as it registered itself.
struct WorkerEntry
{
    WorkerId id;
    ServiceName service; // the pool that it works for
    Address address;
    FailureDomain domain;
    std::string kind;
    std::string rack;
    Resources capacity;
    bool isDraining = false;
    Duration remaining{0}; // at least so long until it leaves, while it drains
    std::int64_t bornMs = 0; // of its present run; tells a restarted worker from the old one

    bool operator==(const WorkerEntry &) const = default;
};

// A run as its worker lists it.
struct ListedRun
{
    jobs::TaskId task;
    jobs::RunNumber run = 0;
    std::string checkpoint;
    int percent = 0; // of the work done; of a lasting task, 100 while at work
    std::int64_t level = 0; // tail of a serving task in ms, else milli-cores in use; lags
};

// An end that stays listed until it is acknowledged.
struct ListedEnd
{
    std::int64_t number = 0; // counts up within one run of the worker
    jobs::TaskId task;
    jobs::RunNumber run = 0;
    jobs::RunEnd how = jobs::RunEnd::Stopped;
    std::string checkpoint;
};

struct LeaseOrder
{
    Epoch fence;
    std::int64_t acknowledgedEnd = 0; // ends up to this number need not be listed again
    WorkerMillis deadline = 0; // what runs there is stopped then; 0 leaves it as it is
    Duration wait{0}; // the worker may wait so long for an end before it answers
};

struct WorkerListing
{
    WorkerMillis clock = 0;
    std::int64_t bornMs = 0; // 0 if the worker did not say
    std::vector<ListedRun> running;
    std::vector<ListedEnd> ended;
};

struct RunOrder
{
    Epoch fence;
    jobs::TaskId task;
    jobs::RunNumber run = 0;
    std::string payload;
    std::string checkpoint;
    std::string ticket; // of the adviser; empty if the queue has none
    WorkerMillis deadline = 0; // the worker refuses the order after it
};

enum class RunAnswer {
    Accepted, // runs, or already ran under this number
    Superseded, // the run is not higher than one that was stopped or ended there
    TooLate, // the order's deadline has passed
    NoRoom,
    NoTicket, // the adviser's ticket is missing or has expired
    Unhealthy, // the worker did nothing and may be tried later
    Invalid, // the worker cannot read the order
};

// Orders to workers. A worker does nothing for an order whose fence is lower than
// the highest that it has seen.
//
// Failures:
//  - StaleEpoch: the worker knows a higher fence,
//  - Superseded: another run of the worker answers at this address,
//  - DaemonUnreachable: the order certainly was not sent,
//  - StoreReplyLost: the order may have been carried out, or will be later.
//
// Used from one thread; handlers are called on that thread.
class WorkerLink
{
public:
    virtual ~WorkerLink() = default;

    virtual void renew(const WorkerEntry &worker, const LeaseOrder &order, Handler<WorkerListing> handler) = 0;
    virtual void start(const WorkerEntry &worker, const RunOrder &order, Handler<RunAnswer> handler) = 0;
    virtual void stop(const WorkerEntry &worker, Epoch fence, const jobs::TaskId &task, jobs::RunNumber run,
                      Handler<Done> handler)
        = 0;
    // Lets a task work at `percent` of its pace.
    virtual void pace(const WorkerEntry &worker, Epoch fence, const jobs::TaskId &task, jobs::RunNumber run,
                      int percent, Handler<Done> handler)
        = 0;
    // Closes the connections to a worker that is gone.
    virtual void forget(const WorkerId &worker) = 0;
};

} // namespace monsoonspool::ports
