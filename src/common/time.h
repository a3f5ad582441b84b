#pragma once

#include <chrono>
#include <ctime>

// Monotonic time. Decision code takes the current time as an argument and never reads a
// clock, so that it behaves identically in real and in virtual time.
namespace monsoonspool {

using Duration = std::chrono::microseconds;
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

using std::chrono_literals::operator""h;
using std::chrono_literals::operator""min;
using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;
using std::chrono_literals::operator""us;

// Returns the monotonic time of this machine. Only the main loops of threads call this;
// other code takes the time as an argument.
inline TimePoint monotonicNow()
{
    return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

// Returns the monotonic time of this machine, including the time that it was suspended.
// Used for leases and other promises to other machines, which expire meanwhile.
inline TimePoint suspendAwareNow()
{
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return TimePoint(
        std::chrono::duration_cast<Duration>(std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec)));
}

// Returns the processor time that the calling thread has used.
inline Duration threadProcessorTime()
{
    timespec used{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used);
    return std::chrono::duration_cast<Duration>(std::chrono::seconds(used.tv_sec)
                                                + std::chrono::nanoseconds(used.tv_nsec));
}

// Returns `d` in milliseconds, rounded toward zero.
inline long long toMilliseconds(Duration d)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(d).count();
}

} // namespace monsoonspool
