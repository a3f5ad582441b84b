#pragma once

#include "common/identifiers.h"
#include "common/resources.h"
#include "common/time.h"

#include <cstdint>
#include <string>

namespace monsoonspool::placement {

enum class Urgency {
    Urgent,
    Batch,
};

// A job as submitted.
struct JobSpec
{
    TeamName team;
    std::string key; // idempotency key, unique within the team; may be empty
    std::string command;
    Resources resources; // as declared; the allocation may be estimated
    Urgency urgency = Urgency::Batch;

    bool operator==(const JobSpec &) const = default;
};

enum class JobState {
    Waiting,
    Running, // an attempt is planned or may be running
    Succeeded,
    Failed, // JobView::result has the reason
    Cancelled,
};

inline bool isFinal(JobState state)
{
    return state == JobState::Succeeded || state == JobState::Failed || state == JobState::Cancelled;
}

std::string_view jobStateName(JobState state);

// Returns the state with the given name, or Waiting if there is none.
JobState jobStateFromName(std::string_view name);

// The state of a job as reported to clients.
struct JobView
{
    JobId id;
    JobSpec spec;
    JobState state = JobState::Waiting;
    std::uint32_t attempts = 0;
    int evictions = 0;
    bool isCancelling = false;
    WorkerId worker; // of the current attempt
    std::string result; // of the job, or the reason for its failure
};

} // namespace monsoonspool::placement
