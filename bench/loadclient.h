#pragma once

#include "common/error.h"
#include "metrics/latencyhistogram.h"
#include "ports/hostlist.h"

#include <cstdint>
#include <string>

namespace monsoonspool::bench {

struct LoadOptions
{
    ports::Address address;
    std::string host; // value of the Host header field
    int connections = 64;
    Duration duration = 5s;
    double rate = 0; // requests per second over all connections; 0 sends as fast as answers arrive
    std::size_t bodyBytes = 128;
};

struct LoadStats
{
    std::uint64_t answered = 0;
    std::uint64_t failed = 0;
    Duration elapsed{0};
    metrics::LatencyHistogram latency; // from the time when the request was due

    double answersPerSecond() const;
};

// Sends requests over persistent connections, one at a time on each, and measures
// throughput and latency. With a rate, latency counts from the time when a request
// was due, which avoids coordinated omission: a stall does not hide the latency of
// the requests that it delays.
LoadStats runLoad(const LoadOptions &options);

} // namespace monsoonspool::bench
