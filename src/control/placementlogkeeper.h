#pragma once

#include "common/time.h"
#include "control/placementcodec.h"
#include "ports/objectstore.h"
#include "ports/tableservice.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <vector>

namespace monsoonspool::control {

// What a new owner finds.
struct LoadedPlacement
{
    std::vector<placement::Job> jobs; // of the checkpoint
    std::vector<placement::LogEntry> entries; // after it
};

struct PlacementLogCounts
{
    std::uint64_t commits = 0;
    std::uint64_t entries = 0;
    std::uint64_t readBacks = 0;
    std::uint64_t checkpoints = 0;
};

// Keeps the log of one partition in the table service, for one epoch of its owner.
//
// Batches of entries are appended as numbered rows, one write under way at a
// time and at least `window` between two. Each write also writes the partition's
// fence row on the version that this owner knows, so that it fails for good once
// a successor has claimed the partition. A write whose reply was lost is settled
// by reading its row back: only this owner writes rows while the fence is its own.
//
// After `batchesPerCheckpoint` batches the whole state goes into the object
// store, the checkpoint row is moved to it, and the rows behind it are removed.
//
// Not thread-safe: owned by the control thread.
class PlacementLogKeeper
{
public:
    struct Options
    {
        PartitionName partition;
        Epoch epoch;
        std::uint64_t fenceVersion = 0;
        Duration window = 60ms;
        std::uint64_t batchesPerCheckpoint = 2'000;
        std::size_t maxEntriesPerBatch = 1'000;
    };
    using CommittedHandler = std::function<void(std::span<const placement::LogEntry>)>;

    PlacementLogKeeper(Options options, ports::TableService &table, ports::ObjectStore &objects,
                       const PlacementCodec &codec);
    ~PlacementLogKeeper();
    PlacementLogKeeper(const PlacementLogKeeper &) = delete;
    PlacementLogKeeper &operator=(const PlacementLogKeeper &) = delete;

    // Loads what former owners have left, trying until it succeeds.
    void load(TimePoint now, std::function<void(LoadedPlacement)> done);

    // Queues entries; `committed` is called with them, batch by batch.
    void append(std::vector<placement::LogEntry> entries);
    void setCommittedHandler(CommittedHandler committed);

    // Does what is due. `jobs` gives the state that all entries make which were
    // appended until now; it is written when a checkpoint is due.
    void tick(const std::function<std::vector<const placement::Job *>()> &jobs, TimePoint now);

    // Returns whether a successor is known to have taken over.
    bool isFencedOff() const;

    // Returns whether everything appended is committed.
    bool isIdle() const;
    const PlacementLogCounts &counts() const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace monsoonspool::control
