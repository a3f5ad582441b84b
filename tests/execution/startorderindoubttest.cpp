// Start orders that fail without an answer: how long the task stands still.
#include "testcluster.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <string>
#include <vector>

namespace monsoonspool::execution {

namespace {

using namespace testcluster;

constexpr std::uint64_t Job = 7;
constexpr Duration OrderTimeout = 700ms;
// The platform takes work as lost that stands for 3 s beside free capacity.
constexpr Duration PlatformBound = 3s;
// What can be settled by asking the worker must not take a good part of that.
constexpr Duration AskedBound = 1s;

struct Case
{
    std::string name;
    Duration bound;
    // Returns the fault of the `n`th start order, from 0, or of the stop orders that follow.
    std::function<std::optional<Fault>(std::string_view call, int n)> rule;
};

const Fault EndedBeforeOrder{0ms, true, false, 0ms, true};
const Fault EndedAfterOrder{0ms, false, true, 0ms, true};
// The worker carries the order out when the sender has given up waiting.
const Fault CarriedOutLate{1500ms, false, true};

bool isStart(std::string_view call)
{
    return call.starts_with("start ");
}

// Returns the longest time in which no task of the job was at work, from its acceptance to its end.
Duration longestStandstill(const Case &it, Duration offset, std::string &violations)
{
    Cluster cluster;
    cluster.scheduler.runFor(5s);
    // Moves the order relative to the listings, which are polled.
    cluster.scheduler.runFor(offset);
    int starts = 0;
    for (int n = 0; n < HostCount; ++n) {
        cluster.host(n).workerFaults.rule = [&](std::string_view call, TimePoint) -> std::optional<Fault> {
            const auto fault = it.rule(call, starts);
            starts += isStart(call) ? 1 : 0;
            return fault;
        };
    }
    AcceptedJob job;
    job.key = {Job};
    job.policy.queue = "plans";
    job.policy.service = Service;
    job.policy.maxAttempts = 3;
    job.spec.steps.resize(1);
    job.spec.steps.front().needs = TaskSize;
    job.acceptedAt = cluster.wallNow();
    cluster.host(0).loop->jobRequestHandler().submit(std::move(job), cluster.scheduler.now() + 2500ms,
                                                     [&](SubmitResult answer) { cluster.answers[Job] = answer; });
    Duration longest{0};
    auto since = cluster.scheduler.now();
    for (const auto until = since + 20s; cluster.scheduler.now() < until;) {
        cluster.scheduler.runFor(1ms);
        if (cluster.workers.hasRunOf({Job})) {
            since = cluster.scheduler.now();
        }
        longest = std::max(longest, cluster.scheduler.now() - since);
        if (cluster.workers.doneCount({Job}) > 0) {
            break;
        }
    }
    EXPECT_EQ(cluster.workers.doneCount({Job}), 1);
    cluster.scheduler.runFor(10s);
    EXPECT_EQ(cluster.workers.doneCount({Job}), 1);
    violations += violationsOf(cluster);
    return longest;
}

std::vector<Case> cases()
{
    return {
        {"the connection ended before the order", AskedBound,
         [](std::string_view call, int n) {
             return isStart(call) && n == 0 ? std::optional(EndedBeforeOrder) : std::nullopt;
         }},
        {"the connection ended after the order", AskedBound,
         [](std::string_view call, int n) {
             return isStart(call) && n == 0 ? std::optional(EndedAfterOrder) : std::nullopt;
         }},
        {"two connections ended, one after the other", AskedBound,
         [](std::string_view call, int n) {
             return isStart(call) && n < 2 ? std::optional(EndedBeforeOrder) : std::nullopt;
         }},
        {"one order was not answered", PlatformBound,
         [](std::string_view call, int n) {
             return isStart(call) && n == 0 ? std::optional(Fault{OrderTimeout, true, false}) : std::nullopt;
         }},
        {"an order that ended its connection was carried out late", PlatformBound,
         [](std::string_view call, int n) {
             return isStart(call) && n == 0 ? std::optional(Fault{1500ms, false, true, 0ms, true}) : std::nullopt;
         }},
        {"an order was carried out late", PlatformBound,
         [](std::string_view call, int n) {
             return isStart(call) && n == 0 ? std::optional(CarriedOutLate) : std::nullopt;
         }},
        {"a worker that answers listings and no orders", PlatformBound,
         [first = std::string()](std::string_view call, int) mutable -> std::optional<Fault> {
             const auto worker = std::string(call.substr(call.find(' ') + 1));
             const bool isOrder = isStart(call) || call.starts_with("stop ");
             if (first.empty() && isOrder) {
                 first = worker;
             }
             return isOrder && worker == first ? std::optional(Fault{OrderTimeout, true, false}) : std::nullopt;
         }},
    };
}

} // namespace

// Guards against tasks that stand still since nothing asks whether an order without an answer has
// started them: the worker was asked only when its next listings were due.
TEST(StartOrderInDoubt, TheTaskDoesNotStandStill)
{
    for (const auto &it : cases()) {
        SCOPED_TRACE(it.name);
        Duration longest{0};
        std::string violations;
        for (auto offset = 0ms; offset < 1600ms; offset += 100ms) {
            longest = std::max(longest, longestStandstill(it, offset, violations));
        }
        EXPECT_LT(toMilliseconds(longest), toMilliseconds(it.bound));
        EXPECT_EQ(violations, "");
    }
}

namespace {

// A leader with one worker, whose only run is in doubt and was ordered again.
class RepeatedStart
{
public:
    RepeatedStart()
    {
        fleet.beginTerm({1}, 0, {}, now, now);
        entry.id = WorkerId("w0");
        entry.service = Service;
        entry.capacity = {16000, 32000, 0};
        entry.startTimeMs = 1;
        fleet.updateWorker(entry, now);
        list(now - 1ms, {});
        fleet.markRosterStored(fleet.takeRoster());
        AcceptedJob job;
        job.key = {Job};
        job.policy.service = Service;
        job.policy.maxAttempts = 3;
        job.spec.steps.resize(1);
        job.spec.steps.front().needs = TaskSize;
        fleet.addJob(std::move(job), now, {});
        order = fleet.plan(now, {}).starts.at(0);
        now += 2ms;
        fleet.applyStartFailure(order, true, now);
        now += 1ms;
        repeatedStarts = fleet.plan(now, {}).repeatedStarts.size();
    }
    ports::WorkerListing listing(std::vector<ListedRun> running) const
    {
        return {toMilliseconds(now - TimePoint(1h)) + 1000, 1, std::move(running), {}, false};
    }
    void list(TimePoint sentAt, std::vector<ListedRun> running)
    {
        fleet.applyListing(entry.id, listing(std::move(running)), sentAt, now);
    }
    ListedRun run() const
    {
        return {order.task, order.run, {}, 10, 1000};
    }

    TimePoint now{1h};
    NullLog log;
    Fleet fleet{log};
    WorkerEntry entry;
    StartTask order;
    std::size_t repeatedStarts = 0;
};

} // namespace

// Guards against a second run of a task that is at work: the answer to a query may overtake that to a
// renewal which was sent later and handled before the run began.
TEST(StartOrderInDoubt, AnOvertakenListingEndsNoRun)
{
    RepeatedStart it;
    ASSERT_EQ(it.repeatedStarts, 1U);
    const auto querySentAt = it.now;
    it.now += 10ms;
    const auto renewalSentAt = it.now;
    const auto beforeRun = it.listing({});
    it.now += 5ms;
    it.fleet.applyQueryAnswer({it.entry.id}, it.listing({it.run()}), querySentAt, it.now);
    it.now += 5ms;
    it.fleet.applyListing(it.entry.id, beforeRun, renewalSentAt, it.now);
    it.now += 1ms;
    EXPECT_TRUE(it.fleet.plan(it.now, {}).starts.empty());
    EXPECT_EQ(it.fleet.fullCounts().runs, 1U);
}

// Guards against stopping a task that the first order has started.
TEST(StartOrderInDoubt, ARefusedRepetitionStopsNothing)
{
    for (const auto answer : {StartResult::Unhealthy, StartResult::TooLate, StartResult::InsufficientCapacity}) {
        SCOPED_TRACE(static_cast<int>(answer));
        RepeatedStart it;
        it.now += 2ms;
        it.fleet.applyStartReply(it.order, answer, it.now);
        it.now += 1ms;
        auto orders = it.fleet.plan(it.now, {});
        EXPECT_TRUE(orders.stops.empty());
        ASSERT_EQ(orders.queries.size(), 1U);
        const auto sentAt = it.now;
        it.now += 2ms;
        it.fleet.applyQueryAnswer(orders.queries.front(), it.listing({it.run()}), sentAt, it.now);
        it.now += 1ms;
        orders = it.fleet.plan(it.now, {});
        EXPECT_TRUE(orders.stops.empty());
        EXPECT_TRUE(orders.starts.empty());
        EXPECT_EQ(it.fleet.fullCounts().runs, 1U);
    }
}

} // namespace monsoonspool::execution
