#include "membership/rendezvous.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace monsoonspool::membership {

std::vector<EntryHostId> rankedOwners(const PartitionName &partition, std::span<const EntryHostId> hosts)
{
    std::vector<std::pair<XXH64_hash_t, EntryHostId>> scored;
    scored.reserve(hosts.size());
    const XXH64_hash_t seed = XXH3_64bits(partition.view().data(), partition.view().size());
    for (const auto &it : hosts) {
        scored.emplace_back(XXH3_64bits_withSeed(it.view().data(), it.view().size(), seed), it);
    }
    std::ranges::sort(scored, std::greater<>());
    std::vector<EntryHostId> ranked;
    ranked.reserve(scored.size());
    for (auto &[score, host] : scored) {
        ranked.push_back(std::move(host));
    }
    return ranked;
}

} // namespace monsoonspool::membership
