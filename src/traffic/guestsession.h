#pragma once

#include "traffic/exchange.h"
#include "traffic/guestrequest.h"
#include "traffic/lanecontext.h"

#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <memory>
#include <optional>
#include <string>

namespace monsoonspool::traffic {

// Serves one guest connection. Requests are handled one at a time, so that responses
// are in the order of the requests.
//
// If the deadline of a request passes while a target is still running it, the guest
// gets an error response immediately. The attempt continues to its end: the slot
// remains in use until then, and the answer to a request with an idempotency key is
// still recorded.
class GuestSession : public std::enable_shared_from_this<GuestSession>, public http::BudgetedConnection
{
public:
    GuestSession(LaneContext &lane, boost::asio::ip::tcp::socket socket);
    ~GuestSession() override;
    GuestSession(const GuestSession &) = delete;
    GuestSession &operator=(const GuestSession &) = delete;

    // Serves requests until the connection is closed.
    void run(boost::asio::yield_context yield);

    // Closes the connection unless a request is in progress or has begun to arrive.
    void closeIfIdle();

    void closeForLimit() override;

private:
    class Body;
    struct DeadlineResponse;
    struct RequestState;

    void setState(http::ConnectionState state);
    // Notes what the connection holds, `exchangeBytes` of it for a response.
    void noteBytes(std::size_t exchangeBytes = 0);
    void noteLimit(http::ConnectionLimit limit);
    void noteReadLimit(const boost::beast::error_code &ec);

    // Returns whether the connection can serve another request.
    bool serveRequest(boost::asio::yield_context yield);
    bool readHeader(boost::asio::yield_context yield);
    bool readBodyPrefix(boost::asio::yield_context yield);
    RequestHeaderView requestHeader() const;
    std::optional<GuestRequest> classifyRequest(boost::asio::yield_context yield);

    void processRequest(RequestState &state, boost::asio::yield_context yield);
    bool openRecord(RequestState &state, boost::asio::yield_context yield);
    void sendWithRetries(RequestState &state, boost::asio::yield_context yield);
    bool waitBeforeRetry(RequestState &state, int attempt, boost::asio::yield_context yield);
    bool mayRetry(const RequestState &state, routing::AttemptResult result) const;
    void relayResponse(RequestState &state, Exchange &exchange, boost::asio::yield_context yield);
    bool recordAnswerIfKeyed(RequestState &state, Exchange &exchange, boost::asio::yield_context yield);
    void failRequest(RequestState &state, const Failure &failure, boost::asio::yield_context yield);
    void closeRecordWithoutAnswer(RequestState &state);

    void armDeadlineTimer(RequestState &state);
    void disarmDeadlineTimer(RequestState &state, boost::asio::yield_context yield);

    template <typename Message>
    void writeResponse(Message &message, boost::beast::error_code &ec, const boost::asio::yield_context &yield);
    void sendBuffered(const Exchange &exchange, boost::asio::yield_context yield);
    bool sendStreamed(Exchange &exchange, boost::asio::yield_context yield);
    void sendRecordedAnswer(const records::RecordedAnswer &answer, boost::asio::yield_context yield);
    void sendFailure(const Failure &failure, std::optional<Duration> retryAfter, boost::asio::yield_context yield);
    boost::beast::http::response<boost::beast::http::string_body>
    failureResponse(const Failure &failure, std::optional<Duration> retryAfter) const;
    void resetConnection();

    LaneContext &m_lane;
    boost::beast::tcp_stream m_stream;
    boost::beast::flat_buffer m_buffer;
    std::optional<boost::beast::http::request_parser<boost::beast::http::buffer_body>> m_parser;
    std::string m_bodyPrefix; // buffered prefix of the request body
    std::size_t m_bodyPrefixSize = 0;
    std::shared_ptr<http::ConnectionRegistry> m_registry;
    http::ConnectionNumber m_number;
    http::FramingMeter m_meter; // of the current request
    bool m_isIdle = true; // no request in progress
    bool m_mustClose = false;
};

} // namespace monsoonspool::traffic
