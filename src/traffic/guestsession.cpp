#include "traffic/guestsession.h"

#include "codec/json.h"
#include "logging/log.h"

#include <algorithm>

namespace monsoonspool::traffic {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace bhttp = boost::beast::http;
using routing::AttemptResult;
using tcp = asio::ip::tcp;

namespace {

constexpr std::size_t FirstRead = 4096;
constexpr std::size_t StreamPart = 64 * 1024;
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
void copyAnswerHeader(const Exchange::ResponseHeader &from, Message &to)
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

// The body of the request that is being read from the guest.
class GuestSession::Body : public RequestBody
{
public:
    explicit Body(GuestSession &session) : m_session(session)
    {
    }

    std::string_view buffered() const override
    {
        return {m_session.m_bodyPart.data(), m_session.m_bodySize};
    }

    bool isWhole() const override
    {
        return !m_hasStreamed && m_session.m_parser->is_done();
    }

    std::string_view readMore(beast::error_code &ec, asio::yield_context yield) override
    {
        m_hasStreamed = true;
        m_part.resize(StreamPart);
        auto &parser = *m_session.m_parser;
        while (!parser.is_done()) {
            auto &sink = parser.get().body();
            sink.data = m_part.data();
            sink.size = m_part.size();
            m_session.m_stream.expires_after(m_session.m_lane.options().limits.bodyTimeout);
            bhttp::async_read(m_session.m_stream, m_session.m_buffer, parser, yield[ec]);
            if (ec == bhttp::error::need_buffer) {
                ec = {};
            }
            const std::size_t n = m_part.size() - sink.size;
            if (ec || n > 0) {
                return {m_part.data(), n};
            }
        }
        return {};
    }

    // Returns whether a part beyond the buffered one was passed on.
    bool hasStreamed() const
    {
        return m_hasStreamed;
    }

private:
    GuestSession &m_session;
    std::string m_part;
    bool m_hasStreamed = false;
};

// Tells the guest that its deadline has passed while a target is still at work.
struct GuestSession::LateAnswer
{
    explicit LateAnswer(asio::io_context &io) : timer(io)
    {
    }
    asio::steady_timer timer;
    bool isArmed = true;
    bool isSent = false; // or being sent
    bool isWriting = false;
    bhttp::response<bhttp::string_body> response;
};

// One request on its way.
struct GuestSession::Work
{
    GuestRequest request;
    TimePoint startedAt;
    routing::Dispatcher *dispatcher = nullptr;
    admission::FlowIndex flow = 0;
    FlowMetrics *metrics = nullptr;
    std::optional<std::uint64_t> recordToken; // of an open record
    bool mayHaveRun = false; // an attempt may have reached a target
    std::shared_ptr<LateAnswer> late; // while an attempt is under way

    bool isLate() const
    {
        return late && late->isSent;
    }
};

GuestSession::GuestSession(LaneContext &lane, tcp::socket socket) : m_lane(lane), m_stream(std::move(socket))
{
}

GuestSession::~GuestSession() = default;

void GuestSession::run(asio::yield_context yield)
{
    ++m_lane.counts().connections;
    while (serveOne(yield)) { }
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

bool GuestSession::serveOne(asio::yield_context yield)
{
    m_isIdle = true;
    if (!readHeader(yield)) {
        return false;
    }
    ++m_lane.counts().requests;
    m_mustClose = !m_parser->get().keep_alive() || m_lane.isDraining();
    const auto request = classifyRequest(yield);
    if (!request || !readFirstPart(yield)) {
        return false;
    }
    Work item;
    item.request = *request;
    item.startedAt = monotonicNow();
    const auto &document = request->service->document;
    item.metrics = &m_lane.metrics(document.service, request->urgency->name);
    item.dispatcher = m_lane.dispatcher(document.pool);
    const auto flow
        = item.dispatcher ? item.dispatcher->findFlow(document.service, request->urgency->name) : std::nullopt;
    if (!flow) {
        failWork(item, {ErrorKind::NoTarget, "the service is not ready yet"}, yield);
        return !m_mustClose;
    }
    item.flow = *flow;
    work(item, yield);
    return !m_mustClose && m_parser->is_done();
}

bool GuestSession::readHeader(asio::yield_context yield)
{
    const auto &limits = m_lane.options().limits;
    beast::error_code ec;
    if (m_buffer.size() == 0) {
        m_stream.expires_after(limits.idleTimeout);
        const std::size_t n = m_stream.async_read_some(m_buffer.prepare(FirstRead), yield[ec]);
        if (ec) {
            return false;
        }
        m_buffer.commit(n);
    }
    m_isIdle = false;
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
        // The stream's timer may have closed the socket; then nobody can be told.
        sendFailure({kind, std::move(detail)}, std::nullopt, yield);
    };
    if (ec == beast::error::timeout) {
        ++m_lane.counts().refusedEarly[ErrorKind::SlowSender];
    } else if (ec == bhttp::error::header_limit) {
        refuse(ErrorKind::HeadersTooLarge, "the header exceeds " + std::to_string(limits.headerBytes) + " bytes");
    } else if (ec == bhttp::error::body_limit) {
        refuse(ErrorKind::BodyTooLarge, "the body exceeds " + std::to_string(limits.bodyBytes) + " bytes");
    } else if (ec != bhttp::error::end_of_stream && ec != bhttp::error::partial_message
               && ec.category() == bhttp::make_error_code(bhttp::error::bad_method).category()) {
        refuse(ErrorKind::MalformedRequest, ec.message());
    }
    return false;
}

GuestHead GuestSession::head() const
{
    const auto &message = m_parser->get();
    GuestHead head;
    head.method = message.method_string();
    head.target = message.target();
    head.host = message[bhttp::field::host];
    head.deadline = fieldValue(message, DeadlineField);
    head.urgency = fieldValue(message, UrgencyField);
    head.idempotencyKey = fieldValue(message, IdempotencyKeyField);
    head.hasIdempotencyKey = message.find(fieldName(IdempotencyKeyField)) != message.end();
    return head;
}

std::optional<GuestRequest> GuestSession::classifyRequest(asio::yield_context yield)
{
    return handleFailure(
        [&]() -> Result<std::optional<GuestRequest>> { return classify(head(), *m_lane.snapshot(), monotonicNow()); },
        [&](const Failure &failure) {
            ++m_lane.counts().refusedEarly[failure.kind];
            m_mustClose = true; // its body is not read
            sendFailure(failure, std::nullopt, yield);
            return std::optional<GuestRequest>();
        });
}

bool GuestSession::readFirstPart(asio::yield_context yield)
{
    const auto &limits = m_lane.options().limits;
    beast::error_code ec;
    m_bodySize = 0;
    if (m_parser->is_done()) {
        return true;
    }
    if (beast::iequals(m_parser->get()[bhttp::field::expect], "100-continue")) {
        bhttp::response<bhttp::empty_body> proceed(bhttp::status::continue_, 11);
        bhttp::async_write(m_stream, proceed, yield[ec]);
    }
    while (!ec && !m_parser->is_done() && m_bodySize < limits.bufferedBodyBytes) {
        m_bodyPart.resize(std::min(limits.bufferedBodyBytes, std::max(FirstRead, m_bodySize * 2)));
        auto &sink = m_parser->get().body();
        sink.data = m_bodyPart.data() + m_bodySize;
        sink.size = m_bodyPart.size() - m_bodySize;
        m_stream.expires_after(limits.bodyTimeout);
        bhttp::async_read(m_stream, m_buffer, *m_parser, yield[ec]);
        if (ec == bhttp::error::need_buffer) {
            ec = {};
        }
        m_bodySize = m_bodyPart.size() - sink.size;
    }
    if (!ec) {
        return true;
    }
    m_mustClose = true;
    if (ec == bhttp::error::body_limit) {
        ++m_lane.counts().refusedEarly[ErrorKind::BodyTooLarge];
        sendFailure({ErrorKind::BodyTooLarge, "the body exceeds " + std::to_string(limits.bodyBytes) + " bytes"},
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

void GuestSession::work(Work &item, asio::yield_context yield)
{
    m_stream.expires_never();
    if (!item.request.recordKey.empty() && !openRecord(item, yield)) {
        return;
    }
    attempts(item, yield);
}

// Returns whether the request may be sent.
bool GuestSession::openRecord(Work &item, asio::yield_context yield)
{
    const auto &document = item.request.service->document;
    records::KeyedRequest keyed;
    keyed.key = item.request.recordKey;
    const auto &message = m_parser->get();
    keyed.fingerprint
        = fingerprintOf(message.method_string(), item.request.target, std::string_view(m_bodyPart.data(), m_bodySize));
    keyed.deadline = item.request.deadline;
    keyed.sendUnrecordedInOutage = document.pressure.storeOutage == documents::StoreOutagePolicy::SendUnrecorded;
    const auto decision = m_lane.openRecord(keyed, yield);
    if (const auto *proceed = std::get_if<records::MayProceed>(&decision)) {
        if (proceed->token != 0) {
            item.recordToken = proceed->token;
        }
        return true;
    }
    if (const auto *answer = std::get_if<records::RecordedAnswer>(&decision)) {
        sendRecorded(*answer, yield);
        ++item.metrics->answered;
    } else {
        failWork(item, std::get<Failure>(decision), yield);
    }
    return false;
}

bool GuestSession::mayRepeat(const Work &item, AttemptResult result) const
{
    if (item.isLate()) {
        return false;
    }
    return routing::isCertainlyNotRun(result) || item.request.service->document.isIdempotent;
}

void GuestSession::attempts(Work &item, asio::yield_context yield)
{
    Body body(*this);
    const routing::DispatchRequest request{m_lane.nextRequestId(), item.flow, item.startedAt, item.request.deadline};
    std::optional<TargetId> failedTarget;
    for (int attempt = 1;;) {
        const auto slot = m_lane.acquire(*item.dispatcher, request, failedTarget, m_stream.socket(), yield);
        if (const auto *failure = std::get_if<Failure>(&slot)) {
            if (failure->kind == ErrorKind::RetryBudgetSpent && !item.mayHaveRun
                && pauseBeforeRetry(item, attempt, yield)) {
                continue;
            }
            failWork(item, *failure, yield);
            return;
        }
        if (std::holds_alternative<GuestLeft>(slot)) {
            closeRecordWithoutAnswer(item);
            m_mustClose = true;
            return;
        }
        const auto &assignment = std::get<routing::Assignment>(slot);
        item.metrics->waited.add(assignment.startedAt - item.startedAt);
        armDeadline(item);
        Exchange exchange(m_lane, assignment);
        auto header = m_parser->get().base();
        header.target(fieldName(item.request.target));
        const auto result = exchange.run(header, body, yield);
        if (result == AttemptResult::Answered || result == AttemptResult::ServerError) {
            item.mayHaveRun = true;
            deliver(item, exchange, yield);
            return;
        }
        m_lane.finish(*item.dispatcher, assignment, result);
        item.mayHaveRun = item.mayHaveRun || !routing::isCertainlyNotRun(result);
        disarmDeadline(item, yield);
        logging::log(
            logging::Level::Debug, "attempt-failed",
            {{"target", assignment.slot.target.view()}, {"attempt", attempt}, {"result", static_cast<int>(result)}});
        const bool isLast = ++attempt > MaxAttempts || body.hasStreamed() || result == AttemptResult::Abandoned;
        if (isLast || !mayRepeat(item, result)) {
            const auto kind = !item.mayHaveRun      ? ErrorKind::TargetUnreachable
                : result == AttemptResult::TimedOut ? ErrorKind::DeadlineExceeded
                                                    : ErrorKind::TargetFailed;
            failWork(item, {kind, "target " + assignment.slot.target.text()}, yield);
            return;
        }
        ++item.metrics->retries;
        failedTarget = assignment.slot.target;
        pauseBeforeRetry(item, attempt, yield);
    }
}

// Waits for a while. Returns whether the deadline is still ahead.
bool GuestSession::pauseBeforeRetry(Work &item, int attempt, asio::yield_context yield)
{
    asio::steady_timer pause(m_lane.io(), item.dispatcher->delayBeforeRetry(attempt));
    beast::error_code ignored;
    pause.async_wait(yield[ignored]);
    return monotonicNow() < item.request.deadline;
}

void GuestSession::deliver(Work &item, Exchange &exchange, asio::yield_context yield)
{
    const auto &assignment = exchange.assignment();
    const bool isServerError = exchange.header().result_int() >= 500;
    const auto result = isServerError ? AttemptResult::ServerError : AttemptResult::Answered;
    if (exchange.isWhole()) {
        exchange.release();
        m_lane.finish(*item.dispatcher, assignment, result);
        recordIfKeyed(item, exchange, yield);
        disarmDeadline(item, yield);
        if (!item.isLate()) {
            sendWhole(exchange, yield);
        }
    } else {
        disarmDeadline(item, yield);
        const bool isSent = !item.isLate() && sendStream(exchange, yield);
        const bool isDone = exchange.isWhole();
        exchange.release();
        m_lane.finish(*item.dispatcher, assignment, isDone ? result : AttemptResult::Truncated);
        closeRecordWithoutAnswer(item);
        if (!isSent && !item.isLate()) {
            ++item.metrics->failed[ErrorKind::AnswerTruncated];
            breakOff();
            return;
        }
    }
    if (!item.isLate()) {
        ++item.metrics->answered;
        item.metrics->total.add(monotonicNow() - item.startedAt);
    }
}

bool GuestSession::recordIfKeyed(Work &item, Exchange &exchange, asio::yield_context yield)
{
    if (!item.recordToken) {
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
    m_lane.recordAnswer(*item.recordToken, std::move(answer), yield);
    item.recordToken.reset();
    return true;
}

void GuestSession::closeRecordWithoutAnswer(Work &item)
{
    if (!item.recordToken) {
        return;
    }
    if (item.mayHaveRun) {
        m_lane.abandonRecord(*item.recordToken);
    } else {
        m_lane.recordNotRun(*item.recordToken);
    }
    item.recordToken.reset();
}

// Ends the work without an answer. Once an attempt may have run, nothing that
// comes later can make the outcome "not-run".
void GuestSession::failWork(Work &item, const Failure &failure, asio::yield_context yield)
{
    closeRecordWithoutAnswer(item);
    disarmDeadline(item, yield);
    if (item.isLate()) {
        return;
    }
    const bool isUnknown = errorInfo(failure.kind).outcome == Outcome::Unknown;
    const Failure told = item.mayHaveRun && !isUnknown ? Failure{ErrorKind::TargetFailed, failure.detail} : failure;
    ++item.metrics->failed[told.kind];
    std::optional<Duration> retryAfter;
    if (item.dispatcher && errorInfo(told.kind).isRetrySafe) {
        retryAfter = item.dispatcher->retryAfter(item.flow, monotonicNow());
    }
    m_mustClose = m_mustClose || !m_parser->is_done();
    sendFailure(told, retryAfter, yield);
}

void GuestSession::armDeadline(Work &item)
{
    item.late = std::make_shared<LateAnswer>(m_lane.io());
    item.late->timer.expires_at(item.request.deadline);
    item.late->timer.async_wait(
        [self = shared_from_this(), late = item.late, metrics = item.metrics](beast::error_code ec) {
            if (ec || !late->isArmed) {
                return;
            }
            late->isSent = true;
            late->isWriting = true;
            self->m_mustClose = true;
            ++metrics->failed[ErrorKind::DeadlineExceeded];
            late->response
                = self->failureResponse({ErrorKind::DeadlineExceeded, "the target is still at work"}, std::nullopt);
            bhttp::async_write(self->m_stream, late->response, [self, late](beast::error_code, std::size_t) {
                late->isWriting = false;
                beast::error_code ignored;
                self->m_stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
                late->timer.cancel();
            });
        });
}

// Stops the timer; if it has fired, waits until the guest has been told.
void GuestSession::disarmDeadline(Work &item, asio::yield_context yield)
{
    if (!item.late) {
        return;
    }
    item.late->isArmed = false;
    item.late->timer.cancel();
    while (item.late->isWriting) {
        beast::error_code ignored;
        item.late->timer.expires_at(asio::steady_timer::time_point::max());
        item.late->timer.async_wait(yield[ignored]);
    }
}

void GuestSession::sendWhole(const Exchange &exchange, asio::yield_context yield)
{
    bhttp::response<bhttp::span_body<const char>> response;
    copyAnswerHeader(exchange.header(), response);
    const auto body = exchange.buffered();
    response.body() = beast::span<const char>(body.data(), body.size());
    response.keep_alive(!m_mustClose);
    const auto status = static_cast<int>(exchange.header().result_int());
    const bool hasNoBody
        = m_parser->get().method() == bhttp::verb::head || status == NoContent || status == NotModified;
    if (!hasNoBody) {
        response.content_length(body.size());
    }
    m_stream.expires_after(m_lane.options().limits.bodyTimeout);
    beast::error_code ec;
    bhttp::async_write(m_stream, response, yield[ec]);
    m_mustClose = m_mustClose || ec;
}

// Relays an answer part by part. Returns whether all of it was sent.
bool GuestSession::sendStream(Exchange &exchange, asio::yield_context yield)
{
    bhttp::response<bhttp::buffer_body> response;
    copyAnswerHeader(exchange.header(), response);
    response.keep_alive(!m_mustClose);
    if (!exchange.announcedLength()) {
        const bool canChunk = m_parser->get().version() >= 11;
        response.chunked(canChunk);
        m_mustClose = m_mustClose || !canChunk;
    }
    bhttp::response_serializer<bhttp::buffer_body> serializer(response);
    std::string_view part = exchange.buffered();
    beast::error_code ec;
    while (true) {
        response.body().data = part.empty() ? nullptr : const_cast<char *>(part.data());
        response.body().size = part.size();
        response.body().more = !part.empty();
        m_stream.expires_after(m_lane.options().limits.bodyTimeout);
        bhttp::async_write(m_stream, serializer, yield[ec]);
        if (ec == bhttp::error::need_buffer) {
            ec = {};
        }
        if (ec || part.empty()) {
            return !ec;
        }
        part = exchange.readMore(ec, yield);
        if (ec) {
            return false;
        }
    }
}

void GuestSession::sendRecorded(const records::RecordedAnswer &answer, asio::yield_context yield)
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
    m_stream.expires_after(m_lane.options().limits.bodyTimeout);
    beast::error_code ec;
    bhttp::async_write(m_stream, response, yield[ec]);
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
    const auto response = failureResponse(failure, retryAfter);
    m_stream.expires_after(m_lane.options().limits.bodyTimeout);
    beast::error_code ec;
    bhttp::async_write(m_stream, response, yield[ec]);
    m_mustClose = m_mustClose || ec;
    if (!m_mustClose) {
        return;
    }
    // What the guest is still sending is read for a moment, so that closing does
    // not take the answer away from it.
    m_stream.socket().shutdown(tcp::socket::shutdown_send, ec);
    m_stream.expires_after(500ms);
    std::size_t dropped = 0;
    while (!ec && dropped < StreamPart * 4) {
        m_buffer.clear();
        dropped += m_stream.async_read_some(m_buffer.prepare(FirstRead), yield[ec]);
    }
    m_buffer.clear();
}

// Ends the connection so that the guest can tell that its answer is not whole.
void GuestSession::breakOff()
{
    beast::error_code ignored;
    m_stream.socket().set_option(asio::socket_base::linger(true, 0), ignored);
    m_stream.close();
    m_mustClose = true;
}

} // namespace monsoonspool::traffic
