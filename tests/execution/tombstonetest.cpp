// Tombstones of jobs that were cancelled before they were accepted: who may write them, and when they
// are removed.
#include "execution/testcluster.h"
#include "execution/tombstoneremover.h"
#include "jobs/names.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

namespace monsoonspool::execution {

using namespace testcluster;

namespace {

constexpr TimePoint Start{1h};
// Between two plans of a leader, at most; and until a removal is carried out.
constexpr Duration Slack = 1500ms;

// Counts the commits of one store.
class CommitCounter : public FaultPlan
{
public:
    Fault next(std::string_view call, std::uint64_t, TimePoint now) override
    {
        if (call == "commit") {
            commits.push_back(now);
        }
        return {2ms, isRefused, isReplyLost};
    }
    std::vector<TimePoint> commits;
    bool isRefused = false;
    bool isReplyLost = false;
};

// A remover with a store of its own.
class RemoverTest : public testing::Test
{
protected:
    // Writes the tombstone of a job as a host does.
    std::uint64_t write(jobs::JobKey key, std::uint64_t expectedVersion = 0)
    {
        jobs::JobProgress progress;
        progress.state = jobs::JobState::Cancelled;
        progress.isAccepted = false;
        const auto result = rows.apply({{{progressRow(key), expectedVersion}},
                                        {{progressRow(key), codec.encode(progress)}, {tombstoneRow(key), {}}},
                                        {}});
        EXPECT_TRUE(result.isApplied);
        return result.version;
    }
    void run(Duration time)
    {
        constexpr Duration interval = 150ms;
        for (const auto until = scheduler.now() + time; scheduler.now() < until;) {
            remover.removeIfDue(scheduler.now());
            scheduler.runFor(interval);
        }
    }
    bool isStored(jobs::JobKey key) const
    {
        EXPECT_EQ(rows.rows.contains(progressRow(key)), rows.rows.contains(tombstoneRow(key)));
        return rows.rows.contains(progressRow(key));
    }

    VirtualScheduler scheduler;
    SharedRows rows;
    CommitCounter calls;
    MemoryChangeStore store{rows, scheduler, calls};
    codec::CborJobs codec;
    NullLog log;
    TombstoneRemover remover{store, scheduler, codec, log};
};

int storedTombstones(const Cluster &cluster)
{
    return static_cast<int>(std::ranges::count_if(
        cluster.rows.rows, [](const auto &it) { return jobOfTombstoneKey(it.first.key).has_value(); }));
}

std::optional<AsyncResult<JobStatus>> cancel(Cluster &cluster, int host, std::uint64_t key)
{
    std::optional<AsyncResult<JobStatus>> answer;
    cluster.host(host).loop->jobRequestHandler().cancel({key}, cluster.scheduler.now() + 1s,
                                                        [&](const auto &result) { answer = result; });
    cluster.scheduler.runFor(20ms);
    return answer;
}

bool isUnknown(const std::optional<AsyncResult<JobStatus>> &answer)
{
    return answer && answer->isOk() && !answer->value().isKnown;
}

} // namespace

// Guards against a tombstone that is removed while a submission may still reach the store.
TEST(TombstoneSchedule, ATombstoneIsDueOnceItsLifetimeIsOver)
{
    TombstoneSchedule schedule;
    EXPECT_TRUE(schedule.takeDue(Start).empty());
    schedule.noteRead({7}, 10, Start);
    schedule.noteRead({7}, 10, Start + 60s);
    EXPECT_TRUE(schedule.takeDue(Start + TombstoneLifetime - 1ms).empty()) << "read again, with the same version";
    const auto due = schedule.takeDue(Start + TombstoneLifetime);
    ASSERT_EQ(due.size(), 1);
    EXPECT_EQ(due[0].job, jobs::JobKey{7});
    EXPECT_EQ(due[0].version, 10);
    schedule.noteRemovalEnded();
    schedule.noteRemoved({7}, 12);
    EXPECT_EQ(schedule.size(), 0);
}

// A later cancellation was answered because of the row, so that it must last as long again.
TEST(TombstoneSchedule, AnotherCancellationBeginsTheLifetimeAgain)
{
    TombstoneSchedule schedule;
    schedule.noteRead({7}, 10, Start);
    schedule.noteRead({7}, 11, Start + 60s);
    schedule.noteRemoved({7}, 10);
    EXPECT_TRUE(schedule.takeDue(Start + TombstoneLifetime).empty());
    const auto due = schedule.takeDue(Start + 60s + TombstoneLifetime);
    ASSERT_EQ(due.size(), 1);
    EXPECT_EQ(due[0].version, 11);
}

// The store's calls are priced, and a commit over several parts costs more.
TEST(TombstoneSchedule, RemovesBatchesOfOnePartAtABoundedRate)
{
    TombstoneSchedule schedule;
    constexpr std::uint64_t partStep = std::uint64_t(1) << 62;
    constexpr int count = 100;
    for (std::uint64_t n = 0; n < count; ++n) {
        schedule.noteRead({n % 2 * partStep + n}, n + 1, Start);
    }
    int removed = 0;
    std::vector<TimePoint> calls;
    for (auto now = Start + TombstoneLifetime; schedule.size() > 0 && calls.size() < count; now += 10ms) {
        const auto due = schedule.takeDue(now);
        if (due.empty()) {
            continue;
        }
        EXPECT_TRUE(schedule.takeDue(now + 1h).empty()) << "while a removal is under way";
        EXPECT_LE(due.size(), TombstonesPerRemoval);
        for (const auto &it : due) {
            EXPECT_EQ(partOf(it.job), partOf(due[0].job));
            schedule.noteRemoved(it.job, count + 1);
        }
        schedule.noteRemovalEnded();
        removed += static_cast<int>(due.size());
        calls.push_back(now);
    }
    EXPECT_EQ(removed, count);
    EXPECT_EQ(calls.size(), 4);
    for (std::size_t n = 1; n < calls.size(); ++n) {
        EXPECT_GE(calls[n] - calls[n - 1], TombstoneRemovalInterval);
    }
}

// Guards against clients that fill the store with cancellations of jobs that do not exist.
TEST(TombstoneLimiter, BoundsWhatOneHostWrites)
{
    TombstoneLimiter limiter;
    int taken = 0;
    for (int n = 0; n < 2 * TombstoneBurst; ++n) {
        taken += limiter.take(Start) ? 1 : 0;
    }
    EXPECT_EQ(taken, TombstoneBurst);
    EXPECT_EQ(limiter.counts().refusedByRate, TombstoneBurst);
    for (auto now = Start; now < Start + 10s; now += 10ms) {
        taken += limiter.take(now) ? 1 : 0;
    }
    EXPECT_NEAR(taken, TombstoneBurst + 10 * TombstonesPerSecond, 1);
    limiter.giveBack();
    EXPECT_TRUE(limiter.take(Start + 10s));
}

TEST(TombstoneLimiter, BoundsWhatAllHostsWrite)
{
    TombstoneLimiter limiter;
    limiter.recordStored(MaxTombstones - 1);
    EXPECT_TRUE(limiter.take(Start));
    limiter.recordStored(MaxTombstones);
    EXPECT_FALSE(limiter.take(Start));
    EXPECT_EQ(limiter.counts().refusedByTotal, 1);
    limiter.recordStored(MaxTombstones - 1);
    EXPECT_TRUE(limiter.take(Start));
}

TEST_F(RemoverTest, CallsTheStoreOnlyIfThereIsSomethingToRemove)
{
    run(10s);
    remover.noteRead({7}, write({7}));
    run(TombstoneLifetime - 1s);
    EXPECT_TRUE(calls.commits.empty());
    EXPECT_TRUE(isStored({7}));
    run(10s);
    EXPECT_EQ(calls.commits.size(), 1);
    EXPECT_FALSE(isStored({7}));
    EXPECT_EQ(remover.counts(scheduler.now()).removed, 1);
    EXPECT_EQ(remover.counts(scheduler.now()).stored, 0);
}

// Guards against a removal that takes away a later tombstone, which the batch has met in the store, and
// against one that cannot be removed because another of its batch has changed.
TEST_F(RemoverTest, RemovesNoRowThatHasChanged)
{
    const auto version = write({7});
    remover.noteRead({7}, version);
    remover.noteRead({8}, write({8}));
    remover.noteRead({9}, write({9}));
    run(TombstoneLifetime - 1s);
    write({7}, version); // not read yet
    rows.apply({{}, {}, {progressRow(jobs::JobKey{8}), tombstoneRow({8})}});
    run(5s);
    EXPECT_TRUE(isStored({7}));
    EXPECT_FALSE(isStored({9}));
    EXPECT_EQ(remover.counts(scheduler.now()).stored, 1);
    run(TombstoneLifetime);
    EXPECT_FALSE(isStored({7}));
    EXPECT_EQ(remover.counts(scheduler.now()).stored, 0);
}

TEST_F(RemoverTest, GoesOnAfterAnOutageOfTheStore)
{
    for (const bool isReplyLost : {false, true}) {
        SCOPED_TRACE(isReplyLost);
        remover.noteRead({7}, write({7}));
        run(TombstoneLifetime - 1s);
        calls.commits.clear();
        (isReplyLost ? calls.isReplyLost : calls.isRefused) = true;
        run(10s);
        EXPECT_EQ(isStored({7}), !isReplyLost);
        EXPECT_LE(calls.commits.size(), 9);
        calls.isReplyLost = calls.isRefused = false;
        run(3s);
        EXPECT_FALSE(isStored({7}));
        EXPECT_EQ(remover.counts(scheduler.now()).stored, 0);
    }
}

// Guards against a submission that reaches the store late, and against tombstones that are kept for good.
TEST(Tombstone, IsRemovedWhenNoSubmissionCanBeUnderWayAnyMore)
{
    Cluster cluster;
    cluster.scheduler.runFor(2s);
    ASSERT_TRUE(isUnknown(cancel(cluster, 1, 7)));
    const auto answeredAt = cluster.scheduler.now();
    EXPECT_EQ(storedTombstones(cluster), 1);
    const auto progress
        = cluster.codec.decodeProgress(cluster.rows.rows.at(progressRow(jobs::JobKey{7})).value).value();
    EXPECT_TRUE(progress.cancelledAt);

    cluster.scheduler.runFor(answeredAt + LatestSubmission - cluster.scheduler.now());
    cluster.submit(0, 7);
    cluster.scheduler.runFor(3s);
    EXPECT_EQ(cluster.answers[7], SubmitResult::Cancelled);

    cluster.scheduler.runFor(answeredAt + TombstoneLifetime - 1s - cluster.scheduler.now());
    EXPECT_EQ(storedTombstones(cluster), 1);
    cluster.scheduler.runFor(1s + Slack);
    EXPECT_EQ(storedTombstones(cluster), 0);
    EXPECT_FALSE(cluster.rows.rows.contains(progressRow(jobs::JobKey{7})));
    EXPECT_EQ(cluster.host(cluster.leader()).loop->summary().tombstones.removed, 1);
    EXPECT_EQ(cluster.workers.startCount(), 0);

    cluster.submit(0, 7); // a new job of that name
    cluster.scheduler.runFor(4s);
    EXPECT_EQ(cluster.answers[7], SubmitResult::Accepted);
    EXPECT_EQ(cluster.workers.doneCount({7}), TasksPerJob);
}

// Guards against a job that runs because the tombstone by which its cancellation was answered was an old
// one, and removed a moment later.
TEST(Tombstone, ALaterCancellationKeepsTheJobOutAsLong)
{
    Cluster cluster;
    cluster.scheduler.runFor(2s);
    ASSERT_TRUE(isUnknown(cancel(cluster, 1, 7)));
    cluster.scheduler.runFor(TombstoneLifetime - 2s);
    ASSERT_TRUE(isUnknown(cancel(cluster, 2, 7)));
    cluster.scheduler.runFor(LatestSubmission);
    cluster.submit(0, 7);
    cluster.scheduler.runFor(3s);
    EXPECT_EQ(cluster.answers[7], SubmitResult::Cancelled);
    EXPECT_EQ(cluster.workers.startCount(), 0);
    cluster.scheduler.runFor(TombstoneLifetime);
    EXPECT_EQ(storedTombstones(cluster), 0);
}

// Guards against rows that nobody removes after the leader that knew them has ended, and against rows
// that a new leader takes for older than they are.
TEST(Tombstone, ASuccessorContinuesTheRemoval)
{
    constexpr int count = 200;
    Cluster cluster;
    cluster.scheduler.runFor(2s);
    for (std::uint64_t n = 1; n <= count; ++n) {
        ASSERT_TRUE(isUnknown(cancel(cluster, static_cast<int>(n) % HostCount, n)));
    }
    cluster.scheduler.runFor(TombstoneLifetime - 2s);
    const int former = cluster.leader();
    ASSERT_GE(former, 0);
    cluster.scheduler.runFor(1s);
    const int left = storedTombstones(cluster);
    EXPECT_GT(left, 0);
    EXPECT_LT(left, count);
    cluster.killHost(former);
    cluster.scheduler.runFor(10s);
    ASSERT_GE(cluster.leader(), 0);
    EXPECT_EQ(storedTombstones(cluster), left);
    EXPECT_EQ(cluster.host(cluster.leader()).loop->summary().tombstones.stored, left);
    cluster.scheduler.runFor(TombstoneLifetime);
    EXPECT_EQ(storedTombstones(cluster), 0);
}

// A release without expiry has written only the progress row, and no time.
TEST(Tombstone, ThatOfAnEarlierReleaseIsRemovedAsWell)
{
    Cluster cluster;
    jobs::JobProgress progress;
    progress.state = jobs::JobState::Cancelled;
    progress.isAccepted = false;
    cluster.put(progressRow(jobs::JobKey{7}), cluster.codec.encode(progress));
    cluster.scheduler.runFor(2s);
    ASSERT_GE(cluster.leader(), 0);
    cluster.scheduler.runFor(TombstoneLifetime - 3s);
    EXPECT_TRUE(cluster.rows.rows.contains(progressRow(jobs::JobKey{7})));
    cluster.scheduler.runFor(5s);
    EXPECT_FALSE(cluster.rows.rows.contains(progressRow(jobs::JobKey{7})));
}

// An earlier release reads the rows as well: the progress row as that of a cancelled job that was never
// accepted, the other one as none of a job.
TEST(Tombstone, ItsRowsAreReadableByAnEarlierRelease)
{
    EXPECT_FALSE(jobOfKey(tombstoneRow({7}).key));
    EXPECT_FALSE(isCancelKey(tombstoneRow({7}).key));
    EXPECT_EQ(jobOfTombstoneKey(tombstoneRow({7}).key), jobs::JobKey{7});
    EXPECT_FALSE(jobOfTombstoneKey(jobRow({7}).key));
    EXPECT_FALSE(jobOfTombstoneKey(cancelRow({7}).key));
    EXPECT_FALSE(jobOfTombstoneKey("tombstone/"));

    codec::CborJobs codec;
    jobs::JobProgress progress;
    progress.state = jobs::JobState::Cancelled;
    progress.isAccepted = false;
    const auto former = codec.encode(progress);
    EXPECT_EQ(codec.decodeProgress(former).value(), progress);
    progress.cancelledAt = jobs::WallTime(1700000000123ms);
    const auto decoded = codec.decodeProgress(codec.encode(progress)).value();
    EXPECT_EQ(decoded, progress);

    membership::LeaderRow row;
    const auto withoutTombstones = codec.encode(row);
    EXPECT_EQ(codec.decodeLeader(withoutTombstones).value().tombstones, 0);
    row.tombstones = 5;
    EXPECT_EQ(codec.decodeLeader(codec.encode(row)).value().tombstones, 5);
}

// Guards against any number of rows that clients invent, and against cancellations that are answered as
// done without a row. Cancellations of stored jobs are not bounded.
TEST(Tombstone, BeyondTheBoundACancellationIsNotAnsweredAsDone)
{
    Cluster cluster;
    cluster.scheduler.runFor(2s);
    constexpr std::uint64_t jobCount = 300;
    constexpr std::uint64_t first = 1000;
    for (std::uint64_t n = 1; n <= jobCount; ++n) {
        cluster.submit(0, n);
    }
    cluster.scheduler.runFor(500ms);
    int done = 0;
    int refused = 0;
    auto &handler = cluster.host(0).loop->jobRequestHandler();
    const auto deadline = cluster.scheduler.now() + 2s;
    for (std::uint64_t n = first; n < first + 2 * TombstoneBurst; ++n) {
        handler.cancel({n}, deadline, [&](const auto &result) {
            if (result.isOk()) {
                ++done;
            } else {
                EXPECT_EQ(result.failure().kind, ErrorKind::StoreUnavailable);
                ++refused;
            }
        });
    }
    int cancelledJobs = 0;
    for (std::uint64_t n = 1; n <= jobCount; ++n) {
        handler.cancel({n}, deadline, [&](const auto &result) { cancelledJobs += result.isOk() ? 1 : 0; });
    }
    cluster.scheduler.runFor(1500ms);
    EXPECT_EQ(done, TombstoneBurst);
    EXPECT_EQ(refused, TombstoneBurst);
    EXPECT_EQ(storedTombstones(cluster), TombstoneBurst);
    EXPECT_EQ(cancelledJobs, jobCount);
    EXPECT_EQ(cluster.host(0).loop->summary().tombstoneRequests.written, TombstoneBurst);
    EXPECT_EQ(cluster.host(0).loop->summary().tombstoneRequests.refusedByRate, TombstoneBurst);
    EXPECT_TRUE(isUnknown(cancel(cluster, 1, 3 * first))) << "each host has a bound of its own";
}

// The leader counts the rows of all hosts, and passes the count on in its row, also to the next leader.
TEST(Tombstone, TheNumberInTheStoreIsBounded)
{
    Cluster cluster;
    constexpr std::uint64_t first = 1000;
    jobs::JobProgress progress;
    progress.state = jobs::JobState::Cancelled;
    progress.isAccepted = false;
    const auto value = cluster.codec.encode(progress);
    for (std::uint64_t n = first; n < first + MaxTombstones; ++n) {
        cluster.put(progressRow(jobs::JobKey{n}), value);
    }
    cluster.scheduler.runFor(4s);
    ASSERT_GE(cluster.leader(), 0);
    for (int n = 0; n < HostCount; ++n) {
        const auto answer = cancel(cluster, n, 7);
        ASSERT_TRUE(answer);
        EXPECT_FALSE(answer->isOk());
        EXPECT_EQ(cluster.host(n).loop->summary().tombstoneRequests.refusedByTotal, 1);
    }
    EXPECT_FALSE(cluster.rows.rows.contains(progressRow(jobs::JobKey{7})));
    cluster.killHost(cluster.leader());
    cluster.scheduler.runFor(5s);
    const int successor = cluster.leader();
    ASSERT_GE(successor, 0);
    EXPECT_FALSE(cancel(cluster, successor, 7)->isOk());
}

// A cancellation promises nothing while the store does not answer.
TEST(Tombstone, WithoutTheStoreACancellationIsNotAnsweredAsDone)
{
    Cluster cluster;
    cluster.scheduler.runFor(2s);
    cluster.host(1).storeFaults.rule = [](std::string_view call, TimePoint) {
        return call == "commit" ? std::optional(Fault{2ms, true, false}) : std::nullopt;
    };
    std::optional<AsyncResult<JobStatus>> answer;
    cluster.host(1).loop->jobRequestHandler().cancel({7}, cluster.scheduler.now() + 1s,
                                                     [&](const auto &result) { answer = result; });
    cluster.scheduler.runFor(2s);
    ASSERT_TRUE(answer);
    EXPECT_FALSE(answer->isOk());
    EXPECT_EQ(storedTombstones(cluster), 0);
}

} // namespace monsoonspool::execution
