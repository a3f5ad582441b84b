#pragma once

#include "bench/simulation.h"

#include <memory>
#include <string_view>

namespace monsoonspool::bench {

// What the system is held against, in the same world:
//  - "fixed-split": each entry host has an equal part of every target's slots,
//    serves first come first and chooses at random,
//  - "least-outstanding": each entry host sends at once to the target to which it
//    has sent least, and targets queue,
//  - "ideal": one queue over all slots, earliest deadline first, that knows
//    everything without delay and is never down. It cannot be reached.
std::unique_ptr<RequestPath> makeBaseline(std::string_view name, Simulation &simulation);

} // namespace monsoonspool::bench
