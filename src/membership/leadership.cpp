#include "membership/leadership.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace monsoonspool::membership {

namespace {

// Delay before the next write after one that was refused or got no reply.
constexpr Duration RetryInterval = 250ms;

// Delay of a claim relative to the best host's: for each halving of the processor
// share, and for each millisecond of round trip to the store. One halving outweighs
// the difference between the hosts' start times (0.3 s, as the platform states) and
// the round trip between regions.
constexpr double DelayPerHalvingMs = 350;
constexpr double DelayPerRoundTripMs = 12;
constexpr double MinShare = 0.01;

// Age of the counts while no leader has counted.
constexpr Duration UnlimitedAge = 24h;

// Bytes of an encoded count besides the name of its queue.
constexpr std::size_t CountOverhead = 8;

// Returns an upper bound of a time that another host has measured as `d`.
Duration stretched(Duration d)
{
    return std::chrono::duration_cast<Duration>(d * (1 + HostClockDrift));
}

} // namespace

void WaitingCounts::limitTo(std::size_t bytes)
{
    std::size_t used = 0;
    for (const auto &[queue, count] : byQueue) {
        used += queue.size() + CountOverhead;
    }
    if (used <= bytes) {
        return;
    }
    std::vector<std::pair<int, std::string>> counts;
    for (const auto &[queue, count] : byQueue) {
        counts.emplace_back(count, queue);
    }
    std::ranges::sort(counts);
    for (auto it = counts.begin(); used > bytes; ++it) {
        used -= it->second.size() + CountOverhead;
        byQueue.erase(it->second);
    }
    isTruncated = true;
}

std::optional<int> WaitingCounts::find(const std::string &queue) const
{
    const auto it = byQueue.find(queue);
    if (it != byQueue.end()) {
        return it->second;
    }
    return isTruncated ? std::nullopt : std::optional(0);
}

Duration claimDelay(double share, double bestShare, Duration storeRoundTrip)
{
    const double best = bestShare > 0 ? bestShare : 1;
    const double halvings = std::max(0.0, std::log2(best / std::max(share, MinShare)));
    const double roundTripMs = std::chrono::duration<double, std::milli>(storeRoundTrip).count();
    return std::chrono::milliseconds(
        static_cast<std::int64_t>(halvings * DelayPerHalvingMs + roundTripMs * DelayPerRoundTripMs));
}

Leadership::Leadership(EntryHostId self, std::uint64_t incarnation, TimePoint now)
    : m_self(std::move(self)), m_incarnation(incarnation), m_startedAt(now), m_contactSince(now)
{
}

void Leadership::noteRow(const std::optional<LeaderRow> &row, std::uint64_t version, TimePoint now)
{
    if (m_isRead && version <= m_version) {
        return;
    }
    m_isRead = true;
    m_row = row;
    m_version = version;
    m_changedAt = now;
    resetWitnesses();
    const bool isOwn = row && row->host == m_self && row->incarnation == m_incarnation;
    if (row && !isOwn) {
        // The row was written before `now`, and a renewal counts from when it was sent.
        const bool isOtherHost = !row->host.isEmpty() && row->host != m_self;
        m_former = isOtherHost ? std::optional(FormerLeader{row->host, row->incarnation, row->fence}) : std::nullopt;
        m_formerDecidesUntil = now + (isOtherHost ? stretched(StoreOutageGracePeriod) : Duration(0));
        m_earlierDecideUntil = now + row->formersDecideFor;
        m_formersEndAt.reset();
    }
    if (m_isLeader && !isOwn) {
        stepDown(now);
    }
    if (isOwn && !m_isLeader && !m_isWriting && row->fence > m_fence) {
        // A claim of this process took effect although its reply was lost. A row with the
        // fence of an earlier term may be a renewal: that term is not resumed.
        beginLeadership(*row, version, m_claimedAt);
    }
}

void Leadership::beginLeadership(const LeaderRow &row, std::uint64_t version, TimePoint renewedAt)
{
    m_isLeader = true;
    m_fence = row.fence;
    m_claimVersion = version;
    m_renewedAt = renewedAt;
    m_supportedSince.reset();
    m_unsupportedFormersEndAt.reset();
    m_formerWitnesses = row.witnesses; // the claim keeps them
    if (!m_former || !row.former || row.former->fence != m_former->fence) {
        // The claim has replaced a term of this host, whose leases no report covers.
        m_former.reset();
        m_formersEndAt.reset();
    }
}

void Leadership::noteStoreContact(TimePoint now)
{
    if (now - m_contactAt > MaxContactGap) {
        m_contactSince = now;
    }
    m_contactAt = now;
}

std::optional<Leadership::Write> Leadership::dueWrite(Duration delay, TimePoint now, bool isUrgent)
{
    if (!m_isRead || m_isWriting || now < m_retryAt) {
        return std::nullopt;
    }
    if (m_isLeader) {
        if (now - m_renewedAt < (isUrgent ? UrgentRenewInterval : RenewInterval)) {
            return std::nullopt;
        }
        Write write{m_version, *m_row, false};
        ++write.row.beat;
        write.row.waiting = waitingCounts(now);
        write.row.formersDecideFor = formersDecideFor(now);
        write.row.silentWorkers = silentWorkers(now);
        m_isWriting = true;
        return write;
    }
    const bool isFree = !m_row || m_row->host.isEmpty();
    const bool isOwnEarlierRun = m_row && m_row->host == m_self;
    if (isFree) {
        if (now < std::max(m_startedAt, m_changedAt) + delay) {
            return std::nullopt;
        }
    } else if (!isOwnEarlierRun) {
        const auto since = std::max(m_changedAt, m_contactSince);
        const bool isInContact = now - m_contactAt <= MaxContactGap;
        if (!isInContact || now < since + LeaderStaleAfter + delay) {
            return std::nullopt;
        }
    }
    Write write;
    write.expectedVersion = m_row ? m_version : 0;
    write.isClaim = true;
    write.row.host = m_self;
    write.row.incarnation = m_incarnation;
    write.row.fence = {m_row ? m_row->fence.value + 1 : 1};
    write.row.bestShare = m_row ? m_row->bestShare : 0;
    write.row.waiting = waitingCounts(now);
    write.row.formersDecideFor = formersDecideFor(now);
    write.row.silentWorkers = silentWorkers(now);
    if (m_row) {
        write.row.witnesses = m_row->witnesses;
    }
    m_replacedRowReadAt = m_changedAt;
    if (!isFree && !isOwnEarlierRun) {
        write.row.former = m_former;
    }
    if (write.row.fence != m_claimFence) {
        m_claimFence = write.row.fence;
        m_claimedAt = now;
    }
    m_isWriting = true;
    return write;
}

std::optional<Leadership::Write> Leadership::release()
{
    if (!m_isLeader || !m_row) {
        return std::nullopt;
    }
    Write write{m_version, *m_row, false};
    write.row.host = EntryHostId();
    m_isLeader = false;
    m_isWriting = true; // otherwise the row, which still names this host, would be claimed again at once
    return write;
}

void Leadership::stepDown(TimePoint now)
{
    m_isLeader = false;
    m_retryAt = now + RetryInterval;
}

void Leadership::noteWritten(const Write &write, std::uint64_t version, TimePoint sentAt, TimePoint now)
{
    m_isWriting = false;
    if (version < m_version) {
        return; // a newer row has been read meanwhile
    }
    m_row = write.row;
    m_version = version;
    m_changedAt = now;
    resetWitnesses();
    m_renewedAt = sentAt;
    if (write.isClaim) {
        beginLeadership(write.row, version, sentAt);
    }
}

void Leadership::noteFailed(TimePoint now)
{
    m_isWriting = false;
    m_retryAt = now + RetryInterval;
}

void Leadership::noteTermEnded(Epoch fence, TimePoint leasesEnd)
{
    m_endedFence = fence;
    m_endedLeasesEnd = leasesEnd;
}

std::optional<EndedTerm> Leadership::dueEndReport(Duration longestLease, TimePoint now) const
{
    const auto *former = m_row && m_row->former ? &*m_row->former : nullptr;
    const bool isAwaited = former != nullptr && former->host == m_self && !m_isLeader && !m_row->host.isEmpty()
        && m_row->formersDecideFor > Duration(0) && m_reportedFence != former->fence;
    if (!isAwaited) {
        return std::nullopt;
    }
    if (former->incarnation != m_incarnation) {
        // That process had stopped when this one started.
        return EndedTerm{former->fence, std::max(m_startedAt + longestLease - now, Duration(0))};
    }
    if (m_endedFence != former->fence) {
        return std::nullopt;
    }
    return EndedTerm{former->fence, std::max(m_endedLeasesEnd - now, Duration(0))};
}

void Leadership::noteEndReported(Epoch fence)
{
    m_reportedFence = fence;
}

void Leadership::noteEndedTerm(const EndedTerm &ended, TimePoint now)
{
    if (!m_former || m_former->fence != ended.fence) {
        return;
    }
    m_formerDecidesUntil = std::min(m_formerDecidesUntil, now + stretched(ended.leasesEndIn));
    m_formersEndAt = formersDecideUntil();
}

// A former leader was supported only by requests that it sent before the witnesses accepted this leader's
// fence, and none of them was renewed after the row that the claim has replaced.
bool Leadership::noteAnswers(const WitnessAnswers &answers, TimePoint now)
{
    if (!m_isLeader) {
        return false;
    }
    m_supportedSince = supportedSince(m_witnesses, answers);
    if (m_unsupportedFormersEndAt || !isAcceptedByMajority(m_formerWitnesses, answers)) {
        return false;
    }
    const auto end
        = std::max(m_replacedRowReadAt + stretched(UnsupportedGracePeriod), now + stretched(SupportValidity));
    m_formerDecidesUntil = std::min(m_formerDecidesUntil, end);
    m_earlierDecideUntil = std::min(m_earlierDecideUntil, end);
    m_unsupportedFormersEndAt = end;
    return true;
}

void Leadership::noteWitnessesOffered(std::span<const Witness> witnesses)
{
    if (m_row && std::ranges::equal(m_row->witnesses, witnesses)) {
        return;
    }
    m_witnesses.add(witnesses);
    m_supportedSince.reset(); // until the answers of the new ones are noted
}

void Leadership::resetWitnesses()
{
    // A write that was sent before expects an earlier version of the row, so that it has no effect any more.
    m_witnesses.reset(m_row ? std::span<const Witness>(m_row->witnesses) : std::span<const Witness>());
}

bool Leadership::mayChangeWitnesses(TimePoint now) const
{
    // Without contact to the store, each list that cannot be stored would have to support this leader as well.
    return m_isLeader && formersDecideUntil() <= now && now - m_renewedAt < SupportNeededAfter;
}

TimePoint Leadership::decidesUntil() const
{
    if (m_witnesses.areNone()) {
        return m_renewedAt + StoreOutageGracePeriod;
    }
    const auto supportedUntil = m_supportedSince ? *m_supportedSince + SupportValidity : m_renewedAt;
    const auto until = std::max(m_renewedAt + UnsupportedGracePeriod, supportedUntil);
    return std::min(until, m_renewedAt + StoreOutageGracePeriod);
}

bool Leadership::mayDecide(TimePoint now) const
{
    return m_isLeader && now < decidesUntil();
}

std::vector<SilentWorker> Leadership::silentWorkers(TimePoint now) const
{
    auto workers = m_row ? m_row->silentWorkers : std::vector<SilentWorker>();
    for (auto &it : workers) {
        // The row was written before `m_changedAt`.
        it.leasesEndIn = std::max(m_changedAt + stretched(it.leasesEndIn) - now, Duration(0));
    }
    return workers;
}

WaitingCounts Leadership::waitingCounts(TimePoint now) const
{
    if (!m_row) {
        return {{}, 0, UnlimitedAge};
    }
    auto counts = m_row->waiting;
    // A leader knows when it sent the row.
    counts.age += std::max(now - (m_isLeader ? m_renewedAt : m_changedAt), Duration(0));
    return counts;
}

Duration Leadership::formersDecideFor(TimePoint now) const
{
    return std::max(formersDecideUntil() - now, Duration(0));
}

} // namespace monsoonspool::membership
