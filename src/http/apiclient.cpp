#include "http/apiclient.h"

#include "http/listen.h"

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <deque>
#include <limits>
#include <optional>
#include <utility>

namespace monsoonspool::http {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace bhttp = boost::beast::http;
using tcp = asio::ip::tcp;

namespace {

// The reading of a larger response may take longer than the call's timeout: cut off, it would be
// larger still when it is asked for again.
constexpr std::size_t LargeResponseBytes = 64 * 1024;
// Longest pause between two reads of such a response after the timeout.
constexpr std::chrono::milliseconds MaxReadPause{1000};
// Such a response must arrive at this rate after the grace time, which covers a host that is frozen
// for some seconds. A host of the smallest kind receives ten times as much.
constexpr std::uint64_t MinBytesPerSecond = 32 * 1024;
constexpr std::chrono::seconds ReadGrace{5};
// Most responses are smaller, and take one read.
constexpr std::size_t ReadBytes = 2048;
// A connection that was idle for longer is not reused.
constexpr std::chrono::milliseconds MaxIdleTime{5000};
// A connection that was idle for longer is checked before reuse: the server may have
// closed it. The check costs two system calls.
constexpr std::chrono::milliseconds MaxUncheckedIdleTime{500};
// The interval of the timer that checks the deadlines of all calls. A call fails at the second
// check after its deadline, which is the delay with which a timeout is detected. Two timers for
// each call would cost more than the system calls of the call itself.
constexpr std::chrono::milliseconds DeadlineCheckInterval{50};

using Clock = std::chrono::steady_clock;
using Socket = asio::basic_stream_socket<tcp, asio::io_context::executor_type>;

using ResponseParser = bhttp::response_parser<bhttp::string_body>;

// Returns the length that a response announces for its body; 0 if it is not known yet. The parser may
// be asked only once it has read the header.
std::uint64_t announcedLength(const ResponseParser &parser)
{
    return parser.is_header_done() ? parser.content_length().value_or(0) : 0;
}

struct PendingCall
{
    ApiCall call;
    ports::Handler<ApiAnswer> handler;
};

struct Connection : BudgetedConnection
{
    explicit Connection(asio::io_context &io) : socket(io)
    {
    }
    void closeForLimit() override
    {
        isOverLimit = true;
        beast::error_code ignored;
        socket.close(ignored);
    }
    void restartTimeout()
    {
        deadline = Clock::now() + timeout;
        isOverdue = false;
    }
    // Makes the pending operation fail.
    void abortOnTimeout()
    {
        isTimedOut = true;
        beast::error_code ignored;
        socket.close(ignored);
    }

    Socket socket;
    std::uint64_t number = 0;
    beast::flat_buffer buffer;
    bhttp::request<bhttp::string_body> request;
    std::optional<bhttp::request_serializer<bhttp::string_body>> serializer;
    std::optional<ResponseParser> parser;
    ports::Handler<ApiAnswer> handler;
    Clock::time_point lastUsed;
    std::chrono::milliseconds timeout{0}; // of the current call
    Clock::time_point deadline; // of the current call
    std::size_t timeoutIndex = 0;
    std::optional<std::chrono::milliseconds> idleTime; // before the current call, unless the connection is new
    bool isOverdue = false; // at the last check of deadlines
    bool isTimedOut = false;
    FramingMeter meter; // of the current response
    std::optional<Clock::time_point> largeSince; // when a large response began to arrive
    ConnectionNumber budgetNumber = 0; // if the current response is counted by the budget
    bool isOverLimit = false;
};
using ConnectionPointer = std::shared_ptr<Connection>;

// Enforces the timeouts of the calls of all clients on one io_context.
//
// A thread that is behind reads responses late. What had arrived at one check is read before the
// next one, since the io_context handles events in the order in which they became ready. Only a
// call that is overdue at two checks has no response.
class CallTimeouts : public asio::execution_context::service
{
public:
    using key_type = CallTimeouts;
    static inline asio::execution_context::id id;

    explicit CallTimeouts(asio::execution_context &context)
        : asio::execution_context::service(context), m_timer(static_cast<asio::io_context &>(context))
    {
        setLimits({});
    }

    void setLimits(const ResponseLimits &responseLimits)
    {
        m_limits = responseLimits;
        m_registry.emplace("responses", BudgetLimits{std::numeric_limits<std::size_t>::max(), m_limits.bufferedBytes});
    }
    const ResponseLimits &limits() const
    {
        return m_limits;
    }
    ConnectionRegistry &registry()
    {
        return *m_registry;
    }

    void noteLimit(ConnectionLimit limit, const ports::Address &peer)
    {
        m_registry->noteLimit(peer, limit, monotonicNow());
    }

    // Notes that a response holds `bytes` bytes. May close its connection or another one. Small
    // responses are not counted, because most are complete with their first read.
    void noteBytes(const ConnectionPointer &connection, const ports::Address &peer, std::size_t bytes)
    {
        if (bytes <= LargeResponseBytes) {
            return;
        }
        const auto now = monotonicNow();
        if (connection->budgetNumber == 0) {
            connection->budgetNumber = m_registry->add(*connection, peer, now);
            m_registry->setState(connection->budgetNumber, ConnectionState::Reading, now);
        }
        m_registry->setBytes(connection->budgetNumber, bytes, now);
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
        if (const auto number = std::exchange(connection->budgetNumber, 0); number != 0) {
            m_registry->remove(number);
        }
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
                const bool wasOverdue = std::exchange(it->isOverdue, now >= it->deadline);
                if (it->isOverdue && wasOverdue && !it->isTimedOut) {
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
    ResponseLimits m_limits;
    std::optional<ConnectionRegistry> m_registry;
    std::vector<ConnectionPointer> m_connections;
    bool m_isCheckScheduled = false;
};

// Returns whether the server has closed the connection or sent unsolicited data.
bool isStale(Connection &connection)
{
    beast::error_code ec;
    char byte = 0;
    connection.socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, ec);
    return ec != asio::error::would_block;
}

std::string describeError(const Connection &connection, const beast::error_code &ec)
{
    const std::string what = connection.isOverLimit ? "the response exceeds a limit"
        : connection.isTimedOut                     ? "timed out waiting for a response"
                                                    : ec.message();
    return connection.idleTime
        ? what + ", on a connection that was idle for " + std::to_string(connection.idleTime->count()) + " ms"
        : what;
}

} // namespace

struct ApiClient::Private : std::enable_shared_from_this<ApiClient::Private>
{
    Private(asio::io_context &context, ports::Address target, int connections)
        : io(context), timeouts(asio::use_service<CallTimeouts>(context)), address(std::move(target)),
          maxConnections(connections)
    {
    }

    void startNext();
    ConnectionPointer acquireIdle(std::uint64_t number);
    void connect(const ConnectionPointer &connection);
    void write(const ConnectionPointer &connection);
    void awaitResponse(const ConnectionPointer &connection);
    void readResponse(const ConnectionPointer &connection);
    void onRead(const ConnectionPointer &connection, beast::error_code ec, std::size_t n);
    void onResponse(const ConnectionPointer &connection, beast::error_code ec);
    void rejectResponse(const ConnectionPointer &connection, ConnectionLimit limit);
    void finish(const ConnectionPointer &connection, const ports::AsyncResult<ApiAnswer> &result, bool isReusable);

    asio::io_context &io;
    CallTimeouts &timeouts;
    ports::Address address;
    int maxConnections;
    int openCount = 0;
    std::uint64_t lastNumber = 0; // of the connections
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

// Returns an idle connection, that with `number` unless it is 0, or nullptr if there is none.
// Discards connections that the server may have closed, because a call sent on one of them would
// be lost.
ConnectionPointer ApiClient::Private::acquireIdle(std::uint64_t number)
{
    const auto now = Clock::now();
    for (auto n = idle.size(); n-- > 0;) {
        if (number != 0 && idle[n]->number != number) {
            continue;
        }
        auto connection = idle[n];
        idle.erase(idle.begin() + static_cast<std::ptrdiff_t>(n));
        const auto idleTime = now - connection->lastUsed;
        if (idleTime < MaxUncheckedIdleTime || (idleTime < MaxIdleTime && !isStale(*connection))) {
            connection->idleTime = std::chrono::duration_cast<std::chrono::milliseconds>(idleTime);
            return connection;
        }
        --openCount;
    }
    return nullptr;
}

void ApiClient::Private::startNext()
{
    while (!pending.empty()) {
        const auto number = pending.front().call.connection;
        auto connection = acquireIdle(number);
        const bool isNew = !connection;
        if (isNew && number != 0) {
            asio::post(io, [self = shared_from_this(), handler = std::move(pending.front().handler)] {
                if (!self->isClosed) {
                    handler(Failure{ErrorKind::DaemonUnreachable,
                                    formatAddress(self->address) + ": the connection was closed"});
                }
            });
            pending.pop_front();
            continue;
        }
        if (isNew) {
            if (openCount >= maxConnections) {
                return;
            }
            ++openCount;
            connection = std::make_shared<Connection>(io);
            connection->number = ++lastNumber;
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
        connection->timeout = next.call.timeout;
        connection->restartTimeout();
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
        connection->socket.non_blocking(true, ignored);
        if (connection->isOverdue) {
            connection->restartTimeout(); // connected in time, and noticed late
        }
        self->write(connection);
    });
}

// Writes at once what the socket takes, which is usually all. A failure is reported later, since the
// caller does not expect its handler to run within call().
void ApiClient::Private::write(const ConnectionPointer &connection)
{
    beast::error_code error;
    connection->serializer.emplace(connection->request);
    bhttp::write(connection->socket, *connection->serializer, error);
    const auto onWritten = [self = shared_from_this(), connection](beast::error_code ec) {
        if (ec) {
            self->finish(connection, Failure{ErrorKind::StoreReplyLost, describeError(*connection, ec)}, false);
        } else {
            self->awaitResponse(connection);
        }
    };
    if (error == asio::error::would_block) {
        bhttp::async_write(connection->socket, *connection->serializer,
                           [onWritten](beast::error_code ec, std::size_t) { onWritten(ec); });
    } else if (error) {
        asio::post(io, [onWritten, error] { onWritten(error); });
    } else {
        awaitResponse(connection);
    }
}

void ApiClient::Private::awaitResponse(const ConnectionPointer &connection)
{
    connection->parser.emplace();
    const auto &limits = timeouts.limits();
    connection->parser->header_limit(static_cast<std::uint32_t>(limits.message.headerBytes));
    connection->parser->body_limit(limits.bodyBytes);
    connection->parser->eager(true);
    connection->meter = FramingMeter(limits.message);
    connection->largeSince.reset();
    connection->buffer.clear();
    readResponse(connection);
}

// Starting to read before the response has arrived takes no system call: the last read of the
// connection, which did not fill its buffer, has emptied the socket.
void ApiClient::Private::readResponse(const ConnectionPointer &connection)
{
    const bool isLarge = announcedLength(*connection->parser) > LargeResponseBytes;
    connection->socket.async_read_some(connection->buffer.prepare(isLarge ? LargeResponseBytes : ReadBytes),
                                       [self = shared_from_this(), connection](beast::error_code ec, std::size_t n) {
                                           self->onRead(connection, ec, n);
                                       });
}

void ApiClient::Private::onRead(const ConnectionPointer &connection, beast::error_code ec, std::size_t n)
{
    auto &parser = *connection->parser;
    const auto &body = parser.get().body();
    connection->buffer.commit(n);
    connection->isOverdue = connection->isOverdue && n == 0;
    if (ec == asio::error::eof && parser.got_some()) {
        ec = {};
        parser.put_eof(ec);
    } else if (!ec) {
        const bool hadHeader = parser.is_header_done();
        const auto bodyBytes = body.size();
        const auto parsed = parser.put(connection->buffer.data(), ec);
        connection->buffer.consume(parsed);
        ec = ec == bhttp::error::need_more ? beast::error_code() : ec;
        const bool isFramed = !hadHeader || connection->meter.note(parsed, body.size() - bodyBytes);
        if (!isFramed || connection->buffer.size() > maxReadBuffer(timeouts.limits().message)) {
            rejectResponse(connection, ConnectionLimit::FramingBytes);
            return;
        }
    }
    if (ec == bhttp::error::body_limit || ec == bhttp::error::header_limit) {
        const bool isHeader = ec == bhttp::error::header_limit;
        rejectResponse(connection, isHeader ? ConnectionLimit::HeaderBytes : ConnectionLimit::BodyBytes);
        return;
    }
    if (ec || parser.is_done()) {
        onResponse(connection, ec);
        return;
    }
    timeouts.noteBytes(connection, address, connection->buffer.size() + body.capacity());
    if (connection->isOverLimit) {
        onResponse(connection, asio::error::operation_aborted);
        return;
    }
    if (announcedLength(parser) > LargeResponseBytes) {
        const auto now = Clock::now();
        const auto since = connection->largeSince.value_or(now);
        connection->largeSince = since;
        const auto required = std::chrono::duration<double>(now - since - ReadGrace).count() * MinBytesPerSecond;
        if (static_cast<double>(body.size()) >= required) {
            connection->deadline = std::max(connection->deadline, now + MaxReadPause);
        }
    }
    readResponse(connection);
}

// Fails a call whose response has reached `limit`.
void ApiClient::Private::rejectResponse(const ConnectionPointer &connection, ConnectionLimit limit)
{
    connection->isOverLimit = true;
    timeouts.noteLimit(limit, address);
    onResponse(connection, asio::error::operation_aborted);
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
    const bool isReusable = message.keep_alive();
    answer.body = std::move(message.body());
    answer.connection = connection->number;
    finish(connection, answer, isReusable);
}

void ApiClient::Private::finish(const ConnectionPointer &connection, const ports::AsyncResult<ApiAnswer> &result,
                                bool isReusable)
{
    const auto handler = std::move(connection->handler);
    timeouts.remove(connection);
    if (isReusable && !isClosed && !connection->isTimedOut && !connection->isOverLimit) {
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

void setResponseLimits(asio::io_context &io, const ResponseLimits &limits)
{
    asio::use_service<CallTimeouts>(io).setLimits(limits);
}

ConnectionUsage responseUsage(asio::io_context &io)
{
    return asio::use_service<CallTimeouts>(io).registry().usage();
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
