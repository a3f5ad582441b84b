#include "control/ownershipsynchronizer.h"

#include <map>
#include <utility>

namespace monsoonspool::control {

namespace {

constexpr std::string_view OwnershipKeysBegin = "ownership/";
constexpr std::string_view OwnershipKeysEnd = "ownership0"; // '0' follows '/'
constexpr int MaxRows = 10'000;
constexpr Duration ReadInterval = 400ms;

std::string ownershipKey(const PartitionName &partition)
{
    return std::string(OwnershipKeysBegin) + partition.text();
}

} // namespace

std::string fenceKey(const PartitionName &partition)
{
    return "fence/" + partition.text();
}

std::string fenceValue(Epoch epoch)
{
    return std::to_string(epoch.value);
}

struct OwnershipSynchronizer::Private
{
    membership::Ownership &ownership;
    membership::EntryHosts &hosts;
    ports::TableService &table;
    const RowCodec &codec;
    Eligible eligible;
    std::vector<PartitionName> partitions;
    TimePoint now;
    TimePoint nextRead;
    bool isReading = false;
    bool isStoreReachable = true;
    std::shared_ptr<bool> isAlive = std::make_shared<bool>(true);

    void read();
    void onRows(const ports::AsyncResult<std::vector<ports::Row>> &result);
    void claim();
    void renew();
    void write(std::vector<membership::OwnershipWrite> writes, bool isClaim, std::function<void()> done);
    void setStoreReachable(bool isReachable);
};

OwnershipSynchronizer::OwnershipSynchronizer(membership::Ownership &ownership, membership::EntryHosts &hosts,
                                             ports::TableService &table, const RowCodec &codec, Eligible eligible)
    : d(new Private{
        ownership, hosts, table, codec, std::move(eligible), {}, {}, {}, false, true, std::make_shared<bool>(true)})
{
}

OwnershipSynchronizer::~OwnershipSynchronizer()
{
    *d->isAlive = false;
}

void OwnershipSynchronizer::setPartitions(std::span<const PartitionName> partitions)
{
    d->partitions = {partitions.begin(), partitions.end()};
    d->ownership.setPartitions(partitions);
}

void OwnershipSynchronizer::tick(TimePoint now)
{
    d->now = now;
    if (!d->isReading && now >= d->nextRead) {
        d->read();
    }
    d->claim();
    d->renew();
}

bool OwnershipSynchronizer::isStoreReachable() const
{
    return d->isStoreReachable;
}

void OwnershipSynchronizer::releaseAll(TimePoint now, std::function<void()> done)
{
    d->now = now;
    auto writes = d->ownership.releases();
    if (writes.empty()) {
        done();
        return;
    }
    d->write(std::move(writes), false, std::move(done));
}

void OwnershipSynchronizer::Private::setStoreReachable(bool isReachable)
{
    isStoreReachable = isReachable;
    hosts.setStoreReachable(isReachable);
}

void OwnershipSynchronizer::Private::read()
{
    isReading = true;
    nextRead = now + ReadInterval;
    table.scan(OwnershipKeysBegin, OwnershipKeysEnd, MaxRows,
               [this, alive = isAlive](const ports::AsyncResult<std::vector<ports::Row>> &result) {
                   if (*alive) {
                       isReading = false;
                       onRows(result);
                   }
               });
}

void OwnershipSynchronizer::Private::onRows(const ports::AsyncResult<std::vector<ports::Row>> &result)
{
    setStoreReachable(result.isOk());
    if (!result.isOk()) {
        return;
    }
    std::map<std::string_view, const ports::Row *> byKey;
    for (const auto &row : result.value()) {
        byKey[row.key] = &row;
    }
    for (const auto &partition : partitions) {
        const auto key = ownershipKey(partition);
        const auto it = byKey.find(key);
        if (it == byKey.end()) {
            ownership.noteRow(partition, std::nullopt, 0, now);
            continue;
        }
        handleFailure(
            [&]() -> Result<void> {
                BOOST_LEAF_AUTO(row, codec.decodeOwnership(it->second->value));
                ownership.noteRow(partition, row, it->second->version, now);
                return {};
            },
            [](const Failure &) {});
    }
}

void OwnershipSynchronizer::Private::claim()
{
    if (!isStoreReachable) {
        return;
    }
    const auto members = hosts.members(now);
    std::vector<EntryHostId> healthyHosts;
    for (const auto &it : members) {
        if (hosts.isHealthy(it, now)) {
            healthyHosts.push_back(it);
        }
    }
    const auto candidates = [&](const PartitionName &partition) { return eligible(partition, members); };
    for (auto &it : ownership.dueClaims(candidates, healthyHosts, now)) {
        write({std::move(it)}, true, [] {});
    }
}

void OwnershipSynchronizer::Private::renew()
{
    auto writes = ownership.dueRenewals(now);
    if (!writes.empty()) {
        write(std::move(writes), false, [] {});
    }
}

void OwnershipSynchronizer::Private::write(std::vector<membership::OwnershipWrite> writes, bool isClaim,
                                           std::function<void()> done)
{
    std::vector<ports::RowWrite> rows;
    for (const auto &it : writes) {
        const auto value = codec.encode(it.row);
        rows.push_back({ownershipKey(it.partition), it.expectedVersion, value, false});
        if (isClaim) {
            rows.push_back({fenceKey(it.partition), ports::AnyVersion, fenceValue(it.row.epoch), false});
        }
    }
    table.commit(rows,
                 [this, alive = isAlive, writes = std::move(writes), sentAt = now,
                  done = std::move(done)](const ports::AsyncResult<std::uint64_t> &result) {
                     if (!*alive) {
                         return;
                     }
                     if (result.isOk()) {
                         setStoreReachable(true);
                         ownership.noteWritten(writes, result.value(), sentAt, now);
                     } else {
                         setStoreReachable(result.failure().kind == ErrorKind::StoreConflict);
                         ownership.noteFailed(writes, result.failure().kind, now);
                         nextRead = now;
                     }
                     done();
                 });
}

} // namespace monsoonspool::control
