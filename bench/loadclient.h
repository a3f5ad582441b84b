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
    std::string host; // Host field
    int connections = 64;
    Duration length = 5s;
    double rate = 0; // requests a second in all; 0 sends as fast as answers come
    std::size_t bodyBytes = 128;
};

struct LoadStats
{
    std::uint64_t answered = 0;
    std::uint64_t failed = 0;
    Duration took{0};
    metrics::LatencyHistogram latency; // from the time a request was due

    double perSecond() const;
};

// Sends requests over kept connections, one at a time on each, and measures. With
// a rate, a late request is measured from when it was due, so that a stall is
// not hidden by sending less.
LoadStats runLoad(const LoadOptions &options);

} // namespace monsoonspool::bench
