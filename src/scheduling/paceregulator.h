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
    // serves there. Returns the pace in percent.
    int update(double worstRatio, TimePoint now);

    int pace() const
    {
        return m_pace;
    }

private:
    int m_pace = 100;
    TimePoint m_changedAt;
};

} // namespace monsoonspool::scheduling
