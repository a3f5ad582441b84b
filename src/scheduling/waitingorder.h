#pragma once

#include "common/time.h"

#include <compare>

namespace monsoonspool::scheduling {

// What the order of waiting work may depend on.
struct JobOutlook
{
    int priority = 0; // 0 goes first
    bool isLasting = false;
    bool hasStarted = false; // some of its tasks have run
    TimePoint acceptedAt;
    TimePoint objectiveAt; // done by then, the job is on time
    TimePoint lateAt; // done by then, it is late but still of use
    Duration remaining{0}; // expected run time of its longest open chain
    double work = 0; // expected core-seconds that are left
};

// Work of a lower band goes first; inside a band, that of the lower key.
struct Rank
{
    int band = 0;
    double key = 0;
    auto operator<=>(const Rank &) const = default;
};

// The order in which waiting steps get room.
class WaitingOrder
{
public:
    virtual ~WaitingOrder() = default;
    virtual Rank rank(const JobOutlook &job, TimePoint now) const = 0;
};

// For bursts that the workers cannot carry: what can still be on time goes first,
// urgent before less urgent, begun before fresh, then by slack. What cannot be on
// time any more yields to it; of that, the shortest goes first, so that many small
// jobs are late rather than all of them too late.
class ObjectiveFirst : public WaitingOrder
{
public:
    Rank rank(const JobOutlook &job, TimePoint now) const override;
};

// First come, first served; the plain baseline.
class ArrivalOrder : public WaitingOrder
{
public:
    Rank rank(const JobOutlook &job, TimePoint now) const override;
};

} // namespace monsoonspool::scheduling
