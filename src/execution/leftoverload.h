#pragma once

#include <cstddef>
#include <cstdint>

namespace monsoonspool::execution {

// What runs on leftover cores, and the room for it, over all usable workers.
struct LeftoverLoad
{
    std::size_t pausedRuns = 0;
    std::size_t throttledRuns = 0; // between paused and full pace
    std::size_t fullPaceRuns = 0;
    std::int64_t usedMilliCores = 0; // by these runs, at their paces
    std::int64_t milliCores = 0; // that tasks with cores of their own leave, used or not
    std::int64_t freeMemoryMiB = 0;
    std::int64_t memoryMiB = 0;
    std::size_t overdueJobs = 0; // with a task whose turn has come; they cannot be on time any more

    bool isIdle() const
    {
        return pausedRuns + throttledRuns + fullPaceRuns == 0;
    }
};

} // namespace monsoonspool::execution
