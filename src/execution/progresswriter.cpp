#include "execution/progresswriter.h"

#include "execution/rowlayout.h"
#include "jobs/names.h"

#include <algorithm>
#include <unordered_map>

namespace monsoonspool::execution {

namespace {

// Batches run ends that arrive together into one commit.
constexpr Duration BatchDelay = 10ms;
constexpr Duration FirstRetry = 150ms;
constexpr Duration MaxRetry = 1s;
// The store accepts at most 100 entries per commit; each job needs a condition and a
// write, and the owner row a condition.
constexpr std::size_t JobsPerCommit = 40;

} // namespace

struct ProgressWriter::Private : std::enable_shared_from_this<ProgressWriter::Private>
{
    Private(ports::ChangeStore &changeStore, ports::Scheduler &s, const RowCodec &rowCodec, Fleet &f,
            DecisionLog &decisionLog)
        : store(changeStore), scheduler(s), codec(rowCodec), fleet(f), log(decisionLog)
    {
    }

    void schedule(Duration delay)
    {
        if (isScheduled) {
            return;
        }
        isScheduled = true;
        scheduler.runAfter(delay, [self = shared_from_this()] {
            self->isScheduled = false;
            if (!self->isClosed) {
                self->begin();
            }
        });
    }

    void begin()
    {
        if (pendingCommits > 0) {
            return;
        }
        const auto keys = fleet.consumeChangedJobs();
        cursors = fleet.endCursors();
        hasFailed = false;
        if (keys.empty()) {
            fleet.acknowledge(cursors);
            return;
        }
        for (std::size_t n = 0; n < keys.size(); n += JobsPerCommit) {
            const auto count = std::min(JobsPerCommit, keys.size() - n);
            commit(
                {keys.begin() + static_cast<std::ptrdiff_t>(n), keys.begin() + static_cast<std::ptrdiff_t>(n + count)});
        }
    }

    void commit(std::vector<jobs::JobKey> keys)
    {
        ports::Commit commit;
        std::unordered_map<jobs::JobKey, jobs::JobState> states;
        for (const auto &key : keys) {
            const auto *job = fleet.find(key);
            if (job == nullptr) {
                continue;
            }
            states[key] = job->state();
            commit.conditions.push_back({progressRow(key), versions[key]});
            commit.writes.push_back({progressRow(key), codec.encode(job->progress())});
        }
        if (commit.writes.empty()) {
            return;
        }
        commit.conditions.push_back({progressOwnerRow(commit.writes.front().name.part), claimVersion});
        ++pendingCommits;
        store.commit(std::move(commit),
                     [self = shared_from_this(), keys = std::move(keys),
                      states = std::move(states)](const ports::AsyncResult<ports::CommitResult> &result) {
                         --self->pendingCommits;
                         if (!self->isClosed) {
                             self->onCommitted(keys, states, result);
                         }
                     });
    }

    void onCommitted(std::span<const jobs::JobKey> keys, const std::unordered_map<jobs::JobKey, jobs::JobState> &states,
                     const ports::AsyncResult<ports::CommitResult> &result)
    {
        if (result.isOk() && result.value().isApplied) {
            log.record("progress-stored",
                       {{"fence", fleet.fence().value}, {"version", result.value().version}, {"jobs", keys.size()}});
            for (const auto &[key, state] : states) {
                versions[key] = result.value().version;
                if (jobs::isFinal(state)) {
                    fleet.markStored(key);
                    forgetIfDropped(key);
                }
            }
        } else {
            hasFailed = true;
            for (const auto &it : keys) {
                fleet.markChanged(it);
            }
            if (result.isOk() && hasSuccessor(result.value().current)) {
                log.record("progress-fenced", {{"fence", fleet.fence().value}, {"jobs", keys.size()}});
                onFenced();
                return;
            }
            if (result.isOk()) {
                applyCurrentRows(result.value().current);
            } else {
                log.record("progress-unstored",
                           {{"error", errorInfo(result.failure().kind).name},
                            {"detail", result.failure().detail},
                            {"jobs", keys.size()}});
            }
        }
        if (pendingCommits > 0) {
            return;
        }
        if (hasFailed) {
            const bool isConflict = result.isOk();
            schedule(isConflict ? BatchDelay : retryPause);
            retryPause = isConflict ? FirstRetry : std::min(retryPause * 2, MaxRetry);
            return;
        }
        retryPause = FirstRetry;
        fleet.acknowledge(cursors);
        schedule(BatchDelay);
    }

    // Returns whether the rows that caused a conflict show a later claim.
    bool hasSuccessor(std::span<const ports::StoredRow> rows) const
    {
        return std::ranges::any_of(rows, [&](const ports::StoredRow &it) {
            return it.name.key == ProgressOwnerKey && (it.isRemoved || it.version != claimVersion);
        });
    }

    // Applies the rows that caused a conflict. They were written by a cancellation, a
    // former leader of an earlier release, or a commit of this writer whose reply was lost.
    void applyCurrentRows(std::span<const ports::StoredRow> rows)
    {
        for (const auto &row : rows) {
            const auto key = jobOfKey(row.name.key);
            if (!key) {
                continue;
            }
            versions[*key] = row.isRemoved ? 0 : row.version;
            handleFailure(
                [&]() -> Result<void> {
                    BOOST_LEAF_AUTO(progress, codec.decodeProgress(row.value));
                    fleet.applyForeignProgress(*key, progress, row.version);
                    return {};
                },
                [&](const Failure &failure) {
                    log.record("row-unreadable", {{"key", row.name.key}, {"detail", failure.detail}});
                });
        }
    }

    void forgetIfDropped(jobs::JobKey key)
    {
        if (fleet.find(key) == nullptr) {
            versions.erase(key);
        }
    }

    ports::ChangeStore &store;
    ports::Scheduler &scheduler;
    const RowCodec &codec;
    Fleet &fleet;
    DecisionLog &log;
    std::uint64_t claimVersion = 0;
    std::function<void()> onFenced;
    std::unordered_map<jobs::JobKey, std::uint64_t> versions;
    std::vector<EndCursor> cursors; // of the current round
    int pendingCommits = 0;
    bool hasFailed = false;
    bool isScheduled = false;
    bool isClosed = false;
    Duration retryPause = FirstRetry;
};

ProgressWriter::ProgressWriter(ports::ChangeStore &store, ports::Scheduler &scheduler, const RowCodec &codec,
                               Fleet &fleet, DecisionLog &log, std::uint64_t claimVersion,
                               std::function<void()> onFenced)
    : d(std::make_shared<Private>(store, scheduler, codec, fleet, log))
{
    d->claimVersion = claimVersion;
    d->onFenced = std::move(onFenced);
}

ProgressWriter::~ProgressWriter()
{
    d->isClosed = true;
}

void ProgressWriter::recordVersion(jobs::JobKey key, std::uint64_t version)
{
    auto &known = d->versions[key];
    known = std::max(known, version);
}

void ProgressWriter::requestWrite()
{
    if (d->pendingCommits == 0) {
        d->schedule(BatchDelay);
    }
}

} // namespace monsoonspool::execution
