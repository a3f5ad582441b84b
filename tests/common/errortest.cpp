#include "common/error.h"

#include <gtest/gtest.h>

#include <set>

namespace monsoonspool {

TEST(ErrorTable, HasAUniqueNameForEveryKind)
{
    std::set<std::string_view> names;
    for (const auto &row : errorTable()) {
        EXPECT_TRUE(names.insert(row.name).second) << row.name;
        EXPECT_EQ(&errorInfo(row.kind), &row) << row.name;
    }
}

// A retry after an unknown outcome could execute the request twice.
TEST(ErrorTable, CallsOnlyNotRunSafeToRetry)
{
    for (const auto &row : errorTable()) {
        if (row.isRetrySafe) {
            EXPECT_EQ(row.outcome, Outcome::NotRun) << row.name;
        }
        EXPECT_NE(row.outcome, Outcome::Answered) << row.name;
        EXPECT_GE(row.httpStatus, 400) << row.name;
        EXPECT_NE(row.exitStatus, 0) << row.name;
    }
}

TEST(ErrorTable, CarriesKindAndDetailToTheHandler)
{
    const auto kind = handleFailure(
        []() -> Result<ErrorKind> { return fail(ErrorKind::QueueFull, "full"); },
        [](const Failure &failure) { return failure.detail == "full" ? failure.kind : ErrorKind::Internal; });
    EXPECT_EQ(kind, ErrorKind::QueueFull);
}

} // namespace monsoonspool
