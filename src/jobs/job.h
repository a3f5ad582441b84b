#pragma once

#include "jobs/jobspec.h"
#include "jobs/taskid.h"

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace monsoonspool::jobs {

enum class JobState {
    Queued, // accepted, no task has started
    Running,
    Completed, // all tasks have ended as done
    Failed, // a task or a gang has failed too often
    Cancelled,
};

inline bool isFinal(JobState state)
{
    return state == JobState::Completed || state == JobState::Failed || state == JobState::Cancelled;
}

std::string_view jobStateName(JobState state);

// How a run ended, as its worker tells.
enum class RunEnd {
    Done,
    Failed, // by its own fault or the worker's; counts as an attempt
    Stopped, // by an order
    Lapsed, // the lease ran out, or the worker is gone
    Broken, // another member of its gang ended
    Alone, // the other members of its gang did not come in time
};

struct Task
{
    bool isDone = false;
    std::vector<RunNumber> failedRuns; // each counts once, however often its end is listed
    std::uint8_t activeRuns = 0; // runs that may be at work on some worker
    RunNumber lastRun = 0;
    std::string checkpoint; // to resume from; empty to begin
    TimePoint retryAt; // no new run before

    bool isWaiting() const
    {
        return !isDone && activeRuns == 0;
    }
};

struct Step
{
    std::vector<Task> tasks;
    int doneCount = 0;
    int activeCount = 0; // tasks with a run
    std::vector<RunNumber> failedRuns; // of a gang, which fails as a whole
    bool isDone() const
    {
        return doneCount == static_cast<int>(tasks.size());
    }
    bool hasWaiting() const
    {
        return doneCount + activeCount < static_cast<int>(tasks.size());
    }
};

struct Occurrence
{
    std::vector<Step> steps;
    int openSteps = 0; // steps that are not done
};

// What of a step must outlast its scheduler.
struct StepProgress
{
    std::string tasks; // a character for each task: DoneMark or OpenMark
    std::map<int, std::vector<RunNumber>> failedRuns; // by task; GangIndex for a gang as a whole

    static constexpr char DoneMark = 'D';
    static constexpr char OpenMark = '.';
    static constexpr int GangIndex = -1;

    bool operator==(const StepProgress &) const = default;
};

// What of a job must outlast its scheduler.
struct JobProgress
{
    JobState state = JobState::Queued;
    std::vector<std::vector<StepProgress>> occurrences; // empty while nothing ended

    bool operator==(const JobProgress &) const = default;
};

// A job and the state of its tasks. Guards that
//  - a step starts only once the steps before it are done,
//  - a task that is done has no further run,
//  - a task or gang that failed `maxAttempts` times fails the job,
//  - nothing starts once the job's state is final.
//
// Not thread-safe: owned by the control thread.
class Job
{
public:
    Job(JobKey key, JobSpec spec, std::string queue, TimePoint acceptedAt);

    const JobKey &key() const
    {
        return m_key;
    }
    const JobSpec &spec() const
    {
        return m_spec;
    }
    const std::string &queue() const
    {
        return m_queue;
    }
    TimePoint acceptedAt() const
    {
        return m_acceptedAt;
    }
    JobState state() const
    {
        return m_state;
    }
    bool isOpen() const
    {
        return !isFinal(m_state);
    }
    std::span<const Occurrence> occurrences() const
    {
        return m_occurrences;
    }
    const StepSpec &stepSpec(int step) const
    {
        return m_spec.steps[static_cast<std::size_t>(step)];
    }
    bool contains(const TaskId &id) const;
    const Task &task(const TaskId &id) const;
    const Step &step(int occurrence, int step) const;

    // Makes the occurrences that are due at `now` ready to run.
    void openDue(WallTime now);
    // Returns whether the step may start tasks.
    bool isReady(int occurrence, int step) const;

    // Notes that a run was ordered. The job counts as running from then on.
    void noteStarted(const TaskId &id, RunNumber run);
    // Notes that a worker has surely begun a run: an order alone may come to nothing.
    void noteBegun()
    {
        m_hasBegun = true;
    }
    // Returns whether no task has surely begun.
    bool isWaiting() const
    {
        return isOpen() && !m_hasBegun;
    }
    // Notes that a run that noteStarted() told of is over, however it ended.
    void noteOver(const TaskId &id);
    // Notes how a run ended, known here or not; an end that is told twice counts once.
    // Returns whether what must outlast the scheduler changed.
    bool noteEnd(const TaskId &id, RunNumber run, RunEnd how, std::string_view checkpoint, int maxAttempts,
                 TimePoint now);
    // Remembers the newest checkpoint of a task at work.
    void noteCheckpoint(const TaskId &id, std::string_view checkpoint);

    void cancel();

    JobProgress progress() const;
    // Takes in what an earlier scheduler stored. Done tasks stay done and counts of
    // failures never fall, whichever side knows more.
    void restore(const JobProgress &progress);

private:
    Task &mutableTask(const TaskId &id);
    Step &mutableStep(int occurrence, int step);
    void openOccurrence();
    void markDone(int occurrence, int step, Task &task);
    void restoreStep(int occurrence, int step, const StepProgress &stored);
    bool markFailed(const TaskId &id, RunNumber run, int maxAttempts);

    JobKey m_key;
    JobSpec m_spec;
    std::string m_queue;
    TimePoint m_acceptedAt;
    JobState m_state = JobState::Queued;
    bool m_hasBegun = false;
    std::vector<Occurrence> m_occurrences; // those that have become due
};

} // namespace monsoonspool::jobs
