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

// Refuses calls or loses replies at random, and can be down.
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

// Several entry hosts' keepers over one table.
struct Keepers
{
    Keepers(int n, std::uint64_t seed) : faults(seed), table(scheduler, faults)
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

TEST(RecordKeeper, LetsTheFirstProceedAndReplaysItsWholeAnswer)
{
    Keepers world(2, 1);
    std::optional<Decision> first;
    std::optional<Decision> second;
    bool isClosed = false;
    world.keepers[0]->open(world.request("k"), world.scheduler.now(), [&](const Decision &it) { first = it; });
    world.scheduler.runFor(100ms);
    ASSERT_TRUE(first && std::holds_alternative<MayProceed>(*first));
    world.keepers[0]->closeAnswered(std::get<MayProceed>(*first).token, answerOf("k"), world.scheduler.now(),
                                    [&] { isClosed = true; });
    world.scheduler.runFor(100ms);
    EXPECT_TRUE(isClosed);
    world.keepers[0].reset(); // the first host has died
    world.keepers[1]->open(world.request("k"), world.scheduler.now(), [&](const Decision &it) { second = it; });
    world.scheduler.runFor(100ms);
    ASSERT_TRUE(second && std::holds_alternative<RecordedAnswer>(*second));
    EXPECT_EQ(std::get<RecordedAnswer>(*second), answerOf("k"));
}

TEST(RecordKeeper, JoinsARequestInFlight)
{
    Keepers world(2, 1);
    std::optional<Decision> first;
    std::optional<Decision> second;
    world.keepers[0]->open(world.request("k"), world.scheduler.now(), [&](const Decision &it) { first = it; });
    world.scheduler.runFor(100ms);
    world.keepers[1]->open(world.request("k"), world.scheduler.now(), [&](const Decision &it) { second = it; });
    world.scheduler.runFor(500ms);
    EXPECT_FALSE(second);
    world.keepers[0]->closeAnswered(std::get<MayProceed>(*first).token, answerOf("k"), world.scheduler.now(), [] {});
    world.scheduler.runFor(2s);
    ASSERT_TRUE(second && std::holds_alternative<RecordedAnswer>(*second));
}

TEST(RecordKeeper, SaysUnknownWhenTheFirstHostDiedInFlight)
{
    Keepers world(2, 1);
    std::optional<Decision> second;
    world.keepers[0]->open(world.request("k"), world.scheduler.now(), [](const Decision &) {});
    world.scheduler.runFor(100ms);
    world.keepers[0].reset();
    world.keepers[1]->open(world.request("k", 2s), world.scheduler.now(), [&](const Decision &it) { second = it; });
    world.scheduler.runFor(3s);
    ASSERT_TRUE(second && std::holds_alternative<Failure>(*second));
    EXPECT_EQ(answerFor(std::get<Failure>(*second).kind).outcome, Outcome::Unknown);
}

TEST(RecordKeeper, TakesOverWhatWasNotRun)
{
    Keepers world(2, 1);
    std::optional<Decision> first;
    std::optional<Decision> second;
    world.keepers[0]->open(world.request("k"), world.scheduler.now(), [&](const Decision &it) { first = it; });
    world.scheduler.runFor(100ms);
    world.keepers[0]->closeNotRun(std::get<MayProceed>(*first).token, world.scheduler.now());
    world.scheduler.runFor(100ms);
    world.keepers[1]->open(world.request("k"), world.scheduler.now(), [&](const Decision &it) { second = it; });
    world.scheduler.runFor(200ms);
    EXPECT_TRUE(second && std::holds_alternative<MayProceed>(*second));
}

TEST(RecordKeeper, RefusesAKeyThatBelongsToAnotherRequest)
{
    Keepers world(1, 1);
    std::optional<Decision> second;
    world.keepers[0]->open(world.request("k"), world.scheduler.now(), [](const Decision &) {});
    world.scheduler.runFor(100ms);
    auto other = world.request("k");
    other.fingerprint = "another";
    world.keepers[0]->open(other, world.scheduler.now(), [&](const Decision &it) { second = it; });
    world.scheduler.runFor(200ms);
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

// While the store is down the service's document decides.
TEST_P(RecordOutage, FollowsTheDocument)
{
    Keepers world(1, 1);
    world.faults.isDown = true;
    std::optional<Decision> decision;
    auto request = world.request("k", 2s);
    request.sendUnrecordedInOutage = GetParam().sendUnrecorded;
    world.keepers[0]->open(request, world.scheduler.now(), [&](const Decision &it) { decision = it; });
    world.scheduler.runFor(1s);
    EXPECT_EQ(decision.has_value(), GetParam().mayProceed);
    world.scheduler.runFor(2s);
    ASSERT_TRUE(decision);
    EXPECT_EQ(std::holds_alternative<MayProceed>(*decision), GetParam().mayProceed);
    if (const auto *failure = std::get_if<Failure>(&*decision)) {
        EXPECT_EQ(answerFor(failure->kind).outcome, Outcome::NotRun);
    }
}

INSTANTIATE_TEST_SUITE_P(Rules, RecordOutage,
                         testing::Values(OutageCase{"Wait", false, false}, OutageCase{"SendUnrecorded", true, true}),
                         [](const auto &info) { return info.param.name; });

TEST(RecordKeeper, WritesManyRowsInOneCommit)
{
    Keepers world(1, 1);
    int proceeded = 0;
    for (int n = 0; n < 200; ++n) {
        world.keepers[0]->open(world.request("k" + std::to_string(n)), world.scheduler.now(),
                               [&](const Decision &) { ++proceeded; });
    }
    world.scheduler.runFor(200ms);
    EXPECT_EQ(proceeded, 200);
    EXPECT_LE(world.table.commitCount(), 4U);
}

class RecordHistory : public testing::TestWithParam<std::uint64_t>
{
};

// Many hosts, few keys, lost replies, refusals and outages: each key is sent at
// most once for every time that it was said not to have run, and every replay is
// the one answer.
TEST_P(RecordHistory, SendsEachKeyAtMostOnce)
{
    Keepers world(5, GetParam());
    world.faults.lostPercent = 20;
    world.faults.refusedPercent = 10;
    boost::random::mt19937_64 generator(GetParam());
    const auto draw = [&](int n) { return boost::random::uniform_int_distribution<int>(0, n - 1)(generator); };
    std::map<std::string, int> sendable; // 1 while the key may be sent
    std::map<std::string, int> sends;
    int decided = 0;
    constexpr int requestsCount = 600;
    constexpr int keyCount = 60;
    for (int n = 0; n < requestsCount; ++n) {
        const auto key = "key-" + std::to_string(draw(keyCount));
        auto *keeper = world.keepers[static_cast<std::size_t>(draw(5))].get();
        const int ending = draw(4);
        sendable.try_emplace(key, 1);
        keeper->open(world.request(key, 3s), world.scheduler.now(), [&, key, keeper, ending](const Decision &decision) {
            ++decided;
            if (const auto *proceed = std::get_if<MayProceed>(&decision)) {
                ++sends[key];
                EXPECT_EQ(sendable[key]--, 1) << key << " seed " << GetParam();
                if (ending == 0) {
                    sendable[key] = 1;
                    keeper->closeNotRun(proceed->token, world.scheduler.now());
                } else if (ending == 1) {
                    keeper->abandon(proceed->token);
                } else {
                    keeper->closeAnswered(proceed->token, answerOf(key), world.scheduler.now(), [] {});
                }
            } else if (const auto *answer = std::get_if<RecordedAnswer>(&decision)) {
                EXPECT_EQ(*answer, answerOf(key));
            }
        });
        world.faults.isDown = n % 200 >= 150 && n % 200 < 170;
        world.scheduler.runFor(Duration(draw(20'000)));
    }
    world.faults.isDown = false;
    world.scheduler.runFor(10s);
    EXPECT_EQ(decided, requestsCount) << "every request gets its decision";
    EXPECT_GT(sends.size(), 30U);
}

INSTANTIATE_TEST_SUITE_P(Seeds, RecordHistory, testing::Values(1U, 2U, 3U, 4U, 5U, 6U));

} // namespace monsoonspool::records
