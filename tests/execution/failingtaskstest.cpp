// Tasks that fail by their own fault: how long jobs stand still beside free workers.
#include "testcluster.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace monsoonspool::execution {

namespace {

using namespace testcluster;

constexpr int MaxAttempts = 3;
constexpr std::uint64_t FirstFailing = 100;
constexpr std::uint64_t FirstSound = 1000;
constexpr Duration SoundInterval = 500ms;
constexpr Duration SoundJobsUntil = 15s;
constexpr Duration Length = 25s;
constexpr int TasksPerWorker = 8;
// The platform takes work as lost that stands for 3 s while under half of the capacity is in use.
constexpr Duration PlatformBound = 3s;
constexpr int RackCount = 3;
constexpr int HalfOfCapacity = WorkerCount * TasksPerWorker / 2;

struct Load
{
    std::string name;
    int failingJobs = 0;
    int tasksPerJob = 0;
    std::chrono::milliseconds interval{0}; // between failing jobs
    bool areLasting = false; // the failing jobs
    bool doSoundJobsFailOnce = false;
    std::string rack{}; // that all tasks require; empty for any
};

// Submits jobs whose tasks always fail, and sound jobs of one task beside them.
class FailingTasks
{
public:
    FailingTasks(const Load &load, std::uint32_t seed) : m_load(load), m_cluster(seed), m_generator(seed)
    {
        m_cluster.workers.setObserver([this](std::string_view event, const WorkerId &, const jobs::TaskId &task,
                                             jobs::RunNumber, std::string_view detail) {
            if (event == "started") {
                noteStart(task);
            } else if (event == "ended") {
                noteEnd(task, detail);
            }
        });
    }

    // Returns the longest time in which a job with tasks left had none at work while under half of
    // the capacity was in use.
    Duration longestStandstill()
    {
        constexpr int maxOffset = 1600; // moves the jobs relative to the listings, which are polled
        m_cluster.scheduler.runFor(5s + upTo(maxOffset));
        const auto begin = m_cluster.scheduler.now();
        auto nextSound = begin;
        std::uint64_t soundKey = FirstSound;
        Duration longest{0};
        for (int sent = 0; m_cluster.scheduler.now() < begin + Length;) {
            auto now = m_cluster.scheduler.now();
            for (; sent < m_load.failingJobs && now >= begin + m_load.interval * sent; ++sent) {
                submit(FirstFailing + static_cast<std::uint64_t>(sent), m_load.tasksPerJob, m_load.areLasting);
            }
            if (now >= nextSound && now < begin + SoundJobsUntil) {
                nextSound += SoundInterval;
                submit(soundKey++, 1, false);
            }
            m_cluster.scheduler.runFor(10ms);
            now = m_cluster.scheduler.now();
            const int halfOfCapacity = m_load.rack.empty() ? HalfOfCapacity : HalfOfCapacity / RackCount;
            const bool isHalfUsed = m_cluster.workers.runningCount() >= halfOfCapacity;
            for (auto &[key, it] : m_jobs) {
                if (it.running > 0 || isHalfUsed) {
                    it.since = now;
                }
                longest = std::max(longest, it.isOver ? Duration(0) : now - it.since);
            }
        }
        return longest;
    }
    std::string violations() const
    {
        return violationsOf(m_cluster);
    }

private:
    struct Observed
    {
        TimePoint since; // last time that a task was at work
        int running = 0;
        std::map<int, int> failures; // by task
        bool isLasting = false;
        bool isOver = false;
    };

    std::chrono::milliseconds upTo(int limit)
    {
        return std::chrono::milliseconds(static_cast<int>(boost::random::uniform_01<>()(m_generator) * limit));
    }

    void submit(std::uint64_t key, int tasks, bool isLasting)
    {
        AcceptedJob job;
        job.key = {key};
        job.policy.queue = "plans";
        job.policy.service = Service;
        job.policy.maxAttempts = MaxAttempts;
        job.spec.steps.resize(1);
        job.spec.steps.front().count = tasks;
        job.spec.steps.front().needs = TaskSize;
        job.spec.steps.front().isLasting = isLasting;
        job.spec.steps.front().requiredLabel = m_load.rack;
        job.acceptedAt = m_cluster.wallNow();
        for (int n = 0; n < tasks; ++n) {
            const bool fails = key < FirstSound || m_load.doSoundJobsFailOnce;
            m_cluster.taskModel.taskOverrides[{job.key, 0, 0, n}] = {300ms + upTo(300), fails, TaskSize};
        }
        auto &handler = m_cluster.host(0).loop->jobRequestHandler();
        handler.submit(std::move(job), m_cluster.scheduler.now() + 2500ms, [this, key, isLasting](SubmitResult answer) {
            if (answer == SubmitResult::Accepted) {
                m_jobs[{key}] = {m_cluster.scheduler.now(), 0, {}, isLasting, false};
            }
        });
    }
    void noteStart(const jobs::TaskId &task)
    {
        ++m_jobs.at(task.job).running;
        if (task.job.value >= FirstSound) {
            m_cluster.taskModel.taskOverrides[task].alwaysFails = false;
        }
    }
    void noteEnd(const jobs::TaskId &task, std::string_view how)
    {
        auto &job = m_jobs.at(task.job);
        --job.running;
        const bool isLastFailure = how == "failed" && ++job.failures[task.index] == MaxAttempts && !job.isLasting;
        job.isOver = job.isOver || how == "done" || isLastFailure;
    }

    const Load &m_load;
    Cluster m_cluster;
    boost::random::mt19937 m_generator;
    std::map<jobs::JobKey, Observed> m_jobs;
};

} // namespace

// Guards against workers that are kept free of all tasks since tasks failed on them by their own fault.
TEST(FailingTasks, NoJobStandsStillBesideFreeWorkers)
{
    const std::vector<Load> loads = {
        {"no failing job, the others fail once", 0, 0, 0ms, false, true},
        {"tasks that fail one at a time", 20, 1, 500ms, false, false},
        {"jobs of three tasks", 20, 3, 500ms, false, false},
        {"jobs of three tasks, the others fail once", 20, 3, 500ms, false, true},
        {"jobs of three tasks for one rack", 15, 3, 1000ms, false, false, "r0"},
        {"one job of twenty tasks each second", 10, 20, 1000ms, false, false},
        {"four jobs of five tasks at once", 4, 5, 0ms, false, false},
        {"five lasting jobs of four tasks", 5, 4, 0ms, true, false},
        {"two lasting jobs of ten tasks, the others fail once", 2, 10, 0ms, true, true},
    };
    constexpr std::uint32_t seeds = 3;
    for (const auto &it : loads) {
        for (std::uint32_t seed = 1; seed <= seeds; ++seed) {
            SCOPED_TRACE(it.name + ", seed " + std::to_string(seed));
            FailingTasks play(it, seed);
            EXPECT_LT(toMilliseconds(play.longestStandstill()), toMilliseconds(PlatformBound));
            EXPECT_EQ(play.violations(), "");
        }
    }
}

} // namespace monsoonspool::execution
