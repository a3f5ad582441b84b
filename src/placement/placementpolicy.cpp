#include "placement/placementpolicy.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace monsoonspool::placement {

namespace {

constexpr double PriorFailurePenalty = 10;
constexpr double SlowdownPenalty = 4;
constexpr double SameRackPenalty = 0.05;

double freeFraction(std::int64_t free, std::int64_t capacity)
{
    return capacity == 0 ? 0 : static_cast<double>(free) / static_cast<double>(capacity);
}

// Best fit: prefers the worker with the least free resources after placement. Penalises
// an imbalance of free processors and memory, which strands the larger of the two, and
// the expected interference.
class BalancedBestFit : public ScoringPolicy
{
public:
    double score(const PlacementCandidate &it) const override
    {
        const double cores = freeFraction(it.freeAfter.milliCores, it.capacity.milliCores);
        const double memory = freeFraction(it.freeAfter.memoryMiB, it.capacity.memoryMiB);
        const double imbalance = std::abs(cores - memory);
        return -(cores + memory) / 2 - imbalance - SlowdownPenalty * (it.slowdown - 1)
            - (it.hasFailedOnWorker ? PriorFailurePenalty : 0) - SameRackPenalty * it.sameTeamInRack;
    }
};

class FirstFit : public ScoringPolicy
{
public:
    double score(const PlacementCandidate &it) const override
    {
        return -static_cast<double>(it.worker);
    }
};

// Scores by a hash of the worker and its free memory: pseudo-random, but reproducible.
class RandomWorker : public ScoringPolicy
{
public:
    double score(const PlacementCandidate &it) const override
    {
        const auto hash = (it.worker * 2654435761U) ^ static_cast<std::uint32_t>(it.freeAfter.memoryMiB * 40503);
        return static_cast<double>(hash * 2654435761U);
    }
};

} // namespace

std::unique_ptr<ScoringPolicy> makeScoringPolicy(std::string_view name)
{
    if (name == "tight-and-quiet") {
        return std::make_unique<BalancedBestFit>();
    }
    if (name == "first-fit") {
        return std::make_unique<FirstFit>();
    }
    if (name == "random") {
        return std::make_unique<RandomWorker>();
    }
    return nullptr;
}

int YoungestFirst::choose(std::span<const EvictionCandidate> candidates, int maxEvictionsPerHour) const
{
    int best = -1;
    for (int n = 0; n < static_cast<int>(candidates.size()); ++n) {
        const auto &it = candidates[static_cast<std::size_t>(n)];
        if (it.evictionsInLastHour >= maxEvictionsPerHour) {
            continue;
        }
        const auto order = [](const EvictionCandidate &c) { return std::tuple(c.evictionsInLastHour, c.runTime); };
        if (best < 0 || order(it) < order(candidates[static_cast<std::size_t>(best)])) {
            best = n;
        }
    }
    return best;
}

} // namespace monsoonspool::placement
