#pragma once

#include "bench/scenario.h"
#include "bench/simulatedcluster.h"
#include "bench/simulation.h"
#include "codec/json.h"

#include <cstdint>
#include <string>
#include <vector>

namespace monsoonspool::bench {

struct RunResult
{
    codec::Json json;
    std::vector<InvariantViolation> violations; // of the system, not of the baselines
};

// Runs a scenario on the system and, if `withBaselines`, on every baseline, with
// the same arrivals and faults.
RunResult runScenario(const Scenario &scenario, std::uint64_t seed, bool withBaselines);

} // namespace monsoonspool::bench
