#pragma once

#include "common/identifiers.h"
#include "common/time.h"

#include <optional>
#include <string>

namespace monsoonspool::jobs {

// What an adviser that chooses workers for a queue costs, and how long it holds.
struct AdviceTerms
{
    Duration decision{0}; // for one question
    Duration perWorker{0}; // for each worker that it names
    Duration validity{0}; // of a ticket
};

// How the operator wants the jobs of one queue to be treated.
struct QueuePolicy
{
    std::string queue;
    ServiceName service; // whose workers run the tasks
    int priority = 0; // 0 goes first and may preempt others
    int maxAttempts = 1; // failed runs of a task until its job fails
    double stretch = 1; // allowed multiple of the job's longest chain of work
    Duration targetLatency{0}; // allowed on top of that
    std::optional<AdviceTerms> advice;
};

} // namespace monsoonspool::jobs
