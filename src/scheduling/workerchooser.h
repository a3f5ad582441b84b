#pragma once

#include "jobs/jobspec.h"
#include "jobs/taskid.h"
#include "scheduling/harmlessroom.h"
#include "scheduling/interferencemodel.h"
#include "workers/worker.h"

#include <span>
#include <string_view>

namespace monsoonspool::scheduling {

// A task that looks for a worker.
struct TaskDemand
{
    jobs::TaskId task;
    const jobs::StepSpec *step = nullptr;
    ImageNumber image = 0; // of the step
    std::string_view service; // whose workers may run it
    std::string_view preferredRack; // of the other members of a colocated gang; empty for any
    std::span<const WorkerId> avoided; // where runs of the task have failed or stood still
    const InterferenceModel *interference = nullptr; // nullptr if the task disturbs nobody and is not disturbed
    const HarmlessRoom *harmlessRoom = nullptr; // for leftover work; nullptr if nothing is known of it
};

// Returns whether `worker` may run the task at all, room aside.
bool isEligible(const workers::Worker &worker, const TaskDemand &demand, TimePoint now);

// Chooses the worker for a task.
class WorkerChooser
{
public:
    virtual ~WorkerChooser() = default;
    // Returns the worker, or nullptr if none has room.
    virtual workers::Worker *choose(const TaskDemand &demand, std::span<workers::Worker *const> workers,
                                    TimePoint now) const = 0;
};

// For a full fleet with tasks of very unequal size: takes the worker whose
// processors fit most tightly, so that wide tasks find room elsewhere, and some
// workers stay free of serving tasks. The rack of the data goes first. Tasks that use
// leftover processors go where most is left over and no serving task beside them would
// miss its target; among those, work takes the workers that work of other images needs
// least: with many images, most workers are of use to a few of them only. Lasting tasks of one image go together, since each image is
// disturbed by other work: then most work finds workers where it disturbs nobody.
// A task that failed somewhere goes elsewhere, since some workers fail all that they
// start, and would burn all its attempts.
class TightFit : public WorkerChooser
{
public:
    workers::Worker *choose(const TaskDemand &demand, std::span<workers::Worker *const> workers,
                            TimePoint now) const override;
};

// Takes the first worker with room; the plain baseline.
class FirstFit : public WorkerChooser
{
public:
    workers::Worker *choose(const TaskDemand &demand, std::span<workers::Worker *const> workers,
                            TimePoint now) const override;
};

} // namespace monsoonspool::scheduling
