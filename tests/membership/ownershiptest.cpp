#include "membership/ownership.h"

#include "membership/entryhosts.h"
#include "membership/rendezvous.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>

namespace monsoonspool::membership {

namespace {

constexpr TimePoint Start{1h};
const PartitionName Partition("placement/a");
const EntryHostId A("entry-a");
const EntryHostId B("entry-b");

Ownership::Candidates candidates()
{
    return [](const PartitionName &) { return std::vector<EntryHostId>{A, B}; };
}

std::vector<EntryHostId> bothHosts()
{
    return {A, B};
}

struct Owner
{
    explicit Owner(const EntryHostId &id) : ownership(id, 1)
    {
        ownership.setPartitions(std::vector<PartitionName>{Partition});
    }
    Ownership ownership;
};

} // namespace

TEST(Ownership, IsClaimedOnceAndRenewed)
{
    Owner a(A);
    a.ownership.noteRow(Partition, std::nullopt, 0, Start);
    const auto claims = a.ownership.dueClaims(candidates(), bothHosts(), Start + 1s);
    ASSERT_EQ(claims.size(), 1U);
    EXPECT_EQ(claims.front().row.epoch, Epoch{1});
    EXPECT_TRUE(a.ownership.dueClaims(candidates(), bothHosts(), Start + 1s).empty()) << "one write at a time";
    a.ownership.noteWritten(claims, 7, Start + 1s, Start + 1s);
    EXPECT_TRUE(a.ownership.mayDecide(Partition, Start + 2s));
    const auto events = a.ownership.takeEvents();
    ASSERT_EQ(events.size(), 1U);
    EXPECT_FALSE(events.front().hadOwnerBefore);
    EXPECT_EQ(events.front().claimVersion, 7U);
    const auto renewals = a.ownership.dueRenewals(Start + 2s);
    ASSERT_EQ(renewals.size(), 1U);
    EXPECT_EQ(renewals.front().expectedVersion, 7U);
}

struct TakeOverCase
{
    const char *name;
    bool isOwnerHeard;
    Duration unchanged;
    bool isClaimed;
};

class TakeOver : public testing::TestWithParam<TakeOverCase>
{
};

// A takeover requires both a stale row and an owner without recent heartbeats.
TEST_P(TakeOver, NeedsAStaleRowAndASilentOwner)
{
    Owner b(B);
    b.ownership.noteRow(Partition, OwnershipRow{A, 1, Epoch{4}, 10}, 20, Start);
    const auto healthy = GetParam().isOwnerHeard ? bothHosts() : std::vector<EntryHostId>{B};
    const auto claims = b.ownership.dueClaims(candidates(), healthy, Start + GetParam().unchanged);
    EXPECT_EQ(claims.size(), GetParam().isClaimed ? 1U : 0U);
    if (!claims.empty()) {
        EXPECT_EQ(claims.front().row.epoch, Epoch{5});
    }
}

INSTANTIATE_TEST_SUITE_P(Evidence, TakeOver,
                         testing::Values(TakeOverCase{"HeardAndFresh", true, 500ms, false},
                                         TakeOverCase{"HeardAndStale", true, 10s, false},
                                         TakeOverCase{"SilentAndFresh", false, 500ms, false},
                                         TakeOverCase{"SilentAndStale", false, 2500ms, true}),
                         [](const auto &info) { return info.param.name; });

TEST(Ownership, IsLostWhenAnotherHostHasClaimed)
{
    Owner a(A);
    a.ownership.noteRow(Partition, std::nullopt, 0, Start);
    const auto claims = a.ownership.dueClaims(candidates(), bothHosts(), Start + 1s);
    a.ownership.noteWritten(claims, 7, Start + 1s, Start + 1s);
    a.ownership.takeEvents();
    a.ownership.noteRow(Partition, OwnershipRow{B, 1, Epoch{2}, 1}, 9, Start + 2s);
    const auto events = a.ownership.takeEvents();
    ASSERT_EQ(events.size(), 1U);
    EXPECT_EQ(events.front().change, OwnershipChange::Lost);
    EXPECT_FALSE(a.ownership.mayDecide(Partition, Start + 2s));
}

TEST(Ownership, StopsDecidingWithoutRenewals)
{
    Owner a(A);
    a.ownership.noteRow(Partition, std::nullopt, 0, Start);
    const auto claims = a.ownership.dueClaims(candidates(), bothHosts(), Start + 1s);
    a.ownership.noteWritten(claims, 7, Start + 1s, Start + 1s);
    EXPECT_TRUE(a.ownership.mayDecide(Partition, Start + 1s + OwnerLease - 1ms));
    EXPECT_FALSE(a.ownership.mayDecide(Partition, Start + 1s + OwnerLease));
}

// While no host reaches the table, an owner keeps deciding. Once its lease has
// expired, such an outage does not revive it.
TEST(Ownership, KeepsDecidingWhileNoHostReachesTheTable)
{
    Owner a(A);
    a.ownership.noteRow(Partition, std::nullopt, 0, Start);
    const auto claims = a.ownership.dueClaims(candidates(), bothHosts(), Start + 1s);
    a.ownership.noteWritten(claims, 7, Start + 1s, Start + 1s);
    TimePoint now = Start + 1s;
    for (; now < Start + 600s; now += 1s) {
        a.ownership.noteStoreUnreachableForAll(now);
        EXPECT_TRUE(a.ownership.mayDecide(Partition, now + 1s));
    }
    now += OwnerLease;
    EXPECT_FALSE(a.ownership.mayDecide(Partition, now));
    a.ownership.noteStoreUnreachableForAll(now);
    EXPECT_FALSE(a.ownership.mayDecide(Partition, now)) << "another host may have claimed meanwhile";
}

struct OutageCase
{
    const char *name;
    bool isOwnStoreReachable;
    bool isPeerHeard;
    bool isPeersStoreReachable;
    bool isUnreachableForAll;
};

class StoreUnreachableForAll : public testing::TestWithParam<OutageCase>
{
};

TEST_P(StoreUnreachableForAll, NeedsAReportFromEveryListedHost)
{
    const auto &it = GetParam();
    EntryHosts hosts({A, {"127.0.0.1", 1}, RegionName("r"), 1, false, false, false, true, 0, {}});
    hosts.setStoreReachable(it.isOwnStoreReachable);
    hosts.setListed(std::vector{ports::ListedEntryHost{B, {"127.0.0.1", 2}, RegionName("r"), ports::HostState::Live}},
                    Start);
    if (it.isPeerHeard) {
        Heartbeat heartbeat;
        heartbeat.host = B;
        heartbeat.incarnation = 1;
        heartbeat.isStoreReachable = it.isPeersStoreReachable;
        hosts.noteHeartbeat(heartbeat, Start);
    }
    EXPECT_EQ(hosts.isStoreUnreachableForAll(Start + 1s), it.isUnreachableForAll);
    EXPECT_FALSE(hosts.isStoreUnreachableForAll(Start + 1h)) << "the heartbeat is too old";
}

INSTANTIATE_TEST_SUITE_P(Evidence, StoreUnreachableForAll,
                         testing::Values(OutageCase{"OutForBoth", false, true, false, true},
                                         OutageCase{"PeerReachesIt", false, true, true, false},
                                         OutageCase{"PeerIsSilent", false, false, false, false},
                                         OutageCase{"ReachedHere", true, true, false, false}),
                         [](const auto &info) { return info.param.name; });

// After a lost reply to a claim, the claim is repeated with a higher epoch. After a
// lost reply to a renewal, the row that is read next shows its result.
TEST(Ownership, ResolvesLostRepliesFromTheRow)
{
    Owner a(A);
    a.ownership.noteRow(Partition, std::nullopt, 0, Start);
    auto claims = a.ownership.dueClaims(candidates(), bothHosts(), Start + 1s);
    a.ownership.noteFailed(claims, ErrorKind::StoreReplyLost, Start + 1s);
    a.ownership.noteRow(Partition, claims.front().row, 7, Start + 2s);
    EXPECT_FALSE(a.ownership.ownedEpoch(Partition));
    claims = a.ownership.dueClaims(candidates(), bothHosts(), Start + 2s);
    ASSERT_EQ(claims.size(), 1U);
    EXPECT_EQ(claims.front().row.epoch, Epoch{2});
    a.ownership.noteWritten(claims, 8, Start + 2s, Start + 2s);
    const auto renewals = a.ownership.dueRenewals(Start + 3s);
    a.ownership.noteFailed(renewals, ErrorKind::StoreReplyLost, Start + 3s);
    a.ownership.noteRow(Partition, renewals.front().row, 9, Start + 4s);
    EXPECT_EQ(a.ownership.ownedEpoch(Partition), Epoch{2});
    EXPECT_EQ(a.ownership.dueRenewals(Start + 5s).front().expectedVersion, 9U);
}

// Guards against a former owner that believes in its ownership again: the reply to its renewal
// arrives after a peer has announced the successor.
TEST(Ownership, IsNotResumedByALateReplyToARenewal)
{
    Owner owner(A);
    auto &ownership = owner.ownership;
    ownership.noteRow(Partition, std::nullopt, 0, Start);
    const auto claims = ownership.dueClaims(candidates(), bothHosts(), Start + 2s);
    ASSERT_EQ(claims.size(), 1U);
    ownership.noteWritten(claims, 5, Start + 2s, Start + 2s);
    const auto renewals = ownership.dueRenewals(Start + 3s);
    ASSERT_EQ(renewals.size(), 1U);
    ownership.noteOwner(Partition, B, Epoch{2});
    ASSERT_FALSE(ownership.ownedEpoch(Partition));
    ownership.noteWritten(renewals, 6, Start + 3s, Start + 5s);
    EXPECT_FALSE(ownership.ownedEpoch(Partition));
    EXPECT_FALSE(ownership.mayDecide(Partition, Start + 5s));
}

TEST(Rendezvous, MovesOnlyPartitionsThatRankTheLostHostFirst)
{
    std::vector<EntryHostId> hosts;
    for (int n = 0; n < 9; ++n) {
        hosts.emplace_back("entry-" + std::to_string(n));
    }
    std::map<EntryHostId, int> load;
    for (int n = 0; n < 900; ++n) {
        const PartitionName partition("partition-" + std::to_string(n));
        const auto before = rankedOwners(partition, hosts);
        const std::vector<EntryHostId> remaining(hosts.begin() + 1, hosts.end());
        const auto after = rankedOwners(partition, remaining);
        EXPECT_EQ(after.front(), before.front() == hosts.front() ? before[1] : before.front());
        ++load[before.front()];
    }
    for (const auto &[host, n] : load) {
        EXPECT_GT(n, 50) << host.text();
        EXPECT_LT(n, 150) << host.text();
    }
}

struct MemberCase
{
    const char *name;
    bool isListed;
    bool isListedLeaving;
    bool hasRecentHeartbeat;
    bool saysLeaving;
    bool isMember;
};

class Members : public testing::TestWithParam<MemberCase>
{
};

TEST_P(Members, CombineTheListWithHeartbeats)
{
    const auto &it = GetParam();
    EntryHosts hosts({A, {"127.0.0.1", 1}, RegionName("r"), 1, false, false, false, true, 0, {}});
    if (it.isListed) {
        const ports::ListedEntryHost row{B,
                                         {"127.0.0.1", 2},
                                         RegionName("r"),
                                         it.isListedLeaving ? ports::HostState::Leaving : ports::HostState::Live};
        hosts.setListed(std::vector{row}, Start);
    }
    if (it.hasRecentHeartbeat) {
        Heartbeat heartbeat;
        heartbeat.host = B;
        heartbeat.incarnation = 1;
        heartbeat.region = RegionName("r");
        heartbeat.isLeaving = it.saysLeaving;
        hosts.noteHeartbeat(heartbeat, Start);
    }
    const auto members = hosts.members(Start + 1s);
    EXPECT_EQ(std::ranges::find(members, B) != members.end(), it.isMember);
    EXPECT_EQ(hosts.members(Start + 1h).size(), 1U) << "membership ends without heartbeats";
}

INSTANTIATE_TEST_SUITE_P(Evidence, Members,
                         testing::Values(MemberCase{"ListedButSilent", true, false, false, false, false},
                                         MemberCase{"ListedAndHeard", true, false, true, false, true},
                                         MemberCase{"HeardButNotListed", false, false, true, false, true},
                                         MemberCase{"SaysItLeaves", true, false, true, true, false},
                                         MemberCase{"ListedAsLeaving", true, true, true, false, false}),
                         [](const auto &info) { return info.param.name; });

} // namespace monsoonspool::membership
