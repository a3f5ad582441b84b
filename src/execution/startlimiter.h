#pragma once

#include "common/time.h"

#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace monsoonspool::execution {

// What keeps the limit from growing.
enum class StartConstraint {
    None, // it grows
    NotReached, // fewer orders were due than it permits
    Lateness, // of the control thread
    RoundTrips, // of the orders
};

std::string_view startConstraintName(StartConstraint constraint);

// Limits the start orders without an answer, so that a leader whose processor or link is the
// bottleneck keeps up with the work that it has begun: its queue stays with the jobs, and not in
// sockets, where it would delay renewals as well.
// Load pattern: more starts are due than the leader can order, for seconds on end.
//
// Increases slowly and decreases at once, as congestion control by delay does (TCP Vegas, Brakmo and
// Peterson, 1994): by how late the timers of the control thread are, since every event that became
// ready before a timer is handled before it, and by how much longer than usual the workers take
// to answer.
//
// Not thread-safe: owned by the control thread.
class StartLimiter
{
public:
    // Adapts the limit. A timer ran `lateness` after it was due; `roundTrips` are those of the start
    // orders answered since the last call.
    void update(Duration lateness, std::span<const Duration> roundTrips, TimePoint now);
    // Returns how many orders may be sent while `underWay` have no answer.
    int available(int underWay);
    // Records that more orders were due than available() permitted. Many of them may be answered before
    // it is called again, so that it doesn't show there.
    void noteReached();
    int limit() const
    {
        return m_limit;
    }
    // Returns the moving average of the lateness.
    Duration lateness() const
    {
        return m_lateness;
    }
    // Returns by how much longer than usual the start orders took that were answered last; 0 if few were.
    Duration queueing() const
    {
        return m_queueing;
    }
    // Returns what kept the limit from growing at the last update.
    StartConstraint constraint() const
    {
        return m_constraint;
    }
    // Returns whether no lower limit is possible although the thread runs late.
    bool isAtMinimum() const;

private:
    void noteRoundTrips(std::span<const Duration> roundTrips);

    static constexpr int InitialLimit = 256;

    int m_limit = InitialLimit;
    bool m_wasReached = false; // since the last change of the limit
    StartConstraint m_constraint = StartConstraint::NotReached;
    Duration m_lateness{0};
    Duration m_queueing{0};
    std::vector<Duration> m_roundTrips; // since the last measurement
    std::optional<Duration> m_roundTrip; // of the fastest answers, moving average
    std::optional<Duration> m_usualRoundTrip; // the same without a queue
    int m_slowMeasurements = 0; // of a queue although few orders were under way, one after the other
    TimePoint m_decreasedAt;
};

} // namespace monsoonspool::execution
