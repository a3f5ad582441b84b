#pragma once

#include "common/time.h"
#include "jobs/taskid.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace monsoonspool::execution {

// Which rows of jobs a leader removes from the store, and when. Performs no I/O.
//
// The age of a row counts from when this leader read it, on the leader's steady clock, so that it depends on no
// wall clock and covers rows without an age. A takeover begins it again.
//
// Used only on the control thread.
class RemovalSchedule
{
public:
    struct Limits
    {
        Duration lifetime; // a row is due at this age
        Duration interval; // between two removals
        std::size_t mostPerRemoval = 1;
        Duration batchDelay{0}; // for which rows that are due wait for others
    };
    struct Due
    {
        jobs::JobKey job;
        std::uint64_t version = 0; // of its row
    };

    explicit RemovalSchedule(const Limits &limits) : m_limits(limits)
    {
    }

    // Records a row as read. A later version of a known row begins its age again.
    void noteRead(jobs::JobKey job, std::uint64_t version, TimePoint now);
    // Records that the row was removed by the commit `version`.
    void noteRemoved(jobs::JobKey job, std::uint64_t version);

    // Returns the rows of one part of the store to remove now. Until noteRemovalEnded() is
    // called, returns none.
    std::vector<Due> takeDue(TimePoint now);
    // Records that the removal has ended. Those of the batch that are still known are due again.
    void noteRemovalEnded();

    bool contains(jobs::JobKey job) const
    {
        return m_entries.contains(job);
    }
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

    Limits m_limits;
    std::unordered_map<jobs::JobKey, Entry> m_entries;
    std::map<std::string, std::set<std::pair<TimePoint, jobs::JobKey>>> m_byPart; // by the time of the reading
    TimePoint m_removedAt;
    bool m_isRemoving = false;
};

} // namespace monsoonspool::execution
