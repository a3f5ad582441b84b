#pragma once

#include "codec/json.h"
#include "common/error.h"

namespace monsoonspool::bench {

struct LeaderBenchOptions
{
    int workers = 1100;
    int startsPerSecond = 2400;
    int seconds = 10; // measured, after a warm-up
};

// Runs one leader in this process with the real codec and connections over loopback against
// simulated workers on another thread, and returns the leader's processor time for each run
// by part, with the numbers of calls.
Result<codec::Json> measureLeader(const LeaderBenchOptions &options);

} // namespace monsoonspool::bench
