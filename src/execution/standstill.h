#pragma once

#include "common/time.h"

#include <array>
#include <cstddef>
#include <numeric>
#include <string_view>

namespace monsoonspool::execution {

// Why a job has nothing at work although a task's turn has come.
enum class StandstillCause {
    Takeover, // a worker of the former leader's roster may run the task
    StartsSuspended, // rows of the store were read too long ago
    RetryPause, // after a failure of each task that waits
    OrderUnanswered, // the start order has no answer yet
    OrderInDoubt, // it failed, and the task may run
    Stop, // an earlier run of the task is being stopped
    NoWorker, // no worker may take it, see workers::PlacementObstacle
    NoRoom, // those that may have no room for it
    NoLeftoverCores, // the same of a task on leftover cores, although some have the memory and accelerators
    Interference, // those with room run serving tasks whose targets it is predicted to endanger
    NotPlaced, // a worker could take it; it waits behind other work or for the limit on starts
};
inline constexpr std::size_t StandstillCauseCount = 11;

std::string_view standstillCauseName(StandstillCause cause);

// Jobs that stand still for MinReportedStandstill or longer.
struct StandingJobs
{
    std::array<std::size_t, StandstillCauseCount> byCause{};
    Duration longest{0};

    std::size_t total() const
    {
        return std::accumulate(byCause.begin(), byCause.end(), std::size_t(0));
    }
};

inline constexpr Duration StandstillReportInterval = 1s;
// The platform takes work as lost that stands for 3 s beside free capacity.
inline constexpr Duration MinReportedStandstill = 1s;

} // namespace monsoonspool::execution
