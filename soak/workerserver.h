#pragma once

#include "http/apiserver.h"
#include "soak/connectionbehavior.h"
#include "soak/faultcounts.h"

#include <boost/asio/io_context.hpp>

#include <memory>

namespace monsoonspool::soak {

// An HTTP/1.1 server of a worker, whose treatment of connections is chosen by a ConnectionBehavior.
// Not thread-safe: `io` must be run by one thread, which also makes all calls.
class WorkerServer
{
public:
    WorkerServer(boost::asio::io_context &io, http::ApiHandler &handler, std::unique_ptr<ConnectionBehavior> behavior,
                 FaultCounts &faults);
    ~WorkerServer();
    WorkerServer(const WorkerServer &) = delete;
    WorkerServer &operator=(const WorkerServer &) = delete;

    // Listens on any free port of 127.0.0.1. Fails with AddressInUse.
    Result<void> listen();

    ports::Address address() const;
    bool takesOrders() const;

private:
    struct Private;
    std::shared_ptr<Private> d;
};

} // namespace monsoonspool::soak
