#pragma once

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>

// A small HTTP/1.1 server and client for the stand-ins, all on one thread.
namespace review {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace bhttp = boost::beast::http;
using tcp = asio::ip::tcp;
using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

using Request = bhttp::request<bhttp::string_body>;

struct Response
{
    int status = 200;
    std::string body = "{}";
    bool isDropped = false; // no response is sent and the connection stays open
};

using Handler = std::function<asio::awaitable<Response>(const Request &)>;

asio::awaitable<void> pause(Clock::duration time);

// Returns the value of a field of the query, decoded.
std::string queryValue(std::string_view target, std::string_view key);

// Returns a free port of 127.0.0.1.
unsigned short freePort(asio::io_context &io);

class Server
{
public:
    Server(asio::io_context &io, unsigned short port, Handler handler);
    ~Server();

    void start();
    // Closes the port and all connections, as the end of a process does.
    void stop();

private:
    struct State;
    static asio::awaitable<void> accept(std::shared_ptr<State> state);
    static asio::awaitable<void> serve(std::shared_ptr<State> state, std::shared_ptr<tcp::socket> socket);

    asio::io_context &m_io;
    unsigned short m_port;
    Handler m_handler;
    std::shared_ptr<State> m_state;
};

struct Answer
{
    int status = 0; // 0 without a response
    std::string body;
};

// Makes one call on a new connection.
asio::awaitable<Answer> call(unsigned short port, std::string method, std::string target, std::string host,
                             std::string body, milliseconds timeout);

} // namespace review
