#include "bench/history.h"

#include <gtest/gtest.h>

// Each check must report a history that violates its invariant, and no other check
// may report that history.
namespace monsoonspool::bench {

namespace {

using Kind = HistoryEvent::Kind;

const TargetId Target("target-1");

HistoryEvent event(Kind kind, int atMs, GuestRequestId request)
{
    HistoryEvent it;
    it.kind = kind;
    it.at = TimePoint(std::chrono::milliseconds(atMs));
    it.request = request;
    it.target = kind == Kind::Started || kind == Kind::Ended || kind == Kind::Leaving ? Target : TargetId();
    it.answerOf = kind == Kind::Answered ? request : 0;
    return it;
}

HistoryEvent refused(int atMs, GuestRequestId request, Outcome outcome)
{
    auto it = event(Kind::Refused, atMs, request);
    it.outcome = outcome;
    return it;
}

HistoryRules rules()
{
    HistoryRules rules;
    rules.slots[Target] = 1;
    return rules;
}

HistoryEvent answeredWith(int atMs, GuestRequestId request, GuestRequestId answerOf)
{
    auto it = event(Kind::Answered, atMs, request);
    it.answerOf = answerOf;
    return it;
}

struct Case
{
    const char *name;
    std::vector<HistoryEvent> history;
    std::string violated; // the invariant, empty if the history is valid
};

class HistoryChecks : public testing::TestWithParam<Case>
{
};

} // namespace

TEST_P(HistoryChecks, ReportExactlyTheViolatedInvariant)
{
    const auto violations = checkAll(GetParam().history, rules(), TimePoint(std::chrono::milliseconds(1000)));
    if (GetParam().violated.empty()) {
        EXPECT_TRUE(violations.empty()) << violations.front().detail;
        return;
    }
    ASSERT_FALSE(violations.empty());
    for (const auto &it : violations) {
        EXPECT_EQ(it.invariant, GetParam().violated) << it.detail;
    }
}

INSTANTIATE_TEST_SUITE_P(
    Histories, HistoryChecks,
    testing::Values(Case{"Valid",
                         {event(Kind::Arrived, 1, 1), event(Kind::Started, 2, 1), event(Kind::Ended, 3, 1),
                          event(Kind::Answered, 4, 1)},
                         ""},
                    Case{"SequentialOnOneSlot",
                         {event(Kind::Arrived, 1, 1), event(Kind::Arrived, 1, 2), event(Kind::Started, 2, 1),
                          event(Kind::Ended, 3, 1), event(Kind::Started, 3, 2), event(Kind::Answered, 4, 1),
                          event(Kind::Ended, 5, 2), event(Kind::Answered, 6, 2)},
                         ""},
                    Case{"ConcurrentOnOneSlot",
                         {event(Kind::Arrived, 1, 1), event(Kind::Arrived, 1, 2), event(Kind::Started, 2, 1),
                          event(Kind::Started, 2, 2), event(Kind::Ended, 3, 1), event(Kind::Ended, 3, 2),
                          event(Kind::Answered, 4, 1), event(Kind::Answered, 4, 2)},
                         "slots"},
                    Case{"RunTwice",
                         {event(Kind::Arrived, 1, 1), event(Kind::Started, 2, 1), event(Kind::Ended, 3, 1),
                          event(Kind::Started, 4, 1), event(Kind::Ended, 5, 1), event(Kind::Answered, 6, 1)},
                         "at-most-once"},
                    Case{"AnswerOfAnother",
                         {event(Kind::Arrived, 1, 1), event(Kind::Arrived, 1, 2), answeredWith(4, 1, 2),
                          event(Kind::Answered, 5, 2)},
                         "own-answer"},
                    Case{"AnsweredTwice",
                         {event(Kind::Arrived, 1, 1), event(Kind::Answered, 4, 1), event(Kind::Answered, 5, 1)},
                         "own-answer"},
                    Case{"NotRunButRan",
                         {event(Kind::Arrived, 1, 1), event(Kind::Started, 2, 1), event(Kind::Ended, 3, 1),
                          refused(4, 1, Outcome::NotRun)},
                         "not-run"},
                    Case{"NotRunButRanLater",
                         {event(Kind::Arrived, 1, 1), refused(2, 1, Outcome::NotRun), event(Kind::Started, 3, 1),
                          event(Kind::Ended, 4, 1)},
                         "not-run"},
                    Case{"UnknownAndRan",
                         {event(Kind::Arrived, 1, 1), event(Kind::Started, 2, 1), event(Kind::Ended, 3, 1),
                          refused(4, 1, Outcome::Unknown)},
                         ""},
                    Case{"SentToALeavingTarget",
                         {event(Kind::Arrived, 1, 1), event(Kind::Leaving, 1, 0), event(Kind::Started, 3002, 1),
                          event(Kind::Ended, 3003, 1), event(Kind::Answered, 3004, 1)},
                         "leaving"},
                    Case{"WithinTheGracePeriod",
                         {event(Kind::Arrived, 1, 1), event(Kind::Leaving, 1, 0), event(Kind::Started, 3000, 1),
                          event(Kind::Ended, 3003, 1), event(Kind::Answered, 3004, 1)},
                         ""},
                    Case{"NoAnswer",
                         {event(Kind::Arrived, 1, 1), event(Kind::Started, 2, 1), event(Kind::Ended, 3, 1)},
                         "nothing-lost"}),
    [](const auto &info) { return info.param.name; });

} // namespace monsoonspool::bench
