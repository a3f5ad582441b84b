#include "traffic/exchange.h"

#include "traffic/boundedread.h"
#include "traffic/guestrequest.h"

#include <boost/asio/ip/address.hpp>
#include <boost/beast/core.hpp>

#include <algorithm>
#include <array>

namespace monsoonspool::traffic {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace bhttp = boost::beast::http;
using routing::AttemptResult;
using tcp = asio::ip::tcp;

namespace {

constexpr std::size_t MinReadBytes = 4096;
constexpr std::size_t StreamChunkBytes = 64 * 1024;
constexpr int FirstServerError = 500;

constexpr std::array<std::string_view, 9> HopByHopFields{"connection",          "keep-alive", "proxy-authenticate",
                                                         "proxy-authorization", "te",         "trailer",
                                                         "transfer-encoding",   "upgrade",    "expect"};

// Copies the end-to-end fields and sets the deadline field to the time left until
// `endBy`.
template <typename Message>
void copyRequestHeader(const Exchange::RequestHeader &from, Message &to, TimePoint endBy)
{
    to.version(11);
    to.method_string(from.method_string());
    to.target(from.target());
    for (const auto &it : from) {
        if (!isHopByHop(it.name_string()) && it.name() != bhttp::field::content_length) {
            to.insert(it.name_string(), it.value());
        }
    }
    const auto remainingMs = std::max<long long>(1, toMilliseconds(endBy - monotonicNow()));
    to.set(beast::string_view(DeadlineField.data(), DeadlineField.size()), std::to_string(remainingMs));
}

} // namespace

bool isHopByHop(std::string_view name)
{
    return std::ranges::any_of(HopByHopFields, [&](std::string_view it) { return beast::iequals(it, name); });
}

Exchange::Exchange(LaneContext &lane, routing::Assignment assignment)
    : m_lane(lane), m_assignment(std::move(assignment))
{
}

Exchange::~Exchange()
{
    if (m_connection) {
        m_lane.connections().noteClosed(m_assignment.slot.target);
    }
}

AttemptResult Exchange::run(const RequestHeader &header, RequestBody &body, asio::yield_context yield)
{
    m_connection = m_lane.connections().acquire(m_assignment.slot.target, monotonicNow());
    if (!m_connection->stream.socket().is_open() && !connect(yield)) {
        return AttemptResult::ConnectFailed;
    }
    m_connection->stream.expires_at(m_assignment.endBy);
    beast::error_code ec;
    if (!send(header, body, ec, yield)) {
        return failureResult(ec);
    }
    if (!receive(header.method() == bhttp::verb::head, ec, yield)) {
        return failureResult(ec);
    }
    return m_parser->get().result_int() >= FirstServerError ? AttemptResult::ServerError : AttemptResult::Answered;
}

AttemptResult Exchange::failureResult(const beast::error_code &ec) const
{
    if (m_hasGuestFailed) {
        return AttemptResult::Abandoned;
    }
    return ec == beast::error::timeout ? AttemptResult::TimedOut : AttemptResult::ConnectionLost;
}

bool Exchange::connect(asio::yield_context yield)
{
    const auto &addresses = m_lane.snapshot()->addresses;
    const auto it = addresses.find(m_assignment.slot.target);
    if (it == addresses.end()) {
        return false;
    }
    beast::error_code ec;
    const auto ip = asio::ip::make_address(it->second.ip, ec);
    if (ec) {
        return false;
    }
    m_connection->stream.expires_after(m_lane.options().connectTimeout);
    m_connection->stream.async_connect(tcp::endpoint(ip, it->second.port), yield[ec]);
    if (ec) {
        return false;
    }
    m_connection->stream.socket().set_option(tcp::no_delay(true), ec);
    return true;
}

bool Exchange::send(const RequestHeader &header, RequestBody &body, beast::error_code &ec, asio::yield_context yield)
{
    return body.isComplete() ? sendBuffered(header, body.buffered(), ec, yield) : sendStreamed(header, body, ec, yield);
}

bool Exchange::sendBuffered(const RequestHeader &header, std::string_view body, beast::error_code &ec,
                            asio::yield_context yield)
{
    bhttp::request<bhttp::span_body<const char>> request;
    copyRequestHeader(header, request, m_assignment.endBy);
    request.body() = boost::beast::span<const char>(body.data(), body.size());
    if (!body.empty() || header.count(bhttp::field::content_length) > 0
        || header.count(bhttp::field::transfer_encoding) > 0) {
        request.content_length(body.size());
    }
    bhttp::async_write(m_connection->stream, request, yield[ec]);
    return !ec;
}

bool Exchange::sendStreamed(const RequestHeader &header, RequestBody &body, beast::error_code &ec,
                            asio::yield_context yield)
{
    bhttp::request<bhttp::buffer_body> request;
    copyRequestHeader(header, request, m_assignment.endBy);
    if (const auto length = header.find(bhttp::field::content_length); length != header.end()) {
        request.set(bhttp::field::content_length, length->value());
    } else {
        request.chunked(true);
    }
    bhttp::request_serializer<bhttp::buffer_body> serializer(request);
    std::string_view chunk = body.buffered();
    while (true) {
        const bool isEnd = chunk.empty();
        request.body().data = isEnd ? nullptr : const_cast<char *>(chunk.data());
        request.body().size = chunk.size();
        request.body().more = !isEnd;
        bhttp::async_write(m_connection->stream, serializer, yield[ec]);
        if (ec == bhttp::error::need_buffer) {
            ec = {};
        }
        if (ec || isEnd) {
            return !ec;
        }
        chunk = body.readMore(ec, yield);
        if (ec) {
            m_hasGuestFailed = true;
            return false;
        }
    }
}

bool Exchange::receive(bool isHead, beast::error_code &ec, asio::yield_context yield)
{
    m_parser.emplace();
    const auto limits = messageLimits(m_lane.options().limits);
    m_parser->header_limit(static_cast<std::uint32_t>(limits.headerBytes));
    m_parser->body_limit(boost::none);
    m_parser->skip(isHead);
    m_meter = http::FramingMeter(limits);
    m_connection->buffer.max_size(http::maxReadBuffer(limits));
    bhttp::async_read_header(m_connection->stream, m_connection->buffer, *m_parser, yield[ec]);
    if (ec) {
        if (ec == bhttp::error::header_limit) {
            noteLimit(http::ConnectionLimit::HeaderBytes);
        }
        return false;
    }
    const std::size_t limit = m_lane.options().limits.bufferedBodyBytes;
    while (!m_parser->is_done() && m_bodySize < limit) {
        const std::size_t expected
            = m_parser->content_length() ? static_cast<std::size_t>(*m_parser->content_length()) : MinReadBytes;
        const std::size_t capacity = std::clamp(std::max(expected, m_bodySize + MinReadBytes), MinReadBytes, limit);
        if (m_body.size() < capacity) {
            m_body.resize(capacity);
        }
        m_bodySize += readBodyInto(m_body.data() + m_bodySize, m_body.size() - m_bodySize, ec, yield).size();
        if (ec) {
            return false;
        }
    }
    return true;
}

std::string_view Exchange::readBodyInto(char *data, std::size_t size, beast::error_code &ec, asio::yield_context yield)
{
    const auto n = readBody(m_connection->stream, m_connection->buffer, *m_parser, m_meter, data, size, ec, yield);
    if (ec == bhttp::error::buffer_overflow) {
        noteLimit(http::ConnectionLimit::FramingBytes);
    } else if (ec == beast::error::timeout) {
        noteLimit(http::ConnectionLimit::BodyTime);
    }
    return {data, n};
}

void Exchange::noteLimit(http::ConnectionLimit limit)
{
    http::reportLimit(m_lane.targetLimits(), limit, "target", m_assignment.slot.target.view(), monotonicNow());
}

std::size_t Exchange::bufferBytes() const
{
    return m_body.capacity() + (m_connection ? m_connection->buffer.capacity() : 0);
}

std::string_view Exchange::readMore(beast::error_code &ec, asio::yield_context yield)
{
    m_body.resize(StreamChunkBytes);
    while (!m_parser->is_done()) {
        const auto chunk = readBodyInto(m_body.data(), m_body.size(), ec, yield);
        if (ec || !chunk.empty()) {
            return chunk;
        }
    }
    return {};
}

const Exchange::ResponseHeader &Exchange::header() const
{
    return m_parser->get().base();
}

bool Exchange::isComplete() const
{
    return m_parser && m_parser->is_done();
}

std::optional<std::uint64_t> Exchange::contentLength() const
{
    const auto length = m_parser->content_length();
    return length ? std::optional<std::uint64_t>(*length) : std::nullopt;
}

void Exchange::release()
{
    const bool isReusable = m_connection && m_parser && m_parser->is_done() && m_parser->get().keep_alive();
    if (isReusable) {
        m_lane.connections().release(m_assignment.slot.target, std::move(m_connection), m_assignment.slot.connections,
                                     monotonicNow());
    }
}

} // namespace monsoonspool::traffic
