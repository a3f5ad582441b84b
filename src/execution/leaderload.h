#pragma once

#include "common/decisionlog.h"
#include "common/time.h"
#include "execution/fleet.h"
#include "execution/startlimiter.h"

namespace monsoonspool::execution {

// How busy a leader is.
struct LeaderLoad
{
    Duration lateness{0}; // of the control thread's timers, moving average
    Duration queueing{0}; // see StartLimiter
    int startLimit = 0; // see StartLimiter
    StartConstraint startConstraint = StartConstraint::NotReached;
    int startsUnderWay = 0; // start orders without an answer
    Duration longestPlan{0}; // in the last report's interval
    double planShare = 0; // of the control thread's processor time, in the same interval
};

// Adds up what a leader spends on plans and what its limit on starts does, and logs it at intervals: a
// shortage of start orders then shows with its cause and its end.
//
// Not thread-safe: owned by the control thread.
class LeaderLoadReport
{
public:
    LeaderLoadReport(DecisionLog &log, TimePoint now, Duration processorTime);

    // Records a plan that took `elapsed`, and `used` of the thread's processor time.
    void notePlan(Duration elapsed, Duration used);
    // Records the limiter after an update for a timer that ran `lateness` after it was due.
    void noteLimit(const StartLimiter &limiter, Duration lateness);
    // Logs the load if a report is due. `processorTime` is what the thread has used in all.
    void reportIfDue(const FleetCounts &counts, int startsUnderWay, TimePoint now, Duration processorTime);

    Duration longestPlan() const;
    double planShare() const;

private:
    struct Interval
    {
        TimePoint beganAt;
        Duration processorTime{0}; // at its begin
        std::uint64_t starts = 0; // at its begin
        int plans = 0;
        Duration longestPlan{0};
        Duration planTime{0}; // of the processor
        Duration longestLateness{0};
        Duration longestQueueing{0};
        int lowestLimit = 0;
        int limit = 0;
        StartConstraint constraint = StartConstraint::NotReached;
    };

    void begin(std::uint64_t starts, TimePoint now, Duration processorTime);

    DecisionLog &m_log;
    Interval m_interval;
    Duration m_longestPlan{0};
    double m_planShare = 0;
};

} // namespace monsoonspool::execution
