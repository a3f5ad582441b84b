// Tasks that wait for the rack of their data. Each test replays a load on simulated workers, where a
// task takes three times as long off its rack unless it says otherwise.
#include "execution/rackfleet.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace monsoonspool::execution {

using namespace rackfleet;

// A short queue: tasks of some 0.6 to 1.4 s arrive for a rack that they keep busy to 90%, beside an idle
// rack. Guards against starts elsewhere that take three times as long as a wait of a moment.
TEST(DataLocality, AShortQueueWaitsAndGains)
{
    const auto play = [](RackFleet &racks) {
        constexpr int count = 200;
        for (std::uint64_t n = 0; n < count; ++n) {
            racks.submit(n, stepOn("a", 600ms + 100ms * (n * 5 % 9)));
            racks.plan();
            racks.pass(n % 2 == 0 ? 250ms : 300ms);
        }
        racks.pass(10s);
        EXPECT_EQ(racks.runs.size(), count);
        return racks.meanSeconds(20); // when ends have been seen
    };
    RackFleet waiting(Factor, 2, 1, 4);
    RackFleet starting(std::nullopt, 2, 1, 4);
    const double meanWaiting = play(waiting);
    const double meanStarting = play(starting);
    const auto counts = waiting.fleet.fullCounts();
    EXPECT_LT(meanWaiting, 0.95 * meanStarting);
    EXPECT_GT(counts.rackWaitsMet, 4 * counts.rackWaitsGivenUp);
    EXPECT_LT(2 * counts.remoteStarts, starting.fleet.fullCounts().remoteStarts);
    EXPECT_EQ(counts.rackWaits, counts.rackWaitsMet + counts.rackWaitsGivenUp);
    EXPECT_EQ(counts.rackWait.count(), counts.rackWaits);
    EXPECT_EQ(counts.tasksWaitingForRack, 0U);
}

// Contention: 20 jobs want the same full rack at once, and other racks have room for all. Guards
// against a queue that waits in vain: the rack serves 8 of them, for 4 s each, and
// all room that comes within 2 s is theirs.
TEST(DataLocality, ContentionForOneRackSpreads)
{
    RackFleet racks(Factor, 4, 1, 8);
    fillRackA(racks, 8, 10s);
    for (std::uint64_t n = 0; n < 20; ++n) {
        racks.submit(n, stepOn("a", 4s), 60s);
    }
    const auto elsewhere = withoutFiller(racks.plan());
    const auto waiting = racks.fleet.fullCounts().tasksWaitingForRack;
    EXPECT_EQ(elsewhere.size() + waiting, 20U);
    EXPECT_GE(waiting, 8U);
    EXPECT_LE(waiting, 10U);
    racks.pass(2s);
    int onRack = 0;
    for (std::uint64_t n = 0; n < 20; ++n) {
        ASSERT_NE(racks.runOf(n), nullptr) << n;
        onRack += racks.runOf(n)->rack == "a" ? 1 : 0;
    }
    EXPECT_EQ(onRack, 8);
}

// The same rack, kept full by more urgent work that can run only there. Guards against a wait for room that
// others take.
TEST(DataLocality, WorkAheadThatIsBoundToTheRackCounts)
{
    RackFleet racks(Factor, 2, 1, 8);
    fillRackA(racks, 8, 10s, 0);
    racks.submit(1, stepOn("a", 4s), 60s, 0s, 1);
    EXPECT_EQ(withoutFiller(racks.plan()), std::vector<std::uint64_t>{1});
    EXPECT_EQ(racks.rackOf(1), "b");
}

// Another service's workers on a rack, with many ends, beside a full one of this service with none. Guards
// against a wait for room that others have.
TEST(DataLocality, EachServiceHasItsOwnRoomOnARack)
{
    RackFleet racks(Factor, 2, 1, 4);
    racks.service = ServiceName("night");
    racks.addWorker("n0", "a", 4);
    racks.fleet.markRosterStored(racks.fleet.takeRoster());
    fillRackA(racks, 4, 10s);
    racks.service = Service;
    auto blocker = stepOn("a", 1h);
    blocker.count = 4;
    racks.submit(50, blocker);
    racks.plan();
    racks.submit(1, stepOn("a"));
    racks.plan();
    EXPECT_EQ(racks.rackOf(1), "b");
}

// A job on the verge of its objective. Guards against a wait that misses what a start elsewhere meets.
TEST(DataLocality, DoesNotWaitWhenTheDeadlineIsNear)
{
    RackFleet racks(Factor, 2, 1, 4);
    fillRackA(racks, 4, 10s);
    racks.submit(1, stepOn("a"), 2200ms); // done in 3 s elsewhere, 3.2 s after its submission in time
    EXPECT_EQ(withoutFiller(racks.plan()), std::vector<std::uint64_t>{1});
    EXPECT_EQ(racks.rackOf(1), "b");
    racks.submit(2, stepOn("a"), 10s);
    EXPECT_TRUE(withoutFiller(racks.plan()).empty());
    racks.pass(2s);
    EXPECT_EQ(racks.rackOf(2), "a");
    const auto *wait = racks.log.last("rack-wait");
    ASSERT_NE(wait, nullptr);
    EXPECT_EQ(wait->fields.at("rack"), "a");
    // Steps behind it need their time as well.
    racks.submit(3, stepOn("a"), 2200ms, 0s, 0, stepOn("", 5s));
    EXPECT_EQ(withoutFiller(racks.plan()), std::vector<std::uint64_t>{3});
    EXPECT_EQ(racks.rackOf(3), "b");
    ASSERT_NE(racks.log.last("rack-wait-over"), nullptr);
    EXPECT_EQ(racks.log.last("rack-wait-over")->fields.at("isOnRack"), "1");
}

// The load of a full rack and tasks that want it. Guards against a change of placement where the
// deployment did not ask for one.
TEST(DataLocality, NothingWaitsWithoutAFactorAboveOne)
{
    for (const auto factor : {std::optional<double>(), std::optional(1.0)}) {
        RackFleet racks(factor, 2, 1, 4);
        fillRackA(racks, 4, 10s);
        for (std::uint64_t n = 0; n < 4; ++n) {
            racks.submit(n, stepOn("a"));
        }
        EXPECT_EQ(withoutFiller(racks.plan()).size(), 4U);
        const auto counts = racks.fleet.fullCounts();
        EXPECT_EQ(counts.rackWaits, 0U);
        EXPECT_EQ(counts.remoteStarts, 4U);
    }
}

// A full rack, a task that waits for it, and work behind that without data. Guards against work that
// does not start beside free capacity, and against tasks without affinity that wait.
TEST(DataLocality, ATaskThatWaitsBlocksNoOtherWork)
{
    RackFleet racks(Factor, 2, 1, 4);
    fillRackA(racks, 4, 10s);
    racks.submit(1, stepOn("a"), 10s);
    racks.submit(2, stepOn("b"), 20s);
    racks.submit(3, stepOn(""), 30s);
    EXPECT_EQ(withoutFiller(racks.plan()), (std::vector<std::uint64_t>{2, 3}));
    EXPECT_EQ(racks.runOf(1), nullptr);
    EXPECT_EQ(racks.fleet.fullCounts().rackWaits, 1U);
}

// The rack's only worker falls silent while a task waits. Guards against a wait for a rack that cannot
// take the task.
TEST(DataLocality, AWaitEndsWithTheLastWorkerOfTheRack)
{
    RackFleet racks(Factor, 2, 1, 4);
    fillRackA(racks, 4, 10s);
    racks.submit(1, stepOn("a"));
    EXPECT_TRUE(withoutFiller(racks.plan()).empty());
    racks.silence(WorkerId("w0"));
    racks.now += 10ms;
    EXPECT_EQ(withoutFiller(racks.plan()), std::vector<std::uint64_t>{1});
    EXPECT_EQ(racks.rackOf(1), "b");
    const auto counts = racks.fleet.fullCounts();
    EXPECT_EQ(counts.rackWaitsGivenUp, 1U);
    EXPECT_EQ(counts.tasksWaitingForRack, 0U);
}

// The rack gives no more room from one moment to the next. Guards against tasks that the platform takes
// as lost.
TEST(DataLocality, AWaitEndsInTimeIfNoRoomComes)
{
    for (const bool isLasting : {false, true}) {
        RackFleet racks(Factor, 2, 1, 4);
        fillRackA(racks, 4, 10s);
        auto step = stepOn("a", 1min);
        step.isLasting = isLasting;
        racks.submit(1, step);
        const auto submittedAt = racks.now;
        EXPECT_TRUE(withoutFiller(racks.plan()).empty());
        racks.standStill(WorkerId("w0"));
        racks.pass(3s);
        ASSERT_NE(racks.runOf(1), nullptr) << isLasting;
        EXPECT_EQ(racks.rackOf(1), "b");
        EXPECT_LE(racks.runOf(1)->startedAt - submittedAt, isLasting ? 1s : 2s);
        EXPECT_GE(racks.runOf(1)->startedAt - submittedAt, isLasting ? 700ms : 1700ms);
    }
}

// A task that waited, and whose start on its rack was refused. Guards against waits one after another, and
// against a lasting task that is longer unavailable.
TEST(DataLocality, ATaskWhoseStartWasOrderedDoesNotWaitAgain)
{
    RackFleet racks(Factor, 2, 2, 4);
    fillRackA(racks, 8, 10s);
    racks.submit(1, stepOn("a", 10s), 60s);
    racks.refused.insert(1);
    racks.plan();
    EXPECT_EQ(racks.fleet.fullCounts().rackWaits, 1U);
    racks.pass(150ms);
    EXPECT_TRUE(racks.refused.empty());
    racks.now += 10ms;
    racks.plan();
    EXPECT_EQ(racks.rackOf(1), "b");
    EXPECT_EQ(racks.fleet.fullCounts().rackWaits, 1U);
}

// A leader that has seen the rack's ends takes over jobs that were accepted before its term. Guards
// against two waits of 2 s one after another.
TEST(DataLocality, AWaitAfterATakeoverIsBoundedFromTheAcceptance)
{
    RackFleet racks(Factor, 2, 1, 8);
    fillRackA(racks, 8, 500ms); // the term began 500 ms ago
    racks.submit(1, stepOn("a", 1min), 10min, 1200ms);
    racks.submit(2, stepOn("a", 1min), 10min, 1900ms);
    EXPECT_EQ(withoutFiller(racks.plan()), std::vector<std::uint64_t>{2});
    const auto *wait = racks.log.last("rack-wait");
    ASSERT_NE(wait, nullptr);
    EXPECT_EQ(wait->fields.at("longestWaitMs"), "800");
    // One of this term.
    racks.submit(3, stepOn("a", 1min), 10min, 200ms);
    racks.plan();
    EXPECT_EQ(racks.log.last("rack-wait")->fields.at("longestWaitMs"), "2000");
}

namespace {

jobs::StepSpec colocatedGang(int count)
{
    auto gang = stepOn("", 2s);
    gang.isGang = true;
    gang.isColocated = true;
    gang.count = count;
    return gang;
}

std::set<std::string> racksOf(const RackFleet &racks, std::uint64_t job)
{
    std::set<std::string> used;
    for (const auto &it : racks.runs) {
        if (it.job == job) {
            used.insert(it.rack);
        }
    }
    return used;
}

} // namespace

// A colocated gang of four. Rack b has three free slots for long, and rack a has one beside seven that become
// free one after another. Guards against a gang on two racks, which takes three times as long.
TEST(DataLocality, AGangWaitsForOneRack)
{
    for (const auto factor : {std::optional(Factor), std::optional<double>()}) {
        RackFleet racks(factor, 2, 1, 8);
        auto blocker = stepOn("", 1h);
        blocker.requiredLabel = "b";
        blocker.count = 5;
        racks.submit(50, blocker);
        racks.plan();
        for (std::uint64_t n = 0; n < 70; ++n) { // seven at a time
            racks.submit(100 + n, stepOn("a"), 10s);
            racks.plan();
            racks.pass(150ms);
        }
        racks.submit(1, colocatedGang(4), 10s);
        racks.plan();
        EXPECT_EQ(racks.runOf(1) == nullptr, factor.has_value());
        racks.pass(2s);
        EXPECT_EQ(racksOf(racks, 1).size(), factor ? 1U : 2U);
        EXPECT_EQ(std::ranges::count(racks.runs, 1U, &RunOfTask::job), 4);
        EXPECT_EQ(racks.fleet.fullCounts().rackWaitsMet, factor ? 1U : 0U);
    }
}

// A colocated gang of four and two racks, of which the one with the best fit for a member has room for
// two. Guards against a gang on two racks beside one that has room for all.
TEST(DataLocality, AGangStartsOnTheRackThatHasRoomForAll)
{
    RackFleet racks(Factor, 2, 1, 8);
    auto blocker = stepOn("", 1h);
    blocker.requiredLabel = "a";
    blocker.count = 6;
    racks.submit(50, blocker);
    racks.plan();
    racks.submit(1, colocatedGang(4));
    racks.plan();
    EXPECT_EQ(racksOf(racks, 1), std::set<std::string>{"b"});
    EXPECT_EQ(racks.fleet.fullCounts().rackWaits, 0U);
}

// A colocated gang of 12 that fits on no rack of 8 slots, even if nothing else runs. Guards against a wait in
// vain.
TEST(DataLocality, AGangThatFitsOnNoRackStartsAtOnce)
{
    RackFleet racks(Factor, 3, 1, 8);
    fillRackA(racks, 8, 10s);
    auto gang = colocatedGang(12);
    gang.estimate = 1s;
    racks.submit(1, gang);
    racks.plan();
    EXPECT_EQ(racksOf(racks, 1), (std::set<std::string>{"b", "c"}));
}

// A task that has just started off its rack, on a worker that announces that it leaves in 2.5 s. Guards against
// a run that is expected to end in time by its run time on the rack, and is lost with the worker.
TEST(DataLocality, ARunOffTheRackIsExpectedToTakeLonger)
{
    for (const bool isRemote : {true, false}) {
        RackFleet racks(Factor, 2, 1, 4);
        if (isRemote) {
            fillRackA(racks, 4, 10s);
        }
        auto step = stepOn("a");
        step.hasCheckpoints = true;
        racks.submit(1, step, 2200ms);
        racks.plan();
        ASSERT_EQ(racks.rackOf(1), isRemote ? "b" : "a");
        auto entry = *racks.fleet.entryOf(WorkerId(isRemote ? "w1" : "w0"));
        entry.isDraining = true;
        entry.remaining = 2500ms;
        racks.fleet.updateWorker(entry, racks.now);
        racks.plan();
        EXPECT_EQ(racks.log.last("run-drained") != nullptr, isRemote);
    }
}

// Runs of one kind that all ran off their rack. Guards against a factor that counts twice, as the tasks
// then seem to take three times as long on their rack as well.
TEST(DataLocality, RunTimesOffTheRackAreNotLearnedAsThoseOnIt)
{
    RackFleet racks(Factor, 2, 1, 40);
    fillRackA(racks, 40, 2s);
    racks.standStill(WorkerId("w0"));
    racks.pass(30s); // nothing waits for the rack any more
    for (std::uint64_t n = 0; n < 20; ++n) {
        racks.submit(n, stepOn("a"));
    }
    racks.plan();
    racks.pass(4s);
    ASSERT_EQ(racksOf(racks, 19), std::set<std::string>{"b"});
    racks.release(WorkerId("w0"));
    racks.pass(5s);
    racks.submit(30, stepOn("a"));
    racks.plan();
    const auto *wait = racks.log.last("rack-wait");
    ASSERT_NE(wait, nullptr);
    EXPECT_NEAR(std::stod(wait->fields.at("runMs")), 1000, 100);
}

} // namespace monsoonspool::execution
