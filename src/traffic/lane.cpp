#include "traffic/lane.h"

#include "logging/log.h"
#include "traffic/guestsession.h"
#include "traffic/mailbox.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/steady_timer.hpp>

#include <set>
#include <thread>

namespace monsoonspool::traffic {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

constexpr Duration BusyTickInterval = 10ms;
constexpr Duration IdleTickInterval = 100ms;
// Idle keep-alive connections are closed this long after the start of a drain.
constexpr Duration DrainGracePeriod = 300ms;
// How long a drained lane waits for the owners to take back its slots. Slots not taken
// back in this time lapse.
constexpr Duration SlotReturnTimeout = 2s;

} // namespace

struct Lane::Private
{
    Private(LaneOptions options, LaneEventSink &eventSink, LaneDescriber describer)
        : sink(eventSink), describe(std::move(describer)), context(io, std::move(options), eventSink), tickTimer(io),
          mailbox(io, [this](control::LaneOrder &&order) { std::visit([this](auto &it) { on(it); }, order); })
    {
    }

    void on(const control::SnapshotOrder &order)
    {
        context.setSnapshot(order.snapshot);
    }
    template <typename Order>
    void on(const Order &order)
    {
        context.on(order);
    }
    void on(const control::DrainOrder &)
    {
        context.startDraining();
        drainStarted = monotonicNow();
    }
    void on(const control::DescribeOrder &order)
    {
        sink.post(control::LaneDescribedEvent{context.options().lane, order.query, describe(context)});
    }

    void tick();
    void drain(TimePoint now);
    void serve(tcp::socket socket);

    asio::io_context io{1};
    LaneEventSink &sink;
    LaneDescriber describe;
    LaneContext context;
    std::set<std::shared_ptr<GuestSession>> sessions;
    asio::steady_timer tickTimer;
    Mailbox<control::LaneOrder> mailbox;
    TimePoint drainStarted;
    TimePoint lastActive;
    bool hasReportedDrained = false;
    std::thread thread;
};

Lane::Lane(LaneOptions options, LaneEventSink &sink, LaneDescriber describe)
    : d(std::make_unique<Private>(std::move(options), sink, std::move(describe)))
{
}

Lane::~Lane()
{
    stop();
}

void Lane::start()
{
    d->tick();
    d->thread = std::thread([this] {
        const auto guard = asio::make_work_guard(d->io);
        d->io.run();
    });
}

void Lane::stop()
{
    d->io.stop();
    if (d->thread.joinable()) {
        d->thread.join();
    }
}

void Lane::post(control::LaneOrder order)
{
    d->mailbox.post(std::move(order));
}

asio::io_context &Lane::io()
{
    return d->io;
}

void Lane::serve(tcp::socket socket)
{
    asio::post(d->io, [this, socket = std::move(socket)]() mutable { d->serve(std::move(socket)); });
}

void Lane::Private::serve(tcp::socket socket)
{
    boost::system::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    const auto session = std::make_shared<GuestSession>(context, std::move(socket));
    sessions.insert(session);
    asio::spawn(
        io, [session](asio::yield_context yield) { session->run(yield); },
        [this, session](const std::exception_ptr &e) {
            sessions.erase(session);
            if (e) {
                logging::log(logging::Level::Error, "session-failed");
            }
        });
}

void Lane::Private::tick()
{
    const TimePoint now = monotonicNow();
    context.tick(now);
    if (context.isDraining()) {
        drain(now);
    }
    const bool isBusy = context.waitingCount() > 0 || context.inUseCount() > 0 || context.isDraining();
    tickTimer.expires_after(isBusy ? BusyTickInterval : IdleTickInterval);
    tickTimer.async_wait([this](boost::system::error_code ec) {
        if (!ec) {
            tick();
        }
    });
}

void Lane::Private::drain(TimePoint now)
{
    if (now - drainStarted >= DrainGracePeriod) {
        for (const auto &it : sessions) {
            it->closeIfIdle();
        }
    }
    if (!sessions.empty() || !context.isIdle()) {
        lastActive = now;
        return;
    }
    const bool isAwaitingSlotReturn = context.holdsSlots() && now - lastActive < SlotReturnTimeout;
    if (!hasReportedDrained && !isAwaitingSlotReturn && now - drainStarted >= DrainGracePeriod) {
        hasReportedDrained = true;
        sink.post(control::LaneDrainedEvent{context.options().lane});
    }
}

} // namespace monsoonspool::traffic
