#include "membership/entryhosts.h"

#include <algorithm>

namespace monsoonspool::membership {

EntryHosts::EntryHosts(EntryHostState self) : m_self(std::move(self))
{
}

void EntryHosts::setListed(std::span<const ports::ListedEntryHost> listed, TimePoint now)
{
    for (auto &[id, host] : m_others) {
        host.isListed = false;
    }
    for (const auto &it : listed) {
        if (it.id == m_self.id) {
            continue;
        }
        auto &host = m_others[it.id];
        const bool isNew = host.id.isEmpty();
        host.id = it.id;
        host.isListed = true;
        host.isListedLeaving = it.state == ports::HostState::Leaving;
        if (isNew || !hasRecentHeartbeat(host, now)) {
            host.peerAddress = it.peerAddress;
            host.region = it.region;
        }
    }
    std::erase_if(m_others,
                  [&](const auto &entry) { return !entry.second.isListed && !hasRecentHeartbeat(entry.second, now); });
}

bool EntryHosts::noteHeartbeat(const Heartbeat &heartbeat, TimePoint now)
{
    if (heartbeat.host == m_self.id) {
        return false;
    }
    auto &host = m_others[heartbeat.host];
    if (heartbeat.incarnation < host.incarnation) {
        return false;
    }
    const bool isNewRun = heartbeat.incarnation > host.incarnation;
    host.id = heartbeat.host;
    host.incarnation = heartbeat.incarnation;
    host.peerAddress = heartbeat.peerAddress;
    host.region = heartbeat.region;
    host.isLeaving = heartbeat.isLeaving;
    host.isStoreReachable = heartbeat.isStoreReachable;
    host.feedPosition = heartbeat.feedPosition;
    host.lastHeard = now;
    return isNewRun;
}

bool EntryHosts::hasRecentHeartbeat(const EntryHostState &host, TimePoint now) const
{
    return host.lastHeard != TimePoint{} && now - host.lastHeard < HeartbeatTimeout;
}

std::vector<EntryHostId> EntryHosts::members(TimePoint now) const
{
    std::vector<EntryHostId> ids;
    if (!m_self.isLeaving) {
        ids.push_back(m_self.id);
    }
    for (const auto &[id, host] : m_others) {
        if (hasRecentHeartbeat(host, now) && !host.isLeaving && !host.isListedLeaving) {
            ids.push_back(id);
        }
    }
    std::ranges::sort(ids);
    return ids;
}

std::vector<EntryHostId> EntryHosts::membersInRegion(TimePoint now) const
{
    auto ids = members(now);
    std::erase_if(ids, [&](const EntryHostId &id) { return regionOf(id) != m_self.region; });
    return ids;
}

bool EntryHosts::isHealthy(const EntryHostId &id, TimePoint now) const
{
    if (id == m_self.id) {
        return !m_self.isLeaving;
    }
    const auto it = m_others.find(id);
    return it != m_others.end() && hasRecentHeartbeat(it->second, now) && !it->second.isLeaving
        && it->second.isStoreReachable;
}

bool EntryHosts::isStoreUnreachableForAll(TimePoint now) const
{
    return !m_self.isStoreReachable && std::ranges::all_of(m_others, [&](const auto &entry) {
        return hasRecentHeartbeat(entry.second, now) && !entry.second.isStoreReachable;
    });
}

std::vector<EntryHostState> EntryHosts::peers(TimePoint now) const
{
    std::vector<EntryHostState> states;
    for (const auto &[id, host] : m_others) {
        if (host.isListed || hasRecentHeartbeat(host, now)) {
            states.push_back(host);
        }
    }
    return states;
}

std::optional<RegionName> EntryHosts::regionOf(const EntryHostId &id) const
{
    if (id == m_self.id) {
        return m_self.region;
    }
    const auto it = m_others.find(id);
    return it == m_others.end() ? std::nullopt : std::optional(it->second.region);
}

} // namespace monsoonspool::membership
