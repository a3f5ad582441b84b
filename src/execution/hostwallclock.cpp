#include "execution/hostwallclock.h"

#include <utility>

namespace monsoonspool::execution {

namespace {

// A smaller difference is not logged.
constexpr Duration MinReportedJump = 500ms;

} // namespace

HostWallClock::HostWallClock(const ports::Scheduler &scheduler, DecisionLog &log, std::function<jobs::WallTime()> read)
    : m_scheduler(scheduler), m_log(log), m_read(std::move(read))
{
}

jobs::WallTime HostWallClock::now()
{
    return m_clock.read(m_scheduler.now(), m_read());
}

void HostWallClock::update()
{
    now();
    const bool hasJumped = jump() > MinReportedJump || jump() < -MinReportedJump;
    if (hasJumped != m_isJumpReported) {
        m_isJumpReported = hasJumped;
        m_log.record(hasJumped ? "clock-jumped" : "clock-agrees", {{"aheadMs", toMilliseconds(jump())}});
    }
}

} // namespace monsoonspool::execution
