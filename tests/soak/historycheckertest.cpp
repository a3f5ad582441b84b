#include "soak/historychecker.h"

#include <gtest/gtest.h>

namespace monsoonspool::soak {

namespace {

constexpr jobs::JobKey Job{7};
constexpr jobs::TaskId First{Job, 0, 0, 0};
constexpr jobs::TaskId Second{Job, 0, 0, 1};
constexpr jobs::TaskId Dependent{Job, 0, 1, 0};
const std::string WorkerA = "a";
const std::string WorkerB = "b";

// Builds a history of a job with a step of two tasks and a dependent step of one.
class Builder
{
public:
    Builder()
    {
        add(EventKind::WorkerRegistered, 0ms, [](Event &it) {
            it.worker = WorkerA;
            it.milliCores = 2000;
        });
        add(EventKind::WorkerRegistered, 0ms, [](Event &it) {
            it.worker = WorkerB;
            it.milliCores = 2000;
        });
        add(EventKind::Submitted, 0ms, [](Event &it) {
            it.shape.steps = {{.count = 2, .after = {}}, {.count = 1, .after = {0}}};
        });
    }

    Builder &job(EventKind kind, Duration at)
    {
        return add(kind, at, [](Event &) {});
    }
    Builder &start(const jobs::TaskId &task, jobs::RunNumber run, const std::string &worker, Duration at)
    {
        return add(EventKind::RunStarted, at, [&](Event &it) {
            it.task = task;
            it.run = run;
            it.worker = worker;
        });
    }
    Builder &end(const jobs::TaskId &task, jobs::RunNumber run, Duration at, RunEndKind how = RunEndKind::Done)
    {
        return add(EventKind::RunEnded, at, [&](Event &it) {
            it.task = task;
            it.run = run;
            it.runEnd = how;
        });
    }
    Builder &onlyWorker(bool takesOrders, std::int64_t milliCores)
    {
        m_events[0].takesOrders = takesOrders;
        m_events[0].milliCores = milliCores;
        m_events[1].milliCores = 0;
        return *this;
    }

    Verdict check(Duration end = 60s) const
    {
        return HistoryChecker().check(m_events, TimePoint(end));
    }

private:
    template <typename F>
    Builder &add(EventKind kind, Duration at, F f)
    {
        Event event;
        event.kind = kind;
        event.at = TimePoint(at);
        event.job = Job;
        f(event);
        m_events.push_back(std::move(event));
        return *this;
    }

    std::vector<Event> m_events;
};

// The dependent step runs, and the client learns that the job is completed.
Builder &complete(Builder &builder, Duration at)
{
    return builder.start(Dependent, 1, WorkerA, at)
        .end(Dependent, 1, at + 500ms)
        .job(EventKind::ReportedCompleted, at + 600ms);
}

Builder acceptedJob()
{
    Builder builder;
    return builder.job(EventKind::Accepted, 10ms);
}

Builder goodHistory()
{
    auto builder = acceptedJob();
    builder.start(First, 1, WorkerA, 100ms).start(Second, 1, WorkerB, 120ms);
    builder.end(First, 1, 900ms).end(Second, 1, 1000ms, RunEndKind::Failed);
    builder.start(Second, 2, WorkerA, 1100ms).end(Second, 2, 1900ms);
    return complete(builder, 2000ms);
}

// Expects that `promise` is broken, and no other one.
void expectOnly(Promise promise, const Verdict &verdict)
{
    for (const auto &it : verdict.promises) {
        EXPECT_EQ(it.violations.empty(), it.promise != promise) << promiseName(it.promise);
    }
}

} // namespace

TEST(HistoryCheckerTest, AcceptsAGoodHistory)
{
    const auto verdict = goodHistory().check();
    for (const auto &it : verdict.promises) {
        EXPECT_TRUE(it.violations.empty()) << promiseName(it.promise) << ": " << it.violations.front();
    }
    EXPECT_EQ(verdict.result(Promise::OnePlace).checked, 4);
}

TEST(HistoryCheckerTest, RejectsAnAcceptedJobThatNeverEnds)
{
    auto builder = acceptedJob();
    builder.start(First, 1, WorkerA, 100ms);
    expectOnly(Promise::NeverLost, builder.check());
}

TEST(HistoryCheckerTest, RejectsAnAcceptedJobThatFailsOrIsUnknown)
{
    for (const auto kind : {EventKind::ReportedFailed, EventKind::ReportedUnknown}) {
        auto builder = acceptedJob();
        expectOnly(Promise::NeverLost, builder.job(kind, 200ms).check());
    }
}

TEST(HistoryCheckerTest, RejectsACompletionBeforeAllTasksAreDone)
{
    auto builder = acceptedJob();
    builder.start(First, 1, WorkerA, 100ms).end(First, 1, 900ms).job(EventKind::ReportedCompleted, 950ms);
    expectOnly(Promise::NeverLost, builder.check());
}

TEST(HistoryCheckerTest, RejectsARunAfterItsTaskWasDone)
{
    auto builder = goodHistory();
    builder.start(First, 2, WorkerB, 3000ms).end(First, 2, 3100ms, RunEndKind::Stopped);
    expectOnly(Promise::DoneOnce, builder.check());
}

TEST(HistoryCheckerTest, RejectsTwoRunsOfATaskAtATime)
{
    auto builder = acceptedJob();
    builder.start(First, 1, WorkerA, 100ms).start(First, 2, WorkerB, 200ms);
    builder.end(First, 1, 300ms, RunEndKind::Stopped).end(First, 2, 900ms);
    builder.start(Second, 1, WorkerA, 950ms).end(Second, 1, 1000ms);
    expectOnly(Promise::OnePlace, complete(builder, 1100ms).check());
}

TEST(HistoryCheckerTest, RejectsARunOfARejectedJob)
{
    Builder after;
    after.job(EventKind::Rejected, 10ms).start(First, 1, WorkerA, 100ms).end(First, 1, 200ms);
    expectOnly(Promise::RejectedNeverRuns, after.check());
    Builder before;
    before.start(First, 1, WorkerA, 5ms).job(EventKind::Rejected, 10ms).end(First, 1, 200ms);
    expectOnly(Promise::RejectedNeverRuns, before.check());
}

TEST(HistoryCheckerTest, RejectsMoreWorkThanAWorkerHolds)
{
    auto builder = acceptedJob();
    builder.onlyWorker(true, 1000).start(First, 1, WorkerA, 100ms).start(Second, 1, WorkerA, 120ms);
    builder.end(First, 1, 900ms).end(Second, 1, 1000ms);
    expectOnly(Promise::WithinCapacity, complete(builder, 1100ms).check());
}

TEST(HistoryCheckerTest, RejectsAStandstillBetweenRuns)
{
    auto builder = acceptedJob();
    builder.start(First, 1, WorkerA, 100ms).start(Second, 1, WorkerB, 120ms);
    builder.end(First, 1, 900ms).end(Second, 1, 1000ms);
    const auto verdict = complete(builder, 4001ms).check();
    expectOnly(Promise::NoStandstill, verdict);
    EXPECT_EQ(verdict.longest.front().length, 3001ms);
}

TEST(HistoryCheckerTest, RejectsAStandstillBeforeTheFirstRun)
{
    auto builder = acceptedJob();
    builder.start(First, 1, WorkerA, 3011ms).end(First, 1, 3100ms);
    builder.start(Second, 1, WorkerB, 3110ms).end(Second, 1, 3200ms);
    expectOnly(Promise::NoStandstill, complete(builder, 3300ms).check());
}

TEST(HistoryCheckerTest, RejectsAStandstillUnderWayAtTheEnd)
{
    const auto verdict = acceptedJob().check(5s);
    EXPECT_FALSE(verdict.result(Promise::NoStandstill).violations.empty());
}

TEST(HistoryCheckerTest, AcceptsAStretchOfTheBound)
{
    auto builder = acceptedJob();
    builder.start(First, 1, WorkerA, 3010ms).end(First, 1, 3100ms);
    builder.start(Second, 1, WorkerB, 3110ms).end(Second, 1, 3200ms);
    EXPECT_TRUE(complete(builder, 3300ms).check().isKept());
}

TEST(HistoryCheckerTest, CountsNoStandstillWithoutRoomForTwoTasks)
{
    struct Case
    {
        const char *name;
        bool takesOrders;
        std::int64_t milliCores;
        bool isStandstill;
    };
    for (const auto &it : {Case{"room for two", true, 2000, true}, Case{"room for one", true, 1999, false},
                           Case{"ignores orders", false, 16'000, false}}) {
        auto builder = acceptedJob();
        const auto verdict = builder.onlyWorker(it.takesOrders, it.milliCores).check(5s);
        EXPECT_EQ(!verdict.result(Promise::NoStandstill).violations.empty(), it.isStandstill) << it.name;
    }
}

TEST(HistoryCheckerTest, CountsStandstillsFromTheSettleTimeAfterADisturbance)
{
    struct Case
    {
        const char *name;
        Duration end;
        bool isStandstill;
    };
    // The disturbance ends after 1 s, and it is calm after 11 s.
    for (const auto &it : {Case{"before the bound", 14s, false}, Case{"after the bound", 14001ms, true}}) {
        auto builder = acceptedJob();
        builder.job(EventKind::DisturbanceBegan, 20ms).job(EventKind::DisturbanceEnded, 1s);
        const auto verdict = builder.check(it.end);
        EXPECT_EQ(!verdict.result(Promise::NoStandstill).violations.empty(), it.isStandstill) << it.name;
    }
}

TEST(HistoryCheckerTest, RejectsAHostThatEndsWithoutASignal)
{
    auto builder = goodHistory();
    expectOnly(Promise::HostsStayUp, builder.job(EventKind::HostEnded, 3s).check());
}

// Guards against a soak that takes a crash at a planned stop for the end that was asked for.
TEST(HistoryCheckerTest, RejectsAHostThatCrashesWhenItIsAskedToStop)
{
    auto builder = goodHistory();
    builder.job(EventKind::DisturbanceBegan, 3s).job(EventKind::HostEndedBadly, 4s);
    expectOnly(Promise::HostsStayUp, builder.job(EventKind::DisturbanceEnded, 5s).check());
}

} // namespace monsoonspool::soak
