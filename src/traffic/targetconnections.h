#pragma once

#include "common/identifiers.h"
#include "common/time.h"

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <deque>
#include <memory>
#include <unordered_map>

namespace monsoonspool::traffic {

// A connection to a target, open or still to be opened.
struct TargetConnection
{
    explicit TargetConnection(boost::asio::io_context &io) : stream(io)
    {
    }
    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buffer;
    TimePoint lastUsed;
    bool isReused = false;
};

// The idle connections of one traffic thread to targets. The open connections to a
// target, idle or in use, never exceed the holder's limit: a request is sent only with
// a slot, there are no more slots than allowed connections, and release() closes idle
// connections above the limit.
//
// Not thread-safe: owned by one traffic thread.
class TargetConnections
{
public:
    explicit TargetConnections(boost::asio::io_context &io);

    // Returns an idle connection that is still open, or a new unconnected one.
    std::unique_ptr<TargetConnection> acquire(const TargetId &target, TimePoint now);

    // Returns a connection after a complete response, for reuse. Then closes the longest
    // idle connections while more than `maxOpen` are open.
    void release(const TargetId &target, std::unique_ptr<TargetConnection> connection, int maxOpen, TimePoint now);

    // Records that an acquired connection has been closed.
    void noteClosed(const TargetId &target);

    // Closes connections whose maximum idle time has passed.
    void closeIdle(TimePoint now);

    int openCount() const;
    int idleCount() const;

private:
    struct ConnectionPool
    {
        std::deque<std::unique_ptr<TargetConnection>> idle; // ordered by last use, most recent at the back
        int inUse = 0;
    };

    boost::asio::io_context &m_io;
    std::unordered_map<TargetId, ConnectionPool> m_pools;
};

} // namespace monsoonspool::traffic
