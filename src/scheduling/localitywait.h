#pragma once

#include "common/time.h"

#include <optional>

namespace monsoonspool::scheduling {

// A task, or a gang, for which a worker is free, but not on the rack where it would run fastest.
struct LocalityQuestion
{
    Duration runTime{0}; // expected, on the rack
    bool isLasting = false; // runs until its job is cancelled; runTime and the deadlines do not apply
    TimePoint waitsSince; // when its wait began; `now` if it does not wait yet
    std::optional<Duration> expectedWait; // until there is room on the rack; nullopt if that is unknown
    Duration remainingAfter{0}; // expected run time of the job's steps behind this one
    TimePoint softDeadline; // see RankInput
    TimePoint hardDeadline;
};

struct LocalityDecision
{
    bool waits = false; // or starts on another rack now
    TimePoint until; // when the wait ends at the latest
};

// Policy that decides whether a task waits for its rack. It is asked again for each plan.
class LocalityPolicy
{
public:
    virtual ~LocalityPolicy() = default;
    virtual LocalityDecision decide(const LocalityQuestion &question, TimePoint now) const = 0;
};

// Waits if the expected wait is shorter than the run time that it saves, but
//  - never longer than that, nor than a fixed bound, so that a wrong expectation costs little,
//  - never so long that the task misses an objective of its job that it would meet if it started
//    on another rack now.
class WaitWhileItPays : public LocalityPolicy
{
public:
    // A task takes `remoteFactor` times as long on another rack.
    explicit WaitWhileItPays(double remoteFactor);

    LocalityDecision decide(const LocalityQuestion &question, TimePoint now) const override;

private:
    double m_remoteFactor;
};

// Delay scheduling: waits for a fixed time, whatever it saves or costs. Baseline for comparisons.
class FixedWait : public LocalityPolicy
{
public:
    explicit FixedWait(Duration wait);

    LocalityDecision decide(const LocalityQuestion &question, TimePoint now) const override;

private:
    Duration m_wait;
};

} // namespace monsoonspool::scheduling
