#pragma once

#include <array>
#include <cstddef>
#include <ctime>
#include <vector>

namespace monsoonspool::bench {

// What a leader's thread spends processor time on.
enum class LeaderPart {
    Receiving, // everything else: reads, HTTP and JSON parsing, the event loop
    Timers, // plans, and the preparation of writes
    Events, // the application of listings and replies to the fleet
    Orders, // encoding and sending of calls to workers
    Logging,
    Store, // the in-memory store, which is not part of a real leader
    Count,
};

// Adds up the processor time of one thread by part. Parts nest: the time of an inner part
// is not counted for the outer one.
//
// Not thread-safe.
class PartClock
{
public:
    using Times = std::array<double, static_cast<std::size_t>(LeaderPart::Count)>; // in microseconds

    void enter(LeaderPart part)
    {
        charge();
        m_parts.push_back(part);
    }
    void leave()
    {
        charge();
        m_parts.pop_back();
    }
    // Returns the times of all parts until now, and starts from zero.
    Times take()
    {
        charge();
        const auto times = m_times;
        m_times = {};
        return times;
    }

private:
    void charge()
    {
        timespec time{};
        clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
        const double now = static_cast<double>(time.tv_sec) * 1e6 + static_cast<double>(time.tv_nsec) * 1e-3;
        m_times[static_cast<std::size_t>(m_parts.empty() ? LeaderPart::Receiving : m_parts.back())] += now - m_last;
        m_last = now;
    }

    std::vector<LeaderPart> m_parts;
    Times m_times{};
    double m_last = 0;
};

// Counts the time of a scope for a part.
class PartScope
{
public:
    PartScope(PartClock &clock, LeaderPart part) : m_clock(clock)
    {
        m_clock.enter(part);
    }
    ~PartScope()
    {
        m_clock.leave();
    }
    PartScope(const PartScope &) = delete;
    PartScope &operator=(const PartScope &) = delete;

private:
    PartClock &m_clock;
};

} // namespace monsoonspool::bench
