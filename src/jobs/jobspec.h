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

// Wall clock time, for jobs that are due at a set time. It may jump.
using WallTime = std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

// Requirements and placement rules of the tasks of one step.
struct StepSpec
{
    int count = 1;
    Resources needs; // of one task
    Duration estimate{0}; // approximate run time of one task
    std::vector<int> after; // indices of earlier steps that must be done first
    bool hasCheckpoints = false;
    bool isGang = false; // the tasks start together and end together
    bool isColocated = false; // slower on more than one rack
    bool maySpeculate = false; // several copies of a task may run at the same time
    bool isLasting = false; // runs until the job is cancelled
    bool usesLeftover = false; // runs on cores that other tasks leave unused
    std::string requiredLabel; // kind or rack of the worker; empty for any
    std::string dataRack; // slower on other racks; empty for any
    std::string image; // tasks of one image have similar run times and interference
    int maxPerWorker = 0; // 0 for no limit
    std::optional<Duration> tailTarget; // tail latency target of the tasks' own requests
    int maxUnavailable = 0; // lasting tasks that may be stopped by orders at the same time; 0 for no guarantee
};

// A job as specified by its client.
struct JobSpec
{
    std::string payload; // opaque, passed to the tasks
    std::vector<StepSpec> steps;
    int occurrences = 0; // 0 for a job that runs once, immediately
    WallTime firstDue;
    std::chrono::milliseconds interval{0};

    // Returns how many times the steps run.
    int occurrenceCount() const
    {
        return occurrences > 0 ? occurrences : 1;
    }
    // Returns how many of these times have come.
    int dueCount(WallTime now) const;
    // Returns whether the job runs on a schedule.
    bool isTimed() const
    {
        return occurrences > 0;
    }
    // Returns whether any step runs until the job is cancelled.
    bool isLasting() const;
};

// Sorts the positions of earlier steps and removes duplicates, of which a client may send thousands.
void normalizeAfter(std::vector<int> &after);

// Limits that prevent a single job from exhausting a host's memory.
constexpr int MaxSteps = 64;
constexpr int MaxTasksPerStep = 5000;
constexpr int MaxOccurrences = 10000;

// Fails with InvalidJob if the job can never run as described.
Result<void> validate(const JobSpec &spec);

} // namespace monsoonspool::jobs
