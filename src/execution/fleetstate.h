#pragma once

#include "execution/deferredjobs.h"
#include "execution/fleet.h"
#include "jobs/memorybudget.h"
#include "jobs/runtimeestimator.h"
#include "scheduling/interferencefreecapacity.h"
#include "scheduling/interferencemodel.h"
#include "scheduling/localitywait.h"
#include "scheduling/overdueshare.h"
#include "scheduling/rackroom.h"
#include "scheduling/startpace.h"
#include "scheduling/throttledrun.h"
#include "scheduling/waitingorder.h"
#include "scheduling/workerchooser.h"
#include "workers/lostruns.h"
#include "workers/worker.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

namespace monsoonspool::execution {

// The cause may be the task itself if it stalled or failed this often: it is no longer moved for
// a stall, and its failures say nothing about its workers.
inline constexpr std::size_t MaxAvoidedWorkers = 3;

// A task or gang that waits for its rack.
struct RackWait
{
    TimePoint beganAt;
    TimePoint countsFrom; // for the bounds; earlier if the wait may have begun under a former leader
};

// A leader numbers its runs from (fence - 1) * RunNumbersPerTerm + 1, above those of
// all earlier leaders unless one of them has started a task more often.
inline constexpr jobs::RunNumber RunNumbersPerTerm = 1000;

// A job and the fleet's scheduling state for it.
struct TrackedJob
{
    TrackedJob(AcceptedJob accepted, TimePoint acceptedAt);

    jobs::Job job;
    jobs::QueuePolicy acceptedPolicy;
    Epoch knownFence; // see AcceptedJob
    std::uint64_t version = 0;
    int activeRuns = 0; // on all workers
    bool wasStartedOverdue = false; // see scheduling::RankInput; not known of jobs begun by a former leader
    bool isFinalStateStored = false;
    std::int64_t openTimedSteps = 0; // at the last plan; see Job::openSteps()
    int overdueOccurrences = 0; // at the last plan; see Job::overdueCount()
    std::size_t countedBytes = 0; // in the memory budget

    // Forecasts for each step's tasks, and values derived from them: a step takes as long as its longest
    // task. Cached for a short time because every plan needs them.
    std::vector<jobs::RunTimeForecast> runTimes;
    Duration criticalPath{0}; // the longest chain of dependent steps
    std::vector<Duration> pathTimesAfter; // of the longest chain of steps behind each one
    TimePoint expectedUpdatedAt;
    scheduling::Rank rank;
    std::map<jobs::TaskId, WorkerId> movedFrom; // workers that throttled the task
    std::map<jobs::TaskId, TimePoint> keptApartSince; // tasks that wait for a worker without a crash suspect
    std::map<jobs::TaskId, TimePoint> refusedSince; // steps, by their first task, that no worker takes at full pace
    std::map<jobs::TaskId, TimePoint> heldBackSince; // steps, by their first task, that wait behind a gang
    std::map<jobs::TaskId, RackWait> rackWaits; // tasks that wait for their rack; of a gang the first one
    int rankedOccurrence = -1;
    TimePoint rankedAt;
};

// The end of a run whose job has not been read. A former leader, which had read it, started
// the run.
struct HeldEnd
{
    WorkerId worker;
    std::int64_t startTimeMs = 0; // identifies the worker's incarnation
    TimePoint listedAt;
    ports::ListedRunEnd end;
};

// A demand for which the current plan found no worker.
struct UnplaceableDemand
{
    std::string_view service;
    bool usesLeftover = false;
    bool ignoresSuspicion = false;
    scheduling::ReducedStart reducedStart = scheduling::ReducedStart::No;
    std::optional<scheduling::ImageNumber> image; // set if the image restricts the eligible workers
    Resources needs;
};

// The state of waiting for racks.
struct RackState
{
    std::unique_ptr<scheduling::LocalityPolicy> policy; // nullptr if no task waits
    double remoteFactor = 1; // run time off the rack relative to the one on it
    scheduling::RackRoom room;
    std::map<std::string, std::vector<workers::Worker *>, std::less<>> workers; // by service and rack
    bool areWorkersOutdated = true;
    std::map<std::string, std::vector<UnplaceableDemand>> unplaceable; // as above, in the current plan
};

// Returns how often `needs` fit into `capacity`.
std::int64_t timesContained(const Resources &capacity, const Resources &needs);

// Time between two log lines about a takeover that waits for workers, or about lasting tasks that wait.
inline constexpr Duration TakeoverReportInterval = 2s;

// Time between two reports of how many jobs were done in time.
inline constexpr Duration OutcomeReportInterval = 5s;

// Time between two reports of what jobs take of the memory.
inline constexpr Duration MemoryReportInterval = 5s;

// Returns whether a job is counted by its outcome: it runs once, and ends.
bool isCountedByOutcome(const jobs::JobSpec &spec);
// Returns the number of start orders that a job needs if none of its runs fails.
int ordersNeeded(const jobs::JobSpec &spec);

// State of Fleet. Its event handling is in fleet.cpp, fleetlistings.cpp, fleetcrashes.cpp,
// fleetevacuation.cpp and fleettakeover.cpp; fleetplan.cpp makes a plan by the steps in
// fleetdraining.cpp, fleetpacing.cpp, fleetqueue.cpp, fleetplacement.cpp, fleetlocality.cpp,
// fleetmoves.cpp, fleetindoubt.cpp, fleetstandstill.cpp, fleetoutcomes.cpp and fleetmemory.cpp.
struct Fleet::Private
{
    explicit Private(DecisionLog &decisionLog);

    const jobs::QueuePolicy &policyOf(const TrackedJob &job) const;
    TrackedJob *findJob(jobs::JobKey key);
    workers::Worker *findWorker(const WorkerId &id);
    // Returns the run that an order refers to, or nullptr if it has ended.
    workers::Run *findRun(const WorkerId &id, const jobs::TaskId &task, jobs::RunNumber number);
    workers::Worker &addWorker(const ports::WorkerEntry &entry, TimePoint now);
    bool mayForget(const workers::Worker &worker) const;
    bool mayLeaveRoster(const workers::Worker &worker) const;
    void closeOrReopen(workers::Worker &worker);
    void eraseWorker(const WorkerId &id, TimePoint now);

    // Ends of runs.
    void endRun(workers::Worker &worker, const jobs::TaskId &task, jobs::RunEnd how, std::string_view checkpoint,
                TimePoint now);
    void applyEnd(const jobs::TaskId &task, jobs::RunNumber run, jobs::RunEnd how, std::string_view checkpoint,
                  TimePoint now);
    void applyHeldEnds(jobs::JobKey key, TimePoint now);
    void release(const HeldEnd &held);
    void noteFailure(workers::Worker &worker, const jobs::TaskId &task, TimePoint now);
    // Keeps a task off a worker on which a run that this leader did not know has failed.
    void noteFormerFailure(const WorkerId &worker, const jobs::TaskId &task);
    void recordCompletion(workers::Worker &worker, const workers::Run &run, TimePoint now);
    void expireRuns(workers::Worker &worker, TimePoint now, std::string_view reason);
    // Prepares a worker for the first listing of a new process, which resolves its runs.
    void handleRestart(workers::Worker &worker, std::int64_t startTimeMs, ports::WorkerMillis clock, TimePoint now);
    // Charges the crash of a worker to the tasks whose runs were lost with it.
    void chargeCrash(const WorkerId &worker, std::span<const workers::LostRun> runs, TimePoint now);
    // Called when a worker's lease has expired. Its crash is charged once a process has answered
    // in its place.
    void keepLostRuns(const workers::Worker &worker, TimePoint now);
    // Records which runs have been at work for long since the last crashes under their tasks.
    void noteHealthyRuns(workers::Worker &worker, TimePoint now);
    // Logs the size of a job with many tasks that are due.
    void reportIfLarge(const AcceptedJob &job, jobs::WallTime wall) const;
    std::unique_ptr<TrackedJob> track(AcceptedJob job, TimePoint now, jobs::WallTime wall) const;
    void addJob(std::unique_ptr<TrackedJob> tracked, TimePoint now);
    // Returns the approximate number of bytes that a job takes.
    static std::size_t memoryUse(const TrackedJob &job);
    // Brings the memory budget up to date with a job.
    void recountMemory(TrackedJob &job);
    void eraseJob(jobs::JobKey key);
    void noteDeferredProgress(jobs::JobKey key, const jobs::JobProgress &progress);
    // Forgets a deferred job that is over.
    void forgetDeferred(jobs::JobKey key, jobs::JobState state);
    // Logs at intervals what the jobs take, while that is much or jobs wait for room.
    void reportMemory(TimePoint now);
    void recordIfOver(TrackedJob &job, bool wasOpen, std::string_view cause, TimePoint now);
    // Marks the stored progress that a run of the task has changed as outdated.
    void markChanged(const TrackedJob &job, const jobs::TaskId &task);
    // Counts the end of a job by queue, size and punctuality.
    void noteOutcome(TrackedJob &job, TimePoint now);
    struct OpenJobs
    {
        std::size_t unstarted = 0;
        std::size_t late = 0; // past their soft deadline
        std::size_t tooLate = 0; // past their hard deadline
        Duration oldest{0};
    };
    // Returns the open jobs by queue and size class.
    std::map<std::pair<std::string, std::size_t>, OpenJobs> openJobsBySize(TimePoint now);
    // Logs at intervals how many jobs of each queue and size were done in time, and how many wait.
    void reportOutcomes(TimePoint now);
    void markBegun(jobs::JobKey key);
    void dropIfFinished(jobs::JobKey key);
    void markReported(const WorkerId &id, TimePoint now);
    void dropFinishedJobs();
    // Lets the next plan look at all workers with runs of a job, of which some may not be needed
    // any more.
    void visitWorkersOf(const TrackedJob &job);
    void takeOverRunsOf(TrackedJob &job);

    // Steps of applyListing().
    void applyEnds(workers::Worker &worker, const ports::WorkerListing &listing, TimePoint now);
    void applyRunning(workers::Worker &worker, const ports::WorkerListing &listing, TimePoint sentAt, TimePoint now);
    void observeInterference(workers::Worker &worker, TimePoint now);
    void applyStepSpec(workers::Run &run, const jobs::StepSpec &spec);
    void adoptRun(workers::Worker &worker, const ports::ListedRun &listed, TimePoint now);
    void takeOverRun(workers::Worker &worker, workers::Run run, TrackedJob *job);
    void resolveUnlistedRuns(workers::Worker &worker, const ports::WorkerListing &listing, TimePoint sentAt,
                             TimePoint now);
    void confirmListedRun(workers::Run &run, TimePoint sentAt, TimePoint now);

    // Steps of plan().
    struct WaitingStep
    {
        TrackedJob *job = nullptr;
        int occurrence = 0;
        int step = 0;
        scheduling::Rank rank;
    };
    struct Deadlines
    {
        TimePoint soft; // a job that completes by then is on time
        TimePoint hard; // a job that completes by then is late but still useful
    };
    // Follows from the expected run times as they were refreshed last.
    Deadlines deadlinesOf(const TrackedJob &job, TimePoint acceptedAt) const;
    void refreshExpectedRunTimes(TrackedJob &job, TimePoint now) const;
    scheduling::RankInput outlook(const TrackedJob &job, int occurrence, TimePoint now, jobs::WallTime wall) const;
    // Returns the workers whose runs the plan must look at, by identifier: those that have changed
    // since the last plan, and those that are not in their normal state.
    std::vector<workers::Worker *> workersToVisit(TimePoint now);
    // Keeps the worker for the next plan if it is not in its normal state, and for the time at which
    // a run counts as stuck.
    void scheduleNextVisit(workers::Worker &worker, TimePoint now);
    void endFormerLeases(TimePoint now);
    // Returns until when leases of former leaders may last on the worker.
    TimePoint formerLeasesEndOn(const WorkerId &worker) const;
    void setNamedSilent(std::set<WorkerId> named);
    // Logs what a takeover waits for, at intervals until it is complete.
    void reportTakeover(TimePoint now);
    // Log a bounded number of the workers that a takeover waits for longest, and of the jobs that wait longest.
    void reportUnreportedWorkers(TimePoint now) const;
    void reportHeldBackJobs(TimePoint now) const;
    // Returns until when the takeover waits at the latest; `now` if it waits for no worker.
    TimePoint takeoverEnd(TimePoint now) const;
    // Logs at intervals why lasting tasks do not run.
    void reportLastingTasks(TimePoint now);
    // Logs and counts at intervals which jobs have nothing at work although a task's turn has come.
    void reportStandstills(TimePoint now);
    // Logs and counts what runs on leftover cores, and the room for it.
    void reportLeftoverLoad(TimePoint now);
    struct Standstill
    {
        jobs::TaskId task;
        StandstillCause cause = StandstillCause::NotPlaced;
        TimePoint since;
        const workers::Worker *worker = nullptr; // of the run that the task waits for, if any
        jobs::RunNumber run = 0;
        Duration runAge{0};
    };
    struct UnconfirmedRun
    {
        const workers::Worker *worker = nullptr;
        const workers::Run *run = nullptr;
    };
    std::unordered_map<jobs::JobKey, UnconfirmedRun> jobsWithoutConfirmedRun() const;
    std::optional<jobs::TaskId> firstWaitingTask(const TrackedJob &job) const;
    StandstillCause causeOfWaiting(const TrackedJob &job, const jobs::TaskId &task, TimePoint now,
                                   std::vector<UnplaceableDemand> &refused);
    int lowestForecast(const TrackedJob &job, const jobs::TaskId &task, TimePoint now);
    void logStandstill(const Standstill &standstill, TimePoint now);
    // Returns the open jobs that wait for the workers that have not reported.
    std::vector<const TrackedJob *> heldBackJobs() const;
    // Returns the workers that are still known.
    std::vector<workers::Worker *> expireLeases(std::vector<workers::Worker *> visited, TimePoint now);
    scheduling::Rank rankOf(TrackedJob &job, int occurrence, TimePoint now, jobs::WallTime wall);
    bool isBlockedByTakeover(const TrackedJob &job) const;
    // Returns the latest time at which this leader certainly had no successor.
    TimePoint soleLeaderTime(TimePoint now) const;
    void updateInterferenceFreeCapacity(std::span<const WaitingStep> waiting, TimePoint now);
    std::vector<WaitingStep> waitingSteps(TimePoint now, jobs::WallTime wall);
    // Adds the steps of a job that wait to be started. Returns false if there are none, and none
    // becomes due by the passing of time.
    bool addWaitingSteps(TrackedJob &job, TimePoint now, jobs::WallTime wall, std::vector<WaitingStep> &waiting);
    // Starts tasks of a step, those for which `isMeant` returns true if it is given.
    void placeStep(const WaitingStep &waiting, int maxStarts, TimePoint now, jobs::WallTime wall, Orders &orders,
                   const std::function<bool(const jobs::Task &)> &isMeant = {});
    // Starts lasting tasks again whose runs have ended, before all other work.
    void replaceLostLastingTasks(std::span<const WaitingStep> waiting, int maxStarts, TimePoint now,
                                 jobs::WallTime wall, Orders &orders);
    // Gives a share of the starts to the oldest jobs that wait behind all that can be on time.
    void placeOverdue(std::span<const WaitingStep> waiting, int maxStarts, TimePoint now, jobs::WallTime wall,
                      Orders &orders);
    bool fitsIdleWorkers(const WaitingStep &waiting, TimePoint now);
    // Returns whether a task that may have room waits, so that a gang which ranks before it gets its turn.
    bool isHeldBack(TrackedJob &job, const scheduling::TaskDemand &demand, TimePoint now);
    // Returns whether half or more of the cores of the service's usable workers was reserved when the
    // current plan first asked.
    bool isHalfReserved(std::string_view service, TimePoint now);
    void placeGang(const WaitingStep &waiting, TimePoint now, jobs::WallTime wall, Orders &orders);
    // The place of a task.
    struct Placement
    {
        workers::Worker *worker = nullptr; // nullptr if there is none
        bool isReduced = false; // see workers::ReducedPace
    };
    // Returns the workers for the members of a gang, or for as many of them as fit. `rackKey`, if given, is
    // that of the only rack to use, see RackQuestion.
    std::vector<Placement> chooseMembers(const WaitingStep &waiting, std::string_view rackKey, TimePoint now);
    // Returns whether a gang takes longer on these workers than on others.
    static bool isOffRack(const jobs::StepSpec &spec, std::span<const Placement> members);
    scheduling::TaskDemand demandOf(const TrackedJob &job, const jobs::TaskId &task, std::string_view preferredRack,
                                    TimePoint now);
    // Returns whether the current plan uses suspect workers for the step like others.
    bool ignoresSuspicion(std::string_view service, const jobs::StepSpec &step, TimePoint now);
    // Returns whether a task that has failed waits for a worker that is not suspect.
    static bool awaitsSoundWorker(const TrackedJob &job, const jobs::TaskId &task, TimePoint now);
    // Returns whether workers had no room for a smaller demand.
    static bool isRuledOut(std::span<const UnplaceableDemand> unplaceable, const scheduling::TaskDemand &demand);
    static void ruleOut(std::vector<UnplaceableDemand> &unplaceable, const scheduling::TaskDemand &demand);
    // Returns the worker for a task that runs like any other, or nullptr if none takes it. `ranked`, if given, is
    // kept between calls for tasks of one step.
    workers::Worker *chooseWorker(TrackedJob &job, const jobs::TaskId &task, std::string_view preferredRack,
                                  TimePoint now, std::optional<scheduling::RankedWorkers> *ranked = nullptr);
    // Returns the place of a waiting task: as above, or for a reduced run if no worker has taken it for some time.
    Placement findPlace(const WaitingStep &waiting, const jobs::TaskId &task, std::string_view preferredRack,
                        TimePoint now, std::optional<scheduling::RankedWorkers> *ranked = nullptr);
    Placement findReducedPlace(TrackedJob &job, scheduling::TaskDemand demand, TimePoint now);
    void orderStart(TrackedJob &job, const jobs::TaskId &task, const Placement &placement, jobs::RunNumber run,
                    bool isRemote, TimePoint now, Orders &orders);

    // Waiting for the rack of a task's data, or of a gang for a rack with room for all members.
    enum class RackRoom {
        Unknown,
        None, // no worker that may run the task
        Full,
        Free,
    };
    // The question whether tasks of one step wait, in the current plan.
    struct RackQuestion
    {
        std::string_view rack;
        std::string key; // of the service's workers there
        scheduling::LocalityQuestion question;
        jobs::WallTime wall; // of the plan
        bool hasOutlook = false; // the times of the job are set, here and in `question`
        TimePoint acceptedAt; // of the job; when the occurrence was due for a timed job
        Resources missing; // on the rack: needs of a task, or of the members of a gang that do not fit
        RackRoom room = RackRoom::Unknown;
        int queued = 0; // tasks of the step that wait
    };
    // Returns nullopt if the tasks of the step wait for no rack.
    std::optional<RackQuestion> rackQuestion(const WaitingStep &waiting, jobs::WallTime wall) const;
    void addOutlook(const TrackedJob &job, const jobs::TaskId &task, RackQuestion &rack, TimePoint now) const;
    // Returns whether a task that waits already goes on waiting.
    bool keepsWaitingForRack(const TrackedJob &job, const jobs::TaskId &task, RackQuestion &rack, TimePoint now);
    // Returns whether a task that could start off its rack begins to wait instead.
    bool beginsToWaitForRack(TrackedJob &job, const jobs::TaskId &task, RackQuestion &rack, TimePoint now);
    void endRackWait(TrackedJob &job, const jobs::TaskId &task, const workers::Worker &worker, bool isRemote,
                     TimePoint now);
    void enqueueForRack(const TrackedJob &job, const jobs::TaskId &task, RackQuestion &rack);
    void enqueueRest(const WaitingStep &waiting, int alreadyQueued);
    void updateExpectedWait(const TrackedJob &job, const jobs::TaskId &task, RackQuestion &rack, TimePoint now);
    RackRoom roomOnRack(const TrackedJob &job, const jobs::TaskId &task, RackQuestion &rack, TimePoint now);
    void findRackForGang(const WaitingStep &waiting, RackQuestion &rack, TimePoint now);
    std::span<workers::Worker *const> workersOnRack(std::string_view key);
    void noteRoomFreed(const workers::Worker &worker, const workers::Run &run, TimePoint now);
    // Returns the run time that a run would have had on its rack.
    Duration onRack(const workers::Run &run, Duration runTime) const;
    Duration expectedRunTime(const TrackedJob &job, const workers::Run &run) const;

    bool mayBelongToUnreadJob(const workers::Run &run) const;
    void stopUnwantedRuns(workers::Worker &worker, TimePoint now, Orders &orders);
    TimePoint rowsUsableUntil(TimePoint now) const;
    bool mayStartTasks(TimePoint now);
    void applyEvacuations(workers::Worker &worker) const;
    TimePoint evacuationsUsableUntil() const;
    std::vector<EvacuatedDomain> evacuatedDomains() const;
    void reportEvacuations();
    void drainWorker(workers::Worker &worker, TimePoint now);
    void stopStuckRuns(workers::Worker &worker, TimePoint now);
    void adjustPaces(workers::Worker &worker, TimePoint now, Orders &orders);
    int capacityPace(const workers::Worker &worker) const;
    static int reducedCapacityPace(const workers::Worker &worker);
    void endReduction(workers::Worker &worker, TimePoint now);
    void slowDownReducedRuns(workers::Worker &worker, TimePoint now, Orders &orders);
    void noteThrottling(workers::Worker &worker, workers::Run &run, TimePoint now);
    // Stops throttled runs that another worker can take at full pace.
    void moveThrottledRuns(TimePoint now);
    workers::Worker *moveTarget(const workers::Worker &worker, const workers::Run &run, TimePoint now);
    bool isWorthMoving(TrackedJob &job, const workers::Run &run, TimePoint now) const;
    bool hasUnplaceableLeftoverWork() const;
    void requestStop(workers::Run &run);
    // Asks what has become of the worker's runs that are in doubt.
    void settleRunsInDoubt(workers::Worker &worker, TimePoint now, Orders &orders);
    // Sends the order of such a run again. Returns false if that cannot settle it.
    bool repeatStart(const workers::Worker &worker, workers::Run &run, TimePoint now, Orders &orders);
    static bool mayRepeatStart(const workers::Run &run, TimePoint now);
    void applyRepeatRefusal(workers::Run &run, ports::StartResult answer, TimePoint now);
    // Returns whether the worker certainly neither has a run that it does not list in an answer to a
    // request sent at `sentAt`, nor starts it later.
    static bool isGone(const workers::Run &run, ports::WorkerMillis clock, TimePoint sentAt);
    jobs::RunNumber nextRun(const jobs::Task &task) const;

    DecisionLog &log;
    Epoch fence;
    std::uint64_t claimVersion = 0;
    TimePoint termBeganAt;
    TimePoint termRenewedAt;
    TimePoint termEnd;
    TimePoint formerLeasesEnd;
    TimePoint takeoverReportDueAt;
    TimePoint lastingReportDueAt;
    TimePoint standstillReportDueAt;
    TimePoint outcomeReportDueAt;
    std::unordered_map<jobs::JobKey, TimePoint> jobsStandingSince; // at the last report
    std::set<WorkerId> unreportedWorkers; // on the former leader's roster; have not reported their runs
    std::map<WorkerId, TimePoint> formerLeaseEnds; // on workers that the claimed row names as silent
    std::set<WorkerId> witnesses; // see setWitnesses()
    std::set<WorkerId> namedSilent; // workers that the stored row may name as silent
    std::set<WorkerId> takenSilent; // those of the row that was taken last
    std::map<std::string, jobs::QueuePolicy, std::less<>> queues;
    std::unordered_map<jobs::JobKey, std::unique_ptr<TrackedJob>> jobsByKey;
    std::int64_t openTimedSteps = 0; // of all jobs
    jobs::MemoryBudget memory{DefaultJobMemoryLimit};
    DeferredJobs deferredJobs;
    std::vector<DroppedJob> droppedJobs;
    std::vector<DroppedJob> overWhileDeferred; // dropped once the takeover is complete
    TimePoint memoryReportDueAt;
    std::unordered_set<jobs::JobKey> readJobs; // in this term, including those that were dropped
    std::unordered_set<jobs::JobKey> unreadJobs; // of runs that workers listed before the job was read
    std::unordered_set<jobs::JobKey> jobsToPlace; // those that may have tasks to start
    std::map<jobs::JobKey, std::vector<HeldEnd>> heldEnds;
    std::map<WorkerId, std::unique_ptr<workers::Worker>> workersById;
    std::vector<workers::Worker *> workers; // the values of workersById, ordered by identifier
    std::unordered_set<workers::Worker *> changedWorkers; // since the last plan
    std::set<std::pair<TimePoint, WorkerId>> timedVisits; // see Worker::visitAt()
    std::set<WorkerId> throttlingWorkers; // with runs below full pace
    TimePoint movesDueAt;
    std::unique_ptr<scheduling::MovePolicy> movePolicy; // nullptr if runs are not moved
    std::set<WorkerId> workersWithEnds; // with ends that may not be acknowledged yet
    workers::LostRuns lostRuns;
    std::set<jobs::ProgressSection> changedSections; // whose stored progress is outdated
    bool isRosterChanged = false;
    std::optional<TimePoint> workersReadAt; // all entries stored before this time have been read
    std::optional<TimePoint> jobsReadAt; // all jobs and cancellations stored before this time have been read
    std::optional<membership::Evacuations> evacuations; // unset if none are followed
    std::set<FailureDomain> reportedEvacuations; // that were logged in this term
    std::optional<TimePoint> delayedAt; // last time that events were handled late
    bool areStartsSuspended = false; // since rows were read too long ago
    jobs::RunTimeEstimator estimator;
    scheduling::InterferenceModel interference;
    scheduling::InterferenceFreeCapacity interferenceFreeCapacity;
    std::unique_ptr<scheduling::WaitingOrder> waitingOrder;
    scheduling::OverdueShare overdueShare;
    scheduling::StartPace startPace;
    std::unique_ptr<scheduling::WorkerChooser> workerChooser;
    std::vector<UnplaceableDemand> unplaceableDemands; // of the current plan
    std::vector<UnplaceableDemand> gangDemands; // of gangs that wait for more workers, in the current plan
    std::map<std::string, bool, std::less<>> suspicionIgnored; // by service and label, in the current plan
    std::map<std::string, bool, std::less<>> halfReserved; // by service, in the current plan
    std::size_t reducedLooks = 0; // at workers, for reduced runs, in the current plan
    RackState racks;
    FleetCounts counts;
};

} // namespace monsoonspool::execution
