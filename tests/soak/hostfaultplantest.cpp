#include "soak/hostfaultplan.h"

#include "soak/historychecker.h"

#include <gtest/gtest.h>

namespace monsoonspool::soak {

// A plan without quiet stretches would leave no time in which standstills are checked.
TEST(HostFaultPlanTest, LeavesQuietStretchesThatAreLongerThanTheSettleTime)
{
    const HistoryRules rules;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        const auto plan = planHostFaults(HostFaultSet::All, seed, 3, 120s);
        ASSERT_FALSE(plan.empty());
        int quiet = 0;
        for (std::size_t n = 1; n < plan.size(); ++n) {
            const auto pause = plan[n].at - (plan[n - 1].at + plan[n - 1].length);
            quiet += pause > rules.settleTime + rules.standstillBound ? 1 : 0;
        }
        EXPECT_GE(quiet, 3) << "seed " << seed;
    }
}

TEST(HostFaultPlanTest, PausesAreShorterThanTwoSeconds)
{
    for (const auto &it : planHostFaults(HostFaultSet::Pauses, 1, 3, 600s)) {
        EXPECT_EQ(it.fault, HostFault::Pause);
        EXPECT_LT(it.length, 2s);
    }
}

TEST(HostFaultPlanTest, CalmHasNoFaults)
{
    EXPECT_TRUE(planHostFaults(HostFaultSet::None, 1, 3, 600s).empty());
}

} // namespace monsoonspool::soak
