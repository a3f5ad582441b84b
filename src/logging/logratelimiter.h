#pragma once

#include "common/time.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace monsoonspool::logging {

// Token bucket per event that limits log lines per second and permits short bursts, so
// that the log volume does not grow with the load.
//
// Not thread-safe.
class LogRateLimiter
{
public:
    // A line costs about 10 us: ten events at this rate use 1% of a core, which is a tenth
    // of the CPU share of a host that has a tenth of a core.
    static constexpr double DefaultLinesPerSecond = 100; // per event

    // Sets the sustained rate of each event.
    void setRate(double linesPerSecond)
    {
        m_linesPerSecond = linesPerSecond;
    }

    // Returns whether a line of `event` may be written at `now`; counts it as suppressed
    // otherwise.
    bool tryAcquire(std::string_view event, TimePoint now);

    // Returns and resets the number of suppressed lines by event. Returns nothing within a
    // second of the previous report.
    std::map<std::string, std::uint64_t> takeSuppressed(TimePoint now);

private:
    struct Bucket
    {
        double tokens = 0;
        TimePoint filledAt;
        std::uint64_t suppressed = 0;
    };

    std::map<std::string, Bucket, std::less<>> m_buckets;
    TimePoint m_reportedAt;
    double m_linesPerSecond = DefaultLinesPerSecond;
};

} // namespace monsoonspool::logging
