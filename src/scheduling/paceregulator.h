#pragma once

#include "common/time.h"

namespace monsoonspool::scheduling {

// The pace allowed to tasks on the leftover cores of one worker.
struct PaceDecision
{
    int percent = 100; // of tasks with known interference
    bool appliesToAll = false; // applies also to the other tasks
};

// Feedback controller for the pace of tasks on the leftover cores of one worker. It is
// driven by the ratio of measured tail latency to target of the serving tasks there and
// covers the interference that forecasts miss: interference changes within seconds, and
// measurements are half a second old.
//
// The pace of tasks with known interference is cut as soon as a tail approaches its target and
// raised slowly while all tails are well below theirs, which avoids oscillation. Other tasks
// keep their full pace: most peaks are caused by the serving task's own load, and slowing down
// work that does not interfere lowers no tail. If a tail stays over its target, all tasks on
// leftover cores are eventually paused, with or without known interference, until the tail is
// below its target again.
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
    PaceDecision update(const TailState &tails, TimePoint now);

private:
    PaceDecision m_decision;
    TimePoint m_changedAt;
};

} // namespace monsoonspool::scheduling
