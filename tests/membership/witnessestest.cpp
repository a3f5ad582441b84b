#include "membership/witnesses.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>

namespace monsoonspool::membership {

namespace {

constexpr TimePoint Start{1h};

WorkerId workerOf(int n)
{
    return WorkerId("w" + std::to_string(n));
}

std::vector<Witness> witnessesOf(int count)
{
    std::vector<Witness> witnesses;
    for (int n = 0; n < count; ++n) {
        witnesses.push_back({workerOf(n), 1});
    }
    return witnesses;
}

} // namespace

// Guards against a leader that takes the answers of too few workers, or of processes that have forgotten its
// successor's fence, as support.
TEST(Witnesses, SupportIsThatOfAMajorityOfTheNamedProcesses)
{
    struct Case
    {
        const char *name;
        int witnesses;
        std::vector<Duration> sentAt; // of the last answered request to each worker
        std::set<int> restarted;
        std::optional<Duration> since;
        bool isAccepted; // by the witnesses or by processes that have replaced them
    };
    for (const auto &it :
         {Case{"no witnesses", 0, {}, {}, std::nullopt, false}, Case{"one", 1, {3s}, {}, 3s, true},
          Case{"one of one is missing", 1, {}, {}, std::nullopt, false},
          Case{"half of them", 4, {3s, 4s}, {}, std::nullopt, false},
          Case{"three of four", 4, {3s, 1s, 2s}, {}, 1s, true}, Case{"all", 5, {1s, 5s, 2s, 4s, 3s}, {}, 3s, true},
          Case{"some have restarted", 5, {1s, 5s, 2s, 4s, 3s}, {1, 4}, 1s, true},
          Case{"most have restarted", 5, {1s, 5s, 2s, 4s, 3s}, {1, 2, 4}, std::nullopt, true}}) {
        SCOPED_TRACE(it.name);
        const auto witnesses = witnessesOf(it.witnesses);
        WitnessAnswers answers;
        for (std::size_t n = 0; n < it.sentAt.size(); ++n) {
            const auto worker = static_cast<int>(n);
            answers[workerOf(worker)] = {it.restarted.contains(worker) ? 2 : 1, Start + it.sentAt[n]};
        }
        answers[WorkerId("other")] = {1, Start + 9s};
        const auto since = supportedSince(witnesses, answers);
        EXPECT_EQ(since, it.since ? std::optional(Start + *it.since) : std::nullopt);
        EXPECT_EQ(isAcceptedByMajority(witnesses, answers), it.isAccepted);
    }
}

// A row that was sent without a reply may be stored, and a successor then asks its witnesses.
TEST(Witnesses, EachListThatMayBeStoredMustSupportTheLeader)
{
    Witnesses witnesses;
    EXPECT_TRUE(witnesses.areNone());
    witnesses.reset(witnessesOf(3));
    const std::vector<Witness> others{{WorkerId("x"), 1}, {WorkerId("y"), 1}, {workerOf(0), 1}};
    WitnessAnswers answers;
    for (int n = 0; n < 3; ++n) {
        answers[workerOf(n)] = {1, Start + 5s};
    }
    EXPECT_EQ(supportedSince(witnesses, answers), Start + 5s);
    witnesses.add(others);
    witnesses.add(others);
    EXPECT_EQ(witnesses.lists().size(), 2U);
    EXPECT_EQ(witnesses.all().size(), 5U);
    EXPECT_FALSE(supportedSince(witnesses, answers));
    answers[WorkerId("x")] = {1, Start + 2s};
    EXPECT_EQ(supportedSince(witnesses, answers), Start + 2s);
    witnesses.reset(others);
    EXPECT_EQ(witnesses.lists().size(), 1U);
}

TEST(Witnesses, AreKeptWhileTheyCanAnswerAndSpreadOverTheFailureDomains)
{
    std::vector<WitnessCandidate> candidates;
    for (int n = 0; n < 60; ++n) {
        candidates.push_back({{workerOf(n), 1}, FailureDomain(n < 40 ? "a" : n < 55 ? "b" : "c")});
    }
    const auto first = chooseWitnesses({}, candidates);
    EXPECT_EQ(first.size(), MaxWitnesses);
    std::map<FailureDomain, int> counts;
    for (const auto &it : first) {
        ++counts[std::ranges::find(candidates, it, &WitnessCandidate::process)->domain];
    }
    for (const auto &[domain, count] : counts) {
        EXPECT_EQ(count, 3) << domain.text();
    }
    std::ranges::reverse(candidates);
    EXPECT_EQ(chooseWitnesses(first, candidates), first);

    const auto gone = first.front();
    std::erase_if(candidates, [&](const WitnessCandidate &it) { return it.process == gone; });
    const auto second = chooseWitnesses(first, candidates);
    EXPECT_EQ(second.size(), MaxWitnesses);
    EXPECT_EQ(
        std::ranges::count_if(second, [&](const Witness &it) { return std::ranges::find(first, it) != first.end(); }),
        static_cast<std::ptrdiff_t>(MaxWitnesses) - 1);
    candidates.resize(4);
    EXPECT_EQ(chooseWitnesses(first, candidates).size(), 4U);
    EXPECT_TRUE(chooseWitnesses(first, {}).empty());
}

} // namespace monsoonspool::membership
