#include "execution/tombstoneremover.h"

#include "execution/rowlayout.h"

#include <algorithm>

namespace monsoonspool::execution {

using Batch = std::vector<TombstoneSchedule::Tombstone>;

struct TombstoneRemover::Private : std::enable_shared_from_this<TombstoneRemover::Private>
{
    Private(ports::ChangeStore &changeStore, ports::Scheduler &s, const RowCodec &rowCodec, DecisionLog &decisionLog)
        : store(changeStore), scheduler(s), codec(rowCodec), log(decisionLog)
    {
    }

    void remove(const Batch &batch)
    {
        ports::Commit commit;
        for (const auto &it : batch) {
            commit.conditions.push_back({progressRow(it.job), it.version});
            commit.removals.push_back(progressRow(it.job));
            commit.removals.push_back(tombstoneRow(it.job));
        }
        store.commit(std::move(commit),
                     [self = shared_from_this(), batch](const ports::AsyncResult<ports::CommitResult> &result) {
                         if (!self->isClosed) {
                             self->onRemoved(batch, result);
                         }
                     });
    }

    void onRemoved(const Batch &batch, const ports::AsyncResult<ports::CommitResult> &result)
    {
        schedule.noteRemovalEnded();
        if (!result.isOk()) {
            // They are due again. If they were removed nevertheless, the next attempt shows it.
            log.record("tombstones-unremoved",
                       {{"count", batch.size()},
                        {"error", errorInfo(result.failure().kind).name},
                        {"detail", result.failure().detail}});
            return;
        }
        if (!result.value().isApplied) {
            for (const auto &it : batch) {
                applyCurrentRow(it, result.value().current);
            }
            return;
        }
        const auto age = schedule.oldestAge(scheduler.now());
        for (const auto &it : batch) {
            schedule.noteRemoved(it.job, result.value().version);
        }
        removed += batch.size();
        log.record("tombstones-removed",
                   {{"count", batch.size()}, {"left", schedule.size()}, {"oldestAgeMs", toMilliseconds(age)}});
    }

    // Applies the rows that caused a conflict: one was removed before, or written again by a later
    // cancellation.
    void applyCurrentRow(const TombstoneSchedule::Tombstone &tombstone, std::span<const ports::StoredRow> rows)
    {
        const auto row = std::ranges::find_if(
            rows, [&](const ports::StoredRow &it) { return it.name == progressRow(tombstone.job) && !it.isRemoved; });
        if (row == rows.end()) {
            schedule.noteRemoved(tombstone.job, tombstone.version);
        } else if (row->version != tombstone.version) {
            schedule.noteRemoved(tombstone.job, tombstone.version);
            if (isTombstone(*row)) {
                schedule.noteRead(tombstone.job, row->version, scheduler.now());
            }
        }
    }

    bool isTombstone(const ports::StoredRow &row) const
    {
        return handleFailure(
            [&]() -> Result<bool> {
                BOOST_LEAF_AUTO(progress, codec.decodeProgress(row.value));
                return !progress.isAccepted;
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
    TombstoneSchedule schedule;
    std::uint64_t removed = 0;
    bool isClosed = false;
};

TombstoneRemover::TombstoneRemover(ports::ChangeStore &store, ports::Scheduler &scheduler, const RowCodec &codec,
                                   DecisionLog &log)
    : d(std::make_shared<Private>(store, scheduler, codec, log))
{
}

TombstoneRemover::~TombstoneRemover()
{
    d->isClosed = true;
}

void TombstoneRemover::noteRead(jobs::JobKey job, std::uint64_t version)
{
    d->schedule.noteRead(job, version, d->scheduler.now());
}

void TombstoneRemover::noteRemoved(jobs::JobKey job, std::uint64_t version)
{
    d->schedule.noteRemoved(job, version);
}

void TombstoneRemover::removeIfDue(TimePoint now)
{
    if (const auto due = d->schedule.takeDue(now); !due.empty()) {
        d->remove(due);
    }
}

TombstoneCounts TombstoneRemover::counts(TimePoint now) const
{
    return {d->schedule.size(), d->schedule.oldestAge(now), d->removed};
}

} // namespace monsoonspool::execution
