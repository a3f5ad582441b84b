// What jobs cost the memory of a leader.
#include "execution/deferredjobs.h"
#include "execution/testcluster.h"

#include <gtest/gtest.h>
#include <malloc.h>

#include <set>
#include <string>

namespace monsoonspool::execution {

using namespace testcluster;

namespace {

// A host of the smallest deployment may use 260 MB, of which jobs get a quarter.
constexpr std::size_t MostBytes = 64UL * 1024 * 1024;

std::size_t heapBytes()
{
    const auto info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

std::size_t grownSince(std::size_t before)
{
    const auto now = heapBytes();
    return now > before ? now - before : 0;
}

struct Shape
{
    int steps = 1;
    int tasksPerStep = 1;
    int occurrences = 0;
    jobs::WallTime firstDue = jobs::WallTime(1s);
};

AcceptedJob makeJob(std::uint64_t key, const Shape &shape, std::string queue = "plans")
{
    AcceptedJob job;
    job.key = {key};
    job.policy.queue = std::move(queue);
    job.policy.service = Service;
    job.policy.maxAttempts = 3;
    job.spec.payload = "plan";
    job.spec.steps.resize(static_cast<std::size_t>(shape.steps));
    for (auto &it : job.spec.steps) {
        it.count = shape.tasksPerStep;
        it.needs = TaskSize;
        it.estimate = 400ms;
    }
    job.spec.occurrences = shape.occurrences;
    job.spec.firstDue = shape.firstDue;
    job.spec.interval = shape.occurrences > 0 ? 1s : 0s;
    job.version = key;
    return job;
}

void submit(Cluster &cluster, AcceptedJob job)
{
    const auto key = job.key.value;
    job.acceptedAt = cluster.wallNow();
    cluster.host(0).loop->jobRequestHandler().submit(
        std::move(job), cluster.scheduler.now() + 2500ms,
        [&cluster, key](SubmitResult answer) { cluster.answers[key] = answer; });
}

constexpr auto LargeNow = jobs::WallTime(100'000s); // all times of a job have come

} // namespace

// Guards against requests of some hundred bytes that end each leader: it built every task of every due time
// of a job at once, and exceeded the memory of its host.
TEST(JobMemory, NoJobsThatClientsMaySubmitFillALeader)
{
    struct Case
    {
        std::string_view name;
        Shape shape;
        int jobs;
    };
    const jobs::WallTime later = LargeNow - 9'000s; // comes due while the leader plans
    for (const auto &it : {Case{"one job with many due times", {1, 200, jobs::MaxOccurrences}, 1},
                           Case{"jobs with many steps", {jobs::MaxSteps, jobs::MaxTasksPerStep, 0}, 12},
                           Case{"many jobs with many tasks", {1, 1000, 0}, 2500},
                           Case{"times that come due after the acceptance", {1, 200, jobs::MaxOccurrences, later}, 1},
                           Case{"many steps and times", {jobs::MaxSteps, 1, jobs::MaxOccurrences}, 4},
                           Case{"many jobs with many times", {1, 1, jobs::MaxOccurrences}, 200},
                           Case{"all at once", {jobs::MaxSteps, jobs::MaxTasksPerStep, jobs::MaxOccurrences}, 50}}) {
        SCOPED_TRACE(it.name);
        NullLog log;
        const auto before = heapBytes();
        Fleet fleet(log);
        fleet.beginTerm({1}, 0, {}, TimePoint(1h), TimePoint(1h));
        auto now = TimePoint(1h);
        auto wall = LargeNow - 10'000s;
        for (std::uint64_t key = 1; key <= static_cast<std::uint64_t>(it.jobs); ++key) {
            fleet.addJob(makeJob(key, it.shape), now, wall);
        }
        for (int n = 0; n < 10 && grownSince(before) < MostBytes; ++n) {
            now += 1s;
            wall += 1'000s;
            fleet.plan(now, wall);
        }
        EXPECT_LT(grownSince(before), MostBytes);
    }
}

// Guards against a leader that takes as ended what it has released, or never opens it: each task of each time
// runs once, also when the leader changes in between.
TEST(JobMemory, EachTimeOfALargeJobRunsOnceAcrossLeaders)
{
    constexpr int times = 400;
    constexpr int tasks = 4;
    Cluster cluster;
    cluster.scheduler.runFor(2s);
    cluster.taskModel.overrides[{1}] = {50ms, false, TaskSize};
    submit(cluster, makeJob(1, {1, tasks, times}));
    cluster.scheduler.runFor(1s);
    ASSERT_EQ(cluster.answers[1], SubmitResult::Accepted);
    EXPECT_GT(cluster.workers.doneCount({1}), 0);
    EXPECT_LT(cluster.workers.doneCount({1}), times * tasks);
    cluster.killHost(cluster.leader());
    cluster.scheduler.runFor(60s);
    EXPECT_EQ(cluster.workers.doneCount({1}), times * tasks);
    EXPECT_EQ(violationsOf(cluster), "");
    const int survivor = cluster.leader();
    ASSERT_GE(survivor, 0);
    EXPECT_EQ(cluster.status(survivor, 1)->state, jobs::JobState::Completed);
}

// Guards against work of others that stands still beside a job of 2,000,000 tasks, which goes on itself.
TEST(JobMemory, JobsOfOthersBeginBesideAJobWithManyDueTimes)
{
    Cluster cluster;
    cluster.scheduler.runFor(2s);
    cluster.taskModel.overrides[{1}] = {600ms, false, TaskSize};
    const auto before = heapBytes();
    submit(cluster, makeJob(1, {1, 200, jobs::MaxOccurrences}));
    cluster.scheduler.runFor(12s);
    ASSERT_EQ(cluster.answers[1], SubmitResult::Accepted);
    for (std::uint64_t key = 10; key < 16; ++key) {
        cluster.submit(static_cast<int>(key % HostCount), key);
        cluster.scheduler.runFor(3s);
        EXPECT_EQ(cluster.answers[key], SubmitResult::Accepted);
        EXPECT_GT(cluster.workers.doneCount({key}), 0) << key;
    }
    EXPECT_GT(cluster.workers.doneCount({1}), 500);
    EXPECT_LT(grownSince(before), MostBytes);
    cluster.killHost(cluster.leader());
    cluster.scheduler.runFor(20s);
    cluster.submit(cluster.leader(), 20);
    cluster.scheduler.runFor(3s);
    EXPECT_GT(cluster.workers.doneCount({20}), 0);
    EXPECT_EQ(violationsOf(cluster), "");
}

// Guards against jobs that were accepted, find no room in the leader, and are forgotten or hold up those of
// other queues.
TEST(JobMemory, JobsWithoutRoomWaitAndAreTakenInTurn)
{
    NullLog log;
    Fleet fleet(log);
    fleet.beginTerm({1}, 0, {}, TimePoint(1h), TimePoint(1h));
    fleet.addJob(makeJob(1, {}), TimePoint(1h), LargeNow);
    const auto bytes = fleet.counts().jobBytes;
    fleet.setJobMemoryLimit(bytes * 6);
    for (std::uint64_t key = 2; key <= 9; ++key) {
        EXPECT_EQ(fleet.addJob(makeJob(key, {}), TimePoint(1h), LargeNow), key <= 3) << key;
        EXPECT_TRUE(fleet.hasRead({key}));
    }
    EXPECT_EQ(fleet.counts().deferredJobs, 6U);
    EXPECT_EQ(fleet.fullQueues(8), std::vector<std::string>({"plans"}));
    EXPECT_TRUE(fleet.addJob(makeJob(20, {}, "proofs"), TimePoint(1h), LargeNow));
    EXPECT_EQ(fleet.waitingCounts()["plans"], 9);
    EXPECT_EQ(fleet.takeDeferredJob(), std::nullopt);

    // A cancelled job is not read again; room that is given back goes to the oldest.
    fleet.cancel({4});
    for (const std::uint64_t key : {1, 2, 20}) {
        fleet.cancel({key});
    }
    EXPECT_EQ(fleet.takeDeferredJob(), jobs::JobKey{5});
    fleet.addDeferredJob(makeJob(5, {}), TimePoint(1h), LargeNow);
    EXPECT_FALSE(fleet.isDeferred({5}));
    EXPECT_NE(fleet.find({5}), nullptr);

    // A job that has runs is needed at once.
    WorkerEntry entry;
    entry.id = WorkerId("w0");
    fleet.updateWorker(entry, TimePoint(1h));
    WorkerListing listing;
    listing.ended.push_back({1, {{8}, 0, 0, 0}, 1, jobs::RunEnd::Done, {}});
    fleet.applyListing(entry.id, listing, TimePoint(1h), TimePoint(1h));
    fleet.noteJobsRead(TimePoint(2h));
    EXPECT_TRUE(fleet.endCursors().empty()) << "not acknowledged before its job was read";
    EXPECT_EQ(fleet.takeDeferredJob(), jobs::JobKey{8});
    fleet.addDeferredJob(makeJob(8, {}), TimePoint(1h), LargeNow);
    EXPECT_EQ(fleet.find({8})->state(), jobs::JobState::Completed);
    EXPECT_EQ(fleet.endCursors().size(), 1U);
}

// Guards against a store whose open jobs exceed what each new leader can hold: all of them run in the end, and
// those of another queue meanwhile.
TEST(JobMemory, AcceptedJobsThatExceedTheMemoryOfALeaderAllRun)
{
    constexpr std::uint64_t jobCount = 60;
    Cluster cluster;
    cluster.memoryBytes = 4 * 20'000; // for a dozen jobs
    for (int n = 0; n < HostCount; ++n) {
        cluster.killHost(n);
        cluster.startHost(n);
    }
    cluster.scheduler.runFor(15s);
    int refused = 0;
    for (std::uint64_t key = 1; key <= jobCount; ++key) {
        submit(cluster, makeJob(key, {1, 2, 0}));
    }
    cluster.scheduler.runFor(1s);
    const int leader = cluster.leader();
    ASSERT_GE(leader, 0);
    EXPECT_GT(cluster.host(leader).loop->summary().fleet.deferredJobs, 0U);
    submit(cluster, makeJob(1000, {1, 2, 0}));
    submit(cluster, makeJob(1, {1, 2, 0})); // again, as after a lost answer
    cluster.scheduler.runFor(1s);
    refused += cluster.answers[1000] == SubmitResult::Full ? 1 : 0;
    EXPECT_EQ(refused, 1);
    EXPECT_EQ(cluster.answers[1], SubmitResult::Accepted);
    cluster.killHost(leader);
    cluster.scheduler.runFor(90s);
    for (std::uint64_t key = 1; key <= jobCount; ++key) {
        EXPECT_EQ(cluster.workers.doneCount({key}), 2) << key;
    }
    EXPECT_EQ(cluster.workers.doneCount({1000}), 0);
    EXPECT_EQ(violationsOf(cluster), "");
}

// Guards against a row that no host accepts, but that is in the store: the leader must neither end nor stop.
TEST(JobMemory, ARowThatCannotBeRunIsSetAside)
{
    Cluster cluster;
    cluster.scheduler.runFor(2s);
    for (const int count : {-1, 0, 2'000'000'000}) {
        auto job = makeJob(static_cast<std::uint64_t>(count) & 0xffff'ffff, {1, 1, 0});
        job.spec.steps[0].count = count;
        cluster.put(jobRow(job.key), cluster.codec.encode(job));
    }
    cluster.scheduler.runFor(1s);
    cluster.submit(0, 7);
    cluster.scheduler.runFor(3s);
    EXPECT_EQ(cluster.workers.doneCount({7}), TasksPerJob);
}

TEST(DeferredJobs, ReturnsTheOldestOfEachQueueInTurn)
{
    DeferredJobs deferred;
    deferred.add({3}, "a", 30, 1);
    deferred.add({1}, "a", 10, 1);
    deferred.add({2}, "b", 20, 1);
    const auto take = [&](std::string_view withRoom) {
        const auto key = deferred.next([&](std::string_view queue, std::size_t) {
            return withRoom.find(queue.front()) != std::string_view::npos;
        });
        if (key) {
            deferred.remove(*key);
        }
        return key ? key->value : 0;
    };
    EXPECT_EQ(take(""), 0U);
    EXPECT_EQ(take("ab"), 1U);
    EXPECT_EQ(take("a"), 3U) << "the other queue has no room";
    EXPECT_EQ(take("ab"), 2U);
    EXPECT_EQ(deferred.size(), 0U);
}

} // namespace monsoonspool::execution
