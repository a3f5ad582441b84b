#pragma once

#include "common/time.h"
#include "http/connectionlimits.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

namespace monsoonspool::http {

using ConnectionNumber = std::uint64_t;

// What a connection is doing.
enum class ConnectionState {
    Idle, // between requests
    Reading,
    Writing,
    Handling, // its request may be running, so that it is not closed for lack of room
};

// Bounds on all connections of one listener together.
struct BudgetLimits
{
    std::size_t connections = 10'000;
    std::size_t bufferedBytes = 64 * 1024 * 1024;
};

struct BudgetExcess
{
    ConnectionNumber number = 0;
    ConnectionLimit limit = ConnectionLimit::Connections;
};

// Decides which connections are closed when they are too many, or hold too many bytes together:
//
// For too many connections: the idle ones, then those whose request is being read, then those
// whose response is being written, each the longest in its state first.
// For too many bytes: connections with more than LargeBytes, the largest first; then the idle
// ones, the longest idle first; then the largest.
//
// Connections whose request is being handled are not closed. If there are no others, a new
// connection is closed, and bytes are allowed until one of the others has ended.
//
// No input or output. Not thread-safe.
class ConnectionBudget
{
public:
    // More than a request of usual size, with its buffers.
    static constexpr std::size_t LargeBytes = 64 * 1024;

    explicit ConnectionBudget(BudgetLimits limits);

    ConnectionNumber add(TimePoint now);
    void remove(ConnectionNumber number);
    void setState(ConnectionNumber number, ConnectionState state, TimePoint now);
    void setBytes(ConnectionNumber number, std::size_t bytes);

    // Returns a connection to close, and forgets it, or nullopt if all limits are kept.
    std::optional<BudgetExcess> takeExcess();

    std::size_t connections() const
    {
        return m_entries.size();
    }
    std::size_t bufferedBytes() const
    {
        return m_bufferedBytes;
    }

private:
    struct Entry
    {
        ConnectionState state = ConnectionState::Idle;
        TimePoint since;
        std::size_t bytes = 0;
    };
    using Entries = std::unordered_map<ConnectionNumber, Entry>;

    Entries::const_iterator longestInState(ConnectionState state) const;
    Entries::const_iterator largest(std::size_t aboveBytes) const;
    Entries::const_iterator newest() const;
    Entries::const_iterator chooseForConnections() const;
    Entries::const_iterator chooseForBytes() const;

    BudgetLimits m_limits;
    Entries m_entries;
    std::size_t m_bufferedBytes = 0;
    ConnectionNumber m_lastNumber = 0;
};

} // namespace monsoonspool::http
