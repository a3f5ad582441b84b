#include "placement/sizeestimator.h"

#include <algorithm>
#include <cmath>

namespace monsoonspool::placement {

namespace {

constexpr int MinSamples = 3;
constexpr double HeadroomFactor = 1.25;
// Fraction of the difference by which a lower sample reduces the peak.
constexpr double PeakDecay = 0.05;
constexpr double ShortageFactor = 1.5;
constexpr std::int64_t MinMilliCores = 100;
constexpr std::int64_t MinMemoryMiB = 64;

double decayedPeak(double peak, double sample)
{
    return sample >= peak ? sample : peak + PeakDecay * (sample - peak);
}

std::int64_t withHeadroom(double value, std::int64_t minimum)
{
    return std::max(minimum, static_cast<std::int64_t>(std::ceil(value * HeadroomFactor)));
}

} // namespace

Resources SizeEstimator::allocationFor(std::string_view workloadClass, const Resources &declared) const
{
    const auto it = m_estimates.find(std::string(workloadClass));
    if (it == m_estimates.end() || it->second.samples < MinSamples) {
        return declared;
    }
    return {withHeadroom(it->second.milliCores, MinMilliCores), withHeadroom(it->second.memoryMiB, MinMemoryMiB),
            declared.accelerators};
}

void SizeEstimator::recordUsage(std::string_view workloadClass, const Resources &usage)
{
    auto &estimate = m_estimates[std::string(workloadClass)];
    estimate.milliCores = decayedPeak(estimate.milliCores, static_cast<double>(usage.milliCores));
    estimate.memoryMiB = decayedPeak(estimate.memoryMiB, static_cast<double>(usage.memoryMiB));
    ++estimate.samples;
}

void SizeEstimator::recordShortage(std::string_view workloadClass, const Resources &allocated)
{
    const auto it = m_estimates.find(std::string(workloadClass));
    if (it == m_estimates.end() || it->second.samples < MinSamples) {
        return; // the attempt had its declared size
    }
    it->second.memoryMiB
        = std::max(it->second.memoryMiB, static_cast<double>(allocated.memoryMiB) * ShortageFactor / HeadroomFactor);
}

} // namespace monsoonspool::placement
