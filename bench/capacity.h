#pragma once

#include "codec/json.h"

#include <cstdint>

// Measurements of how costs grow with the deployment, for docs/CAPACITY.md.
namespace monsoonspool::bench {

// Runs the control state of 9, 30 and 90 daemons without guest traffic, and returns
// the messages, bytes and processor time per node and second, and the store's
// commits and reads per second.
codec::Json measureScale(std::uint64_t seed);

// Measures placement for 170, 1700 and 17000 workers: the time per start, the
// memory per task, and the time to rebuild the state from its log.
codec::Json measurePlacement();

// Measures the exchange of one slot request and its offer with a slot ledger.
codec::Json measureSlots();

} // namespace monsoonspool::bench
