#pragma once

#include "common/identifiers.h"
#include "common/time.h"
#include "ports/hostlist.h"

#include <cstdint>
#include <vector>

namespace monsoonspool::membership {

// Interval between the heartbeats of a host, and the time without a heartbeat after
// which its peers stop counting it as a member.
constexpr Duration HeartbeatInterval = 500ms;
constexpr Duration HeartbeatTimeout = 1500ms;

// A partition that the sender owns.
struct OwnedPartition
{
    PartitionName partition;
    Epoch epoch;
};

// The state that each entry host sends to its peers at every HeartbeatInterval.
struct Heartbeat
{
    EntryHostId host;
    std::uint64_t incarnation = 0; // increases with each process start
    ports::Address peerAddress;
    RegionName region;
    bool isLeaving = false;
    bool isStoreReachable = true;
    std::uint64_t feedPosition = 0; // position of the last document change that it has applied
    std::vector<OwnedPartition> owned;
};

} // namespace monsoonspool::membership
