#include "execution/rosterwriter.h"
#include "execution/testcluster.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <optional>
#include <string>

namespace monsoonspool::execution {

using namespace testcluster;

TEST(ExecutionLoop, OneHostLeadsAndJobsComplete)
{
    Cluster cluster;
    cluster.scheduler.runFor(2s);
    ASSERT_GE(cluster.leader(), 0);
    for (std::uint64_t key = 1; key <= 20; ++key) {
        cluster.submit(static_cast<int>(key % HostCount), key);
    }
    cluster.scheduler.runFor(15s);
    for (std::uint64_t key = 1; key <= 20; ++key) {
        EXPECT_EQ(cluster.answers[key], SubmitResult::Accepted);
        EXPECT_EQ(cluster.workers.doneCount({key}), TasksPerJob);
    }
    const auto status = cluster.status(0, 20);
    ASSERT_TRUE(status);
    EXPECT_EQ(status->state, jobs::JobState::Completed);
    EXPECT_FALSE(cluster.status(1, 99)->isKnown);
    EXPECT_EQ(violationsOf(cluster), "");
    EXPECT_EQ(cluster.workers.startCount(), 20 * TasksPerJob);
}

TEST(ExecutionLoop, AResubmittedJobRunsOnce)
{
    Cluster cluster;
    cluster.scheduler.runFor(2s);
    cluster.submit(0, 7);
    cluster.submit(1, 7);
    cluster.scheduler.runFor(5s);
    cluster.submit(2, 7);
    cluster.scheduler.runFor(5s);
    EXPECT_EQ(cluster.answers[7], SubmitResult::Accepted);
    EXPECT_EQ(cluster.workers.startCount(), TasksPerJob);
}

TEST(ExecutionLoop, ACancelledJobStopsAndStartsNoTask)
{
    Cluster cluster;
    cluster.taskModel.overrides[{7}] = {60s, false, TaskSize};
    cluster.scheduler.runFor(2s);
    cluster.submit(0, 7);
    cluster.scheduler.runFor(1s);
    EXPECT_EQ(cluster.workers.runningCount(), 3);
    std::optional<JobStatus> cancelled;
    cluster.host(1).loop->jobRequestHandler().cancel({7}, cluster.scheduler.now() + 1s,
                                                     [&](const auto &result) { cancelled = result.value(); });
    cluster.scheduler.runFor(1s);
    ASSERT_TRUE(cancelled);
    EXPECT_EQ(cancelled->state, jobs::JobState::Cancelled);
    EXPECT_EQ(cluster.workers.runningCount(), 0);
    cluster.scheduler.runFor(5s);
    EXPECT_EQ(cluster.workers.startCount(), 3);
}

// Guards against a job that is accepted and runs after its cancellation was answered with "no such
// job": its submission is still under way at a host that is paused, or the store performs it late.
TEST(ExecutionLoop, AJobCancelledBeforeItIsStoredIsNeverAccepted)
{
    enum class Delay { InTheHost, InTheStore };
    for (const auto delay : {Delay::InTheHost, Delay::InTheStore}) {
        for (const bool isAnswerLost : {false, true}) {
            SCOPED_TRACE(static_cast<int>(delay));
            SCOPED_TRACE(isAnswerLost);
            Cluster cluster;
            cluster.scheduler.runFor(2s);
            if (delay == Delay::InTheStore) {
                cluster.host(0).storeFaults.rule = [](std::string_view call, TimePoint) {
                    return call == "commit" ? std::optional(Fault{1s, false, true}) : std::nullopt;
                };
                cluster.submit(0, 7);
                cluster.host(0).storeFaults.rule = nullptr;
            }
            if (isAnswerLost) {
                const auto lostUntil = cluster.scheduler.now() + 50ms;
                cluster.host(1).storeFaults.rule = [lostUntil](std::string_view call, TimePoint now) {
                    return call == "commit" && now < lostUntil ? std::optional(Fault{2ms, false, true}) : std::nullopt;
                };
            }
            std::optional<JobStatus> cancelled;
            cluster.host(1).loop->jobRequestHandler().cancel({7}, cluster.scheduler.now() + 800ms,
                                                             [&](const auto &result) { cancelled = result.value(); });
            cluster.scheduler.runFor(500ms);
            ASSERT_TRUE(cancelled);
            EXPECT_FALSE(cancelled->isKnown);
            if (delay == Delay::InTheHost) {
                cluster.submit(0, 7);
            }
            cluster.scheduler.runFor(5s);
            EXPECT_EQ(cluster.answers[7], SubmitResult::Cancelled);
            EXPECT_EQ(cluster.workers.startCount(), 0);
            EXPECT_FALSE(cluster.status(2, 7)->isKnown) << "nobody has handed the job in with success";

            cluster.killHost(cluster.leader());
            cluster.scheduler.runFor(15s);
            const int survivor = cluster.leader();
            ASSERT_GE(survivor, 0);
            cluster.submit(survivor, 7);
            cluster.scheduler.runFor(2s);
            EXPECT_EQ(cluster.answers[7], SubmitResult::Cancelled);
            EXPECT_EQ(cluster.workers.startCount(), 0);
        }
    }
}

// Guards against a cancellation that is lost to a submission which the store performs in between.
TEST(ExecutionLoop, ACancellationThatMeetsTheSubmissionEndsTheJob)
{
    Cluster cluster;
    cluster.taskModel.overrides[{7}] = {60s, false, TaskSize};
    cluster.scheduler.runFor(2s);
    cluster.host(1).storeFaults.rule = [](std::string_view call, TimePoint) {
        return call == "commit" ? std::optional(Fault{100ms, false, false}) : std::nullopt;
    };
    std::optional<JobStatus> cancelled;
    cluster.host(1).loop->jobRequestHandler().cancel({7}, cluster.scheduler.now() + 1s,
                                                     [&](const auto &result) { cancelled = result.value(); });
    cluster.scheduler.runFor(20ms);
    cluster.submit(0, 7);
    cluster.scheduler.runFor(3s);
    EXPECT_EQ(cluster.answers[7], SubmitResult::Accepted);
    ASSERT_TRUE(cancelled);
    EXPECT_TRUE(cancelled->isKnown);
    EXPECT_EQ(cancelled->state, jobs::JobState::Cancelled);
    EXPECT_EQ(cluster.workers.runningCount(), 0);
}

// A host that cannot reach the store answers by the client's deadline, and immediately
// once the store is known to be unreachable.
TEST(ExecutionLoop, AHostWithoutTheStoreAnswersByTheDeadline)
{
    Cluster cluster;
    cluster.scheduler.runFor(2s);
    cluster.host(0).storeFaults.lossRate = 1;
    cluster.host(0).storeFaults.lossDelay = 10s;
    cluster.submit(0, 7);
    cluster.scheduler.runFor(2499ms);
    EXPECT_FALSE(cluster.answers.contains(7));
    cluster.scheduler.runFor(2ms);
    EXPECT_EQ(cluster.answers[7], SubmitResult::Unknown);
    cluster.scheduler.runFor(1s);
    cluster.submit(0, 8);
    EXPECT_EQ(cluster.answers[8], SubmitResult::NotAccepted);
    std::optional<ErrorKind> kind;
    cluster.host(0).loop->jobRequestHandler().status({7}, cluster.scheduler.now() + 1s,
                                                     [&](const auto &result) { kind = result.failure().kind; });
    EXPECT_EQ(kind, ErrorKind::StoreUnavailable);
}

TEST(ExecutionLoop, AJobThatAlwaysFailsEndsAfterMaxAttempts)
{
    Cluster cluster;
    cluster.taskModel.overrides[{7}] = {50ms, true, TaskSize};
    cluster.scheduler.runFor(2s);
    cluster.submit(0, 7);
    cluster.scheduler.runFor(20s);
    const auto status = cluster.status(2, 7);
    ASSERT_TRUE(status);
    EXPECT_EQ(status->state, jobs::JobState::Failed);
    EXPECT_LE(cluster.workers.startCount(), 3 * 3);
}

TEST(ExecutionLoop, AnUnreadableWorkerEntryIsIgnored)
{
    Cluster cluster;
    cluster.put({"workers", "", "w0"}, "unreadable");
    cluster.scheduler.runFor(2s);
    for (std::uint64_t key = 1; key <= 10; ++key) {
        cluster.submit(0, key);
    }
    cluster.scheduler.runFor(15s);
    EXPECT_EQ(cluster.workers.doneCount({10}), TasksPerJob);
}

// Every host watches the leader row. When a few hundred workers join, the roster must
// not be sent to every host.
TEST(ExecutionLoop, JoiningWorkersAreNotSentToOtherHosts)
{
    Cluster cluster;
    cluster.scheduler.runFor(2s);
    constexpr int joiningWorkers = 200;
    for (int n = 0; n < joiningWorkers; ++n) {
        WorkerEntry entry;
        entry.id = WorkerId("joining-" + std::to_string(n));
        entry.service = Service;
        entry.capacity = {16000, 32000, 0};
        entry.rack = "r9";
        entry.startTimeMs = 1;
        cluster.workers.addWorker(entry);
        cluster.put({"workers", "", entry.id.text()}, "ready");
        cluster.scheduler.runFor(10ms);
    }
    cluster.scheduler.runFor(2s);
    std::size_t watchedBytes = 0;
    std::size_t rosterWrites = 0;
    for (const auto &it : cluster.rows.history) {
        watchedBytes += it.name.table == LeaderTable ? it.value.size() : 0;
        rosterWrites += it.name.table == RosterTable ? 1 : 0;
    }
    const auto &leaderValue = cluster.rows.rows.at(leaderRow()).value;
    EXPECT_LE(watchedBytes, 12 * (leaderValue.size() + 16)) << "only the leader row may be written, once per 800 ms";
    EXPECT_GT(rosterWrites, 0U);
    std::size_t stored = 0;
    for (int n = 0; n < RosterBuckets; ++n) {
        const auto row = cluster.rows.rows.find(rosterRow(n));
        if (row != cluster.rows.rows.end() && !row->second.value.empty()) {
            stored += cluster.codec.decodeRoster(row->second.value).value().size();
        }
    }
    EXPECT_EQ(stored, static_cast<std::size_t>(joiningWorkers + WorkerCount));
}

// A leader that does not know of its successor yet must not add workers to the roster:
// the successor has already read it and would not wait for them.
TEST(ExecutionLoop, AFormerLeaderCannotChangeTheRoster)
{
    Cluster cluster;
    cluster.scheduler.runFor(2s);
    const int former = cluster.leader();
    ASSERT_GE(former, 0);
    // The successor's claim; the former leader does not learn of it.
    cluster.put(rosterOwnerRow(), "");
    WorkerEntry entry;
    entry.id = WorkerId("late");
    entry.service = Service;
    entry.capacity = {64000, 64000, 0};
    entry.startTimeMs = 1;
    cluster.workers.addWorker(entry);
    cluster.put({"workers", "", "late"}, "ready");
    cluster.scheduler.runFor(1s);
    const auto row = cluster.rows.rows.find(rosterRow(rosterBucketOf(entry.id)));
    if (row != cluster.rows.rows.end() && !row->second.value.empty()) {
        const auto stored = cluster.codec.decodeRoster(row->second.value).value();
        EXPECT_TRUE(std::ranges::none_of(stored, [&](const RosterEntry &it) { return it.worker.id == entry.id; }));
    }
}

// Guards against starts on a worker that a late write removes from the roster: the write got no
// reply, and the worker was listed again before the store carried it out.
TEST(ExecutionLoop, ALateRosterWriteRemovesNoWorkerThatIsBack)
{
    VirtualScheduler scheduler;
    SharedRows rows;
    HostFaults faults(1);
    MemoryChangeStore store(rows, scheduler, faults);
    codec::CborJobs codec;
    NullLog log;
    Fleet fleet(log);
    const auto claim = rows.apply({{}, {{rosterOwnerRow(), {}}}, {}}).version;
    fleet.beginTerm({1}, claim, {}, scheduler.now(), scheduler.now());
    RosterWriter writer(store, scheduler, codec, fleet, log, claim, {}, [] {});
    WorkerEntry entry;
    entry.id = WorkerId("w0");
    entry.service = Service;
    entry.capacity = {16000, 32000, 0};
    entry.startTimeMs = 1;
    const auto listAndStore = [&] {
        fleet.updateWorker(entry, scheduler.now());
        fleet.applyListing(entry.id, {1000, 1, {}, {}}, scheduler.now(), scheduler.now());
        writer.requestWrite();
        scheduler.runFor(1s);
    };
    listAndStore();
    const auto row = rosterRow(rosterBucketOf(entry.id));
    const auto version = rows.rows.at(row).version;
    faults.rule = [](std::string_view, TimePoint) { return std::optional(Fault{2ms, true, false}); };
    fleet.removeWorker(entry.id, scheduler.now());
    writer.requestWrite();
    scheduler.runFor(100ms);
    faults.rule = {};
    listAndStore();
    AcceptedJob job;
    job.key = {7};
    job.policy.service = Service;
    job.spec.steps.resize(1);
    fleet.addJob(job, scheduler.now(), {});
    EXPECT_EQ(fleet.plan(scheduler.now(), {}).starts.size(), 1U);
    EXPECT_FALSE(rows.apply({{{row, version}}, {{row, {}}}, {}}).isApplied) << "the write that got no reply";
}

// The learned interference model survives a change of leader.
TEST(ExecutionLoop, ANewLeaderRestoresTheInterferenceModel)
{
    Cluster cluster;
    const std::vector<scheduling::LearnedInterference> learned = {{"serving", 0.145, {{"heavy", 0.4}}}};
    cluster.put(learnedRow(), cluster.codec.encode(learned));
    cluster.put({std::string(LearnedTable), "", "foreign"}, "unreadable");
    cluster.scheduler.runFor(10s);
    ASSERT_GE(cluster.leader(), 0);
    const auto first = cluster.rows.rows.at(learnedRow()).version;
    cluster.killHost(cluster.leader());
    cluster.scheduler.runFor(15s);
    ASSERT_GE(cluster.leader(), 0);
    const auto &row = cluster.rows.rows.at(learnedRow());
    EXPECT_GT(row.version, first) << "written by the second leader";
    const auto decoded = cluster.codec.decodeLearned(row.value).value();
    ASSERT_EQ(decoded.size(), 1U);
    EXPECT_EQ(decoded.front().image, "serving");
    ASSERT_EQ(decoded.front().sensitivities.size(), 1U);
    EXPECT_NEAR(decoded.front().sensitivities.front().value, 0.4, 0.15);
}

// A former leader that still reads jobs starts one that its successor has not read yet. The
// successor must not start the tasks again when it reads the job after their ends.
TEST(ExecutionLoop, ATaskThatEndsBeforeItsJobIsReadRunsOnce)
{
    Cluster cluster;
    cluster.scheduler.runFor(2s);
    const int former = cluster.leader();
    ASSERT_GE(former, 0);
    const int successor = (former + 1) % HostCount;
    const int other = (former + 2) % HostCount;
    // The former leader reads jobs, but cannot renew its row nor store progress. The other host,
    // which accepts the job, does not know of the successor either.
    const auto refuse = [&](int n, std::vector<std::string_view> calls) {
        cluster.host(n).storeFaults.rule = [calls = std::move(calls)](std::string_view call, TimePoint) {
            return std::ranges::find(calls, call) != calls.end() ? std::optional(Fault{2ms, true, false})
                                                                 : std::nullopt;
        };
    };
    refuse(former, {"commit", "changes leader"});
    refuse(other, {"commit", "changes leader"});
    cluster.host(successor).workerFaults.isCut = true;
    cluster.scheduler.runFor(4s);
    ASSERT_TRUE(cluster.host(successor).loop->summary().isLoaded);
    refuse(successor, {"changes jobs"});
    cluster.scheduler.runFor(1100ms); // until the pending poll of the jobs is over
    refuse(other, {});
    cluster.submit(other, 7);
    cluster.scheduler.runFor(1s);
    cluster.host(successor).workerFaults.isCut = false;
    cluster.scheduler.runFor(1s);
    refuse(successor, {});
    cluster.scheduler.runFor(20s);
    EXPECT_EQ(violationsOf(cluster), "");
    EXPECT_EQ(cluster.workers.doneCount({7}), TasksPerJob);
    EXPECT_EQ(cluster.workers.startCount(), TasksPerJob);
}

// A leader that no longer reads the workers' entries starts tasks on workers that are leaving.
TEST(ExecutionLoop, NoTaskStartsOnWorkersWhoseEntriesAreNotRead)
{
    Cluster cluster;
    cluster.scheduler.runFor(2s);
    const int leader = cluster.leader();
    ASSERT_GE(leader, 0);
    cluster.host(leader).storeFaults.rule = [](std::string_view call, TimePoint) {
        return call == "changes workers" || call == "scan workers" ? std::optional(Fault{2ms, true, false})
                                                                   : std::nullopt;
    };
    cluster.scheduler.runFor(1s); // until the pending poll is over
    for (int n = 0; n < WorkerCount; ++n) {
        cluster.put({"workers", "", "w" + std::to_string(n)}, "draining");
    }
    cluster.scheduler.runFor(2500ms);
    cluster.submit(leader, 7);
    cluster.scheduler.runFor(3s);
    ASSERT_EQ(cluster.leader(), leader);
    EXPECT_EQ(cluster.answers[7], SubmitResult::Accepted);
    EXPECT_EQ(cluster.workers.startCount(), 0);

    cluster.host(leader).storeFaults.rule = {};
    cluster.put({"workers", "", "w0"}, "ready");
    cluster.scheduler.runFor(6s);
    EXPECT_EQ(violationsOf(cluster), "");
    EXPECT_EQ(cluster.workers.doneCount({7}), TasksPerJob);
}

// A leader that no longer reads the jobs starts tasks of cancelled ones.
TEST(ExecutionLoop, NoTaskStartsWhileCancellationsAreNotRead)
{
    Cluster cluster;
    cluster.taskModel.overrides[{7}] = {6s, false, TaskSize};
    cluster.taskModel.overrides[{8}] = {6s, false, TaskSize};
    cluster.scheduler.runFor(2s);
    const int leader = cluster.leader();
    ASSERT_GE(leader, 0);
    cluster.submit(leader, 7);
    cluster.submit(leader, 8);
    cluster.scheduler.runFor(1s);
    ASSERT_EQ(cluster.workers.startCount(), 2 * 3);
    cluster.host(leader).storeFaults.rule = [](std::string_view call, TimePoint) {
        return call == "changes jobs" || call == "scan jobs" ? std::optional(Fault{1600ms, false, true}) : std::nullopt;
    };
    cluster.scheduler.runFor(1100ms); // until the pending poll is over
    const auto starts = cluster.workers.startCount();
    std::optional<JobStatus> cancelled;
    cluster.host((leader + 1) % HostCount)
        .loop->jobRequestHandler()
        .cancel({7}, cluster.scheduler.now() + 1s, [&](const auto &result) { cancelled = result.value(); });
    cluster.scheduler.runFor(6s);
    ASSERT_EQ(cluster.leader(), leader);
    ASSERT_TRUE(cancelled);
    EXPECT_EQ(cluster.workers.startCount(), starts) << "the second steps, after the first have ended";

    cluster.host(leader).storeFaults.rule = {};
    cluster.scheduler.runFor(10s);
    EXPECT_EQ(violationsOf(cluster), "");
    EXPECT_EQ(cluster.workers.startCount(), 3 + TasksPerJob);
    EXPECT_EQ(cluster.workers.doneCount({8}), TasksPerJob);
}

// A partition leaves the leader and some workers on one side, and the store on the other. The
// leader renews their leases until it may no longer decide; successors must wait for that.
TEST(ExecutionLoop, TheLeasesOfALeaderThatStillDecidesAreWaitedFor)
{
    struct Case
    {
        const char *name;
        bool isKilled;
        bool isRestarted;
    };
    for (const auto &it : {Case{"one successor", false, false}, Case{"the first successor dies", true, false},
                           Case{"the first successor restarts", true, true}}) {
        SCOPED_TRACE(it.name);
        Cluster cluster;
        cluster.taskModel.overrides[{7}] = {60s, false, TaskSize};
        cluster.scheduler.runFor(2s);
        const int former = cluster.leader();
        ASSERT_GE(former, 0);
        cluster.submit(former, 7);
        cluster.scheduler.runFor(1s);
        ASSERT_EQ(cluster.workers.runningCount(), 3);
        cluster.host(former).storeFaults.isCut = true;
        for (int n = 0; n < HostCount; ++n) {
            cluster.host(n).workerFaults.rule = [isFormer = n == former](std::string_view call, TimePoint) {
                const bool isBesideFormer = call.ends_with("w0") || call.ends_with("w1");
                return isBesideFormer == isFormer ? std::nullopt : std::optional(Fault{2ms, true, false});
            };
        }
        cluster.scheduler.runFor(4s);
        for (int n = 0; n < HostCount; ++n) {
            const bool isSuccessor = n != former && cluster.host(n).loop->summary().isLeader;
            if (isSuccessor && it.isKilled) {
                cluster.killHost(n);
            }
            if (isSuccessor && it.isRestarted) {
                cluster.startHost(n);
            }
        }
        cluster.scheduler.runFor(30s);
        EXPECT_EQ(violationsOf(cluster), "");
        EXPECT_EQ(cluster.workers.startCount(), 6) << "started once on each side";
        EXPECT_EQ(cluster.workers.runningCount(), 3);
    }
}

// Leases end with the term of their leader, so a term that is renewed just in time must not
// end the runs.
TEST(ExecutionLoop, RunsSurviveAStoreOutageWithinTheTerm)
{
    Cluster cluster;
    cluster.taskModel.overrides[{7}] = {60s, false, TaskSize};
    cluster.scheduler.runFor(2s);
    cluster.submit(0, 7);
    cluster.scheduler.runFor(1s);
    for (const auto &it : cluster.hosts) {
        it->storeFaults.isCut = true;
    }
    cluster.scheduler.runFor(10500ms);
    for (const auto &it : cluster.hosts) {
        it->storeFaults.isCut = false;
    }
    cluster.scheduler.runFor(20s);
    EXPECT_EQ(violationsOf(cluster), "");
    EXPECT_EQ(cluster.workers.startCount(), 3);
    EXPECT_EQ(cluster.workers.runningCount(), 3);
}

// A partition leaves the leader and some workers on one side. The successor renews the leases
// of the other workers, so the leader must not take them for expired by its own orders.
TEST(ExecutionLoop, ALeaderThatMayHaveASuccessorDoesNotExpireLeases)
{
    Cluster cluster;
    cluster.taskModel.overrides[{7}] = {60s, false, TaskSize};
    cluster.scheduler.runFor(2s);
    const int former = cluster.leader();
    ASSERT_GE(former, 0);
    cluster.submit(former, 7);
    cluster.scheduler.runFor(1s);
    ASSERT_EQ(cluster.workers.runningCount(), 3);
    cluster.host(former).storeFaults.isCut = true;
    for (int n = 0; n < HostCount; ++n) {
        cluster.host(n).workerFaults.rule = [isFormer = n == former](std::string_view call, TimePoint) {
            const bool isBesideFormer = call.ends_with("w4") || call.ends_with("w5");
            return isBesideFormer == isFormer ? std::nullopt : std::optional(Fault{2ms, true, false});
        };
    }
    cluster.scheduler.runFor(30s);
    EXPECT_EQ(violationsOf(cluster), "");
    EXPECT_EQ(cluster.workers.startCount(), 3);
    EXPECT_EQ(cluster.workers.runningCount(), 3);
}

struct FaultCase
{
    const char *name;
    std::function<void(Cluster &)> inject; // at 4 s, while jobs run
    std::function<void(Cluster &)> recover; // 5 s later
};

class ExecutionFaults : public testing::TestWithParam<FaultCase>
{
};

// Under every fault, each accepted job completes, and no worker runs a task twice,
// starts a task after its end, or runs more than its capacity.
TEST_P(ExecutionFaults, AcceptedJobsCompleteAndTasksRunOnce)
{
    for (std::uint32_t seed = 1; seed <= 8; ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        Cluster cluster(seed);
        cluster.scheduler.runFor(2s);
        std::uint64_t key = 0;
        const auto submitJobs = [&](int seconds) {
            for (int n = 0; n < seconds * 4; ++n) {
                ++key;
                int host = static_cast<int>(key % HostCount);
                while (!cluster.host(host).loop) {
                    host = (host + 1) % HostCount;
                }
                cluster.submit(host, key);
                cluster.scheduler.runFor(250ms);
            }
        };
        submitJobs(2);
        GetParam().inject(cluster);
        submitJobs(5);
        GetParam().recover(cluster);
        submitJobs(2);
        cluster.scheduler.runFor(60s);
        int accepted = 0;
        for (const auto &[id, answer] : cluster.answers) {
            if (answer == SubmitResult::Accepted) {
                ++accepted;
                EXPECT_EQ(cluster.workers.doneCount({id}), TasksPerJob) << "job " << id;
            } else if (answer == SubmitResult::NotAccepted) {
                EXPECT_EQ(cluster.workers.doneCount({id}), 0) << "job " << id;
            }
        }
        EXPECT_GE(accepted, 12);
        EXPECT_EQ(violationsOf(cluster), "");
    }
}

INSTANTIATE_TEST_SUITE_P(Cases, ExecutionFaults,
                         testing::Values(FaultCase{"leader killed", [](Cluster &c) { c.killHost(c.leader()); },
                                                   [](Cluster &c) {
                                                       for (int n = 0; n < HostCount; ++n) {
                                                           if (!c.host(n).loop) {
                                                               c.startHost(n);
                                                           }
                                                       }
                                                   }},
                                         FaultCase{"leader restarted at once",
                                                   [](Cluster &c) {
                                                       const int n = c.leader();
                                                       c.killHost(n);
                                                       c.startHost(n);
                                                   },
                                                   [](Cluster &) {}},
                                         FaultCase{"leader disconnected from the store",
                                                   [](Cluster &c) { c.host(c.leader()).storeFaults.isCut = true; },
                                                   [](Cluster &c) {
                                                       for (auto &it : c.hosts) {
                                                           it->storeFaults.isCut = false;
                                                       }
                                                   }},
                                         FaultCase{"leader disconnected from the workers",
                                                   [](Cluster &c) { c.host(c.leader()).workerFaults.isCut = true; },
                                                   [](Cluster &c) {
                                                       for (auto &it : c.hosts) {
                                                           it->workerFaults.isCut = false;
                                                       }
                                                   }},
                                         FaultCase{"store unreachable for all",
                                                   [](Cluster &c) {
                                                       for (auto &it : c.hosts) {
                                                           it->storeFaults.isCut = true;
                                                       }
                                                   },
                                                   [](Cluster &c) {
                                                       for (auto &it : c.hosts) {
                                                           it->storeFaults.isCut = false;
                                                       }
                                                   }},
                                         FaultCase{"store replies lost",
                                                   [](Cluster &c) {
                                                       for (auto &it : c.hosts) {
                                                           it->storeFaults.lossRate = 0.3;
                                                       }
                                                   },
                                                   [](Cluster &c) {
                                                       for (auto &it : c.hosts) {
                                                           it->storeFaults.lossRate = 0;
                                                       }
                                                   }},
                                         FaultCase{"order replies lost and orders delayed",
                                                   [](Cluster &c) {
                                                       for (auto &it : c.hosts) {
                                                           it->workerFaults.lossRate = 0.2;
                                                           it->workerFaults.lossDelay = 3s;
                                                       }
                                                   },
                                                   [](Cluster &c) {
                                                       for (auto &it : c.hosts) {
                                                           it->workerFaults.lossRate = 0;
                                                       }
                                                   }},
                                         FaultCase{"worker crashed and leader killed",
                                                   [](Cluster &c) {
                                                       c.workers.crash(WorkerId("w1"));
                                                       c.killHost(c.leader());
                                                   },
                                                   [](Cluster &c) {
                                                       c.workers.restart(WorkerId("w1"), 2);
                                                       c.put({"workers", "", "w1"}, "ready");
                                                       for (int n = 0; n < HostCount; ++n) {
                                                           if (!c.host(n).loop) {
                                                               c.startHost(n);
                                                           }
                                                       }
                                                   }},
                                         FaultCase{"busy workers disconnected and leader killed",
                                                   [](Cluster &c) {
                                                       c.taskModel.overrides[{1000}] = {5s, false, TaskSize};
                                                       c.taskModel.overrides[{1001}] = {5s, false, TaskSize};
                                                       c.submit(0, 1000);
                                                       c.submit(1, 1001);
                                                       c.scheduler.runFor(300ms);
                                                       c.workers.setDisconnected(WorkerId("w0"), true);
                                                       c.workers.setDisconnected(WorkerId("w1"), true);
                                                       c.killHost(c.leader());
                                                   },
                                                   [](Cluster &c) {
                                                       c.workers.setDisconnected(WorkerId("w0"), false);
                                                       c.workers.setDisconnected(WorkerId("w1"), false);
                                                       for (int n = 0; n < HostCount; ++n) {
                                                           if (!c.host(n).loop) {
                                                               c.startHost(n);
                                                           }
                                                       }
                                                   }},
                                         FaultCase{"worker draining and history dropped",
                                                   [](Cluster &c) {
                                                       c.put({"workers", "", "w2"}, "draining");
                                                       c.rows.dropHistory();
                                                   },
                                                   [](Cluster &c) {
                                                       c.put({"workers", "", "w2"}, "ready");
                                                   }}),
                         [](const testing::TestParamInfo<FaultCase> &info) {
                             std::string name;
                             for (const char it : std::string_view(info.param.name)) {
                                 if (std::isalnum(static_cast<unsigned char>(it)) != 0) {
                                     name += it;
                                 }
                             }
                             return name;
                         });

// Guards against a lasting task that fails wherever it starts, and makes suspects of all workers.
TEST(ExecutionLoop, ALastingTaskThatAlwaysFailsKeepsNoOtherTaskWaiting)
{
    constexpr Resources smallTask{500, 500, 0};
    Cluster cluster;
    cluster.scheduler.runFor(2s);
    for (std::uint64_t key = 200; key < 203; ++key) {
        cluster.taskModel.overrides[{key}] = {10ms, true, smallTask};
        AcceptedJob job;
        job.key = {key};
        job.policy.queue = "plans";
        job.policy.service = Service;
        job.policy.maxAttempts = 3;
        job.spec.steps.resize(1);
        job.spec.steps.front().needs = smallTask;
        job.spec.steps.front().isLasting = true;
        job.acceptedAt = cluster.wallNow();
        cluster.host(0).loop->jobRequestHandler().submit(std::move(job), cluster.scheduler.now() + 2500ms,
                                                         [&, key](SubmitResult it) { cluster.answers[key] = it; });
    }
    cluster.scheduler.runFor(10s);
    EXPECT_LE(cluster.workers.startCount(), 3 * 12);
    for (std::uint64_t key = 1; key <= 20; ++key) {
        cluster.submit(static_cast<int>(key % HostCount), key);
    }
    cluster.scheduler.runFor(10s);
    for (std::uint64_t key = 1; key <= 20; ++key) {
        EXPECT_EQ(cluster.workers.doneCount({key}), TasksPerJob) << "job " << key;
    }
}

} // namespace monsoonspool::execution
