#pragma once

#include "execution/tombstonebounds.h"

#include <cstddef>
#include <cstdint>

namespace monsoonspool::execution {

// Events of one host since its start, shown in the state dump and metrics.
struct TombstoneRequestCounts
{
    std::uint64_t written = 0;
    std::uint64_t refusedByRate = 0; // cancellations that the bounds of this host did not allow
    std::uint64_t refusedByTotal = 0; // the same by the number of tombstones of all hosts
};

// Bounds the tombstones that clients of one host can write: anybody can cancel jobs that do not
// exist. Performs no I/O.
//
// Used only on the control thread.
class TombstoneLimiter
{
public:
    // Records the number of tombstones in the store, as the leader has counted them.
    void recordStored(std::size_t count);
    // Returns whether a tombstone may be written now, and counts it.
    bool take(TimePoint now);
    // Takes back a count: the tombstone was not written.
    void giveBack();
    void noteWritten();
    const TombstoneRequestCounts &counts() const
    {
        return m_counts;
    }

private:
    double m_available = TombstoneBurst;
    TimePoint m_updatedAt;
    std::size_t m_stored = 0;
    TombstoneRequestCounts m_counts;
};

} // namespace monsoonspool::execution
