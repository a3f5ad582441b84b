#include "placement/interferenceestimator.h"

#include <algorithm>
#include <cmath>

namespace monsoonspool::placement {

namespace {

constexpr double LearningRate = 0.2;
// Samples at which the confidence in a pair is one half.
constexpr double HalfConfidence = 4;
constexpr double MaxSlowdown = 20;

} // namespace

std::string InterferenceEstimator::pairKey(std::string_view service, std::string_view neighbour)
{
    std::string key(service);
    key += '\n';
    key += neighbour;
    return key;
}

void InterferenceEstimator::addSample(std::string_view service, std::span<const std::string> neighbours,
                                      double slowdown)
{
    if (neighbours.empty()) {
        return;
    }
    const double observed = std::log(std::clamp(slowdown, 1.0, MaxSlowdown));
    double explained = 0;
    for (const auto &it : neighbours) {
        explained += m_weights[pairKey(service, it)].logSlowdown;
    }
    const double step = LearningRate * (observed - explained) / static_cast<double>(neighbours.size());
    for (const auto &it : neighbours) {
        auto &weight = m_weights[pairKey(service, it)];
        weight.logSlowdown = std::max(0.0, weight.logSlowdown + step);
        ++weight.samples;
    }
}

PairEstimate InterferenceEstimator::pairEstimate(std::string_view service, std::string_view neighbour) const
{
    const auto it = m_weights.find(pairKey(service, neighbour));
    if (it == m_weights.end()) {
        return {};
    }
    const double samples = it->second.samples;
    return {std::exp(it->second.logSlowdown), samples / (samples + HalfConfidence)};
}

double InterferenceEstimator::expectedSlowdown(std::string_view service, std::span<const std::string> neighbours) const
{
    double sum = 0;
    for (const auto &it : neighbours) {
        const auto estimate = pairEstimate(service, it);
        sum += std::log(estimate.slowdown) * estimate.confidence;
    }
    return std::exp(sum);
}

} // namespace monsoonspool::placement
