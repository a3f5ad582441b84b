#pragma once

#include "codec/json.h"
#include "http/connectionregistry.h"

#include <span>
#include <string>

namespace monsoonspool::http {

// Returns the open connections and the limits that they reached in the Prometheus text format.
std::string encodeConnectionMetrics(std::span<const ConnectionUsage> usages);
// Returns the same as JSON.
codec::Json connectionState(std::span<const ConnectionUsage> usages);

} // namespace monsoonspool::http
