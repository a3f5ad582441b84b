// Faults of work on leftover cores that a review has found.
#include "execution/leftoverfleet.h"
#include "workers/worker.h"

#include <gtest/gtest.h>

namespace monsoonspool::execution::leftoverfleet {

namespace {

constexpr Duration MaxStandstill = 3s;
const std::vector<Image> Images = {{"harmless", 0}, {"heavy", 1.5}, {"heaviest", 4}};

} // namespace

// Guards against a job that stands until it is late, in a fleet with most cores and memory free, since each worker
// has a small leftover run.
TEST(LeftoverReview, AJobWithALongObjectiveStartsBesideSmallLeftoverRuns)
{
    LeftoverFleet play(8, Images);
    play.submit({.image = "harmless", .milliCores = 1000, .memoryMiB = 1000, .width = 8, .runTime = 200s});
    play.pass(1s);
    ASSERT_EQ(play.runsOf("harmless"), 8);
    play.submit({.image = "heaviest", .milliCores = 28000, .targetLatency = 5min});
    play.pass(60s);
    EXPECT_LE(play.longestStandstill(), MaxStandstill);
}

// Guards against a job that stands beside work that takes all leftover cores, with most memory free.
TEST(LeftoverReview, AJobWithALongObjectiveStartsBesideLongRuns)
{
    LeftoverFleet play(8, Images);
    play.submit({.image = "harmless", .milliCores = 50000, .width = 8, .runTime = 200s});
    play.pass(1s);
    ASSERT_EQ(play.runsOf("harmless"), 8);
    play.submit({.image = "harmless", .milliCores = 28000, .targetLatency = 5min});
    play.pass(60s);
    EXPECT_LE(play.longestStandstill(), MaxStandstill);
}

// The same in a fleet that is otherwise idle: one wide step takes each worker, and others then stand.
TEST(LeftoverReview, SeveralJobsWithLongObjectivesStart)
{
    LeftoverFleet play(8, Images);
    for (int n = 0; n < 3; ++n) {
        play.submit({.image = "heaviest", .milliCores = 28000, .width = 10, .targetLatency = 5min});
    }
    play.pass(30s);
    EXPECT_LE(play.longestStandstill(), MaxStandstill);
}

// Guards against a reduced run that is paused in a load peak and never goes on.
TEST(LeftoverReview, APausedReducedRunGoesOn)
{
    LeftoverFleet play(1, Images);
    play.submit({.image = "harmless", .milliCores = 57000, .runTime = 1000s});
    play.pass(1s);
    play.submit({.image = "heaviest", .milliCores = 28000, .runTime = 100s});
    play.pass(10s);
    ASSERT_EQ(play.runsOf("heaviest"), 1);
    EXPECT_GT(play.paceOf("heaviest"), 0);
    play.loadSwing = 0.85;
    bool wasPaused = false;
    for (int n = 0; n < 28; ++n) {
        play.pass(500ms);
        wasPaused = wasPaused || play.paceOf("heaviest") == 0;
    }
    EXPECT_TRUE(wasPaused);
    play.loadSwing = 0;
    play.pass(60s);
    EXPECT_EQ(play.paceOf("harmless"), FullPace);
    EXPECT_GT(play.paceOf("heaviest"), 0);
}

// Guards against a job that waits for the end of the lease of its only run, on a dead worker, although more of its
// tasks could run.
TEST(LeftoverReview, AJobWhoseOnlyRunIsOnASilentWorkerGoesOn)
{
    LeftoverFleet play(8, Images);
    play.submit({.image = "harmless", .milliCores = 50000, .width = 8, .runTime = 300s});
    play.pass(1s);
    play.submit({.image = "heaviest", .milliCores = 28000, .width = 10, .runTime = 100s});
    play.pass(10s);
    ASSERT_EQ(play.runsOf("heaviest"), 1);
    EXPECT_LE(play.longestStandstill(), MaxStandstill);
    play.killWorkersOf("heaviest");
    play.pass(10s);
    EXPECT_LE(play.longestStandstill(), MaxStandstill);
}

// Guards against work that stands for as long as every serving task is over its target, by its own load.
TEST(LeftoverReview, AJobStartsWhereEveryServingTaskIsOverItsTarget)
{
    for (const char *image : {"harmless", "heaviest"}) {
        SCOPED_TRACE(image);
        LeftoverFleet play(8, Images);
        play.loadSwing = 0;
        play.servingFactor = 0.2;
        play.pass(5s);
        play.submit({.image = image, .milliCores = 7000});
        play.pass(20s);
        EXPECT_LE(play.longestStandstill(), MaxStandstill);
    }
}

// Guards against two bounds of 2 s that follow each other.
TEST(LeftoverReview, TheWaitBehindAGangCountsTowardsTheWaitForAPlace)
{
    LeftoverFleet play(8, Images);
    play.submit({.image = "harmless", .milliCores = 50000, .width = 7, .runTime = 300s});
    play.pass(1s);
    play.submit({.image = "harmless", .milliCores = 20000, .width = 10, .runTime = 10s, .isGang = true});
    play.submit({.image = "harmless", .milliCores = 59000, .runTime = 10s});
    play.pass(20s);
    EXPECT_LE(play.longestStandstill(), MaxStandstill);
}

// Guards against a task that waits for as long as other tasks of its job start: each of them ends the time since
// which the job is refused.
TEST(LeftoverReview, ATimedJobsLargeTasksStartBesideItsSmallOnes)
{
    LeftoverFleet play(8, Images);
    play.submitTimed({.image = "harmless", .milliCores = 1000, .runTime = 1s},
                     {.image = "heaviest", .milliCores = 28000, .runTime = 1s}, 60, 1s);
    int started = 0;
    for (int n = 0; n < 100; ++n) {
        play.pass(500ms);
        started += play.runsOf("heaviest");
    }
    EXPECT_GT(started, 0);
}

// Guards against a worker that takes one reduced run after the other although none of them obeys its pace.
TEST(LeftoverReview, AWorkerThatLosesPacesTakesOneReducedRun)
{
    LeftoverFleet play(1, Images);
    play.losesPaces = true;
    play.submit({.image = "harmless", .milliCores = 57000, .runTime = 1000s});
    play.pass(1s);
    for (int n = 0; n < 8; ++n) {
        play.submit({.image = "harmless", .milliCores = 28000, .runTime = 300s});
    }
    play.pass(4s);
    EXPECT_LE(play.paceOf("harmless"), 2 * FullPace);
}

// Guards against tasks under which a worker has crashed, which no worker takes as reduced runs for as long as it has
// another one of them: the bound on that wait holds for ordinary places only.
TEST(LeftoverReview, CrashSuspectsStartAsReducedRuns)
{
    LeftoverFleet play(8, Images);
    play.submit({.image = "harmless", .milliCores = 57000, .memoryMiB = 1000, .width = 8, .runTime = 1000s});
    play.pass(1s);
    for (int n = 0; n < 8; ++n) {
        play.submit({.image = "heaviest", .milliCores = 28000, .memoryMiB = 8000, .runTime = 300s});
    }
    play.pass(10s);
    ASSERT_EQ(play.runsOf("heaviest"), 8);
    ASSERT_LE(play.longestStandstill(), MaxStandstill);
    play.restartWorkers();
    play.pass(20s);
    EXPECT_LE(play.longestStandstill(), MaxStandstill);
}

// Guards against jobs that wait for one another: a reduced run that starts at full pace brings the serving task over its
// target, which closes the worker to the next one.
TEST(LeftoverReview, SeveralOverdueJobsPerWorkerStart)
{
    for (const int jobs : {8, 16, 24, 40}) {
        SCOPED_TRACE(jobs);
        LeftoverFleet play(8, Images);
        play.submit({.image = "harmless", .milliCores = 57000, .memoryMiB = 1000, .width = 8, .runTime = 1000s});
        play.pass(1s);
        for (int n = 0; n < jobs; ++n) {
            play.submit({.image = "heaviest", .milliCores = 28000, .memoryMiB = 8000, .runTime = 300s});
        }
        play.pass(30s);
        EXPECT_LE(play.longestStandstill(), MaxStandstill);
    }
}

// Guards against orders of one plan that reach a worker in another order.
TEST(LeftoverReview, APlanOrdersOnePaceOfARun)
{
    int twice = 0;
    for (int n = 0; n < 10; ++n) {
        LeftoverFleet play(8, Images);
        play.pass(n * Tick);
        play.submit({.image = "harmless", .milliCores = 40000, .width = 8, .runTime = 100s});
        play.pass(1s);
        play.submit({.image = "heavy", .milliCores = 28000, .runTime = 20s});
        play.pass(20s);
        twice += play.plansWithTwoPacesOfARun();
    }
    EXPECT_EQ(twice, 0);
}

} // namespace monsoonspool::execution::leftoverfleet
