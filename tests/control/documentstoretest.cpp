#include "control/documentstore.h"

#include "codec/cborrows.h"
#include "ports/memory/memorytable.h"
#include "ports/virtualscheduler.h"

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <gtest/gtest.h>

#include <map>

namespace monsoonspool::control {

namespace {

class StoreFaults : public ports::FaultPlan
{
public:
    explicit StoreFaults(std::uint64_t seed) : m_generator(seed)
    {
    }
    int lostPercent = 0;
    bool isDown = false;

    ports::Fault next(std::string_view, std::uint64_t, TimePoint) override
    {
        return {Duration(draw(4'000) + 200), isDown, draw(100) < lostPercent};
    }

private:
    int draw(int n)
    {
        return boost::random::uniform_int_distribution<int>(0, n - 1)(m_generator);
    }
    boost::random::mt19937_64 m_generator;
};

std::string document(std::string_view service, int queueLimit, double share = 0.1)
{
    return R"({"service": ")" + std::string(service)
        + R"(", "team": "t", "pool": "shared", "urgency": [{"name": "u", "rank": 0, "guaranteedShare": )"
        + std::to_string(share) + R"(, "queueLimit": )" + std::to_string(queueLimit) + "}]}";
}

// Several daemons that synchronize their documents through one table.
struct Daemons
{
    Daemons(std::size_t n, std::uint64_t seed) : faults(seed), table(scheduler, faults), sets(n)
    {
        for (std::size_t i = 0; i < n; ++i) {
            keepers.push_back(
                std::make_unique<DocumentStore>(DocumentStoreOptions{}, sets[i], table, codec, seed * 100 + i));
        }
        tick();
    }

    void tick()
    {
        for (std::size_t i = 0; i < keepers.size(); ++i) {
            keepers[i]->tick(true, scheduler.now());
            for (const auto &it : sets[i].all()) {
                auto &highest = revisions[{i, it->document.service.text()}];
                EXPECT_GE(it->revision, highest) << "a revision decreased";
                highest = it->revision;
            }
        }
        scheduler.runAfter(20ms, [this] { tick(); });
    }

    ApplyOutcome apply(std::size_t daemon, const std::string &service, const std::string &text, std::uint64_t base)
    {
        std::optional<ApplyOutcome> outcome;
        keepers[daemon]->apply({ServiceName(service), text, "tester", base}, scheduler.now(),
                               [&](const ApplyOutcome &it) { outcome = it; });
        for (int n = 0; n < 1000 && !outcome; ++n) {
            scheduler.runFor(10ms);
        }
        return *outcome;
    }

    ports::VirtualScheduler scheduler;
    StoreFaults faults;
    ports::memory::MemoryTable table;
    codec::CborRows codec;
    std::vector<documents::DocumentSet> sets;
    std::vector<std::unique_ptr<DocumentStore>> keepers;
    std::map<std::pair<std::size_t, std::string>, std::uint64_t> revisions;
};

ErrorKind kindOf(const ApplyOutcome &outcome)
{
    const auto *refusal = std::get_if<ApplyRefusal>(&outcome);
    return refusal ? refusal->failure.kind : ErrorKind::Internal;
}

} // namespace

TEST(DocumentStore, PutsAnAcceptedChangeInForceEverywhereWithinFiveSeconds)
{
    Daemons daemons(9, 1);
    daemons.scheduler.runFor(1s);
    const auto outcome = daemons.apply(0, "s", document("s", 7), 0);
    ASSERT_TRUE(std::holds_alternative<ApplyResult>(outcome));
    daemons.scheduler.runFor(5s);
    for (const auto &set : daemons.sets) {
        ASSERT_TRUE(set.find(ServiceName("s")));
        EXPECT_EQ(set.find(ServiceName("s"))->document.urgency.front().queueLimit, 7);
    }
}

TEST(DocumentStore, AcceptsOneOfTwoConcurrentApplies)
{
    Daemons daemons(2, 1);
    daemons.scheduler.runFor(1s);
    std::vector<ApplyOutcome> outcomes;
    for (std::size_t n = 0; n < 2; ++n) {
        daemons.keepers[n]->apply({ServiceName("s"), document("s", static_cast<int>(n) + 1), "tester", 0},
                                  daemons.scheduler.now(), [&](const ApplyOutcome &it) { outcomes.push_back(it); });
    }
    daemons.scheduler.runFor(3s);
    ASSERT_EQ(outcomes.size(), 2U);
    const bool hasFirstWon = std::holds_alternative<ApplyResult>(outcomes[0]);
    EXPECT_NE(hasFirstWon, std::holds_alternative<ApplyResult>(outcomes[1]));
    const auto &refusal = std::get<ApplyRefusal>(outcomes[hasFirstWon ? 1 : 0]);
    EXPECT_EQ(refusal.failure.kind, ErrorKind::DocumentConflict);
    EXPECT_EQ(refusal.currentRevision, 1U);
    EXPECT_FALSE(refusal.currentText.empty()) << "the refusal contains the current text";
}

struct RefusedApply
{
    const char *name;
    std::string service;
    std::string text;
    std::uint64_t base;
    ErrorKind kind;
};

TEST(DocumentStore, RefusesInvalidAppliesWithoutChanges)
{
    Daemons daemons(1, 1);
    daemons.scheduler.runFor(1s);
    ASSERT_TRUE(std::holds_alternative<ApplyResult>(daemons.apply(0, "s", document("s", 1, 0.7), 0)));
    const RefusedApply cases[]{
        {"not JSON", "s", "{", 1, ErrorKind::InvalidDocument},
        {"another name", "other", document("s", 1), 0, ErrorKind::InvalidDocument},
        {"stale base", "s", document("s", 2), 0, ErrorKind::DocumentConflict},
        {"base newer than the current revision", "s", document("s", 2), 9, ErrorKind::DocumentConflict},
        {"shares over 1 together", "other", document("other", 1, 0.4), 0, ErrorKind::DocumentImpossible},
    };
    for (const auto &it : cases) {
        EXPECT_EQ(kindOf(daemons.apply(0, it.service, it.text, it.base)), it.kind) << it.name;
    }
    EXPECT_EQ(daemons.sets[0].all().size(), 1U);
    EXPECT_EQ(daemons.sets[0].find(ServiceName("s"))->revision, 1U);
    daemons.faults.isDown = true;
    EXPECT_EQ(kindOf(daemons.apply(0, "s", document("s", 2), 1)), ErrorKind::StoreUnavailable);
}

TEST(DocumentStore, ValidatesConcurrentDocumentsAgainstEachOther)
{
    Daemons daemons(2, 1);
    daemons.scheduler.runFor(1s);
    std::vector<ApplyOutcome> outcomes;
    const std::string names[]{"a", "b"};
    for (std::size_t n = 0; n < 2; ++n) {
        daemons.keepers[n]->apply({ServiceName(names[n]), document(names[n], 1, 0.7), "tester", 0},
                                  daemons.scheduler.now(), [&](const ApplyOutcome &it) { outcomes.push_back(it); });
    }
    daemons.scheduler.runFor(3s);
    ASSERT_EQ(outcomes.size(), 2U);
    const bool hasFirstWon = std::holds_alternative<ApplyResult>(outcomes[0]);
    EXPECT_EQ(kindOf(outcomes[hasFirstWon ? 1 : 0]), ErrorKind::DocumentImpossible);
}

TEST(DocumentStore, LoadsAllRowsWhenItIsFurtherBehindThanTheFeed)
{
    ports::VirtualScheduler scheduler;
    StoreFaults faults(1);
    ports::memory::MemoryTable table(scheduler, faults);
    codec::CborRows codec;
    documents::DocumentSet first;
    documents::DocumentSet late;
    DocumentStoreOptions options;
    options.feedLength = 3;
    DocumentStore writer(options, first, table, codec, 1);
    DocumentStore reader(options, late, table, codec, 2);
    const auto run = [&](DocumentStore &keeper) {
        for (int n = 0; n < 50; ++n) {
            keeper.tick(true, scheduler.now());
            scheduler.runFor(20ms);
        }
    };
    run(writer);
    run(reader);
    for (std::uint64_t n = 0; n < 8; ++n) {
        writer.apply({ServiceName("s"), document("s", static_cast<int>(n) + 1), "tester", n}, scheduler.now(),
                     [](const ApplyOutcome &) {});
        run(writer);
    }
    run(reader);
    EXPECT_EQ(late.find(ServiceName("s"))->revision, 8U);
    EXPECT_EQ(reader.position(), writer.position());
}

class DocumentHistory : public testing::TestWithParam<std::uint64_t>
{
};

// Concurrent applies at several daemons, with lost replies and store outages. Guards
// against a revision that is accepted twice or reverted, and against daemons that do
// not converge.
TEST_P(DocumentHistory, NeverRevertsAndConverges)
{
    Daemons daemons(4, GetParam());
    daemons.faults.lostPercent = 25;
    boost::random::mt19937_64 generator(GetParam());
    const auto draw = [&](int n) { return boost::random::uniform_int_distribution<int>(0, n - 1)(generator); };
    std::map<std::pair<std::string, std::uint64_t>, std::string> accepted;
    int outcomes = 0;
    constexpr int appliesCount = 150;
    daemons.scheduler.runFor(1s);
    for (int n = 0; n < appliesCount; ++n) {
        const auto daemon = static_cast<std::size_t>(draw(4));
        const auto service = "s" + std::to_string(draw(3));
        const auto current = daemons.sets[daemon].find(ServiceName(service));
        const auto text = document(service, n + 1);
        daemons.keepers[daemon]->apply(
            {ServiceName(service), text, "tester", current ? current->revision : 0}, daemons.scheduler.now(),
            [&, service, text](const ApplyOutcome &outcome) {
                ++outcomes;
                if (const auto *result = std::get_if<ApplyResult>(&outcome)) {
                    EXPECT_TRUE(accepted.try_emplace({service, result->revision}, text).second)
                        << service << " revision " << result->revision << " was accepted twice";
                }
            });
        daemons.faults.isDown = n % 50 >= 40 && n % 50 < 45;
        daemons.scheduler.runFor(Duration(draw(60'000)));
    }
    daemons.faults.isDown = false;
    daemons.faults.lostPercent = 0;
    daemons.scheduler.runFor(12s);
    EXPECT_EQ(outcomes, appliesCount);
    EXPECT_GT(accepted.size(), 20U);
    for (const auto &set : daemons.sets) {
        ASSERT_EQ(set.all().size(), daemons.sets[0].all().size());
        for (const auto &it : set.all()) {
            EXPECT_EQ(it->revision, daemons.sets[0].find(it->document.service)->revision);
            const auto known = accepted.find({it->document.service.text(), it->revision});
            if (known != accepted.end()) {
                EXPECT_EQ(it->text, known->second);
            }
        }
    }
}

INSTANTIATE_TEST_SUITE_P(Seeds, DocumentHistory, testing::Values(1U, 2U, 3U, 4U, 5U, 6U));

} // namespace monsoonspool::control
