#pragma once

#include "traffic/lanecontext.h"

#include <string>

namespace monsoonspool::daemon {

// Returns a lane's section of the state dump, encoded as JSON.
std::string describeLane(traffic::LaneContext &lane);

} // namespace monsoonspool::daemon
