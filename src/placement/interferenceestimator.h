#pragma once

#include "common/time.h"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace monsoonspool::placement {

// The learned effect of one batch workload class on one service.
struct PairEstimate
{
    double slowdown = 1; // factor of execution time; 1: none
    double confidence = 0; // 0 to 1, increases with the number of samples
};

// Learns which batch workload classes slow down which services.
//
// A report has the slowdown of a service's task and the classes that ran on the same
// worker, but not which of them caused it. The difference from the prediction is
// therefore divided equally among them, by the normalised least mean squares (NLMS)
// rule on log slowdowns. Pairs without samples have no effect.
//
// Not thread-safe for writing; const functions may run in parallel.
class InterferenceEstimator
{
public:
    // Adds the slowdown of `service` that was reported while `neighbours` ran on the
    // same worker.
    void addSample(std::string_view service, std::span<const std::string> neighbours, double slowdown);

    // Returns whether there are no samples yet.
    bool isEmpty() const
    {
        return m_weights.empty();
    }

    PairEstimate pairEstimate(std::string_view service, std::string_view neighbour) const;

    // Returns the expected slowdown of `service` with `neighbours` on the same worker,
    // each pair weighted by its confidence.
    double expectedSlowdown(std::string_view service, std::span<const std::string> neighbours) const;

private:
    struct Weight
    {
        double logSlowdown = 0;
        int samples = 0;
    };
    static std::string pairKey(std::string_view service, std::string_view neighbour);

    std::unordered_map<std::string, Weight> m_weights;
};

} // namespace monsoonspool::placement
