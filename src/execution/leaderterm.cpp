#include "execution/leaderterm.h"

#include "execution/interferencepersister.h"
#include "execution/jobrowreader.h"
#include "execution/progresswriter.h"
#include "execution/rosterwriter.h"
#include "execution/rowlayout.h"
#include "execution/startlimiter.h"
#include "execution/tablewatcher.h"
#include "execution/workercontroller.h"
#include "jobs/names.h"
#include "workers/worker.h"

#include <algorithm>
#include <set>

namespace monsoonspool::execution {

namespace {

// Batches events that arrive together into one plan.
constexpr Duration PlanDelay = 3ms;
// A plan visits every open job. With many jobs, plans are made less often, so that a
// slow host keeps up with its workers.
constexpr Duration PlanDelayPerJob = 60us;
constexpr Duration MaxPlanDelay = 60ms;
// Longest time between plans, for changes that only the passing of time causes.
constexpr Duration PlanInterval = 150ms;
// Timeout of a long poll for changes. A cancellation or a leaving worker must be seen
// within 2 s even if the answer that reports it is lost, which is noticed only after
// this timeout and the client's slack.
constexpr Duration WatchTimeout = 1s;
// Shorter, as an answer without changes shows only what was stored before the poll was sent.
constexpr Duration WorkersWatchTimeout = 700ms;
// A tick that is later than this tells that events are handled late.
constexpr Duration MaxTickDelay = 300ms;
// A former leader's last lease renewal may arrive shortly after the claim.
constexpr Duration FormerLeaseSlack = 1s;
// Until a worker has ended the runs of a lease that has expired.
constexpr Duration LeaseEndSlack = 500ms;

} // namespace

struct LeaderTerm::Private : std::enable_shared_from_this<LeaderTerm::Private>
{
    Private(ExecutionPorts executionPorts, Hooks h)
        : ports(std::move(executionPorts)), hooks(std::move(h)), fleet(ports.log),
          loadReport(ports.log, ports.scheduler.now(), ports.processorTime())
    {
    }

    void begin(const LeaderTermStart &start)
    {
        const auto now = ports.scheduler.now();
        rosterWriter.emplace(ports.store, ports.scheduler, ports.codec, fleet, ports.log, start.claimVersion,
                             start.roster, [this] { requestPlan(); });
        // A leader that has stopped may have granted a lease just before the claim. The leases of
        // one that has not end with its right to decide.
        const auto formerLeasesEnd = std::max(now + LongestLease, start.formersDecideUntil) + FormerLeaseSlack;
        fleet.setRemoteRunTimeFactor(start.remoteRunTimeFactor);
        fleet.beginTerm(start.fence, start.claimVersion, rosterWriter->entries(), formerLeasesEnd, now,
                        start.silentWorkers);
        fleet.setQueues(start.queues);
        fleet.setMoveCost(start.moveCost);
        fleet.setJobMemoryLimit(start.jobMemoryLimit);
        if (start.evacuations) {
            fleet.setEvacuations(*start.evacuations);
        }
        tombstoneRemover.emplace(ports.store, ports.scheduler, ports.codec, ports.log);
        endedJobRemover.emplace(ports.store, ports.scheduler, ports.codec, ports.log,
                                [this](jobs::JobKey key) { fleet.forget(key); });
        interferencePersister.emplace(ports.store, ports.scheduler, ports.codec, fleet, ports.log);
        progressWriter.emplace(ports.store, ports.scheduler, ports.codec, fleet, ports.log, start.claimVersion,
                               hooks.onFenced);
        workerController.emplace(ports.workers, ports.scheduler, fleet,
                                 WorkerController::Hooks{[this] { requestPlan(); }, [this] { onStartAnswered(); },
                                                         hooks.onFenced, hooks.mayDecide});
        jobWatcher.emplace(ports.store, ports.scheduler, ports.log, std::string(JobsTable), jobParts(), WatchTimeout,
                           TableWatcher::Hooks{[this](auto) { onJobsRead(); }, [this](auto rows) { onJobRows(rows); },
                                               [](Duration) {},
                                               [this](TimePoint time, std::uint64_t version) {
                                                   jobsReadAt = time;
                                                   jobsReadVersion = version;
                                                   fleet.noteJobsRead(time);
                                               },
                                               [this](auto rows) { onJobRows(rows); }});
    }

    void shortenFormerLeases(TimePoint time, Duration slack, std::string_view event)
    {
        const auto now = ports.scheduler.now();
        const auto formerEnd = fleet.formerLeasesEnd();
        fleet.shortenFormerLeases(time + slack);
        const auto end = fleet.formerLeasesEnd();
        if (end < formerEnd) {
            ports.log.record(event,
                             {{"fence", fleet.fence().value},
                              {"leasesEndInMs", toMilliseconds(time - now)},
                              {"waitBeforeMs", toMilliseconds(formerEnd - now)},
                              {"waitMs", toMilliseconds(end - now)}});
            requestPlan();
        }
    }

    void onJobsRead()
    {
        if (isLoaded || progressReader) {
            return; // a later snapshot, after the store dropped its history
        }
        // Read after the jobs, so that it includes the progress of every job read.
        progressReader.emplace(ports.store, ports.scheduler, ports.log, std::string(ProgressTable), jobParts(),
                               WatchTimeout,
                               TableWatcher::Hooks{[this](auto) { onProgressRead(); },
                                                   [](auto) {},
                                                   [](Duration) {},
                                                   {},
                                                   [this](auto rows) {
                                                       for (const auto &it : rows) {
                                                           onProgressRow(it);
                                                       }
                                                   }});
    }

    void onProgressRead()
    {
        isLoaded = true;
        ports.log.record("tenure-loaded",
                         {{"fence", fleet.fence().value},
                          {"openJobs", fleet.counts().openJobs},
                          {"workers", fleet.counts().workers}});
        workerWatcher.emplace(
            ports.store, ports.scheduler, ports.log, ports.registry.workersTable(),
            std::vector<std::string>{std::string()}, WorkersWatchTimeout,
            TableWatcher::Hooks{[this](auto entries) { onWorkerSnapshot(entries); },
                                [this](auto entries) { onWorkerRows(entries); }, [](Duration) {},
                                [this](TimePoint time, std::uint64_t) { fleet.noteWorkersRead(time); }});
        workerController->trackWorkers();
        tick();
        ports.scheduler.runAfter(Duration(0), [self = shared_from_this()] { self->progressReader.reset(); });
    }

    void onProgressRow(const ports::StoredRow &row)
    {
        const auto section = progressSectionOfKey(row.name.key);
        if (!section || row.isRemoved) {
            return;
        }
        handleFailure(
            [&]() -> Result<void> {
                BOOST_LEAF_AUTO(progress, ports.codec.decodeProgress(row.value));
                if (!progress.isAccepted) {
                    tombstoneRemover->noteRead(section->job, row.version); // there is no such job
                    return {};
                }
                fleet.restoreProgress(section->job, progress);
                if (fleet.find(section->job) != nullptr) {
                    progressWriter->recordVersion(*section, row.version);
                } else if (section->number > 0) {
                    endedJobRemover->noteSection(section->job, section->number);
                } else if (jobs::isFinal(progress.state)) {
                    endedJobRemover->noteProgress(section->job, row.version);
                }
                return {};
            },
            [&](const Failure &failure) {
                ports.log.record("row-unreadable", {{"key", row.name.key}, {"detail", failure.detail}});
            });
    }

    void onJobRows(std::span<const ports::StoredRow> rows)
    {
        for (const auto &row : rows) {
            if (const auto cancelled = jobOfTombstoneKey(row.name.key)) {
                if (row.isRemoved) {
                    tombstoneRemover->noteRemoved(*cancelled, row.version);
                } else {
                    tombstoneRemover->noteRead(*cancelled, row.version);
                }
                continue;
            }
            const auto key = jobOfKey(row.name.key);
            if (!key || row.isRemoved) {
                continue;
            }
            if (isCancelKey(row.name.key)) {
                noteCancelledProgress(*key, row.version);
                fleet.cancel(*key);
            } else if (!fleet.hasRead(*key)) {
                onJobRow(*key, row);
            }
        }
        requestPlan();
    }

    // The same commit has written the job's progress row.
    void noteCancelledProgress(jobs::JobKey key, std::uint64_t version)
    {
        if (fleet.find(key) != nullptr) {
            progressWriter->recordVersion({key, 0}, version);
        } else if (fleet.isDeferred(key)) {
            endedJobRemover->noteProgress(key, version);
        }
    }

    // Leaves the rows of jobs that are over to their removal.
    void releaseDroppedJobs()
    {
        for (const auto &it : fleet.takeDroppedJobs()) {
            endedJobRemover->noteOver(it.key, it.version, it.isCancelled);
            for (const auto &[section, version] : progressWriter->takeVersions(it.key)) {
                if (section == 0) {
                    endedJobRemover->noteProgress(it.key, version);
                } else {
                    endedJobRemover->noteSection(it.key, section);
                }
            }
        }
    }

    void onJobRow(jobs::JobKey key, const ports::StoredRow &row)
    {
        handleFailure(
            [&]() -> Result<void> {
                BOOST_LEAF_AUTO(job, decodeJob(key, row));
                if (job.knownFence > fleet.fence()) {
                    ports.log.record(
                        "job-of-successor",
                        {{"job", key}, {"jobFence", job.knownFence.value}, {"fence", fleet.fence().value}});
                    hooks.onFenced();
                }
                if (fleet.addJob(std::move(job), ports.scheduler.now(), ports.wallNow())) {
                    progressWriter->recordVersion({key, 0}, row.version);
                }
                return {};
            },
            [&](const Failure &failure) { onUnreadableJob(key, row, failure); });
    }

    void onUnreadableJob(jobs::JobKey key, const ports::StoredRow &row, const Failure &failure)
    {
        fleet.addUnreadableJob(key);
        ports.log.record("row-unreadable", {{"key", row.name.key}, {"detail", failure.detail}});
    }

    // Fails also for a job that no host accepts, whatever has written its row.
    Result<AcceptedJob> decodeJob(jobs::JobKey key, const ports::StoredRow &row) const
    {
        BOOST_LEAF_AUTO(job, ports.codec.decodeJob(row.value));
        BOOST_LEAF_CHECK(jobs::validate(job.spec));
        job.key = key;
        job.version = row.version;
        return job;
    }

    // Reads one deferred job at a time, as soon as there is room for it.
    void readDeferredJob()
    {
        if (isReadingDeferred || !isLoaded) {
            return;
        }
        const auto key = fleet.takeDeferredJob();
        if (!key) {
            return;
        }
        isReadingDeferred = true;
        deferredReader.emplace(ports.store, ports.scheduler, *key, [this, key = *key](const auto &rows) {
            isReadingDeferred = false;
            if (rows && fleet.isDeferred(key)) {
                onDeferredRead(key, *rows);
            }
            requestPlan();
        });
    }

    void onDeferredRead(jobs::JobKey key, const JobRows &rows)
    {
        if (!rows.job) {
            onUnreadableJob(key, {jobRow(key), {}, 0}, {ErrorKind::MalformedMessage, "the row was removed"});
            return;
        }
        handleFailure(
            [&]() -> Result<void> {
                BOOST_LEAF_AUTO(job, decodeJob(key, *rows.job));
                progressWriter->recordVersion({key, 0}, rows.job->version);
                fleet.addDeferredJob(std::move(job), ports.scheduler.now(), ports.wallNow());
                return {};
            },
            [&](const Failure &failure) { onUnreadableJob(key, *rows.job, failure); });
        for (const auto &it : rows.progress) {
            onProgressRow(it);
        }
    }

    void onWorkerSnapshot(std::span<const ports::StoredRow> rows)
    {
        std::set<WorkerId> listed;
        for (const auto &it : rows) {
            listed.insert(WorkerId(it.name.key));
        }
        for (const auto &id : fleet.workerIds()) {
            if (!listed.contains(id)) {
                fleet.removeWorker(id, ports.scheduler.now());
            }
        }
        onWorkerRows(rows);
    }

    void onWorkerRows(std::span<const ports::StoredRow> rows)
    {
        const auto now = ports.scheduler.now();
        for (const auto &row : rows) {
            if (row.isRemoved) {
                fleet.removeWorker(WorkerId(row.name.key), now);
                continue;
            }
            handleFailure(
                [&]() -> Result<void> {
                    BOOST_LEAF_AUTO(entry, ports.registry.decodeWorker(row.name.key, row.value));
                    fleet.updateWorker(entry, now);
                    return {};
                },
                [&](const Failure &failure) {
                    // The entry may come from another writer; the worker is not used.
                    ports.log.record("worker-entry-unreadable", {{"worker", row.name.key}, {"detail", failure.detail}});
                    fleet.removeWorker(WorkerId(row.name.key), now);
                });
        }
        workerController->trackWorkers();
        rosterWriter->requestWrite();
        requestPlan();
    }

    void tick()
    {
        tickDueAt = ports.scheduler.now() + PlanInterval;
        ports.scheduler.runAfter(PlanInterval, [self = shared_from_this()] {
            if (!self->isClosed) {
                const auto now = self->ports.scheduler.now();
                self->updateStartLimit(now - self->tickDueAt, now);
                self->plan();
                self->tick();
            }
        });
    }

    void updateStartLimit(Duration lateness, TimePoint now)
    {
        const int formerLimit = startLimiter.limit();
        startLimiter.update(lateness, workerController->takeStartRoundTrips(), now);
        loadReport.noteLimit(startLimiter, lateness);
        workerController->setLateness(startLimiter.lateness());
        if (startLimiter.limit() < formerLimit) {
            ports.log.record("start-limit-lowered",
                             {{"limit", startLimiter.limit()},
                              {"latenessMs", toMilliseconds(lateness)},
                              {"queueingMs", toMilliseconds(startLimiter.queueing())}});
        }
        loadReport.reportIfDue(fleet.counts(), workerController->startsUnderWay(), now, ports.processorTime());
    }

    void onStartAnswered()
    {
        if (areStartsLimited) {
            requestPlan();
        }
    }

    void requestPlan()
    {
        if (isPlanScheduled || !isLoaded || isClosed) {
            return;
        }
        isPlanScheduled = true;
        const auto delay = PlanDelay + PlanDelayPerJob * static_cast<int>(fleet.counts().openJobs);
        ports.scheduler.runAfter(std::min(delay, MaxPlanDelay), [self = shared_from_this()] {
            self->isPlanScheduled = false;
            if (!self->isClosed) {
                self->plan();
            }
        });
    }

    void plan()
    {
        if (!isLoaded) {
            return;
        }
        const auto beganAt = ports.scheduler.now();
        const auto usedBefore = ports.processorTime();
        planAt(beganAt);
        loadReport.notePlan(ports.scheduler.now() - beganAt, ports.processorTime() - usedBefore);
    }

    void planAt(TimePoint now)
    {
        readDeferredJob();
        // A plan that was scheduled before the host was paused runs before the tick that is overdue.
        if (now - tickDueAt > MaxTickDelay) {
            fleet.noteDelayed(now);
        }
        if (!hooks.mayDecide()) {
            return;
        }
        const int maxStarts = startLimiter.available(workerController->startsUnderWay());
        const auto orders = fleet.plan(now, ports.wallNow(), maxStarts);
        areStartsLimited = orders.areStartsLimited;
        if (areStartsLimited) {
            startLimiter.noteReached();
        }
        workerController->dispatch(orders);
        progressWriter->requestWrite();
        rosterWriter->requestWrite();
        interferencePersister->writeIfDue(now);
        tombstoneRemover->removeIfDue(now);
        releaseDroppedJobs();
        endedJobRemover->removeIfDue(now);
    }

    ExecutionPorts ports;
    Hooks hooks;
    Fleet fleet;
    std::optional<RosterWriter> rosterWriter;
    std::optional<TombstoneRemover> tombstoneRemover;
    std::optional<EndedJobRemover> endedJobRemover;
    std::optional<InterferencePersister> interferencePersister;
    std::optional<ProgressWriter> progressWriter;
    std::optional<WorkerController> workerController;
    std::optional<TableWatcher> jobWatcher;
    std::optional<TableWatcher> progressReader;
    std::optional<TableWatcher> workerWatcher;
    std::optional<JobRowReader> deferredReader;
    bool isReadingDeferred = false;
    StartLimiter startLimiter;
    LeaderLoadReport loadReport;
    TimePoint tickDueAt;
    TimePoint jobsReadAt; // all jobs stored before this time have been read
    std::uint64_t jobsReadVersion = 0; // of the store
    bool areStartsLimited = false; // the last plan left starts for later
    bool isLoaded = false;
    bool isPlanScheduled = false;
    bool isClosed = false;
};

LeaderTerm::LeaderTerm(ExecutionPorts ports, LeaderTermStart start, Hooks hooks)
    : d(std::make_shared<Private>(std::move(ports), std::move(hooks)))
{
    d->begin(start);
}

LeaderTerm::~LeaderTerm()
{
    d->isClosed = true;
    d->jobWatcher.reset();
    d->progressReader.reset();
    d->workerWatcher.reset();
    d->deferredReader.reset();
    d->workerController.reset();
    d->progressWriter.reset();
    d->interferencePersister.reset();
    d->endedJobRemover.reset();
    d->tombstoneRemover.reset();
    d->rosterWriter.reset();
}

void LeaderTerm::setQueues(std::span<const jobs::QueuePolicy> queues)
{
    d->fleet.setQueues(queues);
    d->requestPlan();
}

void LeaderTerm::setEvacuations(const membership::Evacuations &evacuations)
{
    d->fleet.setEvacuations(evacuations);
}

void LeaderTerm::noteRenewed(TimePoint sentAt, TimePoint termEnd)
{
    d->fleet.noteTermRenewed(sentAt, termEnd);
}

void LeaderTerm::noteFormersEnd(TimePoint time)
{
    d->shortenFormerLeases(time, FormerLeaseSlack, "former-leader-ended");
}

void LeaderTerm::noteFormersUnsupported(TimePoint time)
{
    d->shortenFormerLeases(time, LeaseEndSlack, "former-leaders-unsupported");
}

std::vector<membership::SilentWorker> LeaderTerm::takeSilentWorkers(TimePoint now, Duration minSilence)
{
    return d->fleet.takeSilentWorkers(now, minSilence);
}

void LeaderTerm::markSilentWorkersStored()
{
    d->fleet.markSilentWorkersStored();
    d->requestPlan();
}

bool LeaderTerm::awaitsRowRenewal(TimePoint now) const
{
    return d->fleet.awaitsRowRenewal(now);
}

membership::WitnessAnswers LeaderTerm::witnessAnswers(std::span<const membership::Witness> witnesses) const
{
    return d->fleet.witnessAnswers(witnesses);
}

std::vector<membership::WitnessCandidate> LeaderTerm::witnessCandidates() const
{
    return d->fleet.witnessCandidates();
}

void LeaderTerm::setWitnesses(std::span<const membership::Witness> witnesses)
{
    d->fleet.setWitnesses(witnesses);
}

TimePoint LeaderTerm::leasesEnd() const
{
    return d->fleet.leasesEnd(d->ports.scheduler.now());
}

membership::WaitingCounts LeaderTerm::waitingCounts(TimePoint now) const
{
    return {d->fleet.waitingCounts(), d->jobsReadVersion, now - d->jobsReadAt};
}

std::vector<std::string> LeaderTerm::fullQueues(std::size_t most) const
{
    return d->fleet.fullQueues(most);
}

bool LeaderTerm::isLoaded() const
{
    return d->isLoaded;
}

FleetCounts LeaderTerm::counts() const
{
    auto counts = d->fleet.fullCounts();
    counts.takeoverWait = d->fleet.takeoverWait(d->ports.scheduler.now());
    return counts;
}

LeaderLoad LeaderTerm::load() const
{
    return {d->startLimiter.lateness(),
            d->startLimiter.queueing(),
            d->startLimiter.limit(),
            d->startLimiter.constraint(),
            d->workerController->startsUnderWay(),
            d->loadReport.longestPlan(),
            d->loadReport.planShare()};
}

EndedJobCounts LeaderTerm::endedJobs() const
{
    return d->endedJobRemover->counts();
}

TombstoneCounts LeaderTerm::tombstones() const
{
    return d->tombstoneRemover->counts(d->ports.scheduler.now());
}

bool LeaderTerm::isOverloaded() const
{
    return d->startLimiter.isAtMinimum();
}

} // namespace monsoonspool::execution
