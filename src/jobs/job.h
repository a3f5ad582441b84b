#pragma once

#include "jobs/jobspec.h"
#include "jobs/taskid.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace monsoonspool::jobs {

enum class JobState {
    Queued, // accepted, no task has started
    Running,
    Completed, // all tasks are done
    Failed, // a task or a gang has failed maxAttempts times, or too many workers crashed under it
    Cancelled,
};

inline bool isFinal(JobState state)
{
    return state == JobState::Completed || state == JobState::Failed || state == JobState::Cancelled;
}

std::string_view jobStateName(JobState state);

// How a run ended, as reported by its worker.
enum class RunEnd {
    Done,
    Failed, // because of the task or the worker; counts as an attempt
    Stopped, // by a stop order
    Lapsed, // the lease expired or the worker is gone
    Broken, // another member of the gang ended
    Alone, // the other members of the gang did not start in time
};

// A job fails when this many workers have crashed under runs of one of its tasks. A task beside
// the cause, or a second cause, accounts for some of the crashes.
constexpr int MaxWorkerCrashes = 3;
// Only a crash within this time from its start counts against a run of a lasting task, which
// meets many crashes of other causes in its life. A longer run clears the earlier crashes.
constexpr Duration LastingTrialTime = 10s;

// The state from which a task resumes.
struct Checkpoint
{
    RunNumber run = 0; // that made it
    std::string text; // opaque; empty to start from the beginning

    bool operator==(const Checkpoint &) const = default;
};

struct Task
{
    bool isDone = false;
    std::optional<RunNumber> doneRun; // the run that was done, if this scheduler has seen its end
    std::vector<RunNumber> failedRuns; // without duplicates, since an end may be listed repeatedly
    std::vector<RunNumber> crashedRuns; // under which a worker crashed, without duplicates
    std::optional<RunNumber> possiblyCrashedRun; // the first one whose worker crashed and that may not have begun
    std::uint8_t activeRuns = 0; // runs that may be active on a worker
    bool wasLost = false; // a run was lost with a silent worker, which may have crashed
    RunNumber lastRun = 0;
    std::string checkpoint; // to resume from; empty to start from the beginning
    RunNumber checkpointRun = 0; // that made it
    std::vector<WorkerId> avoidedWorkers; // on which a run failed or stalled
    Checkpoint endedCheckpoint; // when a run ended last; stored, since no worker lists it any more
    TimePoint retryAt; // earliest time of the next run
    Duration retryDelay{0}; // after the last failure

    bool isWaiting() const
    {
        return !isDone && activeRuns == 0;
    }
};

struct Step
{
    std::vector<Task> tasks;
    int doneCount = 0;
    int activeCount = 0; // tasks that are not done and have an active run
    std::vector<RunNumber> failedRuns; // of a gang, whose members fail together
    std::vector<RunNumber> crashedRuns; // of a gang, under any of its members
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

// The persistent state of a step.
struct StepProgress
{
    std::string tasks; // one character per task: DoneMark or OpenMark
    std::map<int, std::vector<RunNumber>> failedRuns; // by task index; GangIndex for a whole gang
    std::map<int, std::vector<RunNumber>> crashedRuns; // likewise; of a gang also by member
    std::map<int, RunNumber> possiblyCrashedRuns = {}; // by task index, also of a gang
    // Of tasks that are not done, when a run ended last. By task index; GangIndex for a whole gang.
    std::map<int, Checkpoint> checkpoints = {};
    std::map<int, std::vector<WorkerId>> avoidedWorkers = {}; // of tasks that are not done, by index

    static constexpr char DoneMark = 'D';
    static constexpr char OpenMark = '.';
    static constexpr int GangIndex = -1;

    bool operator==(const StepProgress &) const = default;
};

// The persistent state of a job.
struct JobProgress
{
    JobState state = JobState::Queued;
    std::vector<std::vector<StepProgress>> occurrences; // empty until an occurrence is due or reported
    // False for a job that was cancelled before it was accepted. It is not known to its clients, and
    // is never accepted.
    bool isAccepted = true;
    // When such a job was cancelled, by the wall clock of the host that wrote it. For the operator: hosts
    // do not decide by it. Rows of earlier releases lack it.
    std::optional<WallTime> cancelledAt = std::nullopt;

    // Leaves out what a successor can do without: it then repeats work and failures.
    void dropOptionalParts();

    bool operator==(const JobProgress &) const = default;
};

// The progress of a job is stored in sections of this many consecutive tasks, counted over all
// steps and occurrences, so that each fits into a row of the store: a task takes a byte, and some
// bytes for each run that failed or crashed.
constexpr int TasksPerSection = 1000;
// Checkpoints in a section take at most this many bytes, each counted with what encodes its task and
// run, and so do avoided workers. A successor starts the tasks of other checkpoints from the beginning.
constexpr std::size_t MaxOptionalBytes = 16384;
constexpr std::size_t OptionalPartOverhead = 16;

// A section of a job's progress. Section 0 also holds the job's state.
struct ProgressSection
{
    JobKey job;
    int number = 0;
    auto operator<=>(const ProgressSection &) const = default;
};

// A job and the state of its tasks. Invariants:
//  - a step starts only after the steps it depends on are done,
//  - a task that is done gets no further run,
//  - a task or gang that failed `maxAttempts` times fails the job,
//  - a task or gang under which MaxWorkerCrashes workers crashed fails the job, of a gang if two
//    of them crashed under the same member; these runs are no failed attempts, and each is known to
//    have begun, or to have been ordered from a process that was alive,
//  - nothing starts after the job's state is final.
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
    // Returns the run whose end as done was passed to noteRunEnd(), or nullopt if there was none.
    std::optional<RunNumber> doneRun(const TaskId &id) const;
    // Returns the number of tasks that are done, in all occurrences.
    int doneCount() const;
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

    // Creates the occurrences that are due at `now`.
    void openDueOccurrences(WallTime now);
    // Returns whether the step may start tasks.
    bool isReady(int occurrence, int step) const;

    // Records that a run was ordered, which moves a queued job to Running.
    void noteRunOrdered(const TaskId &id, RunNumber run);
    // Records that a worker has definitely started a run; an order alone may have no effect.
    void noteRunStarted()
    {
        m_hasBegun = true;
    }
    // Returns whether the job is open and no run is known to have started.
    bool isWaiting() const
    {
        return isOpen() && !m_hasBegun;
    }
    // Records that a run passed to noteRunOrdered() is over, regardless of its outcome.
    void noteRunOver(const TaskId &id);
    // Records the outcome of a run, which need not be known here. An end that is reported
    // repeatedly counts once. Returns whether the persistent state changed.
    bool noteRunEnd(const TaskId &id, RunNumber run, RunEnd end, std::string_view checkpoint, int maxAttempts,
                    TimePoint now);
    // Records that the worker of a run crashed `ranFor` after the run's start. A crash that is
    // reported repeatedly counts once. Returns whether the persistent state changed.
    bool noteWorkerCrash(const TaskId &id, RunNumber run, Duration ranFor);
    // Records that a worker crashed on which a run was ordered, but is not known to have begun: the
    // worker may have crashed before. Such a crash does not fail the job, but makes the task suspect.
    // Returns whether the persistent state changed.
    bool notePossibleCrash(const TaskId &id, RunNumber run, Duration ranFor);
    // Records that a run was lost with a worker that is silent and may have crashed.
    void noteRunLost(const TaskId &id);
    // Returns whether the next start of the task, or of its gang, must show whether its worker was
    // alive when the order was sent: otherwise a crash before the answer could not be charged.
    bool needsVerifiedStart(const TaskId &id) const;
    // Records that a run has been at work for `ranFor`. Returns whether the persistent state changed.
    bool noteHealthyRun(const TaskId &id, Duration ranFor);
    // Returns the number of crashes of workers under the task, or under its gang.
    int crashCount(const TaskId &id) const;
    // Returns the same, and one more if a worker may have crashed under a run that is not known to
    // have begun.
    int crashSuspicion(const TaskId &id) const;
    // Records that a run of the task failed or stalled on a worker. It is stored with the next change
    // of the task's progress.
    void noteAvoidedWorker(const TaskId &id, const WorkerId &worker);
    // Returns the workers passed to noteAvoidedWorker(), also by earlier schedulers.
    std::span<const WorkerId> avoidedWorkers(const TaskId &id) const;
    // Records the latest checkpoint of a run. One of an earlier run than the known one is ignored.
    void noteCheckpoint(const TaskId &id, RunNumber run, std::string_view checkpoint);

    void cancel();

    JobProgress progress() const;
    // Returns the state and the progress of the tasks of one section; that of other tasks is left out.
    JobProgress progress(int section) const;
    // Returns the sections that the end of a run of the task may change: those of all its members
    // for a gang, and section 0, whose state may change with it.
    std::vector<int> sectionsOf(const TaskId &id) const;
    // Fails the job, whose progress cannot be stored.
    void abandon();
    // Merges the progress stored by an earlier scheduler, whole or of one section: done tasks stay
    // done, and the counts of failures and crashes never decrease, whichever side is more recent.
    void restore(const JobProgress &progress);

private:
    Task &mutableTask(const TaskId &id);
    Step &mutableStep(int occurrence, int step);
    void openOccurrence();
    // Returns the position of a step's first task among the tasks of all steps and occurrences.
    std::int64_t positionOf(int occurrence, int step) const;
    // Returns the progress of the tasks whose position is in the range.
    JobProgress progressBetween(std::int64_t first, std::int64_t last) const;
    StepProgress stepProgress(int occurrence, int step, std::int64_t first, std::int64_t last) const;
    // Records that the task resumes from its present checkpoint. Returns whether the persistent state
    // changed.
    bool keepCheckpoint(const TaskId &id);
    void markDone(int occurrence, int step, Task &task);
    void restoreStep(int occurrence, int step, const StepProgress &stored);
    bool markFailed(const TaskId &id, RunNumber run, int maxAttempts);
    bool countsCrash(const TaskId &id, Duration ranFor) const;
    // Returns whether `isMet` holds for the task, or for a member of its gang.
    template <typename F>
    bool isAnyMember(const TaskId &id, F isMet) const;
    std::vector<RunNumber> &crashedRuns(const TaskId &id);
    void failAfterCrashes(const TaskId &id);

    JobKey m_key;
    JobSpec m_spec;
    std::string m_queue;
    TimePoint m_acceptedAt;
    JobState m_state = JobState::Queued;
    bool m_hasBegun = false;
    std::vector<std::int64_t> m_stepPositions; // in an occurrence; the last entry is the number of its tasks
    std::vector<Occurrence> m_occurrences; // those that have been due or reported
};

} // namespace monsoonspool::jobs
