#include "http/apiserver.h"

#include "http/listen.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <optional>

namespace monsoonspool::http {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace bhttp = boost::beast::http;
using tcp = asio::ip::tcp;

namespace {

constexpr std::chrono::milliseconds AcceptRetryDelay{100};
constexpr int HexBase = 16;
// What an idle connection occupies, beside its buffers.
constexpr std::size_t ConnectionBytes = 6 * 1024;
constexpr std::size_t HeaderReadBytes = 2048;
constexpr std::size_t BodyReadBytes = 16 * 1024;
// After a response to a request that was not read to its end.
constexpr std::chrono::milliseconds DiscardTime{500};
constexpr std::size_t MaxDiscardBytes = 256 * 1024;

// One connection. Reads, handles and answers requests one at a time.
class ApiConnection : public std::enable_shared_from_this<ApiConnection>, public BudgetedConnection
{
public:
    ApiConnection(tcp::socket socket, ApiHandler &handler, const ApiLimits &limits,
                  std::shared_ptr<ConnectionRegistry> registry, std::shared_ptr<const bool> isDraining)
        : m_stream(std::move(socket)), m_handler(handler), m_limits(limits), m_registry(std::move(registry)),
          m_isDraining(std::move(isDraining)), m_buffer(maxReadBuffer(limits.message)),
          m_number(m_registry->add(*this, peerOf(m_stream.socket()), monotonicNow()))
    {
    }
    ~ApiConnection() override
    {
        m_registry->remove(m_number);
    }
    ApiConnection(const ApiConnection &) = delete;
    ApiConnection &operator=(const ApiConnection &) = delete;

    void read()
    {
        m_parser.emplace();
        m_parser->eager(true);
        m_parser->header_limit(static_cast<std::uint32_t>(m_limits.message.headerBytes));
        m_parser->body_limit(m_limits.bodyBytes);
        m_meter = FramingMeter(m_limits.message);
        if (m_buffer.size() > 0) { // a pipelined request
            setState(ConnectionState::Reading);
            m_stream.expires_after(m_limits.headerTimeout);
            m_timeLimit = ConnectionLimit::HeaderTime;
            parse();
            return;
        }
        setState(ConnectionState::Idle);
        m_buffer = beast::flat_buffer(maxReadBuffer(m_limits.message));
        m_response = {};
        noteBytes(0);
        m_stream.expires_after(m_limits.idleTimeout);
        m_timeLimit = ConnectionLimit::IdleTime;
        readSome();
    }

    void closeForLimit() override
    {
        m_stream.close();
    }

private:
    void setState(ConnectionState state)
    {
        m_registry->setState(m_number, state, monotonicNow());
    }
    // Notes the bytes that this connection holds, `bodyBytes` of them for a body.
    void noteBytes(std::size_t bodyBytes)
    {
        m_registry->setBytes(m_number, ConnectionBytes + m_buffer.capacity() + bodyBytes, monotonicNow());
    }
    void noteLimit(ConnectionLimit limit)
    {
        m_registry->noteLimit(m_number, limit, monotonicNow());
    }

    void readSome()
    {
        const auto room = m_buffer.max_size() - m_buffer.size();
        if (room == 0) { // only a chunk line or trailers can fill the buffer
            refuse(ConnectionLimit::FramingBytes, ErrorKind::HeadersTooLarge);
            return;
        }
        const auto n = m_parser->is_header_done() ? BodyReadBytes : HeaderReadBytes;
        m_stream.async_read_some(
            m_buffer.prepare(std::min(room, n)),
            [self = shared_from_this()](beast::error_code ec, std::size_t bytes) { self->onRead(ec, bytes); });
    }

    void onRead(beast::error_code ec, std::size_t n)
    {
        if (ec) { // a request that is cut off is not answered
            if (ec == beast::error::timeout) {
                noteLimit(m_timeLimit);
            }
            return;
        }
        m_buffer.commit(n);
        if (m_timeLimit == ConnectionLimit::IdleTime) {
            setState(ConnectionState::Reading);
            m_stream.expires_after(m_limits.headerTimeout);
            m_timeLimit = ConnectionLimit::HeaderTime;
        }
        parse();
    }

    void parse()
    {
        beast::error_code ec;
        while (!ec && m_buffer.size() > 0 && !m_parser->is_done()) {
            const bool hadHeader = m_parser->is_header_done();
            const auto bodyBytes = m_parser->get().body().size();
            const auto n = m_parser->put(m_buffer.data(), ec);
            m_buffer.consume(n);
            if (hadHeader && !m_meter.note(n, m_parser->get().body().size() - bodyBytes)) {
                refuse(ConnectionLimit::FramingBytes, ErrorKind::HeadersTooLarge);
                return;
            }
        }
        if (ec == bhttp::error::body_limit) {
            refuse(ConnectionLimit::BodyBytes, ErrorKind::BodyTooLarge);
        } else if (ec == bhttp::error::header_limit) {
            refuse(ConnectionLimit::HeaderBytes, ErrorKind::HeadersTooLarge);
        } else if (ec && ec != bhttp::error::need_more) {
            respond(errorResponse(ErrorKind::MalformedRequest), false);
        } else if (m_parser->is_done()) {
            dispatch();
        } else {
            if (m_timeLimit == ConnectionLimit::HeaderTime && m_parser->is_header_done()) {
                m_stream.expires_after(m_limits.bodyTimeout);
                m_timeLimit = ConnectionLimit::BodyTime;
            }
            noteBytes(m_parser->get().body().capacity());
            readSome();
        }
    }

    void refuse(ConnectionLimit limit, ErrorKind kind)
    {
        noteLimit(limit);
        respond(errorResponse(kind), false);
    }

    static ApiResponse errorResponse(ErrorKind kind)
    {
        const auto &row = errorInfo(kind);
        return {row.httpStatus, "application/json", "{\"error\":\"" + std::string(row.name) + "\"}", {}};
    }

    void dispatch()
    {
        auto &message = m_parser->get();
        ApiRequest request;
        request.method = message.method_string();
        const std::string_view target = message.target();
        const auto queryStart = target.find('?');
        request.path = target.substr(0, queryStart);
        if (queryStart != std::string_view::npos) {
            parseQuery(target.substr(queryStart + 1), request);
        }
        request.authorization = message[bhttp::field::authorization];
        for (const auto &it : message) {
            request.fields.emplace_back(it.name_string(), it.value());
        }
        request.body = std::move(message.body());
        const bool keepAlive = message.keep_alive();
        m_stream.expires_never();
        setState(ConnectionState::Handling);
        m_handler.handle(request, [self = shared_from_this(), keepAlive](ApiResponse response) {
            self->respond(std::move(response), keepAlive && !*self->m_isDraining);
        });
    }

    static void parseQuery(std::string_view query, ApiRequest &request)
    {
        while (!query.empty()) {
            const auto end = query.find('&');
            const auto pair = query.substr(0, end);
            const auto equals = pair.find('=');
            const auto value = equals == std::string_view::npos ? std::string_view() : pair.substr(equals + 1);
            request.query.emplace_back(decodeUrl(pair.substr(0, equals)), decodeUrl(value));
            query = end == std::string_view::npos ? std::string_view() : query.substr(end + 1);
        }
    }

    void respond(ApiResponse response, bool keepAlive)
    {
        m_response = {};
        m_response.version(11);
        m_response.result(static_cast<unsigned>(response.status));
        m_response.set(bhttp::field::content_type, response.contentType);
        for (const auto &[name, value] : response.fields) {
            m_response.set(name, value);
        }
        m_response.keep_alive(keepAlive);
        m_response.body() = std::move(response.body);
        m_response.prepare_payload();
        setState(ConnectionState::Writing);
        noteBytes(m_response.body().capacity());
        m_stream.expires_after(m_limits.bodyTimeout);
        bhttp::async_write(m_stream, m_response,
                           [self = shared_from_this(), keepAlive](beast::error_code ec, std::size_t) {
                               if (ec == beast::error::timeout) {
                                   self->noteLimit(ConnectionLimit::WriteTime);
                               }
                               if (!ec && keepAlive) {
                                   self->read();
                                   return;
                               }
                               beast::error_code ignored;
                               self->m_stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
                               if (!ec && !self->m_parser->is_done()) {
                                   self->m_stream.expires_after(DiscardTime);
                                   self->discard(MaxDiscardBytes);
                               }
                           });
    }

    // Reads and discards what the peer is still sending, for a limited time. Closing a socket with
    // unread data sends a reset, which can discard the response.
    void discard(std::size_t maxBytes)
    {
        m_buffer.clear();
        m_stream.async_read_some(m_buffer.prepare(std::min(BodyReadBytes, m_buffer.max_size())),
                                 [self = shared_from_this(), maxBytes](beast::error_code ec, std::size_t n) {
                                     if (!ec && n < maxBytes) {
                                         self->discard(maxBytes - n);
                                     }
                                 });
    }

    beast::tcp_stream m_stream;
    ApiHandler &m_handler;
    ApiLimits m_limits;
    std::shared_ptr<ConnectionRegistry> m_registry;
    std::shared_ptr<const bool> m_isDraining;
    beast::flat_buffer m_buffer;
    ConnectionNumber m_number;
    ConnectionLimit m_timeLimit = ConnectionLimit::IdleTime; // which the timeout of the stream enforces
    FramingMeter m_meter;
    std::optional<bhttp::request_parser<bhttp::string_body>> m_parser;
    bhttp::response<bhttp::string_body> m_response;
};

bool isUnreserved(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' || c == '_'
        || c == '.' || c == '~';
}

int hexDigit(char c)
{
    if (c >= '0' && c <= '9') {
        return c - '0';
    }
    const char lower = static_cast<char>(c | 0x20);
    return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
}

} // namespace

std::string_view ApiRequest::queryValue(std::string_view key) const
{
    for (const auto &[name, value] : query) {
        if (name == key) {
            return value;
        }
    }
    return {};
}

std::string_view ApiRequest::field(std::string_view name) const
{
    const auto it = std::ranges::find_if(fields, [&](const auto &entry) { return beast::iequals(entry.first, name); });
    return it == fields.end() ? std::string_view() : std::string_view(it->second);
}

struct ApiServer::Private : std::enable_shared_from_this<ApiServer::Private>
{
    Private(asio::io_context &context, ApiHandler &apiHandler, ApiLimits apiLimits, std::string name)
        : io(context), handler(apiHandler), limits(apiLimits),
          registry(std::make_shared<ConnectionRegistry>(std::move(name), apiLimits.budget)), acceptor(context),
          retryTimer(context)
    {
    }

    void accept()
    {
        acceptor.async_accept([self = shared_from_this()](beast::error_code ec, tcp::socket socket) {
            if (ec == asio::error::operation_aborted || !self->acceptor.is_open()) {
                return;
            }
            if (ec) {
                self->scheduleAcceptRetry();
                return;
            }
            beast::error_code ignored;
            socket.set_option(tcp::no_delay(true), ignored);
            std::make_shared<ApiConnection>(std::move(socket), self->handler, self->limits, self->registry,
                                            self->isDraining)
                ->read();
            self->accept();
        });
    }

    // Retries after a delay, because errors such as a lack of file descriptors persist for
    // some time.
    void scheduleAcceptRetry()
    {
        retryTimer.expires_after(AcceptRetryDelay);
        retryTimer.async_wait([self = shared_from_this()](beast::error_code ec) {
            if (!ec && self->acceptor.is_open()) {
                self->accept();
            }
        });
    }

    asio::io_context &io;
    ApiHandler &handler;
    ApiLimits limits;
    std::shared_ptr<ConnectionRegistry> registry;
    std::shared_ptr<bool> isDraining = std::make_shared<bool>(false);
    tcp::acceptor acceptor;
    asio::steady_timer retryTimer;
};

ApiServer::ApiServer(asio::io_context &io, ApiHandler &handler, ApiLimits limits, std::string name)
    : d(std::make_shared<Private>(io, handler, limits, std::move(name)))
{
}

ApiServer::~ApiServer()
{
    stop();
}

Result<void> ApiServer::listen(const ports::Address &address)
{
    BOOST_LEAF_CHECK(openAcceptor(d->acceptor, address));
    d->accept();
    return {};
}

ports::Address ApiServer::address() const
{
    const auto endpoint = d->acceptor.local_endpoint();
    return {endpoint.address().to_string(), endpoint.port()};
}

void ApiServer::drain()
{
    *d->isDraining = true;
}

void ApiServer::stop()
{
    beast::error_code ignored;
    d->acceptor.close(ignored);
    d->retryTimer.cancel();
}

ConnectionUsage ApiServer::connections() const
{
    return d->registry->usage();
}

std::string decodeUrl(std::string_view text)
{
    std::string decoded;
    decoded.reserve(text.size());
    for (std::size_t n = 0; n < text.size(); ++n) {
        const bool isEscape
            = text[n] == '%' && n + 2 < text.size() && hexDigit(text[n + 1]) >= 0 && hexDigit(text[n + 2]) >= 0;
        if (isEscape) {
            decoded += static_cast<char>(hexDigit(text[n + 1]) * HexBase + hexDigit(text[n + 2]));
            n += 2;
        } else {
            decoded += text[n] == '+' ? ' ' : text[n];
        }
    }
    return decoded;
}

std::string encodeUrl(std::string_view text)
{
    constexpr std::string_view digits = "0123456789ABCDEF";
    std::string encoded;
    for (const char c : text) {
        if (isUnreserved(c)) {
            encoded += c;
        } else {
            const auto byte = static_cast<unsigned char>(c);
            encoded += '%';
            encoded += digits[byte / HexBase];
            encoded += digits[byte % HexBase];
        }
    }
    return encoded;
}

} // namespace monsoonspool::http
