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

// What an entry of a std::map takes besides its key and value.
constexpr std::size_t MapEntryOverhead = 40;

// Returns the approximate number of bytes of the job's description.
std::size_t descriptionBytes(const JobSpec &spec)
{
    auto bytes = spec.payload.capacity();
    for (const auto &it : spec.steps) {
        bytes += sizeof(it) + it.after.capacity() * sizeof(int) + it.requiredLabel.capacity() + it.dataRack.capacity()
            + it.image.capacity();
    }
    return bytes;
}

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
        m_firstTasks += it.after.empty() ? it.count : 0;
    }
    m_descriptionBytes = descriptionBytes(m_spec);
    if (!m_spec.isTimed()) {
        mutableOccurrence(0);
        m_nextOccurrence = 1;
    }
}

bool Job::isOver(int occurrence) const
{
    return static_cast<std::size_t>(occurrence) < m_areOver.size() && m_areOver[static_cast<std::size_t>(occurrence)];
}

WallTime Job::dueAt(int occurrence) const
{
    return m_spec.firstDue + m_spec.interval * static_cast<std::int64_t>(occurrence);
}

// A worker may report a run of an occurrence that is not due by this host's clock, or that is over.
Occurrence &Job::mutableOccurrence(int occurrence)
{
    const auto [it, isNew] = m_occurrences.try_emplace(occurrence);
    if (isNew) {
        const bool isDone = isOver(occurrence);
        for (const auto &spec : m_spec.steps) {
            it->second.steps.emplace_back(spec.count, isDone);
        }
        it->second.openSteps = isDone ? 0 : static_cast<int>(m_spec.steps.size());
    }
    return it->second;
}

int Job::overdueCount(WallTime now) const
{
    return std::max(m_spec.dueCount(now) - m_nextOccurrence, 0);
}

std::int64_t Job::openSteps() const
{
    const auto open = std::ranges::count_if(m_occurrences, [](const auto &it) { return !it.second.isDone(); });
    return open * static_cast<std::int64_t>(m_spec.steps.size());
}

std::int64_t Job::readyTasks() const
{
    std::int64_t tasks = 0;
    for (const auto &[number, it] : m_occurrences) {
        for (int s = 0; !it.isDone() && s < static_cast<int>(it.steps.size()); ++s) {
            const int waiting = it.steps[static_cast<std::size_t>(s)].waitingCount();
            tasks += waiting > 0 && isReady(number, s) ? waiting : 0;
        }
    }
    return tasks;
}

void Job::openDueOccurrences(WallTime now, const OccurrenceLimits &limits)
{
    releaseDone();
    if (!isOpen() || overdueCount(now) == 0) {
        return;
    }
    const auto steps = static_cast<std::int64_t>(m_spec.steps.size());
    auto ready = readyTasks();
    auto open = openSteps();
    while (hasLaterOccurrence() && dueAt(m_nextOccurrence) <= now) {
        const bool isKnown = isOver(m_nextOccurrence) || m_occurrences.contains(m_nextOccurrence);
        if (!isKnown) {
            ready += m_firstTasks;
            open += steps;
            if (open > steps && (ready > limits.readyTasks || open > limits.openSteps)) {
                return;
            }
            mutableOccurrence(m_nextOccurrence);
        }
        ++m_nextOccurrence;
    }
}

void Job::releaseDone()
{
    for (auto it = m_occurrences.begin(); it != m_occurrences.end();) {
        if (!m_spec.isTimed() || !it->second.isDone() || it->second.activeRuns > 0) {
            for (auto &step : it->second.steps) {
                step.releaseDone();
            }
            ++it;
            continue;
        }
        m_areOver.resize(static_cast<std::size_t>(m_spec.occurrenceCount()));
        m_areOver[static_cast<std::size_t>(it->first)] = true;
        it = m_occurrences.erase(it);
    }
}

std::size_t Job::memoryUse() const
{
    std::size_t bytes = sizeof(*this) + m_descriptionBytes + m_areOver.size() / 8;
    for (const auto &[number, it] : m_occurrences) {
        bytes += sizeof(std::pair<const int, Occurrence>) + MapEntryOverhead;
        for (const auto &step : it.steps) {
            bytes += step.memoryUse();
        }
    }
    return bytes;
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
    return m_occurrences.at(occurrence).steps[static_cast<std::size_t>(step)];
}

Step &Job::mutableStep(int occurrence, int step)
{
    return mutableOccurrence(occurrence).steps[static_cast<std::size_t>(step)];
}

const Task &Job::task(const TaskId &id) const
{
    if (m_occurrences.contains(id.occurrence)) {
        return step(id.occurrence, id.step).task(id.index);
    }
    static const Step newStep(1);
    static const Step doneStep(1, true);
    return isOver(id.occurrence) ? doneStep.task(0) : newStep.task(0);
}

Task &Job::mutableTask(const TaskId &id)
{
    return mutableStep(id.occurrence, id.step).mutableTask(id.index);
}

std::optional<RunNumber> Job::doneRun(const TaskId &id) const
{
    return m_occurrences.contains(id.occurrence) ? step(id.occurrence, id.step).doneRun(id.index) : std::nullopt;
}

std::int64_t Job::doneCount() const
{
    std::int64_t count = std::ranges::count(m_areOver, true) * m_stepPositions.back();
    for (const auto &[number, occurrence] : m_occurrences) {
        for (const auto &it : occurrence.steps) {
            count += isOver(number) ? 0 : it.doneCount();
        }
    }
    return count;
}

bool Job::isReady(int occurrence, int step) const
{
    const auto &all = m_occurrences.at(occurrence).steps;
    return std::ranges::all_of(stepSpec(step).after,
                               [&](int it) { return all[static_cast<std::size_t>(it)].isDone(); });
}

void Job::noteRunOrdered(const TaskId &id, RunNumber run)
{
    mutableStep(id.occurrence, id.step).noteRunOrdered(id.index, run);
    ++mutableOccurrence(id.occurrence).activeRuns;
    if (m_state == JobState::Queued) {
        m_state = JobState::Running;
    }
}

void Job::markDone(int occurrence, int step, int index, std::optional<RunNumber> run)
{
    auto &owner = mutableStep(occurrence, step);
    if (!owner.markDone(index, run) || !owner.isDone()) {
        return;
    }
    auto &all = mutableOccurrence(occurrence);
    if (--all.openSteps == 0) {
        ++m_doneOccurrences;
    }
    if (m_doneOccurrences == m_spec.occurrenceCount() && isOpen()) {
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
    mutableStep(id.occurrence, id.step).noteRunOver(id.index);
    auto &occurrence = mutableOccurrence(id.occurrence);
    occurrence.activeRuns = std::max(occurrence.activeRuns - 1, 0);
}

bool Job::noteRunEnd(const TaskId &id, RunNumber run, RunEnd end, std::string_view checkpoint, int maxAttempts,
                     TimePoint now)
{
    if (this->task(id).isDone) {
        return false;
    }
    auto &task = mutableTask(id);
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
        markDone(id.occurrence, id.step, id.index, run);
        if (stepSpec(id.step).isGang) {
            markGangDone(id.occurrence, id.step);
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
    mutableStep(id.occurrence, id.step).changeKnown([&](Task &it) { it.endedCheckpoint = kept; });
    return true;
}

std::vector<RunNumber> &Job::crashedRuns(const TaskId &id)
{
    return stepSpec(id.step).isGang ? mutableStep(id.occurrence, id.step).crashedRuns : mutableTask(id).crashedRuns;
}

int Job::crashCount(const TaskId &id) const
{
    if (!m_occurrences.contains(id.occurrence)) {
        return 0;
    }
    const auto &crashed = stepSpec(id.step).isGang ? step(id.occurrence, id.step).crashedRuns : task(id).crashedRuns;
    return static_cast<int>(crashed.size());
}

// Crashes under a gang may each have met another member. At least one member must have met two.
void Job::failAfterCrashes(const TaskId &id)
{
    const bool isMet = !stepSpec(id.step).isGang || step(id.occurrence, id.step).isAnyKnown([](const Task &it) {
        return it.crashedRuns.size() >= MinWorkerCrashesOfMember;
    });
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
    if (!countsCrash(id, ranFor)) {
        return false;
    }
    auto &task = mutableTask(id);
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
    if (!countsCrash(id, ranFor) || task(id).possiblyCrashedRun) {
        return false;
    }
    mutableTask(id).possiblyCrashedRun = run;
    return true;
}

void Job::noteRunLost(const TaskId &id)
{
    if (!task(id).isDone) {
        mutableTask(id).wasLost = true;
    }
}

template <typename F>
bool Job::isAnyMember(const TaskId &id, F isMet) const
{
    if (!m_occurrences.contains(id.occurrence)) {
        return false;
    }
    return stepSpec(id.step).isGang ? step(id.occurrence, id.step).isAnyKnown(isMet) : isMet(task(id));
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
        mutableStep(id.occurrence, id.step).changeKnown(clear);
    } else {
        clear(mutableTask(id));
    }
    return isChanged;
}

void Job::noteAvoidedWorker(const TaskId &id, const WorkerId &worker)
{
    if (!task(id).isDone) {
        mutableTask(id).avoidedWorkers.push_back(worker);
    }
}

std::span<const WorkerId> Job::avoidedWorkers(const TaskId &id) const
{
    return task(id).avoidedWorkers;
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
    if (task(id).isDone) {
        return;
    }
    if (!stepSpec(id.step).isGang) {
        note(mutableTask(id));
        return;
    }
    // All members of a gang resume from the same checkpoint.
    for (int n = 0; n < stepSpec(id.step).count; ++n) {
        note(mutableStep(id.occurrence, id.step).mutableTask(n));
    }
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
    return progressBetween(0, positionOf(m_spec.occurrenceCount(), 0));
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
    const auto tasks = m_stepPositions.back();
    const int begin = static_cast<int>(std::min<std::int64_t>(first / tasks, m_spec.occurrenceCount()));
    const int end = static_cast<int>(std::min<std::int64_t>((last + tasks - 1) / tasks, m_spec.occurrenceCount()));
    progress.firstOccurrence = begin < MaxPaddedOccurrences ? 0 : begin;
    for (int k = begin; k < end; ++k) {
        const bool isKnown = isOver(k)
            || (m_occurrences.contains(k)
                && !std::ranges::all_of(m_occurrences.at(k).steps, [](const Step &it) { return it.isUntouched(); }));
        if (!isKnown) {
            continue;
        }
        progress.occurrences.resize(static_cast<std::size_t>(k - progress.firstOccurrence));
        auto &steps = progress.occurrences.emplace_back();
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
    const auto end = std::min<std::int64_t>(last - position, stepSpec(step).count);
    const auto begin = std::clamp<std::int64_t>(first - position, 0, end);
    if (begin == end) {
        return stored;
    }
    if (isOver(occurrence)) {
        stored.tasks.assign(static_cast<std::size_t>(begin), StepProgress::OpenMark);
        stored.tasks.append(static_cast<std::size_t>(end - begin), StepProgress::DoneMark);
        return stored;
    }
    const auto &own = this->step(occurrence, step);
    if (own.isUntouched()) {
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
        const auto &task = own.task(static_cast<int>(n));
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

void Job::markGangDone(int occurrence, int step)
{
    for (int n = 0; n < stepSpec(step).count; ++n) {
        markDone(occurrence, step, n);
    }
}

void Job::restoreStep(int occurrence, int step, const StepProgress &stored)
{
    const auto count = static_cast<std::size_t>(stepSpec(step).count);
    const auto taskOf = [&](int index) { return TaskId{m_key, occurrence, step, index}; };
    const auto isMember = [&](int index) { return index >= 0 && index < static_cast<int>(count); };
    for (std::size_t n = 0; n < std::min(stored.tasks.size(), count); ++n) {
        if (stored.tasks[n] == StepProgress::DoneMark) {
            markDone(occurrence, step, static_cast<int>(n));
        }
    }
    // The members of a gang are done together, also if only one of their sections was stored.
    if (stepSpec(step).isGang && stored.tasks.find(StepProgress::DoneMark) < count) {
        markGangDone(occurrence, step);
    }
    for (const auto &[index, runs] : stored.failedRuns) {
        if (index == StepProgress::GangIndex) {
            mergeRuns(mutableStep(occurrence, step).failedRuns, runs);
        } else if (isMember(index)) {
            mergeRuns(mutableTask(taskOf(index)).failedRuns, runs);
        }
    }
    for (const auto &[index, runs] : stored.crashedRuns) {
        if (index == StepProgress::GangIndex) {
            mergeRuns(mutableStep(occurrence, step).crashedRuns, runs);
        } else if (isMember(index)) {
            mergeRuns(mutableTask(taskOf(index)).crashedRuns, runs);
        }
    }
    for (const auto &[index, run] : stored.possiblyCrashedRuns) {
        if (isMember(index)) {
            mutableTask(taskOf(index)).possiblyCrashedRun = run;
        }
    }
    for (const auto &[index, workers] : stored.avoidedWorkers) {
        if (!isMember(index)) {
            continue;
        }
        auto &known = mutableTask(taskOf(index)).avoidedWorkers;
        std::ranges::copy_if(workers, std::back_inserter(known),
                             [&](const WorkerId &it) { return std::ranges::find(known, it) == known.end(); });
    }
    for (const auto &[index, checkpoint] : stored.checkpoints) {
        const auto n = index == StepProgress::GangIndex ? 0 : index;
        if (isMember(n) && task(taskOf(n)).checkpointRun < checkpoint.run) {
            noteCheckpoint(taskOf(n), checkpoint.run, checkpoint.text);
            keepCheckpoint(taskOf(n));
        }
    }
    for (const auto &[index, runs] : stored.crashedRuns) {
        const auto n = index == StepProgress::GangIndex ? 0 : index;
        if (isMember(n)) {
            failAfterCrashes(taskOf(n));
        }
    }
}

void Job::restore(const JobProgress &progress)
{
    const auto first = static_cast<std::size_t>(std::max(progress.firstOccurrence, 0));
    const auto count = static_cast<std::size_t>(m_spec.occurrenceCount());
    const auto occurrences = std::min(progress.occurrences.size(), count - std::min(first, count));
    for (std::size_t n = 0; n < occurrences; ++n) {
        const auto &steps = progress.occurrences[n];
        for (std::size_t s = 0; s < std::min(steps.size(), m_spec.steps.size()); ++s) {
            restoreStep(static_cast<int>(first + n), static_cast<int>(s), steps[s]);
        }
    }
    releaseDone();
    const bool isMoreAdvanced = isFinal(progress.state) || m_state == JobState::Queued;
    if (isMoreAdvanced && m_state != JobState::Completed) {
        m_state = progress.state;
    }
    m_hasBegun = m_hasBegun || progress.state != JobState::Queued;
}

} // namespace monsoonspool::jobs
