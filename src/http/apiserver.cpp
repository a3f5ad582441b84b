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

// One connection. Reads, handles and answers requests one at a time.
class ApiConnection : public std::enable_shared_from_this<ApiConnection>
{
public:
    ApiConnection(tcp::socket socket, ApiHandler &handler, ApiLimits limits, std::shared_ptr<const bool> isDraining)
        : m_stream(std::move(socket)), m_handler(handler), m_limits(limits), m_isDraining(std::move(isDraining))
    {
    }

    void read()
    {
        m_parser.emplace();
        m_parser->header_limit(static_cast<std::uint32_t>(m_limits.headerBytes));
        m_parser->body_limit(m_limits.bodyBytes);
        m_stream.expires_after(m_limits.idleTimeout);
        bhttp::async_read(m_stream, m_buffer, *m_parser,
                          [self = shared_from_this()](beast::error_code ec, std::size_t) { self->onRead(ec); });
    }

private:
    void onRead(beast::error_code ec)
    {
        if (ec == bhttp::error::body_limit) {
            respond(errorResponse(ErrorKind::BodyTooLarge), false);
        } else if (ec == bhttp::error::header_limit) {
            respond(errorResponse(ErrorKind::HeadersTooLarge), false);
        } else if (!ec) {
            dispatch();
        } else if (ec != bhttp::error::end_of_stream
                   && ec.category() == beast::http::make_error_code(bhttp::error::bad_method).category()) {
            respond(errorResponse(ErrorKind::MalformedRequest), false);
        }
    }

    static ApiResponse errorResponse(ErrorKind kind)
    {
        const auto &row = errorInfo(kind);
        return {row.httpStatus, "application/json", "{\"error\":\"" + std::string(row.name) + "\"}", {}};
    }

    void dispatch()
    {
        const auto &message = m_parser->get();
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
        request.body = message.body();
        const bool keepAlive = message.keep_alive();
        m_stream.expires_never();
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
        m_stream.expires_after(m_limits.idleTimeout);
        bhttp::async_write(m_stream, m_response,
                           [self = shared_from_this(), keepAlive](beast::error_code ec, std::size_t) {
                               if (!ec && keepAlive) {
                                   self->read();
                               } else {
                                   beast::error_code ignored;
                                   self->m_stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
                               }
                           });
    }

    beast::tcp_stream m_stream;
    ApiHandler &m_handler;
    ApiLimits m_limits;
    std::shared_ptr<const bool> m_isDraining;
    beast::flat_buffer m_buffer;
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
    Private(asio::io_context &context, ApiHandler &apiHandler, ApiLimits apiLimits)
        : io(context), handler(apiHandler), limits(apiLimits), acceptor(context), retryTimer(context)
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
            std::make_shared<ApiConnection>(std::move(socket), self->handler, self->limits, self->isDraining)->read();
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
    std::shared_ptr<bool> isDraining = std::make_shared<bool>(false);
    tcp::acceptor acceptor;
    asio::steady_timer retryTimer;
};

ApiServer::ApiServer(asio::io_context &io, ApiHandler &handler, ApiLimits limits)
    : d(std::make_shared<Private>(io, handler, limits))
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
