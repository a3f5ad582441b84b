#pragma once

#include "common/identifiers.h"
#include "common/time.h"
#include "ports/hostlist.h"

#include <cstdint>
#include <vector>

namespace monsoonspool::membership {

// How often a host tells its peers that it is here, and for how long it counts
// as here after the last time.
constexpr Duration HeartbeatInterval = 500ms;
constexpr Duration SilenceLimit = 1500ms;

// A partition that the sender owns.
struct OwnedPartition
{
    PartitionName partition;
    Epoch epoch;
};

// What each entry host tells its peers of itself.
struct Heartbeat
{
    EntryHostId host;
    std::uint64_t incarnation = 0; // higher for a later run
    ports::Address peerAddress;
    RegionName region;
    bool isLeaving = false;
    bool isStoreReachable = true;
    std::uint64_t feedPosition = 0; // of the last change of a document that it has
    std::vector<OwnedPartition> owned;
};

} // namespace monsoonspool::membership
