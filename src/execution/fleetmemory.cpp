// What jobs take of the leader's memory, and those that find no room.
#include "execution/fleetstate.h"
#include "execution/jobage.h"
#include "jobs/names.h"

#include <algorithm>
#include <utility>

namespace monsoonspool::execution {

namespace {

// A job with fewer tasks that are due is not logged as large.
constexpr std::int64_t LargeJobTasks = 1000;
// Of one report, so that the volume does not grow with the number of jobs.
constexpr std::size_t MaxReportedJobs = 4;
// Nothing is reported while jobs take less than this part of their limit.
constexpr std::size_t ReportedPart = 4;
// What a job takes in the tables of the fleet and of the progress writer.
constexpr std::size_t TableBytes = 256;
constexpr std::size_t ForecastBytes = sizeof(jobs::RunTimeForecast) + sizeof(Duration);

} // namespace

void Fleet::setJobMemoryLimit(std::size_t bytes)
{
    d->memory.setLimit(bytes);
}

// Written before anything is built for the job, so that it is the last line of a leader that the job ends.
void Fleet::Private::reportIfLarge(const AcceptedJob &job, jobs::WallTime wall) const
{
    const auto tasks = ordersNeeded(job.spec);
    const auto due = job.spec.dueCount(wall);
    if (static_cast<std::int64_t>(tasks) * due >= LargeJobTasks) {
        log.record("large-job",
                   {{"job", job.key},
                    {"queue", job.policy.queue},
                    {"steps", job.spec.steps.size()},
                    {"tasks", tasks},
                    {"times", job.spec.occurrenceCount()},
                    {"dueTimes", due}});
    }
}

bool Fleet::addJob(AcceptedJob job, TimePoint now, jobs::WallTime wall)
{
    const auto key = job.key;
    if (hasRead(key)) {
        return true;
    }
    d->reportIfLarge(job, wall);
    auto tracked = d->track(std::move(job), now, wall);
    const auto bytes = d->memoryUse(*tracked);
    const auto &queue = tracked->job.queue();
    // A job of a queue whose earlier jobs wait does so too. One is held whatever it takes.
    if (d->deferredJobs.hasJobOf(queue) || (d->memory.used() > 0 && !d->memory.hasRoom(queue, bytes))) {
        if (d->deferredJobs.size() == 0) {
            d->log.record("jobs-deferred",
                          {{"firstJob", key},
                           {"queue", queue},
                           {"queueBytes", d->memory.usedBy(queue)},
                           {"usedBytes", d->memory.used()},
                           {"limitBytes", d->memory.limit()}});
        }
        d->deferredJobs.add(key, queue, tracked->version, bytes);
        const bool hasRun = d->unreadJobs.contains(key) || d->heldEnds.contains(key);
        if (hasRun) {
            d->deferredJobs.request(key);
        }
        return false;
    }
    d->addJob(std::move(tracked), now);
    return true;
}

std::optional<jobs::JobKey> Fleet::takeDeferredJob()
{
    return d->deferredJobs.next([this](std::string_view queue, std::size_t bytes) {
        return d->memory.used() == 0 || d->memory.hasRoom(queue, bytes);
    });
}

bool Fleet::isDeferred(jobs::JobKey key) const
{
    return d->deferredJobs.contains(key);
}

void Fleet::addDeferredJob(AcceptedJob job, TimePoint now, jobs::WallTime wall)
{
    d->deferredJobs.remove(job.key);
    if (d->deferredJobs.size() == 0) {
        d->log.record("no-job-deferred", {{"lastJob", job.key}, {"usedBytes", d->memory.used()}});
    }
    d->addJob(d->track(std::move(job), now, wall), now);
}

std::vector<std::string> Fleet::fullQueues(std::size_t most) const
{
    auto full = d->memory.fullQueues(most);
    d->deferredJobs.forEachQueue([&](const std::string &queue) {
        if (full.size() < most && std::ranges::find(full, queue) == full.end()) {
            full.push_back(queue);
        }
    });
    return full;
}

std::unique_ptr<TrackedJob> Fleet::Private::track(AcceptedJob job, TimePoint now, jobs::WallTime wall) const
{
    const auto unreadFor = jobsReadAt ? std::optional(now - *jobsReadAt) : std::nullopt;
    const auto acceptedAt = now - ageAtReading(job.acceptedAt, wall, unreadFor);
    return std::make_unique<TrackedJob>(std::move(job), acceptedAt);
}

void Fleet::Private::addJob(std::unique_ptr<TrackedJob> tracked, TimePoint now)
{
    const auto key = tracked->job.key();
    auto &job = *(jobsByKey[key] = std::move(tracked));
    readJobs.insert(key);
    recountMemory(job);
    jobsToPlace.insert(key);
    if (isCountedByOutcome(job.job.spec())) {
        counts.outcomes.noteAccepted(job.job.queue(), ordersNeeded(job.job.spec()));
    }
    if (unreadJobs.erase(key) > 0) {
        takeOverRunsOf(job);
    }
    applyHeldEnds(key, now);
}

std::size_t Fleet::Private::memoryUse(const TrackedJob &job)
{
    return sizeof(job) + TableBytes + job.job.memoryUse() + job.job.spec().steps.size() * ForecastBytes;
}

void Fleet::Private::recountMemory(TrackedJob &job)
{
    const auto bytes = memoryUse(job);
    memory.change(job.job.queue(), job.countedBytes, bytes);
    job.countedBytes = bytes;
}

void Fleet::Private::eraseJob(jobs::JobKey key)
{
    const auto it = jobsByKey.find(key);
    const auto &job = *it->second;
    openTimedSteps -= job.openTimedSteps;
    counts.overdueOccurrences -= static_cast<std::size_t>(job.overdueOccurrences);
    memory.change(job.job.queue(), job.countedBytes, 0);
    jobsByKey.erase(it);
}

void Fleet::Private::noteDeferredProgress(jobs::JobKey key, const jobs::JobProgress &progress)
{
    if (jobs::isFinal(progress.state)) {
        forgetDeferred(key, progress.state);
    } else if (progress.state != jobs::JobState::Queued) {
        deferredJobs.markBegun(key);
    }
}

// Runs of the job that workers list are stopped now, and its ends are of no use.
void Fleet::Private::forgetDeferred(jobs::JobKey key, jobs::JobState state)
{
    if (const auto version = deferredJobs.versionOf(key)) {
        deferredJobs.remove(key);
        readJobs.insert(key);
        auto &dropped = unreportedWorkers.empty() ? droppedJobs : overWhileDeferred;
        dropped.push_back({key, *version, state == jobs::JobState::Cancelled});
    }
}

void Fleet::Private::reportMemory(TimePoint now)
{
    if (now < memoryReportDueAt) {
        return;
    }
    memoryReportDueAt = now + MemoryReportInterval;
    if (deferredJobs.size() == 0 && counts.overdueOccurrences == 0 && memory.used() * ReportedPart < memory.limit()) {
        return;
    }
    log.record("job-memory",
               {{"usedBytes", memory.used()},
                {"limitBytes", memory.limit()},
                {"jobs", jobsByKey.size()},
                {"deferredJobs", deferredJobs.size()},
                {"openTimedSteps", openTimedSteps},
                {"overdueTimes", counts.overdueOccurrences}});
    std::vector<const TrackedJob *> largest;
    for (const auto &[key, it] : jobsByKey) {
        largest.push_back(it.get());
    }
    const auto end = largest.begin() + static_cast<std::ptrdiff_t>(std::min(largest.size(), MaxReportedJobs));
    std::ranges::partial_sort(largest, end, [](const TrackedJob *a, const TrackedJob *b) {
        return std::pair(b->countedBytes, a->job.key()) < std::pair(a->countedBytes, b->job.key());
    });
    largest.erase(end, largest.end());
    for (const auto *it : largest) {
        log.record("job-takes-memory",
                   {{"job", it->job.key()},
                    {"queue", it->job.queue()},
                    {"bytes", it->countedBytes},
                    {"openTimes", it->job.occurrences().size()},
                    {"overdueTimes", it->overdueOccurrences}});
    }
}

} // namespace monsoonspool::execution
