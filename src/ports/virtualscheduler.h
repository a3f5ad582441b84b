#pragma once

#include "ports/scheduler.h"

#include <cstdint>
#include <map>
#include <utility>

namespace monsoonspool::ports {

// Virtual time for tests and experiments: nothing sleeps, and equal inputs give
// equal runs. Functions due at one time run in the order of their scheduling.
class VirtualScheduler : public Scheduler
{
public:
    explicit VirtualScheduler(TimePoint start = TimePoint(1h));

    TimePoint now() const override;
    void runAfter(Duration delay, std::function<void()> f) override;

    // Runs all that is due up to `until`, and sets the time to it.
    void runUntil(TimePoint until);
    void runFor(Duration d);

    // Runs the next due function. Returns false if there is none.
    bool runNext();

private:
    TimePoint m_now;
    std::uint64_t m_nextOrder = 0;
    std::map<std::pair<TimePoint, std::uint64_t>, std::function<void()>> m_due;
};

} // namespace monsoonspool::ports
