// Waits for racks from the options of a host to the metrics, in a cluster whose leader dies.
#include "execution/testcluster.h"

#include <gtest/gtest.h>

namespace monsoonspool::execution {

namespace {

using namespace testcluster;

constexpr int JobCount = 60;

void submitForRack(Cluster &cluster, int host, std::uint64_t key)
{
    AcceptedJob job;
    job.key = {key};
    job.policy.queue = "plans";
    job.policy.service = Service;
    job.policy.maxAttempts = 3;
    job.spec.payload = "plan";
    job.spec.steps.resize(1);
    auto &step = job.spec.steps.front();
    step.count = 4;
    step.needs = TaskSize;
    step.estimate = 400ms;
    step.dataRack = "r0"; // two workers with room for eight tasks each
    job.acceptedAt = cluster.wallNow();
    cluster.host(host).loop->jobRequestHandler().submit(
        std::move(job), cluster.scheduler.now() + 2500ms,
        [&cluster, key](SubmitResult answer) { cluster.answers[key] = answer; });
}

} // namespace

// A load for one rack that is somewhat more than it can take, with a change of leader in its middle. Guards
// against an option that does not reach the leader's plans, and against jobs that wait for ever.
TEST(DataLocality, ALeaderWaitsByItsOptionAndItsSuccessorToo)
{
    Cluster cluster;
    cluster.remoteRunTimeFactor = 3;
    for (int n = 0; n < HostCount; ++n) {
        cluster.killHost(n);
        cluster.startHost(n);
    }
    cluster.scheduler.runFor(10s);
    std::uint64_t waits = 0;
    for (int n = 0; n < JobCount; ++n) {
        const int leader = cluster.leader();
        if (n == JobCount / 2) {
            ASSERT_GE(leader, 0);
            waits = cluster.host(leader).loop->summary().fleet.rackWaits;
            EXPECT_GT(waits, 0U);
            cluster.killHost(leader);
            cluster.scheduler.runFor(6s);
            cluster.startHost(leader);
        }
        submitForRack(cluster, n % HostCount, 100 + static_cast<std::uint64_t>(n));
        cluster.scheduler.runFor(90ms);
    }
    cluster.scheduler.runFor(20s);
    const int leader = cluster.leader();
    ASSERT_GE(leader, 0);
    const auto counts = cluster.host(leader).loop->summary().fleet;
    EXPECT_GT(counts.rackWaits, 0U);
    EXPECT_EQ(counts.tasksWaitingForRack, 0U);
    int accepted = 0;
    for (int n = 0; n < JobCount; ++n) {
        const auto key = 100 + static_cast<std::uint64_t>(n);
        if (cluster.answers[key] != SubmitResult::Accepted) {
            continue; // by a host that had just started
        }
        ++accepted;
        const auto status = cluster.status(leader, key);
        ASSERT_TRUE(status) << key;
        EXPECT_EQ(status->state, jobs::JobState::Completed) << key;
    }
    EXPECT_GE(accepted, JobCount - 3);
    EXPECT_EQ(violationsOf(cluster), "");
}

} // namespace monsoonspool::execution
