#include "execution/tenure.h"

#include "execution/learnedkeeper.h"
#include "execution/progresskeeper.h"
#include "execution/rosterkeeper.h"
#include "execution/rowlayout.h"
#include "execution/tablefollower.h"
#include "execution/workerkeeper.h"
#include "jobs/names.h"
#include "workers/worker.h"

#include <algorithm>
#include <set>

namespace monsoonspool::execution {

namespace {

// Gathers the events of one moment into one plan.
constexpr Duration PlanDelay = 3ms;
// A plan looks at every open job: with many, plans are made less often, so that a
// weak host keeps up with its workers.
constexpr Duration PlanDelayForJob = 60us;
constexpr Duration MaxPlanDelay = 60ms;
// Plans at least so often, for what time alone brings.
constexpr Duration PlanInterval = 150ms;
// How long the store may hold a question for changes. A cancellation, or a worker that
// leaves, must be seen within 2 s even if the answer that tells of it is lost: so late
// is the silence noticed, with the client's slack.
constexpr Duration FollowWait = 1s;
// A former leader's last renewal may lie a little behind the claim.
constexpr Duration FormerLeaseSlack = 1s;

} // namespace

struct Tenure::Private : std::enable_shared_from_this<Tenure::Private>
{
    Private(ExecutionPorts executionPorts, Hooks h)
        : ports(std::move(executionPorts)), hooks(std::move(h)), fleet(ports.log)
    {
    }

    void begin(const TenureStart &start)
    {
        const auto now = ports.scheduler.now();
        rosterKeeper.emplace(ports.store, ports.scheduler, ports.codec, fleet, ports.log, start.claimVersion,
                             start.roster, [this] { requestPlan(); });
        const auto lastLease = std::chrono::duration_cast<Duration>(workers::RunLease * (1 + ports::MaxClockDrift));
        fleet.beginTenure(start.fence, start.claimVersion, rosterKeeper->entries(), now + lastLease + FormerLeaseSlack);
        fleet.setQueues(start.queues);
        learnedKeeper.emplace(ports.store, ports.scheduler, ports.codec, fleet, ports.log);
        progressKeeper.emplace(ports.store, ports.scheduler, ports.codec, fleet, ports.log);
        workerKeeper.emplace(ports.workers, ports.scheduler, fleet,
                             WorkerKeeper::Hooks{[this] { requestPlan(); }, hooks.onFenced, hooks.mayDecide});
        jobFollower.emplace(ports.store, ports.scheduler, ports.log, std::string(JobsTable), jobParts(), FollowWait,
                            TableFollower::Hooks{[this](auto rows) { onJobSnapshot(rows); },
                                                 [this](auto rows) { onJobRows(rows); }, [](Duration) {}});
    }

    void onJobSnapshot(std::span<const ports::StoredRow> rows)
    {
        onJobRows(rows);
        if (isLoaded) {
            return; // read again after a gap in the history
        }
        // Read after the jobs, so that each job's progress is at hand.
        progressReader.emplace(ports.store, ports.scheduler, ports.log, std::string(ProgressTable), jobParts(),
                               FollowWait,
                               TableFollower::Hooks{[this](auto progress) { onProgressSnapshot(progress); },
                                                    [](auto) {}, [](Duration) {}});
    }

    void onProgressSnapshot(std::span<const ports::StoredRow> rows)
    {
        for (const auto &it : rows) {
            onProgressRow(it);
        }
        isLoaded = true;
        ports.log.record("tenure-loaded",
                         {{"fence", fleet.fence().value},
                          {"openJobs", fleet.counts().openJobs},
                          {"workers", fleet.counts().workers}});
        workerFollower.emplace(ports.store, ports.scheduler, ports.log, ports.registry.workersTable(),
                               std::vector<std::string>{std::string()}, FollowWait,
                               TableFollower::Hooks{[this](auto entries) { onWorkerSnapshot(entries); },
                                                    [this](auto entries) { onWorkerRows(entries); }, [](Duration) {}});
        workerKeeper->syncWorkers();
        tick();
        ports.scheduler.runAfter(Duration(0), [self = shared_from_this()] { self->progressReader.reset(); });
    }

    void onProgressRow(const ports::StoredRow &row)
    {
        const auto key = jobOfKey(row.name.key);
        if (!key || row.isRemoved) {
            return;
        }
        handleFailure(
            [&]() -> Result<void> {
                BOOST_LEAF_AUTO(progress, ports.codec.decodeProgress(row.value));
                progressKeeper->noteVersion(*key, row.version);
                fleet.restoreProgress(*key, progress);
                return {};
            },
            [&](const Failure &failure) {
                ports.log.record("row-unreadable", {{"key", row.name.key}, {"detail", failure.detail}});
            });
    }

    void onJobRows(std::span<const ports::StoredRow> rows)
    {
        for (const auto &row : rows) {
            const auto key = jobOfKey(row.name.key);
            if (!key || row.isRemoved) {
                continue;
            }
            if (isCancelKey(row.name.key)) {
                fleet.cancel(*key);
            } else if (seenJobs.insert(*key).second) {
                onJobRow(*key, row);
            }
        }
        requestPlan();
    }

    void onJobRow(jobs::JobKey key, const ports::StoredRow &row)
    {
        handleFailure(
            [&]() -> Result<void> {
                BOOST_LEAF_AUTO(job, ports.codec.decodeJob(row.value));
                job.key = key;
                job.version = row.version;
                progressKeeper->noteVersion(key, row.version);
                fleet.addJob(std::move(job), ports.scheduler.now(), ports.wallNow());
                return {};
            },
            [&](const Failure &failure) {
                ports.log.record("row-unreadable", {{"key", row.name.key}, {"detail", failure.detail}});
            });
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
                    fleet.noteWorker(entry, now);
                    return {};
                },
                [&](const Failure &failure) {
                    // Some other writer's entry: it names no worker to use.
                    ports.log.record("worker-entry-unreadable", {{"worker", row.name.key}, {"detail", failure.detail}});
                    fleet.removeWorker(WorkerId(row.name.key), now);
                });
        }
        workerKeeper->syncWorkers();
        rosterKeeper->poke();
        requestPlan();
    }

    void tick()
    {
        ports.scheduler.runAfter(PlanInterval, [self = shared_from_this()] {
            if (!self->isClosed) {
                self->plan();
                self->tick();
            }
        });
    }

    void requestPlan()
    {
        if (isPlanning || !isLoaded || isClosed) {
            return;
        }
        isPlanning = true;
        const auto delay = PlanDelay + PlanDelayForJob * static_cast<int>(fleet.counts().openJobs);
        ports.scheduler.runAfter(std::min(delay, MaxPlanDelay), [self = shared_from_this()] {
            self->isPlanning = false;
            if (!self->isClosed) {
                self->plan();
            }
        });
    }

    void plan()
    {
        if (!isLoaded || !hooks.mayDecide()) {
            return;
        }
        workerKeeper->carryOut(fleet.plan(ports.scheduler.now(), ports.wallNow()));
        progressKeeper->poke();
        rosterKeeper->poke();
        learnedKeeper->poke(ports.scheduler.now());
    }

    ExecutionPorts ports;
    Hooks hooks;
    Fleet fleet;
    std::optional<RosterKeeper> rosterKeeper;
    std::optional<LearnedKeeper> learnedKeeper;
    std::optional<ProgressKeeper> progressKeeper;
    std::optional<WorkerKeeper> workerKeeper;
    std::optional<TableFollower> jobFollower;
    std::optional<TableFollower> progressReader;
    std::optional<TableFollower> workerFollower;
    std::set<jobs::JobKey> seenJobs;
    bool isLoaded = false;
    bool isPlanning = false;
    bool isClosed = false;
};

Tenure::Tenure(ExecutionPorts ports, TenureStart start, Hooks hooks)
    : d(std::make_shared<Private>(std::move(ports), std::move(hooks)))
{
    d->begin(start);
}

Tenure::~Tenure()
{
    d->isClosed = true;
    d->jobFollower.reset();
    d->progressReader.reset();
    d->workerFollower.reset();
    d->workerKeeper.reset();
    d->progressKeeper.reset();
    d->learnedKeeper.reset();
    d->rosterKeeper.reset();
}

void Tenure::setQueues(std::span<const jobs::QueuePolicy> queues)
{
    d->fleet.setQueues(queues);
    d->requestPlan();
}

std::map<std::string, int> Tenure::waitingCounts() const
{
    return d->fleet.waitingCounts();
}

bool Tenure::isLoaded() const
{
    return d->isLoaded;
}

FleetCounts Tenure::counts() const
{
    return d->fleet.fullCounts();
}

} // namespace monsoonspool::execution
