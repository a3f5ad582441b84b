// Workers whose capacity shrinks and grows while they run.
#include "execution/testcluster.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <set>
#include <string>
#include <utility>
#include <vector>

namespace monsoonspool::execution {

namespace {

using namespace testcluster;

constexpr Resources Full{16000, 32000, 0};
constexpr Duration Beat = 1s; // between two reports of a worker
// The platform's bound of the time in which a leader in touch hears of a change.
constexpr Duration ContactTime = 4s;

WorkerId workerOf(int n)
{
    return WorkerId("w" + std::to_string(n));
}

// A change of one worker's capacity, and what else happens before the next one.
struct Change
{
    int worker = 0;
    Resources capacity;
    int pauseMs = 0;
    bool isJobSubmitted = false;
    bool isLongJob = false;
    bool isJobCancelled = false; // the one submitted last
    bool isLeaderReplaced = false;
};

rc::Gen<Change> changes()
{
    const auto rarely = rc::gen::map(rc::gen::inRange(0, 12), [](int n) { return n == 0; });
    return rc::gen::build<Change>(
        rc::gen::set(&Change::worker, rc::gen::inRange(0, WorkerCount)),
        rc::gen::set(&Change::capacity,
                     rc::gen::map(rc::gen::pair(rc::gen::inRange(0, 33), rc::gen::inRange(0, 17)),
                                  [](const std::pair<int, int> &it) {
                                      return Resources{it.first * 500, it.second * 1000, 0};
                                  })),
        rc::gen::set(&Change::pauseMs, rc::gen::inRange(0, 400)), rc::gen::set(&Change::isJobSubmitted),
        rc::gen::set(&Change::isLongJob), rc::gen::set(&Change::isJobCancelled, rarely),
        rc::gen::set(&Change::isLeaderReplaced, rarely));
}

void replaceLeader(Cluster &cluster)
{
    const int leader = cluster.leader();
    if (leader >= 0) {
        cluster.killHost(leader);
        cluster.startHost(leader);
    }
}

// Plays the changes and checks that no start exceeds a capacity that was known for `notice`, and
// that all jobs finish after the capacities have grown again.
void play(const std::vector<Change> &plan, double lossRate, Duration notice)
{
    Cluster cluster;
    cluster.workers.setCapacityNotice(notice);
    cluster.workers.setStopGrace(300ms);
    cluster.scheduler.runFor(2s);
    for (const auto &it : cluster.hosts) {
        it->storeFaults.lossRate = lossRate;
        it->workerFaults.lossRate = lossRate;
    }
    std::uint64_t key = 0;
    std::set<std::uint64_t> cancelled;
    for (const auto &it : plan) {
        cluster.setCapacity(workerOf(it.worker), it.capacity);
        if (it.isJobSubmitted) {
            ++key;
            if (it.isLongJob) {
                cluster.taskModel.overrides[{key}] = {3s, false, TaskSize};
            }
            cluster.submit(static_cast<int>(key % HostCount), key);
        }
        cluster.scheduler.runFor(std::chrono::milliseconds(it.pauseMs));
        if (it.isJobCancelled && cluster.answers.contains(key)) {
            cancelled.insert(key);
            cluster.host(0).loop->jobRequestHandler().cancel({key}, cluster.scheduler.now() + 1s, [](auto) {});
        }
        if (it.isLeaderReplaced) {
            replaceLeader(cluster);
        }
    }
    for (int n = 0; n < WorkerCount; ++n) {
        cluster.setCapacity(workerOf(n), Full);
    }
    for (const auto &it : cluster.hosts) {
        it->storeFaults.lossRate = 0;
        it->workerFaults.lossRate = 0;
    }
    cluster.scheduler.runFor(40s);
    RC_ASSERT(violationsOf(cluster) == std::string());
    for (const auto &[id, answer] : cluster.answers) {
        if (answer == SubmitResult::Accepted && !cancelled.contains(id)) {
            RC_ASSERT(cluster.workers.doneCount({id}) == TasksPerJob);
        }
    }
}

} // namespace

// While the store answers, a change is known within a moment.
TEST(WorkerCapacity, NoStartExceedsItWhateverItsChanges)
{
    EXPECT_TRUE(rc::check([] { play(*rc::gen::container<std::vector<Change>>(changes()), 0, 20ms); }));
}

TEST(WorkerCapacity, NoStartExceedsItWhenAnswersAreLost)
{
    EXPECT_TRUE(rc::check([] { play(*rc::gen::container<std::vector<Change>>(changes()), 0.1, ContactTime + Beat); }));
}

// Runs go on while their worker's capacity is less than what they hold, and work starts there soon
// after it has grown.
TEST(WorkerCapacity, WorkEndsWhereItShrinksAndStartsWhereItGrows)
{
    Cluster cluster;
    for (const std::uint64_t key : {1, 2}) {
        cluster.taskModel.overrides[{key}] = {1500ms, false, TaskSize};
    }
    cluster.scheduler.runFor(2s);
    cluster.submit(0, 1);
    cluster.scheduler.runFor(300ms);
    ASSERT_EQ(cluster.workers.startCount(), 3);
    for (int n = 0; n < WorkerCount; ++n) {
        cluster.setCapacity(workerOf(n), {TaskSize.milliCores - 1, 32000, 0});
    }
    cluster.submit(0, 2);
    cluster.scheduler.runFor(5s);
    EXPECT_EQ(cluster.workers.startCount(), 3);
    EXPECT_EQ(cluster.workers.doneCount({1}), 3) << "the first step";
    cluster.setCapacity(workerOf(0), Full);
    cluster.scheduler.runFor(Beat);
    EXPECT_EQ(cluster.workers.startCount(), 9) << "the second step of one job and the first one of the other";
    cluster.scheduler.runFor(10s);
    EXPECT_EQ(cluster.workers.doneCount({1}), TasksPerJob);
    EXPECT_EQ(cluster.workers.doneCount({2}), TasksPerJob);
    EXPECT_EQ(violationsOf(cluster), "");
}

} // namespace monsoonspool::execution
