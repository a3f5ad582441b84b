#pragma once

#include "common/time.h"

namespace monsoonspool::scheduling {

// The cost of moving a run with checkpoints to another worker, by the platform's settings.
struct MoveCost
{
    Duration stop{0}; // until the end is listed
    Duration restore{0}; // of the checkpoint
    Duration checkpointInterval{0}; // work between two checkpoints
};

// A run on leftover cores whose pace is below full speed.
struct ThrottledRun
{
    Duration lost{0}; // run time lost to the pace since the run was slowed down
    Duration remaining{0}; // expected run time at full pace
    int pace = 0; // present pace in percent
    bool hasCheckpoints = false;
    int moves = 0; // earlier moves of its task
};

// Decides when a throttled run is worth moving to a worker that takes it at full pace.
class MovePolicy
{
public:
    virtual ~MovePolicy() = default;
    virtual bool isWorthMoving(const ThrottledRun &run) const = 0;
};

// Moves a run once it has lost as much run time as the move costs: whether the pace recovers is
// not known, and by this rule a run loses at most twice what it would lose if it were (the
// ski rental problem). A run that ends soon at its present pace stays, as does one without
// checkpoints, whose work would be lost, and one whose task was moved before.
//
// Answers the load where serving tasks peak on some workers while leftover cores are idle on
// others: one throttled task holds up the step, and with it the job.
class BreakEvenMove : public MovePolicy
{
public:
    explicit BreakEvenMove(const MoveCost &cost);
    bool isWorthMoving(const ThrottledRun &run) const override;

private:
    Duration m_cost;
};

} // namespace monsoonspool::scheduling
