#include "http/apiserver.h"

#include <gtest/gtest.h>

#include <boost/asio.hpp>

#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace monsoonspool::http {

namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

// Answers with the size of the body.
class SizeHandler : public ApiHandler
{
public:
    void handle(const ApiRequest &request, ApiReply reply) override
    {
        reply({200, "text/plain", std::to_string(request.body.size()), {}});
    }
};

// A server on a thread of its own.
class TestServer
{
public:
    explicit TestServer(const ApiLimits &limits) : m_server(m_io, m_handler, limits, "test")
    {
        handleFailure(
            [&]() -> Result<void> {
                return m_server.listen({"127.0.0.1", 0});
            },
            [](const Failure &failure) { ADD_FAILURE() << failure.detail; });
        m_port = m_server.address().port;
        m_thread = std::thread([this] {
            const auto guard = asio::make_work_guard(m_io);
            m_io.run();
        });
    }
    ~TestServer()
    {
        m_io.stop();
        m_thread.join();
    }
    TestServer(const TestServer &) = delete;
    TestServer &operator=(const TestServer &) = delete;

    std::unique_ptr<tcp::socket> connect()
    {
        auto socket = std::make_unique<tcp::socket>(m_clientIo);
        socket->connect({asio::ip::address_v4::loopback(), m_port});
        return socket;
    }
    std::uint64_t count(ConnectionLimit limit)
    {
        asio::post(m_io, asio::use_future([] {})).get(); // a client sees the end of a connection before it is counted
        return m_server.connections().reached[static_cast<std::size_t>(limit)];
    }

private:
    asio::io_context m_io;
    asio::io_context m_clientIo;
    SizeHandler m_handler;
    ApiServer m_server;
    std::uint16_t m_port = 0;
    std::thread m_thread;
};

void send(tcp::socket &socket, const std::string &bytes)
{
    boost::system::error_code ignored;
    asio::write(socket, asio::buffer(bytes), ignored);
}

// Reads until the connection is closed.
std::string readAll(tcp::socket &socket)
{
    std::string text;
    boost::system::error_code ec;
    asio::read(socket, asio::dynamic_buffer(text), ec);
    return text;
}

std::string ask(TestServer &server, const std::string &bytes)
{
    const auto socket = server.connect();
    send(*socket, bytes);
    return readAll(*socket);
}

const std::string ChunkedHead = "POST / HTTP/1.1\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n";

} // namespace

// A caller within the platform's limits must not meet those of the server.
TEST(ApiServer, ServesTheLargestConformingRequest)
{
    ApiLimits limits;
    limits.bodyBytes = 262'144;
    TestServer server(limits);
    std::string chunks;
    for (std::size_t n = 0; n < limits.bodyBytes; ++n) {
        chunks += "1\r\nx\r\n";
    }
    EXPECT_TRUE(ask(server, ChunkedHead + chunks + "0\r\n\r\n").ends_with("262144"));
    std::string head = "POST / HTTP/1.1\r\nConnection: close\r\nContent-Length: 262144\r\nField: ";
    head += std::string(limits.message.headerBytes - head.size() - 4, 'f') + "\r\n\r\n";
    EXPECT_TRUE(ask(server, head + std::string(262'144, 'x')).ends_with("262144"));
    EXPECT_TRUE(ask(server, ChunkedHead + "3;name=value\r\nabc\r\n0\r\nTrailer: value\r\n\r\n").ends_with("3"));
}

// Two requests in one segment are answered in order.
TEST(ApiServer, AnswersPipelinedRequests)
{
    TestServer server({});
    const std::string first = "POST / HTTP/1.1\r\nContent-Length: 2\r\n\r\nab";
    const std::string last = "POST / HTTP/1.1\r\nConnection: close\r\nContent-Length: 3\r\n\r\nabc";
    const auto answers = ask(server, first + first + last);
    EXPECT_NE(answers.find("\r\n\r\n2HTTP/1.1 200 OK\r\n"), std::string::npos) << answers;
    EXPECT_TRUE(answers.ends_with("3")) << answers;
}

// A client that sends no more still gets its answer, and holds no connection afterwards.
TEST(ApiServer, AnswersAHalfClosedConnectionAndClosesIt)
{
    TestServer server({});
    const auto socket = server.connect();
    send(*socket, "POST / HTTP/1.1\r\nContent-Length: 2\r\n\r\nab");
    socket->shutdown(tcp::socket::shutdown_send);
    EXPECT_TRUE(readAll(*socket).ends_with("2"));
}

TEST(ApiServer, ClosesAConnectionThatReachesALimitAndCountsIt)
{
    struct Case
    {
        const char *name;
        std::string bytes;
        std::string status; // empty if the connection is closed without an answer
        ConnectionLimit limit;
    };
    ApiLimits limits;
    limits.message = {1024, 2048};
    limits.bodyBytes = 1024;
    limits.idleTimeout = limits.headerTimeout = limits.bodyTimeout = std::chrono::milliseconds(100);
    const Case cases[]{
        {"header", "GET / HTTP/1.1\r\nField: " + std::string(2000, 'f'), "431", ConnectionLimit::HeaderBytes},
        {"request line", "GET /" + std::string(2000, 'r'), "431", ConnectionLimit::HeaderBytes},
        {"chunk size", ChunkedHead + std::string(8000, '0'), "431", ConnectionLimit::FramingBytes},
        {"chunk extension", ChunkedHead + "1;" + std::string(8000, 'e'), "431", ConnectionLimit::FramingBytes},
        {"trailers", ChunkedHead + "0\r\nField: " + std::string(8000, 't'), "431", ConnectionLimit::FramingBytes},
        {"body", ChunkedHead + "400\r\n" + std::string(1024, 'x') + "\r\n1\r\nx\r\n", "413",
         ConnectionLimit::BodyBytes},
        {"length", "POST / HTTP/1.1\r\nContent-Length: 2000\r\n\r\n", "413", ConnectionLimit::BodyBytes},
        {"idle", "", "", ConnectionLimit::IdleTime},
        {"slow header", "GET /", "", ConnectionLimit::HeaderTime},
        {"slow chunk size", ChunkedHead + "1", "", ConnectionLimit::BodyTime},
        {"slow data", ChunkedHead + "5\r\nabc", "", ConnectionLimit::BodyTime},
        {"slow trailers", ChunkedHead + "0\r\nField", "", ConnectionLimit::BodyTime},
    };
    TestServer server(limits);
    for (const auto &it : cases) {
        SCOPED_TRACE(it.name);
        const auto before = server.count(it.limit);
        const auto answer = ask(server, it.bytes);
        EXPECT_EQ(answer.substr(0, 12), it.status.empty() ? "" : "HTTP/1.1 " + it.status);
        EXPECT_EQ(server.count(it.limit), before + 1);
    }
    EXPECT_TRUE(ask(server, ChunkedHead + "0\r\n\r\n").ends_with("0"));
}

TEST(ApiServer, ClosesTheLongestIdleConnectionForANewCaller)
{
    ApiLimits limits;
    limits.budget.connections = 4;
    TestServer server(limits);
    std::vector<std::unique_ptr<tcp::socket>> idle;
    for (int n = 0; n < 6; ++n) {
        idle.push_back(server.connect());
    }
    EXPECT_TRUE(ask(server, ChunkedHead + "0\r\n\r\n").ends_with("0"));
    EXPECT_EQ(readAll(*idle[0]), "");
    EXPECT_EQ(server.count(ConnectionLimit::Connections), 3U);
}

// Bodies that are incomplete must not keep the memory that another caller needs.
TEST(ApiServer, ClosesTheLargestConnectionsIfTheyHoldTooMuchTogether)
{
    ApiLimits limits;
    limits.budget.bufferedBytes = 1024 * 1024;
    TestServer server(limits);
    std::vector<std::unique_ptr<tcp::socket>> large;
    for (int n = 0; n < 6; ++n) {
        large.push_back(server.connect());
        send(*large.back(), "POST / HTTP/1.1\r\nContent-Length: 400000\r\n\r\n" + std::string(300'000, 'x'));
    }
    EXPECT_TRUE(ask(server, ChunkedHead + "0\r\n\r\n").ends_with("0"));
    EXPECT_GT(server.count(ConnectionLimit::BufferedBytes), 0U);
}

} // namespace monsoonspool::http
