#pragma once

#include "common/error.h"
#include "placement/failureattribution.h"
#include "placement/interferenceestimator.h"
#include "placement/jobtable.h"
#include "placement/placementlog.h"
#include "placement/placementpolicy.h"
#include "placement/sizeestimator.h"
#include "placement/workerpool.h"
#include "ports/hostlist.h"
#include "ports/workeragent.h"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace monsoonspool::placement {

// Lease durations. They ensure that no job ever has two attempts running at once.
struct LeaseTimes
{
    Duration lease = 15s; // of an attempt, counted from the worker's receipt of a renewal
    Duration renewInterval = 4s;
    Duration maxDeliveryDelay = 6s; // upper bound on order delivery time plus clock drift
    Duration ownerLease = 12s; // a former owner can still send orders for this long after its last renewal

    // Returns the longest time, from the sending of an order, that the lease granted
    // by the order can last.
    Duration maxLeaseDuration() const
    {
        return lease + maxDeliveryDelay;
    }
};

struct PartitionOptions
{
    PartitionName name;
    Epoch epoch;
    LeaseTimes times;
    std::string scoring = "tight-and-quiet";
    int maxAttempts = 50; // a job that has used them up fails
    int maxEvictionsPerHour = 4; // per job
    std::size_t maxFinishedJobs = 20'000; // retained so that submitters can query them
    int startsPerPlan = 200; // bounds the running time of one plan() call
};

// Orders to workers, due for sending.
struct StartAttempt
{
    WorkerId worker;
    ports::StartOrder order;
};
struct StopAttempt
{
    WorkerId worker;
    ports::AttemptId attempt;
};
struct CheckpointAttempt
{
    WorkerId worker;
    ports::AttemptId attempt;
};
struct ThrottleAttempt
{
    WorkerId worker;
    ports::AttemptId attempt;
    double processorShare = 1; // of its allocated processors, 0 to 1
};
struct RenewWorker
{
    WorkerId worker;
    Duration lease{0}; // 0 for a silent worker, so that its leases expire
    std::vector<ports::AttemptId> acknowledged;
};
using WorkerOrder = std::variant<StartAttempt, StopAttempt, CheckpointAttempt, ThrottleAttempt, RenewWorker>;

// Statistics of a partition for the state dump.
struct PartitionSummary
{
    int workers = 0;
    int reachableWorkers = 0;
    int quarantinedWorkers = 0;
    std::size_t waitingUrgent = 0;
    std::size_t waitingBatch = 0;
    int running = 0;
    std::size_t jobs = 0;
    Resources capacity;
    Resources committed;
    std::uint64_t starts = 0;
    std::uint64_t evictions = 0;
    std::uint64_t lost = 0;
};

// Schedules jobs onto the workers of one failure domain.
//
// Every decision is a write-ahead log entry. The caller fetches entries with
// takeEntries() and commits them in that order. An attempt is started only after
// noteCommitted() confirms its AttemptPlanned entry, and its end is acknowledged to
// the worker only after its AttemptEnded entry is confirmed. Hence a new owner that
// replays the log knows every attempt that may have started, and workers report
// again every end that is not in the log.
//
// A planned attempt counts as running until it has certainly ended: its worker
// reports the end; or the worker has seen this epoch and does not know the attempt;
// or the worker has restarted; or every lease the attempt can have received has
// expired. Until then its resources stay committed and the job gets no further
// attempt.
//
// Not thread-safe: owned by the control thread. plan() takes at most logarithmic
// time in the number of workers per job placed.
class Partition
{
public:
    Partition(PartitionOptions options, TimePoint now);

    // Rebuilds the state from the jobs of a checkpoint and the log entries after it.
    // Call once, before any other function.
    void restore(std::span<const Job> jobs, std::span<const LogEntry> entries, TimePoint now);

    void setWorkers(std::span<const ports::ListedWorker> workers);
    void setQuotas(const std::unordered_map<TeamName, std::int64_t> &milliCores);

    // Submits a job. Idempotent per team and key: a repeated key returns the existing
    // job, or IdempotencyKeyReused if the specification differs. Fails with InvalidJob
    // if the job exceeds the capacity of every listed worker.
    Result<JobId> submit(const JobSpec &spec, TimePoint now);

    // Cancels a job; no effect on a finished one. Fails with UnknownResource.
    Result<void> cancel(const JobId &id);

    Result<JobView> view(const JobId &id) const;
    std::vector<JobView> list(const TeamName &team, std::size_t limit) const;

    // Places waiting jobs on workers, and evicts batch attempts for urgent jobs that
    // do not fit. Also expires leases and removes old finished jobs.
    void plan(TimePoint now);

    // Moves out the entries that have to be committed next.
    std::vector<LogEntry> takeEntries();
    bool hasEntries() const
    {
        return !m_entries.empty();
    }

    // Handles the confirmation that entries are committed.
    void noteCommitted(std::span<const LogEntry> entries, TimePoint now);

    // Moves out the orders that have to be sent now.
    std::vector<WorkerOrder> dueOrders(TimePoint now);

    // Handle the workers' replies to start and renew orders. `sentAt` is the time at
    // which the order was sent.
    void noteStartReply(const StartAttempt &order, const ports::AsyncResult<ports::Done> &result, TimePoint now);
    void noteReport(const WorkerId &worker, const ports::AsyncResult<ports::WorkerReport> &result, TimePoint sentAt,
                    TimePoint now);

    // Returns the durable state, as written to checkpoints.
    const JobTable &jobs() const
    {
        return m_jobs;
    }
    const WorkerPool &workers() const
    {
        return m_workers;
    }
    const FailureAttribution &failureAttribution() const
    {
        return m_failureAttribution;
    }
    InterferenceEstimator &interference()
    {
        return m_interference;
    }
    PartitionSummary summary(TimePoint now) const;

private:
    enum class Phase {
        Planned, // the log entry is not committed yet
        ReadyToStart, // committed; the start order is due
        StartSent, // the reply to the start order is outstanding
        Running, // started, or possibly started
    };
    // Volatile state of the current attempt of a job; not in the log.
    struct ActiveAttempt
    {
        WorkerIndex worker = 0;
        Phase phase = Phase::Planned;
        TimePoint startedAt;
        bool mustStop = false;
        bool mustCheckpoint = false;
        TimePoint lastOrderAt; // last stop or checkpoint order
        int slowReports = 0; // of a service; see HighSlowdownThreshold
        double processorShare = 1; // last one ordered, 0 to 1
    };
    struct WorkerState
    {
        TimePoint renewedAt;
        bool isRenewing = false;
        std::vector<ports::AttemptId> toAcknowledge; // sent with each renewal
        std::set<JobId> jobs; // whose attempts may be running on the worker
    };
    struct Team
    {
        std::int64_t usedMilliCores = 0; // declared by the jobs of running batch attempts
        std::int64_t quotaMilliCores = 0; // 0: unlimited
    };
    // A worker kept free for a job that has waited long.
    struct Reservation
    {
        JobId job;
        WorkerIndex worker = 0;
    };

    void append(LogEntry entry);
    void trackAttempt(const Job &job, Phase phase, TimePoint now);
    void endAttempt(const JobId &id, AttemptEnded::Outcome outcome, std::string result, std::string checkpoint,
                    TimePoint now);
    void applyFailurePolicy(const Job &before, AttemptEnded::Outcome outcome, TimePoint now);
    void processReport(WorkerIndex n, const ports::WorkerReport &report, TimePoint sentAt, TimePoint now);
    void processAttemptReport(const JobId &id, const ports::AttemptReport &report, TimePoint now);
    void updateSizeEstimate(const Job &job, const ports::AttemptReport &report);
    void recordSlowdown(const Job &job, const ports::AttemptReport &report);
    void mitigateInterference(const Job &job, ActiveAttempt &active);
    const Job *noisiestNeighbour(const Job &job, WorkerIndex n) const;
    void expireLeases(TimePoint now);
    std::vector<JobId> selectJobs() const;
    std::vector<std::optional<WorkerIndex>> chooseWorkers(std::span<const JobId> ids, TimePoint now) const;
    std::optional<WorkerIndex> chooseWorker(const Job &job, TimePoint now) const;
    double expectedSlowdown(const Job &job, WorkerIndex n) const;
    bool isEligible(const Job &job, WorkerIndex n, TimePoint now) const;
    bool isOverQuota(const Job &job) const;
    bool place(const Job &job, WorkerIndex n, TimePoint now);
    void handleUnplaced(const Job &job, TimePoint now);
    void requestEvictions(std::span<const JobId> unplaced, TimePoint now);
    void requestEviction(const Job &job, TimePoint now);
    void reserveWorker(const Job &job);
    int recentEvictions(const JobId &id, TimePoint now) const;
    void removeOldJobs();
    void appendStartOrders(std::vector<WorkerOrder> &orders, TimePoint now);
    void appendStopOrders(std::vector<WorkerOrder> &orders, TimePoint now);
    void appendRenewOrders(std::vector<WorkerOrder> &orders, TimePoint now);
    Resources allocationFor(const Job &job) const;
    WorkerState &workerState(WorkerIndex n);

    PartitionOptions m_options;
    JobTable m_jobs;
    WorkerPool m_workers;
    FailureAttribution m_failureAttribution;
    SizeEstimator m_sizes;
    InterferenceEstimator m_interference;
    std::unique_ptr<ScoringPolicy> m_scoring;
    std::unique_ptr<EvictionPolicy> m_eviction;
    std::vector<WorkerState> m_workerStates;
    std::unordered_map<JobId, ActiveAttempt> m_activeAttempts;
    std::unordered_map<TeamName, Team> m_teams;
    std::vector<LogEntry> m_entries;
    std::vector<JobId> m_startsDue; // jobs whose start order is due
    std::set<JobId> m_stopping; // jobs whose attempt is being stopped or checkpointed
    std::vector<WorkerOrder> m_pendingOrders; // throttle orders, and stop orders for unknown attempts
    std::map<ports::AttemptId, WorkerId> m_uncommittedEnds; // and the worker of each
    std::deque<JobId> m_finishedJobs; // oldest first
    std::unordered_map<JobId, std::deque<TimePoint>> m_evictionTimes;
    std::unordered_map<JobId, TimePoint> m_unplacedSince;
    std::optional<Reservation> m_reservation;
    TimePoint m_nextLeaseCheck;
    std::uint64_t m_nextJob = 1;
    std::int64_t m_batchMilliCores = 0; // allocated to batch attempts
    int m_urgentStartsInRow = 0; // urgent starts since the last batch start
    std::uint64_t m_startCount = 0;
    std::uint64_t m_evictionCount = 0;
    std::uint64_t m_lostCount = 0;
};

// Returns the workload class of a job, by which usage and interference are learned:
// the team and the first word of the command.
std::string workloadClass(const JobSpec &spec);

} // namespace monsoonspool::placement
