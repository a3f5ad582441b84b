// What both implementations of WorkerLink guarantee when a worker restarts under its identifier and
// address between two orders.
#include "daemon/asioscheduler.h"
#include "emulator/workersapi.h"
#include "http/apiserver.h"
#include "httpworkerlink.h"
#include "ports/memory/simulatedworkers.h"

#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <optional>
#include <string>

namespace monsoonspool::platform {

namespace {

using namespace ports;

const WorkerId Id("w0");
const jobs::TaskId Task{{7}, 0, 0, 0};
constexpr Epoch Fence{1};
constexpr WorkerMillis Deadline = 5000;

class ShortTasks : public memory::TaskModel
{
public:
    memory::TaskProfile profile(const jobs::TaskId &) const override
    {
        return {20ms, false, {100, 100, 0}, {}};
    }
};

class NoFaults : public FaultPlan
{
public:
    Fault next(std::string_view, std::uint64_t, TimePoint) override
    {
        ++calls;
        return {};
    }
    int calls = 0;
};

// The process of the worker's server. Its connections end with it.
struct ServerProcess
{
    explicit ServerProcess(http::ApiHandler &handler) : server(io, handler)
    {
    }
    boost::asio::io_context io;
    http::ApiServer server;
};

// Counts the orders of each kind that arrive.
class CountedApi : public http::ApiHandler
{
public:
    explicit CountedApi(http::ApiHandler &handler) : m_handler(handler)
    {
    }
    void handle(const http::ApiRequest &request, http::ApiReply reply) override
    {
        renewals += request.path == "/hold" ? 1 : 0;
        m_handler.handle(request, std::move(reply));
    }
    int renewals = 0;

private:
    http::ApiHandler &m_handler;
};

} // namespace

class WorkerLinkContract : public testing::TestWithParam<bool>
{
protected:
    WorkerLinkContract()
    {
        entry.id = Id;
        entry.capacity = {4000, 4000, 0};
        entry.startTimeMs = 1;
        workers.addWorker(entry);
        if (GetParam()) {
            listen(0);
            entry.address = process->server.address();
            link = std::make_unique<HttpWorkerLink>(io, scheduler);
        } else {
            link = std::make_unique<memory::MemoryWorkerLink>(workers, scheduler, faults);
        }
    }

    void listen(std::uint16_t port)
    {
        process = std::make_unique<ServerProcess>(api);
        handleFailure(
            [&] {
                return process->server.listen({"127.0.0.1", port});
            },
            [](const Failure &failure) { ADD_FAILURE() << failure.detail; });
    }

    void restart(std::int64_t startTimeMs)
    {
        workers.restart(Id, startTimeMs);
        if (process) {
            process.reset();
            listen(entry.address.port);
        }
    }

    void run(Duration length)
    {
        const auto until = scheduler.now() + length;
        while (scheduler.now() < until) {
            step();
        }
    }
    void step()
    {
        io.run_one_for(std::chrono::milliseconds(1));
        io.restart();
        if (process) {
            process->io.poll();
            process->io.restart();
        }
    }

    template <typename T, typename F>
    AsyncResult<T> await(F call)
    {
        std::optional<AsyncResult<T>> result;
        call([&](const AsyncResult<T> &it) {
            EXPECT_FALSE(result);
            result = it;
        });
        EXPECT_FALSE(result) << "called within the call";
        const auto until = scheduler.now() + 5s;
        while (!result && scheduler.now() < until) {
            step();
        }
        return result ? *result : AsyncResult<T>(Failure{ErrorKind::Internal, "no reply"});
    }

    AsyncResult<WorkerListing> renew(std::int64_t startTimeMs, std::int64_t acknowledgedEnd, Duration wait = {})
    {
        const LeaseOrder order{Fence, acknowledgedEnd, Deadline, wait, startTimeMs};
        return await<WorkerListing>([&](auto handler) { link->renew(entry, order, handler); });
    }
    AsyncResult<StartResult> start(std::int64_t startTimeMs, jobs::RunNumber number = 1, bool verifiesProcess = false)
    {
        const RunOrder order{Fence, Task, number, "text", {}, {}, Deadline, startTimeMs, verifiesProcess};
        return await<StartResult>([&](auto handler) { link->start(entry, order, handler); });
    }
    // Lets the worker's present process list an end with number 1.
    void endOneRun()
    {
        const auto started = workers.start(Id, {Fence, Task, 1, "text", {}, {}, Deadline});
        ASSERT_TRUE(started.isOk() && started.value() == StartResult::Accepted);
        run(40ms);
        workers.advance();
    }

    boost::asio::io_context io;
    daemon::AsioScheduler scheduler{io};
    ShortTasks model;
    memory::SimulatedWorkers workers{scheduler, model};
    NoFaults faults;
    emulator::WorkersApi orders{workers};
    CountedApi api{orders};
    std::unique_ptr<ServerProcess> process;
    std::unique_ptr<WorkerLink> link;
    WorkerEntry entry;
};

TEST_P(WorkerLinkContract, ALaterProcessDoesNotStartARunMeantForTheFormerOne)
{
    ASSERT_TRUE(renew(1, 0).isOk());
    const auto before = start(1);
    ASSERT_TRUE(before.isOk());
    EXPECT_EQ(before.value(), StartResult::Accepted);
    restart(2);
    EXPECT_FALSE(start(1, 2).isOk()) << "on the connection of the former process";
    const auto second = start(1, 3);
    ASSERT_FALSE(second.isOk());
    EXPECT_EQ(second.failure().kind, ErrorKind::DaemonUnreachable) << "on a new connection";
    run(50ms);
    EXPECT_EQ(workers.startCount(), 1);
    const auto after = start(2, 4);
    ASSERT_TRUE(after.isOk());
    EXPECT_EQ(after.value(), StartResult::Accepted);
}

TEST_P(WorkerLinkContract, ALaterProcessDoesNotForgetEndsOfTheFormerOnesNumbers)
{
    ASSERT_TRUE(renew(1, 0).isOk());
    restart(2);
    endOneRun();
    renew(1, 1); // on the connection of the former process
    for (int n = 0; n < 3; ++n) {
        const auto listing = renew(1, 1);
        ASSERT_TRUE(listing.isOk());
        EXPECT_EQ(listing.value().startTimeMs, 2);
        EXPECT_EQ(listing.value().ended.size(), 1U);
    }
    EXPECT_EQ(renew(2, 1).value().ended.size(), 0U);
}

// A new connection belongs to no known process yet.
TEST_P(WorkerLinkContract, TheFirstRenewalOfALinkAcknowledgesNothing)
{
    endOneRun();
    const auto first = renew(1, 1, 1s);
    ASSERT_TRUE(first.isOk());
    EXPECT_EQ(first.value().ended.size(), 1U);
    EXPECT_EQ(renew(1, 1).value().ended.size(), 0U);
}

// Guards against a round trip more for each start: one listing on a connection is enough.
TEST_P(WorkerLinkContract, ManyStartsNeedOneListingPerConnection)
{
    constexpr int starts = 10;
    for (int n = 1; n <= starts; ++n) {
        const auto result = start(1, n);
        ASSERT_TRUE(result.isOk());
        EXPECT_EQ(result.value(), StartResult::Accepted);
        run(30ms);
    }
    EXPECT_EQ(workers.startCount(), starts);
    EXPECT_EQ(GetParam() ? api.renewals : faults.calls - starts, 1);
}

// Guards against charging a task with the crash of a worker that had crashed before its start was sent.
TEST_P(WorkerLinkContract, AVerifiedStartIsSentOnlyToAProcessThatAnswersRightBefore)
{
    ASSERT_TRUE(renew(1, 0).isOk());
    const auto first = start(1, 1, true);
    ASSERT_TRUE(first.isOk());
    EXPECT_EQ(first.value(), StartResult::Accepted);
    EXPECT_EQ(GetParam() ? api.renewals : faults.calls - 1, 2) << "also on a connection that is known";
    workers.setDisconnected(Id, true);
    const auto unsent = start(1, 2, true);
    ASSERT_FALSE(unsent.isOk());
    EXPECT_EQ(unsent.failure().kind, ErrorKind::DaemonUnreachable);
    workers.setDisconnected(Id, false);
    run(50ms);
    EXPECT_EQ(workers.startCount(), 1);
}

INSTANTIATE_TEST_SUITE_P(Implementations, WorkerLinkContract, testing::Bool(),
                         [](const auto &it) { return it.param ? "Http" : "Memory"; });

} // namespace monsoonspool::platform
