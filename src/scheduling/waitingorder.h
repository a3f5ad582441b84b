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
    TimePoint acceptedAt;
    TimePoint softDeadline; // soft deadline: a job that completes by then is on time
    TimePoint hardDeadline; // hard deadline: by then the result is late but still useful
    Duration remaining{0}; // expected run time of the critical path of open steps
    double work = 0; // expected remaining core-seconds
};

// Sort key of waiting work: lower bands first, then lower keys within a band.
struct Rank
{
    int band = 0;
    double key = 0;
    auto operator<=>(const Rank &) const = default;
};

// Policy for the order in which waiting steps are placed.
class WaitingOrder
{
public:
    virtual ~WaitingOrder() = default;
    virtual Rank rank(const RankInput &job, TimePoint now) const = 0;
};

// Deadline-aware order for overload. Jobs that can still meet their objective come first,
// by priority, then started before unstarted jobs, then by least slack. Jobs that cannot
// meet it follow, least remaining work first, so that many small jobs finish late
// instead of all jobs missing the time by which they are still useful.
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
