#include "execution/wallclock.h"

#include "execution/testcluster.h"
#include "jobs/names.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace monsoonspool::execution {

using namespace testcluster;

namespace {

constexpr TimePoint Start{1h};
const jobs::WallTime Noon{std::chrono::hours(12)};
// The platform's allowance for starts before the due time, on a clock that does not jump.
constexpr Duration EarlyAllowance = 250ms;

// The error of a host's wall clock at a time since the start.
using ClockError = std::function<Duration(Duration since)>;

// Returns the largest difference, to either side, between the time that is returned and the true one
// from `from` until `to`.
Duration largestError(const ClockError &error, Duration from, Duration to)
{
    WallClock clock;
    Duration largest{0};
    for (Duration since{0}; since < to; since += 100ms) {
        const auto truth = Noon + std::chrono::duration_cast<std::chrono::milliseconds>(since);
        const auto reading = truth + std::chrono::duration_cast<std::chrono::milliseconds>(error(since));
        const auto read = clock.read(Start + since, reading);
        if (since >= from) {
            largest = std::max<Duration>(largest, read > truth ? read - truth : truth - read);
        }
    }
    return largest;
}

} // namespace

// A jump of some seconds must neither start work early or late, nor give jobs a wrong age.
TEST(WallClock, ShortJumpsHaveNoEffectAndLastingOnesAreFollowed)
{
    const auto jump = [](Duration at, Duration until, Duration by) {
        return [=](Duration since) { return since >= at && since < until ? by : Duration(0); };
    };
    struct Case
    {
        const char *name;
        ClockError error;
        Duration largest; // until 120 s after the start
    };
    for (const auto &it :
         {Case{"no jump", [](Duration) { return Duration(0); }, 0s}, Case{"ahead for 10 s", jump(60s, 70s, 4s), 0s},
          Case{"back for 10 s", jump(60s, 70s, -4s), 0s},
          Case{"ahead and further ahead",
               [](Duration since) {
                   return since < 60s ? Duration(0)
                       : since < 68s  ? Duration(4s)
                       : since < 80s  ? Duration(7s)
                                      : Duration(0);
               },
               0s},
          Case{"ahead and back beyond the truth",
               [](Duration since) {
                   return since < 60s ? Duration(0)
                       : since < 68s  ? Duration(4s)
                       : since < 80s  ? Duration(-3s)
                                      : Duration(0);
               },
               0s},
          Case{"ahead soon after the start", jump(6s, 10s, 4s), 0s},
          Case{"ahead at the start", jump(0s, 4s, 4s), 4s}}) {
        SCOPED_TRACE(it.name);
        EXPECT_EQ(largestError(it.error, 0s, 120s), it.largest);
    }
    EXPECT_EQ(largestError(jump(0s, 4s, 4s), 9s, 120s), 0s) << "soon more samples are right";
    // Seen from the other side: the clock was wrong and was corrected.
    const auto corrected = [](Duration since) { return since < 60s ? Duration(4s) : Duration(0); };
    EXPECT_EQ(largestError(corrected, 91s, 200s), 0s);
}

TEST(WallClock, AfterALongPauseTheLastReadingCounts)
{
    WallClock clock;
    for (int n = 0; n < 30; ++n) {
        clock.read(Start + n * 1s, Noon + n * 1s);
    }
    EXPECT_EQ(clock.read(Start + 200s, Noon + 203s), Noon + 203s);
    EXPECT_EQ(clock.read(Start + 201s, Noon + 208s), Noon + 204s);
    EXPECT_EQ(clock.jump(), 4s);
}

namespace {

// Errors of the wall clocks, from 20 s after the start of the cluster.
struct JumpCase
{
    const char *name;
    Duration first;
    Duration second; // some seconds later
    Duration third; // the same later
    Duration lasting; // the same later, until the end
    int killedAfterJump; // 1, 2 or 3 to kill the leader after that jump
};

// A cluster with a log of the starts of timed jobs.
class TimedCluster : public Cluster
{
public:
    TimedCluster()
    {
        workers.setObserver([this](std::string_view event, const WorkerId &, const jobs::TaskId &task, jobs::RunNumber,
                                   std::string_view) {
            if (event == "started") {
                starts[{task.occurrence, task.index}].push_back(scheduler.now());
            }
        });
    }
    void submitTimed(std::uint64_t key, int occurrences, Duration firstAfter, std::chrono::milliseconds interval)
    {
        AcceptedJob job;
        job.key = {key};
        job.policy.queue = "plans";
        job.policy.service = Service;
        job.policy.maxAttempts = 3;
        job.spec.steps.resize(1);
        job.spec.steps[0].count = 2;
        job.spec.steps[0].needs = TaskSize;
        job.spec.steps[0].estimate = 400ms;
        job.spec.occurrences = occurrences;
        job.spec.firstDue = wallNow() + std::chrono::duration_cast<std::chrono::milliseconds>(firstAfter);
        job.spec.interval = interval;
        job.acceptedAt = wallNow();
        host(0).loop->jobRequestHandler().submit(std::move(job), scheduler.now() + 2500ms,
                                                 [this, key](SubmitResult answer) { answers[key] = answer; });
    }
    // The clock of one of the hosts is wrong to the other side.
    void setClockErrors(Duration error)
    {
        clockErrors.fill(error);
        clockErrors.back() = -error;
    }

    std::map<std::pair<int, int>, std::vector<TimePoint>> starts; // by occurrence and task
};

} // namespace

// Guards against occurrences that begin before their time (by more than a clock is wrong for good), are skipped or run twice because a clock
// has jumped, also if another host with another clock becomes the leader.
TEST(WallClock, OccurrencesOfTimedJobsRunOnceAndInTimeWhateverClocksDo)
{
    constexpr int occurrences = 60;
    constexpr std::chrono::milliseconds interval{1000};
    for (const auto &it :
         {JumpCase{"no jump", 0s, 0s, 0s, 0s, 0}, JumpCase{"ahead and back", 4s, 0s, 0s, 0s, 0},
          JumpCase{"back and ahead", -4s, 0s, 0s, 0s, 0}, JumpCase{"ahead twice", 4s, 7s, 0s, 0s, 0},
          JumpCase{"back twice", -4s, -7s, 0s, 0s, 0}, JumpCase{"across", 4s, -2s, 2s, 0s, 0},
          JumpCase{"ahead for good", 4s, 4s, 4s, 4s, 0}, JumpCase{"back for good", -4s, -4s, -4s, -4s, 0},
          JumpCase{"a takeover while ahead", 4s, 0s, 0s, 0s, 1}, JumpCase{"a takeover while back", -4s, 0s, 0s, 0s, 1},
          JumpCase{"a takeover after the jump back", 4s, -3s, 0s, 0s, 2},
          JumpCase{"a takeover by a host whose clock stays wrong", 4s, 4s, 4s, 4s, 3}}) {
        SCOPED_TRACE(it.name);
        TimedCluster cluster;
        cluster.scheduler.runFor(2s);
        const auto begin = cluster.scheduler.now();
        cluster.submitTimed(7, occurrences, 1s, interval);
        cluster.scheduler.runFor(20s);
        int jumps = 0;
        for (const auto error : {it.first, it.second, it.third}) {
            cluster.setClockErrors(error);
            cluster.scheduler.runFor(500ms);
            if (++jumps == it.killedAfterJump) {
                cluster.killHost(cluster.leader());
            }
            cluster.scheduler.runFor(7s);
        }
        cluster.setClockErrors(it.lasting);
        cluster.scheduler.runFor(70s);
        ASSERT_EQ(cluster.starts.size(), 2U * occurrences) << "none is skipped";
        for (const auto &[task, times] : cluster.starts) {
            EXPECT_EQ(times.size(), 1U) << task.first;
            const auto dueAt = begin + 1s + interval * task.first;
            const auto lasting = it.lasting < 0s ? -it.lasting : it.lasting;
            EXPECT_GE(times.front(), dueAt - EarlyAllowance - lasting) << task.first;
            if (it.killedAfterJump == 0) {
                EXPECT_LE(times.front(), dueAt + 500ms + lasting) << task.first;
            }
        }
        EXPECT_EQ(violationsOf(cluster), "");
    }
}

namespace {

// Returns all that workers do while 60 jobs are submitted, beside a crash, a departure and a partition.
// `clockError` gives the error of the hosts' clocks while the Nth job is submitted.
std::string traceOf(const std::function<Duration(int n)> &clockError, bool isLeaderKilled)
{
    constexpr int jobs = 60;
    constexpr std::uint64_t firstKey = 10;
    TimedCluster cluster;
    std::string trace;
    cluster.workers.setObserver([&](std::string_view event, const WorkerId &worker, const jobs::TaskId &task,
                                    jobs::RunNumber run, std::string_view detail) {
        trace += std::to_string(toMilliseconds(cluster.scheduler.now().time_since_epoch())) + " " + std::string(event)
            + " " + worker.text() + " " + jobs::taskName(task) + " " + std::to_string(run) + " " + std::string(detail)
            + "\n";
    });
    cluster.scheduler.runFor(20s);
    int killed = -1;
    for (int n = 0; n < jobs; ++n) {
        cluster.setClockErrors(clockError(n));
        const auto key = firstKey + static_cast<std::uint64_t>(n);
        cluster.taskModel.overrides[{key}] = {n % 4 == 0 ? 3s : 400ms, false, {7000, 1000, 0}};
        cluster.submit(n % HostCount == killed ? (n + 1) % HostCount : n % HostCount, key);
        cluster.scheduler.runFor(300ms);
        if (n == 10) {
            cluster.workers.crash(WorkerId("w0"), true);
        } else if (n == 20) {
            cluster.workers.restart(WorkerId("w0"), 2);
            cluster.put({"workers", "", "w1"}, "draining 3000");
        } else if (n == 30) {
            cluster.workers.setDisconnected(WorkerId("w2"), true);
        } else if (n == 40 && isLeaderKilled) {
            killed = cluster.leader();
            cluster.killHost(killed);
        }
    }
    cluster.setClockErrors(0s);
    cluster.scheduler.runFor(60s);
    for (int n = 0; n < jobs; ++n) {
        EXPECT_EQ(cluster.workers.doneCount({firstKey + static_cast<std::uint64_t>(n)}), TasksPerJob);
    }
    EXPECT_GT(trace.size(), 10'000U);
    return trace;
}

} // namespace

// Only the due times of timed jobs, and the ages of jobs from before a takeover, may depend on wall
// clocks: all else must be the same with clocks that jump for good, by an hour.
TEST(WallClock, JumpsDoNotChangeWhatHappensToOtherJobs)
{
    const auto jumping = [](int n) -> Duration {
        return (n % 3 == 0 ? 4s : n % 3 == 1 ? -4s : 7s) + (n >= 20 ? 1h : 0h);
    };
    const auto expected = traceOf([](int) { return Duration(0); }, false);
    EXPECT_EQ(traceOf(jumping, false), expected);
}

// Guards against open jobs that a new leader takes as older or younger, and so ranks differently for
// as long as they are open, because its clock had jumped when it read them.
TEST(WallClock, ShortJumpsDoNotChangeATakeover)
{
    const auto expected = traceOf([](int) { return Duration(0); }, true);
    for (const Duration jump : {4s, -4s}) {
        const auto jumping = [&](int n) { return n >= 38 && n < 56 ? jump : Duration(0); };
        EXPECT_EQ(traceOf(jumping, true), expected);
    }
}

} // namespace monsoonspool::execution
