#pragma once

#include "documents/documentset.h"
#include "ports/hostlist.h"
#include "routing/dispatcher.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace monsoonspool::control {

// The configuration that the traffic threads use: documents, pools and targets.
// Published by the control thread and immutable afterwards.
struct TrafficSnapshot
{
    std::uint64_t generation = 0;
    std::unordered_map<std::string, std::shared_ptr<const documents::DocumentRevision>> byHostName;
    std::unordered_map<std::string, std::shared_ptr<const documents::DocumentRevision>> byService;
    std::map<PoolName, routing::PoolPlan> pools;
    std::map<PoolName, std::vector<TargetId>> accepting; // targets that accept new requests
    std::unordered_map<TargetId, ports::Address> addresses;
};

// Creates a snapshot of `documents` and `listing`.
std::shared_ptr<const TrafficSnapshot> makeSnapshot(std::uint64_t generation, const documents::DocumentSet &documents,
                                                    const ports::HostListing &listing);

} // namespace monsoonspool::control
