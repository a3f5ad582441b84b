#include "traffic/guestsession.h"

#include "codec/json.h"
#include "logging/log.h"
#include "traffic/boundedread.h"

#include <algorithm>

namespace monsoonspool::traffic {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace bhttp = boost::beast::http;
using http::ConnectionLimit;
using http::ConnectionState;
using routing::AttemptResult;
using tcp = asio::ip::tcp;

namespace {

constexpr std::size_t ReadBufferBytes = 4096;
constexpr std::size_t StreamChunkBytes = 64 * 1024;
// What an idle connection occupies, beside its buffers: above all the stack of its coroutine.
constexpr std::size_t SessionBytes = 16 * 1024;
constexpr int MaxAttempts = 4;
constexpr int NoContent = 204;
constexpr int NotModified = 304;

beast::string_view fieldName(std::string_view name)
{
    return {name.data(), name.size()};
}

std::string_view fieldValue(const bhttp::fields &fields, std::string_view name)
{
    const auto it = fields.find(fieldName(name));
    return it == fields.end() ? std::string_view() : std::string_view(it->value());
}

template <typename Message>
void copyResponseHeader(const Exchange::ResponseHeader &from, Message &to)
{
    to.version(11);
    to.result(from.result());
    to.reason(from.reason());
    for (const auto &it : from) {
        if (!isHopByHop(it.name_string())) {
            to.insert(it.name_string(), it.value());
        }
    }
    to.set(fieldName(OutcomeField), outcomeName(Outcome::Answered));
}

} // namespace

// The body of the current request.
class GuestSession::Body : public RequestBody
{
public:
    explicit Body(GuestSession &session) : m_session(session)
    {
    }

    std::string_view buffered() const override
    {
        return {m_session.m_bodyPrefix.data(), m_session.m_bodyPrefixSize};
    }

    bool isComplete() const override
    {
        return !m_hasStreamed && m_session.m_parser->is_done();
    }

    std::string_view readMore(beast::error_code &ec, asio::yield_context yield) override
    {
        m_hasStreamed = true;
        m_chunk.resize(StreamChunkBytes);
        m_session.m_stream.expires_after(m_session.m_lane.options().limits.bodyTimeout);
        const auto n = readBody(m_session.m_stream, m_session.m_buffer, *m_session.m_parser, m_session.m_meter,
                                m_chunk.data(), m_chunk.size(), ec, yield);
        if (ec) {
            m_session.noteReadLimit(ec);
        }
        return {m_chunk.data(), n};
    }

    // Returns whether readMore() was called, after which the body cannot be sent again.
    bool hasStreamed() const
    {
        return m_hasStreamed;
    }

private:
    GuestSession &m_session;
    std::string m_chunk;
    bool m_hasStreamed = false;
};

// The timer of the deadline during an attempt, and the error response that is sent when
// it fires. Shared with the handlers of the timer and of the write.
struct GuestSession::DeadlineResponse
{
    explicit DeadlineResponse(asio::io_context &io) : timer(io)
    {
    }
    asio::steady_timer timer;
    bool isArmed = true;
    bool isSent = false; // or being written
    bool isWriting = false;
    bhttp::response<bhttp::string_body> response;
};

// The state of the current request.
struct GuestSession::RequestState
{
    GuestRequest request;
    TimePoint startedAt;
    routing::Dispatcher *dispatcher = nullptr;
    admission::FlowIndex flow = 0;
    FlowMetrics *metrics = nullptr;
    std::optional<std::uint64_t> recordToken; // set while the record is open
    bool mayHaveRun = false; // a target may have run the request
    std::shared_ptr<DeadlineResponse> deadlineResponse; // of the last attempt

    bool isDeadlineResponseSent() const
    {
        return deadlineResponse && deadlineResponse->isSent;
    }
};

GuestSession::GuestSession(LaneContext &lane, tcp::socket socket)
    : m_lane(lane), m_stream(std::move(socket)), m_buffer(http::maxReadBuffer(messageLimits(lane.options().limits))),
      m_registry(lane.guests()), m_number(m_registry->add(*this, http::peerOf(m_stream.socket()), monotonicNow()))
{
}

GuestSession::~GuestSession()
{
    m_registry->remove(m_number);
}

void GuestSession::run(asio::yield_context yield)
{
    ++m_lane.counts().connections;
    while (serveRequest(yield)) { }
    beast::error_code ignored;
    m_stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
    m_stream.close();
}

void GuestSession::closeIfIdle()
{
    beast::error_code ec;
    const bool hasBytes = m_buffer.size() > 0 || m_stream.socket().available(ec) > 0;
    if (m_isIdle && !hasBytes) {
        m_stream.close();
    }
}

void GuestSession::closeForLimit()
{
    m_stream.close();
}

void GuestSession::setState(http::ConnectionState state)
{
    m_registry->setState(m_number, state, monotonicNow());
}

void GuestSession::noteBytes(std::size_t exchangeBytes)
{
    m_registry->setBytes(m_number, SessionBytes + m_buffer.capacity() + m_bodyPrefix.capacity() + exchangeBytes,
                         monotonicNow());
}

void GuestSession::noteLimit(http::ConnectionLimit limit)
{
    m_registry->noteLimit(m_number, limit, monotonicNow());
}

// Reports the limit for which a read of the body failed, if any.
void GuestSession::noteReadLimit(const beast::error_code &ec)
{
    if (ec == bhttp::error::buffer_overflow) {
        noteLimit(ConnectionLimit::FramingBytes);
    } else if (ec == bhttp::error::body_limit) {
        noteLimit(ConnectionLimit::BodyBytes);
    } else if (ec == beast::error::timeout) {
        noteLimit(ConnectionLimit::BodyTime);
    }
}

bool GuestSession::serveRequest(asio::yield_context yield)
{
    m_isIdle = true;
    setState(ConnectionState::Idle);
    if (m_bodyPrefix.capacity() > ReadBufferBytes) {
        m_bodyPrefix = {};
    }
    noteBytes();
    if (!readHeader(yield)) {
        return false;
    }
    ++m_lane.counts().requests;
    m_mustClose = !m_parser->get().keep_alive() || m_lane.isDraining();
    const auto request = classifyRequest(yield);
    if (!request || !readBodyPrefix(yield)) {
        return false;
    }
    RequestState state;
    state.request = *request;
    state.startedAt = monotonicNow();
    const auto &document = request->service->document;
    state.metrics = &m_lane.metrics(document.service, request->urgency->name);
    state.dispatcher = m_lane.dispatcher(document.pool);
    const auto flow
        = state.dispatcher ? state.dispatcher->findFlow(document.service, request->urgency->name) : std::nullopt;
    if (!flow) {
        failRequest(state, {ErrorKind::NoTarget, "service is not ready: no queue exists for it yet"}, yield);
        return !m_mustClose;
    }
    state.flow = *flow;
    processRequest(state, yield);
    return !m_mustClose && m_parser->is_done();
}

bool GuestSession::readHeader(asio::yield_context yield)
{
    const auto &limits = m_lane.options().limits;
    beast::error_code ec;
    if (m_buffer.size() == 0) {
        m_stream.expires_after(limits.idleTimeout);
        const std::size_t n = m_stream.async_read_some(m_buffer.prepare(ReadBufferBytes), yield[ec]);
        if (ec) {
            if (ec == beast::error::timeout) {
                noteLimit(ConnectionLimit::IdleTime);
            }
            return false;
        }
        m_buffer.commit(n);
    }
    m_isIdle = false;
    setState(ConnectionState::Reading);
    m_meter = http::FramingMeter(messageLimits(limits));
    m_parser.emplace();
    m_parser->header_limit(static_cast<std::uint32_t>(limits.headerBytes));
    m_parser->body_limit(limits.bodyBytes);
    m_stream.expires_after(limits.headerTimeout);
    bhttp::async_read_header(m_stream, m_buffer, *m_parser, yield[ec]);
    if (!ec) {
        return true;
    }
    m_mustClose = true;
    const auto refuse = [&](ErrorKind kind, std::string detail) {
        ++m_lane.counts().refusedEarly[kind];
        // Fails silently if the stream's timer has closed the socket.
        sendFailure({kind, std::move(detail)}, std::nullopt, yield);
    };
    if (ec == beast::error::timeout) {
        ++m_lane.counts().refusedEarly[ErrorKind::SlowSender];
        noteLimit(ConnectionLimit::HeaderTime);
    } else if (ec == bhttp::error::header_limit) {
        noteLimit(ConnectionLimit::HeaderBytes);
        refuse(ErrorKind::HeadersTooLarge, "request header exceeds " + std::to_string(limits.headerBytes) + " bytes");
    } else if (ec == bhttp::error::body_limit) {
        noteLimit(ConnectionLimit::BodyBytes);
        refuse(ErrorKind::BodyTooLarge, "request body exceeds " + std::to_string(limits.bodyBytes) + " bytes");
    } else if (ec != bhttp::error::end_of_stream && ec != bhttp::error::partial_message
               && ec.category() == bhttp::make_error_code(bhttp::error::bad_method).category()) {
        refuse(ErrorKind::MalformedRequest, ec.message());
    }
    return false;
}

RequestHeaderView GuestSession::requestHeader() const
{
    const auto &message = m_parser->get();
    RequestHeaderView header;
    header.method = message.method_string();
    header.target = message.target();
    header.host = message[bhttp::field::host];
    header.deadline = fieldValue(message, DeadlineField);
    header.urgency = fieldValue(message, UrgencyField);
    header.idempotencyKey = fieldValue(message, IdempotencyKeyField);
    header.hasIdempotencyKey = message.find(fieldName(IdempotencyKeyField)) != message.end();
    return header;
}

std::optional<GuestRequest> GuestSession::classifyRequest(asio::yield_context yield)
{
    return handleFailure(
        [&]() -> Result<std::optional<GuestRequest>> {
            return classify(requestHeader(), *m_lane.snapshot(), monotonicNow());
        },
        [&](const Failure &failure) {
            ++m_lane.counts().refusedEarly[failure.kind];
            m_mustClose = true; // the body is not read
            sendFailure(failure, std::nullopt, yield);
            return std::optional<GuestRequest>();
        });
}

bool GuestSession::readBodyPrefix(asio::yield_context yield)
{
    const auto &limits = m_lane.options().limits;
    beast::error_code ec;
    m_bodyPrefixSize = 0;
    if (m_parser->is_done()) {
        return true;
    }
    if (beast::iequals(m_parser->get()[bhttp::field::expect], "100-continue")) {
        bhttp::response<bhttp::empty_body> proceed(bhttp::status::continue_, 11);
        bhttp::async_write(m_stream, proceed, yield[ec]);
    }
    while (!ec && !m_parser->is_done() && m_bodyPrefixSize < limits.bufferedBodyBytes) {
        m_bodyPrefix.resize(std::min(limits.bufferedBodyBytes, std::max(ReadBufferBytes, m_bodyPrefixSize * 2)));
        noteBytes();
        m_stream.expires_after(limits.bodyTimeout);
        m_bodyPrefixSize += readBody(m_stream, m_buffer, *m_parser, m_meter, m_bodyPrefix.data() + m_bodyPrefixSize,
                                     m_bodyPrefix.size() - m_bodyPrefixSize, ec, yield);
    }
    if (!ec) {
        return true;
    }
    m_mustClose = true;
    noteReadLimit(ec);
    if (ec == bhttp::error::buffer_overflow) {
        ++m_lane.counts().refusedEarly[ErrorKind::HeadersTooLarge];
        sendFailure({ErrorKind::HeadersTooLarge, "chunk sizes, chunk extensions or trailers are too long"},
                    std::nullopt, yield);
    } else if (ec == bhttp::error::body_limit) {
        ++m_lane.counts().refusedEarly[ErrorKind::BodyTooLarge];
        sendFailure({ErrorKind::BodyTooLarge, "request body exceeds " + std::to_string(limits.bodyBytes) + " bytes"},
                    std::nullopt, yield);
    } else if (ec == beast::error::timeout) {
        ++m_lane.counts().refusedEarly[ErrorKind::SlowSender];
    } else if (ec != bhttp::error::partial_message
               && ec.category() == bhttp::make_error_code(bhttp::error::bad_method).category()) {
        ++m_lane.counts().refusedEarly[ErrorKind::MalformedRequest];
        sendFailure({ErrorKind::MalformedRequest, ec.message()}, std::nullopt, yield);
    }
    return false;
}

void GuestSession::processRequest(RequestState &state, asio::yield_context yield)
{
    m_stream.expires_never();
    noteBytes();
    setState(ConnectionState::Handling);
    if (!state.request.recordKey.empty() && !openRecord(state, yield)) {
        return;
    }
    sendWithRetries(state, yield);
}

// Returns whether the request may be sent to a target. Otherwise it has been answered.
bool GuestSession::openRecord(RequestState &state, asio::yield_context yield)
{
    const auto &document = state.request.service->document;
    records::KeyedRequest keyed;
    keyed.key = state.request.recordKey;
    const auto &message = m_parser->get();
    keyed.fingerprint = requestFingerprint(message.method_string(), state.request.target,
                                           std::string_view(m_bodyPrefix.data(), m_bodyPrefixSize));
    keyed.deadline = state.request.deadline;
    keyed.sendUnrecordedInOutage = document.pressure.storeOutage == documents::StoreOutagePolicy::SendUnrecorded;
    const auto decision = m_lane.openRecord(keyed, yield);
    if (const auto *proceed = std::get_if<records::MayProceed>(&decision)) {
        if (proceed->token != 0) {
            state.recordToken = proceed->token;
        }
        return true;
    }
    if (const auto *answer = std::get_if<records::RecordedAnswer>(&decision)) {
        sendRecordedAnswer(*answer, yield);
        ++state.metrics->answered;
    } else {
        failRequest(state, std::get<Failure>(decision), yield);
    }
    return false;
}

bool GuestSession::mayRetry(const RequestState &state, AttemptResult result) const
{
    if (state.isDeadlineResponseSent()) {
        return false;
    }
    return routing::isCertainlyNotRun(result) || state.request.service->document.isIdempotent;
}

void GuestSession::sendWithRetries(RequestState &state, asio::yield_context yield)
{
    Body body(*this);
    const routing::DispatchRequest request{m_lane.nextRequestId(), state.flow, state.startedAt, state.request.deadline};
    std::optional<TargetId> failedTarget;
    for (int attempt = 1;;) {
        const auto slot = m_lane.acquireSlot(*state.dispatcher, request, failedTarget, m_stream.socket(), yield);
        if (const auto *failure = std::get_if<Failure>(&slot)) {
            if (failure->kind == ErrorKind::RetryBudgetSpent && !state.mayHaveRun
                && waitBeforeRetry(state, attempt, yield)) {
                continue;
            }
            failRequest(state, *failure, yield);
            return;
        }
        if (std::holds_alternative<GuestDisconnected>(slot)) {
            closeRecordWithoutAnswer(state);
            m_mustClose = true;
            return;
        }
        const auto &assignment = std::get<routing::Assignment>(slot);
        state.metrics->waited.add(assignment.startedAt - state.startedAt);
        armDeadlineTimer(state);
        Exchange exchange(m_lane, assignment);
        auto header = m_parser->get().base();
        header.target(fieldName(state.request.target));
        const auto result = exchange.run(header, body, yield);
        if (result == AttemptResult::Answered || result == AttemptResult::ServerError) {
            state.mayHaveRun = true;
            relayResponse(state, exchange, yield);
            return;
        }
        m_lane.finishAttempt(*state.dispatcher, assignment, result);
        state.mayHaveRun = state.mayHaveRun || !routing::isCertainlyNotRun(result);
        disarmDeadlineTimer(state, yield);
        logging::log(
            logging::Level::Debug, "attempt-failed",
            {{"target", assignment.slot.target.view()}, {"attempt", attempt}, {"result", static_cast<int>(result)}});
        const bool isFinal = ++attempt > MaxAttempts || body.hasStreamed() || result == AttemptResult::Abandoned;
        if (isFinal || !mayRetry(state, result)) {
            const auto kind = !state.mayHaveRun     ? ErrorKind::TargetUnreachable
                : result == AttemptResult::TimedOut ? ErrorKind::DeadlineExceeded
                                                    : ErrorKind::TargetFailed;
            failRequest(state, {kind, "attempt at target " + assignment.slot.target.text() + " failed"}, yield);
            return;
        }
        ++state.metrics->retries;
        failedTarget = assignment.slot.target;
        waitBeforeRetry(state, attempt, yield);
    }
}

// Waits for the retry backoff. Returns whether the deadline has not passed.
bool GuestSession::waitBeforeRetry(RequestState &state, int attempt, asio::yield_context yield)
{
    asio::steady_timer timer(m_lane.io(), state.dispatcher->delayBeforeRetry(attempt));
    beast::error_code ignored;
    timer.async_wait(yield[ignored]);
    return monotonicNow() < state.request.deadline;
}

void GuestSession::relayResponse(RequestState &state, Exchange &exchange, asio::yield_context yield)
{
    const auto &assignment = exchange.assignment();
    noteBytes(exchange.bufferBytes());
    const bool isServerError = exchange.header().result_int() >= 500;
    const auto result = isServerError ? AttemptResult::ServerError : AttemptResult::Answered;
    if (exchange.isComplete()) {
        exchange.release();
        m_lane.finishAttempt(*state.dispatcher, assignment, result);
        recordAnswerIfKeyed(state, exchange, yield);
        disarmDeadlineTimer(state, yield);
        if (!state.isDeadlineResponseSent()) {
            sendBuffered(exchange, yield);
        }
    } else {
        disarmDeadlineTimer(state, yield);
        const bool isSent = !state.isDeadlineResponseSent() && sendStreamed(exchange, yield);
        const bool isDone = exchange.isComplete();
        exchange.release();
        m_lane.finishAttempt(*state.dispatcher, assignment, isDone ? result : AttemptResult::Truncated);
        closeRecordWithoutAnswer(state);
        if (!isSent && !state.isDeadlineResponseSent()) {
            ++state.metrics->failed[ErrorKind::AnswerTruncated];
            resetConnection();
            return;
        }
    }
    if (!state.isDeadlineResponseSent()) {
        ++state.metrics->answered;
        state.metrics->total.add(monotonicNow() - state.startedAt);
    }
}

bool GuestSession::recordAnswerIfKeyed(RequestState &state, Exchange &exchange, asio::yield_context yield)
{
    if (!state.recordToken) {
        return false;
    }
    records::RecordedAnswer answer;
    answer.status = static_cast<int>(exchange.header().result_int());
    for (const auto &it : exchange.header()) {
        if (!isHopByHop(it.name_string())) {
            answer.fields.emplace_back(it.name_string(), it.value());
        }
    }
    answer.body = exchange.buffered();
    m_lane.recordAnswer(*state.recordToken, std::move(answer), yield);
    state.recordToken.reset();
    return true;
}

void GuestSession::closeRecordWithoutAnswer(RequestState &state)
{
    if (!state.recordToken) {
        return;
    }
    if (state.mayHaveRun) {
        m_lane.abandonRecord(*state.recordToken);
    } else {
        m_lane.recordNotRun(*state.recordToken);
    }
    state.recordToken.reset();
}

// Ends the request with an error response. If a target may have run the request, the
// outcome is never reported as "not-run", whatever the later failure.
void GuestSession::failRequest(RequestState &state, const Failure &failure, asio::yield_context yield)
{
    closeRecordWithoutAnswer(state);
    disarmDeadlineTimer(state, yield);
    if (state.isDeadlineResponseSent()) {
        return;
    }
    const bool isUnknown = errorInfo(failure.kind).outcome == Outcome::Unknown;
    const Failure reported
        = state.mayHaveRun && !isUnknown ? Failure{ErrorKind::TargetFailed, failure.detail} : failure;
    ++state.metrics->failed[reported.kind];
    std::optional<Duration> retryAfter;
    if (state.dispatcher && errorInfo(reported.kind).isRetrySafe) {
        retryAfter = state.dispatcher->retryAfter(state.flow, monotonicNow());
    }
    m_mustClose = m_mustClose || !m_parser->is_done();
    sendFailure(reported, retryAfter, yield);
}

void GuestSession::armDeadlineTimer(RequestState &state)
{
    state.deadlineResponse = std::make_shared<DeadlineResponse>(m_lane.io());
    state.deadlineResponse->timer.expires_at(state.request.deadline);
    state.deadlineResponse->timer.async_wait([self = shared_from_this(), deadlineResponse = state.deadlineResponse,
                                              metrics = state.metrics](beast::error_code ec) {
        if (ec || !deadlineResponse->isArmed) {
            return;
        }
        deadlineResponse->isSent = true;
        deadlineResponse->isWriting = true;
        self->m_mustClose = true;
        ++metrics->failed[ErrorKind::DeadlineExceeded];
        deadlineResponse->response
            = self->failureResponse({ErrorKind::DeadlineExceeded,
                                     "target did not answer before the deadline and may still be running the request"},
                                    std::nullopt);
        self->m_stream.expires_after(self->m_lane.options().limits.bodyTimeout);
        bhttp::async_write(self->m_stream, deadlineResponse->response,
                           [self, deadlineResponse](beast::error_code, std::size_t) {
                               deadlineResponse->isWriting = false;
                               beast::error_code ignored;
                               self->m_stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
                               deadlineResponse->timer.cancel();
                           });
    });
}

// Cancels the timer. If it has fired, waits until the error response is written.
void GuestSession::disarmDeadlineTimer(RequestState &state, asio::yield_context yield)
{
    if (!state.deadlineResponse) {
        return;
    }
    state.deadlineResponse->isArmed = false;
    state.deadlineResponse->timer.cancel();
    while (state.deadlineResponse->isWriting) {
        beast::error_code ignored;
        state.deadlineResponse->timer.expires_at(asio::steady_timer::time_point::max());
        state.deadlineResponse->timer.async_wait(yield[ignored]);
    }
}

// Writes a message or the next part of a serializer.
template <typename Message>
void GuestSession::writeResponse(Message &message, beast::error_code &ec, const asio::yield_context &yield)
{
    setState(ConnectionState::Writing);
    m_stream.expires_after(m_lane.options().limits.bodyTimeout);
    bhttp::async_write(m_stream, message, yield[ec]);
    if (ec == beast::error::timeout) {
        noteLimit(ConnectionLimit::WriteTime);
    }
}

void GuestSession::sendBuffered(const Exchange &exchange, asio::yield_context yield)
{
    bhttp::response<bhttp::span_body<const char>> response;
    copyResponseHeader(exchange.header(), response);
    const auto body = exchange.buffered();
    response.body() = beast::span<const char>(body.data(), body.size());
    response.keep_alive(!m_mustClose);
    const auto status = static_cast<int>(exchange.header().result_int());
    const bool hasNoBody
        = m_parser->get().method() == bhttp::verb::head || status == NoContent || status == NotModified;
    if (!hasNoBody) {
        response.content_length(body.size());
    }
    beast::error_code ec;
    writeResponse(response, ec, yield);
    m_mustClose = m_mustClose || ec;
}

// Streams the response to the guest. Returns whether it was sent completely.
bool GuestSession::sendStreamed(Exchange &exchange, asio::yield_context yield)
{
    bhttp::response<bhttp::buffer_body> response;
    copyResponseHeader(exchange.header(), response);
    response.keep_alive(!m_mustClose);
    if (!exchange.contentLength()) {
        const bool supportsChunked = m_parser->get().version() >= 11;
        response.chunked(supportsChunked);
        m_mustClose = m_mustClose || !supportsChunked;
    }
    bhttp::response_serializer<bhttp::buffer_body> serializer(response);
    std::string_view chunk = exchange.buffered();
    beast::error_code ec;
    while (true) {
        response.body().data = chunk.empty() ? nullptr : const_cast<char *>(chunk.data());
        response.body().size = chunk.size();
        response.body().more = !chunk.empty();
        writeResponse(serializer, ec, yield);
        if (ec == bhttp::error::need_buffer) {
            ec = {};
        }
        if (ec || chunk.empty()) {
            return !ec;
        }
        chunk = exchange.readMore(ec, yield);
        if (ec) {
            return false;
        }
    }
}

void GuestSession::sendRecordedAnswer(const records::RecordedAnswer &answer, asio::yield_context yield)
{
    bhttp::response<bhttp::string_body> response;
    response.version(11);
    response.result(static_cast<unsigned>(answer.status));
    for (const auto &[name, value] : answer.fields) {
        response.insert(name, value);
    }
    response.set(fieldName(OutcomeField), outcomeName(Outcome::Answered));
    response.body() = answer.body;
    response.keep_alive(!m_mustClose);
    response.content_length(answer.body.size());
    beast::error_code ec;
    writeResponse(response, ec, yield);
    m_mustClose = m_mustClose || ec;
}

bhttp::response<bhttp::string_body> GuestSession::failureResponse(const Failure &failure,
                                                                  std::optional<Duration> retryAfter) const
{
    const auto &row = errorInfo(failure.kind);
    bhttp::response<bhttp::string_body> response(static_cast<bhttp::status>(row.httpStatus), 11);
    response.set(bhttp::field::content_type, "application/json");
    response.set(fieldName(OutcomeField), outcomeName(row.outcome));
    response.set(fieldName(ErrorField), row.name);
    if (retryAfter) {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(*retryAfter).count();
        response.set(bhttp::field::retry_after, std::to_string(seconds));
        response.set(fieldName(RetryAfterField), std::to_string(toMilliseconds(*retryAfter)));
    }
    response.body() = codec::writeJson({{"error", row.name},
                                        {"meaning", row.meaning},
                                        {"outcome", outcomeName(row.outcome)},
                                        {"retrySafe", row.isRetrySafe},
                                        {"detail", failure.detail}});
    response.keep_alive(!m_mustClose);
    response.prepare_payload();
    return response;
}

void GuestSession::sendFailure(const Failure &failure, std::optional<Duration> retryAfter, asio::yield_context yield)
{
    auto response = failureResponse(failure, retryAfter);
    beast::error_code ec;
    writeResponse(response, ec, yield);
    m_mustClose = m_mustClose || ec;
    if (!m_mustClose) {
        return;
    }
    // Reads and discards what the guest is still sending, for a limited time. Closing a
    // socket with unread data sends a reset, which can discard the response.
    m_stream.socket().shutdown(tcp::socket::shutdown_send, ec);
    m_stream.expires_after(500ms);
    std::size_t discardedBytes = 0;
    while (!ec && discardedBytes < StreamChunkBytes * 4) {
        m_buffer.clear();
        discardedBytes += m_stream.async_read_some(m_buffer.prepare(ReadBufferBytes), yield[ec]);
    }
    m_buffer.clear();
}

// Resets the connection so that the guest can detect the truncated response.
void GuestSession::resetConnection()
{
    beast::error_code ignored;
    m_stream.socket().set_option(asio::socket_base::linger(true, 0), ignored);
    m_stream.close();
    m_mustClose = true;
}

} // namespace monsoonspool::traffic
