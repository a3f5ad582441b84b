#include "http/apiclient.h"

#include "http/listen.h"

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <deque>
#include <optional>
#include <utility>

namespace monsoonspool::http {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace bhttp = boost::beast::http;
using tcp = asio::ip::tcp;

namespace {

constexpr std::size_t MaxResponseBytes = 64 * 1024 * 1024;
// The reading of a larger response may take longer than the call's timeout: cut off, it would be
// larger still when it is asked for again.
constexpr std::size_t LargeResponseBytes = 64 * 1024;
// Longest pause between two reads of such a response after the timeout.
constexpr std::chrono::milliseconds MaxReadPause{1000};
// A connection that was idle for longer is not reused.
constexpr std::chrono::milliseconds MaxIdleTime{5000};
// A connection that was idle for longer is checked before reuse: the server may have
// closed it. The check costs two system calls.
constexpr std::chrono::milliseconds MaxUncheckedIdleTime{500};
// The interval of the timer that checks the deadlines of all calls, so the delay with
// which a timeout may be detected. Two timers for each call would cost more than the
// system calls of the call itself.
constexpr std::chrono::milliseconds DeadlineCheckInterval{50};

using Clock = std::chrono::steady_clock;
using Socket = asio::basic_stream_socket<tcp, asio::io_context::executor_type>;

struct PendingCall
{
    ApiCall call;
    ports::Handler<ApiAnswer> handler;
};

struct Connection
{
    explicit Connection(asio::io_context &io) : socket(io)
    {
    }
    // Makes the pending operation fail.
    void abortOnTimeout()
    {
        isTimedOut = true;
        beast::error_code ignored;
        socket.close(ignored);
    }

    Socket socket;
    beast::flat_buffer buffer;
    bhttp::request<bhttp::string_body> request;
    std::optional<bhttp::response_parser<bhttp::string_body>> parser;
    ports::Handler<ApiAnswer> handler;
    Clock::time_point lastUsed;
    Clock::time_point deadline; // of the current call
    std::size_t timeoutIndex = 0;
    bool isTimedOut = false;
};
using ConnectionPointer = std::shared_ptr<Connection>;

// Enforces the timeouts of the calls of all clients on one io_context.
class CallTimeouts : public asio::execution_context::service
{
public:
    using key_type = CallTimeouts;
    static inline asio::execution_context::id id;

    explicit CallTimeouts(asio::execution_context &context)
        : asio::execution_context::service(context), m_timer(static_cast<asio::io_context &>(context))
    {
    }

    void add(const ConnectionPointer &connection)
    {
        connection->timeoutIndex = m_connections.size();
        m_connections.push_back(connection);
        if (!std::exchange(m_isCheckScheduled, true)) {
            scheduleCheck();
        }
    }

    void remove(const ConnectionPointer &connection)
    {
        const auto n = connection->timeoutIndex;
        std::swap(m_connections[n], m_connections.back());
        m_connections[n]->timeoutIndex = n;
        m_connections.pop_back();
    }

private:
    void shutdown() override
    {
        m_connections.clear();
    }

    void scheduleCheck()
    {
        m_timer.expires_after(DeadlineCheckInterval);
        m_timer.async_wait([this](const boost::system::error_code &ec) {
            if (ec) {
                return;
            }
            const auto now = Clock::now();
            for (const auto &it : m_connections) {
                if (now >= it->deadline && !it->isTimedOut) {
                    it->abortOnTimeout();
                }
            }
            if (m_connections.empty()) {
                m_isCheckScheduled = false;
            } else {
                scheduleCheck();
            }
        });
    }

    asio::basic_waitable_timer<Clock, asio::wait_traits<Clock>, asio::io_context::executor_type> m_timer;
    std::vector<ConnectionPointer> m_connections;
    bool m_isCheckScheduled = false;
};

// Returns whether the server has closed the connection or sent unsolicited data.
bool isStale(Connection &connection)
{
    beast::error_code ec;
    char byte = 0;
    connection.socket.non_blocking(true, ec);
    connection.socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, ec);
    return ec != asio::error::would_block;
}

std::string describeError(const Connection &connection, const beast::error_code &ec)
{
    return connection.isTimedOut ? "timed out waiting for a response" : ec.message();
}

} // namespace

std::string_view ApiAnswer::field(std::string_view name) const
{
    const auto it = std::ranges::find_if(fields, [&](const auto &entry) { return beast::iequals(entry.first, name); });
    return it == fields.end() ? std::string_view() : std::string_view(it->second);
}

struct ApiClient::Private : std::enable_shared_from_this<ApiClient::Private>
{
    Private(asio::io_context &context, ports::Address target, int connections)
        : io(context), timeouts(asio::use_service<CallTimeouts>(context)), address(std::move(target)),
          maxConnections(connections)
    {
    }

    void startNext();
    ConnectionPointer acquireIdle();
    void connect(const ConnectionPointer &connection);
    void write(const ConnectionPointer &connection);
    void awaitResponse(const ConnectionPointer &connection);
    void readResponse(const ConnectionPointer &connection);
    void onResponse(const ConnectionPointer &connection, beast::error_code ec);
    void finish(const ConnectionPointer &connection, const ports::AsyncResult<ApiAnswer> &result, bool isReusable);

    asio::io_context &io;
    CallTimeouts &timeouts;
    ports::Address address;
    int maxConnections;
    int openCount = 0;
    bool isClosed = false;
    std::deque<PendingCall> pending;
    std::vector<ConnectionPointer> idle;
};

ApiClient::ApiClient(asio::io_context &io, ports::Address address, int maxConnections)
    : d(std::make_shared<Private>(io, std::move(address), maxConnections))
{
}

ApiClient::~ApiClient()
{
    d->isClosed = true;
    d->idle.clear();
    d->pending.clear();
}

void ApiClient::call(ApiCall call, ports::Handler<ApiAnswer> handler)
{
    d->pending.push_back({std::move(call), std::move(handler)});
    d->startNext();
}

// Returns an idle connection, or nullptr if there is none. Discards connections that the
// server may have closed, because a call sent on one of them would be lost.
ConnectionPointer ApiClient::Private::acquireIdle()
{
    const auto now = Clock::now();
    while (!idle.empty()) {
        auto connection = idle.back();
        idle.pop_back();
        const auto idleTime = now - connection->lastUsed;
        if (idleTime < MaxUncheckedIdleTime || (idleTime < MaxIdleTime && !isStale(*connection))) {
            return connection;
        }
        --openCount;
    }
    return nullptr;
}

void ApiClient::Private::startNext()
{
    while (!pending.empty()) {
        auto connection = acquireIdle();
        const bool isNew = !connection;
        if (isNew) {
            if (openCount >= maxConnections) {
                return;
            }
            ++openCount;
            connection = std::make_shared<Connection>(io);
        }
        auto next = std::move(pending.front());
        pending.pop_front();
        auto &request = connection->request;
        request = {};
        request.version(11);
        request.method_string(next.call.method);
        request.target(next.call.target);
        request.set(bhttp::field::host, formatAddress(address));
        for (const auto &[name, value] : next.call.fields) {
            request.set(name, value);
        }
        request.body() = std::move(next.call.body);
        request.prepare_payload();
        connection->handler = std::move(next.handler);
        connection->deadline = Clock::now() + next.call.timeout;
        timeouts.add(connection);
        if (isNew) {
            connect(connection);
        } else {
            write(connection);
        }
    }
}

void ApiClient::Private::connect(const ConnectionPointer &connection)
{
    const auto endpoint = handleFailure([&]() -> Result<std::optional<tcp::endpoint>> { return toEndpoint(address); },
                                        [](const Failure &) { return std::optional<tcp::endpoint>(); });
    if (!endpoint) {
        asio::post(io, [self = shared_from_this(), connection] {
            self->finish(connection, Failure{ErrorKind::DaemonUnreachable, formatAddress(self->address)}, false);
        });
        return;
    }
    connection->socket.async_connect(*endpoint, [self = shared_from_this(), connection](beast::error_code ec) {
        if (ec) {
            self->finish(connection,
                         Failure{ErrorKind::DaemonUnreachable,
                                 formatAddress(self->address) + ": " + describeError(*connection, ec)},
                         false);
            return;
        }
        beast::error_code ignored;
        connection->socket.set_option(tcp::no_delay(true), ignored);
        self->write(connection);
    });
}

void ApiClient::Private::write(const ConnectionPointer &connection)
{
    bhttp::async_write(
        connection->socket, connection->request,
        [self = shared_from_this(), connection](beast::error_code ec, std::size_t) {
            if (ec) {
                self->finish(connection, Failure{ErrorKind::StoreReplyLost, describeError(*connection, ec)}, false);
                return;
            }
            self->awaitResponse(connection);
        });
}

// Waits until the socket is readable before reading. The response has never arrived at
// this point, so an immediate read would waste one system call per call.
void ApiClient::Private::awaitResponse(const ConnectionPointer &connection)
{
    connection->socket.async_wait(Socket::wait_read,
                                  [self = shared_from_this(), connection](beast::error_code waitError) {
                                      if (waitError) {
                                          self->onResponse(connection, waitError);
                                          return;
                                      }
                                      connection->parser.emplace();
                                      connection->parser->body_limit(MaxResponseBytes);
                                      connection->parser->eager(true); // small responses take one read
                                      self->readResponse(connection);
                                  });
}

void ApiClient::Private::readResponse(const ConnectionPointer &connection)
{
    bhttp::async_read_some(connection->socket, connection->buffer, *connection->parser,
                           [self = shared_from_this(), connection](beast::error_code ec, std::size_t) {
                               if (ec || connection->parser->is_done()) {
                                   self->onResponse(connection, ec);
                                   return;
                               }
                               if (connection->parser->content_length().value_or(0) > LargeResponseBytes) {
                                   // The parser reads as much at once as the buffer can hold.
                                   connection->buffer.reserve(LargeResponseBytes);
                                   connection->deadline = std::max(connection->deadline, Clock::now() + MaxReadPause);
                               }
                               self->readResponse(connection);
                           });
}

void ApiClient::Private::onResponse(const ConnectionPointer &connection, beast::error_code ec)
{
    if (ec) {
        finish(connection, Failure{ErrorKind::StoreReplyLost, describeError(*connection, ec)}, false);
        return;
    }
    auto message = connection->parser->release();
    ApiAnswer answer;
    answer.status = static_cast<int>(message.result_int());
    for (const auto &it : message) {
        answer.fields.emplace_back(it.name_string(), it.value());
    }
    const bool isReusable = message.keep_alive();
    answer.body = std::move(message.body());
    finish(connection, answer, isReusable);
}

void ApiClient::Private::finish(const ConnectionPointer &connection, const ports::AsyncResult<ApiAnswer> &result,
                                bool isReusable)
{
    const auto handler = std::move(connection->handler);
    timeouts.remove(connection);
    if (isReusable && !isClosed && !connection->isTimedOut) {
        connection->lastUsed = Clock::now();
        idle.push_back(connection);
    } else {
        --openCount;
    }
    if (isClosed) {
        return;
    }
    handler(result);
    startNext();
}

Result<ApiAnswer> callAndWait(const ports::Address &address, const ApiCall &call)
{
    asio::io_context io;
    ApiClient client(io, address, 1);
    std::optional<ports::AsyncResult<ApiAnswer>> result;
    client.call(call, [&](const ports::AsyncResult<ApiAnswer> &it) { result = it; });
    while (!result && io.run_one() > 0) { }
    if (!result) {
        return fail(ErrorKind::Internal, "call ended without a result");
    }
    if (!result->isOk()) {
        return fail(result->failure().kind, result->failure().detail);
    }
    return result->value();
}

} // namespace monsoonspool::http
