#pragma once

#include "ports/scheduler.h"

#include <cstdint>
#include <map>
#include <utility>

namespace monsoonspool::ports {

// A scheduler in virtual time, for tests and simulations. It never sleeps, and runs are
// deterministic: functions due at the same time run in the order they were scheduled.
class VirtualScheduler : public Scheduler
{
public:
    explicit VirtualScheduler(TimePoint start = TimePoint(1h));

    TimePoint now() const override;
    void runAfter(Duration delay, std::function<void()> f) override;

    // Runs all functions due up to `until` and advances the time to it.
    void runUntil(TimePoint until);
    void runFor(Duration d);

    // Advances the time to the next scheduled function and runs it. Returns false if none is
    // scheduled.
    bool runNext();

private:
    TimePoint m_now;
    std::uint64_t m_nextSequence = 0;
    std::map<std::pair<TimePoint, std::uint64_t>, std::function<void()>> m_scheduled;
};

} // namespace monsoonspool::ports
