#pragma once

#include "common/time.h"
#include "ports/workerlink.h"

#include <algorithm>

namespace monsoonspool::workers {

// Bounds on what a worker's own clock shows, from the answers that told it. The
// clock may drift, and an answer is as old as its call at most.
class WorkerClock
{
public:
    void note(ports::WorkerMillis clock, TimePoint sentAt, TimePoint receivedAt)
    {
        m_lower = {clock, receivedAt};
        m_upper = {clock, sentAt};
        m_isKnown = true;
    }
    bool isKnown() const
    {
        return m_isKnown;
    }

    // Returns the least that the clock can show at `now`.
    ports::WorkerMillis earliest(TimePoint now) const
    {
        return m_lower.clock + scaled(now - m_lower.at, 1 - ports::MaxClockDrift);
    }
    // Returns the most that the clock can show at `now`.
    ports::WorkerMillis latest(TimePoint now) const
    {
        return m_upper.clock + scaled(now - m_upper.at, 1 + ports::MaxClockDrift);
    }

private:
    struct Sample
    {
        ports::WorkerMillis clock = 0;
        TimePoint at;
    };
    static ports::WorkerMillis scaled(Duration d, double rate)
    {
        return static_cast<ports::WorkerMillis>(static_cast<double>(toMilliseconds(std::max(d, Duration(0)))) * rate);
    }

    Sample m_lower;
    Sample m_upper;
    bool m_isKnown = false;
};

} // namespace monsoonspool::workers
