#pragma once

#include "common/error.h"
#include "placement/job.h"

#include <cstdint>
#include <optional>
#include <vector>

// Job requests between daemons: from the daemon that received an operator's request to
// the owner of the job's partition.
namespace monsoonspool::control {

struct JobCall
{
    enum class Kind {
        Submit,
        Cancel,
        View,
        List,
    };
    std::uint64_t id = 0; // chosen by the caller, identifies its pending call
    EntryHostId from;
    FailureDomain domain;
    Kind kind = Kind::View;
    placement::JobSpec spec; // for Submit
    JobId job; // for Cancel and View
    TeamName team; // for List; empty for all teams
};

struct JobReply
{
    std::uint64_t id = 0;
    std::optional<Failure> failure;
    std::vector<placement::JobView> jobs;
};

} // namespace monsoonspool::control
