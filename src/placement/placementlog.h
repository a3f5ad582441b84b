#pragma once

#include "common/identifiers.h"
#include "common/resources.h"
#include "placement/job.h"
#include "ports/workeragent.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

// The entries of a partition's write-ahead log. Replaying them in order yields the
// partition's durable state.
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
// Once this is committed, the attempt may start.
struct AttemptPlanned
{
    ports::AttemptId attempt;
    WorkerId worker;
    std::uint64_t workerIncarnation = 0;
    Resources allocated;
};
// The attempt has certainly ended: it neither runs nor will run.
struct AttemptEnded
{
    enum class Outcome {
        Succeeded,
        Failed,
        Stopped,
        Evicted, // stopped after writing a checkpoint
        Lost, // the worker restarted, or the lease expired
        NeverStarted,
    };
    ports::AttemptId attempt;
    Outcome outcome = Outcome::Lost;
    std::string result;
    std::string checkpoint;
};
// The job has failed permanently; it gets no further attempts.
struct JobFailed
{
    JobId job;
    std::string reason;
};
// A finished job is removed from the job table.
struct JobRemoved
{
    JobId job;
};

using LogEntry = std::variant<JobSubmitted, JobCancelled, AttemptPlanned, AttemptEnded, JobFailed, JobRemoved>;

} // namespace monsoonspool::placement
