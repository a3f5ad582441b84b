#include "scheduling/paceregulator.h"

#include <algorithm>

namespace monsoonspool::scheduling {

namespace {

constexpr int FullPace = 100;
// Ratios of tail to target.
constexpr double ViolatedRatio = 1.0;
constexpr double NearRatio = 0.9;
constexpr double CalmRatio = 0.75;
// Measurements cover the last half second, and pacing takes 100 ms to work.
constexpr Duration SettleTime = 600ms;
constexpr Duration RiseInterval = 1200ms;
constexpr int RiseStep = 25;
constexpr Duration UnknownCausePatience = 1200ms;
constexpr int MinUsefulPace = 10; // below it the work stands still

} // namespace

int PaceRegulator::update(double worstRatio, bool isCauseKnown, TimePoint now)
{
    if (worstRatio <= 0) {
        m_pace = FullPace;
        return m_pace;
    }
    if (worstRatio < ViolatedRatio) {
        m_underAt = now;
    }
    const auto sinceChange = now - m_changedAt;
    const bool mayFall = isCauseKnown || now - m_underAt >= UnknownCausePatience;
    int next = m_pace;
    if (!mayFall && worstRatio >= NearRatio) {
        return m_pace;
    }
    if (worstRatio >= ViolatedRatio && sinceChange >= SettleTime) {
        next = m_pace / 4;
    } else if (worstRatio >= NearRatio && sinceChange >= SettleTime) {
        next = m_pace * 2 / 3;
    } else if (worstRatio < CalmRatio && sinceChange >= RiseInterval) {
        next = std::min(FullPace, m_pace + RiseStep);
    }
    if (next < MinUsefulPace) {
        next = 0;
    }
    if (next != m_pace) {
        m_pace = next;
        m_changedAt = now;
    }
    return m_pace;
}

} // namespace monsoonspool::scheduling
