#pragma once

#include "common/time.h"

namespace monsoonspool::scheduling {

// The pace allowed to tasks on the leftover cores of one worker.
struct PaceDecision
{
    int percent = 100;
    bool appliesToAll = false; // applies also to tasks without known interference
};

// Feedback controller for the pace of tasks on the leftover cores of one worker. It is
// driven by the ratio of measured tail latency to target of the serving tasks there and
// covers the interference that forecasts miss: interference changes within seconds, and
// measurements are half a second old.
//
// The pace is cut as soon as a tail approaches its target and raised slowly while all
// tails are well below theirs, which avoids oscillation. If a tail stays over its target,
// all tasks on leftover cores are eventually paused, with or without known interference.
class PaceRegulator
{
public:
    // Tail latency of the serving tasks on a worker.
    struct TailState
    {
        double worstRatio = 0; // highest ratio of smoothed tail to target; 0 without serving tasks
        Duration longestViolation{0}; // longest time that a single task has been over its target
        bool isCauseKnown = false; // a task with known interference runs on the worker
    };
    // Without a known cause all tasks on leftover cores are slowed down, but only after a
    // tail has been over its target for a while: most such peaks are caused by the serving
    // task's own load.
    PaceDecision update(const TailState &tails, TimePoint now);

private:
    PaceDecision m_decision;
    TimePoint m_changedAt;
};

} // namespace monsoonspool::scheduling
