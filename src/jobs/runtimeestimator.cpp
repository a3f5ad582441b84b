#include "jobs/runtimeestimator.h"

#include <algorithm>
#include <cmath>

namespace monsoonspool::jobs {

namespace {

// Weight of one more run in the moving means, once enough were seen.
constexpr double LearningWeight = 0.03;
// Below this number of runs the declared estimate alone is used.
constexpr int MinRuns = 5;
// Keeps the weights finite when all runs were alike.
constexpr double MinVariance = 0.01;
// Assumed for a task that declares no estimate, until runs were seen.
constexpr Duration DefaultEstimate = 1s;

std::string kindOf(std::string_view queue, const StepSpec &step)
{
    std::string kind(queue);
    kind += '/';
    kind += step.image;
    return kind;
}

double logarithm(Duration d)
{
    return std::log(static_cast<double>(std::max<Duration::rep>(d.count(), 1)));
}

Duration declared(const StepSpec &step)
{
    return step.estimate > Duration::zero() ? step.estimate : DefaultEstimate;
}

} // namespace

void RunTimeEstimator::Spread::add(double value, double weight)
{
    const double difference = value - mean;
    mean += weight * difference;
    variance = (1 - weight) * (variance + weight * difference * difference);
}

void RunTimeEstimator::learn(std::string_view queue, const StepSpec &step, Duration runTime)
{
    auto &kind = m_kinds[kindOf(queue, step)];
    ++kind.count;
    const double weight = std::max(1.0 / kind.count, LearningWeight);
    kind.ratio.add(logarithm(runTime) - logarithm(declared(step)), weight);
    kind.runTime.add(logarithm(runTime), weight);
}

Duration RunTimeEstimator::expected(std::string_view queue, const StepSpec &step) const
{
    const auto it = m_kinds.find(kindOf(queue, step));
    if (it == m_kinds.end() || it->second.count < MinRuns) {
        return declared(step);
    }
    const auto &kind = it->second;
    const double fromEstimate = logarithm(declared(step)) + kind.ratio.mean;
    const double estimateWeight = 1 / (kind.ratio.variance + MinVariance);
    const double meanWeight = 1 / (kind.runTime.variance + MinVariance);
    const double blended
        = (fromEstimate * estimateWeight + kind.runTime.mean * meanWeight) / (estimateWeight + meanWeight);
    return Duration(static_cast<Duration::rep>(std::exp(blended)));
}

} // namespace monsoonspool::jobs
