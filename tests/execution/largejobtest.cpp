// Jobs whose progress does not fit into one row of the store.
#include "execution/progresswriter.h"
#include "execution/testcluster.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <limits>
#include <string>

namespace monsoonspool::execution {

using namespace testcluster;

namespace {

constexpr int MaxAttempts = 4;

jobs::JobSpec specOf(int steps, int tasksPerStep)
{
    jobs::JobSpec spec;
    spec.payload = "plan";
    spec.steps.resize(static_cast<std::size_t>(steps));
    for (auto &it : spec.steps) {
        it.count = tasksPerStep;
        it.needs = TaskSize;
        it.estimate = 400ms;
    }
    return spec;
}

void submit(Cluster &cluster, std::uint64_t key, jobs::JobSpec spec)
{
    AcceptedJob job;
    job.key = {key};
    job.policy.queue = "plans";
    job.policy.service = Service;
    job.policy.maxAttempts = MaxAttempts;
    job.spec = std::move(spec);
    job.acceptedAt = cluster.wallNow();
    cluster.host(0).loop->jobRequestHandler().submit(
        std::move(job), cluster.scheduler.now() + 2500ms,
        [&cluster, key](SubmitResult answer) { cluster.answers[key] = answer; });
}

void noteFailures(jobs::Job &job, const jobs::TaskId &task, int count)
{
    for (int n = 0; n < count; ++n) {
        const auto run = static_cast<jobs::RunNumber>(std::numeric_limits<std::int32_t>::max()) + n;
        job.noteRunEnd(task, run, jobs::RunEnd::Failed, {}, MaxAttempts, TimePoint(1h));
    }
}

} // namespace

// Guards against a job whose progress does not fit into a row: the ends of its runs stayed
// unacknowledged, until the workers listed no other ends and nothing was started any more.
TEST(LargeJob, ALargeJobDoesNotStopTheWorkOfOthers)
{
    Cluster cluster;
    cluster.scheduler.runFor(2s);
    cluster.taskModel.overrides[{1}] = {50ms, false, TaskSize};
    submit(cluster, 1, specOf(14, jobs::MaxTasksPerStep));
    cluster.scheduler.runFor(12s);
    ASSERT_EQ(cluster.answers[1], SubmitResult::Accepted);
    for (std::uint64_t key = 10; key < 15; ++key) {
        cluster.submit(static_cast<int>(key % HostCount), key);
    }
    cluster.scheduler.runFor(6s);
    for (std::uint64_t key = 10; key < 15; ++key) {
        EXPECT_EQ(cluster.workers.doneCount({key}), TasksPerJob) << key;
        EXPECT_EQ(cluster.status(0, key)->state, jobs::JobState::Completed) << key;
    }
    EXPECT_EQ(violationsOf(cluster), "");
}

// Guards against sections of progress that are not stored, or are read as those of another task.
TEST(LargeJob, ANewLeaderStartsNoTaskOfALargeJobAgain)
{
    constexpr int steps = 2;
    constexpr int tasksPerStep = 1300; // sections hold parts of both steps
    Cluster cluster;
    cluster.scheduler.runFor(2s);
    cluster.taskModel.overrides[{1}] = {50ms, false, TaskSize};
    submit(cluster, 1, specOf(steps, tasksPerStep));
    cluster.scheduler.runFor(1500ms);
    const auto doneBefore = cluster.workers.doneCount({1});
    EXPECT_GT(doneBefore, 0);
    EXPECT_LT(doneBefore, steps * tasksPerStep);
    cluster.killHost(cluster.leader());
    cluster.scheduler.runFor(60s);
    EXPECT_EQ(cluster.workers.doneCount({1}), steps * tasksPerStep);
    EXPECT_EQ(violationsOf(cluster), "");
    const int survivor = cluster.leader();
    ASSERT_GE(survivor, 0);
    EXPECT_EQ(cluster.status(survivor, 1)->state, jobs::JobState::Completed);
}

// Guards against accepting a job, and against retrying its submission, that no row can hold.
TEST(LargeJob, AJobThatIsLargerThanARowIsRejectedAtOnce)
{
    Cluster cluster;
    cluster.scheduler.runFor(2s);
    auto spec = specOf(1, 1);
    spec.payload.assign(cluster.host(0).store.maxValueSize(), 'x');
    submit(cluster, 1, std::move(spec));
    EXPECT_EQ(cluster.answers[1], SubmitResult::Invalid);
    cluster.scheduler.runFor(5s);
    EXPECT_FALSE(cluster.status(1, 1)->isKnown);
}

// Guards against a limit on progress that some valid job exceeds.
TEST(LargeJob, EachSectionFitsIntoARow)
{
    const codec::CborJobs codec;
    const Cluster cluster;
    struct Case
    {
        std::string_view name;
        int steps;
        int tasksPerStep;
        int occurrences;
        bool isFailing;
    };
    for (const auto &it : {Case{"most steps and tasks", jobs::MaxSteps, jobs::MaxTasksPerStep, 0, false},
                           Case{"tasks that failed", 2, jobs::MaxTasksPerStep, 0, true},
                           Case{"many overdue occurrences", 3, 2, jobs::MaxOccurrences, false}}) {
        SCOPED_TRACE(it.name);
        auto spec = specOf(it.steps, it.tasksPerStep);
        spec.occurrences = it.occurrences;
        const auto tasks = static_cast<std::int64_t>(it.steps) * it.tasksPerStep * spec.occurrenceCount();
        jobs::Job job({7}, spec, "plans", TimePoint(1h));
        job.openDueOccurrences(jobs::WallTime(1h));
        if (it.isFailing) {
            for (int n = 0; n < it.tasksPerStep; ++n) {
                noteFailures(job, {{7}, 0, 0, n}, MaxAttempts - 1);
            }
        }
        const auto sections = (tasks + jobs::TasksPerSection - 1) / jobs::TasksPerSection;
        jobs::Job restored({7}, spec, "plans", TimePoint(1h));
        std::size_t largest = 0;
        for (int n = 0; n < sections; ++n) {
            largest = std::max(largest, codec.encode(job.progress(n)).size());
            restored.restore(job.progress(n));
        }
        EXPECT_LE(largest, cluster.hosts.front()->store.maxValueSize());
        EXPECT_EQ(restored.progress(), job.progress());
    }
}

// Guards against a gang of which a new leader knows some members as done and starts the others.
TEST(LargeJob, AGangIsDoneAlsoIfOneOfItsSectionsIsStored)
{
    auto spec = specOf(1, jobs::TasksPerSection * 2 + 500);
    spec.steps[0].isGang = true;
    jobs::Job job({7}, spec, "plans", TimePoint(1h));
    const jobs::TaskId member{{7}, 0, 0, jobs::TasksPerSection + 1};
    EXPECT_EQ(job.sectionsOf(member), (std::vector<int>{0, 1, 2}));
    EXPECT_TRUE(job.noteRunEnd(member, 1, jobs::RunEnd::Done, {}, MaxAttempts, TimePoint(1h)));
    jobs::Job successor({7}, spec, "plans", TimePoint(1h));
    successor.restore(job.progress(2));
    EXPECT_EQ(successor.state(), jobs::JobState::Completed);
}

// Guards against a job that holds up the acknowledgements of all others if its progress does not fit
// into rows for another reason: its tasks fail so often that their failures exceed a row.
TEST(LargeJob, AJobWhoseProgressDoesNotFitIsGivenUp)
{
    constexpr int failuresPerTask = 15;
    constexpr jobs::RunNumber firstRun = 1UL << 40; // takes nine bytes
    const WorkerId worker("w0");
    VirtualScheduler scheduler;
    NoFaults noFaults;
    SharedRows rows;
    MemoryChangeStore store(rows, scheduler, noFaults);
    const codec::CborJobs codec;
    NullLog log;
    Fleet fleet(log);
    fleet.beginTerm({1}, rows.apply({{}, {{progressOwnerRow("0"), {}}}, {}}).version, {}, scheduler.now(),
                    scheduler.now());
    ProgressWriter writer(store, scheduler, codec, fleet, log, rows.version, [] { FAIL() << "fenced"; });
    for (const std::uint64_t key : {1, 2}) {
        AcceptedJob job;
        job.key = {key};
        job.policy.maxAttempts = failuresPerTask + 1;
        job.spec = specOf(1, key == 1 ? jobs::TasksPerSection : 1);
        fleet.addJob(std::move(job), scheduler.now(), {});
    }
    WorkerListing listing;
    for (int n = 0; n < jobs::TasksPerSection; ++n) {
        for (int run = 0; run < failuresPerTask; ++run) {
            const auto number = static_cast<std::int64_t>(listing.ended.size()) + 1;
            listing.ended.push_back({number, {{1}, 0, 0, n}, firstRun + run, jobs::RunEnd::Failed, {}});
        }
    }
    const auto lastEnd = static_cast<std::int64_t>(listing.ended.size()) + 1;
    listing.ended.push_back({lastEnd, {{2}, 0, 0, 0}, 1, jobs::RunEnd::Done, {}});
    WorkerEntry entry;
    entry.id = worker;
    fleet.updateWorker(entry, scheduler.now());
    fleet.applyListing(worker, listing, scheduler.now(), scheduler.now());
    writer.requestWrite();
    scheduler.runFor(1s);

    const auto stored = [&](std::uint64_t key) {
        return codec.decodeProgress(rows.rows.at(progressRow(jobs::JobKey{key})).value).value().state;
    };
    EXPECT_EQ(stored(1), jobs::JobState::Failed);
    EXPECT_EQ(stored(2), jobs::JobState::Completed);
    EXPECT_EQ(fleet.leaseOrder(worker, scheduler.now()).acknowledgedEnd, lastEnd);
    jobs::Job successor({1}, specOf(1, jobs::TasksPerSection), "plans", scheduler.now());
    successor.restore(codec.decodeProgress(rows.rows.at(progressRow(jobs::JobKey{1})).value).value());
    EXPECT_FALSE(successor.isOpen());
}

// Guards against failing a job because its checkpoints do not fit into a row: they, and the workers that a
// task avoids, are left out before anything else.
TEST(LargeJob, CheckpointsNeverCostAJob)
{
    constexpr int tasks = jobs::TasksPerSection;
    const codec::CborJobs codec;
    for (const std::size_t length : {8UL, 200UL, 70000UL}) {
        jobs::Job job({1}, specOf(1, tasks), "plans", TimePoint(1h));
        for (int n = 0; n < tasks; ++n) {
            const jobs::TaskId task{{1}, 0, 0, n};
            job.noteAvoidedWorker(task, WorkerId("worker-" + std::to_string(n)));
            EXPECT_TRUE(
                job.noteRunEnd(task, 1, jobs::RunEnd::Stopped, std::string(length, 'c'), MaxAttempts, TimePoint(1h)));
        }
        auto progress = job.progress(0);
        const auto &stored = progress.occurrences.front().front();
        EXPECT_EQ(stored.checkpoints.size(), std::min(tasks, static_cast<int>(jobs::MaxOptionalBytes / (length + 16))));
        EXPECT_FALSE(stored.avoidedWorkers.empty());
        EXPECT_LE(codec.encode(progress).size(), 2 * jobs::MaxOptionalBytes + 8192);
        progress.dropOptionalParts();
        EXPECT_LE(codec.encode(progress).size(), 2 * jobs::TasksPerSection);
    }
}

// Guards against a job that is given up because it is stored with checkpoints beside many failures.
TEST(LargeJob, CheckpointsBesideManyFailuresAreLeftOut)
{
    Cluster cluster;
    cluster.scheduler.runFor(2s);
    NullLog log;
    Fleet fleet(log);
    fleet.beginTerm({1}, 0, {}, cluster.scheduler.now(), cluster.scheduler.now());
    AcceptedJob accepted;
    accepted.key = {1};
    accepted.policy.maxAttempts = 100;
    accepted.spec = specOf(1, jobs::TasksPerSection);
    fleet.addJob(std::move(accepted), cluster.scheduler.now(), cluster.wallNow());
    jobs::JobProgress stored;
    auto &step = stored.occurrences.emplace_back().emplace_back();
    step.tasks.assign(jobs::TasksPerSection, jobs::StepProgress::OpenMark);
    for (int n = 0; n < jobs::TasksPerSection; ++n) {
        step.failedRuns[n].assign(5, std::numeric_limits<std::uint64_t>::max());
        for (auto &it : step.failedRuns[n]) {
            it -= static_cast<std::uint64_t>(&it - step.failedRuns[n].data());
        }
        step.checkpoints[n] = {1, "0123456789"};
        step.avoidedWorkers[n] = {WorkerId("worker-1")};
    }
    fleet.restoreProgress({1}, stored);
    auto &store = cluster.host(0).store;
    const auto whole = cluster.codec.encode(fleet.find({1})->progress(0));
    ASSERT_GT(whole.size(), store.maxValueSize());
    int fenced = 0;
    ProgressWriter writer(store, cluster.scheduler, cluster.codec, fleet, log, 0, [&] { ++fenced; });
    fleet.markChanged(jobs::ProgressSection{{1}, 0});
    writer.requestWrite();
    cluster.scheduler.runFor(100ms);
    EXPECT_TRUE(fleet.find({1})->isOpen());
}

} // namespace monsoonspool::execution
