#include "jobs/runtimeestimator.h"

#include <boost/math/distributions/normal.hpp>

#include <algorithm>
#include <cmath>
#include <vector>

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

// A step with tasks of very different run times is not taken as longer than this multiple of a typical
// one: its objective would be too late for all practical purposes.
constexpr double MaxLongestFactor = 4;

// Returns the expected largest of `count` standard normal values (Blom, 1958), for each count from 0.
std::vector<double> makeExpectedLargest()
{
    constexpr double alpha = 0.375;
    const boost::math::normal_distribution<> normal;
    std::vector<double> values(MaxTasksPerStep + 1);
    for (std::size_t n = 1; n < values.size(); ++n) {
        values[n] = quantile(normal, (static_cast<double>(n) - alpha) / (static_cast<double>(n) + 1 - 2 * alpha));
    }
    return values;
}

// Each plan asks for many of them.
double expectedLargest(int count)
{
    static const auto values = makeExpectedLargest();
    return values[static_cast<std::size_t>(std::clamp(count, 0, MaxTasksPerStep))];
}

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

Duration RunTimeForecast::longestOf(int count) const
{
    if (count < 2 || logDeviation <= 0) {
        return typical;
    }
    const double factor = std::min(std::exp(logDeviation * expectedLargest(count)), MaxLongestFactor);
    return Duration(static_cast<Duration::rep>(static_cast<double>(typical.count()) * factor));
}

void RunTimeEstimator::MovingStats::add(double value, double weight)
{
    const double difference = value - mean;
    mean += weight * difference;
    variance = (1 - weight) * (variance + weight * difference * difference);
}

void RunTimeEstimator::learn(std::string_view queue, const StepSpec &step, Duration runTime)
{
    const auto key = classKey(queue, step);
    if (m_classes.size() >= MaxClasses && !m_classes.contains(key)) {
        m_classes.erase(std::ranges::min_element(m_classes, {}, [](const auto &it) { return it.second.learnedAt; }));
    }
    auto &taskClass = m_classes[key];
    ++taskClass.count;
    taskClass.learnedAt = ++m_observations;
    const double weight = std::max(1.0 / taskClass.count, SmoothingFactor);
    taskClass.ratio.add(logarithm(runTime) - logarithm(declaredEstimate(step)), weight);
    taskClass.runTime.add(logarithm(runTime), weight);
}

RunTimeForecast RunTimeEstimator::forecast(std::string_view queue, const StepSpec &step) const
{
    const auto it = m_classes.find(classKey(queue, step));
    if (it == m_classes.end() || it->second.count < MinRuns) {
        return {declaredEstimate(step)};
    }
    const auto &taskClass = it->second;
    const double fromEstimate = logarithm(declaredEstimate(step)) + taskClass.ratio.mean;
    const double estimateWeight = 1 / (taskClass.ratio.variance + MinVariance);
    const double meanWeight = 1 / (taskClass.runTime.variance + MinVariance);
    const double logRunTime
        = (fromEstimate * estimateWeight + taskClass.runTime.mean * meanWeight) / (estimateWeight + meanWeight);
    const double variance = std::min(taskClass.ratio.variance, taskClass.runTime.variance);
    return {Duration(static_cast<Duration::rep>(std::exp(logRunTime))), std::sqrt(std::max(variance, 0.0))};
}

} // namespace monsoonspool::jobs
