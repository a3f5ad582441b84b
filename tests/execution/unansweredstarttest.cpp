// Crashes of workers whose start orders got no answer: which of them count against the task.
#include "testcluster.h"

#include <gtest/gtest.h>

#include <string>

namespace monsoonspool::execution {

namespace {

using namespace testcluster;

constexpr TimePoint Start{1h};
constexpr jobs::JobKey Sound{7};
const jobs::TaskId SoundTask{Sound, 0, 0, 0};
constexpr jobs::JobKey Poison{100};
const jobs::TaskId PoisonTask{Poison, 0, 0, 1};
constexpr int MaxCrashes = 5; // of workers under a task: two more starts are allowed after three
constexpr Duration OrderTimeout = 700ms;
constexpr std::uint64_t SoundJobs = 40;

// A leader and one worker, whose events the test applies.
class OneWorker
{
public:
    OneWorker()
    {
        fleet.beginTerm({1}, 0, {}, Start, Start);
        m_entry.id = WorkerId("w0");
        m_entry.service = Service;
        m_entry.address = {"10.0.0.1", 8000};
        m_entry.capacity = {16000, 32000, 0};
        m_entry.startTimeMs = 1;
        fleet.updateWorker(m_entry, now);
        list({});
        fleet.markRosterStored(fleet.takeRoster());
        AcceptedJob job;
        job.key = Sound;
        job.policy.service = Service;
        job.policy.maxAttempts = 3;
        job.spec.steps.resize(1);
        job.spec.steps.front().needs = TaskSize;
        fleet.addJob(std::move(job), now, {});
    }

    void list(std::vector<ListedRun> running, std::vector<ListedRunEnd> ended = {})
    {
        fleet.applyListing(
            m_entry.id,
            {toMilliseconds(now - m_processStart) + 1000, m_entry.startTimeMs, std::move(running), std::move(ended)},
            now - 1ms, now);
    }
    // The worker's process has ended, and another one answers after `downtime`.
    void restart(Duration downtime)
    {
        fleet.markSilent(m_entry.id, now);
        now += downtime;
        ++m_entry.startTimeMs;
        m_processStart = now;
        fleet.updateWorker(m_entry, now);
        list({});
    }
    // Plans until a task is started.
    std::optional<StartTask> nextStart(Duration patience)
    {
        for (const auto until = now + patience; now < until; now += 100ms) {
            const auto orders = fleet.plan(now, {});
            for (const auto &it : orders.stops) {
                fleet.confirmStop(it, now);
            }
            if (!orders.starts.empty()) {
                return orders.starts.front();
            }
            list({});
        }
        return std::nullopt;
    }
    int crashCount() const
    {
        const auto *job = fleet.find(Sound);
        return job == nullptr ? -1 : job->crashCount(SoundTask);
    }

    TimePoint now = Start;
    NullLog log;
    Fleet fleet{log};

private:
    WorkerEntry m_entry;
    TimePoint m_processStart = Start;
};

std::string crashName(int n)
{
    return "w" + std::to_string(n % WorkerCount);
}

// Crashes one worker after another for a time, silently.
void crashWorkers(Cluster &cluster, int count, Duration interval)
{
    for (int n = 0; n < count; ++n) {
        const WorkerId id(crashName(n));
        const bool isUp = cluster.workers.processNumber(id) != 0;
        if (isUp) {
            cluster.workers.crash(id, true);
        }
        cluster.scheduler.runFor(interval);
        if (isUp && cluster.workers.processNumber(id) == 0) {
            cluster.workers.restart(id, cluster.workers.entry(id).startTimeMs + 1);
        }
    }
}

void submitPoison(Cluster &cluster, bool isGang)
{
    AcceptedJob job;
    job.key = Poison;
    job.policy.queue = "plans";
    job.policy.service = Service;
    job.policy.maxAttempts = 3;
    job.spec.steps.resize(1);
    job.spec.steps.front().count = 3;
    job.spec.steps.front().isGang = isGang;
    job.spec.steps.front().needs = TaskSize;
    job.acceptedAt = cluster.wallNow();
    cluster.taskModel.overrides[Poison] = {isGang ? 30s : 400ms, false, TaskSize};
    cluster.taskModel.taskOverrides[PoisonTask] = {1s, false, TaskSize, Duration(0)};
    cluster.host(0).loop->jobRequestHandler().submit(std::move(job), cluster.scheduler.now() + 2500ms,
                                                     [&](SubmitResult it) { cluster.answers[Poison.value] = it; });
}

// Returns once that many workers have crashed under the task, or after `length`. The other members of
// a gang end with each crash.
void runUntilCrashes(Cluster &cluster, int crashes, Duration length)
{
    const auto &checker = cluster.workers.checker();
    for (const auto until = cluster.scheduler.now() + length; cluster.scheduler.now() < until;) {
        const int before = checker.crashCount(PoisonTask);
        if (before >= crashes) {
            return;
        }
        cluster.scheduler.runFor(10ms);
        if (checker.crashCount(PoisonTask) > before) {
            cluster.workers.breakGang(PoisonTask);
        }
    }
}

void expectGivenUp(Cluster &cluster)
{
    EXPECT_GE(cluster.workers.checker().crashCount(PoisonTask), 3);
    EXPECT_LE(cluster.workers.checker().crashCount(PoisonTask), MaxCrashes);
    const auto status = cluster.status(1, Poison.value);
    ASSERT_TRUE(status);
    EXPECT_EQ(status->state, jobs::JobState::Failed);
}

void submitSoundJobs(Cluster &cluster)
{
    for (std::uint64_t key = 1; key <= SoundJobs; ++key) {
        cluster.submit(static_cast<int>(key % HostCount), key);
        cluster.scheduler.runFor(100ms);
    }
}

void expectSoundJobsDone(Cluster &cluster)
{
    for (std::uint64_t key = 1; key <= SoundJobs; ++key) {
        EXPECT_EQ(cluster.answers[key], SubmitResult::Accepted);
        EXPECT_EQ(cluster.workers.doneCount({key}), TasksPerJob) << "job " << key;
    }
    EXPECT_EQ(violationsOf(cluster), "");
}

} // namespace

// Guards against failing a job whose task never ran: each of its orders went to a worker that had
// crashed before.
TEST(UnansweredStart, OrdersToACrashedWorkerFailNoJob)
{
    OneWorker worker;
    constexpr int rounds = 5;
    for (int round = 0; round < rounds; ++round) {
        const auto order = worker.nextStart(10s);
        ASSERT_TRUE(order) << "round " << round;
        worker.now += OrderTimeout;
        // Of a verified start, only the request before it is sent.
        worker.fleet.applyStartFailure(*order, !order->verifiesProcess, worker.now);
        worker.restart(round % 2 == 0 ? 1s : 9s);
        EXPECT_EQ(worker.crashCount(), 0);
    }
    const auto order = worker.nextStart(10s);
    ASSERT_TRUE(order);
    worker.fleet.applyStartReply(*order, StartResult::Accepted, worker.now);
    worker.now += 1s;
    worker.list({}, {{1, SoundTask, order->run, jobs::RunEnd::Done, {}}});
    ASSERT_NE(worker.fleet.find(Sound), nullptr);
    EXPECT_EQ(worker.fleet.find(Sound)->state(), jobs::JobState::Completed);
}

// Guards against starting a task without end whose starts are never answered.
TEST(UnansweredStart, AnOrderToAProcessThatWasAliveCounts)
{
    OneWorker worker;
    for (int crashes = 0; crashes <= 3; ++crashes) {
        EXPECT_EQ(worker.crashCount(), std::max(crashes - 1, 0));
        const auto order = worker.nextStart(10s);
        ASSERT_TRUE(order);
        EXPECT_EQ(order->verifiesProcess, crashes > 0);
        worker.now += OrderTimeout;
        worker.fleet.applyStartFailure(*order, true, worker.now);
        worker.restart(1s);
    }
    EXPECT_EQ(worker.fleet.find(Sound)->state(), jobs::JobState::Failed);
}

// Guards against taking a worker that does not answer, or whose answer was lost, for one that crashed.
TEST(UnansweredStart, ASilentWorkerAndALostAnswerCountNothing)
{
    OneWorker worker;
    const auto first = worker.nextStart(1s);
    ASSERT_TRUE(first);
    worker.now += OrderTimeout;
    worker.fleet.applyStartFailure(*first, true, worker.now);
    worker.now += 10ms;
    worker.list({{SoundTask, first->run, {}, 10, 0}}); // only the answer was lost
    worker.fleet.markSilent(WorkerId("w0"), worker.now);
    for (const auto until = worker.now + 9s; worker.now < until; worker.now += 500ms) {
        worker.fleet.plan(worker.now, {});
    }
    EXPECT_EQ(worker.fleet.counts().lapsed, 1U);
    worker.list({}, {{1, SoundTask, first->run, jobs::RunEnd::Lapsed, {}}}); // the same process answers
    EXPECT_EQ(worker.crashCount(), 0);
    EXPECT_EQ(worker.fleet.counts().workerCrashes, 0U);
    const auto second = worker.nextStart(10s);
    ASSERT_TRUE(second);
    EXPECT_TRUE(second->verifiesProcess) << "its former worker may have crashed";
}

// Guards against an unlimited number of crashes under a task whose starts are never answered, and
// against a new leader that does not know them.
TEST(UnansweredStart, ATaskThatCrashesWorkersBeforeTheirAnswerIsGivenUp)
{
    for (const bool isGang : {false, true}) {
        for (const auto downtime : {Duration(300ms), Duration(2s), Duration(9s)}) {
            for (const bool hasTakeover : {false, true}) {
                SCOPED_TRACE(std::string(isGang ? "gang " : "task ") + std::to_string(toMilliseconds(downtime)) + " ms"
                             + (hasTakeover ? ", takeover" : ""));
                Cluster cluster;
                cluster.workers.setCrashDowntime(downtime);
                cluster.scheduler.runFor(2s);
                submitPoison(cluster, isGang);
                if (hasTakeover && downtime < 9s) {
                    runUntilCrashes(cluster, 2, 60s);
                    const int leader = cluster.leader();
                    ASSERT_GE(leader, 0);
                    cluster.killHost(leader);
                    runUntilCrashes(cluster, MaxCrashes + 1, 3s);
                    cluster.startHost(leader);
                }
                runUntilCrashes(cluster, MaxCrashes + 1, 90s);
                EXPECT_EQ(violationsOf(cluster), "");
                expectGivenUp(cluster);
            }
        }
    }
}

// Guards against failing sound jobs on a day of crashes of another cause.
TEST(UnansweredStart, CrashesOfAnotherCauseFailNoJob)
{
    Cluster cluster;
    cluster.scheduler.runFor(2s);
    submitSoundJobs(cluster);
    crashWorkers(cluster, 40, 800ms);
    cluster.scheduler.runFor(60s);
    expectSoundJobsDone(cluster);
}

// Guards against a rule that tells the two cases apart only while the other one is absent.
TEST(UnansweredStart, ATaskThatCrashesWorkersIsGivenUpBesideCrashesOfAnotherCause)
{
    Cluster cluster;
    cluster.scheduler.runFor(2s);
    submitPoison(cluster, false);
    submitSoundJobs(cluster);
    crashWorkers(cluster, 40, 800ms);
    cluster.scheduler.runFor(60s);
    expectSoundJobsDone(cluster);
    expectGivenUp(cluster);
}

// Guards against charging a crash that falls into a change of leader: the new one does not know what
// ran on a worker that answers with another process than the roster's.
TEST(UnansweredStart, ACrashDuringATakeoverCountsNothing)
{
    Cluster cluster;
    cluster.taskModel.overrides[Sound] = {20s, false, TaskSize};
    cluster.scheduler.runFor(2s);
    cluster.submit(0, Sound.value);
    cluster.scheduler.runFor(1s);
    cluster.killHost(cluster.leader());
    for (int n = 0; n < WorkerCount; ++n) {
        cluster.workers.crash(WorkerId(crashName(n)), true);
        cluster.workers.restart(WorkerId(crashName(n)), 2);
    }
    cluster.scheduler.runFor(20s);
    const int leader = cluster.leader();
    ASSERT_GE(leader, 0);
    EXPECT_EQ(cluster.host(leader).loop->summary().fleet.workerCrashes, 0U);
    EXPECT_EQ(cluster.host(leader).loop->summary().fleet.crashedRuns, 0U);
    EXPECT_EQ(violationsOf(cluster), "");
}

} // namespace monsoonspool::execution
