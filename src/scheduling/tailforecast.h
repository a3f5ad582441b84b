#pragma once

#include "scheduling/interferencemodel.h"
#include "workers/worker.h"

#include <string_view>

namespace monsoonspool::scheduling {

// A task considered for placement on a worker.
struct JoiningTask
{
    ImageNumber image = 0;
    double coreShare = 0; // fraction of the worker's cores
    bool usesLeftover = false;
    Duration tailTarget{0}; // serving tasks only
};

// Upper bound on the ratio of a serving task's tail latency to its target. It leaves a
// margin of one fifth for load growth until the next measurement.
constexpr double SafeTailRatio = 0.8;
// Upper bound on the mean ratio, used when a task is placed for a longer time: a serving
// task's load varies by half around its mean.
constexpr double SafeMeanTailRatio = 0.62;

// Returns the fraction of the worker's cores that a run on leftover cores used in the
// last measurement; 0 if there is none.
double usedShare(const workers::Worker &worker, const workers::Run &run);

// Returns the highest predicted mean ratio of tail to target among the serving tasks on
// `worker` if `joining` ran there at full pace; 0 if there is no serving task or the
// model has no fit for them.
double worstTailRatio(const InterferenceModel &model, const workers::Worker &worker, const JoiningTask &joining);

// Returns the pace in percent at which the interfering runs on leftover cores keep all
// serving tasks on `worker` at or below SafeTailRatio, given the last measurements.
// Reduced runs count at their pace.
int safePace(const InterferenceModel &model, const workers::Worker &worker);

// Returns the pace in percent at which the reduced runs keep all serving tasks on `worker` at or below
// SafeMeanTailRatio while the other runs work at full pace; ReducedPace at least.
int safeReducedPace(const InterferenceModel &model, const workers::Worker &worker);

// Returns the largest decrease of 1/tail that `run` at full pace causes to a serving task
// on `worker`, as a fraction of 1/target of that task.
double maxInterference(const InterferenceModel &model, const workers::Worker &worker, const workers::Run &run);

} // namespace monsoonspool::scheduling
