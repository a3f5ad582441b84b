#pragma once

#include "common/identifiers.h"
#include "common/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace monsoonspool::membership {

// The row that says which host schedules. Only its writer changes it.
struct LeaderRow
{
    EntryHostId host; // empty once the last leader has released it
    std::uint64_t incarnation = 0; // of the host's process
    Epoch fence;
    std::uint64_t beat = 0; // grows with each renewal
    double bestShare = 0; // the greatest processor share of a leader so far
    std::map<std::string, int> waiting; // jobs of each queue that have not started
};

// How long ago a leader must have renewed its row to be taken as dead. A killed
// process restarts in less than a second as a rule and then claims at once.
constexpr Duration LeaderStaleAfter = 2200ms;
constexpr Duration RenewInterval = 800ms;
// A leader whose store is away goes on from memory for this long. Runs on workers
// stay fenced whoever claims meanwhile; the bound only limits how long a worker
// that a successor cannot reach may be kept at work.
constexpr Duration DecideWithoutStore = 12s;
// A gap in a host's own contact with the store that makes it start counting anew.
constexpr Duration ContactGap = 1s;

// Returns how much later than the best host one with `share` of a processor, at
// `distance` from the store, claims. `bestShare` is that of the strongest leader so far,
// or 0 if nobody has led: then all hosts wait for one of a whole processor.
Duration claimHandicap(double share, double bestShare, Duration distance);

// Whether this host schedules, or should claim to. The row's compare-and-set
// judges; its fence rises with each claim, and workers refuse lower ones.
//
// Hosts claim one after another: `handicap` puts weak and distant hosts last.
//
// Not thread-safe: owned by the control thread.
class Leadership
{
public:
    Leadership(EntryHostId self, std::uint64_t incarnation, TimePoint now);

    // A write of the row that should be made now.
    struct Write
    {
        std::uint64_t expectedVersion = 0;
        LeaderRow row;
        bool isClaim = false;
    };

    // Takes in the row as read; nullopt if there is none.
    void noteRow(const std::optional<LeaderRow> &row, std::uint64_t version, TimePoint now);
    // Notes that the store answered this host.
    void noteContact(TimePoint now);

    std::optional<Write> dueWrite(Duration handicap, TimePoint now);
    // Returns the write that hands the office back, if this host holds it.
    std::optional<Write> release();
    // Leaves the office without a write: somebody else has a higher fence.
    void stepDown(TimePoint now);

    void noteWritten(const Write &write, std::uint64_t version, TimePoint sentAt, TimePoint now);
    // The write was refused, or nobody knows; the row is to be read again.
    void noteFailed(TimePoint now);

    bool isLeader() const
    {
        return m_isLeader;
    }
    // Returns whether this host is leader and may still decide.
    bool mayDecide(TimePoint now) const;
    const std::optional<LeaderRow> &row() const
    {
        return m_row;
    }
    std::uint64_t claimVersion() const
    {
        return m_claimVersion;
    }
    Epoch fence() const
    {
        return m_fence;
    }

private:
    EntryHostId m_self;
    std::uint64_t m_incarnation;
    TimePoint m_startedAt;
    bool m_isRead = false;
    std::optional<LeaderRow> m_row;
    std::uint64_t m_version = 0;
    TimePoint m_changedAt;
    TimePoint m_contactSince;
    TimePoint m_contactAt;
    bool m_isLeader = false;
    bool m_isWriting = false;
    Epoch m_fence;
    std::uint64_t m_claimVersion = 0;
    TimePoint m_renewedAt; // when the last renewal that succeeded was sent
    TimePoint m_retryAt;
};

} // namespace monsoonspool::membership
