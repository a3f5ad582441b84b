#include "execution/fleet.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <optional>
#include <set>
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

    void setCapacity(const WorkerId &id, const Resources &capacity, TimePoint now)
    {
        auto entry = *fleet.entryOf(id);
        entry.capacity = capacity;
        fleet.updateWorker(entry, now);
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
    fleet.consumeChangedSections();

    ready.submit(9, plainStep(), Start + 20ms);
    EXPECT_TRUE(fleet.plan(Start + 20ms, Wall).starts.empty());
    EXPECT_EQ(fleet.find({9})->state(), jobs::JobState::Completed);
    EXPECT_EQ(fleet.consumeChangedSections(), (std::vector<jobs::ProgressSection>{{{9}, 0}}));
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

namespace {

// What has become of the order of a run when the capacity of its worker changes.
struct HeldRun
{
    const char *name;
    std::function<void(ReadyFleet &, const StartTask &)> outcome;
};

std::vector<HeldRun> heldRuns()
{
    const auto accept = [](ReadyFleet &ready, const StartTask &order) {
        ready.fleet.applyStartReply(order, ports::StartResult::Accepted, Start + 1ms);
    };
    return {
        {"its order is under way", [](ReadyFleet &, const StartTask &) {}},
        {"its order got no answer",
         [](ReadyFleet &ready, const StartTask &order) { ready.fleet.applyStartFailure(order, true, Start + 1ms); }},
        {"it runs", accept},
        {"its stop is under way",
         [accept](ReadyFleet &ready, const StartTask &order) {
             accept(ready, order);
             ready.fleet.cancel(order.task.job);
             EXPECT_EQ(ready.fleet.plan(Start + 2ms, Wall).stops.size(), 1U);
         }},
        {"its stop is confirmed, and its end not listed", [accept](ReadyFleet &ready, const StartTask &order) {
             accept(ready, order);
             ready.fleet.cancel(order.task.job);
             const auto orders = ready.fleet.plan(Start + 2ms, Wall);
             ASSERT_EQ(orders.stops.size(), 1U);
             ready.fleet.confirmStop(orders.stops.front(), Start + 3ms);
         }}};
}

} // namespace

// A worker of 32 cores, 64000 MiB and 4 accelerators holds a run of 16 cores, 4000 MiB and
// 2 accelerators. Whatever has become of its order, it counts, and no change of the capacity
// stops it.
TEST(Fleet, StartsNothingOverACapacityThatHasShrunk)
{
    constexpr Resources full{32000, 64000, 4};
    constexpr Resources held{16000, 4000, 2};
    const auto stepOf = [](const Resources &needs, int count, bool usesLeftover) {
        auto step = plainStep();
        step.needs = needs;
        step.count = count;
        step.isGang = count > 1;
        step.usesLeftover = usesLeftover;
        return step;
    };
    struct Case
    {
        const char *name;
        Resources capacity;
        jobs::StepSpec step;
        std::size_t starts;
    };
    const std::vector<Case> cases
        = {{"unchanged", full, stepOf({16000, 1000, 0}, 1, false), 1},
           {"cores for one task", {18000, 64000, 4}, stepOf({2000, 1000, 0}, 1, false), 1},
           {"one milli-core less", {17999, 64000, 4}, stepOf({2000, 1000, 0}, 1, false), 0},
           {"fewer cores than are held", {8000, 64000, 4}, stepOf({1, 1, 0}, 1, false), 0},
           {"the same, leftover work", {8000, 64000, 4}, stepOf({1, 1, 0}, 1, true), 0},
           {"less memory than is held", {32000, 3000, 4}, stepOf({1, 1, 0}, 1, false), 0},
           {"the same, leftover work", {32000, 3000, 4}, stepOf({1, 1, 0}, 1, true), 0},
           {"fewer accelerators than are held", {32000, 64000, 1}, stepOf({1, 1, 1}, 1, false), 0},
           {"cores for two of three members of a gang", {20000, 64000, 4}, stepOf({2000, 1, 0}, 3, false), 0},
           {"cores for a gang", {22000, 64000, 4}, stepOf({2000, 1, 0}, 3, false), 3},
           {"memory for two of three members", {32000, 6000, 4}, stepOf({1, 1000, 0}, 3, true), 0}};
    for (const auto &it : cases) {
        for (const auto &run : heldRuns()) {
            SCOPED_TRACE(std::string(it.name) + "; " + run.name);
            const WorkerId id("w0");
            ReadyFleet ready(1);
            ready.setCapacity(id, full, Start);
            ready.submit(1, stepOf(held, 1, false), Start);
            const auto orders = ready.fleet.plan(Start, Wall);
            ASSERT_EQ(orders.starts.size(), 1U);
            run.outcome(ready, orders.starts.front());
            ready.setCapacity(id, it.capacity, Start + 10ms);
            ready.submit(2, it.step, Start + 10ms);
            const auto shrunk = ready.fleet.plan(Start + 10ms, Wall);
            EXPECT_EQ(shrunk.starts.size(), it.starts);
            EXPECT_TRUE(shrunk.stops.empty());
            ready.setCapacity(id, full, Start + 20ms);
            const auto grown = ready.fleet.plan(Start + 20ms, Wall);
            EXPECT_EQ(shrunk.starts.size() + grown.starts.size(), static_cast<std::size_t>(it.step.count));
            EXPECT_TRUE(grown.stops.empty());
        }
    }
}

// The needs of a run whose job is unknown are unknown as well. What is free when it is first listed
// is no bound of them where the capacity changes: starts brought such workers over it.
TEST(Fleet, StartsNothingBesideARunOfUnknownNeeds)
{
    struct Case
    {
        const char *name;
        bool holdsKnownRun; // of 16 cores, which ends
        Resources whenListed;
        Resources later;
    };
    constexpr Resources full{32000, 64000, 0};
    const WorkerId id("w0");
    for (const auto &it :
         {Case{"unchanged", false, full, full}, Case{"shrunk, then grown again", false, {4000, 64000, 0}, full},
          Case{"shrunk to less than the known run", true, {10000, 64000, 0}, {10000, 64000, 0}},
          Case{"the same, then grown again", true, {10000, 64000, 0}, full}}) {
        SCOPED_TRACE(it.name);
        ReadyFleet ready(1);
        auto &fleet = ready.fleet;
        ports::WorkerListing listing;
        if (it.holdsKnownRun) {
            auto known = plainStep();
            known.needs = {16000, 1000, 0};
            ready.submit(1, known, Start);
            const auto orders = fleet.plan(Start, Wall);
            ASSERT_EQ(orders.starts.size(), 1U);
            fleet.applyStartReply(orders.starts.front(), ports::StartResult::Accepted, Start + 1ms);
            listing.ended.push_back({1, orders.starts.front().task, orders.starts.front().run, jobs::RunEnd::Done, {}});
        }
        ready.setCapacity(id, it.whenListed, Start + 10ms);
        ports::WorkerListing first;
        const ports::ListedRun unknown{{{99}, 0, 0, 0}, 1, {}, 50, 0};
        first.running.push_back(unknown);
        if (it.holdsKnownRun) {
            first.running.push_back({listing.ended.front().task, listing.ended.front().run, {}, 50, 0});
        }
        ready.list(id, first, Start + 20ms);
        listing.running.push_back(unknown);
        ready.list(id, listing, Start + 30ms);
        ready.setCapacity(id, it.later, Start + 40ms);
        ready.submit(2, plainStep(), Start + 40ms);
        EXPECT_TRUE(fleet.plan(Start + 40ms, Wall).starts.empty());
        listing.running.clear();
        listing.ended.push_back({2, unknown.task, unknown.run, jobs::RunEnd::Stopped, {}});
        ready.list(id, listing, Start + 50ms);
        EXPECT_EQ(fleet.plan(Start + 50ms, Wall).starts.size(), 1U);
    }
}

// The capacity in the roster, from which a new leader begins, may be older than the one in the
// entry of the process before the present one.
TEST(Fleet, StartsNothingByTheCapacityOfTheRoster)
{
    EventLog log;
    Fleet fleet{log};
    ports::WorkerEntry entry;
    entry.id = WorkerId("w0");
    entry.service = Service;
    entry.capacity = {32000, 64000, 0};
    entry.startTimeMs = 1;
    fleet.beginTerm({2}, 10, std::vector{RosterEntry{entry, {}}}, Start + 7s, Start);
    AcceptedJob job;
    job.key = {7};
    job.policy.service = Service;
    job.policy.maxAttempts = 3;
    job.spec.steps.push_back(plainStep());
    job.spec.steps.front().count = 2;
    job.version = 7;
    fleet.addJob(std::move(job), Start, Wall);
    ports::WorkerListing listing;
    listing.startTimeMs = 5; // restarted, and has not written its entry yet
    listing.clock = 1000;
    listing.running.push_back({{{7}, 0, 0, 0}, 1, {}, 50, 0});
    fleet.applyListing(entry.id, listing, Start, Start);
    entry.capacity.milliCores = 2 * TaskSize.milliCores - 1; // room for one of the two tasks
    fleet.updateWorker(entry, Start + 10ms);
    EXPECT_TRUE(fleet.plan(Start + 10ms, Wall).starts.empty());
    entry.startTimeMs = 5;
    entry.capacity.milliCores = 2 * TaskSize.milliCores;
    fleet.updateWorker(entry, Start + 20ms);
    EXPECT_EQ(fleet.plan(Start + 20ms, Wall).starts.size(), 1U);
}

// While a worker of the former leader's roster has not answered, logs and counts tell which jobs wait
// for it and for how long at most.
TEST(Fleet, TellsWhatATakeoverWaitsFor)
{
    TakeoverFleet takeover;
    takeover.fleet.plan(Start + 1s, Wall);
    EXPECT_FALSE(takeover.log.contains("takeover-waits"));
    takeover.fleet.plan(Start + 2s, Wall);
    EXPECT_TRUE(takeover.log.contains("takeover-waits"));
    EXPECT_TRUE(takeover.log.contains("takeover-waits-for-worker"));
    EXPECT_TRUE(takeover.log.contains("takeover-holds-job"));
    EXPECT_EQ(takeover.fleet.fullCounts().unreportedWorkers, 1U);
    EXPECT_EQ(takeover.fleet.fullCounts().heldBackJobs, 1U);
    EXPECT_EQ(takeover.fleet.fullCounts().heldBackLastingJobs, 0U);
    EXPECT_GT(takeover.fleet.takeoverWait(Start + 2s), Duration(0));
    ports::WorkerListing listing;
    listing.startTimeMs = 1;
    listing.clock = 1000;
    takeover.fleet.applyListing(takeover.entry.id, listing, Start + 3s, Start + 3s);
    takeover.log.events.clear();
    takeover.fleet.plan(Start + 4s, Wall);
    EXPECT_FALSE(takeover.log.contains("takeover-waits"));
    EXPECT_EQ(takeover.fleet.fullCounts().unreportedWorkers, 0U);
    EXPECT_EQ(takeover.fleet.fullCounts().heldBackJobs, 0U);
    EXPECT_EQ(takeover.fleet.takeoverWait(Start + 4s), Duration(0));
}

// What the support of a leader rests on: an answer counts from when the request was sent, as the worker may have
// accepted a successor's fence right after it has answered.
TEST(Fleet, TellsWhatItsWitnessesHaveAnswered)
{
    TakeoverFleet takeover;
    auto &fleet = takeover.fleet;
    const membership::Witness witness{takeover.entry.id, 1};
    EXPECT_TRUE(fleet.witnessAnswers(std::span(&witness, 1)).empty());
    EXPECT_TRUE(fleet.witnessCandidates().empty()) << "it has not answered this leader";
    fleet.updateWorker(takeover.entry, Start);
    ports::WorkerListing listing;
    listing.startTimeMs = 1;
    listing.clock = 1000;
    fleet.applyListing(takeover.entry.id, listing, Start + 1s, Start + 2s);
    const auto answers = fleet.witnessAnswers(std::span(&witness, 1));
    ASSERT_EQ(answers.size(), 1U);
    EXPECT_EQ(answers.begin()->second.startTimeMs, 1);
    EXPECT_EQ(answers.begin()->second.requestSentAt, Start + 1s);
    ASSERT_EQ(fleet.witnessCandidates().size(), 1U);
    EXPECT_EQ(fleet.witnessCandidates().front().process, witness);

    fleet.setWitnesses(std::span(&witness, 1));
    fleet.noteTermRenewed(Start, Start + 6s);
    const auto wait = fleet.leaseOrder(witness.worker, Start + membership::SupportNeededAfter).wait;
    EXPECT_LT(fleet.leaseOrder(witness.worker, Start + membership::SupportNeededAfter + 1ms).wait, wait)
        << "while the leadership cannot be renewed, the support must be known at short intervals";

    fleet.markSilent(witness.worker, Start + 3s);
    EXPECT_TRUE(fleet.witnessCandidates().empty());
    EXPECT_EQ(fleet.witnessAnswers(std::span(&witness, 1)).size(), 1U) << "it has accepted the fence";
}

// Guards against idle workers: a gang that no longer fits kept all work of its members' size from
// being placed.
TEST(Fleet, AGangThatDoesNotFitDoesNotBlockOtherWork)
{
    ReadyFleet ready(2);
    for (const char *id : {"w0", "w1"}) {
        ready.setCapacity(WorkerId(id), {8000, 64000, 0}, Start);
    }
    auto gang = plainStep();
    gang.isGang = true;
    gang.count = 9; // there is room for 8
    ready.submit(1, gang, Start);
    ready.submit(2, plainStep(), Start); // ranks after the gang
    const auto orders = ready.fleet.plan(Start, Wall);
    ASSERT_EQ(orders.starts.size(), 1U);
    EXPECT_EQ(orders.starts.front().task.job.value, 2U);
}

// A gang that would fit if less ran keeps such work waiting, so that it gets its turn.
TEST(Fleet, AGangThatFitsIdleWorkersKeepsOtherWorkWaiting)
{
    ReadyFleet ready(1);
    auto half = plainStep();
    half.needs = {16000, 1000, 0};
    ready.submit(1, half, Start);
    const auto first = ready.fleet.plan(Start, Wall);
    ASSERT_EQ(first.starts.size(), 1U);
    ready.fleet.applyStartReply(first.starts.front(), ports::StartResult::Accepted, Start);
    auto gang = half;
    gang.isGang = true;
    gang.count = 2;
    ready.submit(2, gang, Start);
    ready.submit(3, half, Start); // ranks after the gang
    EXPECT_TRUE(ready.fleet.plan(Start, Wall).starts.empty());
}

// Guards against tasks that stand still since workers reject their orders in turn.
TEST(Fleet, ATaskWhoseOrderIsRejectedIsOrderedElsewhereAtOnce)
{
    constexpr int workerCount = 6;
    for (const auto answer : {ports::StartResult::Unhealthy, ports::StartResult::InsufficientCapacity,
                              ports::StartResult::InvalidTicket, ports::StartResult::Invalid}) {
        SCOPED_TRACE(static_cast<int>(answer));
        ReadyFleet ready(workerCount);
        ready.submit(1, plainStep(), Start);
        auto now = Start;
        std::set<std::string> rejecting;
        for (int n = 0; n < workerCount; ++n) {
            const auto orders = ready.fleet.plan(now, Wall);
            ASSERT_EQ(orders.starts.size(), 1U) << "after " << n;
            EXPECT_TRUE(rejecting.insert(orders.starts.front().worker.text()).second) << "ordered there again";
            now += 1ms;
            ready.fleet.applyStartReply(orders.starts.front(), answer, now);
        }
        EXPECT_TRUE(ready.fleet.plan(now, Wall).starts.empty());
        now += 600ms;
        EXPECT_EQ(ready.fleet.plan(now, Wall).starts.size(), 1U) << "all are asked again";
    }
}

// Guards against a model of interference that is spoilt for minutes: the cores that leftover work
// used before its worker shrank counted as many times the worker's cores.
TEST(Fleet, MeasurementsFromBeforeAWorkerShrankAreNotLearnedFrom)
{
    for (const std::int64_t shrunk : {4000, 1000, 1}) {
        SCOPED_TRACE(shrunk);
        const WorkerId id("w0");
        ReadyFleet ready(1);
        auto serving = plainStep();
        serving.image = "serving";
        serving.needs = {16000, 100, 0};
        serving.isLasting = true;
        serving.tailTarget = 18ms;
        auto heavy = plainStep();
        heavy.image = "heavy";
        heavy.needs = {8000, 100, 0};
        heavy.usesLeftover = true;
        ready.submit(1, serving, Start);
        ready.submit(2, heavy, Start);
        const auto orders = ready.fleet.plan(Start, Wall);
        ASSERT_EQ(orders.starts.size(), 2U);
        ports::WorkerListing listing;
        for (const auto &it : orders.starts) {
            ready.fleet.applyStartReply(it, ports::StartResult::Accepted, Start);
            listing.running.push_back({it.task, it.run, {}, it.task.job.value == 1 ? 100 : 50, 0});
        }
        auto now = Start;
        // The tail latency is high while the heavy work uses its cores.
        const auto measure = [&](int count, std::int64_t heavyMilliCores, std::int64_t tailMs) {
            for (int n = 0; n < count; ++n) {
                now += 600ms;
                for (auto &it : listing.running) {
                    it.level = it.task.job.value == 1 ? tailMs : heavyMilliCores;
                }
                ready.list(id, listing, now);
            }
        };
        const auto sensitivity = [&] {
            const auto learned = ready.fleet.learnedInterference();
            return learned.empty() || learned.front().sensitivities.empty()
                ? 0
                : learned.front().sensitivities.front().value;
        };
        measure(40, 0, 7);
        measure(40, 8000, 30);
        const double before = sensitivity();
        ASSERT_GT(before, 0.1);
        ready.setCapacity(id, {shrunk, 64000, 0}, now);
        measure(2, 8000, 30);
        ready.setCapacity(id, {32000, 64000, 0}, now);
        measure(4, 8000, 30);
        EXPECT_NEAR(sensitivity(), before, before / 10);
    }
}

namespace {

// A fleet with a task that runs on a worker, of which it expects two more seconds.
class DrainingFleet : public ReadyFleet
{
public:
    explicit DrainingFleet(bool hasCheckpoints) : ReadyFleet(2)
    {
        auto step = plainStep();
        step.estimate = 2s;
        step.hasCheckpoints = hasCheckpoints;
        submit(7, step, Start);
        order = fleet.plan(Start, Wall).starts.at(0);
        entry = *fleet.entryOf(order.worker);
    }
    void accept(TimePoint now)
    {
        fleet.applyStartReply(order, ports::StartResult::Accepted, now);
    }
    void update(bool isDraining, Duration remaining, TimePoint now)
    {
        entry.isDraining = isDraining;
        entry.remaining = remaining;
        fleet.updateWorker(entry, now);
    }
    // The worker lists the task as running.
    void listRun(int percent, TimePoint now)
    {
        ports::WorkerListing listing;
        listing.running.push_back({order.task, order.run, {}, percent, 0});
        list(order.worker, listing, now);
    }

    StartTask order;
    ports::WorkerEntry entry;
};

} // namespace

// Guards against comparing a task with the time that was left when the entry was written.
TEST(Fleet, ATaskIsMovedOnceItCannotEndBeforeTheDeparture)
{
    struct Case
    {
        const char *name;
        std::function<void(DrainingFleet &)> after; // the announcement of 3 s at Start
        bool isMoved; // at Start + 1 s
    };
    for (const auto &it :
         {Case{"no other entry", [](DrainingFleet &) {}, true},
          Case{"the same entry again", [](DrainingFleet &f) { f.update(true, 3s, Start + 900ms); }, true},
          Case{"a later entry, received late", [](DrainingFleet &f) { f.update(true, 2700ms, Start + 900ms); }, true},
          Case{"stays longer", [](DrainingFleet &f) { f.update(true, 5s, Start + 900ms); }, false},
          Case{"withdrawn", [](DrainingFleet &f) { f.update(false, 0s, Start + 900ms); }, false},
          Case{"withdrawn and announced again",
               [](DrainingFleet &f) {
                   f.update(false, 0s, Start + 800ms);
                   f.update(true, 3s, Start + 900ms);
               },
               false},
          Case{"announced by a process that has not answered",
               [](DrainingFleet &f) {
                   f.entry.startTimeMs = 2;
                   f.update(true, 0s, Start + 900ms);
               },
               false},
          Case{"announced by a former process",
               [](DrainingFleet &f) {
                   f.update(false, 0s, Start + 700ms);
                   f.fleet.markSilent(f.entry.id, Start + 800ms);
                   f.entry.startTimeMs = 0;
                   f.update(true, 0s, Start + 900ms);
               },
               false}}) {
        SCOPED_TRACE(it.name);
        DrainingFleet draining(true);
        draining.accept(Start);
        draining.update(true, 3s, Start);
        draining.listRun(0, Start + 1ms);
        EXPECT_TRUE(draining.fleet.plan(Start + 1ms, Wall).stops.empty());
        it.after(draining);
        draining.listRun(0, Start + 1s);
        EXPECT_EQ(draining.fleet.plan(Start + 1s, Wall).stops.size(), it.isMoved ? 1U : 0U);
    }
}

// Guards against leaving runs on a draining worker because their start was not yet confirmed.
TEST(Fleet, RunsThatAreNotConfirmedLeaveADrainingWorkerToo)
{
    struct Case
    {
        const char *name;
        std::function<void(DrainingFleet &)> outcome;
    };
    for (const auto &it :
         {Case{"ordered", [](DrainingFleet &) {}},
          Case{"unanswered", [](DrainingFleet &f) { f.fleet.applyStartFailure(f.order, true, Start + 1ms); }},
          Case{"accepted", [](DrainingFleet &f) { f.accept(Start + 1ms); }},
          Case{"listed", [](DrainingFleet &f) { f.listRun(0, Start + 1ms); }}}) {
        SCOPED_TRACE(it.name);
        DrainingFleet draining(false);
        auto &fleet = draining.fleet;
        it.outcome(draining);
        draining.update(true, 1s, Start + 2ms);
        const auto stops = fleet.plan(Start + 2ms, Wall).stops;
        ASSERT_EQ(stops.size(), 1U);
        EXPECT_TRUE(fleet.plan(Start + 3ms, Wall).starts.empty()) << "it may still run";
        fleet.confirmStop(stops.front(), Start + 4ms);
        draining.list(draining.entry.id, {}, Start + 5ms);
        const auto starts = fleet.plan(Start + 5ms, Wall).starts;
        ASSERT_EQ(starts.size(), 1U);
        EXPECT_NE(starts.front().worker, draining.entry.id);
        fleet.applyStartReply(draining.order, ports::StartResult::Superseded, Start + 6ms);
        EXPECT_TRUE(fleet.plan(Start + 6ms, Wall).starts.empty()) << "the late answer ends nothing";
    }
}

// Guards against waiting for leases that were extended up to a worker's departure: what is lost
// with it starts elsewhere only after them.
TEST(Fleet, TheLeasesOfADrainingWorkerEndSoonAfterItsDeparture)
{
    // A former leader's lease, up to 6 s from the first contact, has ended by then.
    constexpr TimePoint announcedAt = Start + 10s;
    struct Case
    {
        const char *name;
        bool isDraining;
        Duration remaining; // announced at announcedAt
        Duration renewedAfter;
        Duration lease;
    };
    for (const auto &it :
         {Case{"not draining", false, 0s, 1s, 6s}, Case{"leaves much later", true, 20s, 1s, 6s},
          Case{"leaves soon", true, 6s, 1s, 5s}, Case{"leaves before the next renewals", true, 2s, 1s, 3s},
          Case{"stays longer than announced", true, 2s, 4s, 3s}}) {
        SCOPED_TRACE(it.name);
        DrainingFleet draining(false);
        auto &fleet = draining.fleet;
        const auto &id = draining.entry.id;
        draining.accept(Start);
        draining.update(it.isDraining, it.remaining, announcedAt);
        const auto now = announcedAt + it.renewedAfter;
        draining.listRun(10, now);
        const auto order = fleet.leaseOrder(id, now);
        EXPECT_EQ(order.deadline, 1000 + toMilliseconds(now - Start + it.lease));
        // The next renewal may fail, up to 1 s after its wait, and be repeated before the lease ends.
        EXPECT_TRUE(!it.isDraining || 2 * (order.wait + 1s) <= it.lease);
        fleet.markSilent(id, now + 100ms);
        EXPECT_TRUE(fleet.plan(now + it.lease, Wall).starts.empty()) << "it may still run";
        const auto starts = fleet.plan(now + it.lease * 102 / 100 + 100ms, Wall).starts;
        ASSERT_EQ(starts.size(), 1U);
        EXPECT_NE(starts.front().worker, id);
    }
}

// A shorter lease does not shorten the one that was granted before the announcement.
TEST(Fleet, TheLeaseBeforeTheAnnouncementIsWaitedFor)
{
    DrainingFleet draining(false);
    auto &fleet = draining.fleet;
    draining.accept(Start);
    fleet.leaseOrder(draining.entry.id, Start);
    draining.update(true, 500ms, Start + 1ms);
    fleet.leaseOrder(draining.entry.id, Start + 1ms);
    fleet.markSilent(draining.entry.id, Start + 500ms);
    EXPECT_TRUE(fleet.plan(Start + 6s, Wall).starts.empty());
    EXPECT_EQ(fleet.plan(Start + 6300ms, Wall).starts.size(), 1U);
}

// A worker that withdraws its announcement gets tasks and whole leases as before.
TEST(Fleet, AWorkerThatNoLongerDrainsIsUsedAsBefore)
{
    DrainingFleet draining(false);
    auto &fleet = draining.fleet;
    const auto &id = draining.entry.id;
    draining.accept(Start);
    draining.update(true, 10s, Start);
    draining.listRun(10, Start + 1s);
    draining.update(false, 0s, Start + 1s);
    EXPECT_EQ(fleet.leaseOrder(id, Start + 1s).deadline, 1000 + 1000 + 6000);
    EXPECT_TRUE(fleet.plan(Start + 1s, Wall).stops.empty());
    auto step = plainStep();
    step.count = 2;
    step.maxPerWorker = 1;
    draining.submit(8, step, Start + 1s);
    EXPECT_EQ(fleet.plan(Start + 1s, Wall).starts.size(), 2U) << "one on each worker";
}

// Guards against starts on workers that have announced, more than 2.5 s before, that they leave,
// by a leader that reads their entries late or not at all while the store answers its other calls.
TEST(Fleet, StartsTasksOnlyByEntriesThatWereReadRecently)
{
    struct Case
    {
        const char *name;
        Duration readAgo;
        Duration renewedAgo;
        std::optional<Duration> delayedAgo;
        std::size_t starts;
        bool isDeadlineBounded;
    };
    for (const auto &it :
         {Case{"read just now", 0s, 0s, std::nullopt, 1, false},
          Case{"read in time", 1500ms, 0s, std::nullopt, 1, true},
          Case{"read too long ago", 2500ms, 0s, std::nullopt, 0, true},
          Case{"the store is silent", 6s, 5500ms, std::nullopt, 1, false},
          Case{"this host is late", 6s, 5500ms, 1s, 0, true}, Case{"this host was late", 6s, 5500ms, 4s, 1, false},
          Case{"late, and read in time", 1500ms, 1500ms, 1s, 1, true}}) {
        SCOPED_TRACE(it.name);
        ReadyFleet f(1);
        const auto now = Start + 10s;
        f.list(WorkerId("w0"), {}, now);
        f.fleet.noteWorkersRead(now - it.readAgo);
        f.fleet.noteTermRenewed(now - it.renewedAgo, now + 12s);
        if (it.delayedAgo) {
            f.fleet.noteDelayed(now - *it.delayedAgo);
        }
        f.submit(7, plainStep(), now);
        const auto orders = f.fleet.plan(now, Wall);
        ASSERT_EQ(orders.starts.size(), it.starts);
        if (it.starts > 0 && it.isDeadlineBounded) {
            const auto lastStart = toMilliseconds(now - it.readAgo + 2500ms - Start) + 1000;
            EXPECT_LE(orders.starts.front().deadline, lastStart);
        }
        EXPECT_EQ(f.log.contains("starts-suspended"), it.starts == 0);
    }
}

// The same for cancellations, which the platform allows 3 s.
TEST(Fleet, StartsTasksOnlyIfCancellationsWereReadRecently)
{
    struct Case
    {
        const char *name;
        Duration jobsReadAgo;
        Duration renewedAgo;
        std::size_t starts;
        bool isDeadlineBounded;
    };
    for (const auto &it :
         {Case{"read just now", 0s, 0s, 1, false}, Case{"read in time", 2s, 0s, 1, true},
          Case{"read too long ago", 2900ms, 0s, 0, true}, Case{"the store is silent", 6s, 5500ms, 1, false}}) {
        SCOPED_TRACE(it.name);
        ReadyFleet f(1);
        const auto now = Start + 10s;
        f.list(WorkerId("w0"), {}, now);
        f.fleet.noteWorkersRead(now - std::min<Duration>(it.jobsReadAgo, it.renewedAgo));
        f.fleet.noteJobsRead(now - it.jobsReadAgo);
        f.fleet.noteTermRenewed(now - it.renewedAgo, now + 12s);
        f.submit(7, plainStep(), now);
        const auto orders = f.fleet.plan(now, Wall);
        ASSERT_EQ(orders.starts.size(), it.starts);
        if (it.starts > 0 && it.isDeadlineBounded) {
            const auto lastStart = toMilliseconds(now - it.jobsReadAgo + 3s - Start) + 1000;
            EXPECT_LE(orders.starts.front().deadline, lastStart);
        }
        EXPECT_EQ(f.log.contains("starts-suspended"), it.starts == 0);
    }
}

// A worker that had announced that it leaves started a task: while the poll that would tell is not
// answered, orders were valid for longer than the entries, until a later renewal was answered.
TEST(Fleet, StartOrdersExpireWithTheEntriesUnlessTheStoreIsKnownToBeSilent)
{
    struct Case
    {
        const char *name;
        Duration readAgo;
        Duration renewedAgo;
        std::size_t starts;
    };
    for (const auto &it :
         {Case{"the last poll was answered", 700ms, 400ms, 1}, Case{"its answer is overdue", 1900ms, 1000ms, 1},
          Case{"one renewal got no answer", 3s, 2100ms, 0}}) {
        SCOPED_TRACE(it.name);
        ReadyFleet f(1);
        const auto now = Start + 10s;
        f.list(WorkerId("w0"), {}, now);
        f.fleet.noteWorkersRead(now - it.readAgo);
        f.fleet.noteTermRenewed(now - it.renewedAgo, now + 12s);
        f.submit(7, plainStep(), now);
        const auto orders = f.fleet.plan(now, Wall);
        ASSERT_EQ(orders.starts.size(), it.starts);
        if (it.starts > 0) {
            const auto lastStart = toMilliseconds(now - it.readAgo + 2500ms - Start) + 1000;
            EXPECT_LE(orders.starts.front().deadline, lastStart);
        }
    }
}

} // namespace monsoonspool::execution
