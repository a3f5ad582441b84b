#pragma once

#include "common/identifiers.h"
#include "common/resources.h"
#include "placement/job.h"
#include "ports/workeragent.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

// The decisions of a partition as they are kept. A partition's durable state is
// what its entries, taken in order, make of an empty one.
namespace monsoonspool::placement {

struct JobSubmitted
{
    JobId job;
    JobSpec spec;
};
struct JobCancelled
{
    JobId job;
};
// An attempt may be started from now on.
struct AttemptPlanned
{
    ports::AttemptId attempt;
    WorkerId worker;
    std::uint64_t workerIncarnation = 0;
    Resources allotted;
};
// An attempt is certainly over.
struct AttemptEnded
{
    enum class How {
        Succeeded,
        Failed,
        Stopped,
        Evicted, // with a checkpoint
        Lost, // with its worker or its lease
        NeverStarted,
    };
    ports::AttemptId attempt;
    How how = How::Lost;
    std::string result;
    std::string checkpoint;
};
// A job is stopped for good.
struct JobFailed
{
    JobId job;
    std::string reason;
};
// A finished job is forgotten.
struct JobForgotten
{
    JobId job;
};

using LogEntry = std::variant<JobSubmitted, JobCancelled, AttemptPlanned, AttemptEnded, JobFailed, JobForgotten>;

} // namespace monsoonspool::placement
