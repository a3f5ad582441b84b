#pragma once

#include "common/time.h"

#include <functional>

namespace monsoonspool::ports {

// A clock and timers. Functions run on the thread that scheduled them.
class Scheduler
{
public:
    virtual ~Scheduler() = default;
    virtual TimePoint now() const = 0;
    virtual void runAfter(Duration delay, std::function<void()> f) = 0;
};

} // namespace monsoonspool::ports
