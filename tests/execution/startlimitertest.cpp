#include "execution/startlimiter.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <limits>
#include <random>
#include <utility>
#include <vector>

namespace monsoonspool::execution {

namespace {

constexpr Duration TimerInterval = 150ms;
constexpr Duration UsualRoundTrip = 20ms;

// A limiter whose timers run with the given lateness, while as many orders are sent as it permits.
class Play
{
public:
    void run(int timers, Duration lateness, Duration roundTrip, std::size_t answers = 20, bool isLimitReached = true)
    {
        const std::vector<Duration> roundTrips(answers, roundTrip);
        for (int n = 0; n < timers; ++n) {
            now += TimerInterval;
            if (isLimitReached) {
                limiter.available(limiter.limit());
            }
            limiter.update(lateness, roundTrips, now);
        }
    }

    StartLimiter limiter;
    TimePoint now{1h};
};

} // namespace

TEST(StartLimiter, FollowsItsThreadAndItsLink)
{
    struct Case
    {
        const char *name;
        Duration lateness;
        Duration roundTrip;
        bool isLimitReached;
        int sign; // of the change of the limit
    };
    for (const auto &it :
         {Case{"the thread is late", 300ms, UsualRoundTrip, true, -1}, Case{"answers take long", 0ms, 300ms, true, -1},
          Case{"a little late", 70ms, UsualRoundTrip, true, 0},
          Case{"in time, and more is due", 0ms, UsualRoundTrip, true, 1},
          Case{"in time, and no more is due", 0ms, UsualRoundTrip, false, 0}}) {
        SCOPED_TRACE(it.name);
        Play play;
        play.run(1, 0ms, UsualRoundTrip, 20, false);
        const int before = play.limiter.limit();
        play.run(10, it.lateness, it.roundTrip, 20, it.isLimitReached);
        const int change = play.limiter.limit() - before;
        EXPECT_EQ((change > 0) - (change < 0), it.sign) << before << " to " << play.limiter.limit();
    }
}

// Workers that are cut off answer late or never, and say nothing about the leader.
TEST(StartLimiter, IsNotLoweredByTheSlowerAnswers)
{
    StartLimiter limiter;
    TimePoint now{1h};
    const int before = limiter.limit();
    std::vector<Duration> roundTrips(20, Duration(700ms));
    std::fill_n(roundTrips.begin(), 8, UsualRoundTrip);
    for (int n = 0; n < 10; ++n) {
        now += TimerInterval;
        limiter.update(0ms, roundTrips, now);
    }
    EXPECT_EQ(limiter.limit(), before);
}

// Most jobs had not started a minute after all faults: answers that took up to 600 ms at random
// were taken for a full link, and the limit stayed at its minimum.
TEST(StartLimiter, GetsUsedToASlowNetwork)
{
    StartLimiter limiter;
    TimePoint now{1h};
    std::minstd_rand random(1);
    std::uniform_int_distribution<int> oneWayMs(0, 300);
    const std::vector<Duration> usual(20, UsualRoundTrip);
    limiter.update(0ms, usual, now);
    constexpr int timers = 2000;
    int lowTimers = 0;
    for (int n = 0; n < timers; ++n) {
        now += TimerInterval;
        std::vector<Duration> roundTrips;
        for (int k = 0; k < std::max(1, limiter.limit() / 2); ++k) {
            roundTrips.emplace_back(std::chrono::milliseconds(oneWayMs(random) + oneWayMs(random)));
        }
        limiter.available(limiter.limit());
        limiter.update(0ms, roundTrips, now);
        constexpr int lowLimit = 64;
        lowTimers += limiter.limit() < lowLimit ? 1 : 0;
    }
    EXPECT_LT(lowTimers, timers / 5);
}

TEST(StartLimiter, StaysAboveZeroAndRecovers)
{
    Play play;
    play.run(1, 0ms, UsualRoundTrip);
    const int usual = play.limiter.limit();
    play.run(100, 1s, UsualRoundTrip);
    EXPECT_GT(play.limiter.limit(), 0);
    EXPECT_GT(play.limiter.available(0), 0);
    EXPECT_EQ(play.limiter.available(std::numeric_limits<int>::max()), 0);
    EXPECT_TRUE(play.limiter.isAtMinimum());
    play.run(100, 0ms, UsualRoundTrip);
    EXPECT_GE(play.limiter.limit(), usual);
    EXPECT_FALSE(play.limiter.isAtMinimum());
}

// Guards against orders that the limiter holds back although the thread is in time again and all are answered.
TEST(StartLimiter, ABacklogIsOrderedSoon)
{
    constexpr int backlog = 2000;
    constexpr Duration roundTrip = 25ms; // of an order and the plan after it
    constexpr Duration bound = 3s; // after which the platform takes work as lost that stands still
    for (const bool wasLate : {false, true}) {
        SCOPED_TRACE(wasLate);
        Play play;
        play.run(40, wasLate ? 500ms : 0ms, UsualRoundTrip, 20, false);
        int waiting = backlog;
        std::vector<Duration> roundTrips;
        Duration passed{0};
        for (Duration nextTimer = TimerInterval; waiting > 0; passed += roundTrip) {
            if (passed >= nextTimer) {
                nextTimer += TimerInterval;
                play.now += TimerInterval;
                play.limiter.update(0ms, std::exchange(roundTrips, {}), play.now);
            }
            const int ordered = std::min(waiting, play.limiter.available(0));
            waiting -= ordered;
            play.limiter.available(ordered);
            roundTrips.insert(roundTrips.end(), static_cast<std::size_t>(ordered), UsualRoundTrip);
        }
        EXPECT_LT(toMilliseconds(passed), toMilliseconds(bound));
    }
}

} // namespace monsoonspool::execution
