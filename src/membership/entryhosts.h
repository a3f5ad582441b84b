#pragma once

#include "common/identifiers.h"
#include "common/time.h"
#include "membership/heartbeat.h"
#include "ports/hostlist.h"

#include <map>
#include <optional>
#include <span>
#include <vector>

namespace monsoonspool::membership {

// The last known state of one entry host.
struct EntryHostState
{
    EntryHostId id;
    ports::Address peerAddress;
    RegionName region;
    std::uint64_t incarnation = 0;
    bool isListed = false;
    bool isListedLeaving = false;
    bool isLeaving = false; // as reported by its heartbeats
    bool isStoreReachable = true; // as reported by its heartbeats
    std::uint64_t feedPosition = 0; // position of the last document change that it has applied
    TimePoint lastHeard;
};

// Tracks cluster membership from two sources: the platform's host list, which
// lags behind, and heartbeats.
//
// Rules:
//  - a host is a member while its heartbeats arrive; being listed does not make a
//    host a member, and being absent from the list does not end its membership,
//  - leaving takes precedence over live, whichever source reports it,
//  - a heartbeat of an earlier incarnation is ignored.
//
// Not thread-safe: owned by the control thread.
class EntryHosts
{
public:
    explicit EntryHosts(EntryHostState self);

    // Updates the hosts from the platform's list.
    void setListed(std::span<const ports::ListedEntryHost> listed, TimePoint now);

    // Records a heartbeat. Returns whether it starts a new incarnation of the host.
    bool noteHeartbeat(const Heartbeat &heartbeat, TimePoint now);

    void setLeaving(bool isLeaving)
    {
        m_self.isLeaving = isLeaving;
    }
    void setStoreReachable(bool isReachable)
    {
        m_self.isStoreReachable = isReachable;
    }

    // Returns the hosts that may own partitions, ordered by name. Includes this host
    // unless it is leaving.
    std::vector<EntryHostId> members(TimePoint now) const;

    // Returns the members in this host's region.
    std::vector<EntryHostId> membersInRegion(TimePoint now) const;

    // Returns whether `id` may act as an owner: it is not leaving and, if it is another
    // host, it reported within HeartbeatTimeout that it reaches the table service.
    bool isHealthy(const EntryHostId &id, TimePoint now) const;

    // Returns whether the table service is unreachable for this host and, according to
    // their recent heartbeats, for every other known host. A single host without a
    // recent heartbeat makes it false, because that host might reach the table.
    bool isStoreUnreachableForAll(TimePoint now) const;

    // Returns the hosts to keep connections to.
    std::vector<EntryHostState> peers(TimePoint now) const;

    const EntryHostState &self() const
    {
        return m_self;
    }
    std::optional<RegionName> regionOf(const EntryHostId &id) const;

private:
    bool hasRecentHeartbeat(const EntryHostState &host, TimePoint now) const;

    EntryHostState m_self;
    std::map<EntryHostId, EntryHostState> m_others;
};

} // namespace monsoonspool::membership
