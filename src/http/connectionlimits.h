#pragma once

#include "common/time.h"

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace monsoonspool::http {

// A bound that a connection can reach. Reaching it closes the connection.
enum class ConnectionLimit {
    Connections, // open connections of a listener
    BufferedBytes, // bytes that all connections hold
    HeaderBytes, // start line and header fields of a message
    FramingBytes, // chunk sizes, chunk extensions and trailers of a message
    BodyBytes,
    IdleTime, // between requests
    HeaderTime,
    BodyTime,
    WriteTime, // of a response that the peer does not read
};
constexpr std::size_t ConnectionLimitCount = 9;
constexpr std::array<ConnectionLimit, ConnectionLimitCount> AllConnectionLimits{
    ConnectionLimit::Connections,  ConnectionLimit::BufferedBytes, ConnectionLimit::HeaderBytes,
    ConnectionLimit::FramingBytes, ConnectionLimit::BodyBytes,     ConnectionLimit::IdleTime,
    ConnectionLimit::HeaderTime,   ConnectionLimit::BodyTime,      ConnectionLimit::WriteTime};

// Returns the name of a limit in logs, metrics and state dumps.
std::string_view limitName(ConnectionLimit limit);

// Bounds on the bytes of one message.
struct MessageLimits
{
    std::size_t headerBytes = 16 * 1024; // also of a chunk's size with its extension, and of all trailers
    std::size_t framingBytes = 64 * 1024; // beyond what chunks of one byte need for their sizes
};

// Returns how many bytes the buffer of a connection may hold: a complete header, chunk line or
// block of trailers, and the beginning of what follows.
std::size_t maxReadBuffer(const MessageLimits &limits);

// Counts the chunk sizes, extensions and trailers of one message. A parser bounds the header and
// the body, but neither the number of chunks nor their extensions.
class FramingMeter
{
public:
    explicit FramingMeter(const MessageLimits &limits = {});

    // Notes `parsedBytes` bytes after the header, of which `bodyBytes` belong to the body. Returns
    // whether the message is still within its limits.
    bool note(std::size_t parsedBytes, std::size_t bodyBytes);

private:
    std::uint64_t m_framingBytes = 0;
    std::uint64_t m_allowedBytes;
};

// Counts limits that were reached, and decides which of them are logged: at most one in
// ReportInterval for each limit.
class LimitCounts
{
public:
    static constexpr Duration ReportInterval = 1s;

    // Returns the number of earlier events that were not logged if this one is to be logged.
    std::optional<std::uint64_t> note(ConnectionLimit limit, TimePoint now);

    // Thread-safe.
    std::uint64_t count(ConnectionLimit limit) const;

private:
    struct Entry
    {
        std::atomic<std::uint64_t> count{0};
        std::uint64_t unreported = 0;
        std::optional<TimePoint> lastReport;
    };
    std::array<Entry, ConnectionLimitCount> m_entries;
};

// Counts a reached limit and writes its log line, except for the usual end of an idle connection.
// `side` names the listener or the kind of peer.
void reportLimit(LimitCounts &counts, ConnectionLimit limit, std::string_view side, std::string_view peer,
                 TimePoint now);

} // namespace monsoonspool::http
