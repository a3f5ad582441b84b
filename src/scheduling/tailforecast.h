#pragma once

#include "scheduling/interferencemodel.h"
#include "workers/worker.h"

#include <string_view>

namespace monsoonspool::scheduling {

// A task that might join a worker.
struct JoiningTask
{
    ImageNumber image = 0;
    double coreShare = 0; // of the worker's processors
    bool usesLeftover = false;
    Duration tailTarget{0}; // of a serving task
};

// A serving task's tail is kept at or below this part of its target: its load may
// rise by a fifth until the next measurement.
constexpr double SafeTailRatio = 0.8;
// The part of its target that a tail should keep to in the mean, where work is
// placed for longer: a serving task's load swings by half around its mean.
constexpr double SafeMeanTailRatio = 0.62;

// Returns the part of the worker's processors that a run on leftover ones uses,
// by the last measurement if there is one.
double usedShare(const workers::Worker &worker, const workers::Run &run);

// Returns the greatest ratio of tail to target that serving tasks on `worker` would
// see in the mean with `joining` at full pace; 0 if nobody serves there, or nothing
// is known of them.
double worstTailRatio(const InterferenceModel &model, const workers::Worker &worker, const JoiningTask &joining);

// Returns the pace in percent at which the runs on leftover processors that disturb
// serving tasks on `worker` keep all of them at SafeTailRatio, as they
// were last measured.
int safePace(const InterferenceModel &model, const workers::Worker &worker);

// Returns by how much `run` at full pace lowers the reciprocal of a tail beside it,
// at most, as a part of its target's reciprocal.
double disturbance(const InterferenceModel &model, const workers::Worker &worker, const workers::Run &run);

} // namespace monsoonspool::scheduling
