#include "daemon/asioscheduler.h"

#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <utility>

namespace monsoonspool::daemon {

AsioScheduler::AsioScheduler(boost::asio::io_context &io) : m_io(io)
{
}

TimePoint AsioScheduler::now() const
{
    return monotonicNow();
}

void AsioScheduler::runAfter(Duration delay, std::function<void()> f)
{
    auto timer = std::make_shared<boost::asio::steady_timer>(m_io, delay);
    timer->async_wait([timer, f = std::move(f)](const boost::system::error_code &ec) {
        if (!ec) {
            f();
        }
    });
}

} // namespace monsoonspool::daemon
