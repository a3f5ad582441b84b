#pragma once

#include "common/identifiers.h"
#include "common/time.h"
#include "membership/witnesses.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace monsoonspool::membership {

// The jobs that have not started, as a leader has counted them.
struct WaitingCounts
{
    std::map<std::string, int> byQueue;
    std::uint64_t version = 0; // of the store; jobs accepted up to it are counted
    Duration age{0}; // since the store was read up to it, from the writing of the row that holds this
    bool isTruncated = false; // the counts of some queues are left out; otherwise those of 0

    // Leaves out the smallest counts, so that the names of the queues take at most `bytes`.
    void limitTo(std::size_t bytes);
    // Returns the count of a queue, or nullopt if it is not known.
    std::optional<int> find(const std::string &queue) const;
};

// A leader that may still decide although another host has claimed.
struct FormerLeader
{
    EntryHostId host;
    std::uint64_t incarnation = 0; // of the host's process
    Epoch fence;
};

// A worker that the leader does not reach, with a bound on the leases that any leader has granted
// there. The leader extends none and starts nothing there until a row without this entry is stored.
struct SilentWorker
{
    WorkerId worker;
    Duration leasesEndIn{0}; // from the writing of the row
};

// The table row that names the leader, the host that schedules. Only the leader and
// hosts that claim leadership write it.
struct LeaderRow
{
    EntryHostId host; // empty after the last leader has released it
    std::uint64_t incarnation = 0; // of the host's process
    Epoch fence; // fencing token, increases with each claim
    std::uint64_t beat = 0; // increases with each renewal
    double bestShare = 0; // the largest processor share of any leader so far
    WaitingCounts waiting;
    Duration formersDecideFor{0}; // from the writing of this row: how long earlier leaders may still decide
    std::optional<FormerLeader> former; // replaced by this row's claim; none if it had stopped
    std::vector<SilentWorker> silentWorkers;
    std::vector<Witness> witnesses; // empty in rows of earlier releases
    std::vector<std::string> fullQueues; // of which no more jobs should be accepted
    std::size_t tombstones = 0; // of jobs that were cancelled before they were accepted, in the store
};

// A term that has certainly ended: nothing is ordered under its fence any more.
struct EndedTerm
{
    Epoch fence;
    Duration leasesEndIn{0}; // from the writing: until all leases of this and earlier terms have ended
};

// Time without a renewal after which the leader is considered dead. A killed process
// usually restarts in less than a second and then claims at once.
constexpr Duration LeaderStaleAfter = 2200ms;
constexpr Duration RenewInterval = 800ms;
// The same while a worker waits for the row to be renewed.
constexpr Duration UrgentRenewInterval = 200ms;
// How long a leader that cannot reach the store keeps deciding from its state in memory, if its witnesses
// support it or its row names none. A successor that cannot exclude that waits as long for workers that it
// cannot reach.
constexpr Duration StoreOutageGracePeriod = 12s;
// The same without support. Leases end with it. While the row is renewed in time, they are nearly as long as
// without it, so that a successor can renew them.
constexpr Duration UnsupportedGracePeriod = 6400ms;
// For how long a leader may decide after the support of its witnesses, beyond UnsupportedGracePeriod.
constexpr Duration SupportValidity = 3500ms;
// A leader whose row was not renewed for this time asks its witnesses at shorter intervals.
constexpr Duration SupportNeededAfter = 2s;
// Maximum relative rate error between the clocks of two hosts.
constexpr double HostClockDrift = 0.02;
// After a longer gap in its own contact with the store, a host restarts the
// measurement of the leader's silence.
constexpr Duration MaxContactGap = 1s;

// Returns by how much a host claims later than the best host, given its `share` of a
// processor and its round trip to the store. `bestShare` is the largest processor share
// of any leader so far, or 0 if there was none: then a whole processor is the best.
Duration claimDelay(double share, double bestShare, Duration storeRoundTrip);

// Leader election through one row: tracks whether this host is the leader or should
// claim leadership. The row's compare-and-set decides between competing hosts. The
// fencing token increases with each claim, and workers refuse lower tokens.
//
// Hosts claim one after another: their claim delays put weak and distant hosts last.
//
// A leader decides beyond UnsupportedGracePeriod, and grants leases beyond it, only while a majority of the
// witnesses in its row obeys it. Once they obey a successor, it therefore knows that its predecessors soon stop,
// although it cannot hear them: they may be cut off from the store and still reach some workers.
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

    // Records the row as read; nullopt if it does not exist.
    void noteRow(const std::optional<LeaderRow> &row, std::uint64_t version, TimePoint now);
    // Records that the store replied to this host.
    void noteStoreContact(TimePoint now);

    // Returns the claim or renewal to write now, if any. Claims wait for `delay`, see
    // claimDelay(); a row that names an earlier run of this host is claimed at once. A renewal is
    // due earlier if it `isUrgent`.
    std::optional<Write> dueWrite(Duration delay, TimePoint now, bool isUrgent = false);
    // Gives up leadership. Returns the write that releases the row, if this host leads.
    std::optional<Write> release();
    // Gives up leadership without a write: another host has a higher fencing token.
    void stepDown(TimePoint now);

    void noteWritten(const Write &write, std::uint64_t version, TimePoint sentAt, TimePoint now);
    // Records that a write was refused or that its result is unknown; the row must be
    // read again.
    void noteFailed(TimePoint now);

    // Records that the term with `fence` of this process has ended and that all leases of it and
    // of earlier leaders end before `leasesEnd`.
    void noteTermEnded(Epoch fence, TimePoint leasesEnd);
    // Returns the end of a term of this host that the present leader waits for, if it must be
    // stored. A lease lasts `longestLease` at most.
    std::optional<EndedTerm> dueEndReport(Duration longestLease, TimePoint now) const;
    void noteEndReported(Epoch fence);
    // Records the end that another host has stored; without effect unless this host's claim has
    // replaced that term.
    void noteEndedTerm(const EndedTerm &ended, TimePoint now);

    // Records the answers that the witnesses have given in this leader's term. Returns whether they show for
    // the first time that no former leader is supported any more.
    bool noteAnswers(const WitnessAnswers &answers, TimePoint now);
    // Returns the processes on whose answers the term depends.
    std::vector<Witness> witnesses() const
    {
        return m_witnesses.all();
    }
    // Returns whether the next row may name other witnesses. While former leaders may decide, it keeps theirs,
    // so that all leaders that may decide ask the same ones.
    bool mayChangeWitnesses(TimePoint now) const;
    // Records that a row that names these witnesses is about to be written.
    void noteWitnessesOffered(std::span<const Witness> witnesses);

    bool isLeader() const
    {
        return m_isLeader;
    }
    // Returns when the last successful claim or renewal was sent. Until then no other host had
    // claimed leadership since.
    TimePoint renewedAt() const
    {
        return m_renewedAt;
    }
    // Returns until when this host may decide if it is the leader.
    TimePoint decidesUntil() const;
    // Returns whether this host is the leader and may still decide.
    bool mayDecide(TimePoint now) const;
    // Returns until when leaders before this host may decide at the latest. A leader that has
    // released the row and an earlier run of this host have stopped.
    TimePoint formersDecideUntil() const
    {
        return std::max(m_formerDecidesUntil, m_earlierDecideUntil);
    }
    // Returns when the leases of all leaders before this host have ended, if the leader before it
    // has reported its end.
    std::optional<TimePoint> formersEndAt() const
    {
        return m_formersEndAt;
    }
    // Returns the same if the witnesses have shown that none of these leaders is supported any more.
    std::optional<TimePoint> unsupportedFormersEndAt() const
    {
        return m_unsupportedFormersEndAt;
    }
    const std::optional<LeaderRow> &row() const
    {
        return m_row;
    }
    // Returns the silent workers of the row as last read or written, with a bound on their leases
    // from `now`.
    std::vector<SilentWorker> silentWorkers(TimePoint now) const;
    // Returns the counts of the row as last read or written, with their age at `now`.
    WaitingCounts waitingCounts(TimePoint now) const;
    std::uint64_t claimVersion() const
    {
        return m_claimVersion;
    }
    Epoch fence() const
    {
        return m_fence;
    }

private:
    Duration formersDecideFor(TimePoint now) const;
    void resetWitnesses();
    void beginLeadership(const LeaderRow &row, std::uint64_t version, TimePoint renewedAt);

    EntryHostId m_self;
    std::uint64_t m_incarnation;
    TimePoint m_startedAt;
    bool m_isRead = false;
    std::optional<LeaderRow> m_row;
    std::uint64_t m_version = 0;
    TimePoint m_changedAt;
    TimePoint m_contactSince; // start of the contact with the store without gaps
    TimePoint m_contactAt;
    bool m_isLeader = false;
    bool m_isWriting = false;
    Epoch m_fence;
    std::uint64_t m_claimVersion = 0;
    Epoch m_claimFence;
    TimePoint m_claimedAt; // first attempt to claim with m_claimFence
    TimePoint m_renewedAt; // when the last successful renewal was sent
    std::optional<FormerLeader> m_former; // named by the last row of another host that was read
    TimePoint m_formerDecidesUntil;
    TimePoint m_earlierDecideUntil; // leaders before m_former
    std::optional<TimePoint> m_formersEndAt;
    Witnesses m_witnesses; // of the row
    std::optional<TimePoint> m_supportedSince; // by all lists of m_witnesses
    std::vector<Witness> m_formerWitnesses; // of the row that the claim has replaced
    TimePoint m_replacedRowReadAt;
    std::optional<TimePoint> m_unsupportedFormersEndAt;
    std::optional<Epoch> m_endedFence; // of the last term of this process
    TimePoint m_endedLeasesEnd; // of the same term
    std::optional<Epoch> m_reportedFence;
    TimePoint m_retryAt;
};

} // namespace monsoonspool::membership
