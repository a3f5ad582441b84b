#pragma once

#include "jobs/jobspec.h"
#include "jobs/taskid.h"
#include "scheduling/interferencefreecapacity.h"
#include "scheduling/interferencemodel.h"
#include "workers/worker.h"

#include <compare>
#include <cstddef>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace monsoonspool::scheduling {

// Whether a task on leftover cores may start as a reduced run, see workers::ReducedPace.
enum class ReducedStart {
    No,
    BesideNoLeftoverWork, // only where it slows down no other work
    Anywhere,
};

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
    bool ignoresSuspicion = false; // see areMostSuspect()
    const WorkerId *movedFrom = nullptr; // the worker that the task was moved away from; nullptr if it was not moved
    ReducedStart reducedStart = ReducedStart::No;
};

// Returns whether `worker` may run the task, regardless of free capacity. Tasks under which
// workers have crashed are kept apart, so that the next crash tells the cause from the tasks
// beside it; before the crash that would fail the job, no other task joins either.
bool isEligible(const workers::Worker &worker, const TaskDemand &demand, TimePoint now);

// Returns the highest tail latency, in relation to its target, that is forecast for the serving tasks on `worker`
// if the task ran there at `pace` percent; 0 if there are none that it disturbs.
double predictedTailRatio(const workers::Worker &worker, const TaskDemand &demand, int pace = workers::FullPace);

// Returns whether more than half of the usable workers of a service, of those with `label` if it is not
// empty, are suspect. The cause is then rather the tasks that failed there, and the other workers may be
// too few for the work.
bool areMostSuspect(std::span<workers::Worker *const> workers, std::string_view service, std::string_view label,
                    TimePoint now);

// Policy that chooses a worker for a task: the one with the lowest cost.
class WorkerChooser
{
public:
    virtual ~WorkerChooser() = default;
    // Returns the cost of placing the task on `worker`, or nullopt if the worker is not eligible
    // or has too little free capacity.
    virtual std::optional<double> cost(const workers::Worker &worker, const TaskDemand &demand,
                                       TimePoint now) const = 0;
    // Returns the first of the workers with the lowest cost, or nullptr if none can take the task.
    workers::Worker *choose(const TaskDemand &demand, std::span<workers::Worker *const> workers, TimePoint now) const;
};

// The workers that can take tasks of one step, by cost. Placing many tasks of a step costs one
// look at each worker, and one more for each task at the worker that got it.
//
// Valid while only the tasks placed on best() change the workers.
class RankedWorkers
{
public:
    // `chooser`, `workers` and what `demand` refers to must outlive this object.
    RankedWorkers(const WorkerChooser &chooser, const TaskDemand &demand, std::span<workers::Worker *const> workers,
                  TimePoint now);

    // Returns the worker that WorkerChooser::choose() would return for another task of the step,
    // unless a run of that very task is still active there.
    workers::Worker *best() const;
    // Ranks best() again, after a task was placed there.
    void updateBest(TimePoint now);

private:
    struct Candidate
    {
        double cost = 0;
        std::size_t position = 0;
        auto operator<=>(const Candidate &) const = default;
    };

    const WorkerChooser &m_chooser;
    TaskDemand m_demand;
    std::span<workers::Worker *const> m_workers;
    std::vector<Candidate> m_candidates; // a heap with the lowest at the front
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
//  - A task that may start as a reduced run goes to the worker with fewest of these, whatever its
//    serving tasks and leftover cores. Such a run works at a low pace, so that it costs others
//    little, and no task waits for ever where all workers have sensitive serving tasks.
//  - A task that failed on a worker goes to another one, since some workers fail every
//    task that they start and would use up all attempts.
//  - Where suspect workers are used, the others are preferred.
//  - A task under which a worker has crashed goes where few tasks run that its next crash
//    would end.
class BestFit : public WorkerChooser
{
public:
    std::optional<double> cost(const workers::Worker &worker, const TaskDemand &demand, TimePoint now) const override;

private:
    std::optional<double> reducedCost(const workers::Worker &worker, const TaskDemand &demand, TimePoint now) const;
};

// Chooses the first eligible worker with enough capacity. Baseline for comparisons.
class FirstFit : public WorkerChooser
{
public:
    std::optional<double> cost(const workers::Worker &worker, const TaskDemand &demand, TimePoint now) const override;
};

} // namespace monsoonspool::scheduling
