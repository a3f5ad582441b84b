#include "scheduling/throttledrun.h"

namespace monsoonspool::scheduling {

namespace {

constexpr int FullPace = 100;
// A task that meets the same load on the next worker would otherwise move on and on.
constexpr int MaxMoves = 1;

} // namespace

BreakEvenMove::BreakEvenMove(const MoveCost &cost) : m_cost(cost.stop + cost.restore + cost.checkpointInterval / 2)
{
}

bool BreakEvenMove::isWorthMoving(const ThrottledRun &run) const
{
    if (!run.hasCheckpoints || run.moves >= MaxMoves || run.lost < m_cost) {
        return false;
    }
    const bool isPaused = run.pace <= 0;
    return isPaused || run.remaining * (FullPace - run.pace) / run.pace > m_cost;
}

} // namespace monsoonspool::scheduling
