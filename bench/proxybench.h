#pragma once

#include "codec/json.h"
#include "common/error.h"

#include <string>

namespace monsoonspool::bench {

struct ProxyOptions
{
    std::string programFolder; // of monsoonspoold
    int connections = 64;
    int seconds = 5; // of each measurement
    double rate = 0; // requests a second in all; 0 sends as fast as answers come
};

// Sends the same load to a sample target directly and through a daemon with one
// traffic thread, and tells the figures of both. Everything runs on loopback.
Result<codec::Json> measureProxy(const ProxyOptions &options);

} // namespace monsoonspool::bench
