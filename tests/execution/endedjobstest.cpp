// The rows of jobs that are over.
#include "execution/endedjobremover.h"
#include "execution/testcluster.h"
#include "jobs/names.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace monsoonspool::execution {

using namespace testcluster;

namespace {

std::size_t rowsOf(const Cluster &cluster, std::string_view table, std::uint64_t job)
{
    return static_cast<std::size_t>(std::ranges::count_if(cluster.rows.rows, [&](const auto &it) {
        return it.first.table == table && it.first.key.starts_with(jobs::jobName({job}));
    }));
}

void submitLarge(Cluster &cluster, std::uint64_t key)
{
    AcceptedJob job;
    job.key = {key};
    job.policy.queue = "plans";
    job.policy.service = Service;
    job.policy.maxAttempts = 3;
    job.spec.steps.resize(1);
    job.spec.steps[0].count = jobs::TasksPerSection * 2 + 1;
    job.spec.steps[0].needs = {10, 1, 0};
    job.acceptedAt = cluster.wallNow();
    cluster.host(0).loop->jobRequestHandler().submit(
        std::move(job), cluster.scheduler.now() + 2500ms,
        [&cluster, key](SubmitResult answer) { cluster.answers[key] = answer; });
}

void cancel(Cluster &cluster, int host, std::uint64_t key)
{
    cluster.host(host).loop->jobRequestHandler().cancel({key}, cluster.scheduler.now() + 1s, [](const auto &) {});
}

} // namespace

// Guards against rows that are never removed: each new leader read all jobs that were ever accepted, until it
// exceeded its memory. The state of a job is told for as long as the platform asks for it.
TEST(EndedJobs, RowsAreRemovedOnceNobodyMayAskForThem)
{
    Cluster cluster;
    cluster.scheduler.runFor(2s);
    cluster.taskModel.overrides[{2}] = {20ms, false, {10, 1, 0}};
    cluster.submit(0, 1);
    submitLarge(cluster, 2);
    cluster.submit(1, 3);
    cluster.scheduler.runFor(500ms);
    cancel(cluster, 2, 3);
    cluster.scheduler.runFor(20s);
    EXPECT_EQ(rowsOf(cluster, ProgressTable, 2), 3U);
    cluster.scheduler.runFor(StatusTime - 25s);
    const std::map<std::uint64_t, jobs::JobState> states
        = {{1, jobs::JobState::Completed}, {2, jobs::JobState::Completed}, {3, jobs::JobState::Cancelled}};
    for (const auto &[key, state] : states) {
        SCOPED_TRACE(key);
        EXPECT_EQ(rowsOf(cluster, JobsTable, key), 0U);
        EXPECT_EQ(cluster.status(1, key)->state, state);
        EXPECT_TRUE(cluster.status(1, key)->isKnown);
    }
    cluster.scheduler.runFor(ProgressMargin + 60s);
    for (const auto &[key, state] : states) {
        SCOPED_TRACE(key);
        EXPECT_EQ(rowsOf(cluster, ProgressTable, key), 0U);
        EXPECT_FALSE(cluster.status(1, key)->isKnown);
    }
    EXPECT_EQ(violationsOf(cluster), "");
}

// Guards against a job that is accepted again, and runs twice, by a submission that is repeated or late.
TEST(EndedJobs, ALateSubmissionOfAJobThatIsOverStartsNothing)
{
    Cluster cluster;
    cluster.scheduler.runFor(2s);
    cluster.submit(0, 1);
    cluster.scheduler.runFor(10s);
    ASSERT_EQ(cluster.workers.doneCount({1}), TasksPerJob);
    while (cluster.scheduler.now() < TimePoint(1h) + LatestSubmission) {
        cluster.submit(1, 1);
        cluster.scheduler.runFor(5s);
        EXPECT_EQ(cluster.answers[1], SubmitResult::Accepted);
    }
    EXPECT_EQ(cluster.workers.doneCount({1}), TasksPerJob);
    EXPECT_EQ(violationsOf(cluster), "");
}

// Guards against rows that stay since their leader has ended, or the store did not answer.
TEST(EndedJobs, ALaterLeaderRemovesWhatIsLeft)
{
    Cluster cluster;
    cluster.scheduler.runFor(2s);
    for (std::uint64_t key = 1; key <= 20; ++key) {
        cluster.submit(0, key);
    }
    cluster.scheduler.runFor(8s);
    const int former = cluster.leader();
    cluster.killHost(former);
    cluster.scheduler.runFor(20s);
    const int leader = cluster.leader();
    ASSERT_GE(leader, 0);
    cluster.host(leader).storeFaults.isCut = true;
    cluster.scheduler.runFor(3s);
    cluster.host(leader).storeFaults.isCut = false;
    cluster.scheduler.runFor(ProgressLifetime + 60s);
    for (std::uint64_t key = 1; key <= 20; ++key) {
        EXPECT_EQ(rowsOf(cluster, JobsTable, key), 0U) << key;
        EXPECT_EQ(rowsOf(cluster, ProgressTable, key), 0U) << key;
        EXPECT_EQ(cluster.workers.doneCount({key}), TasksPerJob) << key;
    }
    EXPECT_EQ(violationsOf(cluster), "");
}

// Guards against the removal of a row that has changed, and against one that is lost with its answer.
TEST(EndedJobs, ARemovalRequiresThatTheRowIsUnchanged)
{
    VirtualScheduler scheduler;
    HostFaults faults(1);
    SharedRows rows;
    MemoryChangeStore store(rows, scheduler, faults);
    const codec::CborJobs codec;
    NullLog log;
    std::vector<jobs::JobKey> forgotten;
    EndedJobRemover remover(store, scheduler, codec, log, [&](jobs::JobKey it) { forgotten.push_back(it); });
    jobs::JobProgress progress;
    progress.state = jobs::JobState::Completed;
    const auto write = [&](const RowName &name) {
        return rows.apply({{}, {{name, codec.encode(progress)}}, {}}).version;
    };
    const auto run = [&](Duration d) {
        for (const auto until = scheduler.now() + d; scheduler.now() < until; scheduler.runFor(1s)) {
            remover.removeIfDue(scheduler.now());
        }
    };
    remover.noteOver({1}, write(jobRow({1})), false);
    remover.noteProgress({1}, write(progressRow(jobs::JobKey{1})));
    remover.noteProgress({2}, write(progressRow(jobs::JobKey{2})));
    write(progressRow(jobs::JobKey{2})); // by a late end
    faults.rule = [](std::string_view call, TimePoint now) {
        const bool isLost = call == "commit" && now < TimePoint(1h) + 20s;
        return isLost ? std::optional(Fault{2ms, false, true}) : std::nullopt;
    };
    run(40s);
    EXPECT_FALSE(rows.rows.contains(jobRow({1})));
    EXPECT_EQ(remover.counts().jobRows, 0U);
    run(ProgressLifetime);
    EXPECT_FALSE(rows.rows.contains(progressRow(jobs::JobKey{1})));
    EXPECT_EQ(forgotten, std::vector<jobs::JobKey>{{1}});
    EXPECT_TRUE(rows.rows.contains(progressRow(jobs::JobKey{2}))) << "its age begins again";
    run(ProgressLifetime);
    EXPECT_FALSE(rows.rows.contains(progressRow(jobs::JobKey{2})));
    EXPECT_EQ(remover.counts().progressRows, 0U);
}

} // namespace monsoonspool::execution
