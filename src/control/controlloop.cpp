#include "control/controlloop.h"

#include "control/ownershipsynchronizer.h"
#include "membership/rendezvous.h"

#include <algorithm>
#include <map>
#include <set>
#include <unordered_map>
#include <utility>

namespace monsoonspool::control {

namespace {

constexpr int ShardsPerRegion = 4;
constexpr Duration HostListInterval = 500ms;
constexpr std::string_view FeedReaderPartition = "feed-reader";
// Limits the size of one message to a peer.
constexpr std::size_t MaxChangesPerMessage = 100;

} // namespace

struct ControlLoop::Private
{
    ControlOptions options;
    ControlPorts ports;
    membership::EntryHosts hosts;
    membership::Ownership ownership;
    documents::DocumentSet documents;
    OwnershipSynchronizer ownershipSynchronizer;
    DocumentStore documentStore;
    GrantCoordinator grantCoordinator;
    records::RecordKeeper recordKeeper;
    PlacementCoordinator placementCoordinator;
    ports::HostListing listing;
    std::map<FailureDomain, RegionName> regionByDomain;
    ControlCounts counts;

    TimePoint now;
    TimePoint nextHostListRead;
    TimePoint nextHeartbeat;
    bool isReadingHostList = false;
    bool hasListing = false;
    std::uint64_t publishedDocumentGeneration = 0;
    bool mustPublish = false;
    std::uint64_t snapshotGeneration = 0;

    bool isDraining = false;
    bool isReleasing = false;
    std::set<int> drainedLanes;
    std::function<void()> onDrained;

    struct LaneQuery
    {
        std::map<int, std::string> descriptions;
        std::function<void(std::vector<std::string>)> handler;
    };
    std::map<std::uint64_t, LaneQuery> laneQueries;
    std::uint64_t nextQuery = 1;
    std::shared_ptr<bool> isAlive = std::make_shared<bool>(true);

    Private(ControlOptions controlOptions, ControlPorts controlPorts);

    std::vector<EntryHostId> eligibleOwners(const PartitionName &partition, std::span<const EntryHostId> members) const;
    RegionName regionOf(const PartitionName &partition) const;
    void setPartitions();
    void readHostList();
    void onHostList(const ports::HostListing &newListing);
    void publish();
    void heartbeat();
    bool isFeedReader() const;
    void handleOwnershipEvents();
    void finishDrain();

    void on(const membership::Heartbeat &heartbeat);
    void on(const grants::SlotRequest &request);
    void on(const grants::SlotOffer &offer);
    void on(const SlotRecall &recall);
    void on(const ChangesRequest &wanted);
    void on(const DocumentChanges &changes);
    void on(const JobCall &call);
    void on(const JobReply &reply);

    void on(const SlotRequestEvent &event);
    void on(const RecordOpenEvent &event);
    void on(const RecordCloseEvent &event);
    void on(const ConfirmTargetsEvent &event);
    void on(const LaneDrainedEvent &event);
    void on(const LaneDescribedEvent &event);
};

ControlLoop::Private::Private(ControlOptions controlOptions, ControlPorts controlPorts)
    : options(std::move(controlOptions)), ports(controlPorts),
      hosts({options.host, options.peerAddress, options.region, options.incarnation, false, false, false, true, 0, {}}),
      ownership(options.host, options.incarnation),
      ownershipSynchronizer(ownership, hosts, ports.table, ports.rowCodec,
                            [this](const PartitionName &partition, std::span<const EntryHostId> members) {
                                return eligibleOwners(partition, members);
                            }),
      documentStore({}, documents, ports.table, ports.rowCodec, options.seed),
      grantCoordinator({options.host, options.incarnation, options.maxEntryHosts * options.laneCount,
                        options.startWindow, ShardsPerRegion},
                       ownership, ports.table, ports.rowCodec, ports.peers, ports.lanes),
      recordKeeper({options.host, options.incarnation, options.recordWindow, 500}, ports.table, ports.recordCodec),
      placementCoordinator({options.host, options.leaseTimes, options.logWindow, options.scoring}, ownership,
                           {ports.table, ports.objects, ports.workers, ports.placementCodec}, ports.peers)
{
}

ControlLoop::ControlLoop(ControlOptions options, ControlPorts ports)
    : d(std::make_unique<Private>(std::move(options), ports))
{
}

ControlLoop::~ControlLoop()
{
    *d->isAlive = false;
}

// Returns the region whose hosts should own a partition, empty if it is not known.
RegionName ControlLoop::Private::regionOf(const PartitionName &partition) const
{
    const auto it = regionByDomain.find(domainOfPartition(partition));
    return it == regionByDomain.end() ? regionOfPartition(partition) : it->second;
}

// Partitions of a region are owned by hosts inside it, so that a network partition
// between regions changes no owner. Only a region without entry hosts is served by
// hosts of other regions.
std::vector<EntryHostId> ControlLoop::Private::eligibleOwners(const PartitionName &partition,
                                                              std::span<const EntryHostId> members) const
{
    std::vector<EntryHostId> all(members.begin(), members.end());
    const auto region = regionOf(partition);
    if (region.isEmpty()) {
        return all;
    }
    const bool regionHasHosts = region == options.region
        || std::ranges::any_of(listing.entryHosts, [&](const auto &it) { return it.region == region; });
    if (!regionHasHosts) {
        return all;
    }
    std::erase_if(all, [&](const EntryHostId &id) { return hosts.regionOf(id) != region; });
    return all;
}

void ControlLoop::tick(TimePoint now)
{
    if (d->now == TimePoint{}) {
        // All earlier incarnations of this host have ended, since this one is running.
        d->grantCoordinator.noteDead(d->options.host, d->options.incarnation - 1, now);
    }
    d->now = now;
    if (!d->isReadingHostList && now >= d->nextHostListRead) {
        d->readHostList();
    }
    if (now >= d->nextHeartbeat) {
        d->heartbeat();
    }
    d->ownershipSynchronizer.tick(now);
    if (d->hosts.isStoreUnreachableForAll(now)) {
        d->ownership.noteStoreUnreachableForAll(now);
    }
    d->handleOwnershipEvents();
    d->documentStore.tick(d->isFeedReader(), now);
    d->publish();
    d->grantCoordinator.tick(now);
    d->recordKeeper.tick(now);
    d->placementCoordinator.tick(now);
    d->finishDrain();
}

void ControlLoop::Private::readHostList()
{
    isReadingHostList = true;
    nextHostListRead = now + HostListInterval;
    ports.hostList.list([this, alive = isAlive](const ports::AsyncResult<ports::HostListing> &result) {
        if (!*alive) {
            return;
        }
        isReadingHostList = false;
        if (result.isOk()) {
            onHostList(result.value());
        } else {
            ++counts.hostListFailures;
        }
    });
}

void ControlLoop::Private::onHostList(const ports::HostListing &newListing)
{
    const bool hasNewTargets = !hasListing || newListing.targets != listing.targets;
    const bool hasNewWorkers = !hasListing || newListing.workers != listing.workers;
    listing = newListing;
    hasListing = true;
    hosts.setListed(listing.entryHosts, now);
    ports.peers.setPeers(hosts.peers(now));
    mustPublish = mustPublish || hasNewTargets;
    if (hasNewWorkers) {
        placementCoordinator.setWorkers(listing.workers);
    }
    if (hasNewTargets || hasNewWorkers) {
        setPartitions();
    }
}

void ControlLoop::Private::setPartitions()
{
    std::set<RegionName> regions{options.region};
    std::set<FailureDomain> domains;
    regionByDomain.clear();
    for (const auto &it : listing.targets) {
        regions.insert(it.region);
        regionByDomain[it.domain] = it.region;
    }
    for (const auto &it : listing.workers) {
        domains.insert(it.domain);
    }
    std::vector<PartitionName> partitions;
    for (const auto &region : regions) {
        const auto ledgers = ledgerPartitions(region, ShardsPerRegion);
        partitions.insert(partitions.end(), ledgers.begin(), ledgers.end());
    }
    for (const auto &domain : domains) {
        partitions.push_back(placementPartition(domain));
    }
    ownershipSynchronizer.setPartitions(partitions);
}

void ControlLoop::Private::publish()
{
    if (!hasListing || !documentStore.isLoaded()) {
        return;
    }
    if (documentStore.generation() == publishedDocumentGeneration && !mustPublish) {
        return;
    }
    publishedDocumentGeneration = documentStore.generation();
    mustPublish = false;
    ++counts.snapshots;
    const auto inForce = documents.documents();
    grantCoordinator.setPools(inForce, listing.targets, now);
    std::unordered_map<TeamName, std::int64_t> quotas;
    for (const auto &it : inForce) {
        if (it.teamQuotaMilliCores > 0) {
            quotas[it.team] = std::max<std::int64_t>(quotas[it.team], it.teamQuotaMilliCores);
        }
    }
    placementCoordinator.setQuotas(quotas);
    const auto snapshot = makeSnapshot(++snapshotGeneration, documents, listing);
    for (int n = 0; n < ports.lanes.laneCount(); ++n) {
        ports.lanes.deliver(n, SnapshotOrder{snapshot});
    }
}

bool ControlLoop::Private::isFeedReader() const
{
    const auto ranked = membership::rankedOwners(PartitionName(FeedReaderPartition), hosts.membersInRegion(now));
    return !ranked.empty() && ranked.front() == options.host;
}

void ControlLoop::Private::heartbeat()
{
    nextHeartbeat = now + membership::HeartbeatInterval;
    membership::Heartbeat message;
    message.host = options.host;
    message.incarnation = options.incarnation;
    message.peerAddress = options.peerAddress;
    message.region = options.region;
    message.isLeaving = isDraining;
    message.isStoreReachable = ownershipSynchronizer.isStoreReachable();
    message.feedPosition = documentStore.position();
    for (const auto &it : ownership.summary()) {
        if (it.isOwnedHere) {
            message.owned.push_back({it.partition, it.row.epoch});
        }
    }
    for (const auto &it : hosts.peers(now)) {
        ports.peers.send(it.id, message);
    }
}

void ControlLoop::Private::handleOwnershipEvents()
{
    for (const auto &it : ownership.takeEvents()) {
        grantCoordinator.noteOwnership(it, now);
        placementCoordinator.noteOwnership(it, now);
    }
}

void ControlLoop::onPeerMessage(const PeerMessage &message, TimePoint now)
{
    d->now = now;
    ++d->counts.peerMessages;
    std::visit([this](const auto &it) { d->on(it); }, message);
}

void ControlLoop::onLaneEvent(const LaneEvent &event, TimePoint now)
{
    d->now = now;
    ++d->counts.laneEvents;
    std::visit([this](const auto &it) { d->on(it); }, event);
}

void ControlLoop::onPeerRefused(const EntryHostId &host, TimePoint now)
{
    d->now = now;
    for (const auto &it : d->hosts.peers(now)) {
        if (it.id == host) {
            d->grantCoordinator.noteDead(host, it.incarnation, now);
        }
    }
}

void ControlLoop::Private::on(const membership::Heartbeat &heartbeat)
{
    const bool isNewRun = hosts.noteHeartbeat(heartbeat, now);
    if (isNewRun && heartbeat.incarnation > 0) {
        grantCoordinator.noteDead(heartbeat.host, heartbeat.incarnation - 1, now);
    }
    for (const auto &it : heartbeat.owned) {
        ownership.noteOwner(it.partition, heartbeat.host, it.epoch);
    }
    handleOwnershipEvents();
    const bool isSameRegion = heartbeat.region == options.region;
    if (isSameRegion && documentStore.isLoaded() && heartbeat.feedPosition > documentStore.position()) {
        ports.peers.send(heartbeat.host, ChangesRequest{options.host, documentStore.position()});
    }
}

void ControlLoop::Private::on(const grants::SlotRequest &request)
{
    grantCoordinator.handleRequest(request, now);
}

void ControlLoop::Private::on(const grants::SlotOffer &offer)
{
    grantCoordinator.handleOffer(offer);
}

void ControlLoop::Private::on(const SlotRecall &recall)
{
    grantCoordinator.handleRecall(recall);
}

void ControlLoop::Private::on(const ChangesRequest &wanted)
{
    auto changes = documentStore.changesAfter(wanted.position);
    if (changes.size() > MaxChangesPerMessage) {
        changes.resize(MaxChangesPerMessage);
    }
    if (!changes.empty()) {
        ports.peers.send(wanted.from, DocumentChanges{std::move(changes)});
    }
}

void ControlLoop::Private::on(const DocumentChanges &changes)
{
    documentStore.applyChanges(changes.changes);
    publish();
}

void ControlLoop::Private::on(const JobCall &call)
{
    placementCoordinator.handleCall(call, now);
}

void ControlLoop::Private::on(const JobReply &reply)
{
    placementCoordinator.handleReply(reply);
}

void ControlLoop::Private::on(const SlotRequestEvent &event)
{
    grantCoordinator.handleRequest(event.request, now);
}

void ControlLoop::Private::on(const RecordOpenEvent &event)
{
    recordKeeper.open(event.request, now,
                      [this, lane = event.lane, ticket = event.ticket](const records::Decision &decision) {
                          ports.lanes.deliver(lane, RecordOrder{ticket, decision});
                      });
}

void ControlLoop::Private::on(const RecordCloseEvent &event)
{
    using Ending = RecordCloseEvent::Ending;
    switch (event.ending) {
    case Ending::Answered:
        recordKeeper.closeAnswered(event.token, event.answer, now, [this, lane = event.lane, ticket = event.ticket] {
            ports.lanes.deliver(lane, RecordClosedOrder{ticket});
        });
        break;
    case Ending::NotRun:
        recordKeeper.closeNotRun(event.token, now);
        break;
    case Ending::Unknown:
        recordKeeper.abandon(event.token);
        break;
    }
}

// Reads the host list again and replies to the lane after the new snapshot is
// published. If the list cannot be read, replies at once, and the lane continues with
// the latest snapshot.
void ControlLoop::Private::on(const ConfirmTargetsEvent &event)
{
    ports.hostList.list(
        [this, alive = isAlive, lane = event.lane](const ports::AsyncResult<ports::HostListing> &result) {
            if (!*alive) {
                return;
            }
            if (result.isOk()) {
                onHostList(result.value());
                publish();
            }
            ports.lanes.deliver(lane, TargetsConfirmedOrder{});
        });
}

void ControlLoop::Private::on(const LaneDrainedEvent &event)
{
    drainedLanes.insert(event.lane);
}

void ControlLoop::Private::on(const LaneDescribedEvent &event)
{
    const auto it = laneQueries.find(event.query);
    if (it == laneQueries.end()) {
        return;
    }
    it->second.descriptions[event.lane] = event.description;
    if (static_cast<int>(it->second.descriptions.size()) < ports.lanes.laneCount()) {
        return;
    }
    std::vector<std::string> descriptions;
    for (auto &[lane, description] : it->second.descriptions) {
        descriptions.push_back(std::move(description));
    }
    const auto handler = std::move(it->second.handler);
    laneQueries.erase(it);
    handler(std::move(descriptions));
}

void ControlLoop::describeLanes(std::function<void(std::vector<std::string>)> handler)
{
    const auto query = d->nextQuery++;
    d->laneQueries[query].handler = std::move(handler);
    for (int n = 0; n < d->ports.lanes.laneCount(); ++n) {
        d->ports.lanes.deliver(n, DescribeOrder{query});
    }
}

void ControlLoop::drain(TimePoint now, std::function<void()> done)
{
    d->now = now;
    d->isDraining = true;
    d->onDrained = std::move(done);
    d->hosts.setLeaving(true);
    d->heartbeat();
    for (int n = 0; n < d->ports.lanes.laneCount(); ++n) {
        d->ports.lanes.deliver(n, DrainOrder{});
    }
}

void ControlLoop::Private::finishDrain()
{
    const bool haveLanesDrained = static_cast<int>(drainedLanes.size()) == ports.lanes.laneCount();
    if (!isDraining || isReleasing || !haveLanesDrained || !recordKeeper.isIdle() || !placementCoordinator.isIdle()) {
        return;
    }
    isReleasing = true;
    ownershipSynchronizer.releaseAll(now, [this] {
        handleOwnershipEvents();
        if (onDrained) {
            std::exchange(onDrained, nullptr)();
        }
    });
}

const ports::HostListing &ControlLoop::listing() const
{
    return d->listing;
}

const ControlCounts &ControlLoop::counts() const
{
    return d->counts;
}

std::vector<membership::EntryHostState> ControlLoop::hosts(TimePoint now) const
{
    auto states = d->hosts.peers(now);
    states.push_back(d->hosts.self());
    states.back().feedPosition = d->documentStore.position();
    return states;
}

std::vector<EntryHostId> ControlLoop::members(TimePoint now) const
{
    return d->hosts.members(now);
}

DocumentStore &ControlLoop::documentStore()
{
    return d->documentStore;
}

const documents::DocumentSet &ControlLoop::documents() const
{
    return d->documents;
}

const membership::Ownership &ControlLoop::ownership() const
{
    return d->ownership;
}

const GrantCoordinator &ControlLoop::grantCoordinator() const
{
    return d->grantCoordinator;
}

PlacementCoordinator &ControlLoop::placementCoordinator()
{
    return d->placementCoordinator;
}

const records::RecordKeeper &ControlLoop::recordKeeper() const
{
    return d->recordKeeper;
}

bool ControlLoop::isStoreReachable() const
{
    return d->ownershipSynchronizer.isStoreReachable();
}

bool ControlLoop::isDraining() const
{
    return d->isDraining;
}

} // namespace monsoonspool::control
