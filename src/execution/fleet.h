#pragma once

#include "common/decisionlog.h"
#include "execution/orders.h"
#include "jobs/job.h"
#include "jobs/queuepolicy.h"
#include "metrics/latencyhistogram.h"
#include "ports/workerlink.h"
#include "scheduling/interferencemodel.h"

#include <map>
#include <memory>
#include <span>
#include <string>
#include <vector>

namespace monsoonspool::execution {

// A job as stored when it was accepted.
struct AcceptedJob
{
    jobs::JobKey key;
    jobs::QueuePolicy policy; // as it stood then, in case the queue is removed
    jobs::JobSpec spec;
    jobs::WallTime acceptedAt; // by the clock of the host that accepted it
    std::uint64_t version = 0; // of the row that accepted it
};

// How far the ends of one run of a worker have been taken in.
struct EndMark
{
    WorkerId worker;
    std::int64_t bornMs = 0;
    std::int64_t takenEnd = 0;
};

struct FleetCounts
{
    std::size_t openJobs = 0;
    std::size_t workers = 0;
    std::size_t runs = 0;
    std::uint64_t starts = 0;
    std::uint64_t done = 0;
    std::uint64_t failed = 0;
    std::uint64_t lapsed = 0;
    std::uint64_t stopped = 0;
    std::uint64_t unsettled = 0; // starts without an answer
    std::uint64_t paces = 0;
    std::size_t waitingJobs = 0; // none of their tasks has started
    std::size_t silentWorkers = 0;
    metrics::LatencyHistogram firstStart; // from acceptance to the first start
};

// All jobs and workers as the leader sees them: takes in what happened and says
// what to do. Performs no input or output.
//
// Guards across jobs and workers that
//  - a task runs in one place at a time, unless copies are allowed,
//  - what may still run on a worker out of reach is started elsewhere only once
//    the worker's lease has surely lapsed,
//  - after a takeover, no task that the former leader may have started is started
//    before every worker has said what it runs, or has lapsed,
//  - an end is acknowledged only after what it changed was stored.
//
// Not thread-safe: owned by the control thread.
class Fleet
{
public:
    explicit Fleet(DecisionLog &log);
    ~Fleet();
    Fleet(const Fleet &) = delete;
    Fleet &operator=(const Fleet &) = delete;

    // Forgets everything and begins a tenure with `fence`. Jobs accepted up to
    // `claimVersion` may run on any worker of `roster`, as a former leader left it;
    // those leases end at `formerLeasesEnd` at the latest.
    void beginTenure(Epoch fence, std::uint64_t claimVersion, std::span<const ports::WorkerEntry> roster,
                     TimePoint formerLeasesEnd);
    Epoch fence() const;

    void setQueues(std::span<const jobs::QueuePolicy> queues);

    // Jobs.
    void addJob(AcceptedJob job, TimePoint now, jobs::WallTime wall);
    // Takes in what is stored of a job's progress.
    void restoreProgress(jobs::JobKey key, const jobs::JobProgress &progress);
    void cancel(jobs::JobKey key);
    const jobs::Job *find(jobs::JobKey key) const;
    // Returns how many accepted jobs of each queue have not started.
    std::map<std::string, int> waitingCounts() const;

    // Workers.
    void noteWorker(const ports::WorkerEntry &entry, TimePoint now);
    void removeWorker(const WorkerId &id, TimePoint now);
    std::vector<WorkerId> workerIds() const;
    // The workers that may run something. A worker gets its first task only after a
    // roster with it was stored.
    std::vector<ports::WorkerEntry> roster() const;
    // Returns whether the roster has changed since the last call.
    bool takeRosterChanged();
    void markRosterChanged();
    void noteRosterStored(std::span<const ports::WorkerEntry> roster);
    const ports::WorkerEntry *entryOf(const WorkerId &id) const;
    // Returns the next renewal for a worker; its wait is zero until the worker
    // has confirmed the fence.
    ports::LeaseOrder leaseOrder(const WorkerId &id, TimePoint now);
    void noteListing(const WorkerId &id, const ports::WorkerListing &listing, TimePoint sentAt, TimePoint now);
    void noteSilence(const WorkerId &id, TimePoint now);
    void noteStart(const StartTask &order, ports::RunAnswer answer, TimePoint now);
    // A start got no answer, or certainly did not arrive.
    void noteStartFailed(const StartTask &order, bool maybeStarted, TimePoint now);
    void noteStopped(const StopTask &order, TimePoint now);
    void noteStopFailed(const StopTask &order, TimePoint now);
    // The worker may not have taken the pace; it is ordered again.
    void notePaceFailed(const PaceTask &order);

    // What was learned of interference, for the next leader.
    std::vector<scheduling::LearnedInterference> learnedInterference() const;
    void restoreInterference(std::span<const scheduling::LearnedInterference> learned);

    // Decides what to start, stop and pace now.
    Orders plan(TimePoint now, jobs::WallTime wall);

    // Jobs whose stored progress is out of date; clears the list.
    std::vector<jobs::JobKey> takeChangedJobs();
    void markChanged(jobs::JobKey key);
    // What has been taken in so far; to be acknowledged once it is stored.
    std::vector<EndMark> endMarks() const;
    void acknowledge(std::span<const EndMark> marks);
    // Drops a job whose final state is stored, once nothing of it runs.
    void noteStored(jobs::JobKey key);

    // Cheap: numbers of jobs, workers and events.
    const FleetCounts &counts() const;
    // All counts, for dumps and metrics.
    FleetCounts fullCounts() const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace monsoonspool::execution
