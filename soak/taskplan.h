#pragma once

#include "common/time.h"
#include "jobs/taskid.h"

#include <cstdint>
#include <unordered_map>

namespace monsoonspool::soak {

// The attempts that the queue of a soak permits. No task fails as often.
inline constexpr int MaxAttempts = 6;

// How long tasks run and how often they fail before they succeed. Equal seeds give equal plans.
// Shared by all workers; not thread-safe.
class TaskPlan
{
public:
    explicit TaskPlan(std::uint64_t seed) : m_seed(seed)
    {
    }

    // Between 50 ms and 2 s.
    Duration runTime(const jobs::TaskId &task) const;

    // Returns whether the present run of `task` fails, and counts the failure.
    bool takeFailure(const jobs::TaskId &task);

private:
    std::uint64_t draw(const jobs::TaskId &task, std::uint64_t stream) const;

    std::uint64_t m_seed;
    std::unordered_map<jobs::TaskId, int> m_failures;
};

} // namespace monsoonspool::soak
