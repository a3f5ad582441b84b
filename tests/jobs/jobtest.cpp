#include "jobs/job.h"

#include "jobs/names.h"
#include "jobs/runtimeestimator.h"

#include <boost/math/distributions/normal.hpp>
#include <gtest/gtest.h>

#include <cmath>

namespace monsoonspool::jobs {

namespace {

constexpr TimePoint Now{1h};
constexpr int MaxAttempts = 3;

JobSpec twoSteps(bool isGang = false)
{
    JobSpec spec;
    spec.steps.resize(2);
    spec.steps[0].count = 2;
    spec.steps[0].isGang = isGang;
    spec.steps[1].count = 1;
    spec.steps[1].after = {0};
    return spec;
}

TaskId task(int step, int index)
{
    return {{7}, 0, step, index};
}

} // namespace

TEST(Job, RunsAStepOnceTheStepsBeforeItAreDone)
{
    Job job({7}, twoSteps(), "plans", Now);
    EXPECT_EQ(job.state(), JobState::Queued);
    EXPECT_TRUE(job.isReady(0, 0));
    EXPECT_FALSE(job.isReady(0, 1));
    job.noteRunOrdered(task(0, 0), 1);
    EXPECT_EQ(job.state(), JobState::Running);
    EXPECT_TRUE(job.noteRunEnd(task(0, 0), 1, RunEnd::Done, {}, MaxAttempts, Now));
    EXPECT_FALSE(job.isReady(0, 1));
    EXPECT_TRUE(job.noteRunEnd(task(0, 1), 1, RunEnd::Done, {}, MaxAttempts, Now));
    EXPECT_TRUE(job.isReady(0, 1));
    job.noteRunEnd(task(1, 0), 1, RunEnd::Done, {}, MaxAttempts, Now);
    EXPECT_EQ(job.state(), JobState::Completed);
}

// After a leader failover, the worker lists the end of run 1 again while run 2 is active. The
// repeated end must not release run 2.
TEST(Job, AnEarlierEndDoesNotTakeThePlaceOfTheRunAtWork)
{
    Job job({7}, twoSteps(), "plans", Now);
    job.noteRunOrdered(task(0, 0), 2);
    job.noteRunEnd(task(0, 0), 1, RunEnd::Failed, {}, MaxAttempts, Now);
    EXPECT_FALSE(job.task(task(0, 0)).isWaiting());
    job.noteRunOver(task(0, 0));
    EXPECT_TRUE(job.task(task(0, 0)).isWaiting());
}

TEST(Job, CountsAFailureOnceHoweverOftenItIsListed)
{
    Job first({7}, twoSteps(), "plans", Now);
    for (const RunNumber run : {1, 2, 1, 2}) {
        first.noteRunEnd(task(0, 0), run, RunEnd::Failed, {}, MaxAttempts, Now);
    }
    EXPECT_EQ(first.state(), JobState::Queued);
    Job successor({7}, twoSteps(), "plans", Now);
    successor.restore(first.progress());
    successor.noteRunEnd(task(0, 0), 2, RunEnd::Failed, {}, MaxAttempts, Now);
    EXPECT_TRUE(successor.isOpen());
    successor.noteRunEnd(task(0, 0), 3, RunEnd::Failed, {}, MaxAttempts, Now);
    EXPECT_EQ(successor.state(), JobState::Failed);
}

// Guards against starting a task without end that crashes each worker that starts it.
TEST(Job, FailsAfterThreeCrashesOfWorkersUnderATask)
{
    for (const bool isGang : {false, true}) {
        SCOPED_TRACE(isGang);
        Job job({7}, twoSteps(isGang), "plans", Now);
        EXPECT_TRUE(job.noteWorkerCrash(task(0, 0), 1, 1s));
        EXPECT_FALSE(job.noteWorkerCrash(task(0, 0), 1, 1s)) << "a crash counts once";
        EXPECT_TRUE(job.noteWorkerCrash(task(0, 0), 2, 1s));
        EXPECT_TRUE(job.isOpen());
        EXPECT_EQ(job.crashCount(task(0, 1)), isGang ? 2 : 0);
        EXPECT_TRUE(job.noteWorkerCrash(task(0, isGang ? 1 : 0), 3, 1s));
        EXPECT_EQ(job.state(), JobState::Failed);
    }
}

// Guards against failing a gang's job though no two workers crashed under the same member.
TEST(Job, CrashesUnderDifferentMembersFailNoGang)
{
    auto spec = twoSteps(true);
    spec.steps[0].count = 4;
    Job first({7}, spec, "plans", Now);
    Job successor({7}, spec, "plans", Now);
    for (const int n : {0, 1, 2}) {
        EXPECT_TRUE(first.noteWorkerCrash(task(0, n), n + 1, 1s));
        EXPECT_TRUE(first.isOpen());
        successor.restore(first.progress());
        EXPECT_TRUE(successor.isOpen());
    }
    EXPECT_EQ(successor.crashCount(task(0, 3)), 3);
    EXPECT_TRUE(successor.noteWorkerCrash(task(0, 1), 4, 1s));
    EXPECT_EQ(successor.state(), JobState::Failed);
    first.restore(successor.progress());
    EXPECT_EQ(first.state(), JobState::Failed);
}

// Guards against failing a job by adding crashes of workers to failed attempts.
TEST(Job, CountsCrashesOfWorkersApartFromAttempts)
{
    Job job({7}, twoSteps(), "plans", Now);
    for (const RunNumber run : {1, 2}) {
        job.noteWorkerCrash(task(0, 0), run, 1s);
        job.noteRunEnd(task(0, 0), run + 10, RunEnd::Failed, {}, MaxAttempts, Now);
    }
    EXPECT_TRUE(job.isOpen());
    EXPECT_EQ(job.task(task(0, 0)).failedRuns.size(), 2U);
    job.noteRunEnd(task(0, 0), 20, RunEnd::Done, {}, MaxAttempts, Now);
    EXPECT_FALSE(job.noteWorkerCrash(task(0, 0), 3, 1s)) << "the task is done";
    EXPECT_TRUE(job.isOpen());
}

// Guards against a count of crashes that ends with the leader that saw them.
TEST(Job, ASuccessorKnowsTheCrashesOfWorkers)
{
    Job first({7}, twoSteps(), "plans", Now);
    first.noteWorkerCrash(task(0, 0), 1, 1s);
    first.noteWorkerCrash(task(0, 0), 2, 1s);
    Job successor({7}, twoSteps(), "plans", Now);
    successor.noteWorkerCrash(task(0, 0), 2, 1s);
    successor.restore(first.progress());
    EXPECT_EQ(successor.crashCount(task(0, 0)), 2);
    EXPECT_TRUE(successor.isOpen());
    Job third({7}, twoSteps(), "plans", Now);
    third.noteWorkerCrash(task(0, 0), 1001, 1s);
    third.restore(first.progress());
    EXPECT_EQ(third.state(), JobState::Failed);
}

// Guards against failing a job by crashes under runs that are not known to have begun, and against a
// successor that does not know that they make the task suspect.
TEST(Job, PossibleCrashesMakeATaskSuspectButFailNoJob)
{
    for (const bool isGang : {false, true}) {
        SCOPED_TRACE(isGang);
        Job first({7}, twoSteps(isGang), "plans", Now);
        EXPECT_FALSE(first.needsVerifiedStart(task(0, 0)));
        EXPECT_TRUE(first.notePossibleCrash(task(0, 0), 1, 1s));
        for (const RunNumber run : {1, 2, 3, 4}) {
            EXPECT_FALSE(first.notePossibleCrash(task(0, 0), run, 1s)) << "one is enough";
        }
        EXPECT_TRUE(first.isOpen());
        EXPECT_EQ(first.crashCount(task(0, 0)), 0);
        Job successor({7}, twoSteps(isGang), "plans", Now);
        successor.restore(first.progress());
        for (const auto *job : {&first, &successor}) {
            EXPECT_EQ(job->crashSuspicion(task(0, 0)), 1);
            EXPECT_TRUE(job->needsVerifiedStart(task(0, 0)));
            EXPECT_EQ(job->needsVerifiedStart(task(0, 1)), isGang);
        }
        successor.noteWorkerCrash(task(0, 0), 1001, 1s);
        successor.noteWorkerCrash(task(0, 0), 1002, 1s);
        EXPECT_TRUE(successor.isOpen());
        EXPECT_EQ(successor.crashSuspicion(task(0, 0)), 3);
    }
}

// Guards against giving up a lasting task because of unrelated crashes in weeks of life.
TEST(Job, ALongRunClearsTheCrashesOfALastingTask)
{
    auto spec = twoSteps();
    spec.steps.resize(1);
    spec.steps[0].isLasting = true;
    Job job({7}, spec, "watch", Now);
    EXPECT_FALSE(job.noteWorkerCrash(task(0, 0), 1, LastingTrialTime + 1ms));
    EXPECT_TRUE(job.noteWorkerCrash(task(0, 0), 2, 1s));
    EXPECT_TRUE(job.noteWorkerCrash(task(0, 0), 3, 1s));
    EXPECT_FALSE(job.noteHealthyRun(task(0, 0), 1s));
    EXPECT_TRUE(job.noteHealthyRun(task(0, 0), LastingTrialTime + 1ms));
    EXPECT_EQ(job.crashCount(task(0, 0)), 0);
    for (const RunNumber run : {5, 6, 7}) {
        EXPECT_TRUE(job.isOpen());
        job.noteWorkerCrash(task(0, 0), run, 1s);
    }
    EXPECT_EQ(job.state(), JobState::Failed);
}

struct EndCase
{
    RunEnd end;
    bool isChange; // of the persistent state, without a checkpoint; with a new one each end is a change
    bool isDone;
    std::size_t failures;
};

TEST(Job, KnowsHowRunsEnd)
{
    for (const auto &it : {EndCase{RunEnd::Done, true, true, 0}, EndCase{RunEnd::Failed, true, false, 1},
                           EndCase{RunEnd::Stopped, false, false, 0}, EndCase{RunEnd::Lapsed, false, false, 0},
                           EndCase{RunEnd::Broken, false, false, 0}, EndCase{RunEnd::Alone, false, false, 0}}) {
        SCOPED_TRACE(runEndName(it.end));
        Job job({7}, twoSteps(), "plans", Now);
        EXPECT_EQ(Job({7}, twoSteps(), "plans", Now).noteRunEnd(task(0, 0), 1, it.end, {}, MaxAttempts, Now),
                  it.isChange);
        EXPECT_TRUE(job.noteRunEnd(task(0, 0), 1, it.end, "saved", MaxAttempts, Now));
        EXPECT_FALSE(job.noteRunEnd(task(0, 0), 1, it.end, "saved", MaxAttempts, Now)) << "repeated";
        EXPECT_EQ(job.task(task(0, 0)).isDone, it.isDone);
        EXPECT_EQ(job.task(task(0, 0)).failedRuns.size(), it.failures);
        EXPECT_EQ(job.task(task(0, 0)).checkpoint, "saved");
    }
}

TEST(Job, AGangIsDoneAndFailsAsAWhole)
{
    Job job({7}, twoSteps(true), "plans", Now);
    job.noteRunEnd(task(0, 0), 1, RunEnd::Failed, {}, MaxAttempts, Now);
    job.noteRunEnd(task(0, 1), 1, RunEnd::Failed, {}, MaxAttempts, Now);
    EXPECT_EQ(job.step(0, 0).failedRuns.size(), 1U);
    job.noteRunEnd(task(0, 1), 2, RunEnd::Done, {}, MaxAttempts, Now);
    EXPECT_TRUE(job.step(0, 0).isDone());
}

TEST(Job, ATaskThatLastsIsNeverDoneAndHasNoLimitOfAttempts)
{
    auto spec = twoSteps();
    spec.steps.resize(1);
    spec.steps[0].isLasting = true;
    Job job({7}, spec, "watch", Now);
    for (RunNumber run = 1; run < 10; ++run) {
        job.noteRunEnd(task(0, 0), run, run % 2 == 0 ? RunEnd::Done : RunEnd::Failed, {}, 2, Now);
    }
    EXPECT_TRUE(job.isOpen());
    EXPECT_FALSE(job.task(task(0, 0)).isDone);
}

TEST(Job, OccurrencesOpenWhenTheyAreDue)
{
    auto spec = twoSteps();
    spec.occurrences = 3;
    spec.firstDue = WallTime(std::chrono::seconds(100));
    spec.interval = std::chrono::seconds(10);
    Job job({7}, spec, "plans", Now);
    EXPECT_TRUE(job.occurrences().empty());
    job.openDueOccurrences(WallTime(std::chrono::milliseconds(99'999)));
    EXPECT_TRUE(job.occurrences().empty());
    job.openDueOccurrences(WallTime(std::chrono::seconds(110)));
    EXPECT_EQ(job.occurrences().size(), 2U);
}

// Guards against a job whose due times exceed what a leader can hold, and against times that never open: each
// opens once the earlier ones leave room, and is over once.
TEST(Job, OverdueOccurrencesOpenAsEarlierOnesAreDone)
{
    constexpr int times = 100;
    auto spec = twoSteps();
    spec.occurrences = times;
    spec.interval = std::chrono::seconds(1);
    const WallTime now(std::chrono::hours(1));
    Job job({7}, spec, "plans", Now);
    const OccurrenceLimits limits{4, 6}; // two occurrences
    job.openDueOccurrences(now, limits);
    EXPECT_EQ(job.occurrences().size(), 2U);
    EXPECT_EQ(job.overdueCount(now), times - 2);
    const auto bytes = job.memoryUse();
    for (int k = 0; k < times; ++k) {
        EXPECT_TRUE(job.isOpen());
        for (const auto &[step, index] : {std::pair(0, 0), std::pair(0, 1), std::pair(1, 0)}) {
            ASSERT_TRUE(job.occurrences().contains(k)) << k;
            job.noteRunOrdered({{7}, k, step, index}, 1);
            EXPECT_TRUE(job.noteRunEnd({{7}, k, step, index}, 1, RunEnd::Done, {}, MaxAttempts, Now));
            job.noteRunOver({{7}, k, step, index});
        }
        job.openDueOccurrences(now, limits);
        EXPECT_LE(job.memoryUse(), bytes + times);
    }
    EXPECT_EQ(job.state(), JobState::Completed);
    EXPECT_EQ(job.doneCount(), times * 3);
    EXPECT_FALSE(job.noteRunEnd({{7}, 3, 0, 0}, 2, RunEnd::Done, {}, MaxAttempts, Now)) << "listed again";
    EXPECT_EQ(job.progress().occurrences.size(), std::size_t(times));

    Job successor({7}, spec, "plans", Now);
    auto progress = job.progress();
    progress.state = JobState::Running;
    progress.occurrences[50][1].tasks = ".";
    successor.restore(progress);
    EXPECT_TRUE(successor.isOpen());
    successor.openDueOccurrences(now, limits);
    EXPECT_EQ(successor.occurrences().size(), 1U);
    EXPECT_TRUE(successor.noteRunEnd({{7}, 50, 1, 0}, 9, RunEnd::Done, {}, MaxAttempts, Now));
    EXPECT_EQ(successor.state(), JobState::Completed);
}

TEST(Job, RefusesWhatCannotRun)
{
    struct Case
    {
        const char *name;
        std::function<void(JobSpec &)> invalidate;
    };
    const Case cases[] = {
        {"no steps", [](JobSpec &it) { it.steps.clear(); }},
        {"no tasks", [](JobSpec &it) { it.steps[0].count = 0; }},
        {"too many tasks", [](JobSpec &it) { it.steps[0].count = MaxTasksPerStep + 1; }},
        {"negative size", [](JobSpec &it) { it.steps[0].needs.milliCores = -1; }},
        {"follows itself", [](JobSpec &it) { it.steps[1].after = {1}; }},
        {"follows a later step", [](JobSpec &it) { it.steps[0].after = {1}; }},
        {"negative interval", [](JobSpec &it) { it.interval = std::chrono::milliseconds(-1); }},
    };
    EXPECT_TRUE(handleFailure([] { return validate(twoSteps()).operator bool() ? Result<bool>(true) : false; },
                              [](const Failure &) { return false; }));
    for (const auto &it : cases) {
        auto spec = twoSteps();
        it.invalidate(spec);
        const auto kind = handleFailure(
            [&]() -> Result<ErrorKind> {
                BOOST_LEAF_CHECK(validate(spec));
                return ErrorKind::Internal;
            },
            [](const Failure &failure) { return failure.kind; });
        EXPECT_EQ(kind, ErrorKind::InvalidJob) << it.name;
    }
}

// In one task class the estimates are wrong by a constant factor, in the other they are
// unrelated to the run time. The predictor with the lower variance must dominate.
TEST(RunTimeEstimator, LearnsWhichGuessVariesLeast)
{
    RunTimeEstimator estimator;
    StepSpec step;
    step.estimate = 1s;
    EXPECT_EQ(estimator.forecast("plans", step).typical, Duration(1s));
    for (int n = 0; n < 200; ++n) {
        step.estimate = std::chrono::milliseconds(n % 2 == 0 ? 500 : 2000);
        estimator.learn("plans", step, step.estimate * 2);
        estimator.learn("proofs", step, Duration(800ms));
    }
    step.estimate = 1s;
    EXPECT_NEAR(static_cast<double>(estimator.forecast("plans", step).typical.count()), 2e6, 2e5);
    EXPECT_NEAR(static_cast<double>(estimator.forecast("proofs", step).typical.count()), 8e5, 2e5);
}

// Guards against memory that grows with the number of images that clients name.
TEST(RunTimeEstimator, ForgetsTheClassThatWasObservedLongestAgo)
{
    RunTimeEstimator estimator;
    StepSpec step;
    step.estimate = 1s;
    const auto learn = [&](const std::string &image) {
        step.image = image;
        for (int n = 0; n < 10; ++n) {
            estimator.learn("plans", step, Duration(3s));
        }
    };
    const auto isKnown = [&](const std::string &image) {
        step.image = image;
        return estimator.forecast("plans", step).typical > Duration(2s);
    };
    learn("first");
    learn("second");
    for (std::size_t n = 0; n < RunTimeEstimator::MaxClasses - 2; ++n) {
        learn("other" + std::to_string(n));
    }
    learn("first");
    EXPECT_TRUE(isKnown("second"));
    learn("one too many");
    EXPECT_TRUE(isKnown("first"));
    EXPECT_FALSE(isKnown("second"));
    EXPECT_TRUE(isKnown("one too many"));
}

// Guards against objectives of wide jobs that are estimated too early.
TEST(RunTimeEstimator, TheLongestOfManyTasksTakesLongerThanATypicalOne)
{
    RunTimeEstimator estimator;
    StepSpec step;
    step.estimate = 1s;
    EXPECT_EQ(estimator.forecast("plans", step).longestOf(100), Duration(1s)) << "nothing is known about the spread";
    constexpr double spread = 0.5;
    const boost::math::normal_distribution<> normal(std::log(1e6), spread);
    constexpr int runs = 500;
    for (int n = 0; n < runs; ++n) {
        const double p = ((n * 7919) % runs + 0.5) / runs;
        estimator.learn("plans", step, Duration(static_cast<Duration::rep>(std::exp(quantile(normal, p)))));
    }
    const auto forecast = estimator.forecast("plans", step);
    Duration former{0};
    for (const int count : {1, 2, 10, 40, 160, MaxTasksPerStep}) {
        const auto longest = forecast.longestOf(count);
        EXPECT_GT(longest, former) << count;
        former = longest;
    }
    // The mean largest of 40 standard normal values is 2.16.
    EXPECT_NEAR(static_cast<double>(forecast.longestOf(40).count()), 1e6 * std::exp(spread * 2.16), 3e5);
}

} // namespace monsoonspool::jobs
