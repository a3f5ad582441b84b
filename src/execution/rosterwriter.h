#pragma once

#include "execution/fleet.h"
#include "execution/rowcodec.h"
#include "ports/changestore.h"
#include "ports/scheduler.h"

#include <functional>
#include <memory>
#include <span>
#include <vector>

namespace monsoonspool::execution {

// Persists which workers may run tasks, before they run any: a successor waits until
// each of them has reported its runs or its lease has expired. Workers that join
// together are written in one commit, which contains only the rows that changed. A
// former leader cannot change a row after a successor's claim.
//
// Used only on the control thread.
class RosterWriter
{
public:
    // `stored` holds the rows read for the claim, and `claimVersion` is the version of
    // the claim's commit.
    RosterWriter(ports::ChangeStore &store, ports::Scheduler &scheduler, const RowCodec &codec, Fleet &fleet,
                 DecisionLog &log, std::uint64_t claimVersion, std::span<const ports::StoredRow> stored,
                 std::function<void()> onStored);
    ~RosterWriter();
    RosterWriter(const RosterWriter &) = delete;
    RosterWriter &operator=(const RosterWriter &) = delete;

    // Returns the workers in the rows that were last read or written.
    std::vector<RosterEntry> entries() const;
    // Schedules a write if the roster has changed.
    void requestWrite();

private:
    struct Private;
    std::shared_ptr<Private> d;
};

} // namespace monsoonspool::execution
