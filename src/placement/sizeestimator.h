#pragma once

#include "common/resources.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

namespace monsoonspool::placement {

// Estimates the resources that each workload class uses, since declared sizes are
// wrong by large factors.
//
// Allocates the recent peak usage plus headroom, but no less than a minimum, and the
// declared size until there are enough samples. A failure near the allocated memory
// raises the estimate. Workers enforce the allocation, so that an estimate that is
// too low affects only the attempt itself.
//
// Not thread-safe: owned by the control thread. Memory: one entry per workload class.
class SizeEstimator
{
public:
    // Returns the allocation for an attempt of class `workloadClass` that declares `declared`.
    Resources allocationFor(std::string_view workloadClass, const Resources &declared) const;

    // Adds the peak usage of an attempt that succeeded.
    void recordUsage(std::string_view workloadClass, const Resources &usage);

    // Raises the estimate after an attempt failed, probably for lack of memory.
    void recordShortage(std::string_view workloadClass, const Resources &allocated);

    std::size_t size() const
    {
        return m_estimates.size();
    }

private:
    struct Estimate
    {
        double milliCores = 0;
        double memoryMiB = 0;
        int samples = 0;
    };

    std::unordered_map<std::string, Estimate> m_estimates;
};

} // namespace monsoonspool::placement
