#include "daemon/guestlistener.h"

#include "http/listen.h"
#include "logging/log.h"

#include <boost/asio/steady_timer.hpp>

namespace monsoonspool::daemon {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

constexpr std::chrono::milliseconds AcceptRetryDelay{50};

} // namespace

struct GuestListener::Private : std::enable_shared_from_this<GuestListener::Private>
{
    Private(asio::io_context &io, std::span<const std::unique_ptr<traffic::Lane>> trafficLanes)
        : acceptor(io), retryTimer(io), lanes(trafficLanes)
    {
    }

    void accept()
    {
        auto &lane = *lanes[nextLane++ % lanes.size()];
        acceptor.async_accept(
            lane.io(), [self = shared_from_this(), &lane](boost::system::error_code ec, tcp::socket socket) {
                if (!self->acceptor.is_open()) {
                    return;
                }
                if (ec) {
                    logging::log(logging::Level::Warning, "accept-failed", {{"reason", ec.message()}});
                    self->scheduleAcceptRetry();
                    return;
                }
                lane.serve(std::move(socket));
                self->accept();
            });
    }

    void scheduleAcceptRetry()
    {
        retryTimer.expires_after(AcceptRetryDelay);
        retryTimer.async_wait([self = shared_from_this()](boost::system::error_code ec) {
            if (!ec && self->acceptor.is_open()) {
                self->accept();
            }
        });
    }

    tcp::acceptor acceptor;
    asio::steady_timer retryTimer;
    std::span<const std::unique_ptr<traffic::Lane>> lanes;
    std::size_t nextLane = 0;
};

GuestListener::GuestListener(asio::io_context &io, std::span<const std::unique_ptr<traffic::Lane>> lanes)
    : d(std::make_shared<Private>(io, lanes))
{
}

GuestListener::~GuestListener()
{
    stop();
}

Result<void> GuestListener::listen(const ports::Address &address)
{
    BOOST_LEAF_CHECK(http::openAcceptor(d->acceptor, address));
    d->accept();
    return {};
}

ports::Address GuestListener::address() const
{
    const auto endpoint = d->acceptor.local_endpoint();
    return {endpoint.address().to_string(), endpoint.port()};
}

void GuestListener::stop()
{
    boost::system::error_code ignored;
    d->acceptor.close(ignored);
    d->retryTimer.cancel();
}

} // namespace monsoonspool::daemon
