#pragma once

#include "common/time.h"

namespace monsoonspool::scheduling {

// Finds the pace at which work on leftover processors may go on beside serving
// tasks on one worker: for interference that differs by image and shifts within
// seconds, and is seen only in measurements half a second old.
//
// Falls at once when a tail comes near its target and rises slowly while all tails
// are well below, so that it does not swing with every measurement.
class PaceRegulator
{
public:
    // Takes in the worst ratio of a serving task's tail to its target; 0 if nobody
    // serves there. `isCauseKnown` tells whether work that is known to disturb runs
    // beside it; without, a tail must stay over its target for a while, since most
    // such peaks come from the serving task's own load. Returns the pace in percent.
    int update(double worstRatio, bool isCauseKnown, TimePoint now);

    int pace() const
    {
        return m_pace;
    }

private:
    int m_pace = 100;
    TimePoint m_changedAt;
    TimePoint m_underAt; // when no tail was over its target last
};

} // namespace monsoonspool::scheduling
