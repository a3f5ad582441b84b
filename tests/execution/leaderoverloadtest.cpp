// A leader whose processor is the bottleneck. Guards against a collapse: orders and renewals became
// late, runs lapsed, and one host after the other took over, adopted all runs and was late at once.
#include "execution/takeovercluster.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <string_view>

namespace monsoonspool::execution::takeover {

namespace {

// Each event on a host's control thread takes this long, so that a host handles 1,000 a second.
constexpr Duration EventCost = 1ms;
// A run takes three events or more: an answer to its start, its end, and its part of the plans.
constexpr int CapacityPerSecond = 250;
constexpr int TasksPerJob = 25;
constexpr Duration LoadTime = 20s;
constexpr Resources Needs{50, 50, 0};
constexpr Duration MaxCancelTime = 3s;

struct Outcome
{
    std::uint64_t fenceBefore = 0;
    std::uint64_t fence = 0;
    std::uint64_t done = 0;
    std::uint64_t lapsed = 0;
    int lateCancels = 0;
    std::size_t violations = 0;
};

class OverloadedCluster
{
public:
    OverloadedCluster() : m_cluster(1, false)
    {
        m_cluster.clock.runFor(4s); // a leader is elected and knows the workers
        for (auto &it : m_cluster.hosts) {
            it->thread.slowDown(1h, EventCost);
            it->orderFaults.maxDelay = 3ms;
        }
    }

    Outcome run(int startsPerSecond)
    {
        Outcome outcome;
        outcome.fenceBefore = leaderSummary().fence;
        const auto interval = Duration(1s) * TasksPerJob / startsPerSecond;
        const int jobs = static_cast<int>(LoadTime / interval);
        for (int n = 1; n <= jobs; ++n) {
            addJob(static_cast<std::uint64_t>(n));
            m_cluster.clock.runFor(interval);
            constexpr int cancelledShare = 20;
            if (n % cancelledShare == 0) {
                m_cluster.put(cancelRow({static_cast<std::uint64_t>(n)}), "x");
                m_cancels.push_back({{static_cast<std::uint64_t>(n)}, m_cluster.clock.now()});
            }
            outcome.lateCancels += countLateCancels();
        }
        const auto summary = leaderSummary();
        outcome.fence = summary.fence;
        outcome.done = summary.fleet.done;
        outcome.lapsed = summary.fleet.lapsed;
        outcome.violations = m_cluster.workers.violations().size();
        return outcome;
    }

private:
    struct Cancel
    {
        jobs::JobKey job;
        TimePoint at;
    };

    ExecutionSummary leaderSummary() const
    {
        const int n = m_cluster.leader();
        return n < 0 ? ExecutionSummary() : m_cluster.hosts[static_cast<std::size_t>(n)]->loop->summary();
    }

    void addJob(std::uint64_t key)
    {
        AcceptedJob job;
        job.key = {key};
        job.policy.queue = "plans";
        job.policy.service = Service;
        job.policy.maxAttempts = MaxAttempts;
        jobs::StepSpec step;
        step.count = TasksPerJob;
        step.needs = Needs;
        step.estimate = 500ms;
        job.spec.steps.push_back(step);
        job.acceptedAt = m_cluster.wallNow();
        job.knownFence = {leaderSummary().fence};
        m_cluster.model.specs[job.key] = job.spec;
        m_cluster.put(jobRow(job.key), m_cluster.codec.encode(job));
    }

    // Counts cancelled jobs that started a task later than MaxCancelTime after their cancellation.
    int countLateCancels()
    {
        return static_cast<int>(std::erase_if(m_cancels, [&](const Cancel &it) {
            const bool isDue = m_cluster.clock.now() - it.at > MaxCancelTime;
            return isDue && m_cluster.workers.hasRunOf(it.job);
        }));
    }

    Cluster m_cluster;
    std::vector<Cancel> m_cancels;
};

} // namespace

TEST(LeaderOverload, ALeaderWithMoreWorkThanItCanHandleStaysAndKeepsItsThroughput)
{
    const auto usual = OverloadedCluster().run(CapacityPerSecond);
    EXPECT_EQ(usual.fence, usual.fenceBefore);
    EXPECT_EQ(usual.lapsed, 0U);
    for (const int factor : {2, 5}) {
        SCOPED_TRACE(std::to_string(factor) + " times the capacity");
        const auto outcome = OverloadedCluster().run(factor * CapacityPerSecond);
        EXPECT_EQ(outcome.fence, outcome.fenceBefore) << "the leader has changed";
        EXPECT_EQ(outcome.lapsed, 0U);
        EXPECT_EQ(outcome.lateCancels, 0);
        EXPECT_EQ(outcome.violations, 0U);
        EXPECT_GE(static_cast<double>(outcome.done), 0.9 * static_cast<double>(usual.done));
    }
}

} // namespace monsoonspool::execution::takeover
