#pragma once

#include "common/error.h"
#include "common/identifiers.h"
#include "common/resources.h"
#include "common/time.h"

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace monsoonspool::jobs {

// The time of day, for work that is due at a time. It may jump.
using WallTime = std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

// What the tasks of one step need, and how they may be run.
struct StepSpec
{
    int count = 1;
    Resources needs; // of one task
    Duration estimate{0}; // of one task's run time, rough
    std::vector<int> after; // earlier steps whose tasks must all be done first
    bool hasCheckpoints = false;
    bool isGang = false; // the tasks start together and end together
    bool isColocated = false; // slower on more than one rack
    bool maySpeculate = false; // copies of a task may run beside each other
    bool isLasting = false; // runs until the job is cancelled
    bool usesLeftover = false; // gets the processors that other tasks leave unused
    std::string requiredLabel; // of the worker; empty for any
    std::string dataRack; // slower on other racks; empty for any
    std::string image; // tasks of one image behave alike
    int maxPerWorker = 0; // 0 for no limit
    std::optional<Duration> tailTarget; // of the tasks' own response times
    int maxUnavailable = 0; // lasting tasks that orders may take away at once; 0 for no promise
};

// A job as its client describes it.
struct JobSpec
{
    std::string payload; // handed to the tasks unread
    std::vector<StepSpec> steps;
    int occurrences = 0; // 0 for a job that runs once, at once
    WallTime firstDue;
    std::chrono::milliseconds interval{0};

    // Returns how often the steps run.
    int occurrenceCount() const
    {
        return occurrences > 0 ? occurrences : 1;
    }
    // Returns whether the job runs at set times.
    bool isTimed() const
    {
        return occurrences > 0;
    }
    // Returns whether any step lasts until the job is cancelled.
    bool isLasting() const;
};

// Bounds that keep one job from exhausting a host's memory.
constexpr int MaxSteps = 64;
constexpr int MaxTasksPerStep = 5000;
constexpr int MaxOccurrences = 10000;

// Fails with InvalidJob if the job can never run as described.
Result<void> validate(const JobSpec &spec);

} // namespace monsoonspool::jobs
