// Jobs on leftover cores that stand still although workers have room.
#include "execution/leftoverfleet.h"
#include "workers/worker.h"

#include <gtest/gtest.h>

namespace monsoonspool::execution::leftoverfleet {

namespace {

// The platform takes work as lost that has nothing at work for longer beside room.
constexpr Duration MaxStandstill = 3s;
constexpr Duration HarmBound = 4s; // for which leftover work may keep a serving task over its target
const std::vector<Image> Images = {{"harmless", 0}, {"heavy", 1.5}, {"heaviest", 4}};

} // namespace

// Guards against a task that waits for ever in an idle fleet, since it is forecast to disturb the serving tasks of
// every worker: the largest one of its image, which smaller ones are not.
TEST(LeftoverStandstill, ATaskThatWouldDisturbEveryServingTaskStarts)
{
    for (const std::int64_t milliCores : {7000, 14000, 28000}) {
        for (const char *image : {"harmless", "heavy", "heaviest"}) {
            SCOPED_TRACE(image + (" " + std::to_string(milliCores)));
            LeftoverFleet play(8, Images);
            play.submit({.image = image, .milliCores = milliCores, .steps = 3, .width = 10});
            play.pass(100s);
            EXPECT_LE(play.longestStandstill(), MaxStandstill);
            EXPECT_LE(play.longestHarm(), HarmBound);
            EXPECT_EQ(play.openJobs(), 0U);
        }
    }
}

// The same where the job could still be on time: an objective of minutes is no reason to stand in an idle fleet.
TEST(LeftoverStandstill, ATaskWithALongObjectiveStarts)
{
    LeftoverFleet play(8, Images);
    play.submit({.image = "heaviest", .milliCores = 14000, .steps = 3, .width = 10, .targetLatency = 5min});
    play.pass(100s);
    EXPECT_LE(play.longestStandstill(), MaxStandstill);
    EXPECT_EQ(play.openJobs(), 0U);
}

// The same where each worker has other leftover work, and most of the leftover cores are free.
TEST(LeftoverStandstill, ATaskWithALongObjectiveStartsBesideOtherWork)
{
    LeftoverFleet play(2, Images);
    play.submit({.image = "harmless", .milliCores = 1000, .width = 2, .runTime = 1min});
    play.pass(1s);
    ASSERT_EQ(play.runsOf("harmless"), 2);
    play.submit({.image = "heaviest", .milliCores = 28000, .targetLatency = 5min});
    play.pass(60s);
    EXPECT_LE(play.longestStandstill(), MaxStandstill);
    EXPECT_EQ(play.openJobs(), 0U);
}

// Guards against jobs that stand for as long as others use the leftover cores, although the platform counts only
// memory and accelerators for such work, of which most is free.
TEST(LeftoverStandstill, JobsBeyondTheLeftoverCoresHaveSomethingAtWork)
{
    for (const char *image : {"harmless", "heavy", "heaviest"}) {
        SCOPED_TRACE(image);
        LeftoverFleet play(8, Images);
        for (int n = 0; n < 60; ++n) {
            play.submit({.image = image, .milliCores = 10000, .memoryMiB = 8000, .width = 4, .runTime = 8s});
        }
        play.pass(60s);
        EXPECT_LE(play.longestStandstill(), MaxStandstill);
        EXPECT_LE(play.longestHarm(), HarmBound);
    }
}

// Guards against work that is let in beyond the limits and then slows down what was let in within them.
TEST(LeftoverStandstill, AReducedRunYieldsToOtherWork)
{
    LeftoverFleet play(1, Images);
    play.submit({.image = "heaviest", .milliCores = 28000, .runTime = 100s});
    play.pass(10s);
    EXPECT_GT(play.paceOf("heaviest"), workers::ReducedPace) << "faster while it has the worker for itself";
    play.submit({.image = "harmless", .milliCores = 45000, .runTime = 10s, .targetLatency = 1min});
    play.pass(2s);
    ASSERT_EQ(play.runsOf("harmless"), 1);
    EXPECT_EQ(play.paceOf("harmless"), FullPace);
    constexpr double leftCores = 64000 - ServingLoad * 13000 - 45000;
    EXPECT_LE(play.paceOf("heaviest"), FullPace * leftCores / 28000);
    play.pass(9s);
    ASSERT_EQ(play.openJobs(), 1U);
    play.submit({.image = "heavy", .milliCores = 7000, .runTime = 10s, .targetLatency = 1min});
    play.pass(2s);
    EXPECT_EQ(play.runsOf("heavy"), 1) << "the run does not keep others from the worker";
    EXPECT_LE(play.longestHarm(), HarmBound);
}

// Guards against reduced runs that hold up their steps: one keeps the job from standing, the others would be done sooner
// at full pace.
TEST(LeftoverStandstill, OnlyOneTaskOfAJobStartsBesideWorkThatTakesTheLeftoverCores)
{
    for (const Duration objective : {Duration(0), Duration(1min)}) {
        SCOPED_TRACE(toMilliseconds(objective));
        LeftoverFleet play(4, Images);
        play.submit({.image = "harmless", .milliCores = 50000, .width = 4, .runTime = 8s, .targetLatency = objective});
        play.pass(1s);
        ASSERT_EQ(play.runsOf("harmless"), 4);
        play.submit({.image = "harmless", .milliCores = 40000, .width = 4, .runTime = 1s, .targetLatency = objective});
        play.pass(6s);
        EXPECT_EQ(play.runsOf("harmless"), 5);
        play.pass(6s);
        EXPECT_EQ(play.openJobs(), 0U);
        EXPECT_LE(play.longestStandstill(), MaxStandstill);
    }
}

// A task without a place could not be told from one behind other work.
TEST(LeftoverStandstill, TheCauseIsReported)
{
    struct Case
    {
        const char *name;
        LeftoverJob running; // one task on each worker
        LeftoverJob waiting;
        StandstillCause cause;
    };
    constexpr int count = 2;
    const LeftoverJob half{.image = "harmless", .milliCores = 32000, .width = count, .runTime = 1min};
    const LeftoverJob large{.image = "harmless", .milliCores = 50000, .width = count, .runTime = 1min};
    for (const auto &it :
         {Case{"serving tasks", half, {.image = "heaviest", .milliCores = 26000}, StandstillCause::Interference},
          Case{"leftover cores", large, {.image = "harmless", .milliCores = 28000}, StandstillCause::NoLeftoverCores},
          Case{"memory", half, {.image = "harmless", .memoryMiB = 240000}, StandstillCause::NoRoom}}) {
        SCOPED_TRACE(it.name);
        LeftoverFleet play(count, Images);
        play.submit(it.running);
        play.pass(1s);
        play.submit(it.waiting);
        play.pass(2s); // until it starts as a reduced run
        EXPECT_EQ(play.fleet.counts().standingJobs.byCause[static_cast<std::size_t>(it.cause)], 1U);
        EXPECT_EQ(play.fleet.counts().standingJobs.total(), 1U);
    }
}

} // namespace monsoonspool::execution::leftoverfleet
