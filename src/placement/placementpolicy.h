#pragma once

#include "common/resources.h"
#include "common/time.h"
#include "placement/job.h"

#include <memory>
#include <span>
#include <string_view>

namespace monsoonspool::placement {

// A worker with enough free resources for a job.
struct PlacementCandidate
{
    std::uint32_t worker = 0;
    Resources capacity;
    Resources freeAfter; // after placing the job
    double slowdown = 1; // worst expected one: of the services on the worker, or of the job if it is a service
    bool hasFailedOnWorker = false;
    int sameTeamInRack = 0; // attempts of the job's team in the worker's rack
};

// Scores workers for a job; the highest score wins. score() must have no side
// effects, since it is called from several threads.
class ScoringPolicy
{
public:
    virtual ~ScoringPolicy() = default;
    virtual double score(const PlacementCandidate &candidate) const = 0;
};

// Returns the policy with the given name, or nullptr if there is none: "tight-and-quiet"
// (best fit, with balanced resources and little interference), "first-fit" or "random".
std::unique_ptr<ScoringPolicy> makeScoringPolicy(std::string_view name);

// A batch attempt whose eviction would free enough resources.
struct EvictionCandidate
{
    std::uint32_t worker = 0;
    Resources freedResources;
    Duration runTime{0};
    int evictionsInLastHour = 0;
    std::uint32_t index = 0; // for use by the caller
};

// Chooses the attempt to evict for an urgent job.
class EvictionPolicy
{
public:
    virtual ~EvictionPolicy() = default;

    // Returns the index of the choice in `candidates`, or -1 for none.
    virtual int choose(std::span<const EvictionCandidate> candidates, int maxEvictionsPerHour) const = 0;
};

// Evicts the attempt of the job with the fewest evictions in the last hour, and among
// those the one that has run for the shortest time.
class YoungestFirst : public EvictionPolicy
{
public:
    int choose(std::span<const EvictionCandidate> candidates, int maxEvictionsPerHour) const override;
};

} // namespace monsoonspool::placement
