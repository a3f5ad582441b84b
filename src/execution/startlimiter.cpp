#include "execution/startlimiter.h"

#include <algorithm>
#include <cstddef>
#include <vector>

namespace monsoonspool::execution {

namespace {

constexpr int MinLimit = 8;
constexpr int MaxLimit = 2048;
constexpr int IncreaseShare = 8; // the limit grows by this part of itself for each timer in time
constexpr double DecreaseFactor = 0.7;
// A thread this late, or a link with this much queued, has more to do than it can handle. Well
// below the timeout of calls to workers, 700 ms, and far below the validity of start orders.
constexpr Duration MaxDelay = 100ms;
constexpr Duration LowDelay = 40ms;
// Only where the fastest quarter of the answers is late, the cause is not with their workers.
constexpr std::size_t MinRoundTrips = 8;
constexpr std::size_t FastestShare = 4;
// The effect of a decrease shows after about this time.
constexpr Duration DecreaseInterval = 300ms;
constexpr double Smoothing = 0.3; // weight of the newest lateness

} // namespace

void StartLimiter::update(Duration lateness, std::span<const Duration> roundTrips, TimePoint now)
{
    m_lateness += std::chrono::duration_cast<Duration>((lateness - m_lateness) * Smoothing);
    m_queueing = Duration(0);
    if (roundTrips.size() >= MinRoundTrips) {
        std::vector<Duration> sorted(roundTrips.begin(), roundTrips.end());
        const auto fastest = sorted.begin() + static_cast<std::ptrdiff_t>(sorted.size() / FastestShare);
        std::ranges::nth_element(sorted, fastest);
        m_shortestRoundTrip = std::min(m_shortestRoundTrip.value_or(*fastest), *fastest);
        m_queueing = *fastest - *m_shortestRoundTrip;
    }
    const auto delay = std::max(lateness, m_queueing);
    if (delay > MaxDelay) {
        if (now - m_decreasedAt >= DecreaseInterval) {
            m_decreasedAt = now;
            m_limit = std::max(MinLimit, static_cast<int>(m_limit * DecreaseFactor));
            m_wasReached = false;
        }
    } else if (delay < LowDelay && m_wasReached) {
        m_limit = std::min(MaxLimit, m_limit + std::max(1, m_limit / IncreaseShare));
        m_wasReached = false;
    }
}

int StartLimiter::available(int underWay)
{
    const int count = std::max(0, m_limit - underWay);
    m_wasReached = m_wasReached || count == 0;
    return count;
}

bool StartLimiter::isAtMinimum() const
{
    return m_limit == MinLimit && m_lateness > MaxDelay;
}

} // namespace monsoonspool::execution
