#include "routing/retrybudget.h"

#include <algorithm>

namespace monsoonspool::routing {

namespace {

// Capacity of the token bucket, in retries.
constexpr double MaxTokens = 20;
constexpr Duration BaseDelay = 5ms;
constexpr Duration MaxDelay = 250ms;
constexpr int MaxBackoffDoublings = 6;

} // namespace

void RetryBudget::deposit()
{
    m_tokens = std::min(MaxTokens, m_tokens + m_fraction);
}

bool RetryBudget::trySpend()
{
    if (m_tokens < 1) {
        ++m_deniedCount;
        return false;
    }
    m_tokens -= 1;
    ++m_spentCount;
    return true;
}

Duration retryDelay(int attempt, double random)
{
    const Duration ceiling = std::min(MaxDelay, BaseDelay * (1 << std::clamp(attempt, 0, MaxBackoffDoublings)));
    return std::chrono::duration_cast<Duration>(ceiling * random);
}

} // namespace monsoonspool::routing
