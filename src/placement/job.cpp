#include "placement/job.h"

namespace monsoonspool::placement {

std::string_view jobStateName(JobState state)
{
    switch (state) {
    case JobState::Waiting:
        return "waiting";
    case JobState::Running:
        return "running";
    case JobState::Succeeded:
        return "succeeded";
    case JobState::Failed:
        return "failed";
    case JobState::Cancelled:
        break;
    }
    return "cancelled";
}

JobState jobStateFromName(std::string_view name)
{
    for (const auto it : {JobState::Running, JobState::Succeeded, JobState::Failed, JobState::Cancelled}) {
        if (jobStateName(it) == name) {
            return it;
        }
    }
    return JobState::Waiting;
}

} // namespace monsoonspool::placement
