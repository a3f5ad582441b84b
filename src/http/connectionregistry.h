#pragma once

#include "http/connectionbudget.h"
#include "ports/hostlist.h"

#include <boost/asio/ip/tcp.hpp>

#include <array>
#include <atomic>
#include <string>
#include <unordered_map>

namespace monsoonspool::http {

// A connection that can be closed to make room for others.
class BudgetedConnection
{
public:
    virtual ~BudgetedConnection() = default;

    // Closes the socket, so that pending operations fail. Must not call the registry.
    virtual void closeForLimit() = 0;
};

// What the connections of one side hold now, and how often each limit was reached.
struct ConnectionUsage
{
    std::string side;
    std::size_t connections = 0;
    std::size_t bufferedBytes = 0;
    std::array<std::uint64_t, ConnectionLimitCount> reached{}; // indexed by ConnectionLimit
};

// The connections of one listener: closes those that ConnectionBudget chooses, and reports the
// limits that connections reach. Not thread-safe, except usage().
class ConnectionRegistry
{
public:
    // `side` names the listener in logs.
    ConnectionRegistry(std::string side, BudgetLimits limits);

    // Adds a connection, which may be closed at once. It must be removed before it is destroyed.
    ConnectionNumber add(BudgetedConnection &connection, const ports::Address &peer, TimePoint now);
    void remove(ConnectionNumber number);
    void setState(ConnectionNumber number, ConnectionState state, TimePoint now);
    void setBytes(ConnectionNumber number, std::size_t bytes, TimePoint now);

    // Reports a limit that a peer has reached.
    void noteLimit(const ports::Address &peer, ConnectionLimit limit, TimePoint now);
    // Reports that a connection has reached a limit of its own, for which its owner closes it.
    void noteLimit(ConnectionNumber number, ConnectionLimit limit, TimePoint now);

    // Thread-safe.
    ConnectionUsage usage() const;

private:
    struct Entry
    {
        BudgetedConnection *connection = nullptr;
        ports::Address peer;
    };

    void closeExcess(TimePoint now);
    void publishUsage();

    std::string m_side;
    ConnectionBudget m_budget;
    LimitCounts m_counts;
    std::atomic<std::size_t> m_connections{0};
    std::atomic<std::size_t> m_bufferedBytes{0};
    std::unordered_map<ConnectionNumber, Entry> m_entries;
};

// Returns the peer of `socket`, for logs.
ports::Address peerOf(const boost::asio::ip::tcp::socket &socket);

} // namespace monsoonspool::http
