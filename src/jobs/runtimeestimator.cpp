#include "jobs/runtimeestimator.h"

#include <algorithm>
#include <cmath>

namespace monsoonspool::jobs {

namespace {

// Smoothing factor of the moving averages; the first runs are weighted equally.
constexpr double SmoothingFactor = 0.03;
// With fewer runs only the declared estimate is used.
constexpr int MinRuns = 5;
// Keeps the weights finite if all observed runs were equal.
constexpr double MinVariance = 0.01;
// For a task without a declared estimate, until enough runs are observed.
constexpr Duration DefaultEstimate = 1s;

std::string classKey(std::string_view queue, const StepSpec &step)
{
    std::string key(queue);
    key += '/';
    key += step.image;
    return key;
}

double logarithm(Duration d)
{
    return std::log(static_cast<double>(std::max<Duration::rep>(d.count(), 1)));
}

Duration declaredEstimate(const StepSpec &step)
{
    return step.estimate > Duration::zero() ? step.estimate : DefaultEstimate;
}

} // namespace

void RunTimeEstimator::MovingStats::add(double value, double weight)
{
    const double difference = value - mean;
    mean += weight * difference;
    variance = (1 - weight) * (variance + weight * difference * difference);
}

void RunTimeEstimator::learn(std::string_view queue, const StepSpec &step, Duration runTime)
{
    auto &taskClass = m_classes[classKey(queue, step)];
    ++taskClass.count;
    const double weight = std::max(1.0 / taskClass.count, SmoothingFactor);
    taskClass.ratio.add(logarithm(runTime) - logarithm(declaredEstimate(step)), weight);
    taskClass.runTime.add(logarithm(runTime), weight);
}

Duration RunTimeEstimator::expected(std::string_view queue, const StepSpec &step) const
{
    const auto it = m_classes.find(classKey(queue, step));
    if (it == m_classes.end() || it->second.count < MinRuns) {
        return declaredEstimate(step);
    }
    const auto &taskClass = it->second;
    const double fromEstimate = logarithm(declaredEstimate(step)) + taskClass.ratio.mean;
    const double estimateWeight = 1 / (taskClass.ratio.variance + MinVariance);
    const double meanWeight = 1 / (taskClass.runTime.variance + MinVariance);
    const double logRunTime
        = (fromEstimate * estimateWeight + taskClass.runTime.mean * meanWeight) / (estimateWeight + meanWeight);
    return Duration(static_cast<Duration::rep>(std::exp(logRunTime)));
}

} // namespace monsoonspool::jobs
