#include "http/connectionlimits.h"

#include "logging/log.h"

#include <utility>

namespace monsoonspool::http {

namespace {

// Read beyond the longest header, so that the parser finds that it is too long.
constexpr std::size_t ReadAheadBytes = 4096;
// A chunk of one byte needs five further bytes: its size and two ends of line.
constexpr std::uint64_t FramingPerBodyByte = 8;

constexpr std::array<std::string_view, ConnectionLimitCount> LimitNames{
    "connections", "buffered-bytes", "header-bytes", "framing-bytes", "body-bytes",
    "idle-time",   "header-time",    "body-time",    "write-time",
};

} // namespace

std::string_view limitName(ConnectionLimit limit)
{
    return LimitNames[static_cast<std::size_t>(limit)];
}

std::size_t maxReadBuffer(const MessageLimits &limits)
{
    return limits.headerBytes + ReadAheadBytes;
}

FramingMeter::FramingMeter(const MessageLimits &limits) : m_allowedBytes(limits.framingBytes)
{
}

bool FramingMeter::note(std::size_t parsedBytes, std::size_t bodyBytes)
{
    m_framingBytes += parsedBytes > bodyBytes ? parsedBytes - bodyBytes : 0;
    m_allowedBytes += bodyBytes * FramingPerBodyByte;
    return m_framingBytes <= m_allowedBytes;
}

std::optional<std::uint64_t> LimitCounts::note(ConnectionLimit limit, TimePoint now)
{
    auto &entry = m_entries[static_cast<std::size_t>(limit)];
    entry.count.fetch_add(1, std::memory_order_relaxed);
    if (entry.lastReport && now - *entry.lastReport < ReportInterval) {
        ++entry.unreported;
        return std::nullopt;
    }
    entry.lastReport = now;
    return std::exchange(entry.unreported, 0);
}

std::uint64_t LimitCounts::count(ConnectionLimit limit) const
{
    return m_entries[static_cast<std::size_t>(limit)].count.load(std::memory_order_relaxed);
}

void reportLimit(LimitCounts &counts, ConnectionLimit limit, std::string_view side, std::string_view peer,
                 TimePoint now)
{
    const auto leftOut = counts.note(limit, now);
    if (leftOut && limit != ConnectionLimit::IdleTime) {
        logging::log(logging::Level::Warning, "connection-limit",
                     {{"limit", limitName(limit)},
                      {"side", side},
                      {"peer", peer},
                      {"leftOut", static_cast<long long>(*leftOut)}});
    }
}

} // namespace monsoonspool::http
