// Ways in which a job may run after its cancellation was answered.
#include "execution/takeovercluster.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace monsoonspool::execution::takeover {

namespace {

// The platform's bounds of a cancelled job.
constexpr Duration CancelTime = 3s;
constexpr Duration StopGrace = 300ms;
constexpr Duration ContactTime = 4s; // until machines are in touch again after a disruption
constexpr Duration ClientTimeout = 2750ms; // of a request, less the margin for the answer
constexpr Duration MaxFreeze = 4s;
// A host that was frozen for longer takes the store as unreachable and refuses what it reads first.
constexpr Duration UnnoticedFreeze = 950ms;
constexpr Duration ObservedTime = 20s;
constexpr Duration PollTime = 1100ms; // until a call for changes that is under way was answered
constexpr Duration PollInterval = 50ms;

constexpr jobs::JobKey Key{7};

// A cluster with one job, its requests and their answers.
class Race
{
public:
    explicit Race(std::uint32_t seed) : cluster(seed, false)
    {
        cluster.workers.setStopGrace(StopGrace);
        cluster.workers.setObserver(
            [this](std::string_view event, const WorkerId &, const jobs::TaskId &task, jobs::RunNumber, auto) {
                if (event == "started" && task.job == Key) {
                    lastStartAt = now();
                }
            });
        // With each task that ends, another one becomes due.
        constexpr std::size_t steps = 180;
        constexpr std::size_t chains = 3;
        jobs::JobSpec spec;
        spec.payload = "plan";
        spec.steps.resize(steps);
        for (std::size_t n = 0; n < steps; ++n) {
            spec.steps[n].needs = {1000, 500, 0};
            spec.steps[n].estimate = 200ms;
            if (n >= chains) {
                spec.steps[n].after = {static_cast<int>(n - chains)};
            }
        }
        cluster.model.specs[Key] = spec;
        run(4s);
        leader = cluster.leader();
    }

    TimePoint now() const
    {
        return cluster.clock.now();
    }
    void run(Duration time)
    {
        cluster.clock.runFor(time);
    }
    // The n-th host that does not lead at the beginning.
    int other(int n) const
    {
        return (leader + n) % HostCount;
    }
    Host &host(int n)
    {
        return *cluster.hosts[static_cast<std::size_t>(n)];
    }

    void submit(int n)
    {
        call(n, [this, n] {
            AcceptedJob job;
            job.key = Key;
            job.policy.queue = "plans";
            job.policy.service = Service;
            job.policy.maxAttempts = MaxAttempts;
            job.spec = cluster.model.specs.at(Key);
            job.acceptedAt = cluster.wallNow();
            host(n).loop->jobRequestHandler().submit(
                std::move(job), now() + ClientTimeout, [this](SubmitResult result) {
                    submissions.push_back(result);
                    if (result == SubmitResult::Accepted && cancelledAt && !wasKnown) {
                        isAcceptedAfterCancellation = true;
                    }
                });
        });
    }
    void cancel(int n)
    {
        call(n, [this, n] {
            host(n).loop->jobRequestHandler().cancel(Key, now() + ClientTimeout, [this](const auto &result) {
                if (result.isOk() && !cancelledAt) {
                    cancelledAt = now();
                    wasKnown = result.value().isKnown;
                    cluster.workers.checker().noteCancelled(Key, now() + CancelTime);
                }
            });
        });
    }
    // Waits until the leader logs the event.
    void awaitEvent(std::string_view event)
    {
        auto &trace = cluster.trace;
        trace.isOn = true;
        const auto isEvent = [&](const std::string &line) { return line.find(event) != std::string::npos; };
        const auto first = static_cast<std::ptrdiff_t>(trace.lines.size());
        for (const auto until = now() + 2s; now() < until;) {
            run(1ms);
            if (std::any_of(trace.lines.begin() + first, trace.lines.end(), isEvent)) {
                break;
            }
        }
        trace.isOn = false;
    }
    // Lets a fault apply to the calls that the host makes for `time`.
    void failStoreCalls(int n, unsigned calls, CallFault fault, Duration time)
    {
        host(n).storeRules.add({now() + time, calls, 1, fault});
    }
    void failOrders(int n, unsigned calls, CallFault fault, Duration time)
    {
        host(n).orderRules.add({now() + time, calls, 1, fault});
    }

    // Observes the rest, and returns what is wrong.
    std::string outcome()
    {
        const auto until = now() + ObservedTime;
        std::string text;
        std::optional<TimePoint> lastRunAt;
        while (now() < until) {
            run(PollInterval);
            cluster.workers.advance();
            if (cluster.workers.hasRunOf(Key)) {
                lastRunAt = now();
            }
        }
        if (!cancelledAt) {
            return "the cancellation was not answered\n";
        }
        const auto afterMs
            = [&](TimePoint time) { return std::to_string(toMilliseconds(time - *cancelledAt)) + " ms"; };
        if (lastStartAt && *lastStartAt > *cancelledAt + CancelTime) {
            text += "a task started " + afterMs(*lastStartAt) + " after the cancellation\n";
        }
        const auto goneBy = std::max(*cancelledAt, calmAt) + CancelTime + StopGrace;
        if (lastRunAt && *lastRunAt > goneBy + PollInterval) {
            text += "a task ran " + afterMs(*lastRunAt) + " after the cancellation\n";
        }
        if (isAcceptedAfterCancellation) {
            text += "a submission was accepted after the cancellation\n";
        }
        for (const auto &it : cluster.workers.violations()) {
            text += it.rule + ": " + it.detail + "\n";
        }
        return text;
    }

    Cluster cluster;
    int leader = -1;
    std::vector<SubmitResult> submissions;
    std::optional<TimePoint> cancelledAt;
    std::optional<TimePoint> lastStartAt;
    TimePoint calmAt; // machines are in touch again
    bool wasKnown = false; // to the host that answered the cancellation
    bool isAcceptedAfterCancellation = false;

private:
    void call(int n, std::function<void()> f)
    {
        cluster.clock.runAfter(1ms, host(n).thread.guarded([this, n, f = std::move(f)] {
            if (host(n).loop) {
                f();
            }
        }));
    }
};

enum class Takeover { None, Killed, Frozen, Stopped };

constexpr std::string_view nameOf(Takeover takeover)
{
    constexpr std::string_view names[] = {"no takeover", "leader killed", "leader frozen", "leader stopped"};
    return names[static_cast<std::size_t>(takeover)];
}

void endTerm(Race &race, Takeover how)
{
    auto &host = race.host(race.leader);
    switch (how) {
    case Takeover::None:
        return;
    case Takeover::Killed:
        race.cluster.killHost(race.leader);
        break;
    case Takeover::Frozen:
        host.thread.freeze(MaxFreeze);
        break;
    case Takeover::Stopped:
        host.loop->stop([] {});
        break;
    }
    race.calmAt = race.now() + ContactTime;
}

// A way in which a job may run after its cancellation was answered. `play` calls `step` with the number
// of each point at which a takeover may take place.
struct Path
{
    const char *name;
    std::function<void(Race &, Duration offset, const std::function<void(int)> &step)> play;
    int takeoverPoints = 1;
};

const std::vector<Path> &paths()
{
    static const std::vector<Path> all = {
        {"AFrozenHostReadsTheSubmissionLate",
         [](Race &race, Duration offset, const auto &step) {
             race.host(race.other(1)).thread.freeze(UnnoticedFreeze);
             race.submit(race.other(1));
             step(0);
             race.run(offset);
             race.cancel(race.other(2));
             race.run(20ms);
             step(1);
         },
         2},
        {"ASlowHostReadsTheSubmissionLate",
         [](Race &race, Duration offset, const auto &step) {
             race.host(race.other(1)).thread.slowDown(4s, 100ms);
             race.run(50ms);
             race.submit(race.other(1));
             step(0);
             race.run(offset);
             race.cancel(race.other(2));
             race.run(20ms);
             step(1);
         },
         2},
        {"TheStorePerformsTheSubmissionLate",
         [](Race &race, Duration offset, const auto &step) {
             race.failStoreCalls(race.other(1), CommitOther, CallFault::Late, 500ms);
             race.submit(race.other(1));
             step(0);
             race.run(offset);
             race.cancel(race.other(2));
             race.run(20ms);
             step(1);
         },
         2},
        {"TheStorePerformsTheSubmissionLateAndItsAnswerToTheCancellationIsLost",
         [](Race &race, Duration offset, const auto &step) {
             race.failStoreCalls(race.other(1), CommitOther, CallFault::Late, 500ms);
             race.failStoreCalls(race.other(2), CommitProgress, CallFault::ReplyLost, offset + 500ms);
             race.submit(race.other(1));
             race.run(offset);
             race.cancel(race.other(2));
             step(0);
             race.run(1500ms);
         },
         1},
        {"TheSubmissionArrivesAgainAtAnotherHost",
         [](Race &race, Duration offset, const auto &step) {
             race.host(race.other(1)).thread.freeze(UnnoticedFreeze);
             race.submit(race.other(1));
             race.run(100ms);
             race.cancel(race.other(2));
             race.run(20ms);
             step(0);
             race.run(offset);
             race.submit(race.other(3));
             race.run(2s);
             race.submit(race.other(2));
         },
         1},
        {"AnAcceptedSubmissionArrivesAgainAtAnotherHost",
         [](Race &race, Duration offset, const auto &step) {
             race.failStoreCalls(race.other(1), CommitOther, CallFault::ReplyLost, 100ms);
             race.submit(race.other(1));
             step(0);
             race.run(offset);
             race.cancel(race.other(2));
             race.run(20ms);
             step(1);
             race.submit(race.other(3));
             race.run(3s);
             race.submit(race.other(2));
         },
         2},
        {"TheCancellingHostIsFrozenBetweenReadAndWrite",
         [](Race &race, Duration offset, const auto &step) {
             race.cancel(race.other(2));
             race.run(std::min<Duration>(offset / 50, 12ms));
             race.host(race.other(2)).thread.freeze(1s);
             step(0);
             race.submit(race.other(1));
             race.run(2s);
         },
         1},
        {"TheStorePerformsTheCancellationLate",
         [](Race &race, Duration offset, const auto &step) {
             race.failStoreCalls(race.other(2), CommitProgress, CallFault::Late, 500ms);
             race.cancel(race.other(2));
             race.run(offset);
             race.submit(race.other(1));
             step(0);
             race.run(3s);
             race.cancel(race.other(3));
             race.run(20ms);
         },
         1},
        {"TheStartOrderIsOnItsWay",
         [](Race &race, Duration offset, const auto &step) {
             race.failOrders(race.leader, Start, CallFault::Late, offset + 40ms);
             race.submit(race.other(1));
             race.run(offset);
             step(0);
             race.cancel(race.other(2));
             race.run(20ms);
             step(1);
         },
         2},
        {"StartAndStopOrdersAreLate",
         [](Race &race, Duration offset, const auto &step) {
             race.submit(race.other(1));
             race.run(300ms + offset);
             race.failOrders(race.leader, Start | Stop, CallFault::Late, 300ms);
             race.run(200ms);
             step(0);
             race.cancel(race.other(2));
             race.run(20ms);
             step(1);
         },
         2},
        {"AnswersToStartOrdersAreLost",
         [](Race &race, Duration offset, const auto &step) {
             race.failOrders(race.leader, Start, CallFault::ReplyLost, 500ms + offset);
             race.submit(race.other(1));
             race.run(500ms + offset);
             step(0);
             race.cancel(race.other(2));
             race.run(20ms);
             step(1);
         },
         2},
        {"TheLeaderItselfAnswersTheCancellation",
         [](Race &race, Duration offset, const auto &step) {
             race.submit(race.other(1));
             race.run(300ms + offset);
             race.cancel(race.leader);
             race.run(8ms);
             step(0);
             race.run(500ms);
             race.cancel(race.other(2)); // if the leader could not answer
             race.run(20ms);
         },
         1},
        {"ANewLeaderReadsTheStoredStateMeanwhile",
         [](Race &race, Duration offset, const auto &step) {
             step(0);
             constexpr Duration untilClaim = 1500ms;
             race.run(untilClaim + offset * 2);
             race.submit(race.other(1));
             race.run(10ms);
             race.cancel(race.other(2));
             race.run(20ms);
         },
         1},
        {"TheLeaderIsFrozen",
         [](Race &race, Duration offset, const auto &) {
             race.submit(race.other(1));
             race.run(300ms + offset);
             race.host(race.leader).thread.freeze(MaxFreeze);
             race.calmAt = race.now() + ContactTime;
             race.cancel(race.other(2));
             race.run(20ms);
         },
         0},
        {"TheLeaderIsFrozenBeforeAPlanAndNoOtherHostCanClaim",
         [](Race &race, Duration offset, const auto &) {
             race.submit(race.other(1));
             race.run(100ms + offset);
             race.awaitEvent("run-ended");
             race.host(race.leader).thread.freeze(MaxFreeze);
             race.calmAt = race.now() + ContactTime;
             for (int n = 1; n < HostCount; ++n) {
                 race.failStoreCalls(race.other(n), CommitLeader, CallFault::Refused, ContactTime + 100ms);
             }
             race.cancel(race.other(2));
             race.run(20ms);
         },
         0},
        {"TheLeaderIsCutOffFromTheStore",
         [](Race &race, Duration offset, const auto &) {
             race.submit(race.other(1));
             race.run(300ms + offset);
             race.failStoreCalls(race.leader, AllStoreCalls, CallFault::Lost, PollTime + ContactTime);
             race.calmAt = race.now() + PollTime + ContactTime;
             race.run(PollTime);
             race.cancel(race.other(2));
             race.run(20ms);
         },
         0},
        {"TheLeaderDoesNotReadTheChangesOfJobs",
         [](Race &race, Duration offset, const auto &) {
             race.submit(race.other(1));
             race.run(300ms + offset);
             race.failStoreCalls(race.leader, FeedJobs | ScanJobs, CallFault::Lost, ContactTime);
             race.calmAt = race.now() + ContactTime;
             race.run(PollTime);
             race.cancel(race.other(2));
             race.run(20ms);
         },
         0},
        {"TheLeaderNeitherReadsTheChangesOfJobsNorStoresProgress",
         [](Race &race, Duration offset, const auto &) {
             race.submit(race.other(1));
             race.run(300ms + offset);
             race.failStoreCalls(race.leader, FeedJobs | ScanJobs | CommitProgress, CallFault::Lost, 8s);
             race.calmAt = race.now() + 8s;
             race.run(PollTime);
             race.cancel(race.other(2));
             race.run(20ms);
         },
         0},
        {"NoTaskEndsThatWouldMeetTheCancellation",
         [](Race &race, Duration offset, const auto &step) {
             for (auto &it : race.cluster.model.specs[Key].steps) {
                 it.isLasting = true;
             }
             race.submit(race.other(1));
             race.run(offset);
             step(0);
             race.cancel(race.other(2));
             race.run(20ms);
             step(1);
         },
         2},
        {"TheStoreDropsTheHistoryBeforeTheLeaderReadsTheCancellation",
         [](Race &race, Duration offset, const auto &step) {
             race.submit(race.other(1));
             race.run(300ms + offset);
             race.failStoreCalls(race.leader, FeedJobs, CallFault::Lost, 1s);
             race.run(500ms);
             race.cancel(race.other(2));
             race.run(20ms);
             step(0);
             race.cluster.rows.dropHistory();
         },
         1},
    };
    return all;
}

} // namespace

class CancellationRace : public testing::TestWithParam<Path>
{
};

// Guards against work that goes on, or begins, after the client was told that its job is cancelled.
TEST_P(CancellationRace, NothingRunsAfterTheCancellationWasAnswered)
{
    constexpr std::array<Duration, 6> offsets = {0ms, 4ms, 30ms, 110ms, 350ms, 900ms};
    constexpr std::array takeovers = {Takeover::Killed, Takeover::Frozen, Takeover::Stopped};
    const auto &path = GetParam();
    std::uint32_t seed = 0;
    for (const auto offset : offsets) {
        const auto play = [&](int at, Takeover takeover) {
            Race race(++seed);
            ASSERT_GE(race.leader, 0);
            path.play(race, offset, [&](int point) {
                if (point == at) {
                    endTerm(race, takeover);
                }
            });
            EXPECT_EQ(race.outcome(), "") << "offset " << toMilliseconds(offset) << " ms, " << nameOf(takeover)
                                          << " at point " << at << ", seed " << seed;
        };
        play(-1, Takeover::None);
        for (int n = 0; n < path.takeoverPoints; ++n) {
            for (const auto it : takeovers) {
                play(n, it);
            }
        }
    }
}

INSTANTIATE_TEST_SUITE_P(Paths, CancellationRace, testing::ValuesIn(paths()),
                         [](const auto &info) { return std::string(info.param.name); });

// Guards against a client that is told that its job was accepted although the row that kept the job out
// only could not be read. It may be one of a later release.
TEST(CancelledSubmission, IsNotAnsweredAsAcceptedIfTheRowCannotBeRead)
{
    Race race(1);
    race.cluster.put(progressRow(Key), "of a later release");
    race.submit(race.other(1));
    race.run(4s);
    EXPECT_EQ(race.submissions, std::vector{SubmitResult::Unknown});
}

} // namespace monsoonspool::execution::takeover
