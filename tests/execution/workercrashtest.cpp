// Tasks that crash the workers that start them, and the tasks beside them.
#include "testcluster.h"

#include <gtest/gtest.h>

#include <string>

namespace monsoonspool::execution {

namespace {

using namespace testcluster;

constexpr TimePoint Start{1h};
constexpr jobs::JobKey Poison{100};
const jobs::TaskId PoisonTask{Poison, 0, 0, 1};
constexpr std::uint64_t InnocentJobs = 20;
constexpr int MaxCrashes = 5; // of workers under a task: two more starts are allowed after three

TaskProfile crashing(Duration after, Duration runTime = 1s)
{
    return {runTime, false, TaskSize, after};
}

void submitInnocents(Cluster &cluster)
{
    for (std::uint64_t key = 1; key <= InnocentJobs; ++key) {
        cluster.submit(static_cast<int>(key % HostCount), key);
    }
}

void expectInnocentsDone(Cluster &cluster)
{
    for (std::uint64_t key = 1; key <= InnocentJobs; ++key) {
        EXPECT_EQ(cluster.answers[key], SubmitResult::Accepted);
        EXPECT_EQ(cluster.workers.doneCount({key}), TasksPerJob) << "job " << key;
    }
    EXPECT_EQ(violationsOf(cluster), "");
}

void expectGivenUp(Cluster &cluster)
{
    EXPECT_GE(cluster.workers.checker().crashCount(PoisonTask), 3);
    EXPECT_LE(cluster.workers.checker().crashCount(PoisonTask), MaxCrashes);
    const auto status = cluster.status(1, Poison.value);
    ASSERT_TRUE(status);
    EXPECT_EQ(status->state, jobs::JobState::Failed);
}

} // namespace

// Guards against starting a task without end that crashes each worker that starts it. The
// worker is back before, or only after, the lease of its runs has expired.
TEST(WorkerCrash, ATaskThatCrashesItsWorkersIsGivenUp)
{
    for (const auto downtime : {Duration(300ms), Duration(2s), Duration(9s)}) {
        for (const auto after : {Duration(50ms), Duration(900ms)}) {
            SCOPED_TRACE(std::to_string(toMilliseconds(downtime)) + " ms, " + std::to_string(toMilliseconds(after)));
            Cluster cluster;
            cluster.workers.setCrashDowntime(downtime);
            cluster.taskModel.taskOverrides[PoisonTask] = crashing(after);
            cluster.scheduler.runFor(2s);
            cluster.submit(0, Poison.value);
            cluster.scheduler.runFor(100ms);
            submitInnocents(cluster);
            cluster.scheduler.runFor(60s);
            expectInnocentsDone(cluster);
            expectGivenUp(cluster);
        }
    }
}

// Guards against a count of crashes that ends with the leader that saw them.
TEST(WorkerCrash, ANewLeaderGivesUpATaskThatCrashedWorkersBefore)
{
    Cluster cluster;
    cluster.taskModel.taskOverrides[PoisonTask] = crashing(400ms);
    cluster.scheduler.runFor(2s);
    cluster.submit(0, Poison.value);
    submitInnocents(cluster);
    for (int n = 0; n < 4; ++n) {
        cluster.scheduler.runFor(5s);
        const int leader = cluster.leader();
        ASSERT_GE(leader, 0);
        cluster.killHost(leader);
        cluster.scheduler.runFor(3s);
        cluster.startHost(leader);
    }
    cluster.scheduler.runFor(60s);
    expectInnocentsDone(cluster);
    EXPECT_LE(cluster.workers.checker().crashCount(PoisonTask), MaxCrashes);
    const auto status = cluster.status(1, Poison.value);
    ASSERT_TRUE(status);
    EXPECT_EQ(status->state, jobs::JobState::Failed);
}

// Guards against giving up a task because workers crashed that had other tasks beside it, or
// for a cause of their own.
TEST(WorkerCrash, TwoCrashesOfAnotherCauseFailNoJob)
{
    Cluster cluster;
    for (std::uint64_t key = 1; key <= InnocentJobs; ++key) {
        cluster.taskModel.overrides[{key}] = {1500ms, false, TaskSize};
    }
    cluster.scheduler.runFor(2s);
    submitInnocents(cluster);
    for (int round = 0; round < 2; ++round) {
        cluster.scheduler.runFor(1s);
        for (int n = 0; n < WorkerCount; ++n) {
            cluster.workers.crash(WorkerId("w" + std::to_string(n)), true);
        }
        cluster.scheduler.runFor(1s);
        for (int n = 0; n < WorkerCount; ++n) {
            cluster.workers.restart(WorkerId("w" + std::to_string(n)), 2 + round);
        }
    }
    cluster.scheduler.runFor(90s);
    expectInnocentsDone(cluster);
}

// Guards against tasks that wait beside free capacity since all workers have crashed at once, as
// in a power cut, so that each worker has a suspect.
TEST(WorkerCrash, TasksOfManyCrashedWorkersStartAgainSoon)
{
    constexpr Resources smallTask{500, 500, 0};
    Cluster cluster;
    cluster.scheduler.runFor(2s);
    for (std::uint64_t key = 1; key <= InnocentJobs; ++key) {
        cluster.taskModel.overrides[{key}] = {40s, false, smallTask};
        AcceptedJob job;
        job.key = {key};
        job.policy.queue = "plans";
        job.policy.service = Service;
        job.policy.maxAttempts = 3;
        job.spec.steps.resize(1);
        job.spec.steps.front().needs = smallTask;
        job.acceptedAt = cluster.wallNow();
        cluster.host(0).loop->jobRequestHandler().submit(std::move(job), cluster.scheduler.now() + 2500ms,
                                                         [&, key](SubmitResult it) { cluster.answers[key] = it; });
    }
    cluster.scheduler.runFor(2s);
    const auto startsBefore = cluster.workers.startCount();
    ASSERT_EQ(startsBefore, static_cast<int>(InnocentJobs));
    for (int n = 0; n < WorkerCount; ++n) {
        cluster.workers.crash(WorkerId("w" + std::to_string(n)), true);
    }
    cluster.scheduler.runFor(1s);
    for (int n = 0; n < WorkerCount; ++n) {
        cluster.workers.restart(WorkerId("w" + std::to_string(n)), 2);
    }
    cluster.scheduler.runFor(5s);
    EXPECT_EQ(cluster.workers.startCount() - startsBefore, startsBefore);
}

// Guards against taking a worker that was cut off for one that crashed.
TEST(WorkerCrash, AWorkerThatIsCutOffHasNotCrashed)
{
    Cluster cluster;
    cluster.taskModel.overrides[Poison] = {60s, false, TaskSize};
    cluster.scheduler.runFor(2s);
    cluster.submit(0, Poison.value);
    for (int n = 0; n < 4; ++n) {
        cluster.scheduler.runFor(1s);
        for (int worker = 0; worker < WorkerCount; ++worker) {
            cluster.workers.setDisconnected(WorkerId("w" + std::to_string(worker)), true);
        }
        cluster.scheduler.runFor(9s);
        for (int worker = 0; worker < WorkerCount; ++worker) {
            cluster.workers.setDisconnected(WorkerId("w" + std::to_string(worker)), false);
        }
    }
    cluster.scheduler.runFor(1s);
    const int leader = cluster.leader();
    ASSERT_GE(leader, 0);
    EXPECT_GT(cluster.host(leader).loop->summary().fleet.lapsed, 0U);
    EXPECT_EQ(cluster.host(leader).loop->summary().fleet.workerCrashes, 0U);
    const auto status = cluster.status(1, Poison.value);
    ASSERT_TRUE(status);
    EXPECT_FALSE(jobs::isFinal(status->state));
}

// Guards against missing a crash because the next process at the address has another identifier.
TEST(WorkerCrash, AProcessWithAnotherIdentifierShowsTheCrashOfTheFormerOne)
{
    struct Case
    {
        const char *name;
        bool hasAnnouncedLeaving;
        bool isSameAddress;
        bool isAnswered; // the start
        Duration answersAfter; // from the silence of the former process
        std::uint64_t crashes;
        int charged;
    };
    const Case cases[] = {
        {"back before the lease has expired", false, true, true, 2s, 1, 1},
        {"back after the lease has expired", false, true, true, 9s, 1, 1},
        {"may have crashed before the start was sent", false, true, false, 2s, 1, 0},
        {"it had left", true, true, true, 2s, 0, 0},
        {"another address", false, false, true, 2s, 0, 0},
    };
    for (const auto &it : cases) {
        SCOPED_TRACE(it.name);
        NullLog log;
        Fleet fleet(log);
        fleet.beginTerm({1}, 0, {}, Start, Start);
        WorkerEntry entry;
        entry.id = WorkerId("w0");
        entry.service = Service;
        entry.address = {"10.0.0.1", 8000};
        entry.capacity = {16000, 32000, 0};
        entry.startTimeMs = 1;
        fleet.updateWorker(entry, Start);
        fleet.applyListing(entry.id, {1000, 1, {}, {}}, Start, Start);
        fleet.markRosterStored(fleet.takeRoster());
        AcceptedJob job;
        job.key = Poison;
        job.policy.service = Service;
        job.policy.maxAttempts = 3;
        job.spec.steps.resize(1);
        job.spec.steps.front().needs = TaskSize;
        fleet.addJob(std::move(job), Start, {});
        const auto orders = fleet.plan(Start, {});
        ASSERT_EQ(orders.starts.size(), 1U);
        if (it.isAnswered) {
            fleet.applyStartReply(orders.starts.front(), StartResult::Accepted, Start + 1ms);
        } else {
            fleet.applyStartFailure(orders.starts.front(), true, Start + 1ms);
        }
        if (it.hasAnnouncedLeaving) {
            entry.isDraining = true;
            fleet.updateWorker(entry, Start + 1ms);
        }
        fleet.markSilent(entry.id, Start + 10ms);
        auto next = entry;
        next.id = WorkerId("w1");
        next.startTimeMs = 5;
        next.isDraining = false;
        next.address.port = it.isSameAddress ? 8000 : 8001;
        for (auto now = Start; now < Start + 12s; now += 500ms) {
            if (now >= Start + it.answersAfter) {
                fleet.updateWorker(next, now);
                fleet.applyListing(next.id, {toMilliseconds(now - Start) + 100, 5, {}, {}}, now, now);
            }
            fleet.plan(now, {});
        }
        EXPECT_EQ(fleet.counts().lapsed, 1U);
        EXPECT_EQ(fleet.counts().workerCrashes, it.crashes);
        EXPECT_EQ(fleet.find(Poison)->crashCount({Poison, 0, 0, 0}), it.charged);
        EXPECT_EQ(fleet.find(Poison)->crashSuspicion({Poison, 0, 0, 0}), static_cast<int>(it.crashes));
    }
}

// Guards against keeping the crashes of a lasting task whose next run, which was at work for long,
// began before the crash was shown.
TEST(WorkerCrash, ALongRunClearsACrashThatWasShownAfterItsStart)
{
    NullLog log;
    Fleet fleet(log);
    fleet.beginTerm({1}, 0, {}, Start, Start);
    WorkerEntry entries[2];
    for (int n = 0; n < 2; ++n) {
        entries[n].id = WorkerId("w" + std::to_string(n));
        entries[n].service = Service;
        entries[n].address = {"10.0.0.1", static_cast<std::uint16_t>(8000 + n)};
        entries[n].capacity = {16000, 32000, 0};
        entries[n].startTimeMs = 1;
    }
    const auto listing = [&](int n, TimePoint now, std::vector<ListedRun> running) {
        fleet.applyListing(entries[n].id, {toMilliseconds(now - Start) + 1000, entries[n].startTimeMs, running, {}},
                           now - 1ms, now);
    };
    fleet.updateWorker(entries[0], Start);
    listing(0, Start, {});
    fleet.markRosterStored(fleet.takeRoster());
    AcceptedJob job;
    job.key = Poison;
    job.policy.service = Service;
    job.policy.maxAttempts = 3;
    job.spec.steps.resize(1);
    job.spec.steps.front().needs = TaskSize;
    job.spec.steps.front().isLasting = true;
    fleet.addJob(std::move(job), Start, {});
    const auto first = fleet.plan(Start, {});
    ASSERT_EQ(first.starts.size(), 1U);
    fleet.applyStartReply(first.starts.front(), StartResult::Accepted, Start + 1ms);
    fleet.markSilent(entries[0].id, Start + 10ms);
    fleet.updateWorker(entries[1], Start + 20ms);
    listing(1, Start + 20ms, {});
    fleet.markRosterStored(fleet.takeRoster());
    std::optional<StartTask> second;
    for (auto now = Start + 500ms; now < Start + 40s; now += 500ms) {
        std::vector<ListedRun> running;
        if (second) {
            running.push_back({second->task, second->run, {}, 100, 0});
        }
        listing(1, now, running);
        const auto orders = fleet.plan(now, {});
        if (!orders.starts.empty()) {
            second = orders.starts.front();
            fleet.applyStartReply(*second, StartResult::Accepted, now);
        }
        if (now == Start + 12s) {
            ASSERT_TRUE(second);
            entries[0].startTimeMs = 2;
            listing(0, now, {});
            EXPECT_EQ(fleet.find(Poison)->crashCount({Poison, 0, 0, 0}), 1);
        }
    }
    EXPECT_EQ(fleet.counts().workerCrashes, 1U);
    EXPECT_EQ(fleet.find(Poison)->crashCount({Poison, 0, 0, 0}), 0);
}

} // namespace monsoonspool::execution
