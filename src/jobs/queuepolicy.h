#pragma once

#include "common/identifiers.h"
#include "common/time.h"

#include <optional>
#include <string>

namespace monsoonspool::jobs {

// Latency of the adviser that chooses workers for a queue, and validity of its advice.
struct AdviceTerms
{
    Duration decision{0}; // per request
    Duration perWorker{0}; // per worker in the answer
    Duration validity{0}; // of a ticket
};

// The operator's scheduling policy for the jobs of one queue.
struct QueuePolicy
{
    std::string queue;
    ServiceName service; // its workers run the tasks
    int priority = 0; // 0 is the highest and may preempt others
    int maxAttempts = 1; // failed runs of one task after which the job fails
    double stretch = 1; // multiple of the critical path's run time allowed for completion
    Duration targetLatency{0}; // allowed in addition
    std::optional<AdviceTerms> advice;
};

} // namespace monsoonspool::jobs
