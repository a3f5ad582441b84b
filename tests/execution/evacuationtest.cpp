#include "execution/testcluster.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

// Evacuation of failure domains by hosts in virtual time: the workers w0 and w1 are in the domain z0,
// w2 and w3 in z1, w4 and w5 in z2.
namespace monsoonspool::execution {

using namespace testcluster;

namespace {

constexpr Duration Bound = membership::DefaultEvacuationBound;
// A poll of the operators' table is answered within this time.
constexpr Duration MaxPoll = 600ms;

class EvacuationCluster : public Cluster
{
public:
    EvacuationCluster()
    {
        workers.setObserver([this](std::string_view event, const WorkerId &worker, const jobs::TaskId &,
                                   jobs::RunNumber, std::string_view) {
            if (event == "started") {
                m_starts.emplace_back(scheduler.now(), workers.entry(worker).domain);
            }
        });
        scheduler.runFor(2s);
    }

    RowName rowOf(std::string_view domain) const
    {
        auto name = registry.configurationRow();
        name.key = std::string(EvacuationPrefix) + std::string(domain);
        return name;
    }
    void evacuate(std::string_view domain)
    {
        put(rowOf(domain), "{}");
    }
    void withdraw(std::string_view domain)
    {
        rows.apply({{}, {}, {rowOf(domain)}});
    }
    void submitMany(int host, std::uint64_t firstKey, int count = 12)
    {
        for (int n = 0; n < count; ++n) {
            submit(host, firstKey + static_cast<std::uint64_t>(n));
        }
    }
    int startsIn(std::string_view domain, TimePoint since) const
    {
        return static_cast<int>(std::ranges::count_if(
            m_starts, [&](const auto &it) { return it.first >= since && it.second.view() == domain; }));
    }
    // Lets the host read nothing of the operators' table any more once the pending poll is over.
    void cutOperatorTable(int n)
    {
        host(n).storeFaults.rule = [](std::string_view call, TimePoint) {
            return call == "changes configuration" || call == "scan configuration"
                ? std::optional(Fault{2ms, true, false})
                : std::nullopt;
        };
    }

private:
    std::vector<std::pair<TimePoint, FailureDomain>> m_starts;
};

} // namespace

TEST(Evacuation, RunsEndInTheDomainAndOthersStartElsewhere)
{
    EvacuationCluster cluster;
    for (std::uint64_t key = 1; key <= 2; ++key) {
        cluster.taskModel.overrides[{key}] = {8s, false, TaskSize};
        cluster.submit(0, key);
    }
    cluster.scheduler.runFor(300ms);
    const auto before = cluster.workers.startCount();
    ASSERT_GT(cluster.startsIn("z0", {}), 0);
    cluster.evacuate("z0");
    const auto acknowledgedAt = cluster.scheduler.now();
    cluster.scheduler.runFor(200ms);
    cluster.submitMany(1, 10);
    cluster.scheduler.runFor(30s);
    EXPECT_EQ(cluster.startsIn("z0", acknowledgedAt + 100ms), 0);
    EXPECT_EQ(cluster.workers.doneCount({1}), TasksPerJob);
    EXPECT_EQ(cluster.workers.doneCount({2}), TasksPerJob);
    for (std::uint64_t key = 10; key < 22; ++key) {
        EXPECT_EQ(cluster.workers.doneCount({key}), TasksPerJob);
    }
    EXPECT_EQ(cluster.workers.startCount(), before + TasksPerJob + 12 * TasksPerJob) << "no run was stopped";
    EXPECT_EQ(violationsOf(cluster), "");

    cluster.withdraw("z0");
    cluster.scheduler.runFor(200ms);
    const auto withdrawnAt = cluster.scheduler.now();
    cluster.submitMany(1, 30);
    cluster.scheduler.runFor(10s);
    EXPECT_GT(cluster.startsIn("z0", withdrawnAt), 0);
}

// A new leader that learns of an evacuation only from its next poll starts tasks there first.
TEST(Evacuation, ANewLeaderKnowsTheEvacuationsBeforeItsFirstStart)
{
    EvacuationCluster cluster;
    cluster.evacuate("z0");
    cluster.evacuate("z1");
    cluster.scheduler.runFor(3s);
    const int former = cluster.leader();
    ASSERT_GE(former, 0);
    const auto since = cluster.scheduler.now();
    const int submitter = (former + 1) % HostCount;
    cluster.host(former).loop->stop([] {});
    cluster.submitMany(submitter, 10);
    cluster.scheduler.runFor(50ms);
    cluster.killHost(former);
    for (int n = 0; n < 1000 && cluster.leader() < 0; ++n) {
        cluster.scheduler.runFor(10ms);
    }
    ASSERT_GE(cluster.leader(), 0);
    cluster.cutOperatorTable(cluster.leader());
    cluster.scheduler.runFor(3s);
    EXPECT_GT(cluster.startsIn("z2", since), 0) << "by the reading of before the takeover";
    EXPECT_EQ(cluster.startsIn("z0", since), 0);
    EXPECT_EQ(cluster.startsIn("z1", since), 0);
}

// A leader that does not read the operators' table, while its other calls are answered, starts tasks
// in a domain whose evacuation it does not know.
TEST(Evacuation, NoTaskStartsWhileTheTableIsNotRead)
{
    EvacuationCluster cluster;
    const int leader = cluster.leader();
    ASSERT_GE(leader, 0);
    cluster.cutOperatorTable(leader);
    cluster.scheduler.runFor(MaxPoll); // until the pending poll is over
    cluster.evacuate("z0");
    const auto acknowledgedAt = cluster.scheduler.now();
    cluster.scheduler.runFor(4s);
    cluster.submitMany(leader, 10);
    cluster.scheduler.runFor(5s);
    cluster.submitMany(leader, 30);
    cluster.scheduler.runFor(5s);
    ASSERT_EQ(cluster.leader(), leader);
    EXPECT_EQ(cluster.answers[10], SubmitResult::Accepted);
    for (const auto *it : {"z0", "z1", "z2"}) {
        EXPECT_EQ(cluster.startsIn(it, acknowledgedAt + Bound), 0) << it;
    }
    cluster.host(leader).storeFaults.rule = {};
    cluster.scheduler.runFor(20s);
    EXPECT_EQ(cluster.startsIn("z0", acknowledgedAt + Bound), 0);
    EXPECT_EQ(cluster.workers.doneCount({10}), TasksPerJob);
    EXPECT_EQ(cluster.workers.doneCount({41}), TasksPerJob);
}

// The store being silent to all, no evacuation can be acknowledged, and work goes on.
TEST(Evacuation, TasksStartWhileTheStoreIsSilent)
{
    EvacuationCluster cluster;
    const int leader = cluster.leader();
    ASSERT_GE(leader, 0);
    cluster.taskModel.overrides[{10}] = {9s, false, TaskSize};
    cluster.submit(leader, 10);
    cluster.scheduler.runFor(1s);
    ASSERT_EQ(cluster.workers.startCount(), 3);
    for (int n = 0; n < HostCount; ++n) {
        cluster.host(n).storeFaults.isCut = true;
    }
    cluster.scheduler.runFor(10s);
    EXPECT_EQ(cluster.workers.startCount(), TasksPerJob) << "the second step, by a reading from before";
}

// An order that is carried out late begins a task after the bound, although it was sent in time.
TEST(Evacuation, AStartCommandInFlightExpiresBeforeTheBound)
{
    EvacuationCluster cluster;
    const int leader = cluster.leader();
    ASSERT_GE(leader, 0);
    cluster.cutOperatorTable(leader);
    cluster.scheduler.runFor(MaxPoll);
    cluster.evacuate("z0");
    cluster.evacuate("z1");
    cluster.evacuate("z2");
    const auto acknowledgedAt = cluster.scheduler.now();
    cluster.scheduler.runFor(3s);
    int ordered = 0;
    cluster.host(leader).workerFaults.rule = [&](std::string_view call, TimePoint) {
        if (!call.starts_with("start ")) {
            return std::optional<Fault>();
        }
        ++ordered;
        return std::optional(Fault{2400ms, false, false});
    };
    cluster.submitMany(leader, 10);
    cluster.scheduler.runFor(10s);
    ASSERT_GT(ordered, 0) << "the last reading was young enough";
    for (const auto *it : {"z0", "z1", "z2"}) {
        EXPECT_EQ(cluster.startsIn(it, acknowledgedAt + Bound), 0) << it;
    }
}

// After the store has dropped its history, what the complete reading does not contain is withdrawn,
// and what it contains in addition is followed.
TEST(Evacuation, ACompleteReadingAfterALossOfHistoryCounts)
{
    EvacuationCluster cluster;
    cluster.evacuate("z0");
    cluster.scheduler.runFor(1s);
    for (int n = 0; n < HostCount; ++n) {
        cluster.cutOperatorTable(n);
    }
    cluster.scheduler.runFor(MaxPoll);
    cluster.withdraw("z0");
    cluster.evacuate("z1");
    cluster.rows.dropHistory();
    for (int n = 0; n < HostCount; ++n) {
        cluster.host(n).storeFaults.rule = {};
    }
    cluster.scheduler.runFor(3s);
    const auto since = cluster.scheduler.now();
    cluster.submitMany(0, 10);
    cluster.scheduler.runFor(10s);
    EXPECT_GT(cluster.startsIn("z0", since), 0);
    EXPECT_EQ(cluster.startsIn("z1", since), 0);
    EXPECT_EQ(cluster.workers.doneCount({21}), TasksPerJob);
}

TEST(Evacuation, CountsAgainOnceItIsRequestedAgain)
{
    EvacuationCluster cluster;
    cluster.evacuate("z0");
    cluster.scheduler.runFor(300ms);
    cluster.withdraw("z0");
    cluster.scheduler.runFor(300ms);
    const auto withdrawnAt = cluster.scheduler.now();
    cluster.submitMany(0, 10);
    cluster.scheduler.runFor(300ms);
    EXPECT_GT(cluster.startsIn("z0", withdrawnAt), 0);
    cluster.evacuate("z0");
    cluster.scheduler.runFor(100ms);
    const auto since = cluster.scheduler.now();
    cluster.submitMany(0, 30);
    cluster.scheduler.runFor(10s);
    EXPECT_EQ(cluster.startsIn("z0", since), 0);
    EXPECT_EQ(cluster.workers.doneCount({41}), TasksPerJob);

    // Both between two answers of the feed.
    cluster.withdraw("z0");
    cluster.evacuate("z0");
    cluster.scheduler.runFor(100ms);
    cluster.submitMany(0, 50);
    cluster.scheduler.runFor(10s);
    EXPECT_EQ(cluster.startsIn("z0", since), 0);
}

// What does not fit waits: nothing that was accepted is rejected or failed.
TEST(Evacuation, AllDomainsAtOnceLetTheWorkWait)
{
    EvacuationCluster cluster;
    for (const auto *it : {"z0", "z1", "z2"}) {
        cluster.evacuate(it);
    }
    cluster.scheduler.runFor(1s);
    cluster.submitMany(0, 10);
    cluster.scheduler.runFor(30s);
    EXPECT_EQ(cluster.workers.startCount(), 0);
    for (std::uint64_t key = 10; key < 22; ++key) {
        EXPECT_EQ(cluster.answers[key], SubmitResult::Accepted);
        EXPECT_EQ(cluster.status(0, key)->state, jobs::JobState::Queued);
    }
    for (const auto *it : {"z0", "z1", "z2"}) {
        cluster.withdraw(it);
    }
    cluster.scheduler.runFor(15s);
    for (std::uint64_t key = 10; key < 22; ++key) {
        EXPECT_EQ(cluster.workers.doneCount({key}), TasksPerJob);
    }
}

// A row that names no domain must hide neither the others nor the configuration.
TEST(Evacuation, ARowThatCannotBeReadDisturbsNoOther)
{
    EvacuationCluster cluster;
    auto odd = cluster.registry.configurationRow();
    odd.key = "unreadable";
    cluster.evacuate("z0");
    cluster.put(odd, "{}");
    cluster.evacuate("no such domain");
    cluster.put(cluster.registry.configurationRow(), "2");
    cluster.scheduler.runFor(1s);
    const auto summary = cluster.host(cluster.leader()).loop->summary();
    EXPECT_EQ(summary.configurationVersion, 2);
    EXPECT_EQ(summary.evacuatedDomains, (std::vector{FailureDomain("no such domain"), FailureDomain("z0")}));
    ASSERT_TRUE(summary.evacuationsReadAgo);
    EXPECT_LE(*summary.evacuationsReadAgo, 2 * MaxPoll);
    cluster.submitMany(0, 10);
    cluster.scheduler.runFor(10s);
    EXPECT_EQ(cluster.startsIn("z0", {}), 0);
    EXPECT_EQ(cluster.workers.doneCount({21}), TasksPerJob);
}

} // namespace monsoonspool::execution
