#include "controlapi.h"

#include "codec/json.h"

#include <gtest/gtest.h>

#include <sstream>

namespace monsoonspool::platform {

TEST(ControlApi, EachMetricHasAHelpLineAndOneValuePerLine)
{
    execution::ExecutionSummary summary;
    summary.fleet.starts = 12;
    summary.fleet.firstStart.add(200ms);
    std::istringstream text(encodeMetrics(summary));
    std::string line;
    int helpLines = 0;
    int valueLines = 0;
    int summaries = 0;
    while (std::getline(text, line)) {
        if (line.starts_with("# HELP")) {
            ++helpLines;
        } else if (line.starts_with("# TYPE") && line.ends_with(" summary")) {
            ++summaries;
        } else if (!line.starts_with("#")) {
            ++valueLines;
            EXPECT_TRUE(line.starts_with("monsoonspool_")) << line;
            EXPECT_NE(line.find(' '), std::string::npos) << line;
        }
    }
    EXPECT_GT(helpLines, 12);
    EXPECT_EQ(summaries, 2);
    EXPECT_EQ(valueLines, helpLines + 3 * summaries) << "a summary has three quantiles and a count";
}

TEST(ControlApi, StateHasAllSections)
{
    const auto json = codec::Json::parse(encodeState({}, EntryHostId("h")));
    for (const auto *it :
         {"host", "leadership", "configuration", "store", "load", "jobs", "workers", "runs", "rackWaits"}) {
        EXPECT_TRUE(json.contains(it)) << it;
    }
}

} // namespace monsoonspool::platform
