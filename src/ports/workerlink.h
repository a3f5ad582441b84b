#pragma once

#include "common/identifiers.h"
#include "common/resources.h"
#include "common/time.h"
#include "jobs/job.h"
#include "ports/asyncresult.h"
#include "ports/hostlist.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace monsoonspool::ports {

// A time on a worker's local clock, in milliseconds since the worker's start. The clock
// may run slow or fast by up to MaxClockDrift.
using WorkerMillis = std::int64_t;

// Maximum relative rate error of a worker's clock, as guaranteed by the platform.
constexpr double MaxClockDrift = 0.02;

// A worker as registered in the store.
struct WorkerEntry
{
    WorkerId id;
    ServiceName service; // whose tasks it runs
    Address address;
    FailureDomain domain;
    std::string kind;
    std::string rack;
    Resources capacity;
    bool isDraining = false;
    Duration remaining{0}; // while draining, a lower bound of the time until it leaves
    std::int64_t startTimeMs = 0; // start of the current incarnation; another one after a restart, usually higher

    bool operator==(const WorkerEntry &) const = default;
};

// A run in the listing of its worker.
struct ListedRun
{
    jobs::TaskId task;
    jobs::RunNumber run = 0;
    std::string checkpoint;
    int percent = 0; // progress; 100 for a running task that runs until its job is cancelled
    std::int64_t level = 0; // tail latency in ms of a serving task, otherwise milli-cores in use; delayed
};

// The end of a run. It remains listed until it is acknowledged.
struct ListedRunEnd
{
    std::int64_t number = 0; // increases within one incarnation of the worker
    jobs::TaskId task;
    jobs::RunNumber run = 0;
    jobs::RunEnd outcome = jobs::RunEnd::Stopped;
    std::string checkpoint;
};

// Renews the lease that covers all runs on a worker.
// A worker answers within a round trip, and the wait that it was asked for. One that takes longer by this time
// counts as silent.
inline constexpr Duration WorkerAnswerTimeout = 700ms;
// Answers to renewals are awaited longer, although the worker counts as silent before: one that is only late tells
// which runs have ended, until the leases that the worker had are over.
inline constexpr Duration LateAnswerPatience = 5s;

struct LeaseOrder
{
    Epoch fence;
    std::int64_t acknowledgedEnd = 0; // ends up to this number are no longer listed
    WorkerMillis deadline = 0; // the lease expires then and all runs are stopped; 0 keeps the current lease
    Duration wait{0}; // long poll: maximum time the worker may wait for a run to end before it answers
    std::int64_t startTimeMs = 0; // of the process that the order is meant for; 0 for any
    Duration patience = WorkerAnswerTimeout; // beyond `wait`: how long the answer is awaited before the call fails
};

// A worker's answer to a lease renewal.
struct WorkerListing
{
    WorkerMillis clock = 0;
    std::int64_t startTimeMs = 0; // 0 if the answer does not contain it
    std::vector<ListedRun> running;
    std::vector<ListedRunEnd> ended;
    bool isTruncated = false; // more ends may follow the last one
};

// A request to a worker to start a run.
struct RunOrder
{
    Epoch fence;
    jobs::TaskId task;
    jobs::RunNumber run = 0;
    std::string payload;
    std::string checkpoint;
    std::string ticket; // issued by the adviser; empty if the queue has no adviser
    WorkerMillis deadline = 0; // the worker rejects the order after this time
    std::int64_t startTimeMs = 0; // of the process that the order is meant for; 0 for any
    // The process must answer on the connection right before the order is sent there. Without its
    // answer the order is not sent and fails with DaemonUnreachable, so that an order whose outcome
    // is unknown has been sent to a process that was alive a round trip before.
    bool verifiesProcess = false;
};

enum class StartResult {
    Accepted, // started, or already running with this number
    Superseded, // a run of the task with the same or a higher number was stopped or ended there
    TooLate, // received after the order's deadline
    InsufficientCapacity, // the worker lacks the resources
    InvalidTicket, // the adviser's ticket is missing or has expired
    Unhealthy, // the worker did nothing; the order can be retried later
    Invalid, // the worker cannot decode the order
};

// Orders to workers. A worker rejects an order whose fence, the fencing token of the
// sending leader, is lower than the highest it has received.
//
// A worker may restart while an order is under way. A later process than the one that an order
// is meant for neither starts its run nor receives its acknowledgement and deadline: the start
// fails with DaemonUnreachable, and the renewal is sent without them and without a wait.
//
// Failures:
//  - StaleEpoch: the worker has received a higher fence,
//  - Superseded: the address now belongs to another incarnation of the worker,
//  - DaemonUnreachable: the order was not sent,
//  - StoreReplyLost: the order may have been executed, or may still be later.
//
// Not thread-safe. Handlers are called on the thread that makes the calls.
class WorkerLink
{
public:
    virtual ~WorkerLink() = default;

    virtual void renew(const WorkerEntry &worker, const LeaseOrder &order, Handler<WorkerListing> handler) = 0;
    virtual void start(const WorkerEntry &worker, const RunOrder &order, Handler<StartResult> handler) = 0;
    virtual void stop(const WorkerEntry &worker, Epoch fence, const jobs::TaskId &task, jobs::RunNumber run,
                      Handler<Done> handler)
        = 0;
    // Limits a run to `percent` of its full pace.
    virtual void pace(const WorkerEntry &worker, Epoch fence, const jobs::TaskId &task, jobs::RunNumber run,
                      int percent, Handler<Done> handler)
        = 0;
    // Closes the connections to a worker that was removed.
    virtual void closeConnections(const WorkerId &worker) = 0;
};

} // namespace monsoonspool::ports
