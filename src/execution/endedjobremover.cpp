#include "execution/endedjobremover.h"

#include "execution/rowlayout.h"

#include <algorithm>
#include <set>
#include <unordered_map>
#include <unordered_set>
#include <utility>

namespace monsoonspool::execution {

namespace {

// A job row needs a condition and up to two removals, a progress row a condition and a removal.
constexpr RemovalSchedule::Limits JobRowLimits{JobRowLifetime, 100ms, 30, 10s};
constexpr RemovalSchedule::Limits ProgressLimits{ProgressLifetime, 100ms, 45, 10s};
static_assert(JobRowLimits.mostPerRemoval * 3 <= ports::MaxCommitEntries);
static_assert(ProgressLimits.mostPerRemoval * 2 <= ports::MaxCommitEntries);
constexpr std::size_t SectionsPerRemoval = 90;
// Rows beyond these are left to a later leader, so that what a term has to remove takes bounded memory.
constexpr std::size_t MaxScheduled = 20'000;

using Batch = std::vector<RemovalSchedule::Due>;

} // namespace

struct EndedJobRemover::Private : std::enable_shared_from_this<EndedJobRemover::Private>
{
    Private(ports::ChangeStore &changeStore, ports::Scheduler &s, const RowCodec &rowCodec, DecisionLog &decisionLog,
            std::function<void(jobs::JobKey)> hook)
        : store(changeStore), scheduler(s), codec(rowCodec), log(decisionLog), onForgotten(std::move(hook))
    {
    }

    void note(RemovalSchedule &schedule, jobs::JobKey job, std::uint64_t version)
    {
        if (version > 0 && schedule.size() < MaxScheduled) {
            schedule.noteRead(job, version, scheduler.now());
        }
    }

    void removeJobRows(const Batch &batch)
    {
        ports::Commit commit;
        for (const auto &it : batch) {
            commit.conditions.push_back({jobRow(it.job), it.version});
            commit.removals.push_back(jobRow(it.job));
            if (cancelled.contains(it.job)) {
                commit.removals.push_back(cancelRow(it.job));
            }
        }
        send(std::move(commit), [this, batch](const ports::AsyncResult<ports::CommitResult> &result) {
            jobRows.noteRemovalEnded();
            for (const auto &it : batch) {
                if (isGone(result, jobRow(it.job), it.version)) {
                    jobRows.noteRemoved(it.job, it.version);
                    cancelled.erase(it.job);
                }
            }
        });
    }

    void removeProgress(Batch batch)
    {
        const auto hasSections = [this](const RemovalSchedule::Due &it) { return sections.contains(it.job); };
        if (const auto it = std::ranges::find_if(batch, hasSections); it != batch.end()) {
            removeSections(*it);
            return;
        }
        ports::Commit commit;
        for (const auto &it : batch) {
            commit.conditions.push_back({progressRow(it.job), it.version});
            commit.removals.push_back(progressRow(it.job));
        }
        send(std::move(commit), [this, batch](const ports::AsyncResult<ports::CommitResult> &result) {
            progressRows.noteRemovalEnded();
            for (const auto &it : batch) {
                onProgressRemoved(it, result);
            }
        });
    }

    // The first section goes last: without it, the job is unknown.
    void removeSections(const RemovalSchedule::Due &due)
    {
        ports::Commit commit;
        commit.conditions.push_back({progressRow(due.job), due.version});
        std::vector<int> numbers;
        for (const int it : sections.at(due.job)) {
            if (numbers.size() < SectionsPerRemoval) {
                numbers.push_back(it);
                commit.removals.push_back(progressRow(jobs::ProgressSection{due.job, it}));
            }
        }
        send(std::move(commit), [this, due, numbers](const ports::AsyncResult<ports::CommitResult> &result) {
            progressRows.noteRemovalEnded();
            if (result.isOk() && !result.value().isApplied) {
                sections.erase(due.job);
                onProgressRemoved(due, result);
                return;
            }
            const auto left = sections.find(due.job);
            if (!result.isOk() || left == sections.end()) {
                return;
            }
            for (const int it : numbers) {
                left->second.erase(it);
            }
            if (left->second.empty()) {
                sections.erase(left);
            }
        });
    }

    void onProgressRemoved(const RemovalSchedule::Due &due, const ports::AsyncResult<ports::CommitResult> &result)
    {
        if (!isGone(result, progressRow(due.job), due.version)) {
            return;
        }
        progressRows.noteRemoved(due.job, due.version);
        const auto *row = result.value().isApplied ? nullptr : find(result.value().current, progressRow(due.job));
        if (row == nullptr) {
            onForgotten(due.job);
        } else if (isOver(*row)) {
            note(progressRows, due.job, row->version); // a late end has changed it
        }
    }

    template <typename F>
    void send(ports::Commit commit, F onResult)
    {
        const auto rows = commit.removals.size();
        store.commit(
            std::move(commit),
            [self = shared_from_this(), rows, onResult](const ports::AsyncResult<ports::CommitResult> &result) {
                if (self->isClosed) {
                    return;
                }
                if (!result.isOk()) {
                    // They are due again. If they were removed nevertheless, the next attempt shows it.
                    self->log.record("ended-jobs-unremoved",
                                     {{"rows", rows},
                                      {"error", errorInfo(result.failure().kind).name},
                                      {"detail", result.failure().detail}});
                } else if (result.value().isApplied) {
                    self->removed += rows;
                    self->log.record("ended-jobs-removed",
                                     {{"rows", rows},
                                      {"jobRowsLeft", self->jobRows.size()},
                                      {"progressRowsLeft", self->progressRows.size()}});
                }
                onResult(result);
            });
    }

    static const ports::StoredRow *find(std::span<const ports::StoredRow> rows, const ports::RowName &name)
    {
        const auto row
            = std::ranges::find_if(rows, [&](const ports::StoredRow &it) { return it.name == name && !it.isRemoved; });
        return row == rows.end() ? nullptr : &*row;
    }

    // Returns whether the row is not stored any more with this version.
    static bool isGone(const ports::AsyncResult<ports::CommitResult> &result, const ports::RowName &name,
                       std::uint64_t version)
    {
        if (!result.isOk() || result.value().isApplied) {
            return result.isOk();
        }
        const auto *row = find(result.value().current, name);
        return row == nullptr || row->version != version;
    }

    bool isOver(const ports::StoredRow &row) const
    {
        return handleFailure(
            [&]() -> Result<bool> {
                BOOST_LEAF_AUTO(progress, codec.decodeProgress(row.value));
                return progress.isAccepted && jobs::isFinal(progress.state);
            },
            [&](const Failure &failure) {
                log.record("row-unreadable", {{"key", row.name.key}, {"detail", failure.detail}});
                return false;
            });
    }

    ports::ChangeStore &store;
    ports::Scheduler &scheduler;
    const RowCodec &codec;
    DecisionLog &log;
    std::function<void(jobs::JobKey)> onForgotten;
    RemovalSchedule jobRows{JobRowLimits};
    RemovalSchedule progressRows{ProgressLimits};
    std::unordered_set<jobs::JobKey> cancelled; // of the jobs in `jobRows`, whose cancellation has a row
    std::unordered_map<jobs::JobKey, std::set<int>> sections; // other than the first, of those in `progressRows`
    std::uint64_t removed = 0;
    bool isClosed = false;
};

EndedJobRemover::EndedJobRemover(ports::ChangeStore &store, ports::Scheduler &scheduler, const RowCodec &codec,
                                 DecisionLog &log, std::function<void(jobs::JobKey)> onForgotten)
    : d(std::make_shared<Private>(store, scheduler, codec, log, std::move(onForgotten)))
{
}

EndedJobRemover::~EndedJobRemover()
{
    d->isClosed = true;
}

void EndedJobRemover::noteOver(jobs::JobKey job, std::uint64_t version, bool isCancelled)
{
    if (isCancelled && d->jobRows.size() < MaxScheduled) {
        d->cancelled.insert(job);
    }
    d->note(d->jobRows, job, version);
}

void EndedJobRemover::noteProgress(jobs::JobKey job, std::uint64_t version)
{
    d->note(d->progressRows, job, version);
}

void EndedJobRemover::noteSection(jobs::JobKey job, int section)
{
    if (d->progressRows.contains(job)) {
        d->sections[job].insert(section);
    }
}

void EndedJobRemover::removeIfDue(TimePoint now)
{
    if (const auto due = d->jobRows.takeDue(now); !due.empty()) {
        d->removeJobRows(due);
    }
    if (auto due = d->progressRows.takeDue(now); !due.empty()) {
        d->removeProgress(std::move(due));
    }
}

EndedJobCounts EndedJobRemover::counts() const
{
    return {d->jobRows.size(), d->progressRows.size(), d->removed};
}

} // namespace monsoonspool::execution
