#pragma once

#include "execution/removalschedule.h"
#include "execution/tombstonebounds.h"
#include "ports/changestore.h"

namespace monsoonspool::execution {

// At most one call to the store is made within this time, and none while no tombstone is due.
inline constexpr Duration TombstoneRemovalInterval = 1s;
// A removal needs a condition, and names the row and its index row.
inline constexpr std::size_t TombstonesPerRemoval = 33;
static_assert(TombstonesPerRemoval * 3 <= ports::MaxCommitEntries);

// The tombstones that a leader knows, and when to remove them.
class TombstoneSchedule : public RemovalSchedule
{
public:
    using Tombstone = Due;

    TombstoneSchedule() : RemovalSchedule({TombstoneLifetime, TombstoneRemovalInterval, TombstonesPerRemoval})
    {
    }
};

} // namespace monsoonspool::execution
