#include "soak/connectionbehavior.h"

#include <gtest/gtest.h>

#include <set>

namespace monsoonspool::soak {

namespace {

constexpr std::uint64_t Seed = 5;
constexpr std::string_view Listing = "/hold";
constexpr std::string_view Order = "/run-start";

} // namespace

// A kind without an effect would make a soak pass without testing anything.
TEST(ConnectionBehaviorTest, EachKindTreatsRequestsAsNamed)
{
    struct Case
    {
        ConnectionKind kind;
        std::string_view path;
        int n; // of the request on its connection
        RequestFate fate;
    };
    for (const auto &it : {Case{ConnectionKind::Keep, Order, 1000, RequestFate::Answer},
                           Case{ConnectionKind::EndEach, Listing, 1, RequestFate::AnswerThenClose},
                           Case{ConnectionKind::EndAfter, Listing, 1, RequestFate::Answer},
                           Case{ConnectionKind::EndAfter, Listing, 20, RequestFate::AnswerThenClose},
                           Case{ConnectionKind::IgnoreOrders, Listing, 1, RequestFate::Answer},
                           Case{ConnectionKind::IgnoreOrders, Order, 1, RequestFate::Ignore}}) {
        const auto behavior = makeConnectionBehavior(it.kind, Seed, 0);
        EXPECT_EQ(behavior->fate(it.path, it.n), it.fate) << connectionKindName(it.kind) << " request " << it.n;
    }
    EXPECT_TRUE(makeConnectionBehavior(ConnectionKind::EndIdle, Seed, 0)->idleLimit().has_value());
    EXPECT_FALSE(makeConnectionBehavior(ConnectionKind::IgnoreOrders, Seed, 0)->takesOrders());
    EXPECT_TRUE(makeConnectionBehavior(ConnectionKind::IgnoreOrders, Seed, 1)->takesOrders());
}

TEST(ConnectionBehaviorTest, ResetsSomeRequestsBeforeAndSomeAfterTheirExecution)
{
    const auto behavior = makeConnectionBehavior(ConnectionKind::Reset, Seed, 0);
    std::set<RequestFate> fates;
    for (int n = 1; n <= 1000; ++n) {
        fates.insert(behavior->fate(Order, n));
    }
    EXPECT_EQ(fates, (std::set{RequestFate::Answer, RequestFate::ResetUnexecuted, RequestFate::ResetExecuted}));
}

TEST(ConnectionBehaviorTest, AMixContainsEachKind)
{
    std::set<ConnectionKind> kinds;
    for (int n = 0; n < 100; ++n) {
        kinds.insert(workerConnectionKind(ConnectionKind::Mix, Seed, n));
        EXPECT_EQ(workerConnectionKind(ConnectionKind::Mix, Seed, n),
                  workerConnectionKind(ConnectionKind::Mix, Seed, n));
    }
    EXPECT_EQ(kinds.size(), 6);
}

TEST(ConnectionBehaviorTest, ParsesTheNamesOfAllKinds)
{
    for (const auto kind :
         {ConnectionKind::Keep, ConnectionKind::EndEach, ConnectionKind::EndAfter, ConnectionKind::EndIdle,
          ConnectionKind::Reset, ConnectionKind::IgnoreOrders, ConnectionKind::Mix}) {
        const auto parsed = handleFailure([&] { return parseConnectionKind(connectionKindName(kind)); },
                                          [](const Failure &) { return ConnectionKind::Keep; });
        EXPECT_EQ(parsed, kind) << connectionKindName(kind);
    }
}

} // namespace monsoonspool::soak
