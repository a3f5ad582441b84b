#pragma once

#include "jobs/jobspec.h"
#include "jobs/step.h"
#include "jobs/taskid.h"

#include <cstdint>
#include <limits>
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

struct Occurrence
{
    std::vector<Step> steps;
    int openSteps = 0; // steps that are not done
    int activeRuns = 0; // of all tasks

    bool isDone() const
    {
        return openSteps == 0;
    }
};

// Bounds on what a job keeps open at a time of its occurrences that are due. One is opened whatever it takes.
struct OccurrenceLimits
{
    std::int64_t readyTasks = std::numeric_limits<std::int64_t>::max(); // that could start now
    std::int64_t openSteps = std::numeric_limits<std::int64_t>::max(); // of occurrences that are not done
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
    std::vector<std::vector<StepProgress>> occurrences; // those of which nothing is known are empty
    int firstOccurrence = 0; // the number of the first one of `occurrences`
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
// The progress of occurrences below this number is stored with an empty entry for each one before it, which
// earlier releases read as well.
constexpr int MaxPaddedOccurrences = 256;
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
//  - nothing starts after the job's state is final,
//  - of a job whose times are due long before its work can be done, only the occurrences that may start soon
//    take memory, and those that are over only mark that they are.
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
    std::int64_t doneCount() const;
    // Returns the occurrences that have been due or reported, by number, but for those that were released
    // since they are over.
    const std::map<int, Occurrence> &occurrences() const
    {
        return m_occurrences;
    }
    // Returns whether an occurrence is still to be opened by openDueOccurrences(), now or later.
    bool hasLaterOccurrence() const
    {
        return m_nextOccurrence < m_spec.occurrenceCount();
    }
    // Returns the number of occurrences that are due and not opened yet.
    int overdueCount(WallTime now) const;
    const StepSpec &stepSpec(int step) const
    {
        return m_spec.steps[static_cast<std::size_t>(step)];
    }
    bool contains(const TaskId &id) const;
    const Task &task(const TaskId &id) const;
    const Step &step(int occurrence, int step) const;

    // Creates the occurrences that are due at `now`, in their order, as far as the limits permit; the others
    // are created once earlier ones have been started or are done. Releases those that are over.
    void openDueOccurrences(WallTime now, const OccurrenceLimits &limits = {});
    // Returns the number of steps in the occurrences that are not done.
    std::int64_t openSteps() const;
    // Releases the occurrences that are over and have no active run, and what is known of such tasks.
    void releaseDone();
    // Returns the approximate number of bytes in use.
    std::size_t memoryUse() const;
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
    Occurrence &mutableOccurrence(int occurrence);
    bool isOver(int occurrence) const;
    std::int64_t readyTasks() const;
    WallTime dueAt(int occurrence) const;
    // Returns the position of a step's first task among the tasks of all steps and occurrences.
    std::int64_t positionOf(int occurrence, int step) const;
    // Returns the progress of the tasks whose position is in the range.
    JobProgress progressBetween(std::int64_t first, std::int64_t last) const;
    StepProgress stepProgress(int occurrence, int step, std::int64_t first, std::int64_t last) const;
    // Records that the task resumes from its present checkpoint. Returns whether the persistent state
    // changed.
    bool keepCheckpoint(const TaskId &id);
    void markDone(int occurrence, int step, int index, std::optional<RunNumber> run = std::nullopt);
    void markGangDone(int occurrence, int step);
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
    std::size_t m_descriptionBytes = 0;
    std::int64_t m_firstTasks = 0; // of the steps of an occurrence that follow no other step
    std::vector<std::int64_t> m_stepPositions; // in an occurrence; the last entry is the number of its tasks
    std::map<int, Occurrence> m_occurrences; // see occurrences()
    int m_nextOccurrence = 0; // the first one that was not opened by its time
    int m_doneOccurrences = 0;
    std::vector<bool> m_areOver; // by occurrence, once one was released
};

} // namespace monsoonspool::jobs
