#include "membership/evacuations.h"

#include <gtest/gtest.h>

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace monsoonspool::membership {

namespace {

constexpr TimePoint Start{1h};

EvacuationRequest evacuation(std::string_view domain, std::uint64_t version = 0)
{
    return {FailureDomain(domain), false, version};
}

EvacuationRequest withdrawal(std::string_view domain, std::uint64_t version = 0)
{
    return {FailureDomain(domain), true, version};
}

std::string namesOf(const Evacuations &evacuations)
{
    std::string names;
    for (const auto &it : evacuations.domains()) {
        names += it.text();
    }
    return names;
}

std::string textOf(std::span<const EvacuationRequest> changes)
{
    std::string text;
    for (const auto &it : changes) {
        text += (it.isWithdrawn ? "-" : "+") + it.domain.text();
    }
    return text;
}

} // namespace

// A domain whose row is missing from a complete reading would stay evacuated for ever.
TEST(Evacuations, ACompleteReadingReplacesAllEarlierOnes)
{
    Evacuations evacuations;
    EXPECT_EQ(textOf(evacuations.replaceAll(std::vector{evacuation("a", 1), evacuation("b", 2)})), "+a+b");
    EXPECT_EQ(textOf(evacuations.apply(std::vector{evacuation("c", 3)})), "+c");
    EXPECT_EQ(textOf(evacuations.replaceAll(std::vector{evacuation("b", 2), evacuation("d", 5)})), "+d-a-c");
    EXPECT_EQ(namesOf(evacuations), "bd");
    EXPECT_TRUE(evacuations.mayTakeTasks(FailureDomain("a")));
    EXPECT_FALSE(evacuations.mayTakeTasks(FailureDomain("b")));
    EXPECT_EQ(textOf(evacuations.replaceAll({})), "-b-d");
}

// Guards against an evacuation that is lost when it is withdrawn and requested again, or repeated by
// the feed after a complete reading.
TEST(Evacuations, TheLatestChangeCounts)
{
    struct Case
    {
        const char *name;
        std::vector<EvacuationRequest> changes;
        const char *effect;
        const char *domains;
    };
    for (const auto &it :
         {Case{"withdrawn and requested again", {withdrawal("a", 11), evacuation("a", 12)}, "-a+a", "a"},
          Case{"requested twice", {evacuation("a", 11), evacuation("a", 12)}, "", "a"},
          Case{"withdrawn twice", {withdrawal("a", 11), withdrawal("a", 12)}, "-a", ""},
          Case{"an old withdrawal is repeated", {withdrawal("a", 9)}, "", "a"},
          Case{"a withdrawal without a version", {withdrawal("a", 0)}, "-a", ""},
          Case{"of a domain that is not evacuated", {withdrawal("b", 11)}, "", "a"},
          Case{"of another domain", {evacuation("b", 11)}, "+b", "ab"}}) {
        SCOPED_TRACE(it.name);
        Evacuations evacuations;
        evacuations.replaceAll(std::vector{evacuation("a", 10)});
        EXPECT_EQ(textOf(evacuations.apply(it.changes)), it.effect);
        EXPECT_EQ(namesOf(evacuations), it.domains);
    }
}

// A start may be ordered by a reading in which an evacuation is missing that was stored right after
// it began: the start must be over before the bound has passed since then.
TEST(Evacuations, StartsAreValidForLessThanTheBoundAfterTheLastReadingBegan)
{
    Evacuations evacuations(3s);
    EXPECT_FALSE(evacuations.readAt());
    EXPECT_LT(evacuations.startsValidUntil(), Start) << "nothing has been read";
    evacuations.noteRead(Start);
    EXPECT_LT(evacuations.startsValidUntil(), Start + 3s);
    EXPECT_GT(evacuations.startsValidUntil(), Start + 2500ms);
    evacuations.noteRead(Start + 1s);
    EXPECT_GT(evacuations.startsValidUntil(), Start + 3500ms);
    evacuations.noteRead(Start);
    EXPECT_EQ(evacuations.readAt(), Start + 1s) << "an answer that was sent earlier tells nothing new";
    EXPECT_LE(evacuations.maxReadingInterval() * 3, 3s);
}

} // namespace monsoonspool::membership
