#include "httpworkerlink.h"

#include "daemon/asioscheduler.h"
#include "http/apiserver.h"

#include <boost/asio/ip/tcp.hpp>
#include <gtest/gtest.h>

#include <optional>
#include <string>
#include <string_view>

namespace monsoonspool::platform {

namespace {

// A worker that answers every order in the same way.
class FixedAnswer : public http::ApiHandler
{
public:
    void handle(const http::ApiRequest &, http::ApiReply reply) override
    {
        reply({status, "application/json", body, {}});
    }

    int status = 200;
    std::string body;
};

class WorkerServer
{
public:
    WorkerServer()
    {
        handleFailure(
            [&] {
                return server.listen({"127.0.0.1", 0});
            },
            [](const Failure &failure) { ADD_FAILURE() << failure.detail; });
        entry.id = WorkerId("w");
        entry.address = server.address();
    }

    // Makes a call and returns its result.
    template <typename T, typename F>
    ports::AsyncResult<T> call(F f)
    {
        std::optional<ports::AsyncResult<T>> result;
        f([&](const ports::AsyncResult<T> &it) { result = it; });
        while (!result && io.run_one() > 0) { }
        io.restart();
        return result ? *result : ports::AsyncResult<T>(Failure{ErrorKind::Internal, "no result"});
    }
    ports::AsyncResult<ports::StartResult> start(int status, std::string body)
    {
        answer.status = status;
        answer.body = std::move(body);
        return call<ports::StartResult>([&](auto handler) { link.start(entry, {}, handler); });
    }

    boost::asio::io_context io;
    FixedAnswer answer;
    http::ApiServer server{io, answer};
    daemon::AsioScheduler scheduler{io};
    HttpWorkerLink link{io, scheduler};
    ports::WorkerEntry entry;
};

} // namespace

TEST(HttpWorkerLink, DecodesAnswersToStarts)
{
    WorkerServer worker;
    struct Case
    {
        int status;
        std::string_view body;
        ports::StartResult result;
    };
    for (const auto &it :
         {Case{200, R"({"clockMs":1})", ports::StartResult::Accepted}, Case{200, "", ports::StartResult::Accepted},
          Case{400, "", ports::StartResult::Invalid},
          Case{409, R"({"clockMs":1,"reason":"old"})", ports::StartResult::Superseded},
          Case{409, R"({"clockMs":1,"reason":"late"})", ports::StartResult::TooLate},
          Case{409, R"({"clockMs":1,"reason":"room"})", ports::StartResult::InsufficientCapacity},
          Case{409, R"({"clockMs":1,"reason":"ticket"})", ports::StartResult::InvalidTicket},
          Case{409, "{", ports::StartResult::InsufficientCapacity}, Case{429, "", ports::StartResult::Unhealthy},
          Case{503, "", ports::StartResult::Unhealthy}}) {
        SCOPED_TRACE(std::to_string(it.status) + " " + std::string(it.body));
        const auto result = worker.start(it.status, std::string(it.body));
        ASSERT_TRUE(result.isOk());
        EXPECT_EQ(result.value(), it.result);
    }
    const auto fenced = worker.start(409, R"({"clockMs":1,"reason":"fence"})");
    ASSERT_FALSE(fenced.isOk());
    EXPECT_EQ(fenced.failure().kind, ErrorKind::StaleEpoch);
    const auto misdirected = worker.start(421, "");
    ASSERT_FALSE(misdirected.isOk());
    EXPECT_EQ(misdirected.failure().kind, ErrorKind::Superseded);
}

// Guards against taking an answer that leaves the outcome open for one that says that nothing was
// done: the task was started elsewhere at once.
TEST(HttpWorkerLink, AStartWithAnUnknownStatusMayHaveBeenCarriedOut)
{
    WorkerServer worker;
    for (const int status : {204, 302, 404, 408, 500, 502, 504}) {
        const auto result = worker.start(status, "");
        EXPECT_TRUE(!result.isOk() && result.failure().kind == ErrorKind::StoreReplyLost) << status;
    }
}

// No other answer confirms a stop: the run may still start.
TEST(HttpWorkerLink, OnlyStatus200ConfirmsAStop)
{
    WorkerServer worker;
    for (const int status : {200, 204, 400, 409, 429, 500, 502, 503, 504}) {
        SCOPED_TRACE(status);
        worker.answer.status = status;
        const auto result
            = worker.call<ports::Done>([&](auto handler) { worker.link.stop(worker.entry, {1}, {}, 1, handler); });
        EXPECT_EQ(result.isOk(), status == 200);
    }
}

// An order that was certainly not sent is told from one without an answer.
TEST(HttpWorkerLink, TellsARefusedConnectionFromALostAnswer)
{
    using boost::asio::ip::tcp;
    WorkerServer worker;
    tcp::acceptor acceptor(worker.io, {boost::asio::ip::make_address("127.0.0.1"), 0});
    worker.entry.address = {"127.0.0.1", acceptor.local_endpoint().port()};
    acceptor.async_accept([](boost::system::error_code, tcp::socket) {}); // closes the connection
    const auto lost = worker.start(200, "");
    ASSERT_FALSE(lost.isOk());
    EXPECT_EQ(lost.failure().kind, ErrorKind::StoreReplyLost);
    acceptor.close();
    const auto refused = worker.start(200, "");
    ASSERT_FALSE(refused.isOk());
    EXPECT_EQ(refused.failure().kind, ErrorKind::DaemonUnreachable);
}

} // namespace monsoonspool::platform
