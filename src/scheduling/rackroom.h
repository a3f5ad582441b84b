#pragma once

#include "common/resources.h"
#include "common/time.h"

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace monsoonspool::scheduling {

// Estimates when a rack, or the workers of one service there, has room for a task: from what ends
// of runs there gave back lately, and from the tasks that wait for the rack ahead of it. Work on
// leftover cores is estimated apart.
//
// Not thread-safe: owned by the control thread.
class RackRoom
{
public:
    // Forgets everything; ends are observed from `now` on.
    void reset(TimePoint now);
    // Records that the end of a run has freed `resources` on the rack.
    void noteFreed(std::string_view rack, const Resources &resources, bool usesLeftover, TimePoint now);
    // Sets what all workers of the rack provide. Without it, none of the rack's room is expected twice.
    void setCapacity(std::string_view rack, const Resources &capacity);
    // Forgets the racks for which `isKnown` returns false.
    void retain(const std::function<bool(std::string_view)> &isKnown);

    // Begins a plan, which looks at the waiting tasks in the order in which they get room.
    void beginQueue();
    // Adds tasks of the plan that wait for the rack.
    void enqueue(std::string_view rack, const Resources &needs, bool usesLeftover);
    // Returns the expected time until the tasks added so far and one more with `needs` have got room.
    // Returns nullopt if the rack has given back nothing of the kind. If that is more than the whole
    // rack, the rest waits for the first of these tasks, which take about `runTime`.
    std::optional<Duration> expectedWait(std::string_view rack, const Resources &needs, bool usesLeftover,
                                         Duration runTime, TimePoint now) const;

private:
    struct Freed
    {
        std::array<double, 3> weighted{}; // cores, memory, accelerators; decays since updatedAt
        TimePoint updatedAt;
        Resources queued;
        std::uint64_t queuedInPlan = 0; // `queued` is of this plan
    };
    struct Rack
    {
        std::array<Freed, 2> freed; // cores of their own, leftover cores
        Resources capacity;
    };

    Rack &rackOf(std::string_view rack);

    std::map<std::string, Rack, std::less<>> m_racks;
    TimePoint m_observedSince;
    std::uint64_t m_plan = 0;
};

} // namespace monsoonspool::scheduling
