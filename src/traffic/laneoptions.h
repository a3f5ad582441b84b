#pragma once

#include "common/identifiers.h"
#include "common/time.h"
#include "http/connectionlimits.h"
#include "routing/dispatcher.h"

#include <cstddef>
#include <cstdint>

namespace monsoonspool::traffic {

// Size, time and connection limits for guests.
struct GuestLimits
{
    std::size_t headerBytes = 16 * 1024;
    std::size_t bodyBytes = 64 * 1024 * 1024;
    std::size_t bufferedBodyBytes = 64 * 1024; // larger bodies are streamed and sent at most once
    Duration idleTimeout = 60s;
    Duration headerTimeout = 10s;
    Duration bodyTimeout = 30s; // for each read or write of a body
    int maxConnections = 10'000; // from guests, for each traffic thread
    std::size_t framingBytes = 64 * 1024; // chunk sizes, extensions and trailers of a message
    std::size_t bufferedBytes = 64 * 1024 * 1024; // of all connections of guests, for each traffic thread
};

// Returns the limits on the messages of guests and targets.
inline http::MessageLimits messageLimits(const GuestLimits &limits)
{
    return {limits.headerBytes, limits.framingBytes};
}

struct LaneOptions
{
    EntryHostId host;
    std::uint64_t incarnation = 0;
    RegionName region;
    int lane = 0;
    GuestLimits limits;
    routing::DispatchPolicy policy;
    Duration connectTimeout = 1s;
};

} // namespace monsoonspool::traffic
