#include "execution/testcluster.h"

#include <gtest/gtest.h>

namespace monsoonspool::execution {

using namespace testcluster;

namespace {

// Two steps of one task each, of which the second needs the first. A task may fail twice.
class CheckedTaskModel : public ports::memory::TaskModel
{
public:
    CheckedTaskModel()
    {
        m_spec.steps.resize(2);
        m_spec.steps[1].after = {0};
    }
    TaskProfile profile(const jobs::TaskId &) const override
    {
        return {200ms, fails, TaskSize, crashesWorkerAfter};
    }
    const jobs::JobSpec *spec(jobs::JobKey) const override
    {
        return &m_spec;
    }
    int maxAttempts(jobs::JobKey) const override
    {
        return 2;
    }

    bool fails = false;
    std::optional<Duration> crashesWorkerAfter;

private:
    jobs::JobSpec m_spec;
};

// Histories that the checker must reject, and similar ones that it must accept.
class SimulatedWorkersTest : public testing::Test
{
protected:
    SimulatedWorkersTest() : workers(scheduler, model)
    {
        for (const char *name : {"w0", "w1"}) {
            WorkerEntry entry;
            entry.id = WorkerId(name);
            entry.capacity = {4000, 4000, 0};
            entry.startTimeMs = 1;
            workers.addWorker(entry);
        }
    }

    ports::StartResult start(const char *worker, jobs::RunNumber run, int step = 0, WorkerMillis deadline = 2000)
    {
        return workers.start(WorkerId(worker), {{1}, {{7}, 0, step, 0}, run, {}, {}, {}, deadline}).value();
    }
    ports::AsyncResult<ports::WorkerListing> renew(const char *worker, std::int64_t acknowledgedEnd,
                                                   WorkerMillis deadline = 2000)
    {
        return workers.renew(WorkerId(worker), {{1}, acknowledgedEnd, deadline, {}});
    }
    std::string violations() const
    {
        std::string text;
        for (const auto &it : workers.violations()) {
            text += it.rule + ";";
        }
        return text;
    }

    using WorkerMillis = ports::WorkerMillis;
    VirtualScheduler scheduler;
    CheckedTaskModel model;
    SimulatedWorkers workers;
};

} // namespace

// Checks that the violation checker detects a task that runs on two workers.
TEST(SimulatedWorkers, ReportATaskThatRunsOnTwoWorkers)
{
    Cluster cluster;
    const RunOrder order{{1}, {{7}, 0, 0, 0}, 1, {}, {}, {}, 100000};
    cluster.workers.start(WorkerId("w0"), order);
    EXPECT_TRUE(cluster.workers.violations().empty());
    cluster.workers.start(WorkerId("w1"), order);
    ASSERT_EQ(cluster.workers.violations().size(), 1U);
    EXPECT_EQ(cluster.workers.violations().front().rule, "runs twice");
}

TEST_F(SimulatedWorkersTest, AcceptAStartAfterTheFormerWorkerCrashed)
{
    start("w0", 1);
    workers.crash(WorkerId("w0"));
    start("w1", 2);
    EXPECT_EQ(violations(), "");
}

TEST_F(SimulatedWorkersTest, ReportASecondRunOnTheSameWorker)
{
    start("w0", 1);
    start("w0", 2);
    EXPECT_EQ(violations(), "runs twice;");
}

TEST_F(SimulatedWorkersTest, ReportAStartAfterAnAcknowledgedEnd)
{
    start("w0", 1);
    scheduler.runFor(300ms);
    renew("w0", 1);
    EXPECT_EQ(violations(), "");
    start("w1", 2);
    EXPECT_EQ(violations(), "started after it was done;");
}

TEST_F(SimulatedWorkersTest, ReportAStartBeforeTheEndIsAcknowledged)
{
    start("w0", 1);
    scheduler.runFor(300ms);
    start("w1", 2);
    EXPECT_EQ(violations(), "") << "the end may never be acknowledged";
    renew("w0", 1);
    EXPECT_EQ(violations(), "started after it was done;");
    renew("w0", 1);
    EXPECT_EQ(violations(), "started after it was done;") << "reported once";
}

TEST_F(SimulatedWorkersTest, AcceptAStartIfTheLeaseExpiredBeforeTheAcknowledgement)
{
    start("w0", 1);
    scheduler.runFor(3s);
    start("w1", 2, 0, 6000);
    renew("w0", 1, 6000);
    EXPECT_EQ(violations(), "");
}

TEST_F(SimulatedWorkersTest, ReportAnEndThatIsAcknowledgedWithTheNumberOfAFormerProcess)
{
    workers.restart(WorkerId("w0"), 2);
    start("w0", 1);
    scheduler.runFor(300ms);
    EXPECT_TRUE(renew("w0", 100).value().ended.empty());
    start("w1", 2);
    EXPECT_EQ(violations(), "started after it was done;");
}

TEST_F(SimulatedWorkersTest, ReportAStartAfterTheLastAttempt)
{
    model.fails = true;
    for (jobs::RunNumber run = 1; run <= 2; ++run) {
        start("w0", run);
        scheduler.runFor(300ms);
    }
    EXPECT_EQ(renew("w0", 2, 6000).value().clock, 600);
    EXPECT_EQ(violations(), "");
    start("w1", 3);
    EXPECT_EQ(violations(), "started after its last attempt;");
}

TEST_F(SimulatedWorkersTest, ReportATaskThatStartsThreeTimesAfterItCrashedThreeWorkers)
{
    model.crashesWorkerAfter = 10ms;
    workers.setCrashDowntime(10ms);
    for (jobs::RunNumber run = 1; run <= 6; ++run) {
        EXPECT_EQ(violations(), "") << "run " << run;
        start("w0", run);
        scheduler.runFor(50ms);
    }
    EXPECT_EQ(violations(), "started again and again after it crashed workers;");
}

TEST_F(SimulatedWorkersTest, ReportAStepThatStartsBeforeAnEarlierStepIsDone)
{
    start("w0", 1, 1);
    EXPECT_EQ(violations(), "started before an earlier step was done;");
}

TEST_F(SimulatedWorkersTest, AcceptAStepThatStartsAfterTheEarlierStep)
{
    start("w0", 1);
    scheduler.runFor(200ms);
    start("w0", 1, 1);
    EXPECT_EQ(violations(), "");
}

TEST_F(SimulatedWorkersTest, ReportAStartAfterTheCancellation)
{
    workers.checker().noteCancelled({7}, scheduler.now() + 100ms);
    start("w0", 1);
    EXPECT_EQ(violations(), "");
    scheduler.runFor(300ms);
    start("w0", 2);
    EXPECT_EQ(violations(), "started after its cancellation;");
}

TEST_F(SimulatedWorkersTest, ReportAWorkerOverItsCapacity)
{
    for (int job = 1; job <= 3; ++job) {
        const RunOrder order{{1}, {{static_cast<std::uint64_t>(job)}, 0, 0, 0}, 1, {}, {}, {}, 2000};
        workers.start(WorkerId("w0"), order);
    }
    EXPECT_EQ(violations(), "over capacity;");
}

TEST_F(SimulatedWorkersTest, ARestartedWorkerAcceptsADeadlineOfTheFormerClockAndShortensIt)
{
    scheduler.runFor(60s);
    workers.restart(WorkerId("w0"), 2);
    EXPECT_EQ(start("w0", 1, 0, 62000), ports::StartResult::Accepted);
    scheduler.runFor(100ms);
    EXPECT_EQ(renew("w0", 0, 62000).value().running.size(), 1U);
    start("w0", 1, 1, 62000);
    scheduler.runFor(11s);
    EXPECT_EQ(renew("w0", 0, 62000).value().ended.size(), 2U);
    start("w1", 2, 0, 200000);
    renew("w0", 2, 62000);
    EXPECT_EQ(violations(), "started before an earlier step was done;")
        << "only of the second step; the lease of the first run's end has expired after 10 s";
}

TEST_F(SimulatedWorkersTest, OneListingHasAtMost500Ends)
{
    for (int n = 0; n < 600; ++n) {
        const RunOrder order{{1}, {{static_cast<std::uint64_t>(n)}, 0, 0, 0}, 1, {}, {}, {}, 1000000};
        workers.start(WorkerId("w0"), order);
        scheduler.runFor(200ms);
    }
    EXPECT_EQ(renew("w0", 0, 1000000).value().ended.size(), 500U);
    EXPECT_EQ(renew("w0", 500, 1000000).value().ended.size(), 100U);
}

// A long poll answers as soon as a run ends, and otherwise after its wait.
TEST_F(SimulatedWorkersTest, ALongPollWaitsForTheNextEnd)
{
    start("w0", 1);
    int endsListed = -1;
    workers.poll(WorkerId("w0"), {{1}, 0, 2000, 1500ms},
                 [&](const auto &result) { endsListed = static_cast<int>(result.value().ended.size()); });
    scheduler.runFor(199ms);
    EXPECT_EQ(endsListed, -1);
    scheduler.runFor(1ms);
    EXPECT_EQ(endsListed, 1);
    endsListed = -1;
    workers.poll(WorkerId("w1"), {{1}, 0, 2000, 1500ms},
                 [&](const auto &result) { endsListed = static_cast<int>(result.value().ended.size()); });
    scheduler.runFor(1499ms);
    EXPECT_EQ(endsListed, -1);
    scheduler.runFor(1ms);
    EXPECT_EQ(endsListed, 0);
}

} // namespace monsoonspool::execution
