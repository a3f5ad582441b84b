#include "traffic/targetconnections.h"

#include <boost/asio/buffer.hpp>

namespace monsoonspool::traffic {

namespace {

// Shorter than the usual keep-alive timeout of servers, so that a request is rarely
// sent on a connection that the server is closing.
constexpr Duration MaxIdleTime = 4s;

// Returns whether the target has neither closed the connection nor sent unsolicited
// data.
bool isUsable(TargetConnection &connection)
{
    char byte = 0;
    boost::system::error_code ec;
    connection.stream.socket().non_blocking(true, ec);
    connection.stream.socket().receive(boost::asio::buffer(&byte, 1), boost::asio::ip::tcp::socket::message_peek, ec);
    return ec == boost::asio::error::would_block;
}

} // namespace

TargetConnections::TargetConnections(boost::asio::io_context &io) : m_io(io)
{
}

std::unique_ptr<TargetConnection> TargetConnections::acquire(const TargetId &target, TimePoint now)
{
    auto &pool = m_pools[target];
    ++pool.inUse;
    while (!pool.idle.empty()) {
        auto connection = std::move(pool.idle.back());
        pool.idle.pop_back();
        if (now - connection->lastUsed < MaxIdleTime && isUsable(*connection)) {
            connection->isReused = true;
            return connection;
        }
    }
    return std::make_unique<TargetConnection>(m_io);
}

void TargetConnections::release(const TargetId &target, std::unique_ptr<TargetConnection> connection, int maxOpen,
                                TimePoint now)
{
    auto &pool = m_pools[target];
    --pool.inUse;
    connection->lastUsed = now;
    connection->stream.expires_never();
    pool.idle.push_back(std::move(connection));
    while (!pool.idle.empty() && static_cast<int>(pool.idle.size()) + pool.inUse > maxOpen) {
        pool.idle.pop_front();
    }
}

void TargetConnections::noteClosed(const TargetId &target)
{
    --m_pools[target].inUse;
}

void TargetConnections::closeIdle(TimePoint now)
{
    for (auto it = m_pools.begin(); it != m_pools.end();) {
        auto &idle = it->second.idle;
        while (!idle.empty() && now - idle.front()->lastUsed >= MaxIdleTime) {
            idle.pop_front();
        }
        it = idle.empty() && it->second.inUse == 0 ? m_pools.erase(it) : std::next(it);
    }
}

int TargetConnections::openCount() const
{
    int n = idleCount();
    for (const auto &[target, pool] : m_pools) {
        n += pool.inUse;
    }
    return n;
}

int TargetConnections::idleCount() const
{
    int n = 0;
    for (const auto &[target, pool] : m_pools) {
        n += static_cast<int>(pool.idle.size());
    }
    return n;
}

} // namespace monsoonspool::traffic
