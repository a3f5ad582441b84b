#include "http/apiclient.h"

#include "http/listen.h"

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <deque>
#include <optional>

namespace monsoonspool::http {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace bhttp = boost::beast::http;
using tcp = asio::ip::tcp;

namespace {

constexpr std::size_t MaxAnswerBytes = 64 * 1024 * 1024;
// An idle connection is not used again after this time.
constexpr std::chrono::milliseconds MaxIdle{5000};

struct PendingCall
{
    ApiCall call;
    ports::Handler<ApiAnswer> handler;
};

} // namespace

std::string_view ApiAnswer::field(std::string_view name) const
{
    const auto it = std::ranges::find_if(fields, [&](const auto &entry) { return beast::iequals(entry.first, name); });
    return it == fields.end() ? std::string_view() : std::string_view(it->second);
}

struct ApiClient::Private : std::enable_shared_from_this<ApiClient::Private>
{
    struct Connection
    {
        explicit Connection(asio::io_context &io) : stream(io)
        {
        }
        beast::tcp_stream stream;
        beast::flat_buffer buffer;
        bhttp::request<bhttp::string_body> request;
        std::optional<bhttp::response_parser<bhttp::string_body>> parser;
        ports::Handler<ApiAnswer> handler;
        std::chrono::steady_clock::time_point lastUsed;
    };
    using ConnectionPointer = std::shared_ptr<Connection>;

    Private(asio::io_context &context, ports::Address target, int connections)
        : io(context), address(std::move(target)), maxConnections(connections)
    {
    }

    void startNext();
    ConnectionPointer takeIdle();
    void connect(const ConnectionPointer &connection, std::chrono::milliseconds timeout);
    void write(const ConnectionPointer &connection);
    void onRead(const ConnectionPointer &connection, beast::error_code ec);
    void finish(const ConnectionPointer &connection, const ports::AsyncResult<ApiAnswer> &result, bool isReusable);

    asio::io_context &io;
    ports::Address address;
    int maxConnections;
    int openConnections = 0;
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

// Drops idle connections that the server may have closed, so that a call is not
// lost on one of them.
ApiClient::Private::ConnectionPointer ApiClient::Private::takeIdle()
{
    const auto now = std::chrono::steady_clock::now();
    while (!idle.empty()) {
        auto connection = idle.back();
        idle.pop_back();
        beast::error_code ec;
        const bool hasClosed = connection->stream.socket().available(ec) > 0 || ec;
        char byte = 0;
        connection->stream.socket().non_blocking(true, ec);
        connection->stream.socket().receive(asio::buffer(&byte, 1), tcp::socket::message_peek, ec);
        if (!hasClosed && ec == asio::error::would_block && now - connection->lastUsed < MaxIdle) {
            return connection;
        }
        --openConnections;
    }
    return nullptr;
}

void ApiClient::Private::startNext()
{
    while (!pending.empty()) {
        auto connection = takeIdle();
        const bool isNew = !connection;
        if (isNew) {
            if (openConnections >= maxConnections) {
                return;
            }
            ++openConnections;
            connection = std::make_shared<Connection>(io);
        }
        auto next = std::move(pending.front());
        pending.pop_front();
        auto &request = connection->request;
        request = {};
        request.version(11);
        request.method_string(next.call.method);
        request.target(next.call.target);
        request.set(bhttp::field::host, addressText(address));
        for (const auto &[name, value] : next.call.fields) {
            request.set(name, value);
        }
        request.body() = std::move(next.call.body);
        request.prepare_payload();
        connection->handler = std::move(next.handler);
        connection->stream.expires_after(next.call.timeout);
        if (isNew) {
            connect(connection, next.call.timeout);
        } else {
            write(connection);
        }
    }
}

void ApiClient::Private::connect(const ConnectionPointer &connection, std::chrono::milliseconds)
{
    const auto endpoint = handleFailure([&]() -> Result<std::optional<tcp::endpoint>> { return endpointOf(address); },
                                        [](const Failure &) { return std::optional<tcp::endpoint>(); });
    if (!endpoint) {
        asio::post(io, [self = shared_from_this(), connection] {
            self->finish(connection, Failure{ErrorKind::DaemonUnreachable, addressText(self->address)}, false);
        });
        return;
    }
    connection->stream.async_connect(*endpoint, [self = shared_from_this(), connection](beast::error_code ec) {
        if (ec) {
            self->finish(connection,
                         Failure{ErrorKind::DaemonUnreachable, addressText(self->address) + ": " + ec.message()},
                         false);
            return;
        }
        beast::error_code ignored;
        connection->stream.socket().set_option(tcp::no_delay(true), ignored);
        self->write(connection);
    });
}

void ApiClient::Private::write(const ConnectionPointer &connection)
{
    bhttp::async_write(connection->stream, connection->request,
                       [self = shared_from_this(), connection](beast::error_code ec, std::size_t) {
                           if (ec) {
                               self->finish(connection, Failure{ErrorKind::StoreReplyLost, ec.message()}, false);
                               return;
                           }
                           connection->parser.emplace();
                           connection->parser->body_limit(MaxAnswerBytes);
                           bhttp::async_read(connection->stream, connection->buffer, *connection->parser,
                                             [self, connection](beast::error_code readError, std::size_t) {
                                                 self->onRead(connection, readError);
                                             });
                       });
}

void ApiClient::Private::onRead(const ConnectionPointer &connection, beast::error_code ec)
{
    if (ec) {
        finish(connection, Failure{ErrorKind::StoreReplyLost, ec.message()}, false);
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
    if (isReusable && !isClosed) {
        connection->stream.expires_never();
        connection->lastUsed = std::chrono::steady_clock::now();
        idle.push_back(connection);
    } else {
        --openConnections;
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
    io.run();
    if (!result) {
        return fail(ErrorKind::Internal, "the call ended without a result");
    }
    if (!result->isOk()) {
        return fail(result->failure().kind, result->failure().detail);
    }
    return result->value();
}

} // namespace monsoonspool::http
