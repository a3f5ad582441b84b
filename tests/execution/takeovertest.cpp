#include "execution/testcluster.h"
#include "workers/worker.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <optional>
#include <set>
#include <string>
#include <string_view>

// Two leaders at once: the former one does not know yet that another host has claimed.
namespace monsoonspool::execution {

using namespace testcluster;

namespace {

constexpr Fault Refused{2ms, true, false};

// For how long a successor waits, at least, if it does not know that the former leader has stopped.
constexpr Duration StoreOutageGracePeriodAfterClaim
    = membership::StoreOutageGracePeriod - membership::LeaderStaleAfter - membership::RenewInterval;
// The same if the witnesses have accepted the successor.
constexpr Duration UnsupportedGracePeriodAfterClaim
    = membership::UnsupportedGracePeriod - membership::LeaderStaleAfter - membership::RenewInterval;

// A cluster whose leader cannot learn of its successor: no worker is reached by it and by
// another host, its writes are refused, and it does not receive the leader row. It still
// reads the jobs.
class SplitCluster : public Cluster
{
public:
    // The worker w0 is reached either by the leader or by the other hosts; the other workers
    // the other way round.
    void split(bool leaderReachesW0 = true)
    {
        former = leader();
        for (int n = 0; n < HostCount; ++n) {
            const bool reachesW0 = (n == former) == leaderReachesW0;
            host(n).workerFaults.rule = [reachesW0](std::string_view call, TimePoint) {
                return call.ends_with("w0") != reachesW0 ? std::optional(Refused) : std::nullopt;
            };
        }
        host(former).storeFaults.rule = [](std::string_view call, TimePoint) {
            return call == "commit" || call == "changes leader" ? std::optional(Refused) : std::nullopt;
        };
    }

    void heal()
    {
        for (auto &it : hosts) {
            it->workerFaults.rule = {};
            it->storeFaults.rule = {};
        }
    }

    // Waits until another host leads and has read the stored state, and returns it.
    int awaitSuccessor()
    {
        for (int step = 0; step < 4000; ++step) {
            scheduler.runFor(1ms);
            for (int n = 0; n < HostCount; ++n) {
                if (n != former && host(n).loop->summary().isLoaded) {
                    return n;
                }
            }
        }
        return -1;
    }

    // The host that is neither of the two.
    int other(int successor) const
    {
        return HostCount - former - successor;
    }

    int former = -1;
};

} // namespace

// What a leader reports when it ends: its leases, and those of former leaders on workers that it has
// not reached.
TEST(Takeover, ALeaderKnowsWhenAllLeasesHaveEnded)
{
    constexpr TimePoint start{1h};
    // The lease and its margin by a clock that is 2% slow.
    const auto lease = Duration(6175ms);
    std::vector<RosterEntry> roster(2);
    NullLog log;
    Fleet fleet(log);
    for (std::size_t n = 0; n < roster.size(); ++n) {
        roster[n].worker.id = WorkerId("w" + std::to_string(n));
        roster[n].worker.service = Service;
        roster[n].worker.startTimeMs = 1;
    }
    const auto report = [&](const WorkerEntry &worker, TimePoint now) {
        WorkerListing listing;
        listing.clock = 1000;
        listing.startTimeMs = 1;
        fleet.updateWorker(worker, now);
        fleet.applyListing(worker.id, listing, now, now);
    };
    fleet.beginTerm({5}, 10, roster, start + 12s, start);
    EXPECT_EQ(fleet.leasesEnd(start), start + 12s);
    report(roster[0].worker, start);
    EXPECT_EQ(fleet.leasesEnd(start), start + 12s) << "the other worker has not reported";
    fleet.shortenFormerLeases(start + 20s);
    EXPECT_EQ(fleet.formerLeasesEnd(), start + 12s);
    fleet.shortenFormerLeases(start + 3s);
    EXPECT_EQ(fleet.leasesEnd(start), start + lease) << "a lease that a former leader may have granted";
    report(roster[1].worker, start + 1s);
    EXPECT_EQ(fleet.leasesEnd(start + 1s), start + 1s + lease);
    fleet.leaseOrder(roster[0].worker.id, start + 3s);
    EXPECT_EQ(fleet.leasesEnd(start + 3s), start + 3s + lease);
    fleet.markSilent(roster[0].worker.id, start + 4s);
    fleet.leaseOrder(roster[0].worker.id, start + 5s);
    EXPECT_LE(fleet.leasesEnd(start + 5s), start + 3s + lease + 5ms) << "orders to a silent worker extend none";
    EXPECT_EQ(fleet.leasesEnd(start + 20s), start + 20s);
}

// Until all workers have reported, a leader starts only jobs whose host knew of its claim. A
// host of an earlier release stores no fence.
TEST(Takeover, StartsOnlyJobsThatNoOtherLeaderMayStart)
{
    struct Case
    {
        const char *name;
        std::uint64_t knownFence;
        std::size_t startsBefore; // all workers have reported
        std::size_t startsAfter;
    };
    constexpr TimePoint start{1h};
    constexpr std::uint64_t claimVersion = 10;
    for (const auto &it : {Case{"not stored", 0, 0, 1}, Case{"former leader", 4, 0, 1}, Case{"this leader", 5, 1, 1},
                           Case{"successor", 6, 0, 0}}) {
        SCOPED_TRACE(it.name);
        std::vector<RosterEntry> roster(2);
        NullLog log;
        Fleet fleet(log);
        for (std::size_t n = 0; n < roster.size(); ++n) {
            roster[n].worker.id = WorkerId("w" + std::to_string(n));
            roster[n].worker.service = Service;
            roster[n].worker.capacity = {16000, 32000, 0};
            roster[n].worker.startTimeMs = 1;
        }
        fleet.beginTerm({5}, claimVersion, roster, start + 7s, start);
        const auto report = [&](const WorkerEntry &worker) {
            WorkerListing listing;
            listing.clock = 1000;
            listing.startTimeMs = 1;
            fleet.updateWorker(worker, start);
            fleet.applyListing(worker.id, listing, start, start);
        };
        AcceptedJob job;
        job.key = {7};
        job.policy.service = Service;
        job.spec.steps.resize(1);
        job.spec.steps[0].needs = TaskSize;
        job.knownFence = {it.knownFence};
        job.version = claimVersion + 1;
        fleet.addJob(job, start, {});
        report(roster[0].worker);
        const auto before = fleet.plan(start + 1ms, {}).starts.size();
        EXPECT_EQ(before, it.startsBefore);
        report(roster[1].worker);
        EXPECT_EQ(before + fleet.plan(start + 2ms, {}).starts.size(), it.startsAfter);
    }
}

// Guards against a task that runs on two workers: the former leader read the job's row from
// its feed and started the tasks on the worker that the new leader had not reached.
TEST(Takeover, AJobAcceptedAfterTheClaimStartsOnce)
{
    SplitCluster cluster;
    cluster.scheduler.runFor(2s);
    cluster.split();
    ASSERT_GE(cluster.former, 0);
    const int successor = cluster.awaitSuccessor();
    ASSERT_GE(successor, 0);
    cluster.submit(cluster.other(successor), 7);
    cluster.scheduler.runFor(300ms);
    EXPECT_EQ(cluster.answers[7], SubmitResult::Accepted);
    EXPECT_EQ(cluster.workers.runningCount(), 3) << "the new leader starts it without waiting for w0";
    cluster.scheduler.runFor(700ms);
    cluster.heal();
    cluster.scheduler.runFor(15s);
    EXPECT_EQ(cluster.workers.doneCount({7}), TasksPerJob);
    EXPECT_EQ(violationsOf(cluster), "");
}

// The same, with a job that its host sent to the store before it knew of the claim.
TEST(Takeover, AJobStoredLateAfterTheClaimStartsOnce)
{
    SplitCluster cluster;
    cluster.taskModel.overrides[{7}] = {3s, false, TaskSize};
    cluster.scheduler.runFor(2s);
    cluster.split();
    ASSERT_GE(cluster.former, 0);
    const int accepting = (cluster.former + 1) % HostCount;
    cluster.host(accepting).storeFaults.rule = [](std::string_view call, TimePoint) {
        return call == "commit" ? std::optional(Fault{2400ms, false, false}) : std::nullopt;
    };
    cluster.scheduler.runFor(500ms);
    cluster.submit(accepting, 7);
    const int successor = cluster.awaitSuccessor();
    ASSERT_EQ(successor, cluster.other(accepting));
    EXPECT_FALSE(cluster.answers.contains(7)) << "the job must be stored after the claim";
    cluster.scheduler.runFor(1500ms);
    EXPECT_EQ(cluster.answers[7], SubmitResult::Accepted);
    cluster.heal();
    cluster.scheduler.runFor(15s);
    EXPECT_EQ(cluster.workers.doneCount({7}), TasksPerJob);
    EXPECT_EQ(violationsOf(cluster), "");
}

// Guards against a task that starts again after it was done: the former leader stored its end
// after the new leader had read the progress, and acknowledged it to the worker before that
// had seen the new fence. The store performs the former leader's write late.
TEST(Takeover, AnEndStoredAfterTheClaimIsNotAcknowledged)
{
    SplitCluster cluster;
    cluster.scheduler.runFor(2s);
    const auto renewed = cluster.rows.rows.at(leaderRow()).version;
    while (cluster.rows.rows.at(leaderRow()).version == renewed) {
        cluster.scheduler.runFor(1ms);
    }
    cluster.submit(0, 7);
    cluster.scheduler.runFor(100ms);
    EXPECT_EQ(cluster.workers.runningCount(), 3);
    cluster.split();
    ASSERT_GE(cluster.former, 0);
    // The tasks end before the next renewal of the leader row is due.
    cluster.host(cluster.former).storeFaults.rule = [commits = 0](std::string_view call, TimePoint) mutable {
        if (call == "commit") {
            return std::optional(++commits == 1 ? Fault{2500ms, false, false} : Refused);
        }
        return call == "changes leader" ? std::optional(Refused) : std::nullopt;
    };
    ASSERT_GE(cluster.awaitSuccessor(), 0);
    EXPECT_TRUE(cluster.host(cluster.former).loop->summary().isLeader);
    cluster.scheduler.runFor(1s);
    EXPECT_FALSE(cluster.host(cluster.former).loop->summary().isLeader);
    cluster.heal();
    cluster.scheduler.runFor(15s);
    EXPECT_EQ(cluster.workers.doneCount({7}), TasksPerJob);
    EXPECT_EQ(violationsOf(cluster), "");
}

// The same, with a job that was stored after the claim and whose tasks the former leader started.
TEST(Takeover, AnEndOfAJobStoredAfterTheClaimIsNotAcknowledged)
{
    SplitCluster cluster;
    cluster.scheduler.runFor(2s);
    cluster.split();
    ASSERT_GE(cluster.former, 0);
    const int accepting = (cluster.former + 1) % HostCount;
    cluster.host(accepting).storeFaults.rule = [](std::string_view call, TimePoint) {
        return call == "commit" ? std::optional(Fault{2400ms, false, false}) : std::nullopt;
    };
    cluster.scheduler.runFor(500ms);
    cluster.submit(accepting, 7);
    ASSERT_EQ(cluster.awaitSuccessor(), cluster.other(accepting));
    cluster.scheduler.runFor(1200ms);
    EXPECT_EQ(cluster.workers.doneCount({7}), 3) << "started by the former leader";
    cluster.heal();
    cluster.scheduler.runFor(15s);
    EXPECT_EQ(cluster.workers.doneCount({7}), TasksPerJob);
    EXPECT_EQ(violationsOf(cluster), "");
}

// Guards against a task that starts again after it was done: the former leader did not reach
// its worker, took its lease as expired and started it elsewhere, although the new leader had
// renewed the lease and acknowledged the end.
TEST(Takeover, ALeaseThatTheSuccessorMayHaveRenewedHasNotExpired)
{
    SplitCluster cluster;
    cluster.taskModel.overrides[{7}] = {1s, false, TaskSize};
    cluster.scheduler.runFor(2s);
    cluster.submit(0, 7);
    cluster.scheduler.runFor(100ms);
    EXPECT_EQ(cluster.workers.runningCount(), 3);
    cluster.split(false);
    ASSERT_GE(cluster.former, 0);
    ASSERT_GE(cluster.awaitSuccessor(), 0);
    cluster.scheduler.runFor(workers::RunLease - 1s);
    EXPECT_TRUE(cluster.host(cluster.former).loop->summary().isLeader);
    cluster.heal();
    cluster.scheduler.runFor(15s);
    EXPECT_EQ(cluster.workers.doneCount({7}), TasksPerJob);
    EXPECT_EQ(violationsOf(cluster), "");
}

// Guards against jobs that wait for the former leader's leases because a worker has left as it
// had announced. They must run 7 s after the loss of the leader: 4 s are granted for the loss
// itself, and 3 s without a run are too long.
TEST(Takeover, AWorkerThatLeftAsAnnouncedDelaysNoOtherJob)
{
    struct Case
    {
        const char *name;
        Duration taskTime; // of the job that runs there when the workers announce that they leave
        bool isCutOff; // the worker goes on with its runs
        bool isUnlisted;
    };
    for (const auto &it : {Case{"idle", 400ms, false, false}, Case{"idle, unlisted", 400ms, false, true},
                           Case{"with runs", 60s, false, true}, Case{"with runs, cut off", 60s, true, false},
                           Case{"with runs, cut off, unlisted", 60s, true, true}}) {
        SCOPED_TRACE(it.name);
        Cluster cluster;
        cluster.taskModel.overrides[{7}] = {it.taskTime, false, TaskSize};
        std::set<WorkerId> used;
        cluster.workers.setObserver(
            [&](std::string_view event, const WorkerId &worker, const jobs::TaskId &task, auto, auto) {
                if (event == "started" && task.job.value == 7 && used.size() < 3) {
                    used.insert(worker);
                }
            });
        cluster.scheduler.runFor(2s);
        const int former = cluster.leader();
        ASSERT_GE(former, 0);
        cluster.submit(former, 7);
        cluster.scheduler.runFor(2s);
        ASSERT_FALSE(used.empty());
        const auto leaving = used;
        for (const auto &id : leaving) {
            cluster.put({"workers", "", id.text()}, "draining");
        }
        cluster.scheduler.runFor(2s);
        for (const auto &id : leaving) {
            if (it.isCutOff) {
                cluster.workers.setDisconnected(id, true);
            } else {
                cluster.workers.crash(id, true);
            }
            if (it.isUnlisted) {
                cluster.rows.apply({{}, {}, {{"workers", "", id.text()}}});
            }
        }
        cluster.killHost(former);
        cluster.submit((former + 1) % HostCount, 8);
        cluster.scheduler.runFor(7s);
        EXPECT_GE(cluster.workers.doneCount({8}), 3);
        cluster.scheduler.runFor(20s);
        EXPECT_EQ(cluster.workers.doneCount({8}), TasksPerJob);
        EXPECT_EQ(cluster.workers.runningCount(), it.taskTime > 10s ? 3 : 0);
        EXPECT_EQ(violationsOf(cluster), "");
    }
}

namespace {

// A cluster in which a worker with runs of job 7 is lost just before its leader.
class LostWorkerCluster : public SplitCluster
{
public:
    void startJob()
    {
        taskModel.overrides[{7}] = {60s, false, TaskSize};
        workers.setObserver([this](std::string_view event, const WorkerId &worker, const auto &, auto, auto) {
            if (event == "started" && lost.text().empty()) {
                lost = worker;
            }
        });
        scheduler.runFor(2s);
        former = leader();
        submit(former, 7);
        scheduler.runFor(2s);
    }
    void loseWorker()
    {
        startJob();
        workers.crash(lost, true);
    }
    void loseWorkerAndLeader()
    {
        loseWorker();
        scheduler.runFor(100ms);
        host(former).storeFaults.isCut = true;
    }

    // Returns for how long after now some task does not run; `limit` at most.
    Duration timeUntilAllRun(Duration limit = 30s)
    {
        const auto since = scheduler.now();
        while (workers.runningCount() < 3 && scheduler.now() - since < limit) {
            scheduler.runFor(10ms);
        }
        return scheduler.now() - since;
    }

    std::uint64_t formerFence() const
    {
        return codec.decodeLeader(rows.rows.at(leaderRow()).value).value().fence.value - 1;
    }

    WorkerId lost;
};

} // namespace

// Guards against tasks that stand still until the right to decide of a leader that is lost for good would be
// over: its successor waited as if it were alive and cut off from the store, although the workers obeyed the
// successor. A task must run 9 s after it was lost: 6 s are granted to restart it, and 3 s without a run are
// too long.
TEST(Takeover, TasksLostTogetherWithTheLeaderRunAgainSoon)
{
    constexpr Duration maxWait = 9s;
    for (const Duration gap : {Duration(0ms), Duration(50ms), Duration(600ms), Duration(1200ms), Duration(2s)}) {
        for (const Duration outage : {Duration(0s), Duration(1s)}) { // of the store, just before
            SCOPED_TRACE(std::to_string(toMilliseconds(gap)) + " ms between the losses, outage of "
                         + std::to_string(toMilliseconds(outage)) + " ms");
            LostWorkerCluster cluster;
            cluster.startJob();
            for (auto &it : cluster.hosts) {
                it->storeFaults.isCut = outage > Duration(0);
            }
            cluster.scheduler.runFor(outage);
            for (auto &it : cluster.hosts) {
                it->storeFaults.isCut = false;
            }
            cluster.workers.crash(cluster.lost, true);
            const auto lostAt = cluster.scheduler.now();
            cluster.scheduler.runFor(gap);
            cluster.killHost(cluster.former);
            ASSERT_LT(cluster.workers.runningCount(), 3);
            cluster.timeUntilAllRun();
            EXPECT_LT(cluster.scheduler.now() - lostAt, maxWait);
            cluster.scheduler.runFor(20s);
            EXPECT_EQ(cluster.workers.runningCount(), 3);
            EXPECT_EQ(violationsOf(cluster), "");
        }
    }
}

// Guards against jobs that wait until the former leader's right to decide is over although it has
// long stopped to lead. Its last lease may have been granted when it stopped.
TEST(Takeover, WorkersThatAreGoneHoldBackJobsOnlyUntilTheFormerLeaderHasReportedItsEnd)
{
    constexpr Duration downTime = 300ms; // after the claim
    constexpr Duration longestLease = std::chrono::duration_cast<Duration>(workers::RunLease / (1 - MaxClockDrift)
                                                                           * (1 + membership::HostClockDrift));
    constexpr Duration orderDelay = 1s; // of the former leader's last orders
    constexpr Duration tick = 200ms; // until the former leader reports and the present one plans
    constexpr Duration maxWait = downTime + longestLease + orderDelay + membership::RenewInterval + tick;
    static_assert(maxWait < StoreOutageGracePeriodAfterClaim);
    for (const bool isRestarted : {false, true}) {
        for (const int refusedReports : {0, 2}) {
            SCOPED_TRACE(std::string(isRestarted ? "restarted" : "cut") + ", refused "
                         + std::to_string(refusedReports));
            LostWorkerCluster cluster;
            cluster.loseWorkerAndLeader();
            if (isRestarted) {
                cluster.killHost(cluster.former);
            }
            ASSERT_GE(cluster.awaitSuccessor(), 0);
            EXPECT_LT(cluster.workers.runningCount(), 3);
            const auto claimedAt = cluster.scheduler.now();
            cluster.scheduler.runFor(downTime);
            auto &faults = cluster.host(cluster.former).storeFaults;
            faults.isCut = false;
            faults.rule = [refusedReports, commits = 0](std::string_view call, TimePoint) mutable {
                return call == "commit" && ++commits <= refusedReports ? std::optional(Refused) : std::nullopt;
            };
            if (isRestarted) {
                cluster.startHost(cluster.former);
            }
            cluster.timeUntilAllRun();
            EXPECT_LT(cluster.scheduler.now() - claimedAt, maxWait);
            cluster.scheduler.runFor(20s);
            EXPECT_EQ(cluster.workers.runningCount(), 3);
            EXPECT_EQ(violationsOf(cluster), "");
        }
    }
}

// Guards against jobs that wait again after each hand-over for workers that are long gone: no leader
// told the next one that it had not heard of them either, and until when their leases lasted.
TEST(Takeover, WorkersThatAreGoneHoldBackNoJobsAgainAfterFurtherHandovers)
{
    constexpr Duration termLength = 4s;
    // The lease by the slowest clock, its margin, and a renewal of the row and a plan.
    constexpr Duration maxWait = 8s;
    for (const bool isKilled : {false, true}) {
        SCOPED_TRACE(isKilled ? "killed" : "stopped");
        LostWorkerCluster cluster;
        cluster.loseWorker();
        Duration wait{0};
        for (int n = 0; n < 4 && cluster.workers.runningCount() < 3; ++n) {
            wait += cluster.timeUntilAllRun(termLength);
            const int leader = cluster.leader();
            ASSERT_GE(leader, 0);
            if (!isKilled) {
                cluster.host(leader).loop->stop([] {});
                cluster.scheduler.runFor(50ms);
            }
            cluster.killHost(leader);
            cluster.startHost(leader);
        }
        EXPECT_EQ(cluster.workers.runningCount(), 3);
        EXPECT_LT(wait, maxWait);
        EXPECT_EQ(violationsOf(cluster), "");
    }
}

// Guards against a task that runs twice: a worker that the leaders do not reach for a while goes on,
// and answers one of them again shortly before or after its leases end.
TEST(Takeover, AWorkerThatAnswersAgainAfterAHandoverRunsNoTaskTwice)
{
    for (const Duration silence :
         {Duration(1500ms), Duration(3s), Duration(5s), Duration(6s), Duration(7s), Duration(9s)}) {
        for (const Duration untilHandover : {Duration(200ms), Duration(1300ms), Duration(2500ms), Duration(4s)}) {
            for (const Duration untilNext : {Duration(500ms), Duration(2s)}) {
                SCOPED_TRACE(std::to_string(toMilliseconds(silence)) + " ms, hand-over after "
                             + std::to_string(toMilliseconds(untilHandover)) + " ms and "
                             + std::to_string(toMilliseconds(untilNext)) + " ms");
                LostWorkerCluster cluster;
                cluster.startJob();
                cluster.workers.setDisconnected(cluster.lost, true);
                cluster.scheduler.runAfter(silence, [&] { cluster.workers.setDisconnected(cluster.lost, false); });
                for (const auto delay : {untilHandover, untilNext}) {
                    cluster.scheduler.runFor(delay);
                    if (const int leader = cluster.leader(); leader >= 0) {
                        cluster.host(leader).loop->stop([] {});
                        cluster.scheduler.runFor(50ms);
                        cluster.killHost(leader);
                        cluster.startHost(leader);
                    }
                }
                cluster.scheduler.runFor(20s);
                EXPECT_EQ(cluster.workers.runningCount(), 3);
                EXPECT_EQ(violationsOf(cluster), "");
            }
        }
    }
}

// What the row promises a successor: no lease is extended and nothing starts on a worker that the stored
// row may name as silent, until one that does not is stored.
TEST(Takeover, AWorkerThatTheRowNamesAsSilentGetsNoLease)
{
    constexpr TimePoint start{1h};
    constexpr Duration minSilence = 1s;
    std::vector<RosterEntry> roster(1);
    auto &worker = roster.front().worker;
    worker.id = WorkerId("w0");
    worker.service = Service;
    worker.capacity = {16000, 32000, 0};
    worker.startTimeMs = 1;
    NullLog log;
    Fleet fleet(log);
    auto now = start;
    const auto answer = [&] {
        WorkerListing listing;
        listing.clock = 1000 + toMilliseconds(now - start);
        listing.startTimeMs = 1;
        fleet.applyListing(worker.id, listing, now, now);
    };
    fleet.beginTerm({5}, 10, roster, start + 7s, start);
    fleet.updateWorker(worker, now);
    EXPECT_TRUE(fleet.takeSilentWorkers(now, minSilence).empty());
    answer();
    fleet.markSilentWorkersStored();
    EXPECT_GT(fleet.leaseOrder(worker.id, now).deadline, 0);

    now += 100ms;
    fleet.markSilent(worker.id, now);
    EXPECT_TRUE(fleet.takeSilentWorkers(now + 900ms, minSilence).empty());
    EXPECT_EQ(fleet.takeSilentWorkers(now + 900ms, Duration(0)).size(), 1U) << "a row that releases the leadership";
    now += 1s;
    const auto silent = fleet.takeSilentWorkers(now, minSilence);
    ASSERT_EQ(silent.size(), 1U);
    EXPECT_EQ(silent.front().worker, worker.id);
    EXPECT_EQ(silent.front().leasesEndIn, fleet.leasesEnd(now) - now);

    AcceptedJob job;
    job.key = {7};
    job.policy.service = Service;
    job.spec.steps.resize(1);
    job.spec.steps[0].needs = TaskSize;
    job.knownFence = {5};
    fleet.addJob(job, now, {});
    answer();
    EXPECT_TRUE(fleet.awaitsRowRenewal(now));
    EXPECT_EQ(fleet.leaseOrder(worker.id, now).deadline, 0) << "the write may be carried out although it failed";
    EXPECT_TRUE(fleet.plan(now, {}).starts.empty());
    fleet.markSilentWorkersStored();
    EXPECT_EQ(fleet.leaseOrder(worker.id, now).deadline, 0) << "the stored row names it";
    EXPECT_TRUE(fleet.takeSilentWorkers(now, minSilence).empty());
    EXPECT_EQ(fleet.leaseOrder(worker.id, now).deadline, 0) << "the new row is not stored yet";
    fleet.removeWorker(worker.id, now);
    fleet.updateWorker(worker, now);
    answer();
    EXPECT_EQ(fleet.leaseOrder(worker.id, now).deadline, 0) << "it has left and joined again";
    fleet.markSilentWorkersStored();
    EXPECT_FALSE(fleet.awaitsRowRenewal(now));
    EXPECT_GT(fleet.leaseOrder(worker.id, now).deadline, 0);
}

// A new leader waits for each worker as long as the row says, and names those that it does not reach
// either with the rest of that time.
TEST(Takeover, WaitsForASilentWorkerAsLongAsTheRowSays)
{
    constexpr TimePoint start{1h};
    std::vector<RosterEntry> roster(3);
    NullLog log;
    Fleet fleet(log);
    for (std::size_t n = 0; n < roster.size(); ++n) {
        roster[n].worker.id = WorkerId("w" + std::to_string(n));
        roster[n].worker.service = Service;
        roster[n].worker.capacity = {16000, 32000, 0};
        roster[n].worker.startTimeMs = 1;
    }
    fleet.beginTerm({5}, 10, roster, start + 7s, start,
                    std::vector<membership::SilentWorker>{{roster[0].worker.id, Duration(2s)},
                                                          {roster[1].worker.id, Duration(9s)}});
    AcceptedJob job;
    job.key = {7};
    job.policy.service = Service;
    job.spec.steps.resize(1);
    job.spec.steps[0].needs = TaskSize;
    fleet.addJob(job, start, {});
    WorkerListing listing;
    listing.clock = 1000;
    listing.startTimeMs = 1;
    for (const auto &it : roster) {
        fleet.updateWorker(it.worker, start);
    }
    fleet.applyListing(roster[2].worker.id, listing, start, start);
    for (const int n : {0, 1}) {
        fleet.markSilent(roster[static_cast<std::size_t>(n)].worker.id, start);
    }
    const auto silent = fleet.takeSilentWorkers(start + 1s, 1s);
    ASSERT_EQ(silent.size(), 2U);
    EXPECT_EQ(silent[0].leasesEndIn, Duration(1s));
    EXPECT_EQ(silent[1].leasesEndIn, Duration(6s)) << "no later than all leases of former leaders";
    fleet.plan(start + 1999ms, {});
    EXPECT_EQ(fleet.fullCounts().unreportedWorkers, 2U);
    fleet.plan(start + 2s, {});
    EXPECT_EQ(fleet.fullCounts().unreportedWorkers, 1U);
    EXPECT_EQ(fleet.takeSilentWorkers(start + 3s, 1s)[0].leasesEndIn, Duration(0));
    fleet.plan(start + 6999ms, {});
    EXPECT_EQ(fleet.fullCounts().unreportedWorkers, 1U);
    fleet.plan(start + 7s, {});
    EXPECT_EQ(fleet.fullCounts().unreportedWorkers, 0U);
}

// A leader that has not reported its end may still renew the leases of a worker that its successor
// does not reach: with the support of the witnesses for the whole grace period, if the successor does not
// reach most of them either.
TEST(Takeover, OnlyTheReportOfTheLeaderThatWasReplacedShortensTheWait)
{
    struct Case
    {
        const char *name;
        std::optional<std::int64_t> fenceOffset; // of a report, from the former leader's fence
    };
    for (const auto &it : {Case{"no report", std::nullopt}, Case{"the former leader's predecessor", -1},
                           Case{"this leader", 1}, Case{"a later leader", 2}}) {
        for (const bool areWitnessesLost : {false, true}) {
            SCOPED_TRACE(std::string(it.name) + (areWitnessesLost ? ", most witnesses lost" : ""));
            LostWorkerCluster cluster;
            cluster.loseWorkerAndLeader();
            cluster.killHost(cluster.former);
            for (int n = 0; areWitnessesLost && n < WorkerCount / 2; ++n) {
                const WorkerId id("w" + std::to_string(n));
                if (id != cluster.lost) {
                    cluster.workers.crash(id, true);
                }
            }
            ASSERT_GE(cluster.awaitSuccessor(), 0);
            if (it.fenceOffset) {
                const auto fence
                    = static_cast<std::uint64_t>(static_cast<std::int64_t>(cluster.formerFence()) + *it.fenceOffset);
                cluster.put(endedTermRow(cluster.host(cluster.former).name),
                            cluster.codec.encode(membership::EndedTerm{{fence}, Duration(0)}));
            }
            const auto minWait = areWitnessesLost ? StoreOutageGracePeriodAfterClaim : UnsupportedGracePeriodAfterClaim;
            EXPECT_GT(cluster.timeUntilAllRun(), minWait);
            EXPECT_EQ(violationsOf(cluster), "");
        }
    }
}

// Guards against a task that runs twice: the former leader renews the lease of the worker that its
// successor does not reach, and learns of the successor late or never.
TEST(Takeover, AFormerLeaderBesideAWorkerThatItsSuccessorDoesNotReachRunsNoTaskTwice)
{
    for (const Duration stepsDownAfter : {Duration(100ms), Duration(2s), Duration(5s), Duration(8s), Duration(1h)}) {
        SCOPED_TRACE(toMilliseconds(stepsDownAfter));
        SplitCluster cluster;
        cluster.taskModel.overrides[{7}] = {60s, false, TaskSize};
        for (int n = 1; n < WorkerCount; ++n) {
            cluster.setCapacity(WorkerId("w" + std::to_string(n)), {0, 0, 0});
        }
        cluster.scheduler.runFor(2s);
        cluster.submit(0, 7);
        cluster.scheduler.runFor(1s);
        ASSERT_EQ(cluster.workers.runningCount(), 3) << "on w0";
        for (int n = 1; n < WorkerCount; ++n) {
            cluster.setCapacity(WorkerId("w" + std::to_string(n)), {16000, 32000, 0});
        }
        cluster.scheduler.runFor(1s);
        cluster.split();
        ASSERT_GE(cluster.awaitSuccessor(), 0);
        EXPECT_TRUE(cluster.host(cluster.former).loop->summary().isLeader);
        cluster.scheduler.runFor(std::min<Duration>(stepsDownAfter, 20s));
        cluster.host(cluster.former).storeFaults.rule = {};
        cluster.scheduler.runFor(20s);
        EXPECT_EQ(cluster.workers.runningCount(), 3);
        EXPECT_EQ(violationsOf(cluster), "");
    }
}

// Guards against a task that runs twice: workers that have accepted the successor start again, and as they have
// forgotten its fence, they answer the former leader, which took that as support and extended its lease.
TEST(Takeover, RestartedWitnessesDoNotSupportAFormerLeader)
{
    SplitCluster cluster;
    cluster.taskModel.overrides[{7}] = {60s, false, TaskSize};
    for (int n = 1; n < WorkerCount; ++n) {
        cluster.setCapacity(WorkerId("w" + std::to_string(n)), {0, 0, 0});
    }
    cluster.scheduler.runFor(2s);
    cluster.submit(0, 7);
    cluster.scheduler.runFor(1s);
    ASSERT_EQ(cluster.workers.runningCount(), 3) << "on w0";
    for (int n = 1; n < WorkerCount; ++n) {
        cluster.setCapacity(WorkerId("w" + std::to_string(n)), {16000, 32000, 0});
    }
    cluster.scheduler.runFor(1s);
    cluster.split();
    ASSERT_GE(cluster.awaitSuccessor(), 0);
    cluster.scheduler.runFor(300ms);
    const std::string notRestarted = "w" + std::to_string(WorkerCount - 1);
    for (int n = 0; n < HostCount; ++n) {
        const bool isFormer = n == cluster.former;
        cluster.host(n).workerFaults.rule = [=](std::string_view call, TimePoint) {
            return call.ends_with(notRestarted) == isFormer ? std::optional(Refused) : std::nullopt;
        };
    }
    for (int n = 1; n < WorkerCount - 1; ++n) {
        const WorkerId id("w" + std::to_string(n));
        cluster.workers.crash(id);
        cluster.workers.restart(id, 2);
    }
    EXPECT_TRUE(cluster.host(cluster.former).loop->summary().isLeader);
    cluster.scheduler.runFor(9s);
    EXPECT_EQ(cluster.workers.runningCount(), 3) << "on the worker that only the successor reaches";
    EXPECT_EQ(violationsOf(cluster), "");
}

// What the support of the witnesses is for: an outage of the store ends no runs, since no other host can have
// claimed. Without most witnesses, a leader could not tell that from a cut of its own.
TEST(Takeover, AnOutageOfTheStoreEndsNoRunsOfALeaderThatItsWitnessesSupport)
{
    for (const bool areWitnessesReached : {true, false}) {
        SCOPED_TRACE(areWitnessesReached ? "reached" : "not reached");
        Cluster cluster;
        cluster.taskModel.overrides[{7}] = {60s, false, TaskSize};
        std::set<WorkerId> used;
        cluster.workers.setObserver([&](std::string_view event, const WorkerId &worker, const auto &, auto, auto) {
            if (event == "started") {
                used.insert(worker);
            }
        });
        cluster.scheduler.runFor(2s);
        const int leader = cluster.leader();
        ASSERT_GE(leader, 0);
        cluster.submit(leader, 7);
        cluster.scheduler.runFor(2s);
        ASSERT_EQ(cluster.workers.runningCount(), 3);
        for (auto &it : cluster.hosts) {
            it->storeFaults.isCut = true;
        }
        for (int n = 0; !areWitnessesReached && n < WorkerCount; ++n) {
            const WorkerId id("w" + std::to_string(n));
            cluster.workers.setDisconnected(id, !used.contains(id));
        }
        ASSERT_LE(used.size(), WorkerCount / 2U) << "the others are a majority, or half";
        cluster.scheduler.runFor(10s);
        EXPECT_EQ(cluster.workers.runningCount(), areWitnessesReached ? 3 : 0);
        for (auto &it : cluster.hosts) {
            it->storeFaults.isCut = false;
        }
        cluster.scheduler.runFor(10s);
        EXPECT_EQ(cluster.workers.runningCount(), 3);
        EXPECT_EQ(violationsOf(cluster), "");
    }
}

// Guards against a task that runs twice: a leader between the two has led for a short time and has not reached
// the worker either, and its end says nothing about the leases of the leader before it.
TEST(Takeover, TheEndOfAShortTermDoesNotCoverTheLeaderBeforeIt)
{
    SplitCluster cluster;
    cluster.taskModel.overrides[{7}] = {60s, false, TaskSize};
    for (int n = 1; n < WorkerCount; ++n) {
        cluster.setCapacity(WorkerId("w" + std::to_string(n)), {0, 0, 0});
    }
    cluster.scheduler.runFor(2s);
    cluster.submit(0, 7);
    cluster.scheduler.runFor(1s);
    ASSERT_EQ(cluster.workers.runningCount(), 3) << "on w0";
    for (int n = 1; n < WorkerCount; ++n) {
        cluster.setCapacity(WorkerId("w" + std::to_string(n)), {16000, 32000, 0});
    }
    cluster.scheduler.runFor(1s);
    cluster.split();
    const int second = cluster.awaitSuccessor();
    ASSERT_GE(second, 0);
    cluster.scheduler.runFor(100ms);
    cluster.host(second).storeFaults.isCut = true;
    cluster.host(second).workerFaults.isCut = true;
    cluster.host(second).workerFaults.rule = {};
    const int third = cluster.other(second);
    for (int step = 0; step < 4000 && !cluster.host(third).loop->summary().isLoaded; ++step) {
        cluster.scheduler.runFor(1ms);
    }
    ASSERT_TRUE(cluster.host(third).loop->summary().isLoaded);
    cluster.host(second).storeFaults.isCut = false;
    cluster.scheduler.runFor(1s);
    EXPECT_TRUE(cluster.rows.rows.contains(endedTermRow(cluster.host(second).name)));
    EXPECT_TRUE(cluster.host(cluster.former).loop->summary().isLeader);
    cluster.scheduler.runFor(20s);
    EXPECT_EQ(cluster.workers.runningCount(), 3);
    EXPECT_EQ(violationsOf(cluster), "");
}

// Guards against a task that runs twice: a worker restarts unnoticed and carries out a start order of
// the former leader, by the former process's clock, so that it keeps the run for the longest time that
// the platform grants. The former leader then reports the end of its leases.
TEST(Takeover, AStartThatCrossesARestartOfItsWorkerIsPartOfTheFormerLeadersReport)
{
    for (const bool isAnswered : {false, true}) {
        SCOPED_TRACE(isAnswered ? "accepted" : "unanswered");
        SplitCluster cluster;
        cluster.taskModel.overrides[{7}] = {60s, false, TaskSize};
        cluster.scheduler.runFor(12s); // the former process's clock is ahead
        for (int n = 1; n < WorkerCount; ++n) {
            cluster.setCapacity(WorkerId("w" + std::to_string(n)), {0, 0, 0});
        }
        cluster.scheduler.runFor(2s);
        cluster.former = cluster.leader();
        ASSERT_GE(cluster.former, 0);
        for (int n = 0; n < HostCount; ++n) {
            const bool isFormer = n == cluster.former;
            cluster.host(n).workerFaults.rule = [=](std::string_view call, TimePoint) -> std::optional<Fault> {
                if (isFormer && call == "start w0") {
                    return Fault{500ms, false, !isAnswered};
                }
                return call.ends_with(" w0") ? std::optional(Refused) : std::nullopt;
            };
        }
        cluster.workers.crash(WorkerId("w0"), true); // the pending renewal gets no answer
        cluster.workers.restart(WorkerId("w0"), 2);
        cluster.submit(cluster.former, 7);
        cluster.scheduler.runFor(100ms);
        for (int n = 1; n < WorkerCount; ++n) {
            cluster.setCapacity(WorkerId("w" + std::to_string(n)), {16000, 32000, 0});
        }
        cluster.host(cluster.former).storeFaults.isCut = true;
        ASSERT_GE(cluster.awaitSuccessor(), 0);
        ASSERT_EQ(cluster.workers.runningCount(), 3) << "on w0";
        cluster.scheduler.runFor(300ms);
        cluster.host(cluster.former).storeFaults.isCut = false;
        cluster.scheduler.runFor(20s);
        EXPECT_EQ(cluster.workers.runningCount(), 3);
        EXPECT_EQ(violationsOf(cluster), "");
    }
}

// Guards against a claim that leaves out the owner row of a part: no progress of its jobs could be
// stored, or a former leader could go on storing it.
TEST(Takeover, JobsOfAllPartsRunOnce)
{
    constexpr std::array<std::uint64_t, 4> keys{7, 0x4000000000000007, 0x8000000000000007, 0xC000000000000007};
    Cluster cluster;
    cluster.scheduler.runFor(2s);
    const int former = cluster.leader();
    ASSERT_GE(former, 0);
    for (const auto it : keys) {
        cluster.submit(0, it);
    }
    cluster.scheduler.runFor(300ms);
    cluster.host(former).storeFaults.rule = [](std::string_view call, TimePoint) {
        return call == "commit" || call == "changes leader" ? std::optional(Refused) : std::nullopt;
    };
    cluster.scheduler.runFor(5s);
    cluster.host(former).storeFaults.rule = {};
    cluster.scheduler.runFor(20s);
    EXPECT_EQ(violationsOf(cluster), "");
    for (const auto it : keys) {
        EXPECT_EQ(cluster.workers.doneCount({it}), TasksPerJob);
        const auto status = cluster.status(0, it);
        ASSERT_TRUE(status);
        EXPECT_EQ(status->state, jobs::JobState::Completed);
    }
}

// The roster has the capacities of the time when it was stored, and a new leader reads the entries
// later than its workers answer.
TEST(Takeover, StartsNothingByTheCapacitiesOfTheRoster)
{
    for (const auto delay : {2ms, 500ms, 2500ms}) {
        SCOPED_TRACE(toMilliseconds(delay));
        Cluster cluster;
        cluster.workers.setCapacityNotice(20ms);
        cluster.taskModel.overrides[{1}] = {6s, false, TaskSize};
        cluster.scheduler.runFor(2s);
        const int former = cluster.leader();
        ASSERT_GE(former, 0);
        cluster.submit(former, 1);
        cluster.scheduler.runFor(300ms);
        for (int n = 0; n < WorkerCount; ++n) {
            // The first one holds less than it runs, the last one takes one task.
            const auto milliCores = n + 1 < WorkerCount ? TaskSize.milliCores - 1 : TaskSize.milliCores;
            cluster.setCapacity(WorkerId("w" + std::to_string(n)), {milliCores, 32000, 0});
        }
        cluster.scheduler.runFor(300ms);
        for (const auto &it : cluster.hosts) {
            it->storeFaults.rule = [delay](std::string_view call, TimePoint) {
                return call == "scan workers" ? std::optional(Fault{delay, false, false}) : std::nullopt;
            };
        }
        cluster.killHost(former);
        for (std::uint64_t key = 2; key < 6; ++key) {
            cluster.submit((former + 1) % HostCount, key);
        }
        cluster.scheduler.runFor(60s); // 28 s of tasks one after another, and the takeover
        EXPECT_EQ(violationsOf(cluster), "");
        for (std::uint64_t key = 1; key < 6; ++key) {
            EXPECT_EQ(cluster.workers.doneCount({key}), TasksPerJob) << "one at a time on the last worker";
        }
    }
}

} // namespace monsoonspool::execution
