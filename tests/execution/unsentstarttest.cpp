// Start orders that wait for a connection to their worker.
#include "testcluster.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

namespace monsoonspool::execution {

namespace {

using namespace testcluster;

constexpr std::size_t ConnectionsPerWorker = 3; // as of the link over HTTP
constexpr Duration ListingWait = 1500ms;
// The platform takes work as lost that stands for 3 s beside free capacity.
constexpr Duration PlatformBound = 3s;
// An order that was not sent must not take a good part of that, as its task can start elsewhere.
constexpr Duration UnsentBound = 1s;

struct OrderResult
{
    std::optional<Duration> after;
    bool wasSent = true;
};

// A worker that answers listings, and the orders of one host to it.
class OneWorkerLink
{
public:
    OneWorkerLink()
    {
        m_worker.id = WorkerId("w0");
        m_worker.service = Service;
        m_worker.capacity = {160000, 320000, 0};
        m_worker.startTimeMs = 1;
        m_workers.addWorker(m_worker);
        m_faults.rule = [this](std::string_view call, TimePoint) -> std::optional<Fault> {
            if (!call.starts_with("start ")) {
                return std::nullopt;
            }
            ++startsOnTheWire;
            return startFault;
        };
        keepListing();
        scheduler.runFor(100ms);
    }

    void start(int count)
    {
        results.resize(static_cast<std::size_t>(count));
        for (int n = 0; n < count; ++n) {
            RunOrder order;
            order.fence = {1};
            order.task = {{7}, 0, 0, n};
            order.run = 1;
            order.deadline = 60'000;
            order.startTimeMs = 1;
            m_link.start(m_worker, order, [this, n, sentAt = scheduler.now()](const AsyncResult<StartResult> &result) {
                auto &it = results[static_cast<std::size_t>(n)];
                EXPECT_FALSE(it.after) << "answered twice";
                it.after = scheduler.now() - sentAt;
                it.wasSent = result.isOk() || result.failure().kind != ErrorKind::DaemonUnreachable;
            });
        }
    }
    // Returns how long a renewal, a stop or a pace takes.
    Duration askFor(std::string_view kind)
    {
        const auto sentAt = scheduler.now();
        std::optional<TimePoint> answeredAt;
        const auto note = [&](const auto &) { answeredAt = scheduler.now(); };
        const jobs::TaskId task{{7}, 0, 0, 0};
        if (kind == "renew") {
            LeaseOrder order;
            order.fence = {1};
            m_link.renew(m_worker, order, note);
        } else if (kind == "stop") {
            m_link.stop(m_worker, {1}, task, 1, note);
        } else {
            m_link.pace(m_worker, {1}, task, 1, 50, note);
        }
        while (!answeredAt && scheduler.now() < sentAt + 20s) {
            scheduler.runFor(1ms);
        }
        return scheduler.now() - sentAt;
    }

    VirtualScheduler scheduler;
    std::optional<Fault> startFault;
    int startsOnTheWire = 0;
    std::vector<OrderResult> results;

private:
    void keepListing()
    {
        LeaseOrder order;
        order.fence = {1};
        order.wait = ListingWait;
        order.startTimeMs = 1;
        m_link.renew(m_worker, order, [this](const AsyncResult<WorkerListing> &) { keepListing(); });
    }

    WorkerEntry m_worker;
    TestTaskModel m_model;
    SimulatedWorkers m_workers{scheduler, m_model};
    HostFaults m_faults{1};
    MemoryWorkerLink m_link{m_workers, scheduler, m_faults, ConnectionsPerWorker};
};

const Fault NoAnswer{2ms, true, false};
const Fault SlowAnswer{2ms, false, false, 600ms};

struct Case
{
    std::string name;
    Fault fault;
};
const std::vector<Case> Cases = {{"no start is answered", NoAnswer}, {"starts are answered slowly", SlowAnswer}};

} // namespace

// Guards against tasks that stand still since their orders wait, without bound, for connections on which
// earlier orders get no answer.
TEST(UnsentStart, FailsSoonBehindOrdersWithoutAnswer)
{
    for (const auto &it : Cases) {
        for (const int count : {10, 20}) {
            SCOPED_TRACE(it.name + ", " + std::to_string(count));
            OneWorkerLink link;
            link.startFault = it.fault;
            link.start(count);
            link.scheduler.runFor(20s);
            Duration longest{0};
            Duration longestUnsent{0};
            int unsent = 0;
            for (const auto &result : link.results) {
                ASSERT_TRUE(result.after);
                longest = std::max(longest, *result.after);
                longestUnsent = std::max(longestUnsent, result.wasSent ? Duration(0) : *result.after);
                unsent += result.wasSent ? 0 : 1;
            }
            EXPECT_LT(toMilliseconds(longest), toMilliseconds(PlatformBound));
            EXPECT_LE(toMilliseconds(longestUnsent), toMilliseconds(UnsentBound));
            EXPECT_EQ(link.startsOnTheWire + unsent, count) << "an order that was sent may not count as unsent";
        }
    }
}

// Guards against leases that lapse and runs that are not stopped, since orders wait behind starts.
TEST(UnsentStart, NoOtherOrderWaitsBehindStarts)
{
    for (const auto &it : Cases) {
        for (const std::string_view kind : {"renew", "stop", "pace"}) {
            SCOPED_TRACE(it.name + ", " + std::string(kind));
            OneWorkerLink link;
            link.startFault = it.fault;
            link.start(20);
            EXPECT_LE(toMilliseconds(link.askFor(kind)), toMilliseconds(UnsentBound));
        }
    }
}

// Guards against orders to a sound worker that are given up while they only wait for their turn.
TEST(UnsentStart, ManyOrdersToASoundWorkerAreAllSent)
{
    OneWorkerLink link;
    link.startFault = Fault{12ms, false, false, 13ms};
    constexpr int count = 64;
    link.start(count);
    link.scheduler.runFor(5s);
    EXPECT_EQ(link.startsOnTheWire, count);
    EXPECT_TRUE(std::ranges::all_of(link.results, &OrderResult::wasSent));
}

// Guards against tasks that wait for a slow worker, are rejected there as too late, and are ordered there again.
TEST(UnsentStart, TasksBehindSlowOrdersStartElsewhere)
{
    constexpr Resources smallTask{500, 500, 0};
    constexpr int jobCount = 20;
    Cluster cluster(1, ConnectionsPerWorker);
    cluster.scheduler.runFor(5s);
    std::string slowWorker; // the first one that gets a start
    for (int n = 0; n < HostCount; ++n) {
        cluster.host(n).workerFaults.rule = [&](std::string_view call, TimePoint) -> std::optional<Fault> {
            if (!call.starts_with("start ")) {
                return std::nullopt;
            }
            slowWorker = slowWorker.empty() ? std::string(call) : slowWorker;
            return call == slowWorker ? std::optional(SlowAnswer) : std::nullopt;
        };
    }
    for (std::uint64_t key = 1; key <= jobCount; ++key) {
        AcceptedJob job;
        job.key = {key};
        job.policy.queue = "plans";
        job.policy.service = Service;
        job.policy.maxAttempts = 3;
        job.spec.steps.resize(1);
        job.spec.steps.front().needs = smallTask;
        job.acceptedAt = cluster.wallNow();
        cluster.taskModel.overrides[job.key] = {400ms, false, smallTask};
        cluster.host(0).loop->jobRequestHandler().submit(std::move(job), cluster.scheduler.now() + 2500ms,
                                                         [](SubmitResult) {});
    }
    cluster.scheduler.runFor(PlatformBound);
    for (std::uint64_t key = 1; key <= jobCount; ++key) {
        EXPECT_TRUE(cluster.workers.hasRunOf({key}) || cluster.workers.doneCount({key}) == 1) << "job " << key;
    }
    cluster.scheduler.runFor(5s);
    EXPECT_EQ(cluster.workers.startCount(), jobCount);
    EXPECT_EQ(violationsOf(cluster), "");
}

} // namespace monsoonspool::execution
