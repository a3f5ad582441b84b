#include "execution/jobage.h"

#include <algorithm>

namespace monsoonspool::execution {

namespace {

// Bounds the age that is computed for a job when the clocks of hosts differ.
constexpr Duration MaxJobAge = 120s;
// Clocks jump by up to 4 s and differ between hosts.
constexpr Duration MaxClockDifference = 5s;

} // namespace

Duration ageAtReading(jobs::WallTime acceptedAt, jobs::WallTime wall, std::optional<Duration> unreadFor)
{
    const auto longest = std::min(unreadFor.value_or(MaxJobAge), MaxJobAge);
    if (unreadFor && longest <= MaxClockDifference) {
        return Duration(0);
    }
    return std::clamp(std::chrono::duration_cast<Duration>(wall - acceptedAt), Duration(0), longest);
}

} // namespace monsoonspool::execution
