#include "jobs/memorybudget.h"

#include <gtest/gtest.h>

namespace monsoonspool::jobs {

// Guards against jobs of one queue that leave no room for those of another.
TEST(MemoryBudget, AQueueUsesAsMuchAsIsLeftFree)
{
    MemoryBudget budget(1000);
    EXPECT_TRUE(budget.hasRoom("a", 500));
    EXPECT_TRUE(budget.hasRoom("a", 1000)) << "alone";
    budget.change("a", 0, 500);
    EXPECT_FALSE(budget.hasRoom("a", 1));
    EXPECT_TRUE(budget.hasRoom("b", 250));
    EXPECT_EQ(budget.fullQueues(8), std::vector<std::string>());
    budget.change("b", 0, 250);
    EXPECT_FALSE(budget.hasRoom("b", 1));
    EXPECT_TRUE(budget.hasRoom("c", 250));
    EXPECT_EQ(budget.fullQueues(8), std::vector<std::string>({"a"}));
    budget.change("b", 250, 300);
    EXPECT_EQ(budget.fullQueues(8), (std::vector<std::string>{"a", "b"}));
    EXPECT_EQ(budget.fullQueues(1), std::vector<std::string>({"a"}));
}

TEST(MemoryBudget, GivesBackWhatWasTaken)
{
    MemoryBudget budget(1000);
    budget.change("a", 0, 700);
    budget.change("a", 0, 100);
    EXPECT_EQ(budget.used(), 800U);
    budget.change("a", 700, 0);
    budget.change("a", 100, 40);
    EXPECT_EQ(budget.used(), 40U);
    EXPECT_EQ(budget.usedBy("a"), 40U);
    budget.change("a", 40, 0);
    EXPECT_EQ(budget.used(), 0U);
    EXPECT_TRUE(budget.fullQueues(8).empty());
}

} // namespace monsoonspool::jobs
