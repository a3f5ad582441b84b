#include "jobs/job.h"

#include <algorithm>

namespace monsoonspool::jobs {

namespace {

// Delay before a failed task is retried, so that a worker that fails every task does not
// use up all attempts at once.
constexpr Duration RetryDelay = 20ms;
// Lasting tasks have no limit of attempts, so that their delay doubles up to this one.
constexpr Duration MaxRetryDelay = 2s;

// Of the crashes that fail the job of a gang, this many must have met the same member.
constexpr std::size_t MinWorkerCrashesOfMember = 2;

void mergeRuns(std::vector<RunNumber> &runs, std::span<const RunNumber> others)
{
    for (const auto it : others) {
        if (std::ranges::find(runs, it) == runs.end()) {
            runs.push_back(it);
        }
    }
}

// Takes `bytes` from what is left. Returns false if they exceed it.
bool takeBytes(std::size_t &left, std::size_t bytes)
{
    if (bytes > left) {
        return false;
    }
    left -= bytes;
    return true;
}

} // namespace

std::string_view jobStateName(JobState state)
{
    switch (state) {
    case JobState::Queued:
        return "queued";
    case JobState::Running:
        return "running";
    case JobState::Completed:
        return "completed";
    case JobState::Failed:
        return "failed";
    case JobState::Cancelled:
        break;
    }
    return "cancelled";
}

void JobProgress::dropOptionalParts()
{
    for (auto &steps : occurrences) {
        for (auto &it : steps) {
            it.checkpoints.clear();
            it.avoidedWorkers.clear();
        }
    }
}

Job::Job(JobKey key, JobSpec spec, std::string queue, TimePoint acceptedAt)
    : m_key(key), m_spec(std::move(spec)), m_queue(std::move(queue)), m_acceptedAt(acceptedAt)
{
    m_stepPositions.push_back(0);
    for (const auto &it : m_spec.steps) {
        m_stepPositions.push_back(m_stepPositions.back() + it.count);
    }
    if (!m_spec.isTimed()) {
        openOccurrence();
    }
}

void Job::openOccurrence()
{
    auto &occurrence = m_occurrences.emplace_back();
    for (const auto &it : m_spec.steps) {
        occurrence.steps.emplace_back().tasks.resize(static_cast<std::size_t>(it.count));
    }
    occurrence.openSteps = static_cast<int>(m_spec.steps.size());
}

void Job::openDueOccurrences(WallTime now)
{
    while (isOpen() && static_cast<int>(m_occurrences.size()) < m_spec.occurrenceCount()
           && m_spec.firstDue + m_spec.interval * static_cast<std::int64_t>(m_occurrences.size()) <= now) {
        openOccurrence();
    }
}

bool Job::contains(const TaskId &id) const
{
    if (id.occurrence < 0 || id.occurrence >= m_spec.occurrenceCount() || id.step < 0
        || id.step >= static_cast<int>(m_spec.steps.size())) {
        return false;
    }
    return id.index >= 0 && id.index < stepSpec(id.step).count;
}

const Step &Job::step(int occurrence, int step) const
{
    return m_occurrences[static_cast<std::size_t>(occurrence)].steps[static_cast<std::size_t>(step)];
}

Step &Job::mutableStep(int occurrence, int step)
{
    // A worker may report an occurrence that is not yet due by this host's clock.
    while (static_cast<int>(m_occurrences.size()) <= occurrence) {
        openOccurrence();
    }
    return m_occurrences[static_cast<std::size_t>(occurrence)].steps[static_cast<std::size_t>(step)];
}

const Task &Job::task(const TaskId &id) const
{
    return step(id.occurrence, id.step).tasks[static_cast<std::size_t>(id.index)];
}

Task &Job::mutableTask(const TaskId &id)
{
    return mutableStep(id.occurrence, id.step).tasks[static_cast<std::size_t>(id.index)];
}

std::optional<RunNumber> Job::doneRun(const TaskId &id) const
{
    const bool isOpened = id.occurrence < static_cast<int>(m_occurrences.size());
    return isOpened ? task(id).doneRun : std::nullopt;
}

int Job::doneCount() const
{
    int count = 0;
    for (const auto &occurrence : m_occurrences) {
        for (const auto &it : occurrence.steps) {
            count += it.doneCount;
        }
    }
    return count;
}

bool Job::isReady(int occurrence, int step) const
{
    const auto &all = m_occurrences[static_cast<std::size_t>(occurrence)].steps;
    return std::ranges::all_of(stepSpec(step).after,
                               [&](int it) { return all[static_cast<std::size_t>(it)].isDone(); });
}

void Job::noteRunOrdered(const TaskId &id, RunNumber run)
{
    auto &step = mutableStep(id.occurrence, id.step);
    auto &task = step.tasks[static_cast<std::size_t>(id.index)];
    if (task.activeRuns++ == 0 && !task.isDone) {
        ++step.activeCount;
    }
    task.lastRun = std::max(task.lastRun, run);
    if (m_state == JobState::Queued) {
        m_state = JobState::Running;
    }
}

void Job::markDone(int occurrence, int step, Task &task)
{
    auto &owner = mutableStep(occurrence, step);
    if (task.isDone) {
        return;
    }
    task.isDone = true;
    ++owner.doneCount;
    if (task.activeRuns > 0) {
        --owner.activeCount;
    }
    if (!owner.isDone()) {
        return;
    }
    --m_occurrences[static_cast<std::size_t>(occurrence)].openSteps;
    const bool isComplete = static_cast<int>(m_occurrences.size()) == m_spec.occurrenceCount()
        && std::ranges::all_of(m_occurrences, [](const Occurrence &it) { return it.openSteps == 0; });
    if (isComplete && isOpen()) {
        m_state = JobState::Completed;
    }
}

bool Job::markFailed(const TaskId &id, RunNumber run, int maxAttempts)
{
    const auto &spec = stepSpec(id.step);
    if (spec.isLasting) {
        return false;
    }
    auto &failed = spec.isGang ? mutableStep(id.occurrence, id.step).failedRuns : mutableTask(id).failedRuns;
    if (std::ranges::find(failed, run) != failed.end()) {
        return false;
    }
    failed.push_back(run);
    if (static_cast<int>(failed.size()) >= maxAttempts && isOpen()) {
        m_state = JobState::Failed;
    }
    return true;
}

void Job::noteRunOver(const TaskId &id)
{
    auto &step = mutableStep(id.occurrence, id.step);
    auto &task = step.tasks[static_cast<std::size_t>(id.index)];
    if (task.activeRuns > 0 && --task.activeRuns == 0 && !task.isDone) {
        --step.activeCount;
    }
}

bool Job::noteRunEnd(const TaskId &id, RunNumber run, RunEnd end, std::string_view checkpoint, int maxAttempts,
                     TimePoint now)
{
    auto &step = mutableStep(id.occurrence, id.step);
    auto &task = step.tasks[static_cast<std::size_t>(id.index)];
    if (task.isDone) {
        return false;
    }
    task.lastRun = std::max(task.lastRun, run);
    const bool hasRun = end == RunEnd::Done || end == RunEnd::Failed || end == RunEnd::Broken;
    m_hasBegun = m_hasBegun || hasRun;
    if (!checkpoint.empty()) {
        noteCheckpoint(id, run, checkpoint);
    }
    switch (end) {
    case RunEnd::Done:
        if (stepSpec(id.step).isLasting) {
            return keepCheckpoint(id);
        }
        task.doneRun = run;
        if (stepSpec(id.step).isGang) {
            for (auto &it : step.tasks) {
                markDone(id.occurrence, id.step, it);
            }
        } else {
            markDone(id.occurrence, id.step, task);
        }
        return true;
    case RunEnd::Failed: {
        task.retryDelay = stepSpec(id.step).isLasting && now - task.retryAt <= LastingTrialTime
            ? std::clamp(task.retryDelay * 2, RetryDelay, MaxRetryDelay)
            : RetryDelay;
        task.retryAt = now + task.retryDelay;
        const bool isKept = keepCheckpoint(id);
        return markFailed(id, run, maxAttempts) || isKept;
    }
    case RunEnd::Stopped:
    case RunEnd::Lapsed:
    case RunEnd::Broken:
    case RunEnd::Alone:
        break;
    }
    return keepCheckpoint(id);
}

bool Job::keepCheckpoint(const TaskId &id)
{
    const auto &known = task(id);
    if (!isOpen() || known.checkpoint.empty()) {
        return false;
    }
    const Checkpoint kept{known.checkpointRun, known.checkpoint};
    if (known.endedCheckpoint == kept) {
        return false;
    }
    if (!stepSpec(id.step).isGang) {
        mutableTask(id).endedCheckpoint = kept;
        return true;
    }
    for (auto &it : mutableStep(id.occurrence, id.step).tasks) {
        it.endedCheckpoint = kept;
    }
    return true;
}

std::vector<RunNumber> &Job::crashedRuns(const TaskId &id)
{
    return stepSpec(id.step).isGang ? mutableStep(id.occurrence, id.step).crashedRuns : mutableTask(id).crashedRuns;
}

int Job::crashCount(const TaskId &id) const
{
    if (id.occurrence >= static_cast<int>(m_occurrences.size())) {
        return 0;
    }
    const auto &crashed = stepSpec(id.step).isGang ? step(id.occurrence, id.step).crashedRuns : task(id).crashedRuns;
    return static_cast<int>(crashed.size());
}

// Crashes under a gang may each have met another member. At least one member must have met two.
void Job::failAfterCrashes(const TaskId &id)
{
    const auto &tasks = step(id.occurrence, id.step).tasks;
    const bool isMet = !stepSpec(id.step).isGang
        || std::ranges::any_of(tasks, [](const Task &it) { return it.crashedRuns.size() >= MinWorkerCrashesOfMember; });
    if (crashCount(id) >= MaxWorkerCrashes && isMet && !task(id).isDone && isOpen()) {
        m_state = JobState::Failed;
    }
}

bool Job::countsCrash(const TaskId &id, Duration ranFor) const
{
    return isOpen() && !task(id).isDone && !(stepSpec(id.step).isLasting && ranFor > LastingTrialTime);
}

bool Job::noteWorkerCrash(const TaskId &id, RunNumber run, Duration ranFor)
{
    auto &task = mutableTask(id);
    if (!countsCrash(id, ranFor)) {
        return false;
    }
    if (std::ranges::find(task.crashedRuns, run) != task.crashedRuns.end()) {
        return false;
    }
    mergeRuns(task.crashedRuns, {&run, 1});
    mergeRuns(crashedRuns(id), {&run, 1});
    failAfterCrashes(id);
    return true;
}

bool Job::notePossibleCrash(const TaskId &id, RunNumber run, Duration ranFor)
{
    auto &task = mutableTask(id);
    if (!countsCrash(id, ranFor) || task.possiblyCrashedRun) {
        return false;
    }
    task.possiblyCrashedRun = run;
    return true;
}

void Job::noteRunLost(const TaskId &id)
{
    mutableTask(id).wasLost = true;
}

template <typename F>
bool Job::isAnyMember(const TaskId &id, F isMet) const
{
    if (id.occurrence >= static_cast<int>(m_occurrences.size())) {
        return false;
    }
    return stepSpec(id.step).isGang ? std::ranges::any_of(step(id.occurrence, id.step).tasks, isMet) : isMet(task(id));
}

bool Job::needsVerifiedStart(const TaskId &id) const
{
    return crashSuspicion(id) > 0 || isAnyMember(id, [](const Task &it) { return it.wasLost; });
}

int Job::crashSuspicion(const TaskId &id) const
{
    const bool isPossible = isAnyMember(id, [](const Task &it) { return it.possiblyCrashedRun.has_value(); });
    return crashCount(id) + (isPossible ? 1 : 0);
}

bool Job::noteHealthyRun(const TaskId &id, Duration ranFor)
{
    if (!stepSpec(id.step).isLasting || ranFor <= LastingTrialTime || !needsVerifiedStart(id)) {
        return false;
    }
    const bool isChanged = crashSuspicion(id) > 0;
    crashedRuns(id).clear();
    const auto clear = [](Task &it) {
        it.crashedRuns.clear();
        it.possiblyCrashedRun.reset();
        it.wasLost = false;
    };
    if (stepSpec(id.step).isGang) {
        std::ranges::for_each(mutableStep(id.occurrence, id.step).tasks, clear);
    } else {
        clear(mutableTask(id));
    }
    return isChanged;
}

void Job::noteAvoidedWorker(const TaskId &id, const WorkerId &worker)
{
    mutableTask(id).avoidedWorkers.push_back(worker);
}

std::span<const WorkerId> Job::avoidedWorkers(const TaskId &id) const
{
    return id.occurrence < static_cast<int>(m_occurrences.size()) ? task(id).avoidedWorkers
                                                                  : std::span<const WorkerId>();
}

// The worker of an earlier run may report its end after a later run has got further.
void Job::noteCheckpoint(const TaskId &id, RunNumber run, std::string_view checkpoint)
{
    const auto note = [&](Task &it) {
        if (run >= it.checkpointRun) {
            it.checkpoint = checkpoint;
            it.checkpointRun = run;
        }
    };
    if (!stepSpec(id.step).isGang) {
        note(mutableTask(id));
        return;
    }
    // All members of a gang resume from the same checkpoint.
    std::ranges::for_each(mutableStep(id.occurrence, id.step).tasks, note);
}

void Job::cancel()
{
    if (isOpen()) {
        m_state = JobState::Cancelled;
    }
}

void Job::abandon()
{
    if (isOpen()) {
        m_state = JobState::Failed;
    }
}

std::int64_t Job::positionOf(int occurrence, int step) const
{
    return occurrence * m_stepPositions.back() + m_stepPositions[static_cast<std::size_t>(step)];
}

std::vector<int> Job::sectionsOf(const TaskId &id) const
{
    const auto position = positionOf(id.occurrence, id.step);
    const bool isGang = stepSpec(id.step).isGang;
    const auto first = (position + (isGang ? 0 : id.index)) / TasksPerSection;
    const auto last = (position + (isGang ? stepSpec(id.step).count - 1 : id.index)) / TasksPerSection;
    std::vector<int> sections{0};
    for (auto n = std::max<std::int64_t>(first, 1); n <= last; ++n) {
        sections.push_back(static_cast<int>(n));
    }
    return sections;
}

JobProgress Job::progress() const
{
    return progressBetween(0, positionOf(static_cast<int>(m_occurrences.size()), 0));
}

JobProgress Job::progress(int section) const
{
    if (m_state == JobState::Failed) {
        return {m_state, {}}; // nothing starts any more, whatever tasks were done
    }
    const auto first = static_cast<std::int64_t>(section) * TasksPerSection;
    return progressBetween(first, first + TasksPerSection);
}

JobProgress Job::progressBetween(std::int64_t first, std::int64_t last) const
{
    JobProgress progress;
    progress.state = m_state;
    auto checkpointBytes = MaxOptionalBytes;
    auto workerBytes = MaxOptionalBytes;
    const int occurrences = static_cast<int>(m_occurrences.size());
    for (int k = 0; k < occurrences && positionOf(k, 0) < last; ++k) {
        auto &steps = progress.occurrences.emplace_back();
        if (positionOf(k + 1, 0) <= first) {
            continue;
        }
        for (int s = 0; s < static_cast<int>(m_spec.steps.size()) && positionOf(k, s) < last; ++s) {
            auto &stored = steps.emplace_back(stepProgress(k, s, first, last));
            std::erase_if(stored.checkpoints, [&](const auto &it) {
                return !takeBytes(checkpointBytes, it.second.text.size() + OptionalPartOverhead);
            });
            std::erase_if(stored.avoidedWorkers, [&](const auto &it) {
                std::size_t bytes = OptionalPartOverhead;
                for (const auto &worker : it.second) {
                    bytes += worker.text().size() + OptionalPartOverhead;
                }
                return !takeBytes(workerBytes, bytes);
            });
        }
    }
    return progress;
}

StepProgress Job::stepProgress(int occurrence, int step, std::int64_t first, std::int64_t last) const
{
    StepProgress stored;
    const auto position = positionOf(occurrence, step);
    const auto &own = this->step(occurrence, step);
    const auto end = std::min<std::int64_t>(last - position, static_cast<std::int64_t>(own.tasks.size()));
    const auto begin = std::clamp<std::int64_t>(first - position, 0, end);
    if (begin == end) {
        return stored;
    }
    if (begin == 0 && !own.failedRuns.empty()) {
        stored.failedRuns[StepProgress::GangIndex] = own.failedRuns;
    }
    if (begin == 0 && !own.crashedRuns.empty()) {
        stored.crashedRuns[StepProgress::GangIndex] = own.crashedRuns;
    }
    stored.tasks.assign(static_cast<std::size_t>(begin), StepProgress::OpenMark);
    for (auto n = begin; n < end; ++n) {
        const auto &task = own.tasks[static_cast<std::size_t>(n)];
        stored.tasks += task.isDone ? StepProgress::DoneMark : StepProgress::OpenMark;
        if (!task.failedRuns.empty()) {
            stored.failedRuns[static_cast<int>(n)] = task.failedRuns;
        }
        if (!task.crashedRuns.empty()) {
            stored.crashedRuns[static_cast<int>(n)] = task.crashedRuns;
        }
        if (task.possiblyCrashedRun) {
            stored.possiblyCrashedRuns[static_cast<int>(n)] = *task.possiblyCrashedRun;
        }
        if (!task.isDone && !task.avoidedWorkers.empty()) {
            stored.avoidedWorkers[static_cast<int>(n)] = task.avoidedWorkers;
        }
        const bool isKept = !task.isDone && !task.endedCheckpoint.text.empty();
        if (isKept && !stepSpec(step).isGang) {
            stored.checkpoints[static_cast<int>(n)] = task.endedCheckpoint;
        } else if (isKept && n == 0) {
            stored.checkpoints[StepProgress::GangIndex] = task.endedCheckpoint;
        }
    }
    return stored;
}

void Job::restoreStep(int occurrence, int step, const StepProgress &stored)
{
    auto &own = mutableStep(occurrence, step);
    for (std::size_t n = 0; n < std::min(stored.tasks.size(), own.tasks.size()); ++n) {
        if (stored.tasks[n] == StepProgress::DoneMark) {
            markDone(occurrence, step, own.tasks[n]);
        }
    }
    // The members of a gang are done together, also if only one of their sections was stored.
    const auto isDone = [](const Task &it) { return it.isDone; };
    if (stepSpec(step).isGang && std::ranges::any_of(own.tasks, isDone)) {
        for (auto &it : own.tasks) {
            markDone(occurrence, step, it);
        }
    }
    for (const auto &[index, runs] : stored.failedRuns) {
        if (index == StepProgress::GangIndex) {
            mergeRuns(own.failedRuns, runs);
        } else if (index >= 0 && index < static_cast<int>(own.tasks.size())) {
            mergeRuns(own.tasks[static_cast<std::size_t>(index)].failedRuns, runs);
        }
    }
    for (const auto &[index, runs] : stored.crashedRuns) {
        if (index == StepProgress::GangIndex) {
            mergeRuns(own.crashedRuns, runs);
        } else if (index >= 0 && index < static_cast<int>(own.tasks.size())) {
            mergeRuns(own.tasks[static_cast<std::size_t>(index)].crashedRuns, runs);
        }
    }
    for (const auto &[index, run] : stored.possiblyCrashedRuns) {
        if (index >= 0 && index < static_cast<int>(own.tasks.size())) {
            own.tasks[static_cast<std::size_t>(index)].possiblyCrashedRun = run;
        }
    }
    for (const auto &[index, workers] : stored.avoidedWorkers) {
        if (index < 0 || index >= static_cast<int>(own.tasks.size())) {
            continue;
        }
        auto &known = own.tasks[static_cast<std::size_t>(index)].avoidedWorkers;
        std::ranges::copy_if(workers, std::back_inserter(known),
                             [&](const WorkerId &it) { return std::ranges::find(known, it) == known.end(); });
    }
    for (const auto &[index, checkpoint] : stored.checkpoints) {
        const auto n = index == StepProgress::GangIndex ? 0 : index;
        if (n < 0 || n >= static_cast<int>(own.tasks.size())) {
            continue;
        }
        const TaskId id{m_key, occurrence, step, n};
        if (own.tasks[static_cast<std::size_t>(n)].checkpointRun < checkpoint.run) {
            noteCheckpoint(id, checkpoint.run, checkpoint.text);
            keepCheckpoint(id);
        }
    }
    for (int n = 0; n < static_cast<int>(own.tasks.size()); ++n) {
        failAfterCrashes({m_key, occurrence, step, n});
    }
}

void Job::restore(const JobProgress &progress)
{
    const auto occurrences = std::min(progress.occurrences.size(), static_cast<std::size_t>(m_spec.occurrenceCount()));
    for (std::size_t k = 0; k < occurrences; ++k) {
        const auto &steps = progress.occurrences[k];
        for (std::size_t s = 0; s < std::min(steps.size(), m_spec.steps.size()); ++s) {
            restoreStep(static_cast<int>(k), static_cast<int>(s), steps[s]);
        }
    }
    const bool isMoreAdvanced = isFinal(progress.state) || m_state == JobState::Queued;
    if (isMoreAdvanced && m_state != JobState::Completed) {
        m_state = progress.state;
    }
    m_hasBegun = m_hasBegun || progress.state != JobState::Queued;
}

} // namespace monsoonspool::jobs
