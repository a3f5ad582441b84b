#pragma once

#include "common/time.h"

namespace monsoonspool::scheduling {

// How fast work on leftover processors may go on one worker.
struct PaceDecision
{
    int percent = 100;
    bool isForAll = false; // also for work that is not known to disturb anybody
};

// Finds the pace at which work on leftover processors may go on beside serving
// tasks on one worker, from how near their tails are to their targets: the answer to
// interference that forecasts miss, since it shifts within seconds and is seen only
// in measurements half a second old.
//
// Falls at once when a tail comes near its target and rises slowly while all tails
// are well below, so that it does not swing with every measurement. A tail that stays
// over its target stops everything beside it in time, known to disturb or not.
class PaceRegulator
{
public:
    // What the serving tasks on a worker say.
    struct Tails
    {
        double worstRatio = 0; // of a smoothed tail to its target; 0 if nobody serves there
        Duration longestOver{0}; // a single task has been over its target for
        bool isCauseKnown = false; // work that is known to disturb runs beside them
    };
    // Without a known cause everything slows down, but only once a tail has been over
    // its target for a while, since most such peaks come from the task's own load.
    PaceDecision update(const Tails &tails, TimePoint now);

private:
    PaceDecision m_decision;
    TimePoint m_changedAt;
};

} // namespace monsoonspool::scheduling
