// Workers that start again under the identifier and address that they had, and incomplete listings.
#include "testcluster.h"

#include <gtest/gtest.h>

#include <functional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace monsoonspool::execution {

namespace {

using namespace testcluster;

constexpr TimePoint Start{1h};
const jobs::WallTime Wall{};
constexpr jobs::JobKey Key{7};
const jobs::TaskId Task{Key, 0, 0, 0};
const WorkerId First("w0");
const WorkerId Second("w1");

WorkerEntry entryOf(const WorkerId &id, std::int64_t startTimeMs)
{
    WorkerEntry entry;
    entry.id = id;
    entry.service = Service;
    entry.capacity = {32000, 64000, 0};
    entry.startTimeMs = startTimeMs;
    return entry;
}

AcceptedJob oneTaskJob(std::uint64_t version)
{
    AcceptedJob job;
    job.key = Key;
    job.policy.queue = "plans";
    job.policy.service = Service;
    job.policy.maxAttempts = 3;
    job.spec.steps.resize(1);
    job.spec.steps.front().needs = TaskSize;
    job.spec.steps.front().estimate = 1s;
    job.version = version;
    return job;
}

// A worker process's answer to a renewal that was sent and answered at the same time.
struct Listing
{
    std::int64_t startTimeMs = 1;
    WorkerMillis clock = 0;
    std::vector<ListedRun> running;
    std::vector<ListedRunEnd> ended;
    bool isTruncated = false;
};

// A fleet with one job of one task and workers that can take it.
class FleetOfWorkers
{
public:
    explicit FleetOfWorkers(std::vector<WorkerId> ids)
    {
        fleet.beginTerm({1}, 0, {}, Start, Start);
        for (const auto &it : ids) {
            fleet.updateWorker(entryOf(it, 1), Start);
            list(it, {1, FormerUptime, {}, {}}, Start);
        }
        fleet.markRosterStored(fleet.takeRoster());
        fleet.addJob(oneTaskJob(1), Start, Wall);
    }

    void list(const WorkerId &id, const Listing &listing, TimePoint now)
    {
        list(id, listing, now, now);
    }
    void list(const WorkerId &id, const Listing &listing, TimePoint sentAt, TimePoint now)
    {
        fleet.applyListing(
            id, {listing.clock, listing.startTimeMs, listing.running, listing.ended, listing.isTruncated}, sentAt, now);
    }
    // Orders the start of the task.
    StartTask order(TimePoint now)
    {
        const auto orders = fleet.plan(now, Wall);
        EXPECT_EQ(orders.starts.size(), 1U);
        return orders.starts.empty() ? StartTask() : orders.starts.front();
    }
    // Orders the start of the task, which the worker accepts.
    StartTask start(TimePoint now)
    {
        auto accepted = order(now);
        fleet.applyStartReply(accepted, StartResult::Accepted, now);
        return accepted;
    }
    std::size_t startsAt(TimePoint now)
    {
        return fleet.plan(now, Wall).starts.size();
    }
    bool isDone() const
    {
        const auto *job = fleet.find(Key);
        return job != nullptr && job->state() == jobs::JobState::Completed;
    }

    // Time since the workers' start at Start, far above that of a process that has just started.
    static constexpr WorkerMillis FormerUptime = 3'600'000;

    NullLog log;
    Fleet fleet{log};
};

} // namespace

// Guards against taking an entry as proof that the worker's runs are over: a task that the new
// process had accepted was started elsewhere at once.
TEST(WorkerRestart, AnEntryEndsNoRun)
{
    FleetOfWorkers workers({First, Second});
    const auto order = workers.start(Start + 1ms);
    workers.fleet.updateWorker(entryOf(order.worker, 2), Start + 10ms);
    EXPECT_EQ(workers.startsAt(Start + 10ms), 0U);
    workers.list(order.worker, {2, 100, {{order.task, order.run, {}, 10, 0}}, {}}, Start + 20ms);
    EXPECT_EQ(workers.startsAt(Start + 20ms), 0U);
    workers.list(order.worker, {2, 500, {}, {{1, order.task, order.run, jobs::RunEnd::Done, {}}}}, Start + 400ms);
    EXPECT_TRUE(workers.isDone());
}

// Guards against ignoring a worker that goes on running because an entry named a later start.
TEST(WorkerRestart, AnUntrueEntryDoesNotHideTheWorker)
{
    FleetOfWorkers workers({First, Second});
    const auto order = workers.start(Start + 1ms);
    workers.fleet.updateWorker(entryOf(order.worker, 9), Start + 10ms);
    workers.list(order.worker,
                 {1, FleetOfWorkers::FormerUptime + 500, {}, {{1, order.task, order.run, jobs::RunEnd::Done, {}}}},
                 Start + 500ms);
    EXPECT_EQ(workers.startsAt(Start + 500ms), 0U);
    EXPECT_TRUE(workers.isDone());
}

// Guards against starting tasks on a process that has not answered yet.
TEST(WorkerRestart, AWorkerTakesNoTaskWhileOnlyItsEntryTellsOfAStart)
{
    for (const std::int64_t confirmed : {1, 2}) {
        SCOPED_TRACE(confirmed);
        FleetOfWorkers workers({First});
        workers.fleet.updateWorker(entryOf(First, 2), Start + 10ms);
        EXPECT_EQ(workers.startsAt(Start + 10ms), 0U);
        if (confirmed == 1) {
            workers.fleet.updateWorker(entryOf(First, 1), Start + 20ms);
        } else {
            workers.list(First, {2, 100, {}, {}}, Start + 20ms);
        }
        EXPECT_EQ(workers.startsAt(Start + 20ms), 1U);
    }
}

// Guards against comparing the ends of a new process with the numbers of the former one, if
// listings do not tell the start time.
TEST(WorkerRestart, AListingWithoutAStartTimeIsOfTheProcessThatTheEntryNames)
{
    FleetOfWorkers workers({First});
    const jobs::TaskId other{{8}, 0, 0, 0};
    workers.list(First, {1, FleetOfWorkers::FormerUptime + 1, {}, {{5, other, 1, jobs::RunEnd::Done, {}}}}, Start);
    const auto order = workers.start(Start + 1ms);
    workers.fleet.updateWorker(entryOf(First, 2), Start + 10ms);
    workers.list(First, {0, 500, {}, {{1, order.task, order.run, jobs::RunEnd::Done, {}}}}, Start + 500ms);
    EXPECT_TRUE(workers.isDone());
}

// Guards against taking an entry as the worker's report to a new leader: tasks that the former
// leader had started were started again before their worker had listed them.
TEST(WorkerRestart, AnEntryIsNoReportToANewLeader)
{
    NullLog log;
    Fleet fleet{log};
    const std::vector<RosterEntry> roster = {{entryOf(First, 1), {}}, {entryOf(Second, 1), {}}};
    fleet.beginTerm({2}, 10, roster, Start + 7s, Start);
    fleet.addJob(oneTaskJob(5), Start, Wall);
    for (const auto &it : roster) {
        fleet.updateWorker(it.worker, Start);
    }
    fleet.applyListing(First, {1000, 1, {}, {}}, Start, Start);
    fleet.updateWorker(entryOf(Second, 2), Start + 10ms);
    EXPECT_TRUE(fleet.plan(Start + 10ms, Wall).starts.empty());
    fleet.applyListing(Second, {1000, 1, {{Task, 1, {}, 10, 0}}, {}}, Start + 20ms, Start + 20ms);
    EXPECT_TRUE(fleet.plan(Start + 20ms, Wall).starts.empty());
}

// Guards against ignoring a process whose time of day is behind that of the former one: its
// runs never ended, and the leader went on renewing its lease.
TEST(WorkerRestart, AProcessMayTellAnEarlierStartThanTheFormerOne)
{
    FleetOfWorkers workers({First});
    workers.list(First, {9, 1000, {}, {}}, Start);
    workers.fleet.updateWorker(entryOf(First, 9), Start);
    const auto order = workers.start(Start + 1ms);
    workers.fleet.markSilent(First, Start + 700ms);
    workers.list(First, {5, 100, {}, {}}, Start + 1s);
    EXPECT_EQ(workers.startsAt(Start + 1s), 0U) << "the entry is of the former process";
    workers.fleet.updateWorker(entryOf(First, 5), Start + 1s);
    EXPECT_EQ(workers.startsAt(Start + 1s), 1U);
    EXPECT_NE(workers.fleet.find(Key)->task(order.task).lastRun, order.run);
}

namespace {

// An entry of a process, and whether a task that needs the label "a" of a worker of Service, and TaskSize, may start on
// that process.
struct DescribedProcess
{
    const char *name;
    std::function<void(WorkerEntry &)> change;
    bool mayRunTask;
};

const std::vector<DescribedProcess> &describedProcesses()
{
    static const std::vector<DescribedProcess> processes = {
        {"of the same kind", [](WorkerEntry &) {}, true},
        {"of another kind", [](WorkerEntry &it) { it.kind = "b"; }, false},
        {"of another kind on a rack of the label's name",
         [](WorkerEntry &it) {
             it.kind = "b";
             it.rack = "a";
         },
         true},
        {"of another service", [](WorkerEntry &it) { it.service = ServiceName("other"); }, false},
        {"too small", [](WorkerEntry &it) { it.capacity.milliCores = TaskSize.milliCores - 1; }, false},
        {"leaving", [](WorkerEntry &it) { it.isDraining = true; }, false},
    };
    return processes;
}

WorkerEntry entryOfKindA(std::int64_t startTimeMs)
{
    auto entry = entryOf(First, startTimeMs);
    entry.kind = "a";
    return entry;
}

AcceptedJob jobForKindA()
{
    auto job = oneTaskJob(1);
    job.spec.steps.front().requiredLabel = "a";
    return job;
}

} // namespace

// Guards against starts by what is known of a former process: a worker that had started again as another kind got tasks
// that need the former kind, until its entry was replaced (review/8).
TEST(WorkerRestart, ANewProcessTakesNoTaskByTheEntryOfTheFormerOne)
{
    for (const auto &it : describedProcesses()) {
        SCOPED_TRACE(it.name);
        NullLog log;
        Fleet fleet{log};
        fleet.beginTerm({1}, 0, {}, Start, Start);
        fleet.updateWorker(entryOfKindA(1), Start);
        fleet.applyListing(First, {1000, 1, {}, {}}, Start, Start);
        fleet.markRosterStored(fleet.takeRoster());
        fleet.applyListing(First, {10, 2, {}, {}}, Start + 10ms, Start + 10ms);
        fleet.addJob(jobForKindA(), Start + 10ms, Wall);
        EXPECT_TRUE(fleet.plan(Start + 10ms, Wall).starts.empty()) << "the new process is not described";
        fleet.updateWorker(entryOfKindA(1), Start + 20ms); // the row of the former process, with news of its own
        EXPECT_TRUE(fleet.plan(Start + 20ms, Wall).starts.empty());
        auto entry = entryOfKindA(2);
        it.change(entry);
        fleet.updateWorker(entry, Start + 30ms);
        EXPECT_EQ(fleet.plan(Start + 30ms, Wall).starts.size(), it.mayRunTask ? 1U : 0U);
    }
}

// Guards against the same by the entries in the stored roster, with which a new leader begins.
TEST(WorkerRestart, ANewLeaderStartsNothingByTheRostersEntryOfAFormerProcess)
{
    for (const auto &it : describedProcesses()) {
        SCOPED_TRACE(it.name);
        NullLog log;
        Fleet fleet{log};
        const std::vector<RosterEntry> roster = {{entryOfKindA(1), {}}};
        fleet.beginTerm({2}, 10, roster, Start + 7s, Start);
        fleet.addJob(jobForKindA(), Start, Wall);
        fleet.updateWorker(entryOfKindA(1), Start); // the row of the former process is still there
        fleet.applyListing(First, {10, 2, {}, {}}, Start, Start);
        EXPECT_TRUE(fleet.plan(Start, Wall).starts.empty()) << "the process that answers is not described";
        auto entry = entryOfKindA(2);
        it.change(entry);
        fleet.updateWorker(entry, Start + 10ms);
        fleet.markRosterStored(fleet.takeRoster());
        EXPECT_EQ(fleet.plan(Start + 10ms, Wall).starts.size(), it.mayRunTask ? 1U : 0U);
    }
}

// Guards against dropping the entry of a process whose time of day is behind that of the former one, if the entry
// arrives before the process answers: the worker got no task until its entry changed.
TEST(WorkerRestart, AnEntryMayArriveBeforeItsProcessAnswersAndTellAnEarlierStart)
{
    for (const auto &it : describedProcesses()) {
        SCOPED_TRACE(it.name);
        NullLog log;
        Fleet fleet{log};
        fleet.beginTerm({1}, 0, {}, Start, Start);
        fleet.updateWorker(entryOfKindA(9), Start);
        fleet.applyListing(First, {1000, 9, {}, {}}, Start, Start);
        fleet.markRosterStored(fleet.takeRoster());
        auto entry = entryOfKindA(5);
        it.change(entry);
        fleet.updateWorker(entry, Start + 10ms);
        fleet.applyListing(First, {10, 5, {}, {}}, Start + 20ms, Start + 20ms);
        fleet.addJob(jobForKindA(), Start + 20ms, Wall);
        EXPECT_EQ(fleet.plan(Start + 20ms, Wall).starts.size(), it.mayRunTask ? 1U : 0U);
    }
}

// Guards against never reaching such a process at another address.
TEST(WorkerRestart, ASilentWorkerIsReachedAtTheAddressOfAnEarlierStart)
{
    FleetOfWorkers workers({First});
    workers.list(First, {9, 1000, {}, {}}, Start);
    auto moved = entryOf(First, 5);
    moved.address = {"10.0.0.2", 80};
    workers.fleet.updateWorker(moved, Start + 10ms);
    EXPECT_NE(workers.fleet.entryOf(First)->address, moved.address) << "the former process answers: an outdated row";
    workers.fleet.markSilent(First, Start + 700ms);
    workers.fleet.updateWorker(moved, Start + 800ms);
    EXPECT_EQ(workers.fleet.entryOf(First)->address, moved.address);
}

namespace {

// Restarts a worker while the leader's renewal is pending without an answer, so that orders on
// other connections reach the new process before the leader hears of it.
void restartUnnoticed(Cluster &cluster, const WorkerId &id, Duration unanswered)
{
    const auto until = cluster.scheduler.now() + unanswered;
    const auto renewal = "renew " + id.text();
    for (const auto &it : cluster.hosts) {
        it->workerFaults.rule = [=](std::string_view call, TimePoint now) -> std::optional<Fault> {
            return call == renewal && now < until ? std::optional(Fault{2ms, true, false}) : std::nullopt;
        };
    }
    cluster.scheduler.runFor(60ms); // until the last answer of the former process has arrived
    cluster.registersRestarts = false;
    cluster.workers.restart(id, 2);
}

// Submits jobs that occupy most of each worker.
void submitJobs(Cluster &cluster, std::uint64_t firstKey)
{
    for (int n = 0; n < 12; ++n) {
        cluster.submit(n % HostCount, firstKey + static_cast<std::uint64_t>(n));
    }
}

void expectAllDone(const Cluster &cluster)
{
    for (const auto &[id, answer] : cluster.answers) {
        EXPECT_EQ(answer, SubmitResult::Accepted) << "job " << id;
        EXPECT_EQ(cluster.workers.doneCount({id}), TasksPerJob) << "job " << id;
    }
    EXPECT_EQ(violationsOf(cluster), "");
}

} // namespace

// Guards against starting elsewhere what the new process has accepted before its entry arrives.
TEST(WorkerRestart, TasksOfANewProcessSurviveItsEntry)
{
    Cluster cluster;
    cluster.scheduler.runFor(2s);
    restartUnnoticed(cluster, First, 1s);
    submitJobs(cluster, 1);
    cluster.scheduler.runFor(200ms);
    cluster.put({"workers", "", First.text()}, "ready");
    cluster.scheduler.runFor(20s);
    expectAllDone(cluster);
}

// Guards against acknowledging ends of the former process to the new one, which numbers its ends
// anew: it then forgot ends that nobody had read, and their tasks ran again.
TEST(WorkerRestart, ARenewalAfterSilenceAcknowledgesNothing)
{
    FleetOfWorkers workers({First});
    const jobs::TaskId other{{8}, 0, 0, 0};
    auto job = oneTaskJob(2);
    job.key = other.job;
    workers.fleet.addJob(std::move(job), Start, Wall); // the end of an unread job is not acknowledged
    workers.list(First, {1, FleetOfWorkers::FormerUptime + 1, {}, {{5, other, 1, jobs::RunEnd::Done, {}}}}, Start);
    workers.fleet.acknowledge(workers.fleet.endCursors());
    EXPECT_EQ(workers.fleet.leaseOrder(First, Start + 1ms).acknowledgedEnd, 5);
    workers.fleet.markSilent(First, Start + 700ms);
    EXPECT_EQ(workers.fleet.leaseOrder(First, Start + 1s).acknowledgedEnd, 0);
    workers.list(First, {1, FleetOfWorkers::FormerUptime + 1000, {}, {}}, Start + 1s);
    EXPECT_EQ(workers.fleet.leaseOrder(First, Start + 1s).acknowledgedEnd, 5);
}

TEST(WorkerRestart, ARenewalAfterAnAnnouncedRestartAcknowledgesNothing)
{
    FleetOfWorkers workers({First});
    const jobs::TaskId other{{8}, 0, 0, 0};
    auto job = oneTaskJob(2);
    job.key = other.job;
    workers.fleet.addJob(std::move(job), Start, Wall);
    workers.list(First, {1, FleetOfWorkers::FormerUptime + 1, {}, {{5, other, 1, jobs::RunEnd::Done, {}}}}, Start);
    workers.fleet.acknowledge(workers.fleet.endCursors());
    workers.fleet.updateWorker(entryOf(First, 2), Start + 10ms);
    EXPECT_EQ(workers.fleet.leaseOrder(First, Start + 20ms).acknowledgedEnd, 0);
    workers.fleet.updateWorker(entryOf(First, 1), Start + 30ms); // the entry was untrue
    EXPECT_EQ(workers.fleet.leaseOrder(First, Start + 40ms).acknowledgedEnd, 5);
}

TEST(WorkerRestart, EndsThatNobodyHasReadAreKept)
{
    Cluster cluster;
    cluster.scheduler.runFor(2s);
    submitJobs(cluster, 1);
    cluster.scheduler.runFor(10s);
    restartUnnoticed(cluster, First, 900ms);
    submitJobs(cluster, 101);
    cluster.scheduler.runFor(20s);
    expectAllDone(cluster);
}

// Guards against ending, at a restart, a run whose order the new process may still carry out.
TEST(WorkerRestart, AnUnansweredOrderIsStoppedBeforeItsTaskRunsElsewhere)
{
    FleetOfWorkers workers({First, Second});
    const auto order = workers.order(Start + 1ms);
    workers.fleet.applyStartFailure(order, true, Start + 700ms);
    workers.fleet.markSilent(order.worker, Start + 700ms);
    workers.list(order.worker, {2, 100, {}, {}}, Start + 1s);
    const auto orders = workers.fleet.plan(Start + 1s, Wall);
    EXPECT_TRUE(orders.starts.empty());
    ASSERT_EQ(orders.stops.size(), 1U);
    EXPECT_EQ(orders.stops.front().run, order.run);
    workers.list(order.worker, {2, 200, {}, {}}, Start + 1100ms);
    EXPECT_EQ(workers.startsAt(Start + 1100ms), 0U);
    workers.fleet.confirmStop(orders.stops.front(), Start + 1200ms);
    workers.list(order.worker, {2, 400, {}, {}}, Start + 1300ms);
    EXPECT_EQ(workers.startsAt(Start + 1300ms), 1U);
}

// Guards against ignoring an answer to a start that arrives after the restart was noticed.
TEST(WorkerRestart, AnAnswerAfterTheRestartWasNoticedCounts)
{
    for (const bool isListed : {true, false}) {
        SCOPED_TRACE(isListed ? "accepted by the new process" : "accepted by the former process");
        FleetOfWorkers workers({First, Second});
        const auto order = workers.order(Start + 1ms);
        workers.list(order.worker, {2, 100, {}, {}}, Start + 10ms);
        EXPECT_EQ(workers.startsAt(Start + 10ms), 0U);
        workers.fleet.applyStartReply(order, StartResult::Accepted, Start + 20ms);
        EXPECT_EQ(workers.startsAt(Start + 20ms), 0U);
        Listing listing{2, 130, {}, {}};
        if (isListed) {
            listing.running.push_back({order.task, order.run, {}, 10, 0});
        }
        workers.list(order.worker, listing, Start + 40ms);
        EXPECT_EQ(workers.startsAt(Start + 40ms), isListed ? 0U : 1U);
    }
}

// Guards against ending a run that the new process accepted after it had listed its runs.
TEST(WorkerRestart, AnAnswerMayOvertakeTheListingThatTellsOfTheRestart)
{
    FleetOfWorkers workers({First, Second});
    const auto order = workers.order(Start + 1ms);
    workers.fleet.applyStartReply(order, StartResult::Accepted, Start + 20ms);
    workers.list(order.worker, {2, 100, {}, {}}, Start + 10ms, Start + 30ms);
    EXPECT_EQ(workers.startsAt(Start + 30ms), 0U);
    workers.list(order.worker, {2, 200, {{order.task, order.run, {}, 20, 0}}, {}}, Start + 110ms);
    EXPECT_EQ(workers.startsAt(Start + 110ms), 0U);
}

// Guards against relying on a stop that the former process confirmed.
TEST(WorkerRestart, AStopConfirmedByTheFormerProcessDoesNotBindTheNewOne)
{
    for (const bool isLate : {false, true}) {
        SCOPED_TRACE(isLate ? "confirmed after the restart was noticed" : "confirmed before");
        FleetOfWorkers workers({First, Second});
        const auto order = workers.order(Start + 1ms);
        workers.fleet.applyStartFailure(order, true, Start + 700ms);
        workers.list(order.worker, {1, FleetOfWorkers::FormerUptime + 800, {}, {}}, Start + 800ms);
        const auto orders = workers.fleet.plan(Start + 800ms, Wall);
        ASSERT_EQ(orders.stops.size(), 1U);
        if (!isLate) {
            workers.fleet.confirmStop(orders.stops.front(), Start + 810ms);
        }
        workers.list(order.worker, {2, 100, {}, {}}, Start + 1s);
        EXPECT_EQ(workers.fleet.plan(Start + 1s, Wall).stops.size(), 1U) << "the new process is told too";
        if (isLate) {
            workers.fleet.confirmStop(orders.stops.front(), Start + 1010ms);
        }
        workers.list(order.worker, {2, 200, {}, {}}, Start + 1100ms);
        EXPECT_EQ(workers.startsAt(Start + 1100ms), 0U);
    }
}

// Guards against taking a lease as expired that the new process was given by a deadline of the
// former clock. The platform shortens it to 10 s.
TEST(WorkerRestart, ADeadlineOfTheFormerClockGivesTheLongestLease)
{
    FleetOfWorkers workers({First, Second});
    workers.fleet.leaseOrder(First, Start); // reaches the new process
    workers.fleet.leaseOrder(Second, Start);
    const auto order = workers.start(Start + 1ms);
    workers.list(order.worker, {2, 100, {{order.task, order.run, {}, 5, 0}}, {}}, Start + 100ms);
    EXPECT_EQ(workers.fleet.leaseOrder(order.worker, Start + 100ms).deadline, 6100) << "renewals prolong it no further";
    workers.fleet.markSilent(order.worker, Start + 800ms);
    EXPECT_EQ(workers.startsAt(Start + 9900ms), 0U);
    EXPECT_EQ(workers.startsAt(Start + 10500ms), 1U);
}

// Guards against taking a run as stopped whose end is not among the listed ones yet: workers list
// the first 500 ends that are not acknowledged.
TEST(WorkerListing, ARunMayHaveEndedAfterTheLastListedEnd)
{
    FleetOfWorkers workers({First});
    const auto order = workers.start(Start + 1ms);
    Listing listing{1, FleetOfWorkers::FormerUptime + 1000, {}, {}};
    listing.isTruncated = true;
    constexpr int listedEnds = 500;
    for (int n = 0; n < listedEnds; ++n) {
        listing.ended.push_back({n + 1, {{8}, 0, 0, n}, 1, jobs::RunEnd::Done, {}});
    }
    workers.list(First, listing, Start + 1s);
    EXPECT_EQ(workers.startsAt(Start + 1s), 0U);
    workers.list(First,
                 {1, FleetOfWorkers::FormerUptime + 1100, {}, {{501, order.task, order.run, jobs::RunEnd::Done, {}}}},
                 Start + 1100ms);
    EXPECT_TRUE(workers.isDone());
}

// A worker that the leader has forgotten and that returns is a new one: numbers of ends that were
// on their way to be acknowledged do not count for its next process.
TEST(WorkerRestart, AForgottenWorkerReturnsWithoutAHistory)
{
    FleetOfWorkers workers({First, Second});
    const jobs::TaskId other{{8}, 0, 0, 0};
    auto job = oneTaskJob(2);
    job.key = other.job;
    workers.fleet.addJob(std::move(job), Start, Wall);
    workers.list(First, {1, FleetOfWorkers::FormerUptime + 1, {}, {{5, other, 1, jobs::RunEnd::Done, {}}}}, Start);
    const auto cursors = workers.fleet.endCursors();
    ASSERT_EQ(cursors.size(), 1U);
    workers.fleet.acknowledge(cursors); // otherwise the worker is not forgotten
    workers.fleet.removeWorker(First, Start + 1ms);
    EXPECT_EQ(workers.fleet.entryOf(First), nullptr);
    workers.fleet.updateWorker(entryOf(First, 2), Start + 2ms);
    workers.fleet.acknowledge(cursors);
    EXPECT_EQ(workers.fleet.leaseOrder(First, Start + 3ms).acknowledgedEnd, 0);
    workers.list(First, {2, 100, {}, {}}, Start + 10ms);
    workers.fleet.acknowledge(cursors);
    EXPECT_EQ(workers.fleet.leaseOrder(First, Start + 20ms).acknowledgedEnd, 0);
}

TEST(WorkerRestart, TasksRunOnceOnAWorkerThatIsUnlistedAndReturns)
{
    for (const bool isRestarted : {false, true}) {
        for (const auto away : {Duration(100ms), Duration(600ms), Duration(2s)}) {
            SCOPED_TRACE(std::to_string(toMilliseconds(away)) + (isRestarted ? " ms, restarted" : " ms"));
            Cluster cluster;
            cluster.registersRestarts = false;
            cluster.scheduler.runFor(2s);
            submitJobs(cluster, 1);
            cluster.scheduler.runFor(200ms);
            const RowName row{"workers", "", First.text()};
            cluster.rows.apply({{}, {}, {row}});
            if (isRestarted) {
                cluster.workers.restart(First, 2);
            }
            cluster.scheduler.runFor(away);
            cluster.put(row, "ready");
            submitJobs(cluster, 101);
            cluster.scheduler.runFor(20s);
            expectAllDone(cluster);
        }
    }
}

TEST(WorkerRestart, ADelayedOrderRunsItsTaskOnce)
{
    for (const auto delay : {Duration(300ms), Duration(1500ms)}) {
        SCOPED_TRACE(toMilliseconds(delay));
        Cluster cluster;
        cluster.scheduler.runFor(2s);
        const auto until = cluster.scheduler.now() + 40ms;
        for (const auto &it : cluster.hosts) {
            it->workerFaults.rule = [=](std::string_view call, TimePoint now) -> std::optional<Fault> {
                const bool isDelayed = call == "start " + First.text() && now < until;
                return isDelayed ? std::optional(Fault{delay, false, true}) : std::nullopt;
            };
        }
        submitJobs(cluster, 1);
        cluster.scheduler.runFor(40ms);
        cluster.workers.restart(First, 2);
        cluster.scheduler.runFor(20s);
        expectAllDone(cluster);
    }
}

// Guards against a former leader that starts tasks on a restarted worker, which has forgotten the
// fence of the successor: the successor runs them elsewhere.
TEST(WorkerRestart, ARestartedWorkerTakesNoTaskOfAFormerLeader)
{
    Cluster cluster;
    cluster.taskModel.overrides[{7}] = {60s, false, TaskSize};
    cluster.scheduler.runFor(2s);
    const int former = cluster.leader();
    ASSERT_GE(former, 0);
    cluster.host(former).workerFaults.isCut = true;
    cluster.scheduler.runFor(5s);
    cluster.submit((former + 1) % HostCount, 7);
    cluster.scheduler.runFor(300ms); // the leader reads the job
    cluster.host(former).storeFaults.isCut = true;
    cluster.scheduler.runFor(4s);
    EXPECT_EQ(cluster.workers.runningCount(), 3) << "started by the successor";
    const WorkerId restarted("w5");
    for (int n = 0; n < HostCount; ++n) {
        const bool reachesRestarted = n == former;
        cluster.host(n).workerFaults.isCut = false;
        cluster.host(n).workerFaults.rule = [=](std::string_view call, TimePoint) {
            return call.ends_with("w5") == reachesRestarted ? std::nullopt : std::optional(Fault{2ms, true, false});
        };
    }
    cluster.workers.restart(restarted, 5000);
    cluster.scheduler.runFor(1500ms);
    for (auto &it : cluster.hosts) {
        it->workerFaults.rule = {};
        it->storeFaults.isCut = false;
    }
    cluster.scheduler.runFor(20s);
    EXPECT_EQ(violationsOf(cluster), "");
}

} // namespace monsoonspool::execution
