#include "execution/fleet.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <string>
#include <vector>

namespace monsoonspool::execution {

namespace {

constexpr TimePoint Start{1h};
const jobs::WallTime Wall{};
constexpr Resources TaskSize{2000, 1000, 0};
const ServiceName Service("desk");

// Keeps the names of the recorded events.
class EventLog : public DecisionLog
{
public:
    void record(std::string_view event, std::initializer_list<DecisionField>) override
    {
        events.emplace_back(event);
    }
    bool contains(std::string_view event) const
    {
        return std::ranges::find(events, event) != events.end();
    }

    std::vector<std::string> events;
};

// A fleet whose workers have all confirmed the fence and can take tasks.
class ReadyFleet
{
public:
    explicit ReadyFleet(int workers)
    {
        fleet.beginTerm({1}, 0, {}, Start, Start);
        for (int n = 0; n < workers; ++n) {
            ports::WorkerEntry entry;
            entry.id = WorkerId("w" + std::to_string(n));
            entry.service = Service;
            entry.capacity = {32000, 64000, 0};
            entry.rack = "r" + std::to_string(n);
            entry.startTimeMs = 1;
            fleet.updateWorker(entry, Start);
            list(entry.id, {}, Start);
        }
        fleet.markRosterStored(fleet.takeRoster());
    }

    void list(const WorkerId &id, ports::WorkerListing listing, TimePoint now)
    {
        listing.startTimeMs = 1;
        listing.clock = toMilliseconds(now - Start) + 1000;
        fleet.applyListing(id, listing, now, now);
    }

    void submit(std::uint64_t key, const jobs::StepSpec &step, TimePoint now)
    {
        AcceptedJob job;
        job.key = {key};
        job.policy.queue = "plans";
        job.policy.service = Service;
        job.policy.maxAttempts = 3;
        job.spec.steps.push_back(step);
        job.version = key;
        fleet.addJob(std::move(job), now, Wall);
    }

    EventLog log;
    Fleet fleet{log};
};

jobs::StepSpec plainStep()
{
    jobs::StepSpec step;
    step.needs = TaskSize;
    step.estimate = 1s;
    return step;
}

// A new leader's fleet with one job, which the former leader may have started on the one worker
// of its roster. The former leader's leases end after 7 s.
class TakeoverFleet
{
public:
    TakeoverFleet()
    {
        entry.id = WorkerId("w0");
        entry.service = Service;
        entry.capacity = {32000, 64000, 0};
        entry.startTimeMs = 1;
        fleet.beginTerm({2}, 10, std::vector{RosterEntry{entry, {}}}, Start + 7s, Start);
        fleet.updateWorker(entry, Start);
        AcceptedJob job;
        job.key = {7};
        job.policy.service = Service;
        job.policy.maxAttempts = 3;
        job.spec.steps.push_back(plainStep());
        job.version = 7;
        fleet.addJob(std::move(job), Start, Wall);
    }

    EventLog log;
    Fleet fleet{log};
    ports::WorkerEntry entry;
};

} // namespace

// Guards against counting a start order that a worker refused or did not answer as a
// start: the host then reported that no job was waiting.
TEST(Fleet, CountsAJobAsWaitingUntilATaskHasBegun)
{
    struct Case
    {
        const char *name;
        std::function<void(ReadyFleet &, const StartTask &)> outcome;
        int waiting;
    };
    for (const auto &it :
         {Case{"no answer yet", [](ReadyFleet &, const StartTask &) {}, 1},
          Case{"refused as unhealthy",
               [](ReadyFleet &f, const StartTask &order) {
                   f.fleet.applyStartReply(order, ports::StartResult::Unhealthy, Start + 10ms);
               },
               1},
          Case{"unanswered",
               [](ReadyFleet &f, const StartTask &order) { f.fleet.applyStartFailure(order, true, Start + 700ms); }, 1},
          Case{"accepted",
               [](ReadyFleet &f, const StartTask &order) {
                   f.fleet.applyStartReply(order, ports::StartResult::Accepted, Start + 10ms);
               },
               0},
          Case{"unanswered, then listed",
               [](ReadyFleet &f, const StartTask &order) {
                   f.fleet.applyStartFailure(order, true, Start + 700ms);
                   ports::WorkerListing listing;
                   listing.running.push_back({order.task, order.run, {}, 10, 0});
                   f.list(order.worker, listing, Start + 800ms);
               },
               0}}) {
        SCOPED_TRACE(it.name);
        ReadyFleet ready(1);
        ready.submit(7, plainStep(), Start);
        const auto orders = ready.fleet.plan(Start, Wall);
        ASSERT_EQ(orders.starts.size(), 1U);
        it.outcome(ready, orders.starts.front());
        const auto counts = ready.fleet.waitingCounts();
        EXPECT_EQ(counts.contains("plans") ? counts.at("plans") : 0, it.waiting);
    }
}

// Guards against head-of-line blocking: under overload, small leftover
// work that would have disturbed serving tasks on every worker kept all larger work from
// being placed, and half of the leftover processors were idle beside a long queue.
TEST(Fleet, UnplaceableDisturbingWorkDoesNotBlockHarmlessWork)
{
    ReadyFleet ready(1);
    const WorkerId worker("w0");
    auto step = [](std::string_view image, std::int64_t milliCores) {
        auto made = plainStep();
        made.image = image;
        made.needs = {milliCores, 100, 0};
        return made;
    };
    auto serving = step("serving", 16000);
    serving.isLasting = true;
    serving.tailTarget = 18ms;
    auto heavy = step("heavy", 8000);
    heavy.usesLeftover = true;
    ready.submit(1, serving, Start);
    ready.submit(2, heavy, Start);
    auto now = Start;
    auto orders = ready.fleet.plan(now, Wall);
    ASSERT_EQ(orders.starts.size(), 2U);
    for (const auto &it : orders.starts) {
        ready.fleet.applyStartReply(it, ports::StartResult::Accepted, now);
    }
    const auto runOf = [&](std::uint64_t key) {
        return std::ranges::find(orders.starts, key, [](const StartTask &it) { return it.task.job.value; })->run;
    };
    const ports::ListedRun servingRun{{{1}, 0, 0, 0}, runOf(1), {}, 100, 30};
    const ports::ListedRun heavyRun{{{2}, 0, 0, 0}, runOf(2), {}, 50, 8000};
    // The tail latency is high beside the heavy work and low without it.
    constexpr int measurements = 40;
    for (int n = 0; n < measurements; ++n) {
        now += 600ms;
        ports::WorkerListing listing;
        listing.running = {servingRun, heavyRun};
        ready.list(worker, listing, now);
    }
    ports::WorkerListing ended;
    ended.running = {servingRun};
    ended.ended = {{1, heavyRun.task, heavyRun.run, jobs::RunEnd::Done, {}}};
    for (int n = 0; n < measurements; ++n) {
        now += 600ms;
        ended.running.front().level = 7;
        ready.list(worker, ended, now);
    }
    ready.fleet.plan(now, Wall);

    auto small = step("heavy", 1000);
    small.usesLeftover = true;
    auto light = step("light", 4000);
    light.usesLeftover = true;
    // Both are late, so that the smaller one goes first.
    ready.submit(3, small, now - 1s);
    ready.submit(4, light, now - 1s);
    orders = ready.fleet.plan(now, Wall);
    ASSERT_EQ(orders.starts.size(), 1U);
    EXPECT_EQ(orders.starts.front().task.job.value, 4U);
}

// A task that ran twice leaves a log line and a count, whatever caused it.
TEST(Fleet, RecordsARunOfATaskThatIsActiveElsewhere)
{
    ReadyFleet ready(2);
    auto &fleet = ready.fleet;
    ready.submit(7, plainStep(), Start);
    const auto orders = fleet.plan(Start + 1ms, Wall);
    ASSERT_EQ(orders.starts.size(), 1U);
    const auto &order = orders.starts.front();
    fleet.applyStartReply(order, ports::StartResult::Accepted, Start + 2ms);
    EXPECT_EQ(fleet.counts().duplicateRuns, 0U);
    const WorkerId other(order.worker == WorkerId("w0") ? "w1" : "w0");
    ports::WorkerListing listing;
    listing.running.push_back({order.task, 1, {}, 50, 0});
    ready.list(other, listing, Start + 10ms);
    EXPECT_EQ(fleet.counts().duplicateRuns, 1U);
    EXPECT_TRUE(ready.log.contains("run-duplicate"));
}

TEST(Fleet, RecordsATaskThatIsDoneAgain)
{
    ReadyFleet ready(2);
    auto &fleet = ready.fleet;
    auto step = plainStep();
    step.count = 2; // keeps the job open
    ready.submit(7, step, Start);
    const jobs::TaskId task{{7}, 0, 0, 0};
    for (const int n : {0, 1}) {
        ports::WorkerListing listing;
        listing.ended.push_back({1, task, static_cast<jobs::RunNumber>(n) + 1, jobs::RunEnd::Done, {}});
        ready.list(WorkerId("w" + std::to_string(n)), listing, Start + 10ms);
    }
    EXPECT_EQ(fleet.counts().duplicateRuns, 1U);
    EXPECT_TRUE(ready.log.contains("task-done-again"));
}

TEST(Fleet, RecordsTheEndOfARunWhoseJobItHasNotRead)
{
    ReadyFleet ready(1);
    ports::WorkerListing listing;
    listing.ended.push_back({1, {{9}, 0, 0, 0}, 1, jobs::RunEnd::Done, {}});
    ready.list(WorkerId("w0"), listing, Start + 10ms);
    EXPECT_EQ(ready.fleet.counts().endsOfUnknownJobs, 1U);
    EXPECT_TRUE(ready.log.contains("end-of-unknown-job"));
}

// Guards against a task that ran twice: the end of a run whose job this leader had not read
// yet was dropped and acknowledged, and the task started again when the job was read.
TEST(Fleet, AppliesTheEndOfARunWhenItReadsTheJob)
{
    ReadyFleet ready(1);
    auto &fleet = ready.fleet;
    auto step = plainStep();
    step.count = 2; // keeps the job open
    ready.submit(7, step, Start);
    ports::WorkerListing listing;
    listing.ended.push_back({1, {{7}, 0, 0, 0}, 1, jobs::RunEnd::Done, {}});
    listing.ended.push_back({2, {{9}, 0, 0, 0}, 1, jobs::RunEnd::Done, {}});
    listing.ended.push_back({3, {{7}, 0, 0, 1}, 1, jobs::RunEnd::Done, {}});
    ready.list(WorkerId("w0"), listing, Start + 10ms);
    EXPECT_EQ(fleet.find({7})->state(), jobs::JobState::Completed) << "later ends are applied";
    ASSERT_EQ(fleet.endCursors().size(), 1U);
    EXPECT_EQ(fleet.endCursors().front().lastEnd, 1);
    fleet.consumeChangedJobs();

    ready.submit(9, plainStep(), Start + 20ms);
    EXPECT_TRUE(fleet.plan(Start + 20ms, Wall).starts.empty());
    EXPECT_EQ(fleet.find({9})->state(), jobs::JobState::Completed);
    EXPECT_EQ(fleet.consumeChangedJobs(), std::vector<jobs::JobKey>{{9}});
    ASSERT_EQ(fleet.endCursors().size(), 1U);
    EXPECT_EQ(fleet.endCursors().front().lastEnd, 3);
}

// An end that is never acknowledged would be listed for ever.
TEST(Fleet, AcknowledgesTheEndsOfJobsThatItWillNotRead)
{
    struct Case
    {
        const char *name;
        std::function<void(ReadyFleet &)> read;
        std::size_t cursors;
    };
    for (const auto &it : {Case{"not read yet", [](ReadyFleet &) {}, 0},
                           Case{"its row cannot be decoded", [](ReadyFleet &f) { f.fleet.addUnreadableJob({9}); }, 1},
                           Case{"read, finished and dropped",
                                [](ReadyFleet &f) {
                                    f.submit(9, plainStep(), Start);
                                    f.fleet.cancel({9});
                                    EXPECT_EQ(f.fleet.find({9}), nullptr);
                                },
                                1}}) {
        SCOPED_TRACE(it.name);
        ReadyFleet ready(1);
        it.read(ready);
        ports::WorkerListing listing;
        listing.ended.push_back({1, {{9}, 0, 0, 0}, 1, jobs::RunEnd::Done, {}});
        ready.list(WorkerId("w0"), listing, Start + 10ms);
        EXPECT_EQ(ready.fleet.endCursors().size(), it.cursors);
        ready.fleet.noteJobsRead(Start + 9ms);
        EXPECT_EQ(ready.fleet.endCursors().size(), it.cursors) << "its job may have been stored later";
        ready.fleet.noteJobsRead(Start + 10ms);
        EXPECT_EQ(ready.fleet.endCursors().size(), 1U);
    }
}

// The end of a run counts although its worker has restarted since, but the numbers of the
// former process do not hold back those of the new one.
TEST(Fleet, ARestartedWorkerAcknowledgesItsOwnEnds)
{
    ReadyFleet ready(1);
    auto &fleet = ready.fleet;
    ports::WorkerListing listing;
    listing.ended.push_back({1, {{9}, 0, 0, 0}, 1, jobs::RunEnd::Done, {}});
    ready.list(WorkerId("w0"), listing, Start + 10ms);
    auto step = plainStep();
    step.count = 2; // keeps the job open
    ready.submit(7, step, Start + 10ms);
    listing.ended.front().task.job = {7};
    listing.startTimeMs = 2;
    listing.clock = 10;
    fleet.applyListing(WorkerId("w0"), listing, Start + 20ms, Start + 20ms);
    ASSERT_EQ(fleet.endCursors().size(), 1U);
    EXPECT_EQ(fleet.endCursors().front().startTimeMs, 2);
    EXPECT_EQ(fleet.endCursors().front().lastEnd, 1);
    ready.submit(9, plainStep(), Start + 30ms);
    EXPECT_EQ(fleet.find({9})->state(), jobs::JobState::Completed);
    EXPECT_EQ(fleet.endCursors().front().lastEnd, 1);
}

// A run that the worker lists as running keeps its task from starting again, whether the
// job is read before or after the run's end.
TEST(Fleet, DoesNotStartATaskThatRanBeforeItsJobWasRead)
{
    for (const bool isEndedFirst : {false, true}) {
        SCOPED_TRACE(isEndedFirst);
        ReadyFleet ready(2);
        auto &fleet = ready.fleet;
        ports::WorkerListing running;
        running.running.push_back({{{9}, 0, 0, 0}, 1, {}, 50, 0});
        ready.list(WorkerId("w0"), running, Start + 10ms);
        fleet.plan(Start + 10ms, Wall);
        ports::WorkerListing ended;
        ended.ended.push_back({1, {{9}, 0, 0, 0}, 1, jobs::RunEnd::Done, {}});
        if (isEndedFirst) {
            ready.list(WorkerId("w0"), ended, Start + 20ms);
        }
        ready.submit(9, plainStep(), Start + 30ms);
        EXPECT_TRUE(fleet.plan(Start + 30ms, Wall).starts.empty());
        ready.list(WorkerId("w0"), ended, Start + 40ms);
        EXPECT_TRUE(fleet.plan(Start + 40ms, Wall).starts.empty());
        EXPECT_EQ(fleet.find({9})->state(), jobs::JobState::Completed);
    }
}

// A renewal of the leadership that was sent after a lease's end proves that no successor has
// extended the lease.
TEST(Fleet, StartsATaskElsewhereOnceItIsStillLeaderAfterTheLease)
{
    ReadyFleet ready(2);
    auto &fleet = ready.fleet;
    ready.submit(7, plainStep(), Start);
    const auto orders = fleet.plan(Start, Wall);
    ASSERT_EQ(orders.starts.size(), 1U);
    const auto &worker = orders.starts.front().worker;
    fleet.applyStartReply(orders.starts.front(), ports::StartResult::Accepted, Start);
    fleet.leaseOrder(worker, Start);
    fleet.markSilent(worker, Start + 1s);
    fleet.noteTermRenewed(Start + 6s, Start + 18s);
    EXPECT_TRUE(fleet.plan(Start + 10s, Wall).starts.empty());
    fleet.noteTermRenewed(Start + 6500ms, Start + 18500ms);
    const auto again = fleet.plan(Start + 10s, Wall);
    ASSERT_EQ(again.starts.size(), 1U);
    EXPECT_NE(again.starts.front().worker, worker);
}

// Runs end with the term of their leader, unless it is renewed. Leases are renewed more often
// towards its end, so that a late renewal of the term still saves the runs.
TEST(Fleet, GrantsNothingBeyondItsTerm)
{
    ReadyFleet ready(1);
    auto &fleet = ready.fleet;
    const WorkerId worker("w0");
    const auto startClock = 1000; // of the worker, at Start
    fleet.noteTermRenewed(Start, Start + 12s);
    EXPECT_EQ(fleet.leaseOrder(worker, Start).deadline, startClock + 6000);
    const auto wait = fleet.leaseOrder(worker, Start).wait;
    EXPECT_EQ(fleet.leaseOrder(worker, Start + 5s).wait, wait);
    EXPECT_EQ(fleet.leaseOrder(worker, Start + 11s).deadline, startClock + 11'760);
    EXPECT_EQ(fleet.leaseOrder(worker, Start + 11s).wait, 250ms);
    ready.submit(7, plainStep(), Start);
    EXPECT_TRUE(fleet.plan(Start + 10s, Wall).starts.empty()) << "the order may arrive after the term";
    const auto starts = fleet.plan(Start + 9s, Wall).starts;
    ASSERT_EQ(starts.size(), 1U);
    EXPECT_LE(starts.front().deadline, startClock + 11'760);
}

// A worker lists a limited number of ends at a time. While the list is cut, a run that is
// neither listed as running nor as ended may have been done.
TEST(Fleet, ACutListOfEndsProvesNothingOfOtherRuns)
{
    ReadyFleet ready(2);
    auto &fleet = ready.fleet;
    ready.submit(7, plainStep(), Start);
    const auto orders = fleet.plan(Start, Wall);
    ASSERT_EQ(orders.starts.size(), 1U);
    const auto &order = orders.starts.front();
    fleet.applyStartReply(order, ports::StartResult::Accepted, Start + 1ms);
    ports::WorkerListing listing;
    listing.ended.push_back({1, {{9}, 0, 0, 0}, 1, jobs::RunEnd::Done, {}});
    listing.isTruncated = true;
    ready.list(order.worker, listing, Start + 10ms);
    EXPECT_TRUE(fleet.plan(Start + 10ms, Wall).starts.empty());
    listing.ended.front() = {2, order.task, order.run, jobs::RunEnd::Done, {}};
    listing.isTruncated = false;
    ready.list(order.worker, listing, Start + 20ms);
    EXPECT_TRUE(fleet.plan(Start + 20ms, Wall).starts.empty());
    EXPECT_EQ(fleet.find({7})->state(), jobs::JobState::Completed);
}

// The same at a takeover: the worker has reported only once its whole list was read.
TEST(Fleet, AWorkerHasReportedOnceItsWholeListIsRead)
{
    TakeoverFleet takeover;
    auto &fleet = takeover.fleet;
    const auto &entry = takeover.entry;
    ports::WorkerListing listing;
    listing.startTimeMs = 1;
    listing.clock = 1000;
    listing.isTruncated = true;
    fleet.applyListing(entry.id, listing, Start, Start);
    EXPECT_TRUE(fleet.plan(Start, Wall).starts.empty());
    fleet.removeWorker(entry.id, Start);
    fleet.applyListing(entry.id, listing, Start, Start);
    EXPECT_NE(fleet.entryOf(entry.id), nullptr) << "no longer registered, but its ends are not all known";
    fleet.updateWorker(entry, Start);
    listing.isTruncated = false;
    fleet.applyListing(entry.id, listing, Start + 1s, Start + 1s);
    EXPECT_EQ(fleet.plan(Start + 1s, Wall).starts.size(), 1U);
}

// Guards against a takeover that does not wait for a worker with an end that was never stored: the
// worker had left the platform's list, and with it the roster, once its last run had ended.
TEST(Fleet, AWorkerStaysOnTheRosterUntilItsEndsAreStored)
{
    ReadyFleet ready(1);
    auto &fleet = ready.fleet;
    const WorkerId id("w0");
    ready.submit(7, plainStep(), Start);
    const auto orders = fleet.plan(Start + 1ms, Wall);
    ASSERT_EQ(orders.starts.size(), 1U);
    fleet.applyStartReply(orders.starts.front(), ports::StartResult::Accepted, Start + 2ms);
    fleet.removeWorker(id, Start + 100ms);
    ports::WorkerListing listing;
    listing.ended.push_back({1, orders.starts.front().task, orders.starts.front().run, jobs::RunEnd::Done, {}});
    ready.list(id, listing, Start + 1s);
    fleet.plan(Start + 2s, Wall);
    fleet.removeWorker(id, Start + 2s);
    EXPECT_EQ(fleet.takeRoster().size(), 1U);
    fleet.acknowledge(fleet.endCursors()); // stored
    fleet.plan(Start + 3s, Wall);
    EXPECT_TRUE(fleet.takeRoster().empty());
}

// Guards against a takeover that waits for a worker on which nothing could run any more.
TEST(Fleet, ADrainedWorkerLeavesTheRoster)
{
    ReadyFleet ready(1);
    auto &fleet = ready.fleet;
    auto entry = *fleet.entryOf(WorkerId("w0"));
    ready.submit(7, plainStep(), Start);
    const auto orders = fleet.plan(Start + 1ms, Wall);
    ASSERT_EQ(orders.starts.size(), 1U);
    fleet.applyStartReply(orders.starts.front(), ports::StartResult::Accepted, Start + 2ms);
    fleet.consumeRosterChanged();
    entry.isDraining = true;
    entry.remaining = 5s;
    fleet.updateWorker(entry, Start + 3ms);
    fleet.plan(Start + 4ms, Wall);
    EXPECT_EQ(fleet.takeRoster().size(), 1U) << "a run is active";
    ports::WorkerListing listing;
    listing.ended.push_back({1, orders.starts.front().task, orders.starts.front().run, jobs::RunEnd::Done, {}});
    ready.list(entry.id, listing, Start + 1s);
    fleet.plan(Start + 1s, Wall);
    EXPECT_EQ(fleet.takeRoster().size(), 1U) << "its end is not stored";
    fleet.acknowledge(fleet.endCursors());
    fleet.plan(Start + 2s, Wall);
    EXPECT_TRUE(fleet.consumeRosterChanged());
    EXPECT_TRUE(fleet.takeRoster().empty());
    fleet.plan(Start + 3s, Wall);
    EXPECT_FALSE(fleet.consumeRosterChanged()) << "the roster would be written again and again";
}

// Guards against a start on a worker that the stored roster does not list: a worker may stop
// draining while a roster without it is being stored.
TEST(Fleet, AWorkerThatNoLongerDrainsTakesWorkOnceTheRosterListsIt)
{
    ReadyFleet ready(1);
    auto &fleet = ready.fleet;
    auto entry = *fleet.entryOf(WorkerId("w0"));
    entry.isDraining = true;
    fleet.updateWorker(entry, Start);
    const auto without = fleet.takeRoster();
    EXPECT_TRUE(without.empty());
    fleet.consumeRosterChanged();
    entry.isDraining = false;
    fleet.updateWorker(entry, Start + 1ms);
    ready.submit(7, plainStep(), Start + 1ms);
    EXPECT_TRUE(fleet.plan(Start + 2ms, Wall).starts.empty());
    fleet.markRosterStored(without);
    EXPECT_TRUE(fleet.consumeRosterChanged());
    const auto with = fleet.takeRoster();
    EXPECT_EQ(with.size(), 1U);
    EXPECT_TRUE(fleet.plan(Start + 3ms, Wall).starts.empty());
    fleet.markRosterStored(with);
    EXPECT_EQ(fleet.plan(Start + 4ms, Wall).starts.size(), 1U);
}

// Guards against taking the former leader's leases as over on a worker whose lease this leader
// renews, and whose list of ends is cut.
TEST(Fleet, AWorkerThatAnswersWithCutListsIsWaitedFor)
{
    TakeoverFleet takeover;
    auto &fleet = takeover.fleet;
    const auto &entry = takeover.entry;
    ports::WorkerListing listing;
    listing.startTimeMs = 1;
    listing.isTruncated = true;
    for (auto now = Start; now < Start + 8s; now += 100ms) {
        listing.clock = toMilliseconds(now - Start) + 1000;
        fleet.noteTermRenewed(now, now + 12s);
        fleet.leaseOrder(entry.id, now);
        fleet.applyListing(entry.id, listing, now, now);
        ASSERT_TRUE(fleet.plan(now, Wall).starts.empty()) << toMilliseconds(now - Start) << " ms";
    }
}

} // namespace monsoonspool::execution
