#pragma once

#include "execution/fleet.h"
#include "jobs/runtimeestimator.h"
#include "scheduling/interferencefreecapacity.h"
#include "scheduling/interferencemodel.h"
#include "scheduling/waitingorder.h"
#include "scheduling/workerchooser.h"
#include "workers/worker.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace monsoonspool::execution {

// A job with what the fleet knows besides its own rules.
struct TrackedJob
{
    TrackedJob(AcceptedJob accepted, TimePoint acceptedAt);

    jobs::Job job;
    jobs::QueuePolicy acceptedPolicy;
    std::uint64_t version = 0;
    int runs = 0; // on all workers
    bool isStored = false; // its final state is

    // Expected run times of the steps' tasks, and what follows from them. Kept for a
    // moment, since every plan asks for them.
    std::vector<Duration> expected;
    Duration wholeChain{0};
    TimePoint expectedAt;
    scheduling::Rank rank;
    std::map<jobs::TaskId, std::vector<WorkerId>> avoided; // workers that failed a task
    int rankedOccurrence = -1;
    TimePoint rankedAt;
};

// A size that found no worker in the present plan.
struct FailedDemand
{
    std::string_view service;
    bool usesLeftover = false;
    std::optional<scheduling::ImageNumber> image; // if it decides where the task may go
    Resources needs;
};

// The state behind Fleet, shared by its event and planning parts.
struct Fleet::Private
{
    explicit Private(DecisionLog &decisionLog);

    const jobs::QueuePolicy &policyOf(const TrackedJob &job) const;
    TrackedJob *findJob(jobs::JobKey key);
    workers::Worker *findWorker(const WorkerId &id);
    // Returns the run that an order was about, or nullptr if it is over.
    workers::Run *findRun(const WorkerId &id, const jobs::TaskId &task, jobs::RunNumber number);
    workers::Worker &addWorker(const ports::WorkerEntry &entry);
    void eraseWorker(const WorkerId &id);

    // Ends of runs.
    void endRun(workers::Worker &worker, const jobs::TaskId &task, jobs::RunEnd how, std::string_view checkpoint,
                TimePoint now);
    void applyEnd(const jobs::TaskId &task, jobs::RunNumber run, jobs::RunEnd how, std::string_view checkpoint,
                  TimePoint now);
    void learnFromDone(workers::Worker &worker, const workers::Run &run, TimePoint now);
    void lapseAll(workers::Worker &worker, TimePoint now, std::string_view reason);
    void restart(workers::Worker &worker, std::int64_t bornMs, TimePoint now);
    void noteBegun(jobs::JobKey key);
    void dropIfOver(jobs::JobKey key);
    void noteHeard(const WorkerId &id);
    void dropAllOver();

    // Parts of noteListing().
    void takeEnds(workers::Worker &worker, const ports::WorkerListing &listing, TimePoint now);
    void takeRunning(workers::Worker &worker, const ports::WorkerListing &listing, TimePoint sentAt, TimePoint now);
    void observeInterference(workers::Worker &worker, TimePoint now);
    void describeRun(workers::Run &run, const jobs::StepSpec &spec);
    void adopt(workers::Worker &worker, const ports::ListedRun &listed, TimePoint now);
    void settleUnlisted(workers::Worker &worker, const ports::WorkerListing &listing, TimePoint sentAt, TimePoint now);

    // Parts of plan().
    struct WaitingStep
    {
        TrackedJob *job = nullptr;
        int occurrence = 0;
        int step = 0;
        scheduling::Rank rank;
    };
    void refreshExpected(TrackedJob &job, TimePoint now) const;
    scheduling::RankInput outlook(const TrackedJob &job, int occurrence, TimePoint now, jobs::WallTime wall) const;
    void noteLapses(TimePoint now);
    scheduling::Rank rankOf(TrackedJob &job, int occurrence, TimePoint now, jobs::WallTime wall);
    bool isBlocked(const TrackedJob &job, TimePoint now) const;
    void updateHarmlessRoom(std::span<const WaitingStep> waiting, TimePoint now);
    std::vector<WaitingStep> waitingSteps(TimePoint now, jobs::WallTime wall);
    void placeStep(const WaitingStep &waiting, TimePoint now, Orders &orders);
    void placeGang(const WaitingStep &waiting, TimePoint now, Orders &orders);
    workers::Worker *findRoom(const TrackedJob &job, const jobs::TaskId &task, std::string_view preferredRack,
                              TimePoint now);
    void orderStart(TrackedJob &job, const jobs::TaskId &task, workers::Worker &worker, jobs::RunNumber run,
                    TimePoint now, Orders &orders);
    void stopUnwanted(workers::Worker &worker, TimePoint now, Orders &orders);
    void evacuate(workers::Worker &worker, TimePoint now);
    void stopStuck(workers::Worker &worker, TimePoint now);
    void regulate(workers::Worker &worker, TimePoint now, Orders &orders);
    int roomPace(const workers::Worker &worker) const;
    void requestStop(workers::Run &run);
    jobs::RunNumber nextRun(const jobs::Task &task) const;

    DecisionLog &log;
    Epoch fence;
    std::uint64_t claimVersion = 0;
    TimePoint formerLeasesEnd;
    std::set<WorkerId> unheard; // workers of the former leader's roster that have not said what they run
    std::map<std::string, jobs::QueuePolicy, std::less<>> queues;
    std::unordered_map<jobs::JobKey, std::unique_ptr<TrackedJob>> jobsByKey;
    std::map<WorkerId, std::unique_ptr<workers::Worker>> workersById;
    std::vector<workers::Worker *> workers; // the same, in the order of their identifiers
    std::set<jobs::JobKey> changedJobs;
    bool isRosterChanged = false;
    jobs::RunTimeEstimator estimator;
    scheduling::InterferenceModel interference;
    scheduling::InterferenceFreeCapacity harmlessRoom;
    std::unique_ptr<scheduling::WaitingOrder> waitingOrder;
    std::unique_ptr<scheduling::WorkerChooser> workerChooser;
    std::vector<FailedDemand> failedDemands; // of the present plan
    FleetCounts counts;
};

} // namespace monsoonspool::execution
