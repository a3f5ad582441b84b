#include "routing/dispatcher.h"

#include <gtest/gtest.h>

namespace monsoonspool::routing {

namespace {

const RegionName Near("near");
const RegionName Far("far");
const grants::HolderId Holder{EntryHostId("entry-1"), 1, 0};
constexpr TimePoint Start{1h};

PoolPlan plan(int queueLimit, std::vector<RegionName> regions)
{
    PoolPlan plan;
    plan.pool = PoolName("pool");
    plan.flows = {{ServiceName("service"), "urgent", 0, 0.5, 1, queueLimit},
                  {ServiceName("service"), "plain", 1, 0.3, 1, queueLimit}};
    plan.regions = std::move(regions);
    plan.timeLimit = 10s;
    return plan;
}

class DispatcherTest : public testing::Test
{
protected:
    // Grants the dispatcher `slots` slots on each of `targets` targets of `region`.
    void grantSlots(Dispatcher &dispatcher, const RegionName &region, int targets, int slots, TimePoint now)
    {
        for (auto &request : dispatcher.dueRequests(false, now)) {
            if (request.ledger.region != region) {
                continue;
            }
            grants::SlotOffer offer;
            offer.ledger = request.ledger;
            offer.holder = request.holder;
            offer.sequence = request.sequence;
            offer.epoch = Epoch{1};
            offer.startWindow = 600s;
            for (int n = 0; n < targets; ++n) {
                offer.slots.push_back({TargetId(region.text() + std::to_string(n)), slots, slots});
                m_accepting.push_back(offer.slots.back().target);
            }
            dispatcher.setAccepting(m_accepting);
            EXPECT_TRUE(dispatcher.accept(offer));
        }
    }

    ErrorKind submitError(Dispatcher &dispatcher, const DispatchRequest &request, TimePoint now)
    {
        return handleFailure(
            [&]() -> Result<ErrorKind> {
                BOOST_LEAF_CHECK(dispatcher.submit(request, now));
                return ErrorKind::Internal;
            },
            [](const Failure &failure) { return failure.kind; });
    }

    std::optional<Assignment> submit(Dispatcher &dispatcher, const DispatchRequest &request, TimePoint now)
    {
        return handleFailure([&] { return dispatcher.submit(request, now); },
                             [](const Failure &failure) {
                                 ADD_FAILURE() << failure.detail;
                                 return std::optional<Assignment>();
                             });
    }

    std::vector<TargetId> m_accepting;
};

} // namespace

TEST_F(DispatcherTest, ReportsTheFarErrorWhenBothQueuesRefuse)
{
    Dispatcher dispatcher(plan(0, {Near, Far}), Holder, Near, {});
    EXPECT_EQ(submitError(dispatcher, {1, 0, Start, Start + 1s}, Start), ErrorKind::QueueFull);
}

TEST_F(DispatcherTest, StartsAtOnceWhileSlotsAreFree)
{
    Dispatcher dispatcher(plan(10, {Near}), Holder, Near, {});
    grantSlots(dispatcher, Near, 1, 2, Start);
    EXPECT_TRUE(submit(dispatcher, {1, 0, Start, Start + 1s}, Start));
    EXPECT_TRUE(submit(dispatcher, {2, 0, Start, Start + 1s}, Start));
    EXPECT_FALSE(submit(dispatcher, {3, 0, Start, Start + 1s}, Start));
    EXPECT_EQ(dispatcher.inUseCount(), 2);
    EXPECT_EQ(dispatcher.waitingCount(), 1);
}

TEST_F(DispatcherTest, StartsTheEarliestDeadlineOfAFlowFirst)
{
    Dispatcher dispatcher(plan(10, {Near}), Holder, Near, {});
    grantSlots(dispatcher, Near, 1, 1, Start);
    const auto first = submit(dispatcher, {1, 0, Start, Start + 9s}, Start);
    ASSERT_TRUE(first);
    submit(dispatcher, {2, 0, Start, Start + 8s}, Start);
    submit(dispatcher, {3, 0, Start, Start + 2s}, Start);
    dispatcher.finish(*first, AttemptResult::Answered, Start + 10ms);
    const auto started = dispatcher.startWaiting(Start + 10ms);
    ASSERT_EQ(started.size(), 1U);
    EXPECT_EQ(started.front().id, 3U);
}

struct AttemptResultCase
{
    const char *name;
    AttemptResult result;
    bool isFreedAtOnce;
};

class SlotAfterAttempt : public DispatcherTest, public testing::WithParamInterface<AttemptResultCase>
{
};

// The slot of a request that the target may still be running must not be reused before
// the request's time limit.
TEST_P(SlotAfterAttempt, FreesTheSlotOnlyWhenTheTargetIsDone)
{
    Dispatcher dispatcher(plan(10, {Near}), Holder, Near, {});
    grantSlots(dispatcher, Near, 1, 1, Start);
    const auto first = submit(dispatcher, {1, 0, Start, Start + 9s}, Start);
    ASSERT_TRUE(first);
    dispatcher.finish(*first, GetParam().result, Start + 1s);
    dispatcher.freeOverdue(Start + 9s);
    EXPECT_EQ(dispatcher.inUseCount(), GetParam().isFreedAtOnce ? 0 : 1);
    dispatcher.freeOverdue(Start + 10s);
    EXPECT_EQ(dispatcher.inUseCount(), 0);
}

INSTANTIATE_TEST_SUITE_P(Results, SlotAfterAttempt,
                         testing::Values(AttemptResultCase{"Answered", AttemptResult::Answered, true},
                                         AttemptResultCase{"ServerError", AttemptResult::ServerError, true},
                                         AttemptResultCase{"ConnectFailed", AttemptResult::ConnectFailed, true},
                                         AttemptResultCase{"Abandoned", AttemptResult::Abandoned, true},
                                         AttemptResultCase{"ConnectionLost", AttemptResult::ConnectionLost, false},
                                         AttemptResultCase{"Truncated", AttemptResult::Truncated, false},
                                         AttemptResultCase{"TimedOut", AttemptResult::TimedOut, false}),
                         [](const auto &info) { return info.param.name; });

TEST_F(DispatcherTest, UsesFarTargetsOnlyWhenNearOnesRefuse)
{
    Dispatcher dispatcher(plan(1, {Near, Far}), Holder, Near, {});
    grantSlots(dispatcher, Near, 1, 1, Start);
    EXPECT_FALSE(submit(dispatcher, {1, 0, Start, Start + 9s}, Start)->isFar);
    EXPECT_FALSE(submit(dispatcher, {2, 0, Start, Start + 9s}, Start));
    EXPECT_FALSE(submit(dispatcher, {3, 0, Start, Start + 9s}, Start)); // the near queue is full
    grantSlots(dispatcher, Far, 1, 1, Start + 50ms);
    const auto started = dispatcher.startWaiting(Start + 50ms);
    ASSERT_EQ(started.size(), 1U);
    EXPECT_EQ(started.front().id, 3U);
    EXPECT_TRUE(started.front().isFar);
}

TEST_F(DispatcherTest, SendsNoNewRequestsToALeavingTarget)
{
    Dispatcher dispatcher(plan(10, {Near}), Holder, Near, {});
    grantSlots(dispatcher, Near, 2, 4, Start);
    const std::vector<TargetId> accepting{TargetId("near1")};
    dispatcher.setAccepting(accepting);
    for (admission::RequestId id = 1; id <= 4; ++id) {
        const auto started = submit(dispatcher, {id, 0, Start, Start + 9s}, Start);
        ASSERT_TRUE(started);
        EXPECT_EQ(started->slot.target, accepting.front());
    }
    EXPECT_FALSE(submit(dispatcher, {5, 0, Start, Start + 9s}, Start));
}

TEST_F(DispatcherTest, StartsNothingAfterAPauseUntilTheTargetsAreConfirmed)
{
    Dispatcher dispatcher(plan(10, {Near}), Holder, Near, {});
    grantSlots(dispatcher, Near, 1, 4, Start);
    EXPECT_TRUE(submit(dispatcher, {1, 0, Start, Start + 90s}, Start));
    const TimePoint later = Start + Dispatcher::PauseLimit;
    EXPECT_FALSE(submit(dispatcher, {2, 0, later, later + 90s}, later));
    EXPECT_TRUE(dispatcher.mustConfirmTargets());
    EXPECT_TRUE(dispatcher.startWaiting(later + 1ms).empty());
    dispatcher.confirmTargets();
    EXPECT_EQ(dispatcher.startWaiting(later + 2ms).size(), 1U);
}

// A failing target accepts a single probe, although several of its slots are free. The
// other requests must stay queued and not be lost.
TEST_F(DispatcherTest, KeepsRequestsQueuedWhenAFailingTargetTakesOneProbe)
{
    Dispatcher dispatcher(plan(10, {Near}), Holder, Near, {});
    grantSlots(dispatcher, Near, 3, 4, Start);
    const auto first = submit(dispatcher, {1, 0, Start, Start + 90s}, Start);
    ASSERT_TRUE(first);
    dispatcher.finish(*first, AttemptResult::ConnectFailed, Start + 1ms);
    const std::vector<TargetId> accepting{first->slot.target, TargetId("other"), TargetId("another")};
    dispatcher.setAccepting(accepting);
    TimePoint now = Start + 2ms;
    for (admission::RequestId id = 2; id <= 4; ++id) {
        EXPECT_FALSE(submit(dispatcher, {id, 0, now, now + 90s}, now));
    }
    for (; now < Start + 600ms; now += 100ms) {
        dispatcher.dueRequests(false, now);
    }
    EXPECT_EQ(dispatcher.startWaiting(now).size(), 1U);
    EXPECT_EQ(dispatcher.waitingCount(), 2);
}

TEST_F(DispatcherTest, RefusesRequestsWhoseDeadlineHasBecomeUnreachable)
{
    Dispatcher dispatcher(plan(10, {Near}), Holder, Near, {});
    grantSlots(dispatcher, Near, 1, 1, Start);
    submit(dispatcher, {1, 0, Start, Start + 9s}, Start);
    submit(dispatcher, {2, 1, Start, Start + 1s}, Start);
    EXPECT_TRUE(dispatcher.refuseUnreachable(Start + 500ms).empty());
    const auto refused = dispatcher.refuseUnreachable(Start + 1s);
    ASSERT_EQ(refused.size(), 1U);
    EXPECT_EQ(refused.front().id, 2U);
    EXPECT_EQ(errorInfo(refused.front().kind).outcome, Outcome::NotRun);
}

} // namespace monsoonspool::routing
