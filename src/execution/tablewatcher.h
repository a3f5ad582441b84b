#pragma once

#include "common/decisionlog.h"
#include "ports/changestore.h"
#include "ports/scheduler.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace monsoonspool::execution {

// Reads a whole table and then watches its changes until it is destroyed. Retries
// failed calls, and reads the whole table again if the read failed midway or the store
// has dropped the history from which to continue.
//
// Used only on the control thread.
class TableWatcher
{
public:
    struct Hooks
    {
        // All rows of the table, replacing earlier snapshots and changes; none if onSnapshotPage is set.
        std::function<void(std::span<const ports::StoredRow>)> onSnapshot;
        // Changed rows in order; may repeat rows of the snapshot.
        std::function<void(std::span<const ports::StoredRow>)> onChanges;
        // The store answered this host after `roundTrip`, which is zero for a long poll.
        std::function<void(Duration roundTrip)> onContact;
        // All rows stored before `time`, which include those up to `version`, were passed to the
        // other hooks. Optional.
        std::function<void(TimePoint time, std::uint64_t version)> onCaughtUp = {};
        // The rows of a snapshot, page by page as they are read, so that the watcher holds no more than one.
        // A snapshot that fails midway is begun again with its first page. Optional.
        std::function<void(std::span<const ports::StoredRow>)> onSnapshotPage = {};
    };

    TableWatcher(ports::ChangeStore &store, ports::Scheduler &scheduler, DecisionLog &log, std::string table,
                 std::vector<std::string> parts, Duration wait, Hooks hooks);
    ~TableWatcher();
    TableWatcher(const TableWatcher &) = delete;
    TableWatcher &operator=(const TableWatcher &) = delete;

private:
    struct Private;
    std::shared_ptr<Private> d;
};

} // namespace monsoonspool::execution
