#pragma once

#include "common/identifiers.h"
#include "common/time.h"

#include <cstdint>
#include <span>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace monsoonspool::routing {

// The outcome of one attempt to execute a request at a target.
enum class AttemptResult {
    Answered, // a complete response arrived
    ServerError, // a complete response with a server error status arrived
    ConnectFailed, // nothing was sent; the request did not run
    ConnectionLost, // the connection was lost after at least one byte was sent
    Truncated, // the response was incomplete
    TimedOut, // no complete response within the time limit
    Abandoned, // the guest disconnected; no evidence about the target
};

// Returns whether the request certainly was not executed by the target.
bool isCertainlyNotRun(AttemptResult result);

// Returns whether the target may still be executing the request after the attempt.
bool mayStillRun(AttemptResult result);

// Health statistics of one target for the state dump.
struct HealthSummary
{
    TargetId target;
    double weight = 1; // fraction of its fair load that the target gets, 0 to 1
    double slowness = 1; // service time relative to the mean of all targets
    std::uint64_t answered = 0;
    std::uint64_t failed = 0;
};

// Passive health checks of the targets of a pool, from the outcomes of the requests
// that this thread sends to them.
//
// Weight: each failure halves the weight of a target, down to a minimum. A failed
// connection sets it to the minimum at once, because no server is listening. Below
// UnhealthyThreshold the target is unhealthy: it gets single probes at increasing
// intervals and no other requests, which wait for a healthy target instead. The first
// success ends probing. Each success restores a fixed amount of weight, limited to one
// step per RecoveryInterval. A failing target thus loses its load at once and regains
// it slowly.
//
// Panic mode: when the weights of more than half of the accepting targets are below
// PanicThreshold, the weights are ignored, because the fault is then probably not in
// the targets.
//
// Slowness: the service time of each request is compared with the mean of its flow, so
// that a target that received long requests is not considered slow. A failure never
// lowers the slowness, so that a target that fails fast does not look fast.
//
// Not thread-safe: owned by one traffic thread.
class TargetHealth
{
public:
    // Records the outcome of an attempt. `took` is its duration and `usual` the mean
    // duration of such requests at all targets, 0 if unknown.
    void recordResult(const TargetId &target, AttemptResult result, Duration took, Duration usual, TimePoint now);

    // Returns the load-balancing weight of `target`, 1 in panic mode.
    double weight(const TargetId &target) const;

    // Returns whether a request may be sent to `target` now: it accepts requests, and
    // it is healthy, or due for a probe, or panic mode is on.
    bool isUsable(const TargetId &target, TimePoint now) const;

    // Sets the targets of a region that other holders report as unhealthy or slow. Their
    // slowness is at least SlowThreshold until the next call.
    void setSuspects(const RegionName &region, std::span<const TargetId> targets);

    // Decays the slowness of targets without recent samples towards 1, so that they get
    // requests again.
    void decaySlowness(TimePoint now);

    // Records that a request is sent to `target`. For an unhealthy target this is a
    // probe; the next one is not due until it has succeeded or failed, or until
    // MaxProbeInterval has passed.
    void recordDispatch(const TargetId &target, TimePoint now);

    // Returns the unhealthy targets, which get probes only. Empty in panic mode.
    std::vector<TargetId> unhealthy() const;

    // Returns the healthy targets that are much slower than the others.
    std::vector<TargetId> slow() const;

    // Returns the relative slowness of `target`: 1 is average, 2 is twice as slow.
    double slowness(const TargetId &target) const;

    // Sets the targets that accept new requests, and discards the state of all others.
    void setAccepting(std::span<const TargetId> targets);

    // Returns whether `target` accepts new requests.
    bool isAccepting(const TargetId &target) const
    {
        return m_accepting.contains(target);
    }

    // Returns whether the weights are ignored because too many targets look unhealthy.
    bool isInPanicMode() const
    {
        return m_isInPanicMode;
    }
    std::vector<HealthSummary> summary() const;

private:
    struct State
    {
        double weight = 1;
        double slowness = 1;
        TimePoint lastRecoveryStep; // last recovery step or failure
        TimePoint nextProbe; // valid while the weight is below the threshold
        int failedProbes = 0;
        TimePoint lastSample; // of the slowness
        std::uint64_t answered = 0;
        std::uint64_t failed = 0;
    };

    void updatePanicMode();

    std::unordered_map<TargetId, State> m_states;
    std::unordered_set<TargetId> m_accepting;
    std::unordered_map<RegionName, std::unordered_set<TargetId>> m_suspects;
    TimePoint m_nextDecay;
    bool m_isInPanicMode = false;
};

} // namespace monsoonspool::routing
