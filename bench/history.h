#pragma once

#include "common/error.h"
#include "common/identifiers.h"
#include "common/time.h"

#include <cstdint>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

// Histories of concurrent executions, and the invariants that they must satisfy. A
// check uses only what guests and targets observe, never the system's own state.
namespace monsoonspool::bench {

using GuestRequestId = std::uint64_t;

struct HistoryEvent
{
    enum class Kind {
        Arrived, // a guest sent a request
        Started, // a target began to run the request
        Ended, // a target finished the request
        Answered, // the guest received a complete answer
        Refused, // the guest received an error with `outcome`
        Leaving, // a target started to leave
    };
    Kind kind = Kind::Arrived;
    TimePoint at;
    GuestRequestId request = 0;
    TargetId target;
    GuestRequestId answerOf = 0; // of Answered: the request to which the answer belongs
    Outcome outcome = Outcome::Answered; // of Refused
    bool isIdempotent = false; // of Arrived
};

struct InvariantViolation
{
    std::string invariant;
    std::string detail;
};

struct HistoryRules
{
    std::unordered_map<TargetId, int> slots;
    Duration leavingGracePeriod = 3s; // a leaving target may get new requests until it has passed
};

// No target runs more requests concurrently than it has slots.
std::vector<InvariantViolation> checkSlots(std::span<const HistoryEvent> history, const HistoryRules &rules);

// A request that is not idempotent starts at most once.
std::vector<InvariantViolation> checkAtMostOnce(std::span<const HistoryEvent> history);

// A guest receives at most one answer or error for a request, and no answer that
// belongs to another request.
std::vector<InvariantViolation> checkOwnAnswer(std::span<const HistoryEvent> history);

// A request that was refused with the outcome NotRun starts neither before nor
// after the refusal.
std::vector<InvariantViolation> checkNotRun(std::span<const HistoryEvent> history);

// A leaving target starts no request after the grace period.
std::vector<InvariantViolation> checkLeaving(std::span<const HistoryEvent> history, const HistoryRules &rules);

// Every request that arrived before `settledAt` was answered or refused.
std::vector<InvariantViolation> checkNothingLost(std::span<const HistoryEvent> history, TimePoint settledAt);

// Runs all checks above.
std::vector<InvariantViolation> checkAll(std::span<const HistoryEvent> history, const HistoryRules &rules,
                                         TimePoint settledAt);

} // namespace monsoonspool::bench
