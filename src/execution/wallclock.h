#pragma once

#include "common/time.h"
#include "jobs/jobspec.h"

#include <deque>

namespace monsoonspool::execution {

// The wall clock of a host without its short jumps: the monotonic clock plus the difference that the
// wall clock has had from it for most of the last minute. A jump back and forth within half a minute
// has no effect; a lasting change is followed within half a minute.
//
// Not thread-safe.
class WallClock
{
public:
    // Returns the time at `now`, when the host's wall clock reads `reading`. To be called about once
    // a second at least.
    jobs::WallTime read(TimePoint now, jobs::WallTime reading);
    // Returns how far the last reading was ahead of the time that was returned for it.
    Duration jump() const
    {
        return m_jump;
    }

private:
    struct Sample
    {
        TimePoint at;
        Duration difference{0};
    };
    void add(const Sample &sample);

    std::deque<Sample> m_samples; // in ascending order of time
    Duration m_difference{0}; // median of the samples, the lower one of two
    Duration m_jump{0};
};

} // namespace monsoonspool::execution
