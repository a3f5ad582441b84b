#pragma once

#include "codec/json.h"
#include "soak/soak.h"

#include <string>

namespace monsoonspool::soak {

codec::Json encodeReport(const SoakOptions &options, const SoakResult &result);

// Returns the report as lines of text.
std::string formatReport(const SoakOptions &options, const SoakResult &result);

} // namespace monsoonspool::soak
