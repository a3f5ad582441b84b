#pragma once

#include "common/error.h"
#include "common/identifiers.h"
#include "common/time.h"

#include <cstdint>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

// Histories of concurrent runs, and the checks that they must pass. A check looks
// at what guests and targets saw, never at the state of the system.
namespace monsoonspool::bench {

using GuestRequestId = std::uint64_t;

struct HistoryEvent
{
    enum class Kind {
        Arrived, // a guest sent a request
        Started, // a target began to run it
        Ended, // a target ended it
        Answered, // the guest got a whole answer
        Refused, // the guest got an error with `outcome`
        Leaving, // a target began to leave
    };
    Kind kind = Kind::Arrived;
    TimePoint at;
    GuestRequestId request = 0;
    TargetId target;
    GuestRequestId answerOf = 0; // of Answered: the request to which the answer belongs
    Outcome outcome = Outcome::Answered; // of Refused
    bool isIdempotent = false; // of Arrived
};

// One breach of an invariant.
struct InvariantViolation
{
    std::string invariant;
    std::string detail;
};

struct HistoryRules
{
    std::unordered_map<TargetId, int> slots;
    Duration leavingGrace = 3s; // a leaving target gets nothing new after it
};

// No target runs more requests at once than it has slots.
std::vector<InvariantViolation> checkSlots(std::span<const HistoryEvent> history, const HistoryRules &rules);

// A request that is not idempotent starts at most once.
std::vector<InvariantViolation> checkAtMostOnce(std::span<const HistoryEvent> history);

// A guest gets one answer, and the one to its own request.
std::vector<InvariantViolation> checkOwnAnswer(std::span<const HistoryEvent> history);

// A request that was refused as not run has never started, nor does it later.
std::vector<InvariantViolation> checkNotRun(std::span<const HistoryEvent> history);

// A leaving target starts nothing after the grace.
std::vector<InvariantViolation> checkLeaving(std::span<const HistoryEvent> history, const HistoryRules &rules);

// Every request that arrived early enough was answered or refused.
std::vector<InvariantViolation> checkNothingLost(std::span<const HistoryEvent> history, TimePoint settledAt);

// Runs all checks.
std::vector<InvariantViolation> checkAll(std::span<const HistoryEvent> history, const HistoryRules &rules,
                                         TimePoint settledAt);

} // namespace monsoonspool::bench
