#include "http/connectionbudget.h"

#include <gtest/gtest.h>

#include <vector>

namespace monsoonspool::http {

namespace {

constexpr TimePoint Start{Duration(0)};

std::vector<ConnectionNumber> takeAll(ConnectionBudget &budget)
{
    std::vector<ConnectionNumber> numbers;
    while (const auto excess = budget.takeExcess()) {
        numbers.push_back(excess->number);
    }
    return numbers;
}

} // namespace

TEST(ConnectionBudget, ClosesTheLongestIdleConnectionForANewOne)
{
    ConnectionBudget budget({3, 1'000'000});
    const auto reading = budget.add(Start);
    budget.setState(reading, ConnectionState::Reading, Start);
    const auto recentlyIdle = budget.add(Start);
    budget.setState(recentlyIdle, ConnectionState::Reading, Start + 1s);
    budget.setState(recentlyIdle, ConnectionState::Idle, Start + 3s);
    const auto longIdle = budget.add(Start + 2s);
    EXPECT_TRUE(takeAll(budget).empty());
    budget.add(Start + 4s);
    EXPECT_EQ(takeAll(budget), std::vector{longIdle});
    EXPECT_EQ(budget.connections(), 3U);
}

// A crowd that sends slowly keeps no ordinary caller out.
TEST(ConnectionBudget, ClosesTheSlowestRequestIfNoneIsIdle)
{
    ConnectionBudget budget({3, 1'000'000});
    std::vector<ConnectionNumber> numbers;
    for (int n = 0; n < 3; ++n) {
        numbers.push_back(budget.add(Start));
        budget.setState(numbers.back(), n == 0 ? ConnectionState::Writing : ConnectionState::Reading, Start + n * 1s);
    }
    budget.add(Start + 4s);
    EXPECT_EQ(takeAll(budget), std::vector{numbers[1]});
    budget.setState(numbers[2], ConnectionState::Handling, Start + 5s);
    const auto other = budget.add(Start + 5s);
    budget.setState(other - 1, ConnectionState::Handling, Start + 5s);
    EXPECT_EQ(takeAll(budget), std::vector{numbers[0]});
}

// A request that may be running is not cut off from its response.
TEST(ConnectionBudget, RefusesANewConnectionIfAllRequestsAreBeingHandled)
{
    ConnectionBudget budget({2, 1'000});
    for (int n = 0; n < 2; ++n) {
        const auto number = budget.add(Start);
        budget.setBytes(number, 400);
        budget.setState(number, ConnectionState::Handling, Start);
    }
    const auto newest = budget.add(Start + 1s);
    const auto excess = budget.takeExcess();
    ASSERT_TRUE(excess);
    EXPECT_EQ(excess->number, newest);
    EXPECT_EQ(excess->limit, ConnectionLimit::Connections);
    budget.setBytes(1, 5'000);
    EXPECT_TRUE(takeAll(budget).empty());
}

TEST(ConnectionBudget, ClosesTheLargestConnectionsForBytesBeforeIdleOnes)
{
    ConnectionBudget budget({100, 1'000'000});
    const auto idle = budget.add(Start);
    budget.setBytes(idle, 5'000);
    std::vector<ConnectionNumber> large;
    for (int n = 0; n < 4; ++n) {
        large.push_back(budget.add(Start));
        budget.setState(large.back(), ConnectionState::Reading, Start);
        budget.setBytes(large.back(), 200'000 + 50'000 * static_cast<std::size_t>(n));
    }
    EXPECT_EQ(takeAll(budget), std::vector{large[3]});
    EXPECT_EQ(budget.bufferedBytes(), 755'000U);
}

TEST(ConnectionBudget, ClosesIdleConnectionsForBytesBeforeOrdinaryRequests)
{
    ConnectionBudget budget({100, 50'000});
    const auto request = budget.add(Start);
    budget.setState(request, ConnectionState::Reading, Start);
    budget.setBytes(request, 30'000);
    const auto older = budget.add(Start);
    budget.setBytes(older, 10'000);
    const auto newer = budget.add(Start + 1s);
    budget.setBytes(newer, 11'000);
    EXPECT_EQ(takeAll(budget), std::vector{older});
    budget.setBytes(newer, 51'000);
    EXPECT_EQ(takeAll(budget), std::vector{newer});
    budget.setBytes(request, 51'000);
    EXPECT_EQ(takeAll(budget), std::vector{request});
    EXPECT_EQ(budget.bufferedBytes(), 0U);
}

TEST(ConnectionBudget, ForgetsWhatARemovedConnectionHeld)
{
    ConnectionBudget budget({10, 1'000});
    const auto number = budget.add(Start);
    budget.setBytes(number, 900);
    budget.remove(number);
    budget.remove(number);
    budget.setBytes(number, 5'000);
    EXPECT_EQ(budget.bufferedBytes(), 0U);
    EXPECT_EQ(budget.connections(), 0U);
}

TEST(FramingMeter, AllowsABodyInChunksOfOneByte)
{
    FramingMeter meter(MessageLimits{16 * 1024, 1024});
    for (int n = 0; n < 262'144; ++n) {
        ASSERT_TRUE(meter.note(6, 1)) << n;
    }
}

TEST(FramingMeter, RejectsExtensionsThatOutweighTheBody)
{
    FramingMeter meter(MessageLimits{16 * 1024, 10'000});
    int chunks = 0;
    while (meter.note(1'006, 1)) {
        ++chunks;
    }
    EXPECT_EQ(chunks, 10);
}

TEST(LimitCounts, ReportsALimitOnceInAnIntervalWithTheNumberOfTheOthers)
{
    LimitCounts counts;
    EXPECT_EQ(counts.note(ConnectionLimit::BodyBytes, Start), 0U);
    for (int n = 0; n < 5; ++n) {
        EXPECT_EQ(counts.note(ConnectionLimit::BodyBytes, Start + 10ms), std::nullopt);
    }
    EXPECT_EQ(counts.note(ConnectionLimit::HeaderBytes, Start + 10ms), 0U);
    EXPECT_EQ(counts.note(ConnectionLimit::BodyBytes, Start + LimitCounts::ReportInterval), 5U);
    EXPECT_EQ(counts.count(ConnectionLimit::BodyBytes), 7U);
    EXPECT_EQ(limitName(ConnectionLimit::WriteTime), "write-time");
}

} // namespace monsoonspool::http
