#pragma once

#include "bench/simulation.h"

#include <memory>
#include <string_view>

namespace monsoonspool::bench {

// Returns the baseline `name`, to be compared with the system in the same
// simulation:
//  - "fixed-split": each entry host owns an equal share of the slots of every
//    target in its region, serves its queue in FIFO order and picks a free slot at
//    random,
//  - "least-outstanding": each entry host forwards at once to the target with the
//    fewest of its own outstanding requests, and targets queue,
//  - "ideal": one global queue over all slots, earliest deadline first, with
//    immediate and complete information, which itself never fails. No real system
//    reaches this upper bound.
std::unique_ptr<RequestRouter> makeBaseline(std::string_view name, Simulation &simulation);

} // namespace monsoonspool::bench
