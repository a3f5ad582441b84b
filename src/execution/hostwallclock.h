#pragma once

#include "common/decisionlog.h"
#include "execution/wallclock.h"
#include "ports/scheduler.h"

#include <functional>

namespace monsoonspool::execution {

// The WallClock of this host, read through a port. Logs when the host's clock begins and ceases to
// differ from it.
//
// Used only on the control thread.
class HostWallClock
{
public:
    HostWallClock(const ports::Scheduler &scheduler, DecisionLog &log, std::function<jobs::WallTime()> read);

    jobs::WallTime now();
    // Reads the clock. To be called about once a second at least.
    void update();
    Duration jump() const
    {
        return m_clock.jump();
    }

private:
    const ports::Scheduler &m_scheduler;
    DecisionLog &m_log;
    std::function<jobs::WallTime()> m_read;
    WallClock m_clock;
    bool m_isJumpReported = false;
};

} // namespace monsoonspool::execution
