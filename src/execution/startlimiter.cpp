#include "execution/startlimiter.h"

#include <algorithm>
#include <cstddef>
#include <vector>

namespace monsoonspool::execution {

namespace {

constexpr int MinLimit = 8;
constexpr int LowLimit = 16; // so few orders do not fill a link
constexpr int MaxLimit = 2048;
constexpr int IncreaseShare = 8; // the limit grows by this part of itself for each timer in time
constexpr double DecreaseFactor = 0.7;
// A thread this late, or a link with this much queued, has more to do than it can handle. Well
// below the timeout of calls to workers, 700 ms, and far below the validity of start orders.
constexpr Duration MaxDelay = 100ms;
constexpr Duration LowDelay = 50ms;
// Only where the fastest quarter of the answers is late, the cause is not with their workers.
constexpr std::size_t MinRoundTrips = 16;
constexpr std::size_t FastestShare = 4;
// The effect of a decrease shows after about this time.
constexpr Duration DecreaseInterval = 300ms;
// Measurements of a long round trip below LowLimit, one after the other, after which it is the usual
// one: the network has become slower.
constexpr int MaxSlowMeasurements = 3;
constexpr double Smoothing = 0.3; // weight of the newest measurement

Duration smoothed(Duration average, Duration newest)
{
    return average + std::chrono::duration_cast<Duration>((newest - average) * Smoothing);
}

} // namespace

std::string_view startConstraintName(StartConstraint constraint)
{
    switch (constraint) {
    case StartConstraint::None:
        return "none";
    case StartConstraint::NotReached:
        return "not-reached";
    case StartConstraint::Lateness:
        return "lateness";
    case StartConstraint::RoundTrips:
        return "round-trips";
    }
    return {};
}

void StartLimiter::noteRoundTrips(std::span<const Duration> roundTrips)
{
    m_queueing = Duration(0);
    m_roundTrips.insert(m_roundTrips.end(), roundTrips.begin(), roundTrips.end());
    if (m_roundTrips.size() < MinRoundTrips) {
        return;
    }
    const auto fastest = m_roundTrips.begin() + static_cast<std::ptrdiff_t>(m_roundTrips.size() / FastestShare);
    std::ranges::nth_element(m_roundTrips, fastest);
    m_roundTrip = m_roundTrip ? smoothed(*m_roundTrip, *fastest) : *fastest;
    m_roundTrips.clear();
    m_usualRoundTrip = std::min(m_usualRoundTrip.value_or(*m_roundTrip), *m_roundTrip);
    m_queueing = *m_roundTrip - *m_usualRoundTrip;
    m_slowMeasurements = m_limit < LowLimit && m_queueing > MaxDelay ? m_slowMeasurements + 1 : 0;
    if (m_slowMeasurements >= MaxSlowMeasurements) {
        m_usualRoundTrip = *m_roundTrip;
        m_queueing = Duration(0);
        m_slowMeasurements = 0;
    }
}

void StartLimiter::update(Duration lateness, std::span<const Duration> roundTrips, TimePoint now)
{
    m_lateness = smoothed(m_lateness, lateness);
    noteRoundTrips(roundTrips);
    const auto delay = std::max(lateness, m_queueing);
    if (delay >= LowDelay) {
        m_constraint = lateness >= m_queueing ? StartConstraint::Lateness : StartConstraint::RoundTrips;
    } else {
        m_constraint = m_wasReached ? StartConstraint::None : StartConstraint::NotReached;
    }
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

void StartLimiter::noteReached()
{
    m_wasReached = true;
}

bool StartLimiter::isAtMinimum() const
{
    return m_limit == MinLimit && m_lateness > MaxDelay;
}

} // namespace monsoonspool::execution
