#pragma once

#include "common/error.h"
#include "ports/hostlist.h"
#include "traffic/lane.h"

#include <boost/asio/io_context.hpp>

#include <memory>
#include <span>
#include <vector>

namespace monsoonspool::daemon {

// Accepts guest connections and distributes them among the traffic threads round-robin.
// Not thread-safe: owned by the control thread.
class GuestListener
{
public:
    GuestListener(boost::asio::io_context &io, std::span<const std::unique_ptr<traffic::Lane>> lanes);
    ~GuestListener();
    GuestListener(const GuestListener &) = delete;
    GuestListener &operator=(const GuestListener &) = delete;

    // Starts to listen. Fails with AddressInUse if `address` cannot be bound, and with
    // InvalidSettings if its IP address is not valid.
    Result<void> listen(const ports::Address &address);
    // Returns the bound address.
    ports::Address address() const;
    // Stops accepting connections.
    void stop();

private:
    struct Private;
    std::shared_ptr<Private> d;
};

} // namespace monsoonspool::daemon
