#pragma once

#include "common/time.h"
#include "jobs/jobspec.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace monsoonspool::jobs {

// The predicted run time of the tasks of a step, lognormal.
struct RunTimeForecast
{
    Duration typical{0}; // the median
    double logDeviation = 0; // standard deviation of the logarithm, 0 if it is not known

    // Returns the expected run time of the longest of `count` tasks.
    Duration longestOf(int count) const;
};

// Predicts task run times from observed ones, since declared estimates are inaccurate.
//
// Tasks are grouped into classes by queue and image. Clients name the images: of more classes than MaxClasses,
// the one that was observed longest ago is forgotten. For each class there are two
// predictors, both on a logarithmic scale: the declared estimate corrected by the mean
// observed ratio of run time to estimate, and the mean observed run time. The prediction
// is their average, weighted by inverse variance.
//
// Not thread-safe: owned by the control thread.
class RunTimeEstimator
{
public:
    // Adds the run time of a run that ended as done, at full pace on a healthy worker.
    void learn(std::string_view queue, const StepSpec &step, Duration runTime);

    RunTimeForecast forecast(std::string_view queue, const StepSpec &step) const;

    static constexpr std::size_t MaxClasses = 2048;

private:
    // Exponentially weighted moving mean and variance.
    struct MovingStats
    {
        double mean = 0;
        double variance = 0;
        void add(double value, double weight);
    };
    // The observations of one task class.
    struct TaskClass
    {
        int count = 0;
        std::uint64_t learnedAt = 0; // position of the last observation among all
        MovingStats ratio; // log(run time / estimate)
        MovingStats runTime; // log(run time)
    };

    std::map<std::string, TaskClass, std::less<>> m_classes;
    std::uint64_t m_observations = 0;
};

} // namespace monsoonspool::jobs
