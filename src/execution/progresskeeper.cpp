#include "execution/progresskeeper.h"

#include "execution/rowlayout.h"
#include "jobs/names.h"

#include <algorithm>
#include <unordered_map>

namespace monsoonspool::execution {

namespace {

// Gathers the ends of one moment into one commit.
constexpr Duration GatherTime = 10ms;
constexpr Duration FirstRetry = 150ms;
constexpr Duration MaxRetry = 1s;
// The store takes at most 100 entries in a commit; each job has a condition and a write.
constexpr std::size_t JobsPerCommit = 40;

} // namespace

struct ProgressKeeper::Private : std::enable_shared_from_this<ProgressKeeper::Private>
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
        if (openCommits > 0) {
            return;
        }
        const auto keys = fleet.takeChangedJobs();
        marks = fleet.endMarks();
        hasFailed = false;
        if (keys.empty()) {
            fleet.acknowledge(marks);
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
        ++openCommits;
        store.commit(std::move(commit),
                     [self = shared_from_this(), keys = std::move(keys),
                      states = std::move(states)](const ports::AsyncResult<ports::CommitResult> &result) {
                         --self->openCommits;
                         if (!self->isClosed) {
                             self->onCommitted(keys, states, result);
                         }
                     });
    }

    void onCommitted(std::span<const jobs::JobKey> keys, const std::unordered_map<jobs::JobKey, jobs::JobState> &states,
                     const ports::AsyncResult<ports::CommitResult> &result)
    {
        if (result.isOk() && result.value().isApplied) {
            for (const auto &[key, state] : states) {
                versions[key] = result.value().version;
                if (jobs::isFinal(state)) {
                    fleet.noteStored(key);
                    forgetIfGone(key);
                }
            }
        } else {
            hasFailed = true;
            for (const auto &it : keys) {
                fleet.markChanged(it);
            }
            if (result.isOk()) {
                takeCurrent(result.value().current);
            } else {
                log.record("progress-unstored",
                           {{"error", answerFor(result.failure().kind).name},
                            {"detail", result.failure().detail},
                            {"jobs", keys.size()}});
            }
        }
        if (openCommits > 0) {
            return;
        }
        if (hasFailed) {
            const bool isConflict = result.isOk();
            schedule(isConflict ? GatherTime : retryPause);
            retryPause = isConflict ? FirstRetry : std::min(retryPause * 2, MaxRetry);
            return;
        }
        retryPause = FirstRetry;
        fleet.acknowledge(marks);
        schedule(GatherTime);
    }

    // Others wrote these rows: cancellations, a former leader, or this keeper itself
    // by a commit whose answer was lost.
    void takeCurrent(std::span<const ports::StoredRow> rows)
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
                    fleet.restoreProgress(*key, progress);
                    return {};
                },
                [&](const Failure &failure) {
                    log.record("row-unreadable", {{"key", row.name.key}, {"detail", failure.detail}});
                });
        }
    }

    void forgetIfGone(jobs::JobKey key)
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
    std::unordered_map<jobs::JobKey, std::uint64_t> versions;
    std::vector<EndMark> marks; // of the round under way
    int openCommits = 0;
    bool hasFailed = false;
    bool isScheduled = false;
    bool isClosed = false;
    Duration retryPause = FirstRetry;
};

ProgressKeeper::ProgressKeeper(ports::ChangeStore &store, ports::Scheduler &scheduler, const RowCodec &codec,
                               Fleet &fleet, DecisionLog &log)
    : d(std::make_shared<Private>(store, scheduler, codec, fleet, log))
{
}

ProgressKeeper::~ProgressKeeper()
{
    d->isClosed = true;
}

void ProgressKeeper::noteVersion(jobs::JobKey key, std::uint64_t version)
{
    auto &known = d->versions[key];
    known = std::max(known, version);
}

void ProgressKeeper::poke()
{
    if (d->openCommits == 0) {
        d->schedule(GatherTime);
    }
}

} // namespace monsoonspool::execution
