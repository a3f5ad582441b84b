// Which jobs are served while start orders are short.
#include "execution/orderbudget.h"

#include <gtest/gtest.h>

namespace monsoonspool::execution::orderbudget {

namespace {

constexpr double Scale = 0.5; // of the load of a large deployment
constexpr Duration LoadTime = 40s;
constexpr Duration WarmUp = 5s; // run times are learned
constexpr Duration DrainTime = 20s; // in which the last jobs may still be served
// The least part of a kind's share that its largest jobs get, as the users count it.
constexpr double LeastPart = 0.5;

double dueOrders(std::uint32_t seed)
{
    OrderBudget play(urgentBesideWide(Scale), seed);
    play.pass(LoadTime, 1e6);
    return play.dueOrders();
}

} // namespace

// Guards against large jobs that are hardly served while the leader is short of start orders.
TEST(SharesBySize, TheLargestJobsGetHalfOfTheirKindsShareWhateverIsShort)
{
    for (const std::uint32_t seed : {1U, 2U, 3U}) {
        const double due = dueOrders(seed);
        for (const double part : {0.3, 0.5, 0.7, 0.85, 1.1}) {
            OrderBudget play(urgentBesideWide(Scale), seed);
            play.pass(LoadTime, part * due);
            play.pass(DrainTime, part * due);
            for (const std::string queue : {"urgent", "wide"}) {
                SCOPED_TRACE(queue + ", orders for " + std::to_string(part) + " of the load, seed "
                             + std::to_string(seed));
                const auto shares = sharesOf(play, queue, Start + WarmUp, Start + LoadTime,
                                             [](const PlayedJob &it) { return it.isServed(); });
                RecordProperty(queue + std::to_string(part), std::to_string(shares.all));
                EXPECT_GE(shares.largestTenth, LeastPart * shares.all) << "of all " << shares.all;
                EXPECT_GE(shares.nextFifth, LeastPart * shares.all) << "of all " << shares.all;
            }
        }
    }
}

// Guards against an objective that is estimated too early, the more so the wider the job.
TEST(SharesBySize, LargeJobsAreOnTimeLikeOthersWhileOrdersSuffice)
{
    for (const std::uint32_t seed : {1U, 2U, 3U}) {
        SCOPED_TRACE(seed);
        OrderBudget play(urgentBesideWide(Scale), seed);
        play.pass(LoadTime, 1.1 * dueOrders(seed));
        play.pass(DrainTime, 1e6);
        for (const std::string queue : {"urgent", "wide"}) {
            SCOPED_TRACE(queue);
            const auto shares = sharesOf(play, queue, Start + WarmUp, Start + LoadTime,
                                         [](const PlayedJob &it) { return it.isOnTime(); });
            EXPECT_GE(shares.largestTenth, LeastPart * shares.all) << "of all " << shares.all;
            EXPECT_GE(shares.nextFifth, LeastPart * shares.all) << "of all " << shares.all;
        }
    }
}

// Guards against jobs that wait behind an endless stream of later ones once they are late.
TEST(SharesBySize, NoJobWaitsWithoutBoundBehindAStream)
{
    struct Case
    {
        double part; // of the load that the orders suffice for
        Duration first;
    };
    constexpr Duration stream = 80s;
    for (const auto &it : {Case{0.7, 10s}, Case{0.5, 5s}}) {
        SCOPED_TRACE(it.part);
        OrderBudget play(urgentBesideWide(Scale), 1);
        play.pass(it.first + stream, it.part * dueOrders(1));
        int open = 0;
        for (const auto &[key, job] : play.played) {
            open += job.submittedAt < Start + it.first && !job.doneAt ? 1 : 0;
        }
        EXPECT_EQ(open, 0);
    }
}

// Guards against a lasting task that is lost and waits behind short work of its priority for as long as that comes.
TEST(SharesBySize, ALostLastingTaskComesBeforeNewShortWork)
{
    SilentLog log;
    Fleet fleet(log);
    fleet.beginTerm({1}, 0, {}, Start, Start);
    ports::WorkerEntry entry;
    entry.id = WorkerId("w");
    entry.service = Service;
    entry.capacity = {1000, 1000, 0}; // one task
    entry.startTimeMs = 1;
    fleet.updateWorker(entry, Start);
    ports::WorkerListing listing;
    listing.startTimeMs = 1;
    listing.clock = 1000;
    fleet.applyListing(entry.id, listing, Start, Start);
    fleet.markRosterStored(fleet.takeRoster());
    const auto addJob = [&](std::uint64_t key, bool isLasting, TimePoint now) {
        AcceptedJob job;
        job.key = {key};
        job.policy.queue = isLasting ? "serving" : "short";
        job.policy.service = Service;
        job.policy.maxAttempts = 3;
        job.policy.targetLatency = 10s;
        job.spec.steps.resize(1);
        job.spec.steps.front().count = 1;
        job.spec.steps.front().needs = {1000, 1000, 0};
        job.spec.steps.front().isLasting = isLasting;
        job.acceptedAt = Wall;
        fleet.addJob(std::move(job), now, Wall);
    };
    constexpr std::uint64_t lasting = 1;
    addJob(lasting, true, Start);
    auto orders = fleet.plan(Start, Wall);
    ASSERT_EQ(orders.starts.size(), 1U);
    const auto first = orders.starts.front();
    fleet.applyStartReply(first, ports::StartResult::Accepted, Start);
    auto now = Start + 1s;
    listing.clock += 1000;
    listing.ended.push_back({1, first.task, first.run, jobs::RunEnd::Lapsed, {}});
    fleet.applyListing(entry.id, listing, now, now);
    addJob(2, false, now);
    addJob(3, true, now); // never ordered, so that it waits for its turn
    now += 5s;
    orders = fleet.plan(now, Wall);
    ASSERT_EQ(orders.starts.size(), 1U);
    EXPECT_EQ(orders.starts.front().task.job.value, lasting);
}

// Guards against the same after a hand-over: the new leader does not know which tasks have run.
TEST(SharesBySize, ALastingTaskThatAFormerLeaderMayHaveOrderedComesBeforeNewShortWork)
{
    SilentLog log;
    Fleet fleet(log);
    fleet.beginTerm({2}, 0, {}, Start, Start);
    ports::WorkerEntry entry;
    entry.id = WorkerId("w");
    entry.service = Service;
    entry.capacity = {1000, 1000, 0}; // one task
    entry.startTimeMs = 1;
    fleet.updateWorker(entry, Start);
    ports::WorkerListing listing;
    listing.startTimeMs = 1;
    listing.clock = 1000;
    fleet.applyListing(entry.id, listing, Start, Start);
    fleet.markRosterStored(fleet.takeRoster());
    const auto addJob = [&](std::uint64_t key, bool isLasting, TimePoint now) {
        AcceptedJob job;
        job.key = {key};
        job.policy.queue = isLasting ? "serving" : "short";
        job.policy.service = Service;
        job.policy.maxAttempts = 3;
        job.policy.targetLatency = 10s;
        job.spec.steps.resize(1);
        job.spec.steps.front().count = 1;
        job.spec.steps.front().needs = {1000, 1000, 0};
        job.spec.steps.front().isLasting = isLasting;
        job.acceptedAt = Wall;
        fleet.addJob(std::move(job), now, Wall);
    };
    constexpr std::uint64_t lasting = 1;
    addJob(lasting, true, Start);
    jobs::JobProgress begun;
    begun.state = jobs::JobState::Running;
    fleet.restoreProgress({lasting}, begun);
    auto now = Start + 1s;
    addJob(2, false, now);
    addJob(3, true, now); // never ordered, so that it waits for its turn
    now += 5s;
    const auto orders = fleet.plan(now, Wall);
    ASSERT_EQ(orders.starts.size(), 1U);
    EXPECT_EQ(orders.starts.front().task.job.value, lasting);
}

// Guards against a count of open jobs that contains those which had ended before a new leader read them.
TEST(SharesBySize, JobsThatEndedUnderAFormerLeaderAreNotCountedAsOpen)
{
    SilentLog log;
    Fleet fleet(log);
    fleet.beginTerm({2}, 0, {}, Start, Start);
    constexpr std::uint64_t jobCount = 4;
    for (std::uint64_t key = 1; key <= jobCount; ++key) {
        AcceptedJob job;
        job.key = {key};
        job.policy.queue = "wide";
        job.policy.service = Service;
        job.spec.steps.resize(1);
        job.spec.steps.front().count = 10;
        fleet.addJob(std::move(job), Start, Wall);
    }
    jobs::JobProgress done;
    done.state = jobs::JobState::Completed;
    fleet.restoreProgress({1}, done);
    fleet.restoreProgress({2}, done);
    fleet.cancel({3});
    const auto rows = fleet.counts().outcomes.rows();
    ASSERT_EQ(rows.size(), 1U);
    EXPECT_EQ(rows.front().accepted, 2U);
    EXPECT_EQ(rows.front().open(), 1U);
}

} // namespace monsoonspool::execution::orderbudget
