#pragma once

#include "common/resources.h"
#include "common/time.h"
#include "jobs/jobspec.h"
#include "jobs/taskid.h"

#include <optional>

namespace monsoonspool::ports::memory {

// Behaviour of a task when it runs alone on a healthy worker.
struct TaskProfile
{
    Duration runTime{1s};
    bool alwaysFails = false;
    Resources needs;
    std::optional<Duration> crashesWorkerAfter
        = std::nullopt; // crashes its worker's process at this age; at 0, before the start is answered
};

// Provides the actual behaviour of tasks, which the scheduler under test does not know.
class TaskModel
{
public:
    virtual ~TaskModel() = default;
    // Called for each run that starts.
    virtual TaskProfile profile(const jobs::TaskId &task) const = 0;
    // Returns the job as its client submitted it, or nullptr if its rules are not checked.
    virtual const jobs::JobSpec *spec(jobs::JobKey) const
    {
        return nullptr;
    }
    // Returns the number of failed runs after which a task fails its job; 0 for no limit.
    virtual int maxAttempts(jobs::JobKey) const
    {
        return 0;
    }
};

} // namespace monsoonspool::ports::memory
