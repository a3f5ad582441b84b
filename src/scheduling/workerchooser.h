#pragma once

#include "jobs/jobspec.h"
#include "jobs/taskid.h"
#include "scheduling/interferencefreecapacity.h"
#include "scheduling/interferencemodel.h"
#include "workers/worker.h"

#include <span>
#include <string_view>

namespace monsoonspool::scheduling {

// The requirements of a task to be placed.
struct TaskDemand
{
    jobs::TaskId task;
    const jobs::StepSpec *step = nullptr;
    ImageNumber image = 0; // of the step
    std::string_view service; // only its workers may run the task
    std::string_view preferredRack; // rack of the other members of a colocated gang; empty for any
    std::span<const WorkerId> avoided; // workers on which runs of the task failed or made no progress
    const InterferenceModel *interference = nullptr; // nullptr if the task neither causes nor suffers interference
    const InterferenceFreeCapacity *interferenceFreeCapacity
        = nullptr; // for tasks on leftover cores; nullptr if unknown
    int crashCount = 0; // of workers under runs of the task
    bool isKeptApart = true; // from other suspects, if workers have crashed under the task
};

// Returns whether `worker` may run the task, regardless of free capacity. Tasks under which
// workers have crashed are kept apart, so that the next crash tells the cause from the tasks
// beside it; before the crash that would fail the job, no other task joins either.
bool isEligible(const workers::Worker &worker, const TaskDemand &demand, TimePoint now);

// Policy that chooses a worker for a task.
class WorkerChooser
{
public:
    virtual ~WorkerChooser() = default;
    // Returns nullptr if no eligible worker has enough free capacity.
    virtual workers::Worker *choose(const TaskDemand &demand, std::span<workers::Worker *const> workers,
                                    TimePoint now) const = 0;
};

// Best-fit placement for a highly utilized fleet with tasks of very different sizes.
//  - A task with cores of its own goes to the worker with the least cores left after
//    placement, so that large tasks find capacity elsewhere and some workers stay free of
//    serving tasks.
//  - The rack of the task's data takes precedence over the fit.
//  - A task on leftover cores goes to the worker with the most leftover cores where no
//    serving task would miss its target. Workers for which other images compete cost more:
//    with many images, most workers are usable by a few of them only.
//  - Lasting tasks of the same image are packed together. Each image is affected by
//    different work, so most work then finds workers where it interferes with nothing.
//  - A task that failed on a worker goes to another one, since some workers fail every
//    task that they start and would use up all attempts.
//  - A task under which a worker has crashed goes where few tasks run that its next crash
//    would end.
class BestFit : public WorkerChooser
{
public:
    workers::Worker *choose(const TaskDemand &demand, std::span<workers::Worker *const> workers,
                            TimePoint now) const override;
};

// Chooses the first eligible worker with enough capacity. Baseline for comparisons.
class FirstFit : public WorkerChooser
{
public:
    workers::Worker *choose(const TaskDemand &demand, std::span<workers::Worker *const> workers,
                            TimePoint now) const override;
};

} // namespace monsoonspool::scheduling
