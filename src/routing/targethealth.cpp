#include "routing/targethealth.h"

#include <algorithm>

namespace monsoonspool::routing {

namespace {

constexpr double FailureFactor = 0.5; // applied to the weight at each failure
constexpr double MinWeight = 0.02;
constexpr double RecoveryStep = 0.05;
constexpr Duration RecoveryInterval = 50ms;
// A target with a weight below this is unhealthy and gets probes only.
constexpr double UnhealthyThreshold = 0.1;
// Targets with a weight below this count towards panic mode.
constexpr double PanicThreshold = 0.5;
// A target with at least this slowness is reported as slow.
constexpr double SlowThreshold = 2.5;
constexpr Duration MinProbeInterval = 500ms;
constexpr Duration MaxProbeInterval = 5s;
constexpr int MaxProbeDoublings = 4;
constexpr double SlownessGain = 0.1;
constexpr double MinSlowness = 0.05;
constexpr Duration DecayInterval = 1s;
constexpr Duration DecayAfter = 3s;
constexpr double DecayFraction = 0.2;
// Limits the effect of a single request: request sizes vary far more than the speeds of
// targets.
constexpr double MaxSlownessSample = 8;

bool isFailure(AttemptResult result)
{
    return result != AttemptResult::Answered && result != AttemptResult::Abandoned;
}

} // namespace

bool isCertainlyNotRun(AttemptResult result)
{
    return result == AttemptResult::ConnectFailed;
}

bool mayStillRun(AttemptResult result)
{
    return result == AttemptResult::ConnectionLost || result == AttemptResult::Truncated
        || result == AttemptResult::TimedOut;
}

void TargetHealth::recordResult(const TargetId &target, AttemptResult result, Duration took, Duration usual,
                                TimePoint now)
{
    if (result == AttemptResult::Abandoned) {
        return;
    }
    auto &state = m_states[target];
    if (isFailure(result)) {
        ++state.failed;
        state.weight
            = result == AttemptResult::ConnectFailed ? MinWeight : std::max(MinWeight, state.weight * FailureFactor);
        state.lastRecoveryStep = now;
        state.slowness = std::max(1.0, state.slowness);
        if (state.weight < UnhealthyThreshold) {
            state.nextProbe = now
                + std::min(MaxProbeInterval, MinProbeInterval * (1 << std::min(state.failedProbes, MaxProbeDoublings)));
            ++state.failedProbes;
        }
    } else {
        ++state.answered;
        state.failedProbes = 0;
        state.weight = std::max(UnhealthyThreshold, state.weight);
        if (state.weight < 1 && now - state.lastRecoveryStep >= RecoveryInterval) {
            state.weight = std::min(1.0, state.weight + RecoveryStep);
            state.lastRecoveryStep = now;
        }
        if (usual > Duration{0}) {
            const double sample = static_cast<double>(took.count()) / static_cast<double>(usual.count());
            state.lastSample = now;
            state.slowness += SlownessGain * (std::min(MaxSlownessSample, sample) - state.slowness);
        }
    }
    updatePanicMode();
}

void TargetHealth::updatePanicMode()
{
    const auto lowWeightCount
        = std::ranges::count_if(m_states, [](const auto &entry) { return entry.second.weight < PanicThreshold; });
    m_isInPanicMode = 2 * static_cast<std::size_t>(lowWeightCount) > m_accepting.size();
}

double TargetHealth::weight(const TargetId &target) const
{
    const auto it = m_states.find(target);
    return m_isInPanicMode || it == m_states.end() ? 1 : it->second.weight;
}

bool TargetHealth::isUsable(const TargetId &target, TimePoint now) const
{
    if (!isAccepting(target)) {
        return false;
    }
    const auto it = m_states.find(target);
    return m_isInPanicMode || it == m_states.end() || it->second.weight >= UnhealthyThreshold
        || now >= it->second.nextProbe;
}

void TargetHealth::recordDispatch(const TargetId &target, TimePoint now)
{
    const auto it = m_states.find(target);
    if (it != m_states.end() && it->second.weight < UnhealthyThreshold) {
        it->second.nextProbe = now + MaxProbeInterval;
    }
}

std::vector<TargetId> TargetHealth::unhealthy() const
{
    std::vector<TargetId> targets;
    for (const auto &[target, state] : m_states) {
        if (!m_isInPanicMode && state.weight < UnhealthyThreshold) {
            targets.push_back(target);
        }
    }
    std::ranges::sort(targets);
    return targets;
}

std::vector<TargetId> TargetHealth::slow() const
{
    std::vector<TargetId> targets;
    for (const auto &[target, state] : m_states) {
        if (state.slowness >= SlowThreshold && state.weight >= UnhealthyThreshold) {
            targets.push_back(target);
        }
    }
    std::ranges::sort(targets);
    return targets;
}

double TargetHealth::slowness(const TargetId &target) const
{
    const auto it = m_states.find(target);
    const double own = it == m_states.end() ? 1 : std::max(MinSlowness, it->second.slowness);
    const bool isSuspect
        = std::ranges::any_of(m_suspects, [&](const auto &entry) { return entry.second.contains(target); });
    return isSuspect ? std::max(own, SlowThreshold) : own;
}

void TargetHealth::setSuspects(const RegionName &region, std::span<const TargetId> targets)
{
    m_suspects[region] = {targets.begin(), targets.end()};
}

void TargetHealth::decaySlowness(TimePoint now)
{
    if (now < m_nextDecay) {
        return;
    }
    m_nextDecay = now + DecayInterval;
    for (auto &[target, state] : m_states) {
        if (now - state.lastSample >= DecayAfter) {
            state.slowness += DecayFraction * (1 - state.slowness);
        }
    }
}

void TargetHealth::setAccepting(std::span<const TargetId> targets)
{
    m_accepting = {targets.begin(), targets.end()};
    std::erase_if(m_states, [&](const auto &entry) { return !m_accepting.contains(entry.first); });
    updatePanicMode();
}

std::vector<HealthSummary> TargetHealth::summary() const
{
    std::vector<HealthSummary> rows;
    for (const auto &[target, state] : m_states) {
        rows.push_back({target, state.weight, state.slowness, state.answered, state.failed});
    }
    std::ranges::sort(rows, {}, &HealthSummary::target);
    return rows;
}

} // namespace monsoonspool::routing
