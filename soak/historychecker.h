#pragma once

#include "soak/history.h"

#include <array>
#include <optional>
#include <span>

namespace monsoonspool::soak {

enum class Promise {
    NeverLost, // an accepted job ends as completed, and only when all its tasks are done
    DoneOnce, // no run of a task starts, and none ends as done, after a run of it has ended as done
    OnePlace, // at most one run of a task is active
    RejectedNeverRuns, // no task of a rejected job starts
    WithinCapacity, // the active runs of a worker need no more than its capacity
    NoStandstill, // see HistoryRules::standstillBound
    HostsStayUp, // no process of a host ends without a signal, and each that is asked to stop ends in order
};
inline constexpr std::size_t PromiseCount = 7;

std::string_view promiseName(Promise promise);

struct HistoryRules
{
    // In calm, a job has an active run again within this time while one of its tasks could run and
    // the workers that answer orders have room for two such tasks.
    Duration standstillBound = 3s;
    Duration settleTime = 10s; // after a disturbance, until it is calm again
};

struct PromiseResult
{
    Promise promise = Promise::NeverLost;
    long long checked = 0; // jobs, runs or stretches
    std::vector<std::string> violations;
};

// A stretch of time in which a job had no active run although one of its tasks could run.
struct Standstill
{
    jobs::JobKey job;
    TimePoint since;
    Duration length{0};
};

struct Verdict
{
    std::array<PromiseResult, PromiseCount> promises;
    std::vector<Standstill> longest; // at most MaxListedStandstills, in descending order of length

    const PromiseResult &result(Promise promise) const
    {
        return promises[static_cast<std::size_t>(promise)];
    }
    bool isKept() const;
};
inline constexpr std::size_t MaxListedStandstills = 10;

// Checks the promises over the history of a soak. An accepted job without a last state at the end of
// the history counts as lost.
class HistoryChecker
{
public:
    explicit HistoryChecker(HistoryRules rules = {});

    // Checks `history`, which is ordered by time. It ends at `end`.
    Verdict check(std::span<const Event> history, TimePoint end) const;

private:
    HistoryRules m_rules;
};

} // namespace monsoonspool::soak
