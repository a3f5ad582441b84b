#include "membership/leadership.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <optional>
#include <span>
#include <vector>

namespace monsoonspool::membership {

namespace {

constexpr TimePoint Start{1h};
const EntryHostId A("a");
const EntryHostId B("b");

LeaderRow rowOf(const EntryHostId &host, std::uint64_t incarnation, std::uint64_t fence)
{
    LeaderRow row;
    row.host = host;
    row.incarnation = incarnation;
    row.fence = {fence};
    return row;
}

} // namespace

TEST(Leadership, IsClaimedWithAHigherFenceAndRenewed)
{
    Leadership a(A, 1, Start);
    EXPECT_FALSE(a.dueWrite(100ms, Start + 1s)) << "the row has not been read yet";
    a.noteRow(std::nullopt, 0, Start);
    EXPECT_FALSE(a.dueWrite(100ms, Start + 50ms)) << "better hosts claim first";
    const auto claim = a.dueWrite(100ms, Start + 200ms);
    ASSERT_TRUE(claim);
    EXPECT_EQ(claim->row.fence, Epoch{1});
    a.noteWritten(*claim, 5, Start + 200ms, Start + 210ms);
    EXPECT_TRUE(a.mayDecide(Start + 300ms));
    EXPECT_FALSE(a.dueWrite(100ms, Start + 300ms));
    const auto renewal = a.dueWrite(100ms, Start + 200ms + RenewInterval);
    ASSERT_TRUE(renewal);
    EXPECT_EQ(renewal->expectedVersion, 5U);
    EXPECT_FALSE(a.mayDecide(Start + 200ms + StoreOutageGracePeriod));
}

struct ClaimCase
{
    const char *name;
    LeaderRow row;
    Duration silence; // since the row changed
    bool isInContact; // with the store during the whole silence
    bool isClaimed;
};

TEST(Leadership, IsClaimedOnlyFromADeadOrFormerLeader)
{
    const Duration stale = LeaderStaleAfter + 200ms;
    for (const auto &it : {ClaimCase{"renewed lately", rowOf(B, 1, 4), 1s, true, false},
                           ClaimCase{"silent", rowOf(B, 1, 4), stale, true, true},
                           ClaimCase{"silent, but the store was unreachable", rowOf(B, 1, 4), stale, false, false},
                           ClaimCase{"released", rowOf(EntryHostId(), 1, 4), 200ms, true, true},
                           ClaimCase{"an earlier run of this host", rowOf(A, 1, 4), 0ms, true, true}}) {
        SCOPED_TRACE(it.name);
        Leadership a(A, 2, Start);
        a.noteStoreContact(Start);
        a.noteRow(it.row, 9, Start);
        if (it.isInContact) {
            for (Duration d{0}; d <= it.silence; d += 100ms) {
                a.noteStoreContact(Start + d);
            }
        }
        const auto write = a.dueWrite(100ms, Start + it.silence);
        EXPECT_EQ(write.has_value(), it.isClaimed);
        if (write) {
            EXPECT_EQ(write->row.fence, Epoch{5});
            EXPECT_EQ(write->expectedVersion, 9U);
        }
    }
}

TEST(Leadership, EndsWhenAnotherRowIsSeen)
{
    Leadership a(A, 1, Start);
    a.noteRow(std::nullopt, 0, Start);
    const auto claim = a.dueWrite(0ms, Start + 1s);
    a.noteWritten(*claim, 5, Start + 1s, Start + 1s);
    a.noteRow(rowOf(B, 1, 2), 6, Start + 2s);
    EXPECT_FALSE(a.isLeader());
    a.noteRow(claim->row, 5, Start + 2s);
    EXPECT_FALSE(a.isLeader()) << "an older row changes nothing";
}

TEST(Leadership, IsNotClaimedAgainWhileItIsReleased)
{
    Leadership a(A, 1, Start);
    a.noteRow(std::nullopt, 0, Start);
    const auto claim = a.dueWrite(0ms, Start + 1s);
    a.noteWritten(*claim, 5, Start + 1s, Start + 1s);
    const auto release = a.release();
    ASSERT_TRUE(release);
    EXPECT_TRUE(release->row.host.isEmpty());
    EXPECT_FALSE(a.dueWrite(2s, Start + 1100ms)) << "the row still names this host";
    a.noteWritten(*release, 6, Start + 1100ms, Start + 1200ms);
    EXPECT_FALSE(a.isLeader());
    EXPECT_FALSE(a.dueWrite(2s, Start + 3s)) << "other hosts claim first";
    EXPECT_TRUE(a.dueWrite(2s, Start + 3300ms));
}

TEST(Leadership, RecognizesAClaimWhoseReplyWasLost)
{
    Leadership a(A, 1, Start);
    a.noteRow(std::nullopt, 0, Start);
    const auto claim = a.dueWrite(0ms, Start + 1s);
    a.noteFailed(Start + 2s);
    a.noteRow(claim->row, 5, Start + 2s);
    EXPECT_TRUE(a.isLeader());
    EXPECT_EQ(a.fence(), Epoch{1});
}

// Guards against a second term with the fence of one that had ended: its claim version was
// that of a renewal, and it did not know the workers that were added since the claim.
TEST(Leadership, DoesNotResumeATermThatHasEnded)
{
    for (const bool isReleased : {true, false}) {
        SCOPED_TRACE(isReleased ? "released" : "fenced");
        Leadership a(A, 1, Start);
        a.noteRow(std::nullopt, 0, Start);
        const auto claim = a.dueWrite(0ms, Start + 1s);
        a.noteWritten(*claim, 5, Start + 1s, Start + 1s);
        EXPECT_EQ(a.claimVersion(), 5U);
        const auto renewal = a.dueWrite(0ms, Start + 2s);
        ASSERT_TRUE(renewal);
        if (isReleased) {
            a.release();
        } else {
            a.stepDown(Start + 2s);
        }
        a.noteFailed(Start + 3s); // the reply to the renewal was lost, and the release refused
        a.noteRow(renewal->row, 6, Start + 3s);
        EXPECT_FALSE(a.isLeader());
        EXPECT_EQ(a.claimVersion(), 5U);
        const auto next = a.dueWrite(0ms, Start + 4s);
        ASSERT_TRUE(next);
        EXPECT_EQ(next->row.fence, Epoch{2});
    }
}

// Other hosts may see the claim when it is made, and claim leadership themselves, long before
// this host learns that it is the leader.
TEST(Leadership, ItsTermIsCountedFromTheClaimWhoseReplyWasLost)
{
    Leadership a(A, 1, Start);
    a.noteRow(std::nullopt, 0, Start);
    const auto claim = a.dueWrite(0ms, Start + 1s);
    a.noteFailed(Start + 2s);
    const auto again = a.dueWrite(0ms, Start + 3s);
    ASSERT_TRUE(again);
    a.noteFailed(Start + 8s);
    a.noteRow(claim->row, 5, Start + 8s);
    EXPECT_TRUE(a.isLeader());
    EXPECT_EQ(a.renewedAt(), Start + 1s);
    EXPECT_TRUE(a.mayDecide(Start + 9s));
    EXPECT_FALSE(a.mayDecide(Start + 1s + StoreOutageGracePeriod));
}

// A claimant waits for the leases of every leader that may still decide, and no longer.
// Guards against a successor that takes leases on silent workers as over too early: the time counts from
// its own reading of the row, by a clock that may be faster than the one by which it was measured.
TEST(Leadership, CountsTheLeasesOfSilentWorkersFromItsReadingOfTheRow)
{
    const WorkerId worker("w");
    auto row = rowOf(EntryHostId(), 1, 4);
    row.silentWorkers = {{worker, 5s}};
    Leadership a(A, 2, Start);
    a.noteRow(row, 9, Start);
    EXPECT_EQ(a.silentWorkers(Start + 100ms).front().leasesEndIn, Duration(5s)); // 5.1 s at most
    const auto claim = a.dueWrite(0ms, Start + 1s);
    ASSERT_TRUE(claim);
    ASSERT_EQ(claim->row.silentWorkers.size(), 1U);
    EXPECT_EQ(claim->row.silentWorkers.front().worker, worker);
    EXPECT_EQ(claim->row.silentWorkers.front().leasesEndIn, Duration(4100ms));
    a.noteWritten(*claim, 10, Start + 1s, Start + 2s);
    EXPECT_GE(a.silentWorkers(Start + 2s).front().leasesEndIn, Duration(4100ms));
    EXPECT_EQ(a.silentWorkers(Start + 10s).front().leasesEndIn, Duration(0));
    EXPECT_FALSE(a.dueWrite(0ms, Start + 1s + UrgentRenewInterval - 1ms, true));
    EXPECT_FALSE(a.dueWrite(0ms, Start + 1s + UrgentRenewInterval, false));
    EXPECT_TRUE(a.dueWrite(0ms, Start + 1s + UrgentRenewInterval, true));
}

TEST(Leadership, KnowsHowLongFormerLeadersMayDecide)
{
    const auto full = StoreOutageGracePeriod + StoreOutageGracePeriod / 50; // by a clock that is 2% slow
    auto chained = rowOf(EntryHostId(), 1, 4);
    chained.formersDecideFor = 7s;
    auto ownChained = rowOf(A, 1, 4);
    ownChained.formersDecideFor = 7s;
    auto otherChained = rowOf(B, 1, 4);
    otherChained.formersDecideFor = 7s;
    struct Case
    {
        const char *name;
        LeaderRow row;
        Duration wait; // from when the row was read
    };
    for (const auto &it :
         {Case{"another host", rowOf(B, 1, 4), full}, Case{"released", rowOf(EntryHostId(), 1, 4), 0s},
          Case{"an earlier run of this host", rowOf(A, 1, 4), 0s}, Case{"released after a short term", chained, 7s},
          Case{"an earlier run of this host with a short term", ownChained, 7s},
          Case{"another host with a short term", otherChained, full}}) {
        SCOPED_TRACE(it.name);
        Leadership a(A, 2, Start);
        a.noteStoreContact(Start);
        a.noteRow(it.row, 9, Start);
        EXPECT_EQ(a.formersDecideUntil(), Start + it.wait);
        for (Duration d{0}; d <= 3s; d += 100ms) {
            a.noteStoreContact(Start + d);
        }
        const auto claim = a.dueWrite(0ms, Start + 3s);
        ASSERT_TRUE(claim);
        EXPECT_EQ(claim->row.formersDecideFor, std::max(it.wait - 3s, Duration(0)));
        a.noteWritten(*claim, 10, Start + 3s, Start + 4s);
        EXPECT_EQ(a.formersDecideUntil(), Start + it.wait) << "its own claim changes nothing";
        const auto renewal = a.dueWrite(0ms, Start + 5s);
        ASSERT_TRUE(renewal);
        EXPECT_EQ(renewal->row.formersDecideFor, std::max(it.wait - 5s, Duration(0)));
    }
}

namespace {

// Lets B claim after A's row was read at `Start`, and returns its claim.
std::optional<Leadership::Write> claimAfterSilence(Leadership &b, const LeaderRow &row, TimePoint now)
{
    b.noteRow(row, 9, Start);
    for (auto t = Start; t <= now; t += 100ms) {
        b.noteStoreContact(t);
    }
    return b.dueWrite(0ms, now);
}

} // namespace

// The former leader's report ends its part of the wait, not that of leaders before it.
TEST(Leadership, WaitsForTheLeasesThatTheFormerLeaderHasReported)
{
    const auto full = StoreOutageGracePeriod + StoreOutageGracePeriod / 50;
    struct Case
    {
        const char *name;
        Duration earlierDecideFor; // leaders before the former one, when its row was read
        Epoch ended;
        Duration leasesEndIn;
        Duration wait; // from the reading of the row
    };
    for (const auto &it : {Case{"no lease left", 0s, {4}, 0s, 4s}, Case{"leases", 0s, {4}, 5s, 4s + 5100ms},
                           Case{"longer than it may decide", 0s, {4}, 10s, full},
                           Case{"an earlier leader may still decide", 7s, {4}, 0s, 7s},
                           Case{"its predecessor", 0s, {3}, 0s, full}, Case{"this host", 0s, {5}, 0s, full}}) {
        SCOPED_TRACE(it.name);
        for (const bool isReadBeforeTheReply : {false, true}) {
            auto row = rowOf(A, 1, 4);
            row.formersDecideFor = it.earlierDecideFor;
            Leadership b(B, 1, Start);
            const auto claim = claimAfterSilence(b, row, Start + 3s);
            ASSERT_TRUE(claim);
            ASSERT_TRUE(claim->row.former);
            EXPECT_EQ(claim->row.former->host, A);
            EXPECT_EQ(claim->row.former->incarnation, 1U);
            EXPECT_EQ(claim->row.former->fence, Epoch{4});
            if (isReadBeforeTheReply) {
                b.noteEndedTerm({it.ended, it.leasesEndIn}, Start + 4s);
                b.noteWritten(*claim, 10, Start + 3s, Start + 5s);
            } else {
                b.noteWritten(*claim, 10, Start + 3s, Start + 3s);
                b.noteEndedTerm({it.ended, it.leasesEndIn}, Start + 4s);
                b.noteEndedTerm({it.ended, it.leasesEndIn}, Start + 5s); // read again
            }
            EXPECT_EQ(b.formersDecideUntil(), Start + it.wait);
            EXPECT_EQ(b.formersEndAt().has_value(), it.ended == Epoch{4});
            const auto renewal = b.dueWrite(0ms, Start + 6s);
            ASSERT_TRUE(renewal);
            EXPECT_EQ(renewal->row.formersDecideFor, std::max(it.wait - 6s, Duration(0)));
        }
    }
}

// The leases of its own replaced term are not part of the report.
TEST(Leadership, AReportDoesNotCoverAnOwnTermThatWasReplaced)
{
    Leadership b(B, 1, Start);
    const auto claim = claimAfterSilence(b, rowOf(A, 1, 4), Start + 3s);
    ASSERT_TRUE(claim);
    b.noteWritten(*claim, 10, Start + 3s, Start + 3s);
    b.noteEndedTerm({{4}, 1s}, Start + 4s);
    EXPECT_TRUE(b.formersEndAt());
    b.stepDown(Start + 5s);
    const auto again = b.dueWrite(0ms, Start + 6s);
    ASSERT_TRUE(again);
    EXPECT_EQ(again->row.fence, Epoch{6});
    EXPECT_FALSE(again->row.former);
    b.noteWritten(*again, 11, Start + 6s, Start + 6s);
    EXPECT_FALSE(b.formersEndAt());
}

TEST(Leadership, ReportsTheEndOfATermThatItsSuccessorWaitsFor)
{
    constexpr Duration longestLease = 6s;
    struct Case
    {
        const char *name;
        FormerLeader former; // in the successor's row
        Duration formersDecideFor;
        bool isReleased;
        std::optional<Duration> leasesEndIn;
    };
    for (const auto &it : {Case{"this process", {A, 2, {1}}, 9s, false, 3s},
                           Case{"an earlier process", {A, 1, {1}}, 9s, false, longestLease - 4s},
                           Case{"another term", {A, 2, {2}}, 9s, false, std::nullopt},
                           Case{"another host", {B, 2, {1}}, 9s, false, std::nullopt},
                           Case{"the wait is over", {A, 2, {1}}, 0s, false, std::nullopt},
                           Case{"the successor has released the row", {A, 2, {1}}, 9s, true, std::nullopt}}) {
        SCOPED_TRACE(it.name);
        Leadership a(A, 2, Start);
        a.noteRow(std::nullopt, 0, Start);
        const auto claim = a.dueWrite(0ms, Start + 1s);
        ASSERT_TRUE(claim);
        a.noteWritten(*claim, 5, Start + 1s, Start + 1s);
        EXPECT_FALSE(a.dueEndReport(longestLease, Start + 1s));
        auto row = rowOf(it.isReleased ? EntryHostId() : B, 1, 2);
        row.former = it.former;
        row.formersDecideFor = it.formersDecideFor;
        a.noteRow(row, 6, Start + 3s);
        a.noteTermEnded({1}, Start + 7s);
        const auto report = a.dueEndReport(longestLease, Start + 4s);
        ASSERT_EQ(report.has_value(), it.leasesEndIn.has_value());
        if (report) {
            EXPECT_EQ(report->fence, it.former.fence);
            EXPECT_EQ(report->leasesEndIn, *it.leasesEndIn);
            EXPECT_EQ(a.dueEndReport(longestLease, Start + 11s)->leasesEndIn, Duration(0));
            a.noteEndReported(report->fence);
            EXPECT_FALSE(a.dueEndReport(longestLease, Start + 5s));
        }
    }
}

namespace {

// The witnesses w0 to w2, and their answers to requests that were sent at `sentAt`.
const std::vector<Witness> Three{{WorkerId("w0"), 1}, {WorkerId("w1"), 1}, {WorkerId("w2"), 1}};

WitnessAnswers answersOf(std::span<const Witness> witnesses, TimePoint sentAt)
{
    WitnessAnswers answers;
    for (const auto &it : witnesses) {
        answers[it.worker] = {it.startTimeMs, sentAt};
    }
    return answers;
}

// Returns host A as leader, with a claim that was sent at `Start` and has the witnesses of a released row.
Leadership leaderWith(std::span<const Witness> witnesses)
{
    auto row = rowOf(EntryHostId(), 1, 4);
    row.witnesses.assign(witnesses.begin(), witnesses.end());
    Leadership a(A, 2, Start - 1s);
    a.noteRow(row, 9, Start - 1s);
    const auto claim = a.dueWrite(0ms, Start);
    a.noteWritten(*claim, 10, Start, Start);
    return a;
}

} // namespace

// What a successor relies on: a leader whose witnesses obey another one stops before it could be known to have
// stopped otherwise.
TEST(Leadership, DecidesForLongOnlyWithTheSupportOfItsWitnesses)
{
    struct Case
    {
        const char *name;
        std::vector<Witness> witnesses;
        std::vector<Witness> answering;
        Duration sentAt;
        Duration until; // from the last renewal
    };
    const std::vector<Witness> two{Three[0], Three[2]};
    const std::vector<Witness> restarted{{WorkerId("w0"), 2}, {WorkerId("w1"), 2}, Three[2]};
    for (const auto &it : {Case{"no witnesses", {}, {}, 0s, StoreOutageGracePeriod},
                           Case{"no answer", Three, {}, 0s, UnsupportedGracePeriod},
                           Case{"answers before the outage", Three, Three, 1s, UnsupportedGracePeriod},
                           Case{"answers of a majority", Three, two, 5s, 5s + SupportValidity},
                           Case{"an answer of a minority", Three, {Three[0]}, 5s, UnsupportedGracePeriod},
                           Case{"answers of other processes", Three, restarted, 5s, UnsupportedGracePeriod},
                           Case{"answers for long", Three, Three, 11s, StoreOutageGracePeriod}}) {
        SCOPED_TRACE(it.name);
        auto a = leaderWith(it.witnesses);
        a.noteAnswers(answersOf(it.answering, Start + it.sentAt), Start + it.sentAt);
        EXPECT_EQ(a.decidesUntil(), Start + it.until);
        EXPECT_TRUE(a.mayDecide(Start + it.until - 1ms));
        EXPECT_FALSE(a.mayDecide(Start + it.until));
    }
}

// A row that was sent without a reply may be what a successor reads.
TEST(Leadership, NeedsTheSupportOfWitnessesThatMayBeStored)
{
    const std::vector<Witness> others{{WorkerId("x"), 1}, {WorkerId("y"), 1}, {WorkerId("z"), 1}};
    auto a = leaderWith(Three);
    ASSERT_TRUE(a.mayChangeWitnesses(Start + 1s));
    auto renewal = a.dueWrite(0ms, Start + 1s);
    ASSERT_TRUE(renewal);
    renewal->row.witnesses = others;
    a.noteWitnessesOffered(renewal->row.witnesses);
    a.noteFailed(Start + 2s);
    EXPECT_FALSE(a.mayChangeWitnesses(Start + 2s)) << "each list that may be stored would be one more";
    EXPECT_EQ(a.witnesses().size(), 6U);
    auto answers = answersOf(Three, Start + 5s);
    a.noteAnswers(answers, Start + 5s);
    EXPECT_EQ(a.decidesUntil(), Start + UnsupportedGracePeriod);
    answers.merge(answersOf(others, Start + 4500ms));
    a.noteAnswers(answers, Start + 5s);
    EXPECT_EQ(a.decidesUntil(), Start + 4500ms + SupportValidity);
    a.noteRow(renewal->row, 11, Start + 6s);
    EXPECT_EQ(a.witnesses(), others) << "it was stored";
}

// A successor waits for a leader that it cannot hear as long as that leader may decide, whatever it knows of
// leaders before it.
TEST(Leadership, WaitsForFormerLeadersUntilTheirWitnessesDoNotSupportThem)
{
    const auto full = StoreOutageGracePeriod + StoreOutageGracePeriod / 50; // by a clock that is 2% slow
    const auto unsupported = UnsupportedGracePeriod + UnsupportedGracePeriod / 50;
    const auto validity = SupportValidity + SupportValidity / 50;
    constexpr Duration claimedAt = LeaderStaleAfter + 100ms;
    ASSERT_LT(claimedAt + validity, unsupported);
    struct Case
    {
        const char *name;
        std::vector<Witness> witnesses; // of the former leader's row
        std::vector<Witness> answering;
        Duration answeredAt; // after the reading of the row
        Duration earlierDecideFor;
        Duration wait;
    };
    const std::vector<Witness> restarted{{WorkerId("w0"), 2}, {WorkerId("w1"), 2}};
    for (const auto &it :
         {Case{"a row of an earlier release", {}, {}, 4s, 0s, full}, Case{"no answer", Three, {}, 4s, 0s, full},
          Case{"a minority", Three, {Three[1]}, 4s, 0s, full},
          Case{"all soon", Three, Three, 3100ms, 0s, 3100ms + validity},
          Case{"a majority", Three, {Three[0], Three[1]}, 4s, 0s, 4s + validity},
          Case{"later processes of a majority", Three, restarted, 4s, 0s, 4s + validity},
          Case{"as long as no support is needed", Three, Three, claimedAt, 0s, unsupported},
          Case{"so late that it ends no wait", Three, Three, 10s, 0s, full},
          Case{"leaders before it", Three, Three, 4s, 10s, 4s + validity}}) {
        SCOPED_TRACE(it.name);
        auto row = rowOf(A, 1, 4);
        row.witnesses = it.witnesses;
        row.formersDecideFor = it.earlierDecideFor;
        Leadership b(B, 1, Start);
        const auto claim = claimAfterSilence(b, row, Start + claimedAt);
        ASSERT_TRUE(claim);
        EXPECT_EQ(claim->row.witnesses, it.witnesses) << "leaders that may decide at the same time have the same";
        b.noteWritten(*claim, 10, Start + claimedAt, Start + claimedAt);
        EXPECT_FALSE(b.mayChangeWitnesses(Start + 4s));
        const auto answers = answersOf(it.answering, Start + it.answeredAt);
        const bool isBounded = it.answering.size() > 1;
        EXPECT_EQ(b.noteAnswers(answers, Start + it.answeredAt), isBounded);
        EXPECT_FALSE(b.noteAnswers(answers, Start + it.answeredAt + 1s)) << "once in a term";
        EXPECT_EQ(b.formersDecideUntil(), Start + it.wait);
        EXPECT_EQ(b.unsupportedFormersEndAt().has_value(), isBounded);
        for (auto t = Start + 3s; t < Start + it.wait; t += 500ms) {
            const auto renewal = b.dueWrite(0ms, t);
            if (renewal) {
                EXPECT_EQ(renewal->row.witnesses, it.witnesses);
                b.noteWritten(*renewal, 10 + static_cast<std::uint64_t>(toMilliseconds(t - Start)), t, t);
            }
        }
        EXPECT_EQ(b.mayChangeWitnesses(b.renewedAt() + 1s), b.renewedAt() + 1s >= Start + it.wait);
    }
}

// With a few strong hosts among many weak ones, a strong host becomes leader even if it
// starts last. Hosts with equal shares do not wait for each other.
TEST(Leadership, IsClaimedByStrongHostsFirst)
{
    constexpr Duration maxStartSkew = 300ms; // as the platform states
    constexpr Duration crossRegionRoundTrip = 25ms;
    EXPECT_GT(claimDelay(0.12, 0, 0ms), claimDelay(0.5, 0, crossRegionRoundTrip) + maxStartSkew);
    EXPECT_GT(claimDelay(0.069, 0.5, 0ms), claimDelay(0.5, 0.5, crossRegionRoundTrip) + maxStartSkew);
    EXPECT_EQ(claimDelay(0.1, 0.1, 0ms), Duration(0));
    EXPECT_EQ(claimDelay(0.5, 0.1, 0ms), Duration(0));
    EXPECT_GT(claimDelay(0.1, 0.1, crossRegionRoundTrip), claimDelay(0.1, 0.1, 1ms));
}

} // namespace monsoonspool::membership
