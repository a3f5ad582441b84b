#pragma once

#include "common/time.h"

#include <cstdint>

namespace monsoonspool::routing {

// Token bucket that limits retries and hedged requests together to a fraction of the
// fresh requests, so that retries do not overload a failing pool.
//
// Not thread-safe: owned by one traffic thread.
class RetryBudget
{
public:
    explicit RetryBudget(double fraction) : m_fraction(fraction)
    {
    }

    void setFraction(double fraction)
    {
        m_fraction = fraction;
    }

    // Adds the tokens for one fresh request.
    void deposit();

    // Takes the token for one retry or hedged request. Returns false if there is none.
    bool trySpend();

    std::uint64_t spentCount() const
    {
        return m_spentCount;
    }
    std::uint64_t deniedCount() const
    {
        return m_deniedCount;
    }

private:
    double m_fraction;
    double m_tokens = 1;
    std::uint64_t m_spentCount = 0;
    std::uint64_t m_deniedCount = 0;
};

// Returns the delay before retry number `attempt`, starting at 1: exponential backoff
// with full jitter. `random` is a uniform random number in [0, 1).
Duration retryDelay(int attempt, double random);

} // namespace monsoonspool::routing
