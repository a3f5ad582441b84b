#include "workers/worker.h"

#include <gtest/gtest.h>

namespace monsoonspool::workers {

namespace {

constexpr TimePoint Now{1h};

Worker makeWorker()
{
    ports::WorkerEntry entry;
    entry.id = WorkerId("w");
    entry.capacity = {32000, 128000, 0};
    entry.startTimeMs = 1;
    Worker worker(entry, Now);
    worker.setRostered();
    worker.setStartTimeMs(entry.startTimeMs);
    return worker;
}

Run makeRun(std::uint64_t job, std::int64_t milliCores, bool usesLeftover, bool isLasting)
{
    Run run;
    run.task = {{job}, 0, 0, 0};
    run.needs = {milliCores, 1000, 0};
    run.usesLeftover = usesLeftover;
    run.isLasting = isLasting;
    return run;
}

} // namespace

TEST(Worker, TakesNothingBeforeItConfirmedTheFence)
{
    auto worker = makeWorker();
    EXPECT_FALSE(worker.isSchedulable(Now));
    worker.noteContact(0, Now, Now);
    EXPECT_TRUE(worker.isSchedulable(Now));
    worker.noteSilence(Now);
    EXPECT_FALSE(worker.isSchedulable(Now));
}

TEST(Worker, CountsRoomByWhoMayUseIt)
{
    auto worker = makeWorker();
    worker.add(makeRun(1, 20000, false, true));
    EXPECT_EQ(worker.freeResources().milliCores, 12000);
    EXPECT_GT(worker.freeLeftoverResources().milliCores, 12000) << "includes cores that serving tasks do not use";
    worker.add(makeRun(2, 10000, true, false));
    EXPECT_EQ(worker.freeResources().milliCores, 12000) << "tasks on leftover cores reserve no cores";
    EXPECT_EQ(worker.freeResources().memoryMiB, 126000) << "but they reserve memory";
    const auto before = worker.freeLeftoverResources().milliCores;
    worker.setPace(*worker.find({{2}, 0, 0, 0}), 50);
    EXPECT_EQ(worker.freeLeftoverResources().milliCores, before + 5000);
    worker.remove({{2}, 0, 0, 0});
    worker.remove({{1}, 0, 0, 0});
    EXPECT_EQ(worker.freeResources(), worker.entry().capacity);
}

// A worker holds lasting work of 20 cores and leftover work of 4 cores, 1000 MiB each, while its
// capacity changes. Nothing fits where a resource is exceeded, and all of it when it has grown again.
TEST(Worker, CountsRoomWhileItsCapacityChanges)
{
    struct Case
    {
        const char *name;
        Resources capacity;
        Resources free;
        bool fitsOwn; // a task of 2 cores and 1000 MiB
        bool fitsLeftover;
    };
    for (const auto &it :
         {Case{"as at the start", {32000, 128000, 0}, {12000, 126000, 0}, true, true},
          Case{"cores for one more task", {22000, 128000, 0}, {2000, 126000, 0}, true, true},
          Case{"cores for less than one more task", {21999, 128000, 0}, {1999, 126000, 0}, false, true},
          Case{"the cores that are reserved", {20000, 128000, 0}, {0, 126000, 0}, false, true},
          Case{"fewer cores than are reserved", {8000, 128000, 0}, {-12000, 126000, 0}, false, false},
          Case{"no cores", {0, 128000, 0}, {-20000, 126000, 0}, false, false},
          Case{"memory for one more task", {32000, 3000, 0}, {12000, 1000, 0}, true, true},
          Case{"the memory that is reserved", {32000, 2000, 0}, {12000, 0, 0}, false, false},
          Case{"less memory than is reserved", {32000, 500, 0}, {12000, -1500, 0}, false, false},
          Case{"more of all", {64000, 256000, 2}, {44000, 254000, 2}, true, true}}) {
        SCOPED_TRACE(it.name);
        auto worker = makeWorker();
        const auto before = worker.entry();
        worker.add(makeRun(1, 20000, false, true));
        worker.add(makeRun(2, 4000, true, false));
        auto entry = before;
        entry.capacity = it.capacity;
        worker.setEntry(entry, Now);
        EXPECT_EQ(worker.freeResources(), it.free);
        EXPECT_EQ(worker.fits({2000, 1000, 0}, false), it.fitsOwn);
        EXPECT_EQ(worker.fits({2000, 1000, 0}, true), it.fitsLeftover);
        EXPECT_EQ(worker.runCount(), 2);
        worker.setEntry(before, Now);
        EXPECT_EQ(worker.freeResources(), (Resources{12000, 126000, 0}));
        entry.capacity = it.capacity;
        worker.setEntry(entry, Now);
        worker.remove({{1}, 0, 0, 0});
        worker.remove({{2}, 0, 0, 0});
        EXPECT_EQ(worker.freeResources(), it.capacity);
    }
}

// The worker's clock may run 2% slow. A lease must not be considered expired before it has
// expired on the slowest permitted clock, or a task would run twice.
TEST(Worker, ALeaseLapsesByTheSlowestClock)
{
    auto worker = makeWorker();
    worker.noteContact(10'000, Now, Now + 20ms);
    EXPECT_EQ(worker.nextDeadline(Now + 20ms), 16'000);
    EXPECT_FALSE(worker.hasLapsed(Now + 6s));
    EXPECT_FALSE(worker.hasLapsed(Now + 6100ms));
    EXPECT_TRUE(worker.hasLapsed(Now + 6300ms));
}

// What a leader has granted ends, by the fastest estimate of the worker's clock, when the leader
// may no longer decide: its successor waits no longer.
TEST(Worker, NoLeaseOutlastsTheTermOfItsLeader)
{
    auto worker = makeWorker();
    // The answer of a long poll: the clock was read at any time within 1.5 s.
    worker.noteContact(10'000, Now, Now + 1500ms);
    const auto sentAt = Now + 1500ms;
    const auto termEnd = sentAt + 3s;
    EXPECT_EQ(worker.nextDeadline(sentAt), 16'000);
    EXPECT_EQ(worker.startDeadline(sentAt), 10'000 + 1530 + 2500);
    EXPECT_EQ(worker.nextDeadline(sentAt, termEnd), 10'000 + 2940);
    EXPECT_EQ(worker.startDeadline(sentAt, termEnd), 10'000 + 2940);
}

// A former leader's lease on the worker may last longer than what this leader may grant.
TEST(Worker, AFormerLeadersLeaseIsWaitedFor)
{
    auto worker = makeWorker();
    worker.noteContact(10'000, Now, Now);
    EXPECT_EQ(worker.nextDeadline(Now, Now + 1s), 10'980);
    EXPECT_FALSE(worker.hasLapsed(Now + 6100ms));
    EXPECT_TRUE(worker.hasLapsed(Now + 6300ms));
}

TEST(Worker, ARestartedWorkerHoldsNothing)
{
    auto worker = makeWorker();
    worker.noteContact(10'000, Now, Now);
    worker.add(makeRun(1, 20000, false, true));
    worker.setProcessedEnd(9);
    worker.restart(2, 100);
    EXPECT_EQ(worker.runCount(), 0);
    EXPECT_EQ(worker.processedEnd(), 0);
    EXPECT_FALSE(worker.isConfirmed());
    EXPECT_EQ(worker.freeResources(), worker.entry().capacity);
}

// A worker that fails every task gets one trial task at a time, with increasing backoff.
TEST(Worker, ASuspectGetsOneTaskAtATime)
{
    auto worker = makeWorker();
    worker.noteContact(0, Now, Now);
    worker.noteFailure(Now);
    EXPECT_TRUE(worker.isSchedulable(Now)) << "one failure may be the task's own";
    worker.noteFailure(Now);
    EXPECT_TRUE(worker.isSuspect());
    EXPECT_FALSE(worker.isSchedulable(Now + 100ms));
    EXPECT_TRUE(worker.isSchedulable(Now + 1s));
    auto trial = makeRun(1, 1000, false, false);
    trial.orderedAt = Now + 1s;
    worker.add(trial);
    EXPECT_FALSE(worker.isSchedulable(Now + 1s));
    worker.noteDone(Now + 1s);
    EXPECT_TRUE(worker.isSchedulable(Now + 1s));
}

// A lasting task never ends. If it counted as a trial, a suspect worker that runs one would
// never get new tasks again.
TEST(Worker, ASuspectWithALastingTaskOpensAgain)
{
    auto worker = makeWorker();
    worker.noteContact(0, Now, Now);
    worker.add(makeRun(1, 1000, false, true));
    worker.noteFailure(Now + 1s);
    worker.noteFailure(Now + 1s);
    EXPECT_FALSE(worker.isSchedulable(Now + 1100ms));
    EXPECT_TRUE(worker.isSchedulable(Now + 2s)) << "a trial task is allowed";
    auto trial = makeRun(2, 1000, false, true);
    trial.orderedAt = Now + 2s;
    worker.add(trial);
    EXPECT_FALSE(worker.isSchedulable(Now + 2s)) << "one trial task at a time";
    EXPECT_TRUE(worker.isSchedulable(Now + 8s)) << "no failure within SuspicionTimeout";
}

} // namespace monsoonspool::workers
