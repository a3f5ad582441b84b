#include "http/apiclient.h"

#include <gtest/gtest.h>

#include <boost/asio.hpp>

#include <array>
#include <chrono>
#include <optional>
#include <string>
#include <thread>

namespace monsoonspool::http {

namespace {

using namespace std::chrono_literals;
namespace asio = boost::asio;
using tcp = asio::ip::tcp;

// Answers one call with a body in `parts` parts of `partBytes`, with a pause before each, and then
// waits until the client closes the connection.
class SlowServer
{
public:
    SlowServer(std::size_t partBytes, int parts, int partsSent, std::chrono::milliseconds pause)
        : m_acceptor(m_io, tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
          m_thread([this, partBytes, parts, partsSent, pause] {
              tcp::socket socket(m_io);
              boost::system::error_code ec;
              m_acceptor.accept(socket, ec);
              std::array<char, 4096> request{};
              socket.read_some(asio::buffer(request), ec);
              const auto length = std::to_string(partBytes * static_cast<std::size_t>(parts));
              asio::write(socket, asio::buffer("HTTP/1.1 200 OK\r\nContent-Length: " + length + "\r\n\r\n"), ec);
              for (int n = 0; n < partsSent && !ec; ++n) {
                  std::this_thread::sleep_for(pause);
                  asio::write(socket, asio::buffer(std::string(partBytes, 'x')), ec);
              }
              socket.read_some(asio::buffer(request), ec);
          })
    {
    }
    ~SlowServer()
    {
        m_thread.join();
    }
    SlowServer(const SlowServer &) = delete;
    SlowServer &operator=(const SlowServer &) = delete;

    std::uint16_t port() const
    {
        return m_acceptor.local_endpoint().port();
    }
    ports::AsyncResult<ApiAnswer> call(std::chrono::milliseconds timeout)
    {
        asio::io_context io;
        std::optional<ports::AsyncResult<ApiAnswer>> result;
        {
            ApiClient client(io, {"127.0.0.1", m_acceptor.local_endpoint().port()}, 1);
            ApiCall call;
            call.target = "/rows-feed";
            call.timeout = timeout;
            client.call(std::move(call), [&](const ports::AsyncResult<ApiAnswer> &it) { result = it; });
            while (!result && io.run_one() > 0) { }
        }
        return *result;
    }

private:
    asio::io_context m_io;
    tcp::acceptor m_acceptor;
    std::thread m_thread;
};

} // namespace

// A leader read no more jobs and cancellations: each poll was cut off while its response was read,
// and the next one's was larger.
TEST(ApiClient, ALargeResponseThatArrivesIsReadToItsEnd)
{
    SlowServer server(50'000, 8, 8, 100ms);
    const auto result = server.call(300ms);
    ASSERT_TRUE(result.isOk()) << result.failure().detail;
    EXPECT_EQ(result.value().body.size(), 400'000U);
}

// A busy leader took answers of the store and of workers that lay unread in its sockets as lost, closed
// the connections, and lost its leadership and its workers.
TEST(ApiClient, AResponseThatArrivedBeforeTheTimeoutIsReadByALateThread)
{
    SlowServer server(1'000, 1, 1, 1ms);
    asio::io_context io;
    std::optional<ports::AsyncResult<ApiAnswer>> result;
    ApiClient client(io, {"127.0.0.1", server.port()}, 1);
    ApiCall call;
    call.target = "/rows-feed";
    call.timeout = 100ms;
    client.call(std::move(call), [&](const ports::AsyncResult<ApiAnswer> &it) { result = it; });
    for (int n = 0; n < 100 && !result; ++n) {
        std::this_thread::sleep_for(300ms); // other work
        io.run_one();
    }
    ASSERT_TRUE(result);
    EXPECT_TRUE(result->isOk()) << result->failure().detail;
}

TEST(ApiClient, AResponseThatStopsArrivingFails)
{
    struct Case
    {
        const char *name;
        std::size_t partBytes;
        std::chrono::milliseconds atMost;
    };
    for (const auto &it : {Case{"small", 1'000, 900ms}, Case{"large", 50'000, 2000ms}}) {
        SCOPED_TRACE(it.name);
        SlowServer server(it.partBytes, 8, 3, 50ms);
        const auto begin = std::chrono::steady_clock::now();
        const auto result = server.call(300ms);
        ASSERT_FALSE(result.isOk());
        EXPECT_EQ(result.failure().kind, ErrorKind::StoreReplyLost);
        EXPECT_LT(std::chrono::steady_clock::now() - begin, it.atMost);
    }
}

// Snapshots of the store are larger than its pages.
TEST(ApiClient, AResponseOfSeveralMegabytesIsWithinTheLimits)
{
    SlowServer server(1'000'000, 8, 8, 1ms);
    const auto result = server.call(1000ms);
    ASSERT_TRUE(result.isOk()) << result.failure().detail;
    EXPECT_EQ(result.value().body.size(), 8'000'000U);
}

// A store or a worker that sends without end took the memory of the process.
TEST(ApiClient, AnEndlessResponseFailsAndIsCounted)
{
    struct Case
    {
        const char *name;
        std::string head;
        std::string part;
        ConnectionLimit limit;
    };
    const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    const Case cases[]{
        {"header", "HTTP/1.1 200 OK\r\n", "Field: " + std::string(1000, 'f') + "\r\n", ConnectionLimit::HeaderBytes},
        {"chunk size", chunked, std::string(1000, '0'), ConnectionLimit::FramingBytes},
        {"chunk extension", chunked + "1;", std::string(1000, 'e'), ConnectionLimit::FramingBytes},
        {"many extensions", chunked, "1;" + std::string(1000, 'e') + "\r\nx\r\n", ConnectionLimit::FramingBytes},
        {"trailers", chunked + "0\r\n", "Field: " + std::string(1000, 't') + "\r\n", ConnectionLimit::FramingBytes},
        {"body", chunked, "3e8\r\n" + std::string(1000, 'x') + "\r\n", ConnectionLimit::BodyBytes},
    };
    for (const auto &it : cases) {
        SCOPED_TRACE(it.name);
        asio::io_context io;
        setResponseLimits(io, {{}, 1'000'000, 10'000'000});
        tcp::acceptor acceptor(io, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
        std::thread server([&] {
            tcp::socket socket(io);
            boost::system::error_code ec;
            acceptor.accept(socket, ec);
            asio::write(socket, asio::buffer(it.head), ec);
            while (!ec) {
                asio::write(socket, asio::buffer(it.part), ec);
            }
        });
        std::optional<ports::AsyncResult<ApiAnswer>> result;
        {
            ApiClient client(io, {"127.0.0.1", acceptor.local_endpoint().port()}, 1);
            ApiCall call;
            call.timeout = 20'000ms;
            client.call(std::move(call), [&](const ports::AsyncResult<ApiAnswer> &answer) { result = answer; });
            while (!result && io.run_one() > 0) { }
        }
        ASSERT_TRUE(result);
        io.poll();
        server.join();
        ASSERT_FALSE(result->isOk());
        EXPECT_EQ(result->failure().kind, ErrorKind::StoreReplyLost);
        EXPECT_EQ(responseUsage(io).reached[static_cast<std::size_t>(it.limit)], 1U);
    }
}

} // namespace monsoonspool::http
