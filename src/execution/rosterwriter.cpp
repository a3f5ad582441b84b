#include "execution/rosterwriter.h"

#include "execution/rowlayout.h"

#include <algorithm>
#include <array>
#include <string>

namespace monsoonspool::execution {

namespace {

// Batches workers that join together; short compared to the seconds that a worker takes
// to start.
constexpr Duration BatchDelay = 50ms;
constexpr Duration RetryPause = 200ms;

// Last known row of one bucket of the roster.
struct Bucket
{
    std::uint64_t version = 0;
    std::string value;
    bool isUncertain = false; // a write got no reply and may be carried out late
};

} // namespace

struct RosterWriter::Private : std::enable_shared_from_this<RosterWriter::Private>
{
    Private(ports::ChangeStore &changeStore, ports::Scheduler &s, const RowCodec &rowCodec, Fleet &f,
            DecisionLog &decisionLog)
        : store(changeStore), scheduler(s), codec(rowCodec), fleet(f), log(decisionLog)
    {
    }

    void applyRow(const ports::StoredRow &row)
    {
        for (int n = 0; n < RosterBuckets; ++n) {
            if (row.name.key == rosterRow(n).key) {
                auto &bucket = buckets[static_cast<std::size_t>(n)];
                bucket.version = row.isRemoved ? 0 : row.version;
                bucket.value = row.value;
                bucket.isUncertain = false;
            }
        }
    }

    void markUncertain(std::span<const ports::RowValue> writes)
    {
        for (int n = 0; n < RosterBuckets; ++n) {
            auto &bucket = buckets[static_cast<std::size_t>(n)];
            const auto name = rosterRow(n);
            bucket.isUncertain |= std::ranges::any_of(writes, [&](const auto &it) { return it.name == name; });
        }
    }

    void schedule(Duration delay)
    {
        if (isScheduled || isStoring) {
            return;
        }
        isScheduled = true;
        scheduler.runAfter(delay, [self = shared_from_this()] {
            self->isScheduled = false;
            if (!self->isClosed) {
                self->write();
            }
        });
    }

    void write()
    {
        std::array<std::vector<RosterEntry>, RosterBuckets> wanted;
        for (auto &it : fleet.takeRoster()) {
            wanted[static_cast<std::size_t>(rosterBucketOf(it.worker.id))].push_back(std::move(it));
        }
        ports::Commit commit;
        commit.conditions.push_back({rosterOwnerRow(), claimVersion});
        std::vector<RosterEntry> written;
        for (int n = 0; n < RosterBuckets; ++n) {
            auto &entries = wanted[static_cast<std::size_t>(n)];
            const auto &bucket = buckets[static_cast<std::size_t>(n)];
            auto value = entries.empty() ? std::string() : codec.encode(entries);
            if (value != bucket.value || bucket.isUncertain) {
                commit.conditions.push_back({rosterRow(n), bucket.version});
                commit.writes.push_back({rosterRow(n), std::move(value)});
            }
            written.insert(written.end(), entries.begin(), entries.end());
        }
        if (commit.writes.empty()) {
            fleet.markRosterStored(written);
            return;
        }
        isStoring = true;
        auto writes = commit.writes;
        store.commit(std::move(commit),
                     [self = shared_from_this(), written = std::move(written),
                      writes = std::move(writes)](const ports::AsyncResult<ports::CommitResult> &result) {
                         self->isStoring = false;
                         if (!self->isClosed) {
                             self->onWritten(written, writes, result);
                         }
                     });
    }

    void onWritten(std::span<const RosterEntry> written, std::span<const ports::RowValue> writes,
                   const ports::AsyncResult<ports::CommitResult> &result)
    {
        if (result.isOk() && result.value().isApplied) {
            for (const auto &it : writes) {
                applyRow({it.name, it.value, result.value().version, false});
            }
            fleet.markRosterStored(written);
            onStored();
            scheduleIfChanged();
            return;
        }
        // A conflict is caused by an earlier write of this host whose reply was lost, or by
        // a successor's claim, which this host also learns of from the leader row.
        if (result.isOk()) {
            for (const auto &it : result.value().current) {
                applyRow(it);
            }
        } else {
            markUncertain(writes);
        }
        log.record(
            "roster-unstored",
            {{"error", result.isOk() ? "conflict" : errorInfo(result.failure().kind).name}, {"rows", writes.size()}});
        fleet.markRosterChanged();
        schedule(RetryPause);
    }

    void scheduleIfChanged()
    {
        if (!isStoring && !isScheduled && fleet.consumeRosterChanged()) {
            schedule(BatchDelay);
        }
    }

    ports::ChangeStore &store;
    ports::Scheduler &scheduler;
    const RowCodec &codec;
    Fleet &fleet;
    DecisionLog &log;
    std::function<void()> onStored;
    std::uint64_t claimVersion = 0;
    std::array<Bucket, RosterBuckets> buckets;
    bool isScheduled = false;
    bool isStoring = false;
    bool isClosed = false;
};

RosterWriter::RosterWriter(ports::ChangeStore &store, ports::Scheduler &scheduler, const RowCodec &codec, Fleet &fleet,
                           DecisionLog &log, std::uint64_t claimVersion, std::span<const ports::StoredRow> stored,
                           std::function<void()> onStored)
    : d(std::make_shared<Private>(store, scheduler, codec, fleet, log))
{
    d->onStored = std::move(onStored);
    d->claimVersion = claimVersion;
    for (const auto &it : stored) {
        d->applyRow(it);
    }
}

RosterWriter::~RosterWriter()
{
    d->isClosed = true;
}

std::vector<RosterEntry> RosterWriter::entries() const
{
    std::vector<RosterEntry> entries;
    for (const auto &bucket : d->buckets) {
        if (bucket.value.empty()) {
            continue;
        }
        const auto part
            = handleFailure([&] { return d->codec.decodeRoster(bucket.value); },
                            [&](const Failure &failure) {
                                d->log.record("row-unreadable", {{"key", RosterTable}, {"detail", failure.detail}});
                                return std::vector<RosterEntry>();
                            });
        entries.insert(entries.end(), part.begin(), part.end());
    }
    return entries;
}

void RosterWriter::requestWrite()
{
    d->scheduleIfChanged();
}

} // namespace monsoonspool::execution
