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
constexpr int MinUsefulPace = 10; // below it the work stands still
// Most peaks come from the serving task's own load and are over by then.
constexpr Duration UnknownCausePatience = 1200ms;
// The platform allows a tail to be over its target for 4 s on account of work beside
// it; what remains is for the measurement and for the pace to work.
constexpr Duration OverPatience = 1800ms;
// By now even work that is not known to disturb stands still.
constexpr Duration LastPatience = 2500ms;

} // namespace

PaceDecision PaceRegulator::update(const Tails &tails, TimePoint now)
{
    if (tails.worstRatio <= 0) {
        m_decision = {};
        return m_decision;
    }
    const auto sinceChange = now - m_changedAt;
    if (tails.longestOver >= OverPatience) {
        // What is known to disturb stands still first; if that was not enough, all does.
        if (m_decision.percent != 0) {
            m_changedAt = now;
        }
        m_decision = {0, !tails.isCauseKnown || tails.longestOver >= LastPatience};
        return m_decision;
    }
    m_decision.isForAll = !tails.isCauseKnown;
    const bool mayFall = tails.isCauseKnown || tails.longestOver >= UnknownCausePatience;
    int next = m_decision.percent;
    if (tails.worstRatio >= NearRatio) {
        if (mayFall && sinceChange >= SettleTime) {
            next = tails.worstRatio >= ViolatedRatio ? next / 4 : next * 2 / 3;
        }
    } else if (tails.worstRatio < CalmRatio && sinceChange >= RiseInterval) {
        next = std::min(FullPace, next + RiseStep);
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
