#include "scheduling/throttledrun.h"

#include <gtest/gtest.h>

namespace monsoonspool::scheduling {

// Replays runs that serving tasks at their peak slow down. Guards against moves that cost more than
// they gain, and against runs that stay paused for long.
TEST(BreakEvenMove, MovesARunOnceItHasLostWhatAMoveCosts)
{
    // 300 ms for the stop, 200 ms to restore the checkpoint and on average half of a second of work.
    const BreakEvenMove policy({300ms, 200ms, 1s});
    struct Case
    {
        const char *name;
        ThrottledRun run;
        bool isMoved;
    };
    const ThrottledRun paused{1s, 2s, 0, true, 0};
    const auto with = [&](auto change) {
        auto run = paused;
        change(run);
        return run;
    };
    for (const auto &it :
         {Case{"paused for as long as a move costs", paused, true},
          Case{"paused for less", with([](ThrottledRun &run) { run.lost = 999ms; }), false},
          Case{"slow, and far from its end", with([](ThrottledRun &run) { run.pace = 50; }), true},
          Case{"slow, and ends sooner here", with([](ThrottledRun &run) {
                   run.pace = 50;
                   run.remaining = 900ms;
               }),
               false},
          Case{"paused near its end", with([](ThrottledRun &run) { run.remaining = 100ms; }), true},
          Case{"without checkpoints", with([](ThrottledRun &run) { run.hasCheckpoints = false; }), false},
          Case{"moved before", with([](ThrottledRun &run) { run.moves = 1; }), false}}) {
        SCOPED_TRACE(it.name);
        EXPECT_EQ(policy.isWorthMoving(it.run), it.isMoved);
    }
}

} // namespace monsoonspool::scheduling
