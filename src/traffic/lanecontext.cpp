#include "traffic/lanecontext.h"

#include <utility>

namespace monsoonspool::traffic {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

LaneContext::LaneContext(asio::io_context &io, LaneOptions options, LaneEventSink &sink)
    : m_io(io), m_options(std::move(options)), m_sink(sink), m_snapshot(std::make_shared<control::TrafficSnapshot>()),
      m_connections(io), m_guests(std::make_shared<http::ConnectionRegistry>(
                             "guests",
                             http::BudgetLimits{static_cast<std::size_t>(m_options.limits.maxConnections),
                                                m_options.limits.bufferedBytes}))
{
}

LaneContext::~LaneContext() = default;

void LaneContext::setSnapshot(std::shared_ptr<const control::TrafficSnapshot> snapshot)
{
    m_snapshot = std::move(snapshot);
    const TimePoint now = monotonicNow();
    for (const auto &[name, plan] : m_snapshot->pools) {
        auto &dispatcher = m_dispatchers[name];
        if (dispatcher) {
            dispatcher->setPlan(plan);
        } else {
            const grants::HolderId holder{m_options.host, m_options.incarnation, m_options.lane};
            dispatcher = std::make_unique<routing::Dispatcher>(plan, holder, m_options.region, m_options.policy);
        }
        const auto accepting = m_snapshot->accepting.find(name);
        dispatcher->setAccepting(accepting == m_snapshot->accepting.end() ? std::span<const TargetId>()
                                                                          : accepting->second);
        sendSlotRequests(*dispatcher, now);
    }
}

routing::Dispatcher *LaneContext::dispatcher(const PoolName &pool)
{
    const auto it = m_dispatchers.find(pool);
    return it == m_dispatchers.end() ? nullptr : it->second.get();
}

FlowMetrics &LaneContext::metrics(const ServiceName &service, std::string_view urgency)
{
    return m_metrics[{service, std::string(urgency)}];
}

void LaneContext::suspendUntilCancelled(asio::steady_timer &timer, asio::yield_context yield)
{
    boost::system::error_code ec;
    timer.expires_at(asio::steady_timer::time_point::max());
    timer.async_wait(yield[ec]);
}

SlotResult LaneContext::acquireSlot(routing::Dispatcher &dispatcher, const routing::DispatchRequest &request,
                                    const std::optional<TargetId> &failedTarget, tcp::socket &socket,
                                    asio::yield_context yield)
{
    const TimePoint now = monotonicNow();
    const auto submitted = handleFailure(
        [&]() -> Result<std::variant<routing::Assignment, Failure, std::monostate>> {
            BOOST_LEAF_AUTO(started,
                            failedTarget ? dispatcher.retry(request, *failedTarget, now)
                                         : dispatcher.submit(request, now));
            if (started) {
                return *started;
            }
            return std::monostate();
        },
        [](const Failure &failure) { return std::variant<routing::Assignment, Failure, std::monostate>(failure); });
    if (const auto *assignment = std::get_if<routing::Assignment>(&submitted)) {
        return *assignment;
    }
    if (const auto *failure = std::get_if<Failure>(&submitted)) {
        return *failure;
    }
    sendSlotRequests(dispatcher, now);
    return waitForSlot(dispatcher, request.id, socket, yield);
}

SlotResult LaneContext::waitForSlot(routing::Dispatcher &dispatcher, admission::RequestId id, tcp::socket &socket,
                                    asio::yield_context yield)
{
    const auto waiter = std::make_shared<SlotWaiter>(m_io);
    m_slotWaiters[id] = waiter;
    watchForDisconnect(waiter, socket);
    suspendUntilCancelled(waiter->timer, yield);
    m_slotWaiters.erase(id);
    boost::system::error_code ignored;
    socket.cancel(ignored);
    if (waiter->assignment) {
        return *waiter->assignment;
    }
    if (waiter->refusal) {
        return Failure{*waiter->refusal, "deadline cannot be met: no slot became free in time"};
    }
    dispatcher.cancel(id);
    ++m_counts.guestsLeft;
    return GuestDisconnected{};
}

// When the guest disconnects, its connection becomes readable and returns end of file.
// If the guest pipelines another request instead, data is readable. The connection is
// then no longer watched, because the wait would complete again immediately.
void LaneContext::watchForDisconnect(const std::shared_ptr<SlotWaiter> &waiter, tcp::socket &socket)
{
    socket.async_wait(tcp::socket::wait_read, [waiter, &socket](boost::system::error_code ec) {
        if (ec || waiter->assignment || waiter->refusal) {
            return;
        }
        char byte = 0;
        socket.non_blocking(true, ec);
        const std::size_t n = socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, ec);
        if (n == 0 && ec != asio::error::would_block) {
            waiter->hasGuestDisconnected = true;
            waiter->timer.cancel();
        }
    });
}

void LaneContext::finishAttempt(routing::Dispatcher &dispatcher, const routing::Assignment &assignment,
                                routing::AttemptResult result)
{
    const TimePoint now = monotonicNow();
    dispatcher.finish(assignment, result, now);
    dispatchWaiting(dispatcher, now);
}

void LaneContext::dispatchWaiting(routing::Dispatcher &dispatcher, TimePoint now)
{
    if (dispatcher.waitingCount() == 0) {
        return;
    }
    for (const auto &it : dispatcher.refuseUnreachable(now)) {
        if (const auto waiter = m_slotWaiters.find(it.id); waiter != m_slotWaiters.end()) {
            waiter->second->refusal = it.kind;
            waiter->second->timer.cancel();
        }
    }
    for (auto &it : dispatcher.startWaiting(now)) {
        const auto waiter = m_slotWaiters.find(it.id);
        const bool isStillWaiting = waiter != m_slotWaiters.end() && !waiter->second->hasGuestDisconnected;
        if (isStillWaiting) {
            waiter->second->assignment = std::move(it);
            waiter->second->timer.cancel();
        } else {
            dispatcher.finish(it, routing::AttemptResult::Abandoned, now);
        }
    }
}

void LaneContext::sendSlotRequests(routing::Dispatcher &dispatcher, TimePoint now)
{
    for (auto &it : dispatcher.dueRequests(m_isDraining, now)) {
        m_sink.post(control::SlotRequestEvent{std::move(it)});
    }
}

void LaneContext::tick(TimePoint now)
{
    for (auto &[pool, dispatcher] : m_dispatchers) {
        dispatcher->freeOverdue(now);
        dispatchWaiting(*dispatcher, now);
        sendSlotRequests(*dispatcher, now);
        if (dispatcher->mustConfirmTargets() && !m_isConfirmationPending) {
            m_isConfirmationPending = true;
            m_sink.post(control::ConfirmTargetsEvent{m_options.lane});
        }
    }
    m_connections.closeIdle(now);
}

void LaneContext::on(const control::TargetsConfirmedOrder &)
{
    m_isConfirmationPending = false;
    const TimePoint now = monotonicNow();
    for (auto &[pool, dispatcher] : m_dispatchers) {
        dispatcher->confirmTargets();
        dispatchWaiting(*dispatcher, now);
    }
}

records::Decision LaneContext::openRecord(const records::KeyedRequest &request, asio::yield_context yield)
{
    const auto ticket = m_nextTicket++;
    const auto waiter = std::make_shared<RecordWaiter>(m_io);
    m_recordWaiters[ticket] = waiter;
    m_sink.post(control::RecordOpenEvent{m_options.lane, ticket, request});
    while (!waiter->decision) {
        suspendUntilCancelled(waiter->timer, yield);
    }
    m_recordWaiters.erase(ticket);
    return *waiter->decision;
}

void LaneContext::recordAnswer(std::uint64_t token, records::RecordedAnswer answer, asio::yield_context yield)
{
    const auto ticket = m_nextTicket++;
    const auto waiter = std::make_shared<RecordWaiter>(m_io);
    m_recordWaiters[ticket] = waiter;
    m_sink.post(control::RecordCloseEvent{m_options.lane, ticket, token, control::RecordCloseEvent::Ending::Answered,
                                          std::move(answer)});
    while (!waiter->isClosed) {
        suspendUntilCancelled(waiter->timer, yield);
    }
    m_recordWaiters.erase(ticket);
}

void LaneContext::recordNotRun(std::uint64_t token)
{
    m_sink.post(control::RecordCloseEvent{m_options.lane, 0, token, control::RecordCloseEvent::Ending::NotRun, {}});
}

void LaneContext::abandonRecord(std::uint64_t token)
{
    m_sink.post(control::RecordCloseEvent{m_options.lane, 0, token, control::RecordCloseEvent::Ending::Unknown, {}});
}

void LaneContext::on(const control::OfferOrder &order)
{
    auto *it = dispatcher(order.offer.ledger.pool);
    if (!it) {
        return;
    }
    const bool isAccepted = handleFailure(
        [&]() -> Result<bool> {
            BOOST_LEAF_CHECK(it->accept(order.offer));
            return true;
        },
        [](const Failure &) { return false; });
    if (isAccepted) {
        const TimePoint now = monotonicNow();
        dispatchWaiting(*it, now);
        sendSlotRequests(*it, now);
    }
}

void LaneContext::on(const control::RecallOrder &order)
{
    if (auto *it = dispatcher(order.ledger.pool)) {
        it->recall(order.ledger);
        sendSlotRequests(*it, monotonicNow());
    }
}

void LaneContext::on(const control::RecordOrder &order)
{
    if (const auto it = m_recordWaiters.find(order.ticket); it != m_recordWaiters.end()) {
        it->second->decision = order.decision;
        it->second->timer.cancel();
    }
}

void LaneContext::on(const control::RecordClosedOrder &order)
{
    if (const auto it = m_recordWaiters.find(order.ticket); it != m_recordWaiters.end()) {
        it->second->isClosed = true;
        it->second->timer.cancel();
    }
}

bool LaneContext::isIdle() const
{
    return m_slotWaiters.empty() && m_recordWaiters.empty() && inUseCount() == 0;
}

bool LaneContext::holdsSlots() const
{
    for (const auto &[pool, dispatcher] : m_dispatchers) {
        if (dispatcher->heldCount() > 0) {
            return true;
        }
    }
    return false;
}

int LaneContext::waitingCount() const
{
    return static_cast<int>(m_slotWaiters.size());
}

int LaneContext::inUseCount() const
{
    int n = 0;
    for (const auto &[pool, dispatcher] : m_dispatchers) {
        n += dispatcher->inUseCount();
    }
    return n;
}

} // namespace monsoonspool::traffic
