#pragma once

#include "ports/scheduler.h"

#include <boost/asio/io_context.hpp>

namespace monsoonspool::daemon {

// Schedules functions on an io_context with the monotonic clock.
class AsioScheduler : public ports::Scheduler
{
public:
    explicit AsioScheduler(boost::asio::io_context &io);

    TimePoint now() const override;
    void runAfter(Duration delay, std::function<void()> f) override;

private:
    boost::asio::io_context &m_io;
};

} // namespace monsoonspool::daemon
