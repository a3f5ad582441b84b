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

// What is known of one entry host.
struct EntryHostState
{
    EntryHostId id;
    ports::Address peerAddress;
    RegionName region;
    std::uint64_t incarnation = 0;
    bool isListed = false;
    bool isListedLeaving = false;
    bool isLeaving = false; // by its own word
    bool isStoreReachable = true; // by its own word
    std::uint64_t feedPosition = 0; // of the last change of a document that it has
    TimePoint lastHeard;
};

// Who is here: the platform's lagging list joined with direct evidence.
//
// Rules:
//  - a host is a member while its heartbeats arrive; the list alone makes no
//    host a member, and its silence about a host that is heard ends nothing,
//  - leaving wins over live, whoever says it,
//  - a heartbeat of an earlier incarnation is ignored.
//
// Not thread-safe: owned by the control thread.
class EntryHosts
{
public:
    explicit EntryHosts(EntryHostState self);

    // Takes over the platform's list.
    void setListed(std::span<const ports::ListedEntryHost> listed, TimePoint now);

    // Takes in a heartbeat. Returns whether the host has a new incarnation.
    bool noteHeartbeat(const Heartbeat &heartbeat, TimePoint now);

    void setLeaving(bool isLeaving)
    {
        m_self.isLeaving = isLeaving;
    }
    void setStoreReachable(bool isReachable)
    {
        m_self.isStoreReachable = isReachable;
    }

    // Returns the hosts that may own partitions, this one among them unless it
    // is leaving, ordered by name.
    std::vector<EntryHostId> members(TimePoint now) const;

    // Returns the members of this host's region.
    std::vector<EntryHostId> membersInRegion(TimePoint now) const;

    // Returns whether `id` sent a heartbeat lately and can do an owner's work.
    bool isAble(const EntryHostId &id, TimePoint now) const;

    // Returns whether the table service is out of reach for this host and, by their
    // own word of just now, for every other listed host. One silent host makes it
    // false: that one might reach the table.
    bool isStoreOutForAll(TimePoint now) const;

    // Returns the hosts to keep a connection to.
    std::vector<EntryHostState> peers(TimePoint now) const;

    const EntryHostState &self() const
    {
        return m_self;
    }
    std::optional<RegionName> regionOf(const EntryHostId &id) const;

private:
    bool isHeard(const EntryHostState &host, TimePoint now) const;

    EntryHostState m_self;
    std::map<EntryHostId, EntryHostState> m_others;
};

} // namespace monsoonspool::membership
