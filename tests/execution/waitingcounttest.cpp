#include "execution/testcluster.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <initializer_list>
#include <optional>
#include <string_view>
#include <vector>

namespace monsoonspool::execution {

using namespace testcluster;

namespace {

using Calls = std::initializer_list<std::string_view>;

// Answers to these calls of the host are lost.
void loseAnswers(Cluster &cluster, int host, Calls calls)
{
    cluster.host(host).storeFaults.rule = [calls = std::vector<std::string_view>(calls)](std::string_view call,
                                                                                         TimePoint) {
        return std::ranges::find(calls, call) != calls.end() ? std::optional(Fault{1900ms, false, true}) : std::nullopt;
    };
}

// Returns the number of waiting jobs as told by the host, or -1 if it tells that it is not known.
int askWaiting(Cluster &cluster, int host)
{
    std::optional<int> count;
    cluster.host(host).loop->waitingJobs("plans", cluster.scheduler.now() + 2500ms, [&](const auto &result) {
        EXPECT_FALSE(count) << "a second reply";
        count = result.isOk() ? result.value() : -1;
    });
    cluster.scheduler.runFor(2501ms);
    EXPECT_TRUE(count) << "no reply by the deadline";
    return count.value_or(-2);
}

void submitJobs(Cluster &cluster, int host, std::uint64_t firstKey, int count)
{
    for (int n = 0; n < count; ++n) {
        cluster.submit(host, firstKey + static_cast<std::uint64_t>(n));
    }
    cluster.scheduler.runFor(500ms);
}

constexpr int JobCount = 8;

} // namespace

// The leader's renewals reach the store, but it does not read the jobs. All hosts told that no job waits.
TEST(WaitingCount, IncludesJobsThatTheLeaderHasNotRead)
{
    Cluster cluster;
    cluster.scheduler.runFor(3s);
    const int leader = cluster.leader();
    ASSERT_GE(leader, 0);
    const int other = (leader + 1) % HostCount;
    loseAnswers(cluster, leader, {"changes jobs", "scan jobs"});
    cluster.scheduler.runFor(1100ms); // until the pending poll is over
    submitJobs(cluster, other, 1, JobCount);
    ASSERT_EQ(cluster.answers[JobCount], SubmitResult::Accepted);
    cluster.scheduler.runFor(4500ms);
    for (int n = 0; n < HostCount; ++n) {
        ASSERT_EQ(cluster.leader(), leader);
        EXPECT_EQ(askWaiting(cluster, n), n == leader ? -1 : JobCount) << "host " << n;
    }
    std::optional<JobStatus> cancelled;
    cluster.host(other).loop->jobRequestHandler().cancel({1}, cluster.scheduler.now() + 1s,
                                                         [&](const auto &result) { cancelled = result.value(); });
    cluster.scheduler.runFor(2s);
    EXPECT_EQ(askWaiting(cluster, other), JobCount - 1) << "one of them is cancelled";

    cluster.host(leader).storeFaults.rule = {};
    cluster.scheduler.runFor(20s);
    for (int n = 0; n < HostCount; ++n) {
        EXPECT_EQ(askWaiting(cluster, n), 0) << "host " << n;
    }
    EXPECT_EQ(cluster.workers.doneCount({JobCount}), TasksPerJob);
}

// A leader whose thread is behind reads answers seconds late.
TEST(WaitingCount, IsNotTakenFromALateLeader)
{
    Cluster cluster;
    cluster.scheduler.runFor(3s);
    const int leader = cluster.leader();
    ASSERT_GE(leader, 0);
    const int other = (leader + 1) % HostCount;
    cluster.host(leader).storeFaults.rule = [](std::string_view call, TimePoint) {
        return call == "changes jobs" ? std::optional(Fault{8s, false, false}) : std::nullopt;
    };
    cluster.scheduler.runFor(1100ms);
    submitJobs(cluster, other, 1, JobCount);
    cluster.scheduler.runFor(4500ms);
    EXPECT_EQ(askWaiting(cluster, other), JobCount);
}

// A new leader that cannot load the jobs yet renews its row.
TEST(WaitingCount, IncludesJobsAcceptedDuringATakeover)
{
    Cluster cluster;
    cluster.scheduler.runFor(3s);
    const int former = cluster.leader();
    ASSERT_GE(former, 0);
    const int other = (former + 1) % HostCount;
    for (int n = 0; n < HostCount; ++n) {
        loseAnswers(cluster, n, {"scan jobs"});
    }
    cluster.killHost(former);
    submitJobs(cluster, other, 1, JobCount);
    cluster.scheduler.runFor(8s);
    ASSERT_EQ(cluster.leader(), -1);
    EXPECT_EQ(askWaiting(cluster, other), JobCount);
}

// A host that no longer sees the leader's row counted jobs that the leader had long started.
TEST(WaitingCount, IsNotTooHighOnAHostThatMissesTheLeadersRenewals)
{
    Cluster cluster;
    cluster.scheduler.runFor(3s);
    const int leader = cluster.leader();
    ASSERT_GE(leader, 0);
    const int other = (leader + 1) % HostCount;
    loseAnswers(cluster, other, {"changes leader"});
    cluster.scheduler.runFor(1100ms);
    submitJobs(cluster, other, 1, JobCount);
    cluster.scheduler.runFor(4500ms);
    ASSERT_EQ(cluster.workers.doneCount({JobCount}), TasksPerJob);
    EXPECT_EQ(askWaiting(cluster, other), 0);
}

TEST(WaitingCount, IsUnknownWhileTheJobsCannotBeRead)
{
    Cluster cluster;
    cluster.scheduler.runFor(3s);
    for (int n = 0; n < HostCount; ++n) {
        loseAnswers(cluster, n, {"changes jobs", "scan jobs"});
    }
    cluster.scheduler.runFor(1100ms);
    submitJobs(cluster, 0, 1, JobCount);
    cluster.scheduler.runFor(4500ms);
    for (int n = 0; n < HostCount; ++n) {
        EXPECT_EQ(askWaiting(cluster, n), -1);
    }
}

TEST(WaitingCount, IsUnknownIfTheStoreHasDroppedItsHistory)
{
    Cluster cluster;
    cluster.scheduler.runFor(3s);
    const int leader = cluster.leader();
    ASSERT_GE(leader, 0);
    const int other = (leader + 1) % HostCount;
    loseAnswers(cluster, leader, {"changes jobs", "scan jobs"});
    cluster.scheduler.runFor(1100ms);
    submitJobs(cluster, other, 1, JobCount);
    cluster.scheduler.runFor(4500ms);
    cluster.rows.dropHistory();
    EXPECT_EQ(askWaiting(cluster, other), -1);
}

// Calls to the store are limited and priced.
TEST(WaitingCount, NeedsNoCallInCalmTimesAndOneASecondOtherwise)
{
    Cluster cluster;
    cluster.scheduler.runFor(3s);
    const int leader = cluster.leader();
    ASSERT_GE(leader, 0);
    const int other = (leader + 1) % HostCount;
    int readings = 0;
    cluster.host(other).storeFaults.rule = [&](std::string_view call, TimePoint) {
        readings += call == "changes jobs" || call == "scan jobs" ? 1 : 0;
        return std::optional<Fault>();
    };
    int replies = 0;
    const auto askFor = [&](Duration time) {
        const auto end = cluster.scheduler.now() + time;
        while (cluster.scheduler.now() < end) {
            cluster.host(other).loop->waitingJobs("plans", cluster.scheduler.now() + 2500ms,
                                                  [&](const auto &result) { replies += result.isOk() ? 1 : 0; });
            cluster.scheduler.runFor(10ms);
        }
    };
    askFor(20s);
    EXPECT_EQ(readings, 0);
    EXPECT_EQ(replies, 2000);
    replies = 0;
    loseAnswers(cluster, leader, {"changes jobs", "scan jobs"});
    cluster.scheduler.runFor(5s);
    askFor(10s);
    EXPECT_GE(readings, 9);
    EXPECT_LE(readings, 11);
    EXPECT_GE(replies, 990);
}

// Guards against a leader whose row does not fit into the store, since jobs wait in thousands of queues: it could
// not renew its term, and neither could any other.
TEST(WaitingCount, NoNumberOfQueuesEndsATerm)
{
    constexpr std::uint64_t queues = 4000;
    Cluster cluster;
    cluster.scheduler.runFor(3s);
    const int leader = cluster.leader();
    ASSERT_GE(leader, 0);
    const auto fence = cluster.host(leader).loop->summary().fence;
    for (std::uint64_t key = 1; key <= queues + 1; ++key) {
        AcceptedJob job;
        job.key = {key};
        job.policy.queue = "queue-of-some-service-" + std::to_string(std::min(key, queues));
        job.policy.service = ServiceName("without workers");
        job.spec.steps.resize(1);
        job.acceptedAt = cluster.wallNow();
        cluster.host(leader).loop->jobRequestHandler().submit(std::move(job), cluster.scheduler.now() + 2500ms,
                                                              [](SubmitResult) {});
        if (key % 100 == 0) {
            cluster.scheduler.runFor(100ms);
        }
    }
    cluster.scheduler.runFor(20s);
    EXPECT_EQ(cluster.leader(), leader);
    EXPECT_EQ(cluster.host(leader).loop->summary().fence, fence) << "the term was not renewed";
    const auto ask = [&](int host, std::uint64_t queue) {
        std::optional<int> count;
        cluster.host(host).loop->waitingJobs("queue-of-some-service-" + std::to_string(queue),
                                             cluster.scheduler.now() + 2500ms,
                                             [&](const auto &result) { count = result.isOk() ? result.value() : -1; });
        cluster.scheduler.runFor(2501ms);
        return count.value_or(-2);
    };
    int unknown = 0;
    const int other = (leader + 1) % HostCount;
    for (std::uint64_t n = 1; n < queues; n += 400) {
        EXPECT_EQ(ask(leader, n), 1);
        const int told = ask(other, n);
        EXPECT_TRUE(told == 1 || told == -1) << told;
        unknown += told == -1 ? 1 : 0;
    }
    EXPECT_GT(unknown, 0);
    EXPECT_EQ(ask(other, queues), 2) << "the largest counts are told";
}

} // namespace monsoonspool::execution
