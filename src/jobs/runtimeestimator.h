#pragma once

#include "common/time.h"
#include "jobs/jobspec.h"

#include <map>
#include <string>
#include <string_view>

namespace monsoonspool::jobs {

// Learns how long tasks really run, since declared estimates are rough.
//
// For each kind of task (its queue and image) it follows two guesses: the
// declared estimate times the mean ratio seen, and the mean run time seen. It
// returns their mean weighted by how little each has varied.
//
// Not thread-safe: owned by the control thread.
class RunTimeEstimator
{
public:
    // Learns from a run that ended as done at full pace on a sound worker.
    void learn(std::string_view queue, const StepSpec &step, Duration runTime);

    // Returns how long a task of `step` is expected to run.
    Duration expected(std::string_view queue, const StepSpec &step) const;

private:
    struct Spread
    {
        double mean = 0;
        double variance = 0;
        void add(double value, double weight);
    };
    struct Kind
    {
        int count = 0;
        Spread ratio; // logarithm of run time over estimate
        Spread runTime; // logarithm of run time
    };

    std::map<std::string, Kind, std::less<>> m_kinds;
};

} // namespace monsoonspool::jobs
