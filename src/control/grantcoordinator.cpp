#include "control/grantcoordinator.h"

#include "control/ownershipsynchronizer.h"

#include <xxhash.h>

#include <algorithm>
#include <map>
#include <set>

namespace monsoonspool::control {

namespace {

constexpr std::string_view PartitionPrefix = "grants/";
constexpr int MaxHolderRows = 10'000;
constexpr Duration RecallInterval = 50ms;
constexpr Duration RetryInterval = 300ms;

std::string holderPrefix(const PartitionName &partition)
{
    return "holder/" + partition.text() + "/";
}

std::string holderKey(const PartitionName &partition, const grants::LedgerKey &ledger, const grants::HolderId &holder)
{
    return holderPrefix(partition) + ledger.pool.text() + "/" + holder.host.text() + "/"
        + std::to_string(holder.incarnation) + "/" + std::to_string(holder.lane);
}

} // namespace

PartitionName ledgerPartition(const grants::LedgerKey &ledger, int shardsPerRegion)
{
    const auto hash = XXH3_64bits(ledger.pool.view().data(), ledger.pool.view().size());
    return PartitionName(std::string(PartitionPrefix) + ledger.region.text() + "/"
                         + std::to_string(hash % static_cast<unsigned>(shardsPerRegion)));
}

std::vector<PartitionName> ledgerPartitions(const RegionName &region, int shardsPerRegion)
{
    std::vector<PartitionName> partitions;
    for (int n = 0; n < shardsPerRegion; ++n) {
        partitions.emplace_back(std::string(PartitionPrefix) + region.text() + "/" + std::to_string(n));
    }
    return partitions;
}

RegionName regionOfPartition(const PartitionName &partition)
{
    const auto text = partition.view();
    if (!text.starts_with(PartitionPrefix)) {
        return RegionName();
    }
    const auto rest = text.substr(PartitionPrefix.size());
    return RegionName(rest.substr(0, rest.rfind('/')));
}

struct GrantCoordinator::Private
{
    // A partition owned here.
    struct Owned
    {
        Epoch epoch;
        bool hadOwnerBefore = false;
        std::uint64_t fenceVersion = 0;
        bool isLoaded = false; // the rows of the admitted holders have been read
        bool isLoading = false;
        bool isWriting = false;
        std::vector<std::string> lapsed; // keys of the rows of lapsed holders
        TimePoint retryAt;
        std::map<grants::LedgerKey, std::vector<grants::HolderId>> knownHolders;
        std::map<grants::LedgerKey, grants::SlotLedger> ledgers;
    };
    struct Pool
    {
        grants::GrantTimes times;
        int slots = 0;
        int connections = 0;
    };

    GrantCoordinatorOptions options;
    membership::Ownership &ownership;
    ports::TableService &table;
    const RowCodec &codec;
    PeerLink &peers;
    LaneLink &lanes;
    // The latest incarnation of each host that is known to have died, and when that
    // became known. Passed on to ledgers that are created later.
    struct Death
    {
        std::uint64_t incarnation = 0;
        TimePoint at;
    };
    std::map<EntryHostId, Death> deaths;
    std::map<PartitionName, Owned> owned;
    std::map<PoolName, Pool> pools;
    std::map<grants::LedgerKey, std::vector<grants::TargetCapacity>> targets;
    TimePoint now;
    TimePoint nextRecall;
    std::shared_ptr<bool> isAlive = std::make_shared<bool>(true);

    PartitionName partitionOf(const grants::LedgerKey &ledger) const
    {
        return ledgerPartition(ledger, options.shardsPerRegion);
    }
    void load(const PartitionName &name, Owned &partition);
    void onLoaded(Owned &partition, const std::vector<ports::Row> &rows);
    grants::SlotLedger *ledgerFor(Owned &partition, const grants::LedgerKey &key);
    void answer(Owned &partition, const grants::SlotRequest &request);
    using Admissions = std::map<grants::LedgerKey, std::vector<grants::HolderId>>;
    void writeHolders(const PartitionName &name, Owned &partition);
    void onHoldersWritten(const PartitionName &name, Owned &partition, const Admissions &admitted,
                          const ports::AsyncResult<std::uint64_t> &result);
    void readFence(const PartitionName &name, Owned &partition);
    void sendOffer(const grants::SlotOffer &offer);
    void recall(const grants::LedgerKey &key, const grants::HolderId &holder);
    Owned *find(const PartitionName &name, Epoch epoch);
};

GrantCoordinator::GrantCoordinator(GrantCoordinatorOptions options, membership::Ownership &ownership,
                                   ports::TableService &table, const RowCodec &codec, PeerLink &peers, LaneLink &lanes)
    : d(new Private{std::move(options),
                    ownership,
                    table,
                    codec,
                    peers,
                    lanes,
                    {},
                    {},
                    {},
                    {},
                    {},
                    {},
                    std::make_shared<bool>(true)})
{
}

GrantCoordinator::~GrantCoordinator()
{
    *d->isAlive = false;
}

GrantCoordinator::Private::Owned *GrantCoordinator::Private::find(const PartitionName &name, Epoch epoch)
{
    const auto it = owned.find(name);
    return it == owned.end() || it->second.epoch != epoch ? nullptr : &it->second;
}

void GrantCoordinator::noteOwnership(const membership::OwnershipEvent &event, TimePoint now)
{
    d->now = now;
    if (regionOfPartition(event.partition).isEmpty()) {
        return;
    }
    d->owned.erase(event.partition);
    if (event.change == membership::OwnershipChange::Lost) {
        return;
    }
    auto &partition = d->owned[event.partition];
    partition.epoch = event.epoch;
    partition.hadOwnerBefore = event.hadOwnerBefore;
    partition.fenceVersion = event.claimVersion;
    d->load(event.partition, partition);
}

void GrantCoordinator::Private::load(const PartitionName &name, Owned &partition)
{
    const auto first = holderPrefix(name);
    auto last = first;
    ++last.back();
    partition.isLoading = true;
    table.scan(first, last, MaxHolderRows,
               [this, alive = isAlive, name,
                epoch = partition.epoch](const ports::AsyncResult<std::vector<ports::Row>> &rows) {
                   auto *it = *alive ? find(name, epoch) : nullptr;
                   if (!it) {
                       return;
                   }
                   it->isLoading = false;
                   if (rows.isOk()) {
                       onLoaded(*it, rows.value());
                   } else {
                       it->retryAt = now + RetryInterval;
                   }
               });
}

void GrantCoordinator::Private::onLoaded(Owned &partition, const std::vector<ports::Row> &rows)
{
    for (const auto &row : rows) {
        handleFailure(
            [&]() -> Result<void> {
                BOOST_LEAF_AUTO(holder, codec.decodeHolder(row.value));
                partition.knownHolders[holder.first].push_back(holder.second);
                return {};
            },
            [](const Failure &) {});
    }
    partition.isLoaded = true;
    // Ledgers with known holders are created at once, because the waiting time that a
    // ledger owes to grants of an earlier epoch starts at its creation.
    for (const auto &[key, holders] : partition.knownHolders) {
        ledgerFor(partition, key);
    }
}

grants::SlotLedger *GrantCoordinator::Private::ledgerFor(Owned &partition, const grants::LedgerKey &key)
{
    if (const auto it = partition.ledgers.find(key); it != partition.ledgers.end()) {
        return &it->second;
    }
    const auto pool = pools.find(key.pool);
    const auto listed = targets.find(key);
    if (!partition.isLoaded || pool == pools.end() || listed == targets.end()) {
        return nullptr;
    }
    grants::LedgerConfig start{partition.epoch, pool->second.times, options.maxHolders, partition.hadOwnerBefore, {}};
    if (const auto known = partition.knownHolders.find(key); known != partition.knownHolders.end()) {
        start.knownHolders = known->second;
    }
    auto &ledger = partition.ledgers.emplace(key, grants::SlotLedger(std::move(start), now)).first->second;
    ledger.setTargets(listed->second, now);
    for (const auto &[host, death] : deaths) {
        ledger.markProcessDead(host, death.incarnation, death.at);
    }
    return &ledger;
}

void GrantCoordinator::setPools(std::span<const documents::ServiceDocument> documents,
                                std::span<const ports::ListedTarget> targets, TimePoint now)
{
    d->now = now;
    d->pools.clear();
    for (const auto &it : documents) {
        auto &pool = d->pools[it.pool];
        pool.times.startWindow = d->options.startWindow;
        pool.times.ownerLease = membership::OwnerLease;
        pool.times.timeLimit = std::max(pool.slots == 0 ? Duration{0} : pool.times.timeLimit, it.timeLimit);
        pool.slots = it.slotsPerTarget;
        pool.connections = it.connectionsPerTarget;
    }
    d->targets.clear();
    for (const auto &it : targets) {
        const auto pool = d->pools.find(it.pool);
        if (pool != d->pools.end()) {
            d->targets[{it.pool, it.region}].push_back(
                {it.id, pool->second.slots, pool->second.connections, it.state == ports::HostState::Leaving});
        }
    }
    for (auto &[name, partition] : d->owned) {
        for (auto &[key, ledger] : partition.ledgers) {
            const auto it = d->targets.find(key);
            ledger.setTargets(it == d->targets.end() ? std::span<const grants::TargetCapacity>() : it->second, now);
            if (const auto pool = d->pools.find(key.pool); pool != d->pools.end()) {
                ledger.setTimes(pool->second.times);
            }
        }
    }
}

void GrantCoordinator::handleRequest(const grants::SlotRequest &request, TimePoint now)
{
    d->now = now;
    const auto name = d->partitionOf(request.ledger);
    const auto it = d->owned.find(name);
    if (it != d->owned.end()) {
        if (d->ownership.mayDecide(name, now)) {
            d->answer(it->second, request);
        }
        return;
    }
    // Requests are forwarded once, by the daemon of the lane that sent them.
    const auto owner = d->ownership.ownerOf(name);
    if (owner && *owner != d->options.host && request.holder.host == d->options.host) {
        d->peers.send(*owner, request);
    }
}

void GrantCoordinator::Private::answer(Owned &partition, const grants::SlotRequest &request)
{
    auto *ledger = ledgerFor(partition, request.ledger);
    if (!ledger) {
        return;
    }
    handleFailure(
        [&]() -> Result<void> {
            BOOST_LEAF_AUTO(offer, ledger->handle(request, now));
            sendOffer(offer);
            return {};
        },
        [](const Failure &) {});
}

void GrantCoordinator::Private::sendOffer(const grants::SlotOffer &offer)
{
    if (offer.holder.host == options.host) {
        if (offer.holder.incarnation == options.incarnation) {
            lanes.deliver(offer.holder.lane, OfferOrder{offer});
        }
    } else {
        peers.send(offer.holder.host, offer);
    }
}

void GrantCoordinator::handleOffer(const grants::SlotOffer &offer)
{
    if (offer.holder.host == d->options.host && offer.holder.incarnation == d->options.incarnation) {
        d->lanes.deliver(offer.holder.lane, OfferOrder{offer});
    }
}

void GrantCoordinator::handleRecall(const SlotRecall &recall)
{
    if (recall.holder.host == d->options.host && recall.holder.incarnation == d->options.incarnation) {
        d->lanes.deliver(recall.holder.lane, RecallOrder{recall.ledger});
    }
}

void GrantCoordinator::Private::recall(const grants::LedgerKey &key, const grants::HolderId &holder)
{
    if (holder.host == options.host && holder.incarnation == options.incarnation) {
        lanes.deliver(holder.lane, RecallOrder{key});
    } else {
        peers.send(holder.host, SlotRecall{key, holder});
    }
}

void GrantCoordinator::noteDead(const EntryHostId &host, std::uint64_t incarnation, TimePoint now)
{
    d->now = now;
    auto &death = d->deaths[host];
    if (incarnation <= death.incarnation) {
        return;
    }
    death = {incarnation, now};
    for (auto &[name, partition] : d->owned) {
        for (auto &[key, ledger] : partition.ledgers) {
            ledger.markProcessDead(host, incarnation, now);
        }
    }
}

void GrantCoordinator::tick(TimePoint now)
{
    d->now = now;
    const bool isRecallDue = now >= d->nextRecall;
    if (isRecallDue) {
        d->nextRecall = now + RecallInterval;
    }
    for (auto &[name, partition] : d->owned) {
        if (!partition.isLoaded) {
            if (!partition.isLoading && now >= partition.retryAt) {
                d->load(name, partition);
            }
            continue;
        }
        d->writeHolders(name, partition);
        if (!d->ownership.mayDecide(name, now) || !isRecallDue) {
            continue;
        }
        for (auto &[key, ledger] : partition.ledgers) {
            for (const auto &holder : ledger.expire(now)) {
                partition.lapsed.push_back(holderKey(name, key, holder));
            }
            for (const auto &holder : ledger.holdersToRecall()) {
                d->recall(key, holder);
            }
        }
    }
}

// Writes the holders to admit and removes those that have lapsed, in one commit that
// is conditional on the fence row.
void GrantCoordinator::Private::writeHolders(const PartitionName &name, Owned &partition)
{
    if (partition.isWriting || now < partition.retryAt) {
        return;
    }
    std::vector<ports::RowWrite> writes{{fenceKey(name), partition.fenceVersion, fenceValue(partition.epoch), false}};
    Admissions admitted;
    for (auto &[key, ledger] : partition.ledgers) {
        for (const auto &holder : ledger.holdersToAdmit()) {
            writes.push_back({holderKey(name, key, holder), ports::AnyVersion, codec.encode(key, holder), false});
            admitted[key].push_back(holder);
        }
    }
    for (const auto &key : partition.lapsed) {
        writes.push_back({key, ports::AnyVersion, {}, true});
    }
    if (writes.size() == 1) {
        return;
    }
    partition.isWriting = true;
    table.commit(writes,
                 [this, alive = isAlive, name, epoch = partition.epoch,
                  admitted = std::move(admitted)](const ports::AsyncResult<std::uint64_t> &result) {
                     if (auto *it = *alive ? find(name, epoch) : nullptr) {
                         onHoldersWritten(name, *it, admitted, result);
                     }
                 });
}

void GrantCoordinator::Private::onHoldersWritten(const PartitionName &name, Owned &partition,
                                                 const Admissions &admitted,
                                                 const ports::AsyncResult<std::uint64_t> &result)
{
    if (!result.isOk()) {
        readFence(name, partition);
        return;
    }
    partition.isWriting = false;
    partition.fenceVersion = result.value();
    partition.lapsed.clear();
    for (const auto &[key, holders] : admitted) {
        if (const auto ledger = partition.ledgers.find(key); ledger != partition.ledgers.end()) {
            ledger->second.admit(holders, now);
        }
        for (const auto &holder : holders) {
            recall(key, holder);
        }
    }
}

// Called after a write that failed or whose result is unknown. If the fence row still
// holds this epoch, no successor has claimed the partition, and the write is repeated
// with the fence version read here. Writing the same rows twice has no effect.
void GrantCoordinator::Private::readFence(const PartitionName &name, Owned &partition)
{
    partition.retryAt = now + RetryInterval;
    table.read(fenceKey(name),
               [this, alive = isAlive, name,
                epoch = partition.epoch](const ports::AsyncResult<std::optional<ports::Row>> &result) {
                   auto *it = *alive ? find(name, epoch) : nullptr;
                   if (!it) {
                       return;
                   }
                   it->isWriting = false;
                   if (result.isOk() && result.value() && result.value()->value == fenceValue(epoch)) {
                       it->fenceVersion = result.value()->version;
                   }
               });
}

std::vector<std::pair<grants::LedgerKey, grants::LedgerSummary>> GrantCoordinator::summary(TimePoint now) const
{
    std::vector<std::pair<grants::LedgerKey, grants::LedgerSummary>> rows;
    for (const auto &[name, partition] : d->owned) {
        for (const auto &[key, ledger] : partition.ledgers) {
            rows.emplace_back(key, ledger.summary(now));
        }
    }
    return rows;
}

} // namespace monsoonspool::control
