#include "execution/executionloop.h"

#include "execution/evacuationreader.h"
#include "execution/hostwallclock.h"
#include "execution/rowlayout.h"
#include "execution/tablewatcher.h"
#include "execution/waitingcounter.h"

#include <algorithm>

namespace monsoonspool::execution {

namespace {

constexpr Duration TickInterval = 100ms;
// Timeout of a long poll for changes. Changes take effect without this delay; it bounds
// how late an unresponsive connection is noticed.
constexpr Duration WatchTimeout = 1s;
// A host without contact to the store for this long is not ready, so that its clients
// use other hosts.
constexpr Duration ReadyContactTimeout = 2500ms;

// A leader whose control thread is late by LagLimit on average although it starts next to nothing
// hands over to another host and delays its own claims for a while: its machine is slow. A busy
// leader starts less instead, since its successor would have to do the same work and to adopt all
// runs first.
constexpr Duration LagLimit = 500ms;
constexpr Duration LagClaimDelay = 2s;
constexpr Duration LagClaimDelayPeriod = 15s;
constexpr Duration MinTermLength = 20s; // between hand-overs
// Weight of the newest tick in the moving average.
constexpr double LagSmoothing = 0.3;

// A worker is named in the leader's row once it has been silent for this time. When it answers again,
// its leases cannot be extended before a later row is stored, and the store may be away by then.
constexpr Duration MinSilence = 1s;

// Backoff after the end of a term was not stored; doubles up to the maximum.
constexpr Duration FirstReportRetry = 150ms;
constexpr Duration MaxReportRetry = 1s;

// Of the leader's row, which every host reads and which has to fit into a row of the store, whatever the number
// of queues.
constexpr std::size_t MaxFullQueues = 64;
constexpr std::size_t MaxWaitingCountBytes = 32 * 1024;
// Jobs may take this part of the host's memory. The rest is for workers, connections and the allocator.
constexpr std::size_t JobMemoryPart = 4;

std::size_t jobMemoryLimit(std::size_t memoryBytes)
{
    return memoryBytes / JobMemoryPart;
}

// Staggers the claims of otherwise equal hosts.
constexpr std::size_t JitterSteps = 16;
constexpr Duration JitterStep = 12ms;

} // namespace

struct ExecutionLoop::Private : std::enable_shared_from_this<ExecutionLoop::Private>
{
    Private(ExecutionPorts executionPorts, ExecutionOptions o)
        : ports(std::move(executionPorts)), options(std::move(o)),
          requestHandler(ports.store, ports.scheduler, ports.codec, ports.log, [this] { return wallClock.now(); }),
          waitingCounter(ports.store, ports.scheduler, ports.codec, ports.log,
                         {[this] { return waitingCounts(); },
                          [this](auto rows) {
                              if (!isClosed) {
                                  onLeaderRows(rows);
                              }
                          }}),
          evacuationReader(ports.registry, ports.log, options.evacuationBound),
          leadership(options.self, options.incarnation, ports.scheduler.now()),
          wallClock(ports.scheduler, ports.log, std::move(ports.wallNow))
    {
        ports.wallNow = [this] { return wallClock.now(); };
    }

    void start()
    {
        const auto row = ports.registry.configurationRow();
        configurationWatcher.emplace(ports.store, ports.scheduler, ports.log, row.table,
                                     std::vector<std::string>{row.part},
                                     std::min(WatchTimeout, evacuationReader.evacuations().maxReadingInterval()),
                                     TableWatcher::Hooks{[this](auto rows) {
                                                             evacuationReader.readAll(rows);
                                                             onConfigurationRows(rows);
                                                         },
                                                         [this](auto rows) {
                                                             evacuationReader.readChanges(rows);
                                                             onConfigurationRows(rows);
                                                         },
                                                         [this](Duration roundTrip) { onContact(roundTrip); },
                                                         [this](TimePoint time, std::uint64_t) {
                                                             evacuationReader.noteRead(time);
                                                             updateEvacuations();
                                                         }});
        leaderWatcher.emplace(ports.store, ports.scheduler, ports.log, std::string(LeaderTable),
                              std::vector<std::string>{std::string()}, WatchTimeout,
                              TableWatcher::Hooks{[this](auto rows) { onLeaderSnapshot(rows); },
                                                  [this](auto rows) { onLeaderRows(rows); },
                                                  [this](Duration roundTrip) { onContact(roundTrip); }});
        tick();
    }

    void onContact(Duration roundTrip)
    {
        const auto now = ports.scheduler.now();
        lastContactAt = now;
        leadership.noteStoreContact(now);
        requestHandler.recordContact(now);
        if (roundTrip > Duration(0)) {
            storeRoundTrip = storeRoundTrip == Duration(0) ? roundTrip : std::min(storeRoundTrip, roundTrip);
        }
    }

    void updateEvacuations()
    {
        if (term) {
            term->setEvacuations(evacuationReader.evacuations());
        }
    }

    void onConfigurationRows(std::span<const ports::StoredRow> rows)
    {
        updateEvacuations();
        const auto name = ports.registry.configurationRow();
        for (const auto &row : rows) {
            if (row.name.key != name.key || row.isRemoved) {
                continue;
            }
            handleFailure(
                [&]() -> Result<void> {
                    BOOST_LEAF_AUTO(decoded, ports.registry.decodeConfiguration(row.value));
                    applyConfiguration(std::move(decoded));
                    return {};
                },
                [&](const Failure &failure) {
                    ports.log.record("configuration-unreadable", {{"detail", failure.detail}});
                });
        }
    }

    void applyConfiguration(ports::Configuration decoded)
    {
        if (configuration && decoded.version <= configuration->version) {
            return; // versions only increase
        }
        ports.log.record("configuration-in-force", {{"version", decoded.version}, {"routes", decoded.routes.size()}});
        configuration = std::make_shared<const ports::Configuration>(std::move(decoded));
        if (term) {
            term->setQueues(queues());
        }
        onConfiguration(configuration);
    }

    std::vector<jobs::QueuePolicy> queues() const
    {
        std::vector<jobs::QueuePolicy> queues;
        if (configuration) {
            for (const auto &it : configuration->routes) {
                queues.push_back(it.policy);
            }
        }
        return queues;
    }

    void onLeaderSnapshot(std::span<const ports::StoredRow> rows)
    {
        const bool hasRow
            = std::ranges::any_of(rows, [](const ports::StoredRow &it) { return it.name.key == LeaderKey; });
        if (!hasRow) {
            leadership.noteRow(std::nullopt, 0, ports.scheduler.now());
        }
        onLeaderRows(rows);
    }

    void onLeaderRows(std::span<const ports::StoredRow> rows)
    {
        const auto now = ports.scheduler.now();
        for (const auto &row : rows) {
            if (!row.isRemoved && row.name.key == LeaderKey) {
                readRow(row, [&]() -> Result<void> {
                    BOOST_LEAF_AUTO(decoded, ports.codec.decodeLeader(row.value));
                    leadership.noteRow(decoded, row.version, now);
                    return {};
                });
            }
        }
        // After the leader row, which tells which of the terms matter.
        for (const auto &row : rows) {
            if (!row.isRemoved && row.name.key.starts_with(EndedTermPrefix)) {
                readRow(row, [&]() -> Result<void> {
                    BOOST_LEAF_AUTO(decoded, ports.codec.decodeEndedTerm(row.value));
                    leadership.noteEndedTerm(decoded, now);
                    return {};
                });
            }
        }
        reconcileLeadership();
    }

    template <typename F>
    void readRow(const ports::StoredRow &row, F read)
    {
        handleFailure(std::move(read), [&](const Failure &failure) {
            ports.log.record("row-unreadable", {{"key", row.name.key}, {"detail", failure.detail}});
        });
    }

    void tick()
    {
        const auto dueAt = ports.scheduler.now() + TickInterval;
        ports.scheduler.runAfter(TickInterval, [self = shared_from_this(), dueAt] {
            if (!self->isClosed) {
                self->updateLag(self->ports.scheduler.now() - dueAt);
                self->wallClock.update();
                self->reconcileLeadership();
                self->tick();
            }
        });
    }

    void updateLag(Duration lateness)
    {
        const auto now = ports.scheduler.now();
        lag += std::chrono::duration_cast<Duration>((lateness - lag) * LagSmoothing);
        if (!term || isStopping || lag < LagLimit || !term->isOverloaded() || now - termBeganAt < MinTermLength) {
            return;
        }
        lagClaimDelayUntil = now + LagClaimDelayPeriod;
        ports.log.record("leadership-handed-over", {{"fence", termFence.value}, {"lagMs", toMilliseconds(lag)}});
        lag = Duration(0);
        if (auto write = leadership.release()) {
            fillRow(write->row);
            writeLeader(*write);
        }
    }

    // Sets what the term knows in a row that is about to be written.
    void fillRow(membership::LeaderRow &row)
    {
        row.waiting = waitingCounts();
        row.waiting.limitTo(MaxWaitingCountBytes);
        if (term && term->isLoaded()) {
            row.tombstones = term->tombstones().stored;
            row.fullQueues = term->fullQueues(MaxFullQueues);
        } else if (leadership.row()) {
            row.tombstones = leadership.row()->tombstones;
            row.fullQueues = leadership.row()->fullQueues;
        }
        if (term) {
            const bool isReleased = row.host.isEmpty();
            row.silentWorkers = term->takeSilentWorkers(ports.scheduler.now(), isReleased ? Duration(0) : MinSilence);
            if (leadership.mayChangeWitnesses(ports.scheduler.now())) {
                row.witnesses = membership::chooseWitnesses(row.witnesses, term->witnessCandidates());
            }
            leadership.noteWitnessesOffered(row.witnesses);
        }
    }

    membership::WaitingCounts waitingCounts() const
    {
        const auto now = ports.scheduler.now();
        return term && term->isLoaded() ? term->waitingCounts(now) : leadership.waitingCounts(now);
    }

    Duration claimDelay() const
    {
        const auto penalty = ports.scheduler.now() < lagClaimDelayUntil ? LagClaimDelay : Duration(0);
        const auto jitter
            = JitterStep * static_cast<int>(std::hash<std::string_view>{}(options.self.view()) % JitterSteps);
        const double bestShare = leadership.row() ? leadership.row()->bestShare : 0;
        return membership::claimDelay(options.processorShare, bestShare, storeRoundTrip) + jitter + penalty;
    }

    // Begins or ends the term to match the leadership, and performs the write that is due.
    void reconcileLeadership()
    {
        const auto now = ports.scheduler.now();
        if (leadership.row()) {
            requestHandler.recordFence(leadership.row()->fence);
            requestHandler.recordTombstones(leadership.row()->tombstones);
            requestHandler.recordFullQueues(leadership.row()->fullQueues);
        }
        if (term && (!leadership.isLeader() || leadership.fence() != termFence)) {
            ports.log.record("leadership-lost", {{"fence", termFence.value}});
            leadership.noteTermEnded(termFence, term->leasesEnd());
            term.reset();
        }
        if (leadership.isLeader() && !term) {
            beginTerm();
        }
        if (term) {
            noteWitnessAnswers(now);
        }
        if (term && leadership.formersEndAt()) {
            term->noteFormersEnd(*leadership.formersEndAt());
        }
        if (term && leadership.unsupportedFormersEndAt()) {
            term->noteFormersUnsupported(*leadership.unsupportedFormersEndAt());
        }
        reportEndIfDue();
        if (term) {
            term->noteRenewed(leadership.renewedAt(), leadership.decidesUntil());
        }
        if (isStopping || !configuration) {
            return; // without a configuration this host could not place any task
        }
        if (auto write = leadership.dueWrite(claimDelay(), now, term && term->awaitsRowRenewal(now))) {
            fillRow(write->row);
            write->row.bestShare = std::max(write->row.bestShare, options.processorShare);
            writeLeader(*write);
        }
    }

    void noteWitnessAnswers(TimePoint now)
    {
        const auto witnesses = leadership.witnesses();
        term->setWitnesses(witnesses);
        if (leadership.noteAnswers(term->witnessAnswers(witnesses), now)) {
            ports.log.record("claim-accepted",
                             {{"fence", termFence.value},
                              {"afterMs", toMilliseconds(now - termBeganAt)},
                              {"witnesses", witnesses.size()}});
        }
    }

    // Stores the end of this host's term, for which the present leader waits.
    void reportEndIfDue()
    {
        const auto now = ports.scheduler.now();
        const auto ended = leadership.dueEndReport(LongestLease, now);
        if (!ended || isReportingEnd || isStopping || now < reportRetryAt) {
            return;
        }
        isReportingEnd = true;
        ports::Commit commit;
        commit.writes.push_back({endedTermRow(options.self), ports.codec.encode(*ended)});
        ports.store.commit(
            std::move(commit),
            [self = shared_from_this(), ended = *ended](const ports::AsyncResult<ports::CommitResult> &result) {
                if (!self->isClosed) {
                    self->onEndReported(ended, result);
                }
            });
    }

    void onEndReported(const membership::EndedTerm &ended, const ports::AsyncResult<ports::CommitResult> &result)
    {
        isReportingEnd = false;
        if (result.isOk()) {
            leadership.noteEndReported(ended.fence);
            reportRetryPause = FirstReportRetry;
            ports.log.record("leadership-end-stored",
                             {{"fence", ended.fence.value}, {"leasesEndInMs", toMilliseconds(ended.leasesEndIn)}});
            return;
        }
        ports.log.record("leadership-end-unstored",
                         {{"fence", ended.fence.value}, {"error", errorInfo(result.failure().kind).name}});
        reportRetryAt = ports.scheduler.now() + reportRetryPause;
        reportRetryPause = std::min(reportRetryPause * 2, MaxReportRetry);
    }

    void writeLeader(const membership::Leadership::Write &write)
    {
        if (write.isClaim) {
            readRoster(write);
            return;
        }
        ports::Commit commit;
        commit.conditions.push_back({leaderRow(), write.expectedVersion});
        commit.writes.push_back({leaderRow(), ports.codec.encode(write.row)});
        commitLeader(write, std::move(commit));
    }

    // A claimant must know the workers on which the former leader may have started tasks.
    void readRoster(const membership::Leadership::Write &write)
    {
        ports.store.scan(RosterTable, {}, {}, {},
                         [self = shared_from_this(), write](const ports::AsyncResult<ports::RowPage> &result) {
                             if (self->isClosed) {
                                 return;
                             }
                             if (result.isOk()) {
                                 self->claim(write, result.value().rows);
                             } else {
                                 self->leadership.noteFailed(self->ports.scheduler.now());
                             }
                         });
    }

    void claim(const membership::Leadership::Write &write, std::span<const ports::StoredRow> rows)
    {
        ports::Commit commit;
        commit.conditions.push_back({leaderRow(), write.expectedVersion});
        commit.writes.push_back({leaderRow(), ports.codec.encode(write.row)});
        std::vector<ports::RowName> names = {rosterOwnerRow()};
        for (int n = 0; n < RosterBuckets; ++n) {
            names.push_back(rosterRow(n));
        }
        for (auto &it : names) {
            const auto row = std::ranges::find(rows, it.key, [](const ports::StoredRow &r) { return r.name.key; });
            commit.conditions.push_back({std::move(it), row == rows.end() ? 0 : row->version});
        }
        commit.writes.push_back({rosterOwnerRow(), {}});
        for (const auto &it : jobParts()) {
            commit.writes.push_back({progressOwnerRow(it), {}});
        }
        claimedRoster.assign(rows.begin(), rows.end());
        commitLeader(write, std::move(commit));
    }

    void commitLeader(const membership::Leadership::Write &write, ports::Commit commit)
    {
        const auto sentAt = ports.scheduler.now();
        ports.store.commit(
            std::move(commit),
            [self = shared_from_this(), write, sentAt](const ports::AsyncResult<ports::CommitResult> &result) {
                if (self->isClosed) {
                    return;
                }
                const auto now = self->ports.scheduler.now();
                if (result.isOk()) {
                    self->onContact(Duration(0));
                }
                if (result.isOk() && result.value().isApplied) {
                    self->leadership.noteWritten(write, result.value().version, sentAt, now);
                    if (self->term && !write.isClaim) {
                        self->term->markSilentWorkersStored();
                    }
                } else {
                    self->leadership.noteFailed(now);
                    if (result.isOk()) {
                        self->onLeaderRows(result.value().current);
                    }
                }
                self->reconcileLeadership();
            });
    }

    void beginTerm()
    {
        termFence = leadership.fence();
        termBeganAt = ports.scheduler.now();
        LeaderTermStart start{termFence,
                              leadership.claimVersion(),
                              claimedRoster,
                              queues(),
                              leadership.formersDecideUntil(),
                              leadership.silentWorkers(termBeganAt),
                              options.moveCost,
                              evacuationReader.evacuations(),
                              options.remoteRunTimeFactor,
                              jobMemoryLimit(options.memoryBytes)};
        const auto &former = leadership.row()->former;
        ports.log.record(
            "leadership-won",
            {{"fence", termFence.value},
             {"claimVersion", start.claimVersion},
             {"rosterRows", start.roster.size()},
             {"former", former ? former->host.view() : "has stopped"},
             {"formersDecideForMs", toMilliseconds(std::max(start.formersDecideUntil - termBeganAt, Duration(0)))}});
        term.emplace(
            ports, std::move(start),
            LeaderTerm::Hooks{[this] { onFenced(); }, [this] { return leadership.mayDecide(ports.scheduler.now()); }});
    }

    // Called from inside the term, which must not be destroyed before the call returns.
    void onFenced()
    {
        if (!leadership.isLeader()) {
            return;
        }
        ports.log.record("leadership-fenced", {{"fence", termFence.value}});
        leadership.stepDown(ports.scheduler.now());
        ports.scheduler.runAfter(Duration(0), [self = shared_from_this()] {
            if (!self->isClosed) {
                self->reconcileLeadership();
            }
        });
    }

    ExecutionPorts ports;
    ExecutionOptions options;
    JobRequestHandler requestHandler;
    WaitingCounter waitingCounter;
    EvacuationReader evacuationReader;
    membership::Leadership leadership;
    HostWallClock wallClock;
    std::function<void(ConfigurationPointer)> onConfiguration;
    ConfigurationPointer configuration;
    std::optional<TableWatcher> configurationWatcher;
    std::optional<TableWatcher> leaderWatcher;
    std::optional<LeaderTerm> term;
    Epoch termFence;
    TimePoint termBeganAt;
    Duration lag{0}; // moving average of how late the control thread's ticks are
    TimePoint lagClaimDelayUntil;
    std::vector<ports::StoredRow> claimedRoster; // as read for the last claim
    bool isReportingEnd = false;
    TimePoint reportRetryAt;
    Duration reportRetryPause = FirstReportRetry;
    TimePoint lastContactAt;
    Duration storeRoundTrip{0};
    bool isStopping = false;
    bool isClosed = false;
};

ExecutionLoop::ExecutionLoop(ExecutionPorts ports, ExecutionOptions options,
                             std::function<void(ConfigurationPointer)> onConfiguration)
    : d(std::make_shared<Private>(std::move(ports), std::move(options)))
{
    d->onConfiguration = std::move(onConfiguration);
}

ExecutionLoop::~ExecutionLoop()
{
    d->isClosed = true;
    d->configurationWatcher.reset();
    d->leaderWatcher.reset();
    d->term.reset();
}

void ExecutionLoop::start()
{
    d->start();
}

void ExecutionLoop::stop(std::function<void()> done)
{
    d->isStopping = true;
    auto write = d->leadership.release();
    if (write) {
        d->fillRow(write->row);
    }
    d->term.reset();
    if (!write) {
        done();
        return;
    }
    ports::Commit commit;
    commit.conditions.push_back({leaderRow(), write->expectedVersion});
    commit.writes.push_back({leaderRow(), d->ports.codec.encode(write->row)});
    d->ports.store.commit(std::move(commit),
                          [done = std::move(done)](const ports::AsyncResult<ports::CommitResult> &) { done(); });
}

JobRequestHandler &ExecutionLoop::jobRequestHandler()
{
    return d->requestHandler;
}

void ExecutionLoop::waitingJobs(std::string queue, TimePoint deadline, const ports::Handler<int> &reply)
{
    d->waitingCounter.count(std::move(queue), deadline, reply);
}

jobs::WallTime ExecutionLoop::wallNow() const
{
    return d->wallClock.now();
}

bool ExecutionLoop::isReady() const
{
    return d->configuration && !d->isStopping && d->ports.scheduler.now() - d->lastContactAt < ReadyContactTimeout;
}

ExecutionSummary ExecutionLoop::summary() const
{
    ExecutionSummary summary;
    summary.isLeader = d->leadership.isLeader();
    summary.isLoaded = d->term && d->term->isLoaded();
    summary.fence = d->termFence.value;
    summary.configurationVersion = d->configuration ? d->configuration->version : -1;
    summary.timeSinceStoreContact = d->ports.scheduler.now() - d->lastContactAt;
    summary.clockJump = d->wallClock.jump();
    const auto &evacuations = d->evacuationReader.evacuations();
    summary.evacuatedDomains = evacuations.domains();
    if (evacuations.readAt()) {
        summary.evacuationsReadAgo = d->ports.scheduler.now() - *evacuations.readAt();
    }
    if (d->term) {
        summary.fleet = d->term->counts();
        summary.load = d->term->load();
        summary.endedJobs = d->term->endedJobs();
        summary.tombstones = d->term->tombstones();
    }
    summary.tombstoneRequests = d->requestHandler.tombstoneCounts();
    summary.refusedByFullQueue = d->requestHandler.refusedByFullQueue();
    return summary;
}

} // namespace monsoonspool::execution
