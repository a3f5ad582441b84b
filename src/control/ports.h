#pragma once

#include "control/lanemessages.h"
#include "control/peermessages.h"

#include <string_view>

namespace monsoonspool::control {

// Sends messages to the other daemons. Messages may be lost, repeated and reordered.
class PeerLink
{
public:
    virtual ~PeerLink() = default;
    virtual void send(const EntryHostId &to, const PeerMessage &message) = 0;

    // Sets the hosts to keep connections to.
    virtual void setPeers(std::span<const membership::EntryHostState> peers) = 0;
};

// Delivers messages to the traffic threads, in order and without loss.
class LaneLink
{
public:
    virtual ~LaneLink() = default;
    virtual int laneCount() const = 0;
    virtual void deliver(int lane, const LaneOrder &order) = 0;
};

} // namespace monsoonspool::control
