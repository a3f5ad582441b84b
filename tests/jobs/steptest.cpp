#include "jobs/step.h"

#include <gtest/gtest.h>

namespace monsoonspool::jobs {

// Guards against memory for tasks that wait: a client may submit more of them than a host can hold.
TEST(Step, TakesNoMemoryForTasksThatWait)
{
    const Step small(1);
    const Step large(5000);
    EXPECT_EQ(large.memoryUse(), small.memoryUse());
    EXPECT_EQ(large.waitingCount(), 5000);
    EXPECT_TRUE(large.task(4999).isWaiting());
    EXPECT_TRUE(large.isUntouched());
}

TEST(Step, CountsWaitingActiveAndDoneTasks)
{
    Step step(3);
    step.noteRunOrdered(0, 7);
    EXPECT_EQ(step.waitingCount(), 2);
    EXPECT_EQ(step.firstWaiting(), 1);
    EXPECT_EQ(step.task(0).lastRun, 7U);
    EXPECT_TRUE(step.markDone(0, 7));
    EXPECT_FALSE(step.markDone(0, 8)) << "done before";
    EXPECT_EQ(step.activeCount(), 0);
    EXPECT_EQ(step.doneRun(0), 7U);
    step.noteRunOver(0);
    EXPECT_TRUE(step.markDone(1, std::nullopt));
    EXPECT_EQ(step.doneRun(1), std::nullopt);
    EXPECT_TRUE(step.markDone(2, 0)) << "a run without a number, as from an invalid listing";
    EXPECT_TRUE(step.task(2).isDone);
    EXPECT_TRUE(step.isDone());
    EXPECT_EQ(step.firstWaiting(), 3);
}

// Guards against the release of a task whose run may still be active: its end would be counted twice.
TEST(Step, ReleasesTasksThatAreDoneOnceTheirRunsAreOver)
{
    Step step(2);
    step.noteRunOrdered(0, 1);
    step.noteRunOrdered(0, 2);
    step.markDone(0, 1);
    const auto withTask = step.memoryUse();
    step.noteRunOver(0);
    step.releaseDone();
    EXPECT_EQ(step.memoryUse(), withTask);
    step.noteRunOver(0);
    step.releaseDone();
    EXPECT_LT(step.memoryUse(), withTask);
    EXPECT_TRUE(step.task(0).isDone);
    EXPECT_EQ(step.waitingCount(), 1);
    step.noteRunOrdered(0, 3); // listed late by a worker
    EXPECT_EQ(step.activeCount(), 0);
    step.noteRunOver(0);
    step.releaseDone();
    EXPECT_EQ(step.activeCount(), 0);
}

} // namespace monsoonspool::jobs
