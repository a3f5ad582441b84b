#include "http/connectionregistry.h"

#include "http/listen.h"

namespace monsoonspool::http {

ConnectionRegistry::ConnectionRegistry(std::string side, BudgetLimits limits)
    : m_side(std::move(side)), m_budget(limits)
{
}

ConnectionNumber ConnectionRegistry::add(BudgetedConnection &connection, const ports::Address &peer, TimePoint now)
{
    const auto number = m_budget.add(now);
    m_entries[number] = {&connection, peer};
    closeExcess(now);
    return number;
}

void ConnectionRegistry::remove(ConnectionNumber number)
{
    m_budget.remove(number);
    m_entries.erase(number);
    publishUsage();
}

void ConnectionRegistry::setState(ConnectionNumber number, ConnectionState state, TimePoint now)
{
    m_budget.setState(number, state, now);
}

void ConnectionRegistry::setBytes(ConnectionNumber number, std::size_t bytes, TimePoint now)
{
    m_budget.setBytes(number, bytes);
    closeExcess(now);
}

void ConnectionRegistry::noteLimit(const ports::Address &peer, ConnectionLimit limit, TimePoint now)
{
    reportLimit(m_counts, limit, m_side, formatAddress(peer), now);
}

void ConnectionRegistry::noteLimit(ConnectionNumber number, ConnectionLimit limit, TimePoint now)
{
    const auto it = m_entries.find(number);
    noteLimit(it == m_entries.end() ? ports::Address() : it->second.peer, limit, now);
}

void ConnectionRegistry::closeExcess(TimePoint now)
{
    while (const auto excess = m_budget.takeExcess()) {
        noteLimit(excess->number, excess->limit, now);
        if (const auto it = m_entries.find(excess->number); it != m_entries.end()) {
            it->second.connection->closeForLimit();
        }
    }
    publishUsage();
}

void ConnectionRegistry::publishUsage()
{
    m_connections.store(m_budget.connections(), std::memory_order_relaxed);
    m_bufferedBytes.store(m_budget.bufferedBytes(), std::memory_order_relaxed);
}

ConnectionUsage ConnectionRegistry::usage() const
{
    ConnectionUsage usage{m_side, m_connections, m_bufferedBytes, {}};
    for (const auto it : AllConnectionLimits) {
        usage.reached[static_cast<std::size_t>(it)] = m_counts.count(it);
    }
    return usage;
}

ports::Address peerOf(const boost::asio::ip::tcp::socket &socket)
{
    boost::system::error_code ignored;
    const auto endpoint = socket.remote_endpoint(ignored);
    return {endpoint.address().to_string(), endpoint.port()};
}

} // namespace monsoonspool::http
