#pragma once

#include <chrono>
#include <ctime>

// Time as the decisions see it: a monotonic point handed in by the caller.
// No decision reads a clock, so that each runs alike in real and in virtual
// time.
namespace monsoonspool {

using Duration = std::chrono::microseconds;
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

using std::chrono_literals::operator""h;
using std::chrono_literals::operator""min;
using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;
using std::chrono_literals::operator""us;

// Returns the monotonic time of this machine. Only threads' outermost loops
// call this; all else takes the time as an argument.
inline TimePoint monotonicNow()
{
    return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

// Returns the monotonic time of this machine, which goes on while the machine is
// suspended. For what other machines hold true until a time, such as leases.
inline TimePoint suspendAwareNow()
{
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return TimePoint(
        std::chrono::duration_cast<Duration>(std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec)));
}

// Returns `d` in whole milliseconds, rounded down.
inline long long toMilliseconds(Duration d)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(d).count();
}

} // namespace monsoonspool
