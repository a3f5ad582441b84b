#include "records/recordkeeper.h"

#include "codec/cborrows.h"
#include "ports/memory/memorytable.h"
#include "ports/virtualscheduler.h"

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <gtest/gtest.h>

#include <map>

namespace monsoonspool::records {

namespace {

// Refuses calls and loses replies at random; refuses all calls while isDown.
class RandomFaults : public ports::FaultPlan
{
public:
    explicit RandomFaults(std::uint64_t seed) : m_generator(seed)
    {
    }
    int refusedPercent = 0;
    int lostPercent = 0;
    bool isDown = false;

    ports::Fault next(std::string_view, std::uint64_t, TimePoint) override
    {
        return {Duration(draw(5'000) + 500), isDown || draw(100) < refusedPercent, draw(100) < lostPercent};
    }

private:
    int draw(int n)
    {
        return boost::random::uniform_int_distribution<int>(0, n - 1)(m_generator);
    }
    boost::random::mt19937_64 m_generator;
};

// The record keepers of several entry hosts with a shared table.
struct KeeperCluster
{
    KeeperCluster(int n, std::uint64_t seed) : faults(seed), table(scheduler, faults)
    {
        for (int i = 0; i < n; ++i) {
            RecordKeeperOptions options{EntryHostId("entry-" + std::to_string(i)), 1, 20ms, 100};
            keepers.push_back(std::make_unique<RecordKeeper>(options, table, codec));
        }
        tick();
    }

    void tick()
    {
        for (auto &it : keepers) {
            if (it) {
                it->tick(scheduler.now());
            }
        }
        scheduler.runAfter(5ms, [this] { tick(); });
    }

    KeyedRequest request(std::string_view key, Duration patience = 5s)
    {
        return {std::string(key), "fingerprint", scheduler.now() + patience, false};
    }

    ports::VirtualScheduler scheduler;
    RandomFaults faults;
    ports::memory::MemoryTable table;
    codec::CborRecords codec;
    std::vector<std::unique_ptr<RecordKeeper>> keepers;
};

RecordedAnswer answerOf(std::string_view key)
{
    return {200, {{"Key", std::string(key)}}, "answer of " + std::string(key)};
}

} // namespace

TEST(RecordKeeper, LetsTheFirstProceedAndReplaysItsCompleteAnswer)
{
    KeeperCluster cluster(2, 1);
    std::optional<Decision> first;
    std::optional<Decision> second;
    bool isClosed = false;
    cluster.keepers[0]->open(cluster.request("k"), cluster.scheduler.now(), [&](const Decision &it) { first = it; });
    cluster.scheduler.runFor(100ms);
    ASSERT_TRUE(first && std::holds_alternative<MayProceed>(*first));
    cluster.keepers[0]->closeAnswered(std::get<MayProceed>(*first).token, answerOf("k"), cluster.scheduler.now(),
                                      [&] { isClosed = true; });
    cluster.scheduler.runFor(100ms);
    EXPECT_TRUE(isClosed);
    cluster.keepers[0].reset(); // the first host fails
    cluster.keepers[1]->open(cluster.request("k"), cluster.scheduler.now(), [&](const Decision &it) { second = it; });
    cluster.scheduler.runFor(100ms);
    ASSERT_TRUE(second && std::holds_alternative<RecordedAnswer>(*second));
    EXPECT_EQ(std::get<RecordedAnswer>(*second), answerOf("k"));
}

TEST(RecordKeeper, JoinsARequestInFlight)
{
    KeeperCluster cluster(2, 1);
    std::optional<Decision> first;
    std::optional<Decision> second;
    cluster.keepers[0]->open(cluster.request("k"), cluster.scheduler.now(), [&](const Decision &it) { first = it; });
    cluster.scheduler.runFor(100ms);
    cluster.keepers[1]->open(cluster.request("k"), cluster.scheduler.now(), [&](const Decision &it) { second = it; });
    cluster.scheduler.runFor(500ms);
    EXPECT_FALSE(second);
    cluster.keepers[0]->closeAnswered(std::get<MayProceed>(*first).token, answerOf("k"), cluster.scheduler.now(),
                                      [] {});
    cluster.scheduler.runFor(2s);
    ASSERT_TRUE(second && std::holds_alternative<RecordedAnswer>(*second));
}

TEST(RecordKeeper, ReportsUnknownOutcomeWhenTheFirstHostFailedInFlight)
{
    KeeperCluster cluster(2, 1);
    std::optional<Decision> second;
    cluster.keepers[0]->open(cluster.request("k"), cluster.scheduler.now(), [](const Decision &) {});
    cluster.scheduler.runFor(100ms);
    cluster.keepers[0].reset();
    cluster.keepers[1]->open(cluster.request("k", 2s), cluster.scheduler.now(),
                             [&](const Decision &it) { second = it; });
    cluster.scheduler.runFor(3s);
    ASSERT_TRUE(second && std::holds_alternative<Failure>(*second));
    EXPECT_EQ(errorInfo(std::get<Failure>(*second).kind).outcome, Outcome::Unknown);
}

TEST(RecordKeeper, TakesOverARecordThatWasNotRun)
{
    KeeperCluster cluster(2, 1);
    std::optional<Decision> first;
    std::optional<Decision> second;
    cluster.keepers[0]->open(cluster.request("k"), cluster.scheduler.now(), [&](const Decision &it) { first = it; });
    cluster.scheduler.runFor(100ms);
    cluster.keepers[0]->closeNotRun(std::get<MayProceed>(*first).token, cluster.scheduler.now());
    cluster.scheduler.runFor(100ms);
    cluster.keepers[1]->open(cluster.request("k"), cluster.scheduler.now(), [&](const Decision &it) { second = it; });
    cluster.scheduler.runFor(200ms);
    EXPECT_TRUE(second && std::holds_alternative<MayProceed>(*second));
}

TEST(RecordKeeper, RefusesAKeyThatBelongsToAnotherRequest)
{
    KeeperCluster cluster(1, 1);
    std::optional<Decision> second;
    cluster.keepers[0]->open(cluster.request("k"), cluster.scheduler.now(), [](const Decision &) {});
    cluster.scheduler.runFor(100ms);
    auto other = cluster.request("k");
    other.fingerprint = "another";
    cluster.keepers[0]->open(other, cluster.scheduler.now(), [&](const Decision &it) { second = it; });
    cluster.scheduler.runFor(200ms);
    ASSERT_TRUE(second && std::holds_alternative<Failure>(*second));
    EXPECT_EQ(std::get<Failure>(*second).kind, ErrorKind::IdempotencyKeyReused);
}

struct OutageCase
{
    const char *name;
    bool sendUnrecorded;
    bool mayProceed;
};

class RecordOutage : public testing::TestWithParam<OutageCase>
{
};

// While the store is unavailable, the service's document determines whether requests
// wait or are sent unrecorded.
TEST_P(RecordOutage, FollowsTheDocument)
{
    KeeperCluster cluster(1, 1);
    cluster.faults.isDown = true;
    std::optional<Decision> decision;
    auto request = cluster.request("k", 2s);
    request.sendUnrecordedInOutage = GetParam().sendUnrecorded;
    cluster.keepers[0]->open(request, cluster.scheduler.now(), [&](const Decision &it) { decision = it; });
    cluster.scheduler.runFor(1s);
    EXPECT_EQ(decision.has_value(), GetParam().mayProceed);
    cluster.scheduler.runFor(2s);
    ASSERT_TRUE(decision);
    EXPECT_EQ(std::holds_alternative<MayProceed>(*decision), GetParam().mayProceed);
    if (const auto *failure = std::get_if<Failure>(&*decision)) {
        EXPECT_EQ(errorInfo(failure->kind).outcome, Outcome::NotRun);
    }
}

INSTANTIATE_TEST_SUITE_P(Rules, RecordOutage,
                         testing::Values(OutageCase{"Wait", false, false}, OutageCase{"SendUnrecorded", true, true}),
                         [](const auto &info) { return info.param.name; });

TEST(RecordKeeper, WritesManyRowsInOneCommit)
{
    KeeperCluster cluster(1, 1);
    int proceeded = 0;
    for (int n = 0; n < 200; ++n) {
        cluster.keepers[0]->open(cluster.request("k" + std::to_string(n)), cluster.scheduler.now(),
                                 [&](const Decision &) { ++proceeded; });
    }
    cluster.scheduler.runFor(200ms);
    EXPECT_EQ(proceeded, 200);
    EXPECT_LE(cluster.table.commitCount(), 4U);
}

class RecordHistory : public testing::TestWithParam<std::uint64_t>
{
};

// Several hosts receive requests with few keys while the table service loses replies,
// refuses calls and has outages. A key may be sent again only after it was closed as
// not run, and every replay has to return the recorded answer.
TEST_P(RecordHistory, SendsEachKeyAtMostOnce)
{
    KeeperCluster cluster(5, GetParam());
    cluster.faults.lostPercent = 20;
    cluster.faults.refusedPercent = 10;
    boost::random::mt19937_64 generator(GetParam());
    const auto draw = [&](int n) { return boost::random::uniform_int_distribution<int>(0, n - 1)(generator); };
    std::map<std::string, int> sendable; // 1 while the key may be sent, else 0
    std::map<std::string, int> sends;
    int decided = 0;
    constexpr int requestCount = 600;
    constexpr int keyCount = 60;
    for (int n = 0; n < requestCount; ++n) {
        const auto key = "key-" + std::to_string(draw(keyCount));
        auto *keeper = cluster.keepers[static_cast<std::size_t>(draw(5))].get();
        const int ending = draw(4);
        sendable.try_emplace(key, 1);
        keeper->open(cluster.request(key, 3s), cluster.scheduler.now(),
                     [&, key, keeper, ending](const Decision &decision) {
                         ++decided;
                         if (const auto *proceed = std::get_if<MayProceed>(&decision)) {
                             ++sends[key];
                             EXPECT_EQ(sendable[key]--, 1) << key << " seed " << GetParam();
                             if (ending == 0) {
                                 sendable[key] = 1;
                                 keeper->closeNotRun(proceed->token, cluster.scheduler.now());
                             } else if (ending == 1) {
                                 keeper->abandon(proceed->token);
                             } else {
                                 keeper->closeAnswered(proceed->token, answerOf(key), cluster.scheduler.now(), [] {});
                             }
                         } else if (const auto *answer = std::get_if<RecordedAnswer>(&decision)) {
                             EXPECT_EQ(*answer, answerOf(key));
                         }
                     });
        cluster.faults.isDown = n % 200 >= 150 && n % 200 < 170;
        cluster.scheduler.runFor(Duration(draw(20'000)));
    }
    cluster.faults.isDown = false;
    cluster.scheduler.runFor(10s);
    EXPECT_EQ(decided, requestCount) << "a request got no decision";
    EXPECT_GT(sends.size(), 30U);
}

INSTANTIATE_TEST_SUITE_P(Seeds, RecordHistory, testing::Values(1U, 2U, 3U, 4U, 5U, 6U));

} // namespace monsoonspool::records
