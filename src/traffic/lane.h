#pragma once

#include "control/lanemessages.h"
#include "traffic/lanecontext.h"
#include "traffic/laneoptions.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <memory>
#include <string>

namespace monsoonspool::traffic {

// Returns a lane's section of the state dump. Called on the lane's thread.
using LaneDescriber = std::function<std::string(LaneContext &)>;

// A traffic thread and the guest connections assigned to it.
class Lane
{
public:
    Lane(LaneOptions options, LaneEventSink &sink, LaneDescriber describe);
    ~Lane();
    Lane(const Lane &) = delete;
    Lane &operator=(const Lane &) = delete;

    // Starts the traffic thread.
    void start();

    // Stops and joins the thread. Open connections are closed.
    void stop();

    // Queues a message for the lane. Thread-safe.
    void post(control::LaneOrder order);

    // Returns the io_context that accepted sockets must use.
    boost::asio::io_context &io();

    // Serves a guest connection. `socket` must use io(). Thread-safe.
    void serve(boost::asio::ip::tcp::socket socket);

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace monsoonspool::traffic
