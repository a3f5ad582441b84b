#include "scheduling/paceregulator.h"

#include <algorithm>

namespace monsoonspool::scheduling {

namespace {

constexpr int FullPace = 100;
// Thresholds on the ratio of tail latency to target.
constexpr double ViolationRatio = 1.0;
constexpr double BackoffRatio = 0.9;
constexpr double RecoveryRatio = 0.75;
// Measurements cover the last 500 ms, and a pace change takes 100 ms to take effect.
constexpr Duration SettleTime = 600ms;
constexpr Duration RecoveryInterval = 1200ms;
constexpr int RecoveryStep = 25;
constexpr int MinUsefulPace = 10; // percent; a lower pace is rounded down to 0
// Tasks with known interference are paused after this time, and all of them if there are none. The
// platform allows tasks on leftover cores to keep a tail over its target for 4 s; the remainder
// covers the measurement lag and the time for the pace to take effect.
constexpr Duration PauseInterferingDelay = 1800ms;
// All tasks on leftover cores are paused after this time.
constexpr Duration PauseAllDelay = 2500ms;

} // namespace

PaceDecision PaceRegulator::update(const TailState &tails, TimePoint now)
{
    if (tails.worstRatio <= 0) {
        m_decision = {};
        return m_decision;
    }
    const auto sinceChange = now - m_changedAt;
    if (tails.longestViolation >= PauseInterferingDelay) {
        // Pauses the tasks with known interference first, and all of them if that is not enough.
        if (m_decision.percent != 0) {
            m_changedAt = now;
        }
        m_decision = {0, !tails.isCauseKnown || tails.longestViolation >= PauseAllDelay};
        return m_decision;
    }
    m_decision.appliesToAll = false;
    int next = m_decision.percent;
    if (tails.worstRatio >= BackoffRatio) {
        if (tails.isCauseKnown && sinceChange >= SettleTime) {
            next = tails.worstRatio >= ViolationRatio ? next / 4 : next * 2 / 3;
        }
    } else if (tails.worstRatio < RecoveryRatio && sinceChange >= RecoveryInterval) {
        next = std::min(FullPace, next + RecoveryStep);
    }
    if (next < MinUsefulPace) {
        next = 0;
    }
    if (next != m_decision.percent) {
        m_decision.percent = next;
        m_changedAt = now;
    }
    return m_decision;
}

} // namespace monsoonspool::scheduling
