#pragma once

#include "common/time.h"
#include "control/documentkeeper.h"
#include "control/grantdesk.h"
#include "control/placementdesk.h"
#include "control/ports.h"
#include "control/rowcodec.h"
#include "membership/entryhosts.h"
#include "membership/ownership.h"
#include "ports/hostlist.h"
#include "ports/tableservice.h"
#include "records/recordkeeper.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace monsoonspool::control {

struct ControlOptions
{
    EntryHostId host;
    std::uint64_t incarnation = 0;
    ports::Address peerAddress;
    RegionName region;
    int maxEntryHosts = 9;
    int laneCount = 1;
    Duration startWindow = 660s;
    Duration recordWindow = 40ms;
    Duration logWindow = 60ms;
    placement::LeaseTimes leaseTimes;
    std::string scoring = "tight-and-quiet";
    std::uint64_t seed = 1;
};

// What the control thread acts through.
struct ControlPorts
{
    ports::TableService &table;
    ports::ObjectStore &objects;
    ports::HostList &hostList;
    ports::WorkerAgent &workers;
    const RowCodec &rowCodec;
    const PlacementCodec &placementCodec;
    const records::RecordCodec &recordCodec;
    PeerLink &peers;
    LaneLink &lanes;
};

// Counts of messages, for the state dump.
struct ControlCounts
{
    std::uint64_t peerMessages = 0;
    std::uint64_t laneEvents = 0;
    std::uint64_t snapshots = 0;
    std::uint64_t hostListFailures = 0;
};

// The control state of one daemon: membership, ownership, documents, slot
// ledgers, records and placement, and the one place where they meet.
//
// Everything happens in calls of this class, on one thread, with the present
// time as an argument; so a whole daemon's control part runs in virtual time as
// it does in real time.
class ControlLoop
{
public:
    ControlLoop(ControlOptions options, ControlPorts ports);
    ~ControlLoop();
    ControlLoop(const ControlLoop &) = delete;
    ControlLoop &operator=(const ControlLoop &) = delete;

    // Does what is due. Call it at least every TickInterval.
    void tick(TimePoint now);

    void onPeerMessage(const PeerMessage &message, TimePoint now);
    void onLaneEvent(const LaneEvent &event, TimePoint now);

    // Notes that a connection to the peer was refused by its machine: the
    // process that had listened there has died.
    void onPeerRefused(const EntryHostId &host, TimePoint now);

    // Starts leaving: the lanes drain, and then everything owned is released.
    // Calls `done` once, when nothing is left to hand over.
    void drain(TimePoint now, std::function<void()> done);

    // Calls `f` with every lane's description, in the order of the lanes.
    void describeLanes(std::function<void(std::vector<std::string>)> f);

    // Returns how the host with the listing sees the world; for the dump.
    const ports::HostListing &listing() const;
    const ControlCounts &counts() const;
    std::vector<membership::EntryHostState> hosts(TimePoint now) const;
    std::vector<EntryHostId> members(TimePoint now) const;

    DocumentKeeper &documentKeeper();
    const documents::DocumentSet &documents() const;
    const membership::Ownership &ownership() const;
    const GrantDesk &grantDesk() const;
    PlacementDesk &placementDesk();
    const records::RecordKeeper &recordKeeper() const;
    bool isStoreReachable() const;
    bool isDraining() const;

    static constexpr Duration TickInterval = 20ms;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace monsoonspool::control
