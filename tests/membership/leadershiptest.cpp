#include "membership/leadership.h"

#include <gtest/gtest.h>

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
    EXPECT_EQ(a.confirmedAt(), TimePoint()) << "the row may have been read long ago";
    const auto renewal = a.dueWrite(0ms, Start + 3s);
    ASSERT_TRUE(renewal);
    a.noteWritten(*renewal, 6, Start + 3s, Start + 4s);
    EXPECT_EQ(a.confirmedAt(), Start + 3s);
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
