#include "control/placementlogstore.h"

#include "control/ownershipsynchronizer.h"
#include "control/rowkeys.h"

#include <algorithm>
#include <charconv>
#include <deque>
#include <map>
#include <utility>

namespace monsoonspool::control {

namespace {

constexpr int ScanLimit = 2'000;
constexpr std::size_t RemovalsPerCommit = 200;
constexpr Duration RetryInterval = 300ms;

std::string logKey(const PartitionName &partition, std::uint64_t sequence)
{
    return "log/" + partition.text() + "/" + padded(sequence);
}

std::string checkpointKey(const PartitionName &partition)
{
    return "checkpoint/" + partition.text();
}

std::string objectName(const PartitionName &partition, Epoch epoch, std::uint64_t sequence)
{
    return "checkpoint/" + partition.text() + "/" + padded(epoch.value) + "-" + padded(sequence);
}

// Encodes the checkpoint row: the last sequence that it covers and the object's name.
std::string checkpointValue(std::uint64_t sequence, const std::string &object)
{
    return std::to_string(sequence) + " " + object;
}

std::pair<std::uint64_t, std::string> parseCheckpoint(std::string_view value)
{
    std::uint64_t sequence = 0;
    std::from_chars(value.data(), value.data() + value.size(), sequence);
    const auto space = value.find(' ');
    return {sequence, space == std::string_view::npos ? std::string() : std::string(value.substr(space + 1))};
}

} // namespace

struct PlacementLogStore::Private
{
    Private(Options keeperOptions, ports::TableService &tableService, ports::ObjectStore &objectStore,
            const PlacementCodec &placementCodec)
        : options(std::move(keeperOptions)), table(tableService), objects(objectStore), codec(placementCodec),
          fenceVersion(options.fenceVersion)
    {
    }

    template <typename T, typename F>
    ports::Handler<T> guarded(F f)
    {
        return [alive = isAlive, f = std::move(f)](const ports::AsyncResult<T> &result) {
            if (*alive) {
                f(result);
            }
        };
    }
    ports::RowWrite fenceWrite() const
    {
        return {fenceKey(options.partition), fenceVersion, fenceValue(options.epoch), false};
    }

    void readCheckpoint();
    void readObject();
    void readLog();
    void onLog(const std::vector<ports::Row> &rows);
    void retryLoad();

    void commitIfDue();
    void write();
    void onWritten(const ports::AsyncResult<std::uint64_t> &result);
    void finishBatch(std::uint64_t newFenceVersion);
    void readBack();
    void readFence(bool wasBatchWritten);

    void checkpointIfDue(const std::function<std::vector<const placement::Job *>()> &jobs);
    void moveCheckpoint(std::uint64_t upTo, const std::string &object);
    void removeCovered();

    Options options;
    ports::TableService &table;
    ports::ObjectStore &objects;
    const PlacementCodec &codec;
    std::uint64_t fenceVersion;
    TimePoint now;

    bool isLoading = false;
    TimePoint retryLoadAt;
    bool mustRetryLoad = false;
    std::function<void(LoadedPlacement)> onLoaded;
    LoadedPlacement loaded;
    std::string checkpointObject;

    std::uint64_t sequence = 0; // of the last row that is known to be written
    std::uint64_t coveredSequence = 0; // last sequence that the checkpoint covers
    std::uint64_t removedSequence = 0; // rows up to this sequence are removed
    std::deque<placement::LogEntry> pendingEntries;
    LogBatch batch; // being written
    bool isWriting = false;
    bool mustReadBack = false;
    TimePoint nextWrite;
    bool isCheckpointing = false;
    bool isFenced = false;
    CommittedHandler committedHandler;
    PlacementLogCounts counts;
    std::shared_ptr<bool> isAlive = std::make_shared<bool>(true);
};

PlacementLogStore::PlacementLogStore(Options options, ports::TableService &table, ports::ObjectStore &objects,
                                     const PlacementCodec &codec)
    : d(std::make_unique<Private>(std::move(options), table, objects, codec))
{
}

PlacementLogStore::~PlacementLogStore()
{
    *d->isAlive = false;
}

void PlacementLogStore::setCommittedHandler(CommittedHandler handler)
{
    d->committedHandler = std::move(handler);
}

bool PlacementLogStore::isFenced() const
{
    return d->isFenced;
}

bool PlacementLogStore::isIdle() const
{
    return d->pendingEntries.empty() && !d->isWriting;
}

const PlacementLogCounts &PlacementLogStore::counts() const
{
    return d->counts;
}

void PlacementLogStore::load(TimePoint now, std::function<void(LoadedPlacement)> done)
{
    d->now = now;
    d->isLoading = true;
    d->onLoaded = std::move(done);
    d->readCheckpoint();
}

void PlacementLogStore::Private::retryLoad()
{
    mustRetryLoad = true;
    retryLoadAt = now + RetryInterval;
}

void PlacementLogStore::Private::readCheckpoint()
{
    loaded = {};
    table.read(checkpointKey(options.partition),
               guarded<std::optional<ports::Row>>([this](const ports::AsyncResult<std::optional<ports::Row>> &row) {
                   if (!row.isOk()) {
                       retryLoad();
                       return;
                   }
                   coveredSequence = 0;
                   checkpointObject.clear();
                   if (row.value()) {
                       std::tie(coveredSequence, checkpointObject) = parseCheckpoint(row.value()->value);
                   }
                   sequence = coveredSequence;
                   removedSequence = coveredSequence;
                   if (checkpointObject.empty()) {
                       readLog();
                   } else {
                       readObject();
                   }
               }));
}

void PlacementLogStore::Private::readObject()
{
    objects.get(
        checkpointObject,
        guarded<std::optional<std::string>>([this](const ports::AsyncResult<std::optional<std::string>> &value) {
            if (!value.isOk() || !value.value()) {
                retryLoad();
                return;
            }
            const bool isRead = handleFailure(
                [&]() -> Result<bool> {
                    BOOST_LEAF_ASSIGN(loaded.jobs, codec.decodeJobs(*value.value()));
                    return true;
                },
                [](const Failure &) { return false; });
            if (isRead) {
                readLog();
            } else {
                retryLoad();
            }
        }));
}

void PlacementLogStore::Private::readLog()
{
    table.scan(logKey(options.partition, sequence + 1), logKey(options.partition, 999'999'999'999), ScanLimit,
               guarded<std::vector<ports::Row>>([this](const ports::AsyncResult<std::vector<ports::Row>> &rows) {
                   if (rows.isOk()) {
                       onLog(rows.value());
                   } else {
                       retryLoad();
                   }
               }));
}

void PlacementLogStore::Private::onLog(const std::vector<ports::Row> &rows)
{
    for (const auto &row : rows) {
        const bool isRead = handleFailure(
            [&]() -> Result<bool> {
                BOOST_LEAF_AUTO(it, codec.decodeBatch(row.value));
                sequence = it.sequence;
                loaded.entries.insert(loaded.entries.end(), it.entries.begin(), it.entries.end());
                return true;
            },
            [](const Failure &) { return false; });
        if (!isRead) {
            retryLoad();
            return;
        }
    }
    if (static_cast<int>(rows.size()) == ScanLimit) {
        readLog();
        return;
    }
    isLoading = false;
    std::exchange(onLoaded, nullptr)(std::exchange(loaded, {}));
}

void PlacementLogStore::append(std::vector<placement::LogEntry> entries)
{
    std::ranges::move(entries, std::back_inserter(d->pendingEntries));
}

void PlacementLogStore::tick(const std::function<std::vector<const placement::Job *>()> &jobs, TimePoint now)
{
    d->now = now;
    if (d->mustRetryLoad && now >= d->retryLoadAt) {
        d->mustRetryLoad = false;
        d->readCheckpoint();
    }
    if (d->isLoading || d->isFenced) {
        return;
    }
    if (d->mustReadBack && now >= d->nextWrite) {
        d->readBack();
        return;
    }
    d->checkpointIfDue(jobs);
    d->commitIfDue();
}

void PlacementLogStore::Private::commitIfDue()
{
    if (isWriting || isCheckpointing || pendingEntries.empty() || now < nextWrite) {
        return;
    }
    batch = LogBatch{options.epoch, sequence + 1, {}};
    while (!pendingEntries.empty() && batch.entries.size() < options.maxEntriesPerBatch) {
        batch.entries.push_back(std::move(pendingEntries.front()));
        pendingEntries.pop_front();
    }
    write();
}

void PlacementLogStore::Private::write()
{
    isWriting = true;
    nextWrite = now + options.window;
    ++counts.commits;
    const std::vector<ports::RowWrite> writes{
        fenceWrite(), {logKey(options.partition, batch.sequence), 0, codec.encode(batch), false}};
    table.commit(
        writes, guarded<std::uint64_t>([this](const ports::AsyncResult<std::uint64_t> &result) { onWritten(result); }));
}

void PlacementLogStore::Private::onWritten(const ports::AsyncResult<std::uint64_t> &result)
{
    if (result.isOk()) {
        finishBatch(result.value());
        return;
    }
    // After any failure, the row shows whether the batch was written, and the fence row
    // whether this owner may still write.
    mustReadBack = true;
    nextWrite = now + (result.failure().kind == ErrorKind::StoreUnavailable ? RetryInterval : options.window);
}

void PlacementLogStore::Private::finishBatch(std::uint64_t newFenceVersion)
{
    isWriting = false;
    fenceVersion = newFenceVersion;
    sequence = batch.sequence;
    counts.entries += batch.entries.size();
    const auto entries = std::exchange(batch.entries, {});
    if (committedHandler) {
        committedHandler(entries);
    }
}

void PlacementLogStore::Private::readBack()
{
    mustReadBack = false;
    ++counts.readBacks;
    table.read(logKey(options.partition, batch.sequence),
               guarded<std::optional<ports::Row>>([this](const ports::AsyncResult<std::optional<ports::Row>> &row) {
                   if (!row.isOk()) {
                       mustReadBack = true;
                       nextWrite = now + RetryInterval;
                       return;
                   }
                   bool isOwn = false;
                   if (row.value()) {
                       isOwn = handleFailure(
                           [&]() -> Result<bool> {
                               BOOST_LEAF_AUTO(it, codec.decodeBatch(row.value()->value));
                               return it.epoch == options.epoch;
                           },
                           [](const Failure &) { return false; });
                       if (!isOwn) {
                           isFenced = true;
                           return;
                       }
                   }
                   readFence(isOwn);
               }));
}

void PlacementLogStore::Private::readFence(bool wasBatchWritten)
{
    table.read(fenceKey(options.partition),
               guarded<std::optional<ports::Row>>(
                   [this, wasBatchWritten](const ports::AsyncResult<std::optional<ports::Row>> &row) {
                       if (!row.isOk()) {
                           mustReadBack = true;
                           nextWrite = now + RetryInterval;
                           return;
                       }
                       if (!row.value() || row.value()->value != fenceValue(options.epoch)) {
                           isFenced = true;
                           return;
                       }
                       if (wasBatchWritten) {
                           finishBatch(row.value()->version);
                           return;
                       }
                       fenceVersion = row.value()->version;
                       write();
                   }));
}

void PlacementLogStore::Private::checkpointIfDue(const std::function<std::vector<const placement::Job *>()> &jobs)
{
    const bool isDue = sequence - coveredSequence >= options.batchesPerCheckpoint;
    if (!isDue || isWriting || isCheckpointing) {
        return;
    }
    // The state also reflects entries that are not written yet. They will follow the
    // checkpoint in the log; restoring skips entries that do not apply to the state.
    isCheckpointing = true;
    const auto name = objectName(options.partition, options.epoch, sequence);
    const auto state = jobs();
    objects.put(name, codec.encode(state),
                guarded<ports::Done>([this, name, upTo = sequence](const ports::AsyncResult<ports::Done> &result) {
                    if (result.isOk()) {
                        moveCheckpoint(upTo, name);
                    } else {
                        isCheckpointing = false;
                    }
                }));
}

void PlacementLogStore::Private::moveCheckpoint(std::uint64_t upTo, const std::string &object)
{
    const std::vector<ports::RowWrite> writes{
        fenceWrite(), {checkpointKey(options.partition), ports::AnyVersion, checkpointValue(upTo, object), false}};
    table.commit(writes, guarded<std::uint64_t>([this, upTo, object](const ports::AsyncResult<std::uint64_t> &result) {
                     isCheckpointing = false;
                     if (!result.isOk()) {
                         // If the commit took effect, the next write fails on the changed fence row
                         // and reads it back.
                         return;
                     }
                     fenceVersion = result.value();
                     const auto former = std::exchange(checkpointObject, object);
                     coveredSequence = upTo;
                     ++counts.checkpoints;
                     if (!former.empty()) {
                         objects.remove(former, [](const ports::AsyncResult<ports::Done> &) {});
                     }
                     removeCovered();
                 }));
}

void PlacementLogStore::Private::removeCovered()
{
    std::vector<ports::RowWrite> writes;
    for (; removedSequence < coveredSequence; ++removedSequence) {
        writes.push_back({logKey(options.partition, removedSequence + 1), ports::AnyVersion, {}, true});
        if (writes.size() == RemovalsPerCommit) {
            table.commit(writes, [](const ports::AsyncResult<std::uint64_t> &) {});
            writes.clear();
        }
    }
    if (!writes.empty()) {
        table.commit(writes, [](const ports::AsyncResult<std::uint64_t> &) {});
    }
}

} // namespace monsoonspool::control
