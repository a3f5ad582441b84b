#pragma once

#include "common/time.h"

#include <optional>

namespace monsoonspool::scheduling {

// Measures how long it takes to order a number of starts while fewer are permitted than are due.
//
// Not thread-safe: owned by the control thread.
class StartPace
{
public:
    // Records a plan that ordered `starts`; more were due if `isLimited`.
    void notePlan(int starts, bool isLimited, TimePoint now);
    // Returns the time that as many starts take; 0 while the permitted ones suffice.
    Duration timeFor(int starts) const;
    // Returns whether fewer were permitted than were due.
    bool isShort() const
    {
        return m_perSecond > 0;
    }

private:
    double m_perSecond = 0; // moving average, 0 if they suffice
    int m_starts = 0; // since m_since
    bool m_wasLimited = false; // since m_since
    TimePoint m_since;
    std::optional<TimePoint> m_lastPlanAt;
};

} // namespace monsoonspool::scheduling
