#include "execution/fleet.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

// Leftover work on workers whose serving tasks are at their peak, while others are idle.
namespace monsoonspool::execution {

namespace {

constexpr TimePoint Start{1h};
const jobs::WallTime Wall{};
const ServiceName Service("desk");
constexpr jobs::JobKey Serving{1};
constexpr jobs::JobKey Batch{2};
constexpr Duration ListingInterval = 600ms;

class NullLog : public DecisionLog
{
public:
    void record(std::string_view, std::initializer_list<DecisionField>) override
    {
    }
};

struct MoveLoad
{
    const char *name;
    bool isSecondWorkerIdle = true;
    bool hasMoveCost = true;
    bool hasCheckpoints = true;
    bool hasWaitingWork = false; // leftover work that fits no worker
    bool isMoved = true;
};

// Two workers with a serving task each, and a batch task beside the one that is over its target.
class TwoWorkers
{
public:
    explicit TwoWorkers(const MoveLoad &load) : m_load(load)
    {
        fleet.beginTerm({1}, 0, {}, Start, Start);
        if (load.hasMoveCost) {
            fleet.setMoveCost(scheduling::MoveCost{300ms, 200ms, 1s});
        }
        for (const char *name : {"w0", "w1"}) {
            ports::WorkerEntry entry;
            entry.id = WorkerId(name);
            entry.service = Service;
            entry.capacity = {16000, 32000, 0};
            entry.startTimeMs = 1;
            fleet.updateWorker(entry, Start);
        }
        for (int n = 0; n < 2; ++n) {
            list(n, {}, Start);
        }
        fleet.markRosterStored(fleet.takeRoster());
        jobs::StepSpec serving;
        serving.needs = {8000, 1000, 0};
        serving.isLasting = true;
        serving.count = 2;
        serving.maxPerWorker = 1;
        serving.tailTarget = 10ms;
        submit(Serving, serving);
        jobs::StepSpec batch;
        batch.needs = {4000, 1000, 0};
        batch.estimate = 10s;
        batch.usesLeftover = true;
        batch.hasCheckpoints = load.hasCheckpoints;
        submit(Batch, batch);
        if (load.hasWaitingWork) {
            batch.needs = {15000, 1000, 0};
            submit({3}, batch);
        }
        fleet.markRosterStored(fleet.takeRoster());
    }

    // Plays the time in which the first worker's tail stays over its target. Returns whether the
    // batch task there was stopped and started on the other worker.
    bool play()
    {
        auto orders = fleet.plan(Start + 1ms, Wall);
        for (const auto &it : orders.starts) {
            fleet.applyStartReply(it, ports::StartResult::Accepted, Start + 1ms);
            m_runs.push_back(it);
        }
        const auto batch = std::ranges::find(m_runs, Batch, [](const StartTask &it) { return it.task.job; });
        EXPECT_NE(batch, m_runs.end());
        for (auto now = Start + ListingInterval; now < Start + 6s; now += ListingInterval) {
            for (const char *name : {"w0", "w1"}) {
                list(WorkerId(name), now, name == batch->worker.view());
            }
            orders = fleet.plan(now, Wall);
            if (!orders.stops.empty()) {
                EXPECT_EQ(orders.stops.front().task.job, Batch);
                return true;
            }
        }
        return false;
    }

    // Lists the end of the batch task's stopped run. Returns the worker on which it starts then.
    WorkerId resume()
    {
        const auto batch = std::ranges::find(m_runs, Batch, [](const StartTask &it) { return it.task.job; });
        ports::WorkerListing listing;
        listing.ended.push_back({1, batch->task, batch->run, jobs::RunEnd::Stopped, "checkpoint"});
        const auto worker = batch->worker;
        list(worker.view() == "w0" ? 0 : 1, listing, Start + 7s);
        const auto orders = fleet.plan(Start + 7s, Wall);
        const auto start = std::ranges::find(orders.starts, Batch, [](const StartTask &it) { return it.task.job; });
        if (start == orders.starts.end()) {
            return {};
        }
        EXPECT_EQ(start->checkpoint, "checkpoint");
        return start->worker;
    }
    WorkerId batchWorker() const
    {
        return std::ranges::find(m_runs, Batch, [](const StartTask &it) { return it.task.job; })->worker;
    }

    NullLog log;
    Fleet fleet{log};

private:
    void submit(jobs::JobKey key, const jobs::StepSpec &step)
    {
        AcceptedJob job;
        job.key = key;
        job.policy.queue = "plans";
        job.policy.service = Service;
        job.policy.maxAttempts = 3;
        job.spec.steps.push_back(step);
        fleet.addJob(std::move(job), Start, Wall);
    }
    void list(int n, ports::WorkerListing listing, TimePoint now)
    {
        listing.startTimeMs = 1;
        listing.clock = toMilliseconds(now - Start) + 1000;
        fleet.applyListing(WorkerId("w" + std::to_string(n)), listing, now, now);
    }
    // The serving task beside the batch task is over its target; the other one is idle.
    void list(const WorkerId &id, TimePoint now, bool isBatchWorker)
    {
        ports::WorkerListing listing;
        for (const auto &it : m_runs) {
            if (it.worker == id) {
                const bool isServing = it.task.job == Serving;
                const std::int64_t level = !isServing ? 4000 : isBatchWorker ? 15 : 2;
                listing.running.push_back({it.task, it.run, {}, isServing ? 100 : 20, level});
            }
        }
        if (!isBatchWorker && !m_load.isSecondWorkerIdle) {
            const jobs::TaskId foreign{{99}, 0, 0, 0}; // of a job that is not read, so that nothing is free
            listing.running.push_back({foreign, 1, {}, 50, 0});
        }
        list(id.view() == "w0" ? 0 : 1, listing, now);
    }

    MoveLoad m_load;
    std::vector<StartTask> m_runs;
};

} // namespace

// Guards against a batch task that is paused for as long as its neighbour is busy, while other
// workers are idle: it held up its step, and with it the whole job.
TEST(RunMove, AThrottledTaskResumesOnAnIdleWorker)
{
    for (const auto &it : {MoveLoad{.name = "another worker is idle"},
                           MoveLoad{.name = "no other worker has room", .isSecondWorkerIdle = false, .isMoved = false},
                           MoveLoad{.name = "the cost is not known", .hasMoveCost = false, .isMoved = false},
                           MoveLoad{.name = "its work would be lost", .hasCheckpoints = false, .isMoved = false},
                           MoveLoad{.name = "other work waits for room", .hasWaitingWork = true, .isMoved = false}}) {
        SCOPED_TRACE(it.name);
        TwoWorkers workers(it);
        ASSERT_EQ(workers.play(), it.isMoved);
        if (it.isMoved) {
            const auto target = workers.resume();
            EXPECT_FALSE(target.isEmpty());
            EXPECT_NE(target, workers.batchWorker());
            EXPECT_EQ(workers.fleet.counts().moves, 1U);
        }
    }
}

} // namespace monsoonspool::execution
