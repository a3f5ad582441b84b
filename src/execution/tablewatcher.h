#pragma once

#include "common/decisionlog.h"
#include "ports/changestore.h"
#include "ports/scheduler.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace monsoonspool::execution {

// Reads a table whole and then follows its changes, for as long as it lives. After
// an outage or a dropped history it reads the table whole again.
//
// Lives on the control thread.
class TableWatcher
{
public:
    struct Hooks
    {
        // All rows of the table, as a new beginning.
        std::function<void(std::span<const ports::StoredRow>)> onSnapshot;
        // Rows that changed, in order; may repeat rows of the snapshot.
        std::function<void(std::span<const ports::StoredRow>)> onChanges;
        // The store answered this host after `roundTrip`; zero if it was told to wait.
        std::function<void(Duration roundTrip)> onContact;
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
