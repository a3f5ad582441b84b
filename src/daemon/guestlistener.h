#pragma once

#include "common/error.h"
#include "ports/hostlist.h"
#include "traffic/lane.h"

#include <boost/asio/io_context.hpp>

#include <memory>
#include <span>
#include <vector>

namespace monsoonspool::daemon {

// Accepts guests' connections and deals them out to the traffic threads in turn.
// Lives on the control thread.
class GuestListener
{
public:
    GuestListener(boost::asio::io_context &io, std::span<const std::unique_ptr<traffic::Lane>> lanes);
    ~GuestListener();
    GuestListener(const GuestListener &) = delete;
    GuestListener &operator=(const GuestListener &) = delete;

    // Fails with AddressInUse.
    Result<void> listen(const ports::Address &address);
    ports::Address address() const;
    void stop();

private:
    struct Private;
    std::shared_ptr<Private> d;
};

} // namespace monsoonspool::daemon
