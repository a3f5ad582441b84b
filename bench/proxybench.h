#pragma once

#include "codec/json.h"
#include "common/error.h"

#include <string>

namespace monsoonspool::bench {

struct ProxyOptions
{
    std::string programFolder; // with monsoonspoold and monsoonspool-platform
    int connections = 64;
    int seconds = 5; // of each measurement
    double rate = 0; // requests per second when paced; 0 takes half of the throughput, up to 7500
};

// Sends the same load to a sample target directly and through a daemon with one
// traffic thread, and returns the statistics of both. Everything runs on loopback.
Result<codec::Json> measureProxy(const ProxyOptions &options);

} // namespace monsoonspool::bench
