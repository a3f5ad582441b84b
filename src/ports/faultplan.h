#pragma once

#include "common/time.h"

#include <cstdint>
#include <string_view>

namespace monsoonspool::ports {

// What befalls one call of a fake.
struct Fault
{
    Duration delay{0}; // before the effect and the reply
    bool isRefused = false; // fails before any effect
    bool isReplyLost = false; // fails after the effect
};

// Decides what befalls each call of a fake.
class FaultPlan
{
public:
    virtual ~FaultPlan() = default;

    // Returns the fault for the call `name`, the `n`th call of the fake.
    virtual Fault next(std::string_view name, std::uint64_t n, TimePoint now) = 0;
};

// Lets every call succeed after a fixed delay.
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
