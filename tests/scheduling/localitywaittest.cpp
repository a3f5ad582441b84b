// The decision to wait for a rack, and the estimate of when it has room.
#include "scheduling/localitywait.h"
#include "scheduling/rackroom.h"

#include <gtest/gtest.h>

#include <optional>

namespace monsoonspool::scheduling {

namespace {

constexpr TimePoint Now{1h};
constexpr Resources Slot{1000, 2000, 0};

LocalityQuestion question(Duration runTime, std::optional<Duration> expectedWait)
{
    LocalityQuestion made;
    made.runTime = runTime;
    made.expectedWait = expectedWait;
    made.waitsSince = Now;
    made.softDeadline = Now + 1h;
    made.hardDeadline = Now + 3h;
    return made;
}

// Records the end of a run each `interval` for `duration`, until Now.
RackRoom rackWithEnds(Duration interval, Duration duration)
{
    RackRoom room;
    room.reset(Now - duration);
    room.setCapacity("a", {100000, 200000, 0});
    for (auto at = Now - duration + interval; at <= Now; at += interval) {
        room.noteFreed("a", Slot, false, at);
    }
    return room;
}

} // namespace

// Guards against waits that cost more than they save.
TEST(WaitWhileItPays, WaitsIfTheWaitIsShorterThanTheRunTimeSaved)
{
    const WaitWhileItPays policy(3);
    EXPECT_TRUE(policy.decide(question(1s, 1900ms), Now).waits);
    EXPECT_FALSE(policy.decide(question(1s, 2000ms), Now).waits);
    EXPECT_FALSE(policy.decide(question(1s, std::nullopt), Now).waits);
    const WaitWhileItPays lowFactor(1.5);
    EXPECT_TRUE(lowFactor.decide(question(1s, 400ms), Now).waits);
    EXPECT_FALSE(lowFactor.decide(question(1s, 600ms), Now).waits);
    EXPECT_FALSE(WaitWhileItPays(1).decide(question(1h, 0ms), Now).waits);
}

// Guards against tasks that the platform takes as lost after 3 s, and against waits that cost more
// than a start elsewhere would have.
TEST(WaitWhileItPays, EndsAWaitInTime)
{
    const WaitWhileItPays policy(3);
    EXPECT_EQ(policy.decide(question(1min, 100ms), Now).until, Now + 2s);
    EXPECT_EQ(policy.decide(question(500ms, 100ms), Now).until, Now + 1s);
    EXPECT_TRUE(policy.decide(question(1min, 100ms), Now + 1800ms).waits);
    EXPECT_FALSE(policy.decide(question(1min, 100ms), Now + 1900ms).waits) << "the next plan would be too late";
    EXPECT_FALSE(policy.decide(question(1h, 2100ms), Now).waits) << "not served within the bound";
    auto lasting = question(0s, 900ms);
    lasting.isLasting = true;
    lasting.softDeadline = Now - 1h;
    EXPECT_TRUE(policy.decide(lasting, Now).waits);
    EXPECT_EQ(policy.decide(lasting, Now).until, Now + 1s);
    EXPECT_FALSE(policy.decide(lasting, Now + 900ms).waits);
}

// Guards against a job that misses an objective which it would have met on another rack.
TEST(WaitWhileItPays, LeavesTimeForAStartElsewhereThatMeetsTheObjective)
{
    const WaitWhileItPays policy(3);
    auto asked = question(1s, 500ms);
    asked.remainingAfter = 2s;
    asked.softDeadline = Now + 5400ms; // a start elsewhere meets it until 400 ms from now
    EXPECT_FALSE(policy.decide(asked, Now).waits);
    asked.softDeadline = Now + 5800ms;
    EXPECT_TRUE(policy.decide(asked, Now).waits);
    EXPECT_EQ(policy.decide(asked, Now).until, Now + 800ms);
    EXPECT_FALSE(policy.decide(asked, Now + 700ms).waits);
    asked.softDeadline = Now + 4900ms; // only a start on the rack meets it
    EXPECT_TRUE(policy.decide(asked, Now).waits);
    asked.hardDeadline = Now + 5100ms; // a start elsewhere meets this one until 100 ms from now
    EXPECT_FALSE(policy.decide(asked, Now).waits);
}

TEST(RackRoom, ExpectsRoomByTheRateOfEnds)
{
    const auto room = rackWithEnds(250ms, 30s);
    const auto wait = room.expectedWait("a", Slot, false, 1s, Now);
    ASSERT_TRUE(wait);
    EXPECT_NEAR(static_cast<double>(toMilliseconds(*wait)), 250, 15);
    // What is scarcest counts.
    const auto large = room.expectedWait("a", {1000, 8000, 0}, false, 1s, Now);
    ASSERT_TRUE(large);
    EXPECT_NEAR(static_cast<double>(toMilliseconds(*large)), 1000, 60);
    EXPECT_FALSE(room.expectedWait("a", {1000, 2000, 1}, false, 1s, Now)) << "no accelerator was freed";
    EXPECT_FALSE(room.expectedWait("a", Slot, true, 1s, Now)) << "no leftover cores were freed";
    EXPECT_FALSE(room.expectedWait("b", Slot, false, 1s, Now));
}

// Guards against tasks that wait for a rack which has stopped giving room.
TEST(RackRoom, ExpectsLessOfARackWithoutEnds)
{
    const auto room = rackWithEnds(250ms, 30s);
    EXPECT_GT(*room.expectedWait("a", Slot, false, 1s, Now + 5s), 600ms);
    EXPECT_GT(*room.expectedWait("a", Slot, false, 1s, Now + 15s), 4s);
}

// Guards against many waits after a takeover, when the first end would count as a high rate.
TEST(RackRoom, ExpectsLittleAfterOneEnd)
{
    RackRoom room;
    room.reset(Now);
    room.setCapacity("a", {100000, 200000, 0});
    room.noteFreed("a", Slot, false, Now + 10ms);
    EXPECT_GT(*room.expectedWait("a", Slot, false, 1s, Now + 20ms), 1500ms);
}

// Guards against a long queue in which each task takes itself for the first.
TEST(RackRoom, CountsTheTasksAhead)
{
    auto room = rackWithEnds(250ms, 30s);
    for (int plan = 0; plan < 2; ++plan) {
        room.beginQueue();
        const auto alone = *room.expectedWait("a", Slot, false, 1s, Now);
        for (int n = 0; n < 9; ++n) {
            room.enqueue("a", Slot, false);
        }
        room.enqueue("a", Slot, true); // for other cores
        const auto tenth = *room.expectedWait("a", Slot, false, 1s, Now);
        EXPECT_NEAR(static_cast<double>(tenth.count()), 10.0 * static_cast<double>(alone.count()), 10) << plan;
    }
}

// Guards against long tasks that wait for a rack by the rate of short ones: once they fill it, it gives no
// more room for as long as they run.
TEST(RackRoom, ExpectsTheRoomOfARackOnceForTheTasksAhead)
{
    auto room = rackWithEnds(250ms, 30s);
    room.setCapacity("a", {4000, 8000, 0});
    room.beginQueue();
    for (int n = 0; n < 3; ++n) {
        room.enqueue("a", Slot, false);
    }
    const auto fourth = *room.expectedWait("a", Slot, false, 10s, Now);
    EXPECT_NEAR(static_cast<double>(toMilliseconds(fourth)), 1000, 60);
    room.enqueue("a", Slot, false);
    EXPECT_EQ(*room.expectedWait("a", Slot, false, 10s, Now) - fourth, 2500ms);
}

TEST(RackRoom, ForgetsRacksWithoutWorkers)
{
    auto room = rackWithEnds(250ms, 30s);
    room.retain([](std::string_view rack) { return rack == "a"; });
    EXPECT_TRUE(room.expectedWait("a", Slot, false, 1s, Now));
    room.retain([](std::string_view) { return false; });
    EXPECT_FALSE(room.expectedWait("a", Slot, false, 1s, Now));
}

} // namespace monsoonspool::scheduling
