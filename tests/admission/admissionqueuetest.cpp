#include "admission/admissionqueue.h"

#include <gtest/gtest.h>

namespace monsoonspool::admission {

namespace {

constexpr TimePoint Start{1h};
const ServiceName Service("service");

std::vector<FlowPlan> plans()
{
    return {{Service, "urgent", 0, 0.25, 1, 100}, {Service, "plain", 1, 0.5, 1, 100}, {Service, "rest", 2, 0, 1, 3}};
}

AdmissionQueue makeQueue()
{
    return AdmissionQueue(plans(), makeQueueDiscipline("guaranteed-shares"));
}

ErrorKind pushError(AdmissionQueue &queue, const WaitingRequest &request, TimePoint now)
{
    return handleFailure(
        [&]() -> Result<ErrorKind> {
            BOOST_LEAF_CHECK(queue.push(request, now));
            return ErrorKind::Internal; // accepted
        },
        [](const Failure &failure) { return failure.kind; });
}

struct ChoiceCase
{
    const char *name;
    std::vector<int> inUse; // by flow
    std::vector<int> waiting;
    FlowIndex chosen;
};

class GuaranteedSharesChoice : public testing::TestWithParam<ChoiceCase>
{
};

} // namespace

// Of eight slots the flow "urgent" is guaranteed two, "plain" four and "rest" none.
TEST_P(GuaranteedSharesChoice, ServesGuaranteesFirstAndThenTheMostUrgent)
{
    std::vector<FlowState> flows;
    const double guaranteed[]{2, 4, 0};
    for (FlowIndex n = 0; n < 3; ++n) {
        if (GetParam().waiting[n] > 0) {
            flows.push_back(
                {n, static_cast<int>(n), guaranteed[n], 1, GetParam().inUse[n], GetParam().waiting[n], Start});
        }
    }
    EXPECT_EQ(GuaranteedShares().choose(flows, Start), GetParam().chosen);
}

INSTANTIATE_TEST_SUITE_P(Flows, GuaranteedSharesChoice,
                         testing::Values(ChoiceCase{"AllWaitNoneServed", {0, 0, 0}, {1, 1, 1}, 0},
                                         ChoiceCase{"UrgentHasItsShare", {2, 0, 0}, {1, 1, 1}, 1},
                                         ChoiceCase{"AllHaveTheirShare", {2, 4, 0}, {1, 1, 1}, 0},
                                         ChoiceCase{"FloodOfTheMostUrgent", {8, 3, 0}, {500, 1, 1}, 1},
                                         ChoiceCase{"FloodOfTheLeastUrgent", {0, 0, 8}, {1, 0, 500}, 0},
                                         ChoiceCase{"OnlyTheLeastWaits", {2, 4, 1}, {0, 0, 9}, 2}),
                         [](const auto &info) { return info.param.name; });

TEST(AdmissionQueue, RefusesWhenTheFlowsQueueIsFull)
{
    auto queue = makeQueue();
    for (RequestId id = 1; id <= 3; ++id) {
        EXPECT_EQ(pushError(queue, {id, 2, Start, Start + 9s}, Start), ErrorKind::Internal);
    }
    EXPECT_EQ(pushError(queue, {4, 2, Start, Start + 9s}, Start), ErrorKind::QueueFull);
    EXPECT_EQ(pushError(queue, {5, 1, Start, Start + 9s}, Start), ErrorKind::Internal)
        << "other flows are not affected";
}

// Starts a queued request of `flow` every `interval`, so that the queue measures this
// start interval. Leaves ten requests queued.
void measureStartInterval(AdmissionQueue &queue, FlowIndex flow, Duration interval, TimePoint &now)
{
    for (RequestId id = 1000; id < 1050; ++id) {
        EXPECT_EQ(pushError(queue, {id, flow, now, now + 600s}, now), ErrorKind::Internal);
    }
    for (int n = 0; n < 40; ++n) {
        now += interval;
        const auto next = queue.pop(8, now);
        ASSERT_TRUE(next);
        queue.recordStart(next->flow, now);
        queue.recordEnd(next->flow, interval, true);
    }
}

TEST(AdmissionQueue, RefusesRequestsWhosePredictedWaitExceedsTheDeadline)
{
    auto queue = makeQueue();
    TimePoint now = Start;
    measureStartInterval(queue, 0, 100ms, now); // the ten queued requests take 1 s
    EXPECT_EQ(pushError(queue, {1, 0, now, now + 650s}, now), ErrorKind::Internal);
    EXPECT_EQ(pushError(queue, {2, 0, now, now + 300ms}, now), ErrorKind::Internal)
        << "its deadline is earlier than those of the queued requests";
    for (RequestId id = 10; id < 40; ++id) {
        pushError(queue, {id, 0, now, now + 1s}, now);
    }
    EXPECT_EQ(pushError(queue, {50, 0, now, now + 1s + 1ms}, now), ErrorKind::DeadlineUnreachable);
}

// A long start interval from a past overload must not cause refusals for ever: it
// expires when no new samples arrive.
TEST(AdmissionQueue, IgnoresAnOutdatedStartInterval)
{
    auto queue = makeQueue();
    TimePoint now = Start;
    measureStartInterval(queue, 0, 900ms, now);
    for (RequestId id = 10; id < 13; ++id) {
        pushError(queue, {id, 0, now, now + 2s}, now);
    }
    EXPECT_EQ(pushError(queue, {20, 0, now, now + 2s + 1ms}, now), ErrorKind::DeadlineUnreachable);
    now += 1500ms;
    EXPECT_EQ(pushError(queue, {21, 0, now, now + 2s}, now), ErrorKind::Internal);
}

TEST(AdmissionQueue, RemovesCancelledRequestsAndUnreachableDeadlines)
{
    auto queue = makeQueue();
    pushError(queue, {1, 0, Start, Start + 1s}, Start);
    pushError(queue, {2, 1, Start, Start + 9s}, Start);
    EXPECT_TRUE(queue.remove(2));
    EXPECT_FALSE(queue.remove(2));
    EXPECT_EQ(queue.removeUnreachable(Start + 1s).size(), 1U);
    EXPECT_EQ(queue.waitingCount(), 0);
    EXPECT_FALSE(queue.pop(8, Start + 1s));
}

} // namespace monsoonspool::admission
