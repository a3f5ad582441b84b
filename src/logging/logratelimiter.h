#pragma once

#include "common/time.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace monsoonspool::logging {

// Bounds the lines of each event, so that load does not turn into log volume: so many
// a second, with room for a burst.
//
// Not thread-safe.
class LineBudget
{
public:
    // A line costs some 10 us; at this rate ten events together cost a host with a
    // tenth of a core about a tenth of it.
    static constexpr double DefaultLinesPerSecond = 100; // of each event

    // Sets how many lines of each event may be written in a second.
    void setRate(double linesPerSecond)
    {
        m_linesPerSecond = linesPerSecond;
    }

    // Returns whether a line of `event` may be written now.
    bool take(std::string_view event, TimePoint now);

    // Returns the lines left out since the last call, by event, once a second at most.
    std::map<std::string, std::uint64_t> takeLeftOut(TimePoint now);

private:
    struct Bucket
    {
        double tokens = 0;
        TimePoint filledAt;
        std::uint64_t leftOut = 0;
    };

    std::map<std::string, Bucket, std::less<>> m_buckets;
    TimePoint m_toldAt;
    double m_linesPerSecond = DefaultLinesPerSecond;
};

} // namespace monsoonspool::logging
