#include "jobs/outcomecounts.h"

#include <gtest/gtest.h>

#include <numeric>

namespace monsoonspool::jobs {

TEST(OutcomeCounts, SizesAreCountedInClasses)
{
    struct Case
    {
        int orders;
        const char *name;
    };
    for (const auto &it : {Case{0, "1-7"}, Case{1, "1-7"}, Case{7, "1-7"}, Case{8, "8-15"}, Case{15, "8-15"},
                           Case{16, "16-31"}, Case{127, "64-127"}, Case{128, "128+"}, Case{100000, "128+"}}) {
        EXPECT_EQ(sizeClassName(sizeClassOf(it.orders)), it.name) << it.orders;
    }
}

TEST(OutcomeCounts, CountsByQueueSizeAndOutcome)
{
    OutcomeCounts counts;
    for (const int orders : {2, 3, 20, 200}) {
        counts.noteAccepted("proofs", orders);
    }
    counts.noteEnded("proofs", 2, JobOutcome::OnTime);
    counts.noteEnded("proofs", 20, JobOutcome::TooLate);
    const auto rows = counts.rows();
    ASSERT_EQ(rows.size(), 3U);
    EXPECT_EQ(rows[0].accepted, 2U);
    EXPECT_EQ(rows[0].ended[static_cast<std::size_t>(JobOutcome::OnTime)], 1U);
    EXPECT_EQ(rows[0].open(), 1U);
    EXPECT_EQ(rows[1].open(), 0U);
    EXPECT_EQ(rows[2].open(), 1U);
    counts.forgetAccepted("proofs", 200);
    EXPECT_EQ(counts.rows().size(), 2U);
    counts.clear();
    EXPECT_TRUE(counts.rows().empty());
}

// Guards against metrics that grow with the number of queues.
TEST(OutcomeCounts, TheNumberOfRowsIsBounded)
{
    OutcomeCounts counts;
    constexpr int queues = 1000;
    for (int n = 0; n < queues; ++n) {
        counts.noteAccepted("queue-" + std::to_string(n), 1);
    }
    const auto rows = counts.rows();
    EXPECT_LE(rows.size(), (OutcomeCounts::MaxQueues + 1) * SizeClassCount);
    const auto accepted = std::accumulate(rows.begin(), rows.end(), std::uint64_t{0},
                                          [](std::uint64_t sum, const OutcomeRow &it) { return sum + it.accepted; });
    EXPECT_EQ(accepted, static_cast<std::uint64_t>(queues));
}

} // namespace monsoonspool::jobs
