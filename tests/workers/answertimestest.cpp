#include "workers/answertimes.h"

#include <gtest/gtest.h>

#include <string>

namespace monsoonspool::workers {

namespace {

constexpr TimePoint Now{1h};
const FailureDomain Slow("slow");
const FailureDomain Other("other");

WorkerId worker(int n)
{
    return WorkerId("w" + std::to_string(n));
}

} // namespace

// Guards against taking hundreds of workers as silent, whose leases then lapse, since the link to them is full for
// some seconds; and against noticing the loss of single workers later.
TEST(AnswerTimes, ADomainInWhichManyAnswerLateHasMoreTime)
{
    AnswerTimes times;
    times.setWorkerCount(Slow, 100);
    EXPECT_EQ(times.timeout(Slow, Now), AnswerTimes::ShortestTimeout);
    for (int n = 0; n < 4; ++n) {
        times.note(Slow, worker(n), 1s, Now);
    }
    times.refresh();
    EXPECT_EQ(times.timeout(Slow, Now), AnswerTimes::ShortestTimeout) << "single workers";
    times.note(Slow, worker(4), 1200ms, Now);
    EXPECT_EQ(times.timeout(Slow, Now), AnswerTimes::ShortestTimeout) << "before the next look";
    times.refresh();
    EXPECT_EQ(times.timeout(Slow, Now), Duration(2400ms));
    EXPECT_EQ(times.timeout(Other, Now), AnswerTimes::ShortestTimeout);
    times.note(Slow, worker(5), 60s, Now);
    times.refresh();
    EXPECT_EQ(times.timeout(Slow, Now + 4s), AnswerTimes::LongestTimeout);
    EXPECT_EQ(times.timeout(Slow, Now + 6s), AnswerTimes::ShortestTimeout) << "answers come in time again";
}

TEST(AnswerTimes, AnswersInTimeChangeNothing)
{
    AnswerTimes times;
    for (int n = 0; n < 100; ++n) {
        times.note(Slow, worker(n), Duration(n * 3ms), Now);
        times.note(Slow, worker(n), -1s, Now);
    }
    times.refresh();
    EXPECT_EQ(times.timeout(Slow, Now), AnswerTimes::ShortestTimeout);
}

} // namespace monsoonspool::workers
