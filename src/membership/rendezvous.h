#pragma once

#include "common/identifiers.h"

#include <span>
#include <vector>

namespace monsoonspool::membership {

// Returns `hosts` in the order of preference for `partition`, by rendezvous hashing:
// when a host joins or leaves, only the partitions that rank it first change owner.
std::vector<EntryHostId> rankedOwners(const PartitionName &partition, std::span<const EntryHostId> hosts);

} // namespace monsoonspool::membership
