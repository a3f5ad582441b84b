// A leader whose thread was late for a while, and is in time again.
#include "execution/rackfleet.h"
#include "execution/takeovercluster.h"

#include <gtest/gtest.h>

namespace monsoonspool::execution::takeover {

namespace {

constexpr int TasksPerJob = 4;
constexpr Duration JobInterval = 4ms;
constexpr double DuePerSecond = TasksPerJob / std::chrono::duration<double>(JobInterval).count();
constexpr Duration SlowTime = 8s; // of the leader's thread
constexpr Duration EventCost = 2ms; // while the thread is slow

class DisturbedLeader
{
public:
    DisturbedLeader() : m_cluster(1, false)
    {
        for (auto &it : m_cluster.hosts) {
            it->orderFaults.maxDelay = 3ms;
        }
        m_cluster.clock.runFor(4s); // a leader is elected and knows the workers
    }

    // Returns the mean number of starts a second.
    double submitFor(Duration time)
    {
        const auto before = summary().fleet.starts;
        for (Duration passed{0}; passed < time; passed += JobInterval) {
            addJob(++m_jobs);
            m_cluster.clock.runFor(JobInterval);
        }
        return static_cast<double>(summary().fleet.starts - before) / std::chrono::duration<double>(time).count();
    }

    void slowDown()
    {
        for (auto &it : m_cluster.hosts) {
            it->thread.slowDown(SlowTime, EventCost);
        }
    }

    ExecutionSummary summary() const
    {
        const int n = m_cluster.leader();
        return n < 0 ? ExecutionSummary() : m_cluster.hosts[static_cast<std::size_t>(n)]->loop->summary();
    }

private:
    void addJob(std::uint64_t key)
    {
        AcceptedJob job;
        job.key = {key};
        job.policy.queue = "plans";
        job.policy.service = Service;
        job.policy.maxAttempts = MaxAttempts;
        jobs::StepSpec step;
        step.count = TasksPerJob;
        step.needs = {50, 50, 0};
        step.estimate = 200ms;
        job.spec.steps.push_back(step);
        job.acceptedAt = m_cluster.wallNow();
        job.knownFence = {summary().fence};
        m_cluster.model.specs[job.key] = job.spec;
        m_cluster.put(jobRow(job.key), m_cluster.codec.encode(job));
    }

    Cluster m_cluster;
    std::uint64_t m_jobs = 0;
};

} // namespace

// Guards against a limit that stays low for good although the thread is in time and the workers are idle.
TEST(StartLimitRecovery, ALeaderThatWasLateOrdersAllThatIsDueAgain)
{
    DisturbedLeader leader;
    const double before = leader.submitFor(5s);
    EXPECT_NEAR(before, DuePerSecond, DuePerSecond * 0.1);
    const int usualLimit = leader.summary().load.startLimit;
    leader.slowDown();
    leader.submitFor(SlowTime);
    EXPECT_LT(leader.summary().load.startLimit, usualLimit / 4) << "the thread was not slow enough";
    leader.submitFor(10s); // works off the backlog
    EXPECT_GE(leader.submitFor(5s), DuePerSecond * 0.9);
    EXPECT_LT(leader.summary().fleet.dueTasks, static_cast<std::size_t>(DuePerSecond));
}

// Guards against a gang that waits for a higher limit, which doesn't grow since the plan ended below it.
TEST(StartLimitRecovery, APlanThatEndsBeforeAGangIsLimited)
{
    rackfleet::RackFleet racks({}, 1, 10, 10);
    auto step = rackfleet::stepOn({});
    step.count = 5;
    racks.submit(1, step, 1s);
    step.count = 20;
    step.isGang = true;
    racks.submit(2, step, 20s);
    constexpr int maxStarts = 8;
    const auto orders = racks.fleet.plan(racks.now, rackfleet::Wall, maxStarts);
    EXPECT_EQ(orders.starts.size(), 5U);
    EXPECT_TRUE(orders.areStartsLimited);
    EXPECT_FALSE(racks.fleet.plan(racks.now, rackfleet::Wall, 100).areStartsLimited);
}

} // namespace monsoonspool::execution::takeover
