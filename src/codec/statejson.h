#pragma once

#include "codec/json.h"
#include "control/controlloop.h"

#include <string_view>

// Sections of the state dump. They contain no secrets.
namespace monsoonspool::codec {

Json membershipState(const control::ControlLoop &loop, TimePoint now);
Json ownershipState(const control::ControlLoop &loop);
Json documentsState(control::ControlLoop &loop);

// Returns the position that each daemon has reached in the feed of document changes.
Json documentStatus(control::ControlLoop &loop, TimePoint now);
Json grantsState(const control::ControlLoop &loop, TimePoint now);
Json recordsState(const control::ControlLoop &loop);
Json hostsState(const control::ControlLoop &loop);
Json placementState(control::ControlLoop &loop, TimePoint now);

} // namespace monsoonspool::codec
