#include "daemon/asioscheduler.h"
#include "emulator/emulatedplatform.h"
#include "emulator/platformapi.h"
#include "http/apiserver.h"
#include "ports/http/httpplatform.h"

#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

#include <algorithm>
#include <map>

// Conformance tests of the platform's interfaces. They run with the same injected faults for
// the in-memory and the HTTP implementation.
namespace monsoonspool::ports {

namespace {

// Injects one fault into the next call with the given name.
class SingleFault : public FaultPlan
{
public:
    std::string call;
    Fault fault;

    Fault next(std::string_view name, std::uint64_t, TimePoint) override
    {
        if (name != call) {
            return {};
        }
        call.clear();
        return fault;
    }
};

class Platform
{
public:
    explicit Platform(bool isHttp) : scheduler(io), emulated(scheduler, faults), api(emulated), server(io, api)
    {
        if (isHttp) {
            handleFailure(
                [&] {
                    return server.listen({"127.0.0.1", 0});
                },
                [](const Failure &failure) { ADD_FAILURE() << failure.detail; });
            remote = std::make_unique<http::HttpPlatform>(io, server.address());
        }
    }

    TableService &table()
    {
        return remote ? remote->table() : emulated.table;
    }
    ObjectStore &objects()
    {
        return remote ? remote->objects() : emulated.objects;
    }
    HostList &hosts()
    {
        return remote ? remote->hosts() : emulated.hosts;
    }
    WorkerAgent &workers()
    {
        return remote ? remote->workers() : emulated.workers;
    }

    // Runs the event loop until the handler of `call` was called, which must happen only once.
    template <typename T, typename F>
    AsyncResult<T> await(F call)
    {
        std::optional<AsyncResult<T>> result;
        call([&](const AsyncResult<T> &it) {
            EXPECT_FALSE(result);
            result = it;
        });
        while (!result && io.run_one() > 0) { }
        io.restart();
        return result ? *result : AsyncResult<T>(Failure{ErrorKind::Internal, "no reply"});
    }

    // Runs the event loop for `length`.
    void pause(Duration length)
    {
        await<Done>([&](auto handler) { scheduler.runAfter(length, [handler] { handler(Done{}); }); });
    }

    AsyncResult<std::uint64_t> commit(std::vector<RowWrite> writes)
    {
        return await<std::uint64_t>([&](auto handler) { table().commit(writes, handler); });
    }
    AsyncResult<std::optional<Row>> read(std::string_view key)
    {
        return await<std::optional<Row>>([&](auto handler) { table().read(key, handler); });
    }
    AsyncResult<Done> start(const WorkerId &worker, const StartOrder &order)
    {
        return await<Done>([&](auto handler) { workers().start(worker, order, handler); });
    }
    AsyncResult<WorkerReport> renew(const WorkerId &worker, Epoch epoch, std::vector<AttemptId> acknowledged = {})
    {
        return await<WorkerReport>([&](auto handler) { workers().renew(worker, epoch, 10s, acknowledged, handler); });
    }

    boost::asio::io_context io;
    daemon::AsioScheduler scheduler;
    SingleFault faults;
    emulator::EmulatedPlatform emulated;
    emulator::PlatformApi api;
    monsoonspool::http::ApiServer server;
    std::unique_ptr<http::HttpPlatform> remote;
};

class PlatformContract : public testing::TestWithParam<bool>
{
protected:
    Platform platform{GetParam()};
};

const WorkerId Worker("worker-1");

StartOrder order(std::uint32_t attempt, Epoch epoch = {1})
{
    return {epoch, 1, {JobId("job"), attempt}, {1000, 100, 0}, "sleep 60000", "", 10s};
}

} // namespace

TEST_P(PlatformContract, StoresBinaryRowsWithIncreasingVersions)
{
    const std::string bytes("\x00\xff\x80 text", 8);
    const auto first = platform.commit({{"a/1", 0, bytes, false}});
    ASSERT_TRUE(first.isOk());
    const auto second = platform.commit({{"a/1", first.value(), "new", false}, {"a/2", 0, bytes, false}});
    ASSERT_TRUE(second.isOk());
    EXPECT_GT(second.value(), first.value());
    const auto row = platform.read("a/2");
    ASSERT_TRUE(row.isOk() && row.value());
    EXPECT_EQ(row.value()->value, bytes);
    EXPECT_EQ(row.value()->version, second.value());
    EXPECT_FALSE(platform.read("a/3").value());
}

struct CommitCase
{
    const char *name;
    std::vector<RowWrite> writes;
    std::string conflict; // key of the conflicting row; empty if the commit must succeed
};

TEST_P(PlatformContract, CommitsAreAtomic)
{
    ASSERT_TRUE(platform.commit({{"x", 0, "1", false}}).isOk());
    const CommitCase cases[]{
        {"stale version", {{"y", 0, "1", false}, {"x", 999, "2", false}}, "x"},
        {"row exists", {{"y", 0, "1", false}, {"x", 0, "2", false}}, "x"},
        {"row is missing", {{"y", 0, "1", false}, {"z", 5, "2", false}}, "z"},
        {"any version", {{"y", 0, "1", false}, {"x", AnyVersion, "2", false}}, ""},
        {"removal", {{"y", AnyVersion, "", true}}, ""},
    };
    for (const auto &it : cases) {
        const auto before = platform.read("y").value();
        const auto result = platform.commit(it.writes);
        EXPECT_EQ(result.isOk(), it.conflict.empty()) << it.name;
        if (!result.isOk()) {
            EXPECT_EQ(result.failure().kind, ErrorKind::StoreConflict) << it.name;
            EXPECT_EQ(result.failure().detail, it.conflict) << it.name;
            EXPECT_EQ(platform.read("y").value(), before) << it.name;
        }
    }
    EXPECT_FALSE(platform.read("y").value());
}

TEST_P(PlatformContract, ScansAreSortedByKey)
{
    ASSERT_TRUE(
        platform.commit({{"k/3", 0, "3", false}, {"k/1", 0, "1", false}, {"k/2", 0, "2", false}, {"l", 0, "", false}})
            .isOk());
    const auto rows
        = platform.await<std::vector<Row>>([&](auto handler) { platform.table().scan("k/", "k0", 2, handler); });
    ASSERT_TRUE(rows.isOk());
    ASSERT_EQ(rows.value().size(), 2U);
    EXPECT_EQ(rows.value()[0].key, "k/1");
    EXPECT_EQ(rows.value()[1].key, "k/2");
}

TEST_P(PlatformContract, StoresAndRemovesObjects)
{
    const std::string value("\x01\x00\xfe", 3);
    auto &objects = platform.objects();
    ASSERT_TRUE(platform.await<Done>([&](auto handler) { objects.put("o", value, handler); }).isOk());
    EXPECT_EQ(platform.await<std::optional<std::string>>([&](auto handler) { objects.get("o", handler); }).value(),
              value);
    ASSERT_TRUE(platform.await<Done>([&](auto handler) { objects.remove("o", handler); }).isOk());
    EXPECT_FALSE(platform.await<std::optional<std::string>>([&](auto handler) { objects.get("o", handler); }).value());
    EXPECT_TRUE(platform.await<Done>([&](auto handler) { objects.remove("o", handler); }).isOk());
}

TEST_P(PlatformContract, ListsHosts)
{
    HostListing listing;
    listing.entryHosts.push_back({EntryHostId("e"), {"127.0.0.1", 7}, RegionName("r"), HostState::Leaving});
    listing.targets.push_back(
        {TargetId("t"), PoolName("p"), {"127.0.0.1", 8}, RegionName("r"), FailureDomain("d"), HostState::Live});
    listing.workers.push_back({Worker, FailureDomain("d"), "rack", {1, 2, 3}, {"127.0.0.1", 9}, HostState::Live});
    platform.emulated.hosts.set(listing);
    const auto result = platform.await<HostListing>([&](auto handler) { platform.hosts().list(handler); });
    ASSERT_TRUE(result.isOk());
    EXPECT_EQ(result.value().targets, listing.targets);
    EXPECT_EQ(result.value().workers, listing.workers);
    EXPECT_EQ(result.value().entryHosts.front().state, HostState::Leaving);
}

struct FaultCase
{
    const char *name;
    Fault fault;
    ErrorKind kind;
    bool hasEffect;
};

TEST_P(PlatformContract, FailureKindTellsWhetherACommitMayHaveBeenApplied)
{
    const FaultCase cases[]{
        {"refused", {Duration{0}, true, false}, ErrorKind::StoreUnavailable, false},
        {"reply lost", {Duration{0}, false, true}, ErrorKind::StoreReplyLost, true},
        {"slow", {20ms, false, false}, ErrorKind::Internal, true},
    };
    int n = 0;
    for (const auto &it : cases) {
        const auto key = "fault/" + std::to_string(++n);
        platform.faults.call = "table.commit";
        platform.faults.fault = it.fault;
        const auto result = platform.commit({{key, 0, "v", false}});
        EXPECT_EQ(result.isOk(), it.kind == ErrorKind::Internal) << it.name;
        if (!result.isOk()) {
            EXPECT_EQ(result.failure().kind, it.kind) << it.name;
        }
        EXPECT_EQ(platform.read(key).value().has_value(), it.hasEffect) << it.name;
    }
    platform.faults.call = "table.read";
    platform.faults.fault = {Duration{0}, true, false};
    EXPECT_EQ(platform.read("x").failure().kind, ErrorKind::StoreUnavailable);
}

TEST_P(PlatformContract, RunsAnAttemptOnceAndReportsItUntilAcknowledged)
{
    platform.emulated.workers.add(Worker, {1500, 1000, 0});
    auto first = order(1);
    first.command = "echo done";
    EXPECT_TRUE(platform.start(Worker, first).isOk());
    EXPECT_TRUE(platform.start(Worker, first).isOk());
    AttemptState state = AttemptState::Running;
    while (state == AttemptState::Running) {
        platform.pause(2ms);
        const auto report = platform.renew(Worker, {1});
        ASSERT_TRUE(report.isOk());
        ASSERT_EQ(report.value().attempts.size(), 1U);
        state = report.value().attempts.front().state;
        EXPECT_EQ(report.value().incarnation, 1U);
    }
    EXPECT_EQ(state, AttemptState::Succeeded);
    EXPECT_TRUE(platform.renew(Worker, {1}, {first.attempt}).value().attempts.empty());
    EXPECT_EQ(platform.start(Worker, first).failure().kind, ErrorKind::Superseded);
    EXPECT_EQ(std::ranges::count(platform.emulated.workers.history(), memory::WorkerEvent::Kind::Started,
                                 &memory::WorkerEvent::kind),
              1);
}

TEST_P(PlatformContract, RejectsInvalidStarts)
{
    platform.emulated.workers.add(Worker, {1500, 1000, 0});
    EXPECT_TRUE(platform.start(Worker, order(1, {5})).isOk());
    EXPECT_EQ(platform.start(Worker, order(2, {4})).failure().kind, ErrorKind::StaleEpoch);
    auto large = order(1, {5});
    large.attempt.job = JobId("large");
    EXPECT_EQ(platform.start(Worker, large).failure().kind, ErrorKind::CapacityExceeded);
    auto early = order(1, {5});
    early.attempt.job = JobId("early");
    early.workerIncarnation = 0;
    EXPECT_EQ(platform.start(Worker, early).failure().kind, ErrorKind::Superseded);
    EXPECT_EQ(platform.renew(Worker, {4}).failure().kind, ErrorKind::StaleEpoch);
    EXPECT_EQ(platform.start(WorkerId("nobody"), order(1)).failure().kind, ErrorKind::DaemonUnreachable);
}

TEST_P(PlatformContract, StopsAndCheckpointsAttempts)
{
    platform.emulated.workers.add(Worker, {4000, 1000, 0});
    auto other = order(1);
    other.attempt.job = JobId("other");
    ASSERT_TRUE(platform.start(Worker, order(1)).isOk());
    ASSERT_TRUE(platform.start(Worker, other).isOk());
    auto &workers = platform.workers();
    EXPECT_TRUE(
        platform.await<Done>([&](auto handler) { workers.throttle(Worker, {1}, other.attempt, 0.5, handler); }).isOk());
    EXPECT_TRUE(
        platform.await<Done>([&](auto handler) { workers.stop(Worker, {1}, order(1).attempt, handler); }).isOk());
    EXPECT_TRUE(
        platform.await<Done>([&](auto handler) { workers.checkpoint(Worker, {1}, other.attempt, handler); }).isOk());
    std::map<JobId, AttemptReport> reports;
    const auto report = platform.renew(Worker, {1});
    for (const auto &it : report.value().attempts) {
        reports[it.attempt.job] = it;
    }
    EXPECT_EQ(reports[JobId("job")].state, AttemptState::Stopped);
    EXPECT_EQ(reports[JobId("other")].state, AttemptState::Checkpointed);
    EXPECT_FALSE(reports[JobId("other")].checkpoint.empty());
}

INSTANTIATE_TEST_SUITE_P(Implementations, PlatformContract, testing::Values(false, true),
                         [](const auto &info) { return info.param ? "Http" : "Memory"; });

} // namespace monsoonspool::ports
