#pragma once

#include "routing/dispatcher.h"
#include "traffic/lanecontext.h"
#include "traffic/targetconnections.h"

#include <boost/asio/spawn.hpp>
#include <boost/beast/http.hpp>

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace monsoonspool::traffic {

// The body of a guest's request: a buffered prefix, followed by the rest, which is
// streamed from the guest.
class RequestBody
{
public:
    virtual ~RequestBody() = default;

    // Returns the buffered prefix.
    virtual std::string_view buffered() const = 0;

    // Returns whether the prefix is the complete body.
    virtual bool isComplete() const = 0;

    // Reads the next chunk, empty at the end. Sets `ec` if reading from the guest fails.
    virtual std::string_view readMore(boost::system::error_code &ec, boost::asio::yield_context yield) = 0;
};

// One attempt to run a request on a target: connects, sends the request, and reads
// the response header and as much of the body as fits into the buffer.
//
// An attempt is limited by the assignment's `endBy`, not by the guest's deadline,
// because the slot stays in use until the target has finished.
class Exchange
{
public:
    using RequestHeader = boost::beast::http::request_header<>;
    using ResponseHeader = boost::beast::http::response_header<>;

    Exchange(LaneContext &lane, routing::Assignment assignment);
    ~Exchange();
    Exchange(const Exchange &) = delete;
    Exchange &operator=(const Exchange &) = delete;

    // Makes the attempt. Returns Answered or ServerError once the response header and
    // the buffered part of the body have been read.
    routing::AttemptResult run(const RequestHeader &header, RequestBody &body, boost::asio::yield_context yield);

    const ResponseHeader &header() const;
    std::string_view buffered() const
    {
        return {m_body.data(), m_bodySize};
    }
    bool isComplete() const;
    // Returns the size of the buffers that the response occupies.
    std::size_t bufferBytes() const;

    // Returns the value of the response's Content-Length field, if present.
    std::optional<std::uint64_t> contentLength() const;

    // Reads the next chunk of the body, empty at the end. Sets `ec` if the body is
    // truncated.
    std::string_view readMore(boost::system::error_code &ec, boost::asio::yield_context yield);

    // Returns the connection to the lane's idle connections if it can be reused.
    void release();

    const routing::Assignment &assignment() const
    {
        return m_assignment;
    }

private:
    bool connect(boost::asio::yield_context yield);
    bool send(const RequestHeader &header, RequestBody &body, boost::system::error_code &ec,
              boost::asio::yield_context yield);
    bool sendBuffered(const RequestHeader &header, std::string_view body, boost::system::error_code &ec,
                      boost::asio::yield_context yield);
    bool sendStreamed(const RequestHeader &header, RequestBody &body, boost::system::error_code &ec,
                      boost::asio::yield_context yield);
    bool receive(bool isHead, boost::system::error_code &ec, boost::asio::yield_context yield);
    std::string_view readBodyInto(char *data, std::size_t size, boost::system::error_code &ec,
                                  boost::asio::yield_context yield);
    void noteLimit(http::ConnectionLimit limit);
    routing::AttemptResult failureResult(const boost::system::error_code &ec) const;

    LaneContext &m_lane;
    routing::Assignment m_assignment;
    std::unique_ptr<TargetConnection> m_connection;
    std::optional<boost::beast::http::response_parser<boost::beast::http::buffer_body>> m_parser;
    http::FramingMeter m_meter; // of the response
    std::string m_body; // grows up to `bufferedBodyBytes`, then holds one chunk at a time
    std::size_t m_bodySize = 0;
    bool m_hasGuestFailed = false;
};

// Returns whether a header field is hop-by-hop and must not be forwarded.
bool isHopByHop(std::string_view name);

} // namespace monsoonspool::traffic
