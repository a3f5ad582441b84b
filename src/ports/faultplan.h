#pragma once

#include "common/time.h"

#include <cstdint>
#include <string_view>

namespace monsoonspool::ports {

// A fault injected into one call of a test double.
struct Fault
{
    Duration delay{0}; // before the effect
    bool isRefused = false; // the call fails without an effect
    bool isReplyLost = false; // the call takes effect, but its reply is lost
    Duration replyDelay{0}; // between the effect and the reply
    bool isConnectionEnded = false; // the call fails at once; it takes effect if its reply is lost
};

// Chooses the fault for each call of a test double.
class FaultPlan
{
public:
    virtual ~FaultPlan() = default;

    // Returns the fault for the call `name`; `n` counts all calls of the test double.
    virtual Fault next(std::string_view name, std::uint64_t n, TimePoint now) = 0;
};

// No faults: every call succeeds after a fixed delay.
class NoFaults : public FaultPlan
{
public:
    explicit NoFaults(Duration delay = 1ms) : m_delay(delay)
    {
    }
    Fault next(std::string_view, std::uint64_t, TimePoint) override
    {
        return {m_delay, false, false};
    }

private:
    Duration m_delay;
};

} // namespace monsoonspool::ports
