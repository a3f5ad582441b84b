// What a leader knows that its successor cannot read: the table of docs/design/takeover-knowledge.md.
#include "codec/cborjobs.h"
#include "execution/fleet.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace monsoonspool::execution {

namespace {

constexpr TimePoint Start{1h};
const jobs::WallTime Wall{};
const ServiceName Service("desk");
constexpr jobs::JobKey Key{7};
constexpr jobs::JobKey OtherKey{8};
constexpr jobs::TaskId Task{Key, 0, 0, 0};
constexpr int MaxAttempts = 3;

class EventLog : public DecisionLog
{
public:
    void record(std::string_view event, std::initializer_list<DecisionField>) override
    {
        m_events.emplace_back(event);
    }
    std::ptrdiff_t count(std::string_view event) const
    {
        return std::ranges::count(m_events, event);
    }

private:
    std::vector<std::string> m_events;
};

jobs::StepSpec plainStep()
{
    jobs::StepSpec step;
    step.needs = {2000, 1000, 0};
    step.estimate = 10s;
    step.hasCheckpoints = true;
    return step;
}

jobs::StepSpec gangStep()
{
    auto step = plainStep();
    step.isGang = true;
    step.count = 2;
    return step;
}

jobs::StepSpec lastingStep()
{
    auto step = plainStep();
    step.isLasting = true;
    step.hasCheckpoints = false;
    return step;
}

jobs::StepSpec servingStep()
{
    auto step = lastingStep();
    step.needs = {20000, 1000, 0};
    step.image = "serving";
    step.tailTarget = 100ms;
    return step;
}

jobs::StepSpec leftoverStep()
{
    auto step = plainStep();
    step.usesLeftover = true;
    step.image = "batch";
    return step;
}

ports::ListedRun running(jobs::RunNumber run, std::string checkpoint = {}, int percent = 10, std::int64_t level = 0)
{
    return {Task, run, std::move(checkpoint), percent, level};
}

// A leader and its successors, of which each knows what the former one has stored and what the workers
// list. A worker lists no end that was acknowledged.
class Handover
{
public:
    explicit Handover(const jobs::StepSpec &step, int workers = 2)
    {
        for (int n = 0; n < workers; ++n) {
            auto &entry = m_workers.emplace_back().entry;
            entry.id = WorkerId("w" + std::to_string(n));
            entry.service = Service;
            entry.capacity = {32000, 64000, 0};
            entry.startTimeMs = 1;
        }
        addJob(Key, step);
        beginTerm({});
        reportAll();
    }

    Fleet &leader()
    {
        return *m_leader;
    }
    TimePoint now() const
    {
        return m_now;
    }
    void advance(Duration d)
    {
        m_now += d;
    }

    void addJob(jobs::JobKey key, const jobs::StepSpec &step)
    {
        AcceptedJob job;
        job.key = key;
        job.policy.queue = "plans";
        job.policy.service = Service;
        job.policy.maxAttempts = MaxAttempts;
        job.spec.steps.push_back(step);
        job.version = key.value;
        m_jobs.push_back(job);
        if (m_leader) {
            m_leader->addJob(std::move(job), m_now, Wall);
        }
    }

    // Lets the next leader begin its term. It has read the rows, and no worker has answered.
    void handOver()
    {
        const auto roster = m_leader->takeRoster();
        beginTerm(roster);
    }

    void beginTerm(std::span<const RosterEntry> roster)
    {
        m_leader = std::make_unique<Fleet>(log);
        m_leader->beginTerm({++m_fence}, m_fence * 10, roster, m_now + 7s, m_now);
        for (const auto &it : m_workers) {
            m_leader->updateWorker(it.entry, m_now);
        }
        m_leader->markRosterStored(m_leader->takeRoster());
        for (const auto &it : m_jobs) {
            m_leader->addJob(it, m_now, Wall);
        }
        for (const auto &[section, row] : m_rows) {
            m_leader->restoreProgress(section.job, m_codec.decodeProgress(row).value());
        }
    }

    // Changes what a worker runs, and lists it.
    void list(int worker, std::vector<ports::ListedRun> runs)
    {
        m_workers[static_cast<std::size_t>(worker)].running = std::move(runs);
        report(worker);
    }

    // Ends the run of the task that a worker lists, if there is one.
    void end(int worker, jobs::RunEnd how, std::string checkpoint = {}, jobs::RunNumber run = 0)
    {
        auto &state = m_workers[static_cast<std::size_t>(worker)];
        if (!state.running.empty()) {
            run = state.running.front().run;
            state.running.clear();
        }
        state.ended.push_back({++state.lastEnd, Task, run, how, std::move(checkpoint)});
        report(worker);
    }

    void report(int worker)
    {
        const auto &state = m_workers[static_cast<std::size_t>(worker)];
        ports::WorkerListing listing;
        listing.startTimeMs = state.entry.startTimeMs;
        listing.clock = toMilliseconds(m_now - Start) + 1000;
        listing.running = state.running;
        listing.ended = state.ended;
        m_leader->applyListing(state.entry.id, listing, m_now, m_now);
    }

    void reportAll()
    {
        for (int n = 0; n < static_cast<int>(m_workers.size()); ++n) {
            report(n);
        }
    }

    void silence(int worker)
    {
        m_leader->markSilent(m_workers[static_cast<std::size_t>(worker)].entry.id, m_now);
    }

    // Starts another process of the worker, which runs nothing and describes itself.
    void restart(int worker)
    {
        auto &state = m_workers[static_cast<std::size_t>(worker)];
        ++state.entry.startTimeMs;
        state.running.clear();
        state.ended.clear();
        report(worker);
        m_leader->updateWorker(state.entry, m_now);
    }

    void setDraining(int worker, Duration remaining)
    {
        auto &entry = m_workers[static_cast<std::size_t>(worker)].entry;
        entry.isDraining = true;
        entry.remaining = remaining;
        m_leader->updateWorker(entry, m_now);
    }

    // Stores the changed progress and acknowledges ends, as ProgressWriter does.
    void store()
    {
        const auto sections = m_leader->consumeChangedSections();
        const auto cursors = m_leader->endCursors();
        for (const auto &it : sections) {
            const auto *job = m_leader->find(it.job);
            if (job != nullptr) {
                m_rows[it] = m_codec.encode(job->progress(it.number));
            }
        }
        m_leader->acknowledge(cursors);
        for (auto &worker : m_workers) {
            for (const auto &cursor : cursors) {
                if (cursor.worker == worker.entry.id) {
                    std::erase_if(worker.ended, [&](const auto &it) { return it.number <= cursor.lastEnd; });
                }
            }
        }
    }

    Orders plan()
    {
        return m_leader->plan(m_now, Wall);
    }

    // Plans, and lets each start be accepted. Returns the starts of the job.
    std::vector<StartTask> start(jobs::JobKey key = Key)
    {
        auto starts = plan().starts;
        for (const auto &it : starts) {
            m_leader->applyStartReply(it, ports::StartResult::Accepted, m_now);
        }
        std::erase_if(starts, [&](const StartTask &it) { return it.task.job != key; });
        return starts;
    }

    // Returns the number of the worker that a start was sent to.
    int indexOf(const WorkerId &id) const
    {
        const auto it = std::ranges::find_if(m_workers, [&](const auto &worker) { return worker.entry.id == id; });
        return static_cast<int>(it - m_workers.begin());
    }

    EventLog log;

private:
    struct WorkerState
    {
        ports::WorkerEntry entry;
        std::vector<ports::ListedRun> running;
        std::vector<ports::ListedRunEnd> ended; // not acknowledged
        std::int64_t lastEnd = 0;
    };

    codec::CborJobs m_codec;
    TimePoint m_now = Start;
    std::uint64_t m_fence = 0;
    std::vector<AcceptedJob> m_jobs;
    std::vector<WorkerState> m_workers;
    std::map<jobs::ProgressSection, std::string> m_rows;
    std::unique_ptr<Fleet> m_leader;
};

// Starts the task under the present leader, lists a checkpoint, and returns the worker.
int startWithCheckpoint(Handover &handover, const std::string &checkpoint)
{
    const auto starts = handover.start();
    if (starts.empty()) {
        ADD_FAILURE() << "not started";
        return 0;
    }
    const int worker = handover.indexOf(starts.front().worker);
    handover.advance(1s);
    std::vector<ports::ListedRun> runs;
    for (const auto &it : starts) {
        if (it.worker == starts.front().worker) {
            runs.push_back({it.task, it.run, checkpoint, 50, 0});
        }
    }
    handover.list(worker, runs);
    return worker;
}

// The next leader starts the task from `checkpoint`.
void expectResumedFrom(Handover &handover, const std::string &checkpoint)
{
    handover.handOver();
    EXPECT_TRUE(handover.plan().starts.empty()) << "started before the workers have reported";
    handover.advance(100ms);
    handover.reportAll();
    const auto starts = handover.start();
    ASSERT_FALSE(starts.empty());
    for (const auto &it : starts) {
        EXPECT_EQ(it.checkpoint, checkpoint) << "the work before the change of leader is lost";
    }
}

// Guards against losing the work of a run that was stopped, whose end is not listed any more.
void checkpointOfAnEndedRun(const jobs::StepSpec &step, jobs::RunEnd how)
{
    Handover handover(step);
    const int worker = startWithCheckpoint(handover, "c4");
    handover.end(worker, how, "c5");
    handover.store();
    expectResumedFrom(handover, "c5");
}

// Guards against losing the work of a run whose worker is gone: no end of it is ever listed.
void checkpointOfALostRun()
{
    Handover handover(plainStep());
    const int worker = startWithCheckpoint(handover, "c4");
    handover.silence(worker);
    handover.advance(8s);
    handover.report(1 - worker);
    handover.leader().noteTermRenewed(handover.now(), handover.now() + 10s);
    handover.plan();
    handover.store();
    handover.handOver();
    handover.advance(8s);
    handover.report(1 - worker);
    handover.leader().noteTermRenewed(handover.now(), handover.now() + 10s);
    const auto starts = handover.start();
    ASSERT_EQ(starts.size(), 1U);
    EXPECT_EQ(starts.front().checkpoint, "c4");
}

// Guards against going back to the checkpoint of an earlier run, whose worker reports its end last.
void checkpointOfAnEarlierRun()
{
    Handover handover(plainStep());
    const int first = startWithCheckpoint(handover, "c1");
    handover.silence(first);
    handover.advance(8s);
    handover.report(1 - first);
    handover.leader().noteTermRenewed(handover.now(), handover.now() + 10s);
    const auto starts = handover.start();
    ASSERT_EQ(starts.size(), 1U);
    ASSERT_EQ(handover.indexOf(starts.front().worker), 1 - first);
    handover.advance(500ms);
    handover.list(1 - first, {running(starts.front().run, "c8")});
    handover.end(first, jobs::RunEnd::Lapsed, "c1");
    handover.end(1 - first, jobs::RunEnd::Stopped, {});
    const auto again = handover.start();
    ASSERT_EQ(again.size(), 1U);
    EXPECT_EQ(again.front().checkpoint, "c8");
}

// Guards against a start beside a run that the former leader wanted to stop, and against losing its work.
void stopOrderedByTheFormerLeader()
{
    Handover handover(plainStep());
    const int worker = startWithCheckpoint(handover, "c4");
    handover.setDraining(worker, 1s);
    ASSERT_EQ(handover.plan().stops.size(), 1U);
    handover.handOver();
    handover.advance(100ms);
    handover.reportAll();
    EXPECT_TRUE(handover.plan().starts.empty()) << "the run has not ended";
    EXPECT_EQ(handover.log.count("run-duplicate"), 0);
    handover.end(worker, jobs::RunEnd::Stopped, "c5");
    const auto starts = handover.start();
    ASSERT_EQ(starts.size(), 1U);
    EXPECT_EQ(starts.front().checkpoint, "c5");
    EXPECT_EQ(handover.indexOf(starts.front().worker), 1 - worker);
}

// Guards against a job that goes on although it was cancelled while there was no leader.
void cancelledWhileNobodyLed()
{
    for (const bool isListedFirst : {false, true}) {
        Handover handover(plainStep());
        const int worker = startWithCheckpoint(handover, "c4");
        handover.handOver();
        if (isListedFirst) {
            handover.reportAll();
        }
        handover.leader().cancel(Key);
        handover.reportAll();
        const auto orders = handover.plan();
        ASSERT_EQ(orders.stops.size(), 1U);
        EXPECT_TRUE(orders.starts.empty());
        handover.end(worker, jobs::RunEnd::Stopped, "c5");
        EXPECT_TRUE(handover.plan().starts.empty());
    }
}

// The successor does not know the delay, and starts the task at once: a task that fails again is delayed anew.
void delayAfterAFailure()
{
    Handover handover(lastingStep());
    for (int n = 0; n < 4; ++n) {
        const auto starts = handover.start();
        ASSERT_EQ(starts.size(), 1U);
        const int worker = handover.indexOf(starts.front().worker);
        handover.list(worker, {running(starts.front().run)});
        handover.end(worker, jobs::RunEnd::Failed);
        handover.store();
        EXPECT_TRUE(handover.plan().starts.empty());
        handover.advance(n < 3 ? 4500ms : 20ms);
        handover.reportAll();
    }
    EXPECT_TRUE(handover.plan().starts.empty()) << "the delay has not grown";
    handover.handOver();
    handover.reportAll();
    EXPECT_EQ(handover.start().size(), 1U);
}

// Guards against a sound job that fails because each leader sends it to the same bad worker.
void workersThatFailedATask()
{
    Handover handover(plainStep());
    auto starts = handover.start();
    ASSERT_EQ(starts.size(), 1U);
    const int bad = handover.indexOf(starts.front().worker);
    for (int n = 0; n < MaxAttempts - 1; ++n) {
        handover.list(bad, {running(starts.front().run)});
        handover.end(bad, jobs::RunEnd::Failed);
        handover.store();
        handover.handOver();
        handover.advance(100ms);
        handover.reportAll();
        starts = handover.start();
        ASSERT_EQ(starts.size(), 1U);
        EXPECT_NE(handover.indexOf(starts.front().worker), bad) << "after failure " << n + 1;
        if (handover.indexOf(starts.front().worker) != bad) {
            break;
        }
    }
}

// The successor takes all workers as sound: ends of runs that it does not know say nothing of their workers.
void suspectWorkers()
{
    Handover handover(plainStep(), 1);
    handover.handOver();
    handover.end(0, jobs::RunEnd::Failed, {}, 1);
    handover.end(0, jobs::RunEnd::Failed, {}, 2);
    handover.advance(50ms);
    EXPECT_EQ(handover.start().size(), 1U) << "the worker was blamed for runs of another leader";
}

// Guards against adding leftover work beside a serving task that was over its target before the change
// of leader, and against waiting for several measurements before anything is done about it.
void timeOverTheTarget()
{
    Handover handover(servingStep(), 1);
    ASSERT_EQ(handover.start().size(), 1U);
    handover.list(0, {running(1, {}, 100, 180)});
    handover.addJob(OtherKey, leftoverStep());
    handover.handOver();
    handover.advance(100ms);
    handover.reportAll();
    EXPECT_TRUE(handover.start(OtherKey).empty()) << "started beside a task that is over its target";
}

// Guards against taking the time since the change of leader as the time that a run has needed: a slow run is
// then left on a worker that leaves until its work is lost.
void learnedRunTimes()
{
    auto step = plainStep();
    step.estimate = 500ms;
    Handover handover(step);
    const auto starts = handover.start();
    ASSERT_EQ(starts.size(), 1U);
    const int worker = handover.indexOf(starts.front().worker);
    handover.list(worker, {running(starts.front().run, "c1", 50)});
    handover.handOver();
    handover.reportAll();
    handover.advance(1s);
    handover.list(worker, {running(starts.front().run, "c1", 55)}); // needs 9 s more
    EXPECT_TRUE(handover.plan().stops.empty());
    handover.setDraining(worker, 5s);
    EXPECT_EQ(handover.plan().stops.size(), 1U) << "the run is expected to end before the worker leaves";
}

// Guards against charging the crash of a worker to a lasting task that has run for hours, because the leader is new.
void ageOfALastingRun()
{
    Handover handover(lastingStep(), 1);
    jobs::RunNumber run = handover.start().front().run;
    for (int n = 0; n < 3; ++n) {
        handover.list(0, {running(run, {}, 100)});
        handover.advance(1h);
        handover.reportAll();
        handover.store();
        handover.handOver();
        handover.reportAll();
        handover.advance(3s);
        handover.reportAll();
        handover.restart(0);
        EXPECT_EQ(handover.leader().find(Key)->crashCount(Task), 0) << "after crash " << n + 1;
        handover.store();
        handover.advance(100ms);
        handover.reportAll();
        const auto starts = handover.start();
        ASSERT_EQ(starts.size(), 1U) << "the job was given up";
        run = starts.front().run;
    }
}

// Guards against trying all numbers that a former leader has used, each of which a worker refuses.
void runNumbers()
{
    constexpr int runs = 1200; // of a lasting task that fails every 2 s for 40 minutes
    Handover handover(lastingStep(), 1);
    jobs::RunNumber last = 0;
    for (int n = 0; n < runs; ++n) {
        handover.advance(10s);
        handover.reportAll();
        const auto starts = handover.start();
        ASSERT_EQ(starts.size(), 1U);
        last = starts.front().run;
        handover.list(0, {running(last)});
        handover.end(0, jobs::RunEnd::Failed);
        handover.store();
    }
    handover.handOver();
    handover.advance(100ms);
    handover.reportAll();
    int refusals = 0;
    auto starts = handover.plan().starts;
    while (starts.size() == 1 && starts.front().run <= last && refusals <= 2) {
        ++refusals;
        handover.leader().applyStartReply(starts.front(), ports::StartResult::Superseded, handover.now());
        starts = handover.plan().starts;
    }
    ASSERT_EQ(starts.size(), 1U);
    EXPECT_GT(starts.front().run, last);
    EXPECT_LE(refusals, 1);
}

// Guards against a second start, a stop and a lost checkpoint because a worker was silent at the change of leader.
void silentWorker()
{
    Handover handover(plainStep());
    const int worker = startWithCheckpoint(handover, "c4");
    handover.silence(worker);
    handover.handOver();
    handover.silence(worker);
    handover.report(1 - worker);
    for (int n = 0; n < 5; ++n) {
        EXPECT_TRUE(handover.plan().starts.empty()) << "the lease of the former leader may last";
        handover.advance(1s);
    }
    handover.reportAll();
    const auto orders = handover.plan();
    EXPECT_TRUE(orders.starts.empty());
    EXPECT_TRUE(orders.stops.empty());
    EXPECT_EQ(handover.log.count("run-adopted"), 1);
    EXPECT_EQ(handover.log.count("worker-lost"), 0);
}

// The runs of a worker that was lost under the former leader are not known, and its next process counts as no crash.
void runsOfALostWorker()
{
    Handover handover(plainStep());
    const int worker = startWithCheckpoint(handover, "c4");
    handover.silence(worker);
    handover.handOver();
    handover.silence(worker);
    handover.advance(1s);
    handover.restart(worker);
    handover.report(1 - worker);
    EXPECT_EQ(handover.leader().find(Key)->crashCount(Task), 0);
    EXPECT_EQ(handover.start().size(), 1U);
}

// Failed attempts are stored: the successor neither forgets one nor counts it twice if it is listed again.
void failedAttempts()
{
    Handover handover(plainStep());
    for (int n = 0; n < MaxAttempts; ++n) {
        handover.advance(10s);
        handover.reportAll();
        const auto starts = handover.start();
        ASSERT_EQ(starts.size(), 1U) << "failed after " << n << " attempts";
        const int worker = handover.indexOf(starts.front().worker);
        handover.list(worker, {running(starts.front().run)});
        handover.end(worker, jobs::RunEnd::Failed);
        if (n % 2 == 0) {
            handover.store();
        }
        handover.handOver();
        handover.advance(100ms);
        handover.reportAll();
        handover.store();
    }
    EXPECT_TRUE(handover.leader().find(Key) == nullptr || !handover.leader().find(Key)->isOpen());
}

// Guards against blaming a worker and its task for a run that another leader had paused, as it makes no progress.
void paceOfARun()
{
    Handover handover(leftoverStep());
    const auto starts = handover.start();
    ASSERT_EQ(starts.size(), 1U);
    const int worker = handover.indexOf(starts.front().worker);
    handover.list(worker, {running(starts.front().run, "c1", 40)});
    handover.handOver();
    handover.advance(100ms);
    handover.reportAll();
    const auto orders = handover.plan();
    ASSERT_EQ(orders.paces.size(), 1U) << "nobody else resumes it";
    EXPECT_TRUE(orders.stops.empty());
    handover.advance(2s);
    handover.reportAll();
    EXPECT_TRUE(handover.plan().stops.empty());
}

// Crashes are stored: the successor adds to those that the former leader has charged.
void crashesAfterATakeover()
{
    Handover handover(plainStep(), 1);
    for (int n = 0; n < 2; ++n) {
        const auto starts = handover.start();
        ASSERT_EQ(starts.size(), 1U);
        handover.list(0, {running(starts.front().run)});
        handover.advance(100ms);
        handover.reportAll();
        handover.restart(0);
        handover.store();
        handover.handOver();
        handover.advance(100ms);
        handover.reportAll();
        EXPECT_EQ(handover.leader().find(Key)->crashCount(Task), n + 1);
    }
    EXPECT_EQ(handover.start().size(), 1U) << "the only worker is free";
}

struct Item
{
    std::string name;
    std::function<void()> check;
};

std::ostream &operator<<(std::ostream &stream, const Item &item)
{
    return stream << item.name;
}

class TakeoverKnowledge : public testing::TestWithParam<Item>
{
};

} // namespace

// Each row guards against the failure that stands at its function.
TEST_P(TakeoverKnowledge, OnlyThisItemMatters)
{
    GetParam().check();
}

INSTANTIATE_TEST_SUITE_P(
    Items, TakeoverKnowledge,
    testing::Values(
        Item{"CheckpointOfAStoppedRun", [] { checkpointOfAnEndedRun(plainStep(), jobs::RunEnd::Stopped); }},
        Item{"CheckpointOfALapsedRun", [] { checkpointOfAnEndedRun(plainStep(), jobs::RunEnd::Lapsed); }},
        Item{"CheckpointOfAFailedRun", [] { checkpointOfAnEndedRun(plainStep(), jobs::RunEnd::Failed); }},
        Item{"CheckpointOfAGang", [] { checkpointOfAnEndedRun(gangStep(), jobs::RunEnd::Stopped); }},
        Item{"CheckpointOfALostRun", checkpointOfALostRun}, Item{"CheckpointOfAnEarlierRun", checkpointOfAnEarlierRun},
        Item{"StopOrderedByTheFormerLeader", stopOrderedByTheFormerLeader},
        Item{"CancelledWhileNobodyLed", cancelledWhileNobodyLed}, Item{"DelayAfterAFailure", delayAfterAFailure},
        Item{"WorkersThatFailedATask", workersThatFailedATask}, Item{"SuspectWorkers", suspectWorkers},
        Item{"TimeOverTheTarget", timeOverTheTarget}, Item{"LearnedRunTimes", learnedRunTimes},
        Item{"AgeOfALastingRun", ageOfALastingRun}, Item{"RunNumbers", runNumbers}, Item{"SilentWorker", silentWorker},
        Item{"RunsOfALostWorker", runsOfALostWorker}, Item{"FailedAttempts", failedAttempts},
        Item{"PaceOfARun", paceOfARun}, Item{"CrashesAfterATakeover", crashesAfterATakeover}),
    [](const auto &row) { return row.param.name; });

} // namespace monsoonspool::execution
