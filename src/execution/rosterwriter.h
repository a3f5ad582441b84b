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

// Stores which workers may run something, before they do: a successor waits until
// each of them has said what it runs, or has lapsed. Workers that join together are
// written together, and only the rows that changed. No former leader can change a
// row after a successor's claim.
//
// Lives on the control thread.
class RosterWriter
{
public:
    // `stored` are the rows as read for the claim, whose version is `claimVersion`.
    RosterWriter(ports::ChangeStore &store, ports::Scheduler &scheduler, const RowCodec &codec, Fleet &fleet,
                 DecisionLog &log, std::uint64_t claimVersion, std::span<const ports::StoredRow> stored,
                 std::function<void()> onStored);
    ~RosterWriter();
    RosterWriter(const RosterWriter &) = delete;
    RosterWriter &operator=(const RosterWriter &) = delete;

    // Returns the workers of the rows as read for the claim.
    std::vector<ports::WorkerEntry> entries() const;
    // The roster may have changed.
    void requestWrite();

private:
    struct Private;
    std::shared_ptr<Private> d;
};

} // namespace monsoonspool::execution
