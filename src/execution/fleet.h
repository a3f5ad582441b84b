#pragma once

#include "common/decisionlog.h"
#include "common/error.h"
#include "execution/leftoverload.h"
#include "execution/orders.h"
#include "execution/standstill.h"
#include "jobs/job.h"
#include "jobs/outcomecounts.h"
#include "jobs/queuepolicy.h"
#include "membership/evacuations.h"
#include "membership/leadership.h"
#include "metrics/latencyhistogram.h"
#include "ports/workerlink.h"
#include "scheduling/interferencemodel.h"
#include "scheduling/localitywait.h"
#include "scheduling/throttledrun.h"

#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace monsoonspool::execution {

// A job as it was stored on acceptance.
struct AcceptedJob
{
    jobs::JobKey key;
    jobs::QueuePolicy policy; // at acceptance; applies if the queue is removed later
    jobs::JobSpec spec;
    jobs::WallTime acceptedAt; // on the clock of the accepting host
    Epoch knownFence; // of the leader row that the accepting host had read; 0 if that is unknown
    std::uint64_t version = 0; // of the job's row
};

// A worker on the stored roster, from which a new leader recovers.
struct RosterEntry
{
    ports::WorkerEntry worker;
    // If set, nothing is started there any more, and only these jobs may have runs or unstored
    // ends there.
    std::optional<std::vector<jobs::JobKey>> remainingJobs;
};

// A job that is over and of which nothing runs.
struct DroppedJob
{
    jobs::JobKey key;
    std::uint64_t version = 0; // of the job's row
    bool isCancelled = false;
};

// Position up to which the run ends listed by one incarnation of a worker have been
// applied.
struct EndCursor
{
    WorkerId worker;
    std::int64_t startTimeMs = 0; // identifies the incarnation
    std::int64_t lastEnd = 0;
};

// The state of an evacuated failure domain.
struct EvacuatedDomain
{
    FailureDomain domain;
    std::size_t workers = 0;
    std::size_t unheardWorkers = 0; // that do not answer, or have not answered this leader yet
    std::size_t runs = 0; // that may be active there
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
    std::uint64_t unansweredStarts = 0; // starts that got no reply
    std::uint64_t paces = 0;
    std::uint64_t moves = 0; // of throttled runs to other workers
    std::uint64_t reducedStarts = 0; // of tasks on leftover cores that all workers had refused
    std::uint64_t startsDuringTakeover = 0; // ordered while a worker of the former leader's roster had not reported
    std::uint64_t endsOfUnknownJobs = 0; // listed by workers before this leader had read the job's row
    std::uint64_t duplicateRuns = 0; // of tasks that were done or active elsewhere when a worker listed the run
    std::uint64_t workerRestarts = 0; // of workers known to this leader
    std::uint64_t workerCrashes = 0; // of workers that had runs and had not announced that they leave
    std::uint64_t crashedRuns = 0; // lost in these crashes
    std::uint64_t progressConflicts = 0; // progress rows that somebody else had changed
    std::uint64_t foreignDoneTasks = 0; // tasks that such a row showed as done and this leader took as open
    std::size_t waitingJobs = 0; // jobs of which no task has begun
    std::size_t silentWorkers = 0;
    std::size_t unreportedWorkers = 0; // of the former leader's roster
    std::size_t heldBackJobs = 0; // whose tasks may still be active on one of these
    std::size_t heldBackLastingJobs = 0; // those of them whose tasks run until they are cancelled
    Duration takeoverWait{0}; // until the last lease of a former leader has ended on one of these workers
    std::vector<EvacuatedDomain> evacuatedDomains; // by name
    StandingJobs standingJobs; // at the last report, at most StandstillReportInterval ago
    LeftoverLoad leftoverLoad; // at the same report
    std::uint64_t remoteStarts = 0; // off the rack of the task's data, or of gangs' members on several racks
    std::uint64_t rackWaits = 0; // tasks and gangs that began to wait for their rack
    std::uint64_t rackWaitsMet = 0; // those of them that started there
    std::uint64_t rackWaitsGivenUp = 0; // those that started elsewhere
    std::uint64_t workerSearches = 0; // looks at all workers, or at those of a rack, for a place
    std::size_t tasksWaitingForRack = 0; // now; a gang counts once
    metrics::LatencyHistogram rackWait; // of rackWaitsMet and rackWaitsGivenUp
    std::size_t jobBytes = 0; // taken by the open jobs, approximately
    std::size_t jobBytesLimit = 0;
    std::size_t deferredJobs = 0; // accepted jobs that wait in the store for room
    std::size_t overdueOccurrences = 0; // due at the last plan, and not open since others of their job are
    std::size_t dueTasks = 0; // whose turn had come at the last plan that could start tasks
    jobs::OutcomeCounts outcomes; // of this term; of jobs that are neither lasting nor timed
    metrics::LatencyHistogram firstStart; // from acceptance to the first start order
};

// Bytes that the jobs of a leader may take unless setJobMemoryLimit() says otherwise.
inline constexpr std::size_t DefaultJobMemoryLimit = 64UL * 1024 * 1024;

// All jobs and workers known to the leader. Applies events and plans which tasks to
// start, stop and pace. Performs no I/O.
//
// Invariants across jobs and workers:
//  - a task runs on one worker at a time, unless speculative copies are allowed,
//  - a run that may be active on an unreachable worker is started elsewhere only
//    after that worker's lease has certainly expired before another leader could extend it,
//  - after a takeover, no task that the former leader may have started is started
//    before every worker on which it may run has reported its runs or its lease has expired,
//  - no task is started of a job whose accepting host knew of a later leader, which may
//    start it without waiting for this one,
//  - no task is started on a worker of an evacuated failure domain,
//  - no lease is extended and nothing is started on a worker that the stored row of the leader may
//    name as silent: a successor waits there only as long as the row says,
//  - the end of a run is acknowledged only after its job was read and its effects were stored,
//  - jobs take a bounded part of the host's memory, whatever clients submit and the store holds: those that
//    find no room wait in the store, and each is added in the end.
//
// Not thread-safe: owned by the control thread.
class Fleet
{
public:
    explicit Fleet(DecisionLog &log);
    ~Fleet();
    Fleet(const Fleet &) = delete;
    Fleet &operator=(const Fleet &) = delete;

    // Clears all state and begins a leadership term with `fence`, claimed by the commit
    // `claimVersion`. Jobs with a lower knownFence may be running on the workers of `roster`,
    // which the former leader stored; the leases of these runs expire at `formerLeasesEnd`
    // at the latest.
    // Those on the workers that the claimed row names as silent end as the row says.
    void beginTerm(Epoch fence, std::uint64_t claimVersion, std::span<const RosterEntry> roster,
                   TimePoint formerLeasesEnd, TimePoint now,
                   std::span<const membership::SilentWorker> silentWorkers = {});
    // Records that the leadership was renewed by a write that was sent at `sentAt`, and lasts
    // until `termEnd`, when all leases must have ended. After `sentAt`, a successor may have
    // claimed it and extended leases.
    void noteTermRenewed(TimePoint sentAt, TimePoint termEnd);
    Epoch fence() const;
    // Returns until when the leases of former leaders may last.
    TimePoint formerLeasesEnd() const;
    // Records that they end earlier. Never extends them.
    void shortenFormerLeases(TimePoint end);
    // Returns the workers to name as silent in the leader's row, which is about to be written: those
    // that have not answered for `minSilence`. A successor waits for each of them only until its
    // leases have ended.
    std::vector<membership::SilentWorker> takeSilentWorkers(TimePoint now, Duration minSilence);
    // Records that the row with the workers taken last was stored.
    void markSilentWorkersStored();
    // Returns whether something waits for the leader's row to be stored once more: a worker that answers for a
    // row that does not name it, or the jobs of former leaders for the proof that their leases, which are over,
    // were not extended by a successor.
    bool awaitsRowRenewal(TimePoint now) const;
    // Returns what the workers of `witnesses` have answered to this leader.
    membership::WitnessAnswers witnessAnswers(std::span<const membership::Witness> witnesses) const;
    // Returns the workers that the leader's row may name as witnesses.
    std::vector<membership::WitnessCandidate> witnessCandidates() const;
    // Sets the witnesses, whose answers are asked for more often while the leadership cannot be renewed.
    void setWitnesses(std::span<const membership::Witness> witnesses);
    // Returns until when a worker may keep or accept anything that this leader or a former one has
    // ordered, if this leader orders nothing any more.
    TimePoint leasesEnd(TimePoint now) const;

    void setQueues(std::span<const jobs::QueuePolicy> queues);
    // Sets what it costs to move a run with checkpoints. Throttled runs are not moved if it is not known.
    void setMoveCost(const std::optional<scheduling::MoveCost> &cost);
    // Sets how many times as long a task takes off the rack of its data, and a colocated gang on more
    // than one rack. Without it, no task waits for its rack.
    void setRemoteRunTimeFactor(std::optional<double> factor);
    // Replaces the policy that decides on the waits. Baselines for comparisons are set here.
    void setLocalityPolicy(std::unique_ptr<scheduling::LocalityPolicy> policy);

    // Sets how much memory the jobs may take.
    void setJobMemoryLimit(std::size_t bytes);

    // Jobs. A job is added once in a term, even if it was dropped after its end.
    // Returns false if there is no room for the job, which is deferred then: its row is to be read again once
    // takeDeferredJob() returns it.
    bool addJob(AcceptedJob job, TimePoint now, jobs::WallTime wall);
    // Returns a deferred job that is to be read now, if there is one.
    std::optional<jobs::JobKey> takeDeferredJob();
    bool isDeferred(jobs::JobKey key) const;
    // Adds a job that was deferred, whether there is room or not.
    void addDeferredJob(AcceptedJob job, TimePoint now, jobs::WallTime wall);
    // Returns the queues of which no more jobs should be accepted, at most `most`.
    std::vector<std::string> fullQueues(std::size_t most) const;
    // Records that a job's row was read and cannot be decoded.
    void addUnreadableJob(jobs::JobKey key);
    // Returns whether the job's row was read in this term. A deferred job counts as read.
    bool hasRead(jobs::JobKey key) const;
    // Records that all jobs and cancellations stored before `time` have been read: what workers
    // listed until then and that belongs to another job is not this system's. While the store
    // answers other calls, no task starts once this is too long ago.
    void noteJobsRead(TimePoint time);
    // Records that all entries of workers stored before `time` have been read. While the store
    // answers other calls, no task starts once this is too long ago, since workers may have
    // announced that they leave.
    void noteWorkersRead(TimePoint time);
    // Replaces the evacuated failure domains. No task starts on their workers, and while the store
    // answers other calls, none starts anywhere once their last reading is too long ago. Before the
    // first call, nothing is evacuated.
    void setEvacuations(const membership::Evacuations &evacuations);
    // Records that this host handles events late, so that answers of the store may wait unread.
    void noteDelayed(TimePoint now);
    // Applies the stored progress of a job.
    void restoreProgress(jobs::JobKey key, const jobs::JobProgress &progress);
    // Applies the progress that another host stored while this leader had planned from its own.
    void applyForeignProgress(jobs::JobKey key, const jobs::JobProgress &progress, std::uint64_t version);
    void cancel(jobs::JobKey key);
    const jobs::Job *find(jobs::JobKey key) const;
    // Returns the number of accepted jobs per queue of which no task has begun.
    std::map<std::string, int> waitingCounts() const;

    // Workers.
    // Applies a row of the registry. A later start time ends no run; until the worker's listing
    // confirms it, the worker gets no new tasks.
    void updateWorker(const ports::WorkerEntry &entry, TimePoint now);
    void removeWorker(const WorkerId &id, TimePoint now);
    std::vector<WorkerId> workerIds() const;
    // Returns the roster to store: the workers on which tasks may run. A worker gets no task
    // before a roster was stored that lists it without `remainingJobs`, and none after another
    // roster was taken.
    std::vector<RosterEntry> takeRoster();
    // Returns whether the roster has changed since the last call.
    bool consumeRosterChanged();
    void markRosterChanged();
    void markRosterStored(std::span<const RosterEntry> roster);
    const ports::WorkerEntry *entryOf(const WorkerId &id) const;
    // Returns the next lease renewal for a worker. Its wait is zero until the worker has
    // confirmed the fence, and while the worker is silent. It extends no lease of a silent
    // worker, and acknowledges no end to a worker that is silent or whose entry announces a
    // restart.
    ports::LeaseOrder leaseOrder(const WorkerId &id, TimePoint now);
    // Applies the listing with which a worker answered a renewal sent at `sentAt`, after the
    // answer to the renewal before it.
    void applyListing(const WorkerId &id, const ports::WorkerListing &listing, TimePoint sentAt, TimePoint now);
    void markSilent(const WorkerId &id, TimePoint now);
    void applyStartReply(const StartTask &order, ports::StartResult answer, TimePoint now);
    // Handles a start order that got no reply or, unless `maybeStarted`, certainly was
    // not delivered. `failure` is logged.
    void applyStartFailure(const StartTask &order, bool maybeStarted, TimePoint now,
                           const Failure &failure = {ErrorKind::StoreReplyLost, {}});
    void confirmStop(const StopTask &order, TimePoint now);
    void applyStopFailure(const StopTask &order, TimePoint now);
    // Applies the listing with which a worker answered a query sent at `sentAt`. It may have overtaken
    // the answers to renewals, so that it only settles runs that are in doubt.
    void applyQueryAnswer(const QueryRuns &query, const ports::WorkerListing &listing, TimePoint sentAt, TimePoint now);
    void applyQueryFailure(const QueryRuns &query, TimePoint now);
    // Handles a pace order that was not confirmed; the next plan repeats it.
    void applyPaceFailure(const PaceTask &order);

    // Export and import the learned interference model, which a new leader inherits.
    std::vector<scheduling::LearnedInterference> learnedInterference() const;
    void restoreInterference(std::span<const scheduling::LearnedInterference> learned);

    // Returns the tasks to start, stop and pace now. Starts no more than `maxStarts` tasks, except
    // for a gang that is larger.
    Orders plan(TimePoint now, jobs::WallTime wall, int maxStarts = std::numeric_limits<int>::max());

    // Returns the sections of progress that are stored outdated, sorted, and clears the list.
    std::vector<jobs::ProgressSection> consumeChangedSections();
    void markChanged(const jobs::ProgressSection &section);
    // Fails a job whose progress does not fit into a row. The ends of its runs would otherwise stay
    // unacknowledged, and with them all later ends on the same workers.
    void abandonJob(jobs::JobKey key, TimePoint now);
    // Returns the run ends applied so far and not acknowledged. They may be
    // acknowledged once their effects are stored.
    std::vector<EndCursor> endCursors() const;
    void acknowledge(std::span<const EndCursor> cursors);
    // Marks a job's final state as stored; the job is dropped once it has no active runs.
    void markStored(jobs::JobKey key);
    // Returns the jobs that were dropped since the last call: nothing of them runs, and their end is stored.
    std::vector<DroppedJob> takeDroppedJobs();
    // Forgets that the rows of a job were read, which do not exist any more.
    void forget(jobs::JobKey key);

    // Returns event counters and the numbers of jobs and workers in constant time.
    const FleetCounts &counts() const;
    // Returns all counts but takeoverWait, for the state dump and metrics; visits every job and worker.
    FleetCounts fullCounts() const;
    // Returns how long the takeover still waits for workers that do not answer, at the latest.
    Duration takeoverWait(TimePoint now) const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace monsoonspool::execution
