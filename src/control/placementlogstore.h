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

// The state that earlier owners have recorded.
struct LoadedPlacement
{
    std::vector<placement::Job> jobs; // from the checkpoint
    std::vector<placement::LogEntry> entries; // after the checkpoint
};

struct PlacementLogCounts
{
    std::uint64_t commits = 0;
    std::uint64_t entries = 0;
    std::uint64_t readBacks = 0;
    std::uint64_t checkpoints = 0;
};

// Writes the log of one partition to the table service, for one epoch of its owner.
//
// Batches of entries are appended as numbered rows, with one write in flight at a time
// and at least `window` between two writes. Each commit also writes the partition's
// fence row, conditional on the version that this owner knows, so that it fails
// permanently once a successor has claimed the partition. The result of a write whose
// reply was lost is resolved by reading its row back: while the fence holds this
// owner's epoch, no other host writes rows.
//
// After `batchesPerCheckpoint` batches the whole state is stored as an object, the
// checkpoint row is set to refer to it, and the rows that it covers are removed.
//
// Not thread-safe: owned by the control thread.
class PlacementLogStore
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

    PlacementLogStore(Options options, ports::TableService &table, ports::ObjectStore &objects,
                      const PlacementCodec &codec);
    ~PlacementLogStore();
    PlacementLogStore(const PlacementLogStore &) = delete;
    PlacementLogStore &operator=(const PlacementLogStore &) = delete;

    // Loads the checkpoint and the log of earlier owners, retrying until it succeeds.
    void load(TimePoint now, std::function<void(LoadedPlacement)> done);

    // Queues entries. The committed handler is called with each committed batch.
    void append(std::vector<placement::LogEntry> entries);
    void setCommittedHandler(CommittedHandler handler);

    // Starts the reads, commits and checkpoints that are due. `jobs` returns the state
    // after all entries appended so far; it is written when a checkpoint is due.
    void tick(const std::function<std::vector<const placement::Job *>()> &jobs, TimePoint now);

    // Returns whether a successor is known to have claimed the partition.
    bool isFenced() const;

    // Returns whether all appended entries are committed.
    bool isIdle() const;
    const PlacementLogCounts &counts() const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace monsoonspool::control
