#pragma once

#include "ports/scheduler.h"

#include <boost/asio/io_context.hpp>

namespace monsoonspool::daemon {

// Runs functions later on the thread of an io_context, in real time.
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
