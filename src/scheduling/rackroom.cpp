#include "scheduling/rackroom.h"

#include <algorithm>
#include <cmath>
#include <cstddef>

namespace monsoonspool::scheduling {

namespace {

// Averaging time of the rate at which ends free resources: several ends of runs of a second, but
// short enough that a rack which stops giving room is noticed.
constexpr Duration AveragingTime = 5s;
// The rate is not estimated over a shorter time than this, so that one end after a takeover does
// not count as many.
constexpr Duration MinObservedTime = 2s;
// Longer waits, in averaging times, are taken as unknown.
constexpr double MaxAveragingTimes = 100;
constexpr std::array Members = {&Resources::milliCores, &Resources::memoryMiB, &Resources::accelerators};

double inAveragingTimes(Duration d)
{
    return static_cast<double>(d.count()) / static_cast<double>(AveragingTime.count());
}

std::size_t kindOf(bool usesLeftover)
{
    return usesLeftover ? 1 : 0;
}

} // namespace

void RackRoom::reset(TimePoint now)
{
    m_racks.clear();
    m_observedSince = now;
}

RackRoom::Rack &RackRoom::rackOf(std::string_view rack)
{
    const auto it = m_racks.find(rack);
    return it == m_racks.end() ? m_racks[std::string(rack)] : it->second;
}

void RackRoom::setCapacity(std::string_view rack, const Resources &capacity)
{
    rackOf(rack).capacity = capacity;
}

void RackRoom::noteFreed(std::string_view rack, const Resources &resources, bool usesLeftover, TimePoint now)
{
    auto &freed = rackOf(rack).freed[kindOf(usesLeftover)];
    const double kept = std::exp(-inAveragingTimes(now - freed.updatedAt));
    for (std::size_t n = 0; n < Members.size(); ++n) {
        freed.weighted[n] = freed.weighted[n] * kept + static_cast<double>(resources.*Members[n]);
    }
    freed.updatedAt = now;
}

void RackRoom::retain(const std::function<bool(std::string_view)> &isKnown)
{
    std::erase_if(m_racks, [&](const auto &it) { return !isKnown(it.first); });
}

void RackRoom::beginQueue()
{
    ++m_plan;
}

void RackRoom::enqueue(std::string_view rack, const Resources &needs, bool usesLeftover)
{
    const auto it = m_racks.find(rack);
    if (it == m_racks.end()) {
        return; // nothing waits for a rack that has freed nothing yet
    }
    auto &freed = it->second.freed[kindOf(usesLeftover)];
    if (freed.queuedInPlan != m_plan) {
        freed.queuedInPlan = m_plan;
        freed.queued = {};
    }
    freed.queued += needs;
}

std::optional<Duration> RackRoom::expectedWait(std::string_view rack, const Resources &needs, bool usesLeftover,
                                               Duration runTime, TimePoint now) const
{
    const auto it = m_racks.find(rack);
    if (it == m_racks.end()) {
        return std::nullopt;
    }
    const auto &freed = it->second.freed[kindOf(usesLeftover)];
    const auto queued = freed.queuedInPlan == m_plan ? freed.queued : Resources();
    const double kept = std::exp(-inAveragingTimes(now - freed.updatedAt));
    const double observed = 1 - std::exp(-inAveragingTimes(std::max(now - m_observedSince, MinObservedTime)));
    double longest = 0; // in averaging times
    for (std::size_t n = 0; n < Members.size(); ++n) {
        const auto member = Members[n];
        if (needs.*member <= 0) {
            continue;
        }
        const double rate = freed.weighted[n] * kept / observed; // per averaging time
        const auto awaited = static_cast<double>(queued.*member + needs.*member);
        if (awaited >= rate * MaxAveragingTimes) {
            return std::nullopt;
        }
        const double onceOver = std::min(awaited, static_cast<double>(it->second.capacity.*member));
        double wait = onceOver / rate;
        if (awaited > onceOver) {
            if (onceOver <= 0) {
                return std::nullopt;
            }
            wait += (awaited - onceOver) / onceOver * inAveragingTimes(runTime);
        }
        if (wait >= MaxAveragingTimes) {
            return std::nullopt;
        }
        longest = std::max(longest, wait);
    }
    return Duration(static_cast<Duration::rep>(longest * static_cast<double>(AveragingTime.count())));
}

} // namespace monsoonspool::scheduling
