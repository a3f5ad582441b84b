// Workers that announce their departure, and leave with it, earlier or later.
#include "execution/testcluster.h"

#include <gtest/gtest.h>

namespace monsoonspool::execution {

using namespace testcluster;

namespace {

// Bounds of the platform: a stop takes at most StopGrace, and no job that could run may have
// nothing running for MaxIdleTime.
constexpr Duration StopGrace = 900ms;
constexpr Duration MaxIdleTime = 3s;
constexpr Duration NoticeTime = 2500ms;
constexpr Duration LongRunTime = 60s; // no task ends before a departure
constexpr std::uint64_t FirstJob = 7;
constexpr std::uint64_t JobCount = 6;

// A run that began on a worker, and when it ended.
struct ObservedRun
{
    WorkerId worker;
    jobs::TaskId task;
    TimePoint startedAt;
    TimePoint endedAt = TimePoint::max();
};

// A cluster whose workers all run tasks that take longer than any notice of a departure.
class BusyCluster
{
public:
    explicit BusyCluster(Duration runTime = LongRunTime)
    {
        cluster.workers.setStopGrace(StopGrace);
        cluster.workers.setObserver([this](std::string_view event, const WorkerId &worker, const jobs::TaskId &task,
                                           jobs::RunNumber, std::string_view) { observe(event, worker, task); });
        cluster.scheduler.runFor(2s);
        for (std::uint64_t n = 0; n < JobCount; ++n) {
            cluster.taskModel.overrides[{FirstJob + n}] = {runTime, false, TaskSize};
            cluster.submit(0, FirstJob + n);
        }
        cluster.scheduler.runFor(2s);
    }

    void announce(const WorkerId &id, Duration remaining)
    {
        cluster.put({"workers", "", id.text()}, "draining " + std::to_string(toMilliseconds(remaining)));
    }
    // Ends the process of a worker that has left; nothing answers at its address.
    void leave(const WorkerId &id)
    {
        cluster.workers.crash(id, true);
    }
    WorkerId busyWorker() const
    {
        return std::ranges::find(runs, TimePoint::max(), &ObservedRun::endedAt)->worker;
    }
    int activeRuns(const WorkerId &id) const
    {
        return static_cast<int>(std::ranges::count_if(
            runs, [&](const ObservedRun &it) { return it.worker == id && it.endedAt == TimePoint::max(); }));
    }
    // Returns the longest time for which a task that had a run on `id` ran nowhere.
    Duration longestIdleTime(const WorkerId &id) const
    {
        Duration longest{0};
        for (const auto &it : runs) {
            if (it.worker != id || it.endedAt == TimePoint::max()) {
                continue;
            }
            const auto next = std::ranges::find_if(
                runs, [&](const ObservedRun &other) { return other.task == it.task && other.startedAt >= it.endedAt; });
            longest = std::max(longest, (next == runs.end() ? cluster.scheduler.now() : next->startedAt) - it.endedAt);
        }
        return longest;
    }

    Cluster cluster;
    std::vector<ObservedRun> runs;

private:
    void observe(std::string_view event, const WorkerId &worker, const jobs::TaskId &task)
    {
        const auto now = cluster.scheduler.now();
        if (event == "started") {
            runs.push_back({worker, task, now});
        }
        for (auto &it : runs) {
            const bool isEnd = event == "process-ended" || (event == "ended" && it.task == task);
            if (isEnd && it.worker == worker && it.endedAt == TimePoint::max()) {
                it.endedAt = now;
            }
        }
    }
};

} // namespace

// Guards against a job that had nothing running for longer than allowed: its tasks stayed on a
// worker until it left as announced, and then waited for its lease.
TEST(DrainingWorker, ItsTasksRunElsewhereWhenItLeavesAsAnnounced)
{
    BusyCluster busy;
    const auto id = busy.busyWorker();
    ASSERT_GT(busy.activeRuns(id), 0);
    busy.announce(id, NoticeTime);
    busy.cluster.scheduler.runFor(NoticeTime);
    EXPECT_EQ(busy.activeRuns(id), 0) << "lost with the worker";
    busy.leave(id);
    busy.cluster.scheduler.runFor(15s);
    EXPECT_LT(toMilliseconds(busy.longestIdleTime(id)), toMilliseconds(MaxIdleTime));
    EXPECT_EQ(violationsOf(busy.cluster), "");
}

// Workers that do not leave as announced. No task runs twice, and each runs in the end.
TEST(DrainingWorker, NoTaskRunsTwiceWhateverItDoesAfterItsAnnouncement)
{
    struct Case
    {
        const char *name;
        std::function<void(BusyCluster &, const WorkerId &)> after; // the announcement
        bool isUsedAgain;
    };
    const auto runFor = [](BusyCluster &busy, Duration time) { busy.cluster.scheduler.runFor(time); };
    const auto withdraw = [](BusyCluster &busy, const WorkerId &id) {
        busy.cluster.put({"workers", "", id.text()}, "ready");
    };
    for (const auto &it : {Case{"stays longer, then crashes",
                                [&](BusyCluster &busy, const WorkerId &id) {
                                    runFor(busy, NoticeTime + 5s);
                                    busy.leave(id);
                                },
                                false},
                           Case{"stays longer while it is cut off",
                                [&](BusyCluster &busy, const WorkerId &id) {
                                    runFor(busy, 500ms);
                                    busy.cluster.workers.setDisconnected(id, true);
                                    runFor(busy, 15s);
                                    busy.cluster.workers.setDisconnected(id, false);
                                },
                                false},
                           Case{"stays, and withdraws it",
                                [&](BusyCluster &busy, const WorkerId &id) {
                                    runFor(busy, NoticeTime + 2s);
                                    withdraw(busy, id);
                                },
                                true},
                           Case{"withdraws it at once",
                                [&](BusyCluster &busy, const WorkerId &id) {
                                    withdraw(busy, id);
                                    runFor(busy, 100ms);
                                },
                                true},
                           Case{"restarts",
                                [&](BusyCluster &busy, const WorkerId &id) {
                                    runFor(busy, 1s);
                                    busy.cluster.workers.restart(id, 2);
                                    withdraw(busy, id);
                                },
                                true},
                           Case{"leaves early",
                                [&](BusyCluster &busy, const WorkerId &id) {
                                    runFor(busy, 500ms);
                                    busy.leave(id);
                                },
                                false}}) {
        SCOPED_TRACE(it.name);
        BusyCluster busy;
        const auto id = busy.busyWorker();
        busy.announce(id, NoticeTime);
        it.after(busy, id);
        busy.cluster.scheduler.runFor(12s);
        for (std::uint64_t n = 0; n < JobCount; ++n) {
            busy.cluster.taskModel.overrides[{100 + n}] = {LongRunTime, false, TaskSize};
            busy.cluster.submit(0, 100 + n);
        }
        busy.cluster.scheduler.runFor(3s);
        EXPECT_EQ(busy.activeRuns(id) > 0, it.isUsedAgain);
        const auto active = std::ranges::count(busy.runs, TimePoint::max(), &ObservedRun::endedAt);
        EXPECT_EQ(active, static_cast<std::ptrdiff_t>(2 * JobCount * TasksPerJob / 2)) << "every task runs";
        EXPECT_EQ(violationsOf(busy.cluster), "");
    }
}

// Short tasks without checkpoints end on the worker; a stop would lose their work.
TEST(DrainingWorker, TasksThatEndBeforeItsDepartureAreNotStopped)
{
    BusyCluster busy(1500ms);
    constexpr std::uint64_t shortJob = 50;
    busy.cluster.scheduler.runFor(10s);
    busy.runs.clear();
    busy.cluster.taskModel.overrides[{shortJob}] = {400ms, false, TaskSize};
    busy.cluster.submit(0, shortJob);
    busy.cluster.scheduler.runFor(100ms);
    for (int n = 0; n < WorkerCount; ++n) {
        busy.announce(WorkerId("w" + std::to_string(n)), NoticeTime);
    }
    busy.cluster.scheduler.runFor(2s);
    EXPECT_EQ(busy.cluster.workers.doneCount({shortJob}), TasksPerJob / 2);
    EXPECT_EQ(busy.runs.size(), static_cast<std::size_t>(TasksPerJob / 2)) << "each started once";
}

} // namespace monsoonspool::execution
