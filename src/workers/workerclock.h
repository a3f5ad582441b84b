#pragma once

#include "common/time.h"
#include "ports/workerlink.h"

#include <algorithm>

namespace monsoonspool::workers {

// Bounds on the reading of a worker's own clock, derived from the readings in its answers.
// The clock may drift, and a reading was taken between sending the call and receiving the
// answer.
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

    // Returns the lower bound of the reading at `now`.
    ports::WorkerMillis earliest(TimePoint now) const
    {
        return m_lower.clock + scaled(now - m_lower.at, 1 - ports::MaxClockDrift);
    }
    // Returns the upper bound of the reading at `now`.
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
