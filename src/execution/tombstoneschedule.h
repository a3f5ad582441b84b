#pragma once

#include "execution/tombstonebounds.h"
#include "jobs/job.h"
#include "ports/changestore.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace monsoonspool::execution {

// At most one call to the store is made within this time, and none while no tombstone is due.
inline constexpr Duration TombstoneRemovalInterval = 1s;
// A removal needs a condition, and names the row and its index row.
inline constexpr std::size_t TombstonesPerRemoval = 33;
static_assert(TombstonesPerRemoval * 3 <= ports::MaxCommitEntries);

// The tombstones that a leader knows, and when to remove them. Performs no I/O.
//
// The age of a tombstone counts from when this leader read it, on the leader's steady clock, so that
// it depends on no wall clock and covers rows without an age. A takeover begins it again.
//
// Used only on the control thread.
class TombstoneSchedule
{
public:
    struct Tombstone
    {
        jobs::JobKey job;
        std::uint64_t version = 0; // of its row
    };

    // Records a row as read. A later version of a known row begins its age again.
    void noteRead(jobs::JobKey job, std::uint64_t version, TimePoint now);
    // Records that the row was removed by the commit `version`.
    void noteRemoved(jobs::JobKey job, std::uint64_t version);

    // Returns the tombstones of one part of the store to remove now. Until noteRemovalEnded() is
    // called, returns none.
    std::vector<Tombstone> takeDue(TimePoint now);
    // Records that the removal has ended. Those of the batch that are still known are due again.
    void noteRemovalEnded();

    std::size_t size() const
    {
        return m_entries.size();
    }
    // Returns the longest time since one was first read.
    Duration oldestAge(TimePoint now) const;

private:
    struct Entry
    {
        std::uint64_t version = 0;
        TimePoint readAt;
    };

    std::unordered_map<jobs::JobKey, Entry> m_entries;
    std::map<std::string, std::set<std::pair<TimePoint, jobs::JobKey>>> m_byPart; // by the time of the reading
    TimePoint m_removedAt;
    bool m_isRemoving = false;
};

} // namespace monsoonspool::execution
