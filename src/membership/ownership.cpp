#include "membership/ownership.h"

#include "membership/rendezvous.h"

#include <algorithm>

namespace monsoonspool::membership {

namespace {

constexpr Duration RenewInterval = 500ms;
// Delay before a failed write is repeated. The rows are read again meanwhile, and
// show whether a write whose reply was lost took effect.
constexpr Duration RetryInterval = 250ms;
constexpr Duration RowStaleAfter = 1600ms;
// Delay of a claim for each rank of the rendezvous order that goes before.
constexpr Duration ClaimDelayPerRank = 300ms;

} // namespace

Ownership::Ownership(EntryHostId self, std::uint64_t incarnation) : m_self(std::move(self)), m_incarnation(incarnation)
{
}

void Ownership::setPartitions(std::span<const PartitionName> partitions)
{
    for (const auto &it : partitions) {
        m_partitions.try_emplace(it);
    }
}

void Ownership::noteRow(const PartitionName &name, const std::optional<OwnershipRow> &row, std::uint64_t version,
                        TimePoint now)
{
    const auto it = m_partitions.find(name);
    if (it == m_partitions.end()) {
        return;
    }
    auto &partition = it->second;
    if (partition.isKnown && version <= partition.version) {
        return;
    }
    partition.isKnown = true;
    partition.hasRow = row.has_value();
    partition.row = row.value_or(OwnershipRow());
    partition.version = version;
    partition.changedAt = now;
    const bool isMine = partition.row.owner == m_self && partition.row.incarnation == m_incarnation;
    if (partition.isOwned && !isMine) {
        markLost(name, partition);
    }
}

void Ownership::markLost(const PartitionName &name, Partition &partition)
{
    partition.isOwned = false;
    m_events.push_back({name, OwnershipChange::Lost, partition.row.epoch, true, 0});
}

bool Ownership::isClaimable(const Partition &partition, std::span<const EntryHostId> healthyHosts, TimePoint now,
                            Duration delay) const
{
    if (!partition.isKnown || partition.isOwned || partition.isWriting || now < partition.retryAt) {
        return false;
    }
    const Duration unchanged = now - partition.changedAt;
    if (!partition.hasRow || partition.row.owner.isEmpty()) {
        return unchanged >= delay;
    }
    if (partition.row.owner == m_self) {
        return true; // an earlier run of this host
    }
    const bool isOwnerHealthy = std::ranges::find(healthyHosts, partition.row.owner) != healthyHosts.end();
    return !isOwnerHealthy && unchanged >= RowStaleAfter + delay;
}

std::vector<OwnershipWrite> Ownership::dueClaims(const Candidates &candidates,
                                                 std::span<const EntryHostId> healthyHosts, TimePoint now)
{
    std::vector<OwnershipWrite> writes;
    for (auto &[name, partition] : m_partitions) {
        const auto ranked = rankedOwners(name, candidates(name));
        const auto rank = std::ranges::find(ranked, m_self) - ranked.begin();
        if (rank == static_cast<std::ptrdiff_t>(ranked.size())
            || !isClaimable(partition, healthyHosts, now, rank * ClaimDelayPerRank)) {
            continue;
        }
        partition.isWriting = true;
        const OwnershipRow row{m_self, m_incarnation, Epoch{partition.row.epoch.value + 1}, 1};
        writes.push_back({name, partition.version, row});
    }
    return writes;
}

std::vector<OwnershipWrite> Ownership::dueRenewals(TimePoint now)
{
    std::vector<OwnershipWrite> writes;
    for (auto &[name, partition] : m_partitions) {
        if (!partition.isOwned || partition.isWriting || now - partition.renewedAt < RenewInterval
            || now < partition.retryAt) {
            continue;
        }
        partition.isWriting = true;
        OwnershipRow row = partition.row;
        ++row.beat;
        writes.push_back({name, partition.version, row});
    }
    return writes;
}

std::vector<OwnershipWrite> Ownership::releases()
{
    std::vector<OwnershipWrite> writes;
    for (auto &[name, partition] : m_partitions) {
        if (!partition.isOwned) {
            continue;
        }
        partition.isWriting = true;
        OwnershipRow row = partition.row;
        row.owner = EntryHostId();
        row.incarnation = 0;
        writes.push_back({name, partition.version, row});
    }
    return writes;
}

void Ownership::noteWritten(std::span<const OwnershipWrite> writes, std::uint64_t version, TimePoint sentAt,
                            TimePoint now)
{
    for (const auto &write : writes) {
        auto &partition = m_partitions[write.partition];
        partition.isWriting = false;
        if (version <= partition.version) {
            continue; // a newer row has been read meanwhile
        }
        if (write.row.epoch < partition.row.epoch) {
            partition.version = version; // a peer has announced the next owner meanwhile
            continue;
        }
        const bool hadOwnerBefore = partition.hasRow;
        const bool wasOwned = partition.isOwned;
        partition.isKnown = true;
        partition.hasRow = true;
        partition.row = write.row;
        partition.version = version;
        partition.changedAt = now;
        partition.renewedAt = sentAt;
        partition.confirmedAt = std::max(partition.confirmedAt, sentAt);
        partition.isOwned = write.row.owner == m_self;
        if (partition.isOwned && !wasOwned) {
            m_events.push_back({write.partition, OwnershipChange::Gained, write.row.epoch, hadOwnerBefore, version});
        } else if (!partition.isOwned && wasOwned) {
            markLost(write.partition, partition);
        }
    }
}

void Ownership::noteFailed(std::span<const OwnershipWrite> writes, ErrorKind kind, TimePoint now)
{
    for (const auto &write : writes) {
        auto &partition = m_partitions[write.partition];
        partition.isWriting = false;
        partition.retryAt = now + RetryInterval;
        if (kind == ErrorKind::StoreConflict && !partition.isOwned) {
            partition.changedAt = now; // another host claimed first
        }
    }
}

void Ownership::noteStoreUnreachableForAll(TimePoint now)
{
    for (auto &[name, partition] : m_partitions) {
        if (partition.isOwned && now - partition.confirmedAt < OwnerLease) {
            partition.confirmedAt = now;
        }
    }
}

std::vector<OwnershipEvent> Ownership::takeEvents()
{
    return std::exchange(m_events, {});
}

std::optional<Epoch> Ownership::ownedEpoch(const PartitionName &name) const
{
    const auto it = m_partitions.find(name);
    if (it == m_partitions.end() || !it->second.isOwned) {
        return std::nullopt;
    }
    return it->second.row.epoch;
}

bool Ownership::mayDecide(const PartitionName &name, TimePoint now) const
{
    const auto it = m_partitions.find(name);
    return it != m_partitions.end() && it->second.isOwned && now - it->second.confirmedAt < OwnerLease;
}

std::optional<EntryHostId> Ownership::ownerOf(const PartitionName &name) const
{
    const auto it = m_partitions.find(name);
    if (it == m_partitions.end() || it->second.row.owner.isEmpty()) {
        return std::nullopt;
    }
    return it->second.row.owner;
}

void Ownership::noteOwner(const PartitionName &name, const EntryHostId &owner, Epoch epoch)
{
    auto &partition = m_partitions[name];
    if (epoch <= partition.row.epoch) {
        return;
    }
    if (partition.isOwned) {
        markLost(name, partition);
    }
    partition.row.owner = owner;
    partition.row.incarnation = 0;
    partition.row.epoch = epoch;
}

std::vector<OwnershipSummary> Ownership::summary() const
{
    std::vector<OwnershipSummary> rows;
    for (const auto &[name, partition] : m_partitions) {
        rows.push_back({name, partition.row, partition.isOwned});
    }
    return rows;
}

} // namespace monsoonspool::membership
