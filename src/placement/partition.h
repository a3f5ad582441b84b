#pragma once

#include "common/error.h"
#include "placement/interference.h"
#include "placement/jobtable.h"
#include "placement/placementlog.h"
#include "placement/placementpolicy.h"
#include "placement/sizeestimator.h"
#include "placement/suspicion.h"
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

// The lengths of time on which "never in two places" rests.
struct LeaseTimes
{
    Duration lease = 15s; // of an attempt, from when the worker gets a renewal
    Duration renewInterval = 4s;
    Duration maxDelay = 6s; // longest way of an order to a worker, and clock drift
    Duration ownerLease = 12s; // a former owner may order for so long after its last renewal

    // Returns how long after an order was sent a lease that it gave may last.
    Duration lapse() const
    {
        return lease + maxDelay;
    }
};

struct PartitionOptions
{
    PartitionName name;
    Epoch epoch;
    LeaseTimes times;
    std::string scoring = "tight-and-quiet";
    int maxAttempts = 50; // a job that has ended so many is stopped
    int maxEvictionsPerHour = 4; // of one job
    std::size_t maxFinishedJobs = 20'000; // kept for their submitters
    int startsPerPlan = 200; // bounds the length of one call of plan()
};

// An order to a worker that should be sent now.
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
    double part = 1; // of its processors
};
struct RenewWorker
{
    WorkerId worker;
    Duration lease{0}; // 0 for a worker that has been silent, so that its leases lapse
    std::vector<ports::AttemptId> acknowledged;
};
using WorkerOrder = std::variant<StartAttempt, StopAttempt, CheckpointAttempt, ThrottleAttempt, RenewWorker>;

// What the state dump shows of a partition.
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

// Decides which work runs on which worker of one failure domain.
//
// Every decision becomes a log entry. Entries are taken by takeEntries() and must
// be committed in that order; only when noteCommitted() tells that an attempt's
// plan is committed is the attempt ordered, and only then that its end is
// committed is it acknowledged to its worker. So no attempt starts before its
// record is committed, a successor that applies the log knows of every attempt,
// and an end that the log does not know is reported again.
//
// An attempt that is planned counts as running until it is certainly over: its
// worker reports its end; or its worker, having seen this epoch, does not know
// it; or the worker has restarted; or every lease it can have got has lapsed.
// Only then can the next attempt of the job be planned, and only then are its
// resources free.
//
// Not thread-safe: owned by the control thread. plan() takes at most logarithmic
// time in the workers for each job placed.
class Partition
{
public:
    Partition(PartitionOptions options, TimePoint now);

    // Takes over the state that former owners have left. Call once, before all else.
    void restore(std::span<const Job> jobs, std::span<const LogEntry> entries, TimePoint now);

    void setWorkers(std::span<const ports::ListedWorker> workers);
    void setQuotas(const std::unordered_map<TeamName, std::int64_t> &milliCores);

    // Submits a job; submitting a key of a team again returns the same job.
    // Fails with InvalidJob if no worker could ever hold it.
    Result<JobId> submit(const JobSpec &spec, TimePoint now);

    // Cancels a job. Fails with UnknownResource.
    Result<void> cancel(const JobId &id);

    Result<JobView> view(const JobId &id) const;
    std::vector<JobView> list(const TeamName &team, std::size_t limit) const;

    // Plans attempts for waiting jobs, and evictions for urgent ones.
    void plan(TimePoint now);

    // Returns the entries that must be committed next, and forgets them.
    std::vector<LogEntry> takeEntries();
    bool hasEntries() const
    {
        return !m_entries.empty();
    }

    // Takes in that entries are committed.
    void noteCommitted(std::span<const LogEntry> entries, TimePoint now);

    // Returns the orders that are due.
    std::vector<WorkerOrder> dueOrders(TimePoint now);

    // Takes in how orders went. `sentAt` is when the order was sent.
    void noteStartReply(const StartAttempt &order, const ports::AsyncResult<ports::Done> &result, TimePoint now);
    void noteReport(const WorkerId &worker, const ports::AsyncResult<ports::WorkerReport> &result, TimePoint sentAt,
                    TimePoint now);

    // Returns the durable state, for a checkpoint.
    const JobTable &jobs() const
    {
        return m_jobs;
    }
    const WorkerPool &workers() const
    {
        return m_workers;
    }
    const Suspicion &suspicion() const
    {
        return m_suspicion;
    }
    Interference &interference()
    {
        return m_interference;
    }
    PartitionSummary summary(TimePoint now) const;

private:
    enum class Phase {
        Planned, // its entry is not committed yet
        Ready, // to be ordered
        Ordering, // the start was sent, and its reply is awaited
        Running, // or thought to be
    };
    // What this owner knows of the present attempt of a job, beyond the log.
    struct Live
    {
        WorkerIndex worker = 0;
        Phase phase = Phase::Planned;
        TimePoint startedAt;
        bool mustStop = false;
        bool mustCheckpoint = false;
        TimePoint askedAt; // for the stop or checkpoint
        int badReports = 0; // of a slowed service, one after the other
        double throttledTo = 1;
    };
    struct WorkerState
    {
        TimePoint renewedAt;
        bool isRenewing = false;
        std::vector<ports::AttemptId> acknowledge;
        std::set<JobId> jobs; // with attempts that may be running there
    };
    struct Team
    {
        std::int64_t usedMilliCores = 0; // by batch attempts
        std::int64_t quotaMilliCores = 0; // 0 is unlimited
    };
    struct Reservation
    {
        JobId job;
        WorkerIndex worker = 0;
    };

    void append(LogEntry entry);
    void beginLive(const Job &job, Phase phase, TimePoint now);
    void endAttempt(const JobId &id, AttemptEnded::How how, std::string result, std::string checkpoint, TimePoint now);
    void judge(const Job &before, AttemptEnded::How how, TimePoint now);
    void takeReport(WorkerIndex n, const ports::WorkerReport &report, TimePoint sentAt, TimePoint now);
    void takeAttemptReport(const JobId &id, const ports::AttemptReport &report, TimePoint now);
    void learn(const Job &job, const ports::AttemptReport &report);
    void watchSlowdown(const Job &job, const ports::AttemptReport &report);
    void easePressure(const Job &job, Live &live);
    const Job *worstNeighbour(const Job &job, WorkerIndex n) const;
    void lapseWorkers(TimePoint now);
    std::vector<JobId> nextToPlan() const;
    std::vector<std::optional<WorkerIndex>> propose(std::span<const JobId> ids, TimePoint now) const;
    std::optional<WorkerIndex> chooseWorker(const Job &job, TimePoint now) const;
    double expectedSlowdown(const Job &job, WorkerIndex n) const;
    bool isUsableFor(const Job &job, WorkerIndex n, TimePoint now) const;
    bool isOverQuota(const Job &job) const;
    bool place(const Job &job, WorkerIndex n, TimePoint now);
    void noteUnplaced(const Job &job, TimePoint now);
    void evictForUrgent(std::span<const JobId> unplaced, TimePoint now);
    void evictFor(const Job &job, TimePoint now);
    void reserveFor(const Job &job);
    int recentEvictions(const JobId &id, TimePoint now) const;
    void forgetFinished();
    void orderStarts(std::vector<WorkerOrder> &orders, TimePoint now);
    void orderEndings(std::vector<WorkerOrder> &orders, TimePoint now);
    void orderRenewals(std::vector<WorkerOrder> &orders, TimePoint now);
    Resources allotmentFor(const Job &job) const;
    WorkerState &stateOf(WorkerIndex n);

    PartitionOptions m_options;
    JobTable m_jobs;
    WorkerPool m_workers;
    Suspicion m_suspicion;
    SizeEstimator m_sizes;
    Interference m_interference;
    std::unique_ptr<ScoringPolicy> m_scoring;
    std::unique_ptr<EvictionPolicy> m_eviction;
    std::vector<WorkerState> m_workerStates;
    std::unordered_map<JobId, Live> m_live;
    std::unordered_map<TeamName, Team> m_teams;
    std::vector<LogEntry> m_entries;
    std::vector<JobId> m_ready; // attempts to be ordered
    std::set<JobId> m_ending; // attempts to be stopped or checkpointed
    std::vector<WorkerOrder> m_extraOrders; // throttles, and stops of what nobody knows
    std::map<ports::AttemptId, WorkerId> m_endedOn; // ends that are not committed yet
    std::deque<JobId> m_finished; // final jobs, the oldest first
    std::unordered_map<JobId, std::deque<TimePoint>> m_evictionTimes;
    std::unordered_map<JobId, TimePoint> m_unplacedSince;
    std::optional<Reservation> m_reservation;
    TimePoint m_nextSweep;
    std::uint64_t m_nextJob = 1;
    std::int64_t m_batchMilliCores = 0; // allotted to batch attempts
    int m_batchDebt = 0; // urgent starts since the last batch start
    std::uint64_t m_startCount = 0;
    std::uint64_t m_evictionCount = 0;
    std::uint64_t m_lostCount = 0;
};

// Returns what tells commands of one kind from others: the team and the first
// word of the command.
std::string kindOf(const JobSpec &spec);

} // namespace monsoonspool::placement
