#pragma once

#include "common/time.h"
#include "control/documentstore.h"
#include "control/grantcoordinator.h"
#include "control/placementcoordinator.h"
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

// The external interfaces that the control thread uses.
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

// Message and failure counters for the state dump.
struct ControlCounts
{
    std::uint64_t peerMessages = 0;
    std::uint64_t laneEvents = 0;
    std::uint64_t snapshots = 0;
    std::uint64_t hostListFailures = 0;
};

// Owns the control state of one daemon (membership, ownership, documents, slot
// ledgers, records and placement) and connects its parts.
//
// All work is done inside calls of this class, on one thread, with the current time
// as an argument. This lets tests run the whole control part of a daemon in virtual
// time.
class ControlLoop
{
public:
    ControlLoop(ControlOptions options, ControlPorts ports);
    ~ControlLoop();
    ControlLoop(const ControlLoop &) = delete;
    ControlLoop &operator=(const ControlLoop &) = delete;

    // Runs the periodic work. Must be called at least every TickInterval.
    void tick(TimePoint now);

    void onPeerMessage(const PeerMessage &message, TimePoint now);
    void onLaneEvent(const LaneEvent &event, TimePoint now);

    // Records that the peer's machine refused a connection, which shows that the process
    // that listened there has died.
    void onPeerRefused(const EntryHostId &host, TimePoint now);

    // Starts a graceful shutdown: drains the lanes, then releases all partitions.
    // Calls `done` once, when the releases are written or have failed.
    void drain(TimePoint now, std::function<void()> done);

    // Calls `handler` with every lane's description, ordered by lane number.
    void describeLanes(std::function<void(std::vector<std::string>)> handler);

    // Returns the platform's host listing as last read, for the state dump.
    const ports::HostListing &listing() const;
    const ControlCounts &counts() const;
    std::vector<membership::EntryHostState> hosts(TimePoint now) const;
    std::vector<EntryHostId> members(TimePoint now) const;

    DocumentStore &documentStore();
    const documents::DocumentSet &documents() const;
    const membership::Ownership &ownership() const;
    const GrantCoordinator &grantCoordinator() const;
    PlacementCoordinator &placementCoordinator();
    const records::RecordKeeper &recordKeeper() const;
    bool isStoreReachable() const;
    bool isDraining() const;

    static constexpr Duration TickInterval = 20ms;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace monsoonspool::control
