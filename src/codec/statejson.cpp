#include "codec/statejson.h"

#include "codec/typejson.h"

namespace monsoonspool::codec {

Json membershipState(const control::ControlLoop &loop, TimePoint now)
{
    Json hosts = Json::array();
    const auto members = loop.members(now);
    for (const auto &it : loop.hosts(now)) {
        const bool isMember = std::ranges::find(members, it.id) != members.end();
        const bool isSelf = it.lastHeard == TimePoint{};
        hosts.push_back({{"host", it.id},
                         {"region", it.region},
                         {"incarnation", it.incarnation},
                         {"member", isMember},
                         {"listed", it.isListed},
                         {"leaving", it.isLeaving || it.isListedLeaving},
                         {"storeReachable", it.isStoreReachable},
                         {"silentMs", isSelf ? 0 : toMilliseconds(now - it.lastHeard)}});
    }
    return {{"hosts", std::move(hosts)}, {"draining", loop.isDraining()}, {"storeReachable", loop.isStoreReachable()}};
}

Json ownershipState(const control::ControlLoop &loop)
{
    Json rows = Json::array();
    for (const auto &it : loop.ownership().summary()) {
        rows.push_back({{"partition", it.partition},
                        {"owner", it.row.owner},
                        {"epoch", it.row.epoch},
                        {"ownedHere", it.isOwnedHere}});
    }
    return rows;
}

Json documentsState(control::ControlLoop &loop)
{
    Json rows = Json::array();
    for (const auto &it : loop.documents().all()) {
        rows.push_back({{"service", it->document.service}, {"revision", it->revision}, {"team", it->document.team}});
    }
    return {{"inForce", std::move(rows)},
            {"position", loop.documentStore().position()},
            {"loaded", loop.documentStore().isLoaded()},
            {"refusedOlder", loop.documents().refusedCount()}};
}

Json documentStatus(control::ControlLoop &loop, TimePoint now)
{
    const auto position = loop.documentStore().position();
    Json hosts = Json::array();
    for (const auto &it : loop.hosts(now)) {
        hosts.push_back({{"host", it.id}, {"position", it.feedPosition}, {"isCurrent", it.feedPosition >= position}});
    }
    return {{"position", position}, {"hosts", std::move(hosts)}};
}

Json grantsState(const control::ControlLoop &loop, TimePoint now)
{
    Json rows = Json::array();
    for (const auto &[ledger, summary] : loop.grantCoordinator().summary(now)) {
        rows.push_back({{"pool", ledger.pool},
                        {"region", ledger.region},
                        {"targets", summary.targets},
                        {"holders", summary.holders},
                        {"slots", summary.slots},
                        {"committed", summary.committed},
                        {"unknown", summary.unknown},
                        {"requests", summary.requests},
                        {"refused", summary.refused}});
    }
    return rows;
}

Json recordsState(const control::ControlLoop &loop)
{
    const auto summary = loop.recordKeeper().summary();
    return {{"intents", summary.intents},       {"replays", summary.replays}, {"joins", summary.joins},
            {"commits", summary.commits},       {"rows", summary.rows},       {"readBacks", summary.readBacks},
            {"unrecorded", summary.unrecorded}, {"open", summary.open},       {"queued", summary.queued}};
}

Json placementState(control::ControlLoop &loop, TimePoint now)
{
    Json rows = Json::array();
    for (const auto &[domain, it] : loop.placementCoordinator().summary(now)) {
        rows.push_back({{"failureDomain", domain},
                        {"workers", it.workers},
                        {"reachableWorkers", it.reachableWorkers},
                        {"quarantinedWorkers", it.quarantinedWorkers},
                        {"waitingUrgent", it.waitingUrgent},
                        {"waitingBatch", it.waitingBatch},
                        {"running", it.running},
                        {"jobs", it.jobs},
                        {"capacity", it.capacity},
                        {"committed", it.committed},
                        {"starts", it.starts},
                        {"evictions", it.evictions},
                        {"lost", it.lost}});
    }
    return rows;
}

Json hostsState(const control::ControlLoop &loop)
{
    const auto &listing = loop.listing();
    int leaving = 0;
    for (const auto &it : listing.targets) {
        leaving += it.state == ports::HostState::Leaving ? 1 : 0;
    }
    return {{"entryHosts", listing.entryHosts.size()},
            {"targets", listing.targets.size()},
            {"leavingTargets", leaving},
            {"workers", listing.workers.size()},
            {"failures", loop.counts().hostListFailures}};
}

} // namespace monsoonspool::codec
