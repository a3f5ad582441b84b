#pragma once

#include "common/time.h"

#include <compare>

namespace monsoonspool::scheduling {

// Properties of a job that determine its place in the queue.
struct RankInput
{
    int priority = 0; // 0 is the highest
    bool isLasting = false;
    bool hasStarted = false; // some task has run
    bool wasStartedOverdue = false; // the first one did when the job could not be on time any more
    bool areStartsShort = false; // fewer start orders may be sent than are due
    TimePoint acceptedAt;
    TimePoint softDeadline; // soft deadline: a job that completes by then is on time
    TimePoint hardDeadline; // hard deadline: by then the result is late but still useful
    Duration allowedWait{0}; // by how much the soft deadline is later than the job could have been done
    Duration remaining{0}; // expected run time of the critical path of open steps
};

// Sort key of waiting work: lower bands first, then lower keys within a band.
struct Rank
{
    int band = 0;
    double key = 0;
    TimePoint acceptedAt; // older jobs first where all else is equal
    bool isOverdue = false; // waits behind all that can be on time, see OverdueShare
    auto operator<=>(const Rank &) const = default;
};

// Policy for the order in which waiting steps are placed.
class WaitingOrder
{
public:
    virtual ~WaitingOrder() = default;
    virtual Rank rank(const RankInput &job, TimePoint now) const = 0;
};

// Deadline-aware order for overload. Jobs that can be on time come first, by priority, and among those of
// one priority
//  - jobs that have begun, by least slack; while start orders are short, also those that were begun in time
//    and became late, as long as the result is of use: what was spent on them would be lost, and large jobs
//    are those that become late,
//  - jobs that have a reserve of their allowed wait left, by least time until they use it: while there is more
//    work than can be on time, those that are begun should be on time with certainty, and a job begun at
//    the last moment is late as often as not,
//  - the others, by least slack,
//  - lasting jobs.
// Late jobs whose result is still of use follow, those that have begun first, and then the others, the oldest
// first. The place of a job doesn't depend on its size, so that a shortage falls on all sizes alike.
//
// Lasting jobs come after the other ones of their priority that can be on time. Where lasting
// tasks ask for all cores, each would otherwise take the place of dozens of short tasks, which
// give it back within a second. A burst of short work holds them up only as long as it can be on
// time itself.
class DeadlineAwareOrder : public WaitingOrder
{
public:
    Rank rank(const RankInput &job, TimePoint now) const override;
};

// First come, first served. Baseline for comparisons.
class FirstComeFirstServedOrder : public WaitingOrder
{
public:
    Rank rank(const RankInput &job, TimePoint now) const override;
};

} // namespace monsoonspool::scheduling
