// How start orders are divided while they are short, and how their pace is measured.
#include "scheduling/overdueshare.h"
#include "scheduling/startpace.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace monsoonspool::scheduling {

namespace {

constexpr TimePoint Now{1h};

} // namespace

TEST(OverdueShare, ATenthOfTheStarts)
{
    OverdueShare share;
    EXPECT_EQ(share.available(), 0);
    int overdue = 0;
    constexpr int plans = 1000;
    for (int n = 0; n < plans; ++n) {
        const int starts = 1 + n % 7;
        const int given = std::min(share.available(), starts);
        overdue += given;
        share.noteStarts(starts, given);
    }
    EXPECT_NEAR(overdue, 0.1 * 4 * plans, 0.01 * 4 * plans);
    share.noteStarts(100, 100); // a gang
    EXPECT_EQ(share.available(), 0) << "the share of later plans is used up";
    share.noteStarts(100000, 0);
    EXPECT_LE(share.available(), 100) << "nothing was overdue for long, and no large batch may follow";
}

TEST(StartPace, CountsOnlyWhileStartsAreLimited)
{
    StartPace pace;
    auto now = Now;
    const auto plan = [&](int plans, bool isLimited) {
        for (int n = 0; n < plans; ++n) {
            now += Duration(50ms);
            pace.notePlan(10, isLimited, now);
        }
    };
    plan(40, false);
    EXPECT_EQ(pace.timeFor(100), Duration(0));
    plan(100, true);
    EXPECT_NEAR(static_cast<double>(toMilliseconds(pace.timeFor(100))), 500, 50); // 200 a second
    now += Duration(10s); // in which nothing may be started
    plan(20, true);
    EXPECT_NEAR(static_cast<double>(toMilliseconds(pace.timeFor(100))), 500, 50);
    plan(40, false);
    EXPECT_EQ(pace.timeFor(100), Duration(0));
}

} // namespace monsoonspool::scheduling
