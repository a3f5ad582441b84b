#include "controlapi.h"

#include "codec/json.h"
#include "http/connectionmetrics.h"

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
    while (std::getline(text, line)) {
        if (line.starts_with("# HELP")) {
            ++helpLines;
        } else if (!line.starts_with("#")) {
            ++valueLines;
            EXPECT_TRUE(line.starts_with("monsoonspool_")) << line;
            EXPECT_NE(line.find(' '), std::string::npos) << line;
        }
    }
    EXPECT_GT(helpLines, 12);
    EXPECT_EQ(valueLines, helpLines + 3) << "the summary has three quantiles and a count";
}

TEST(ControlApi, StateHasAllSections)
{
    const auto json = codec::Json::parse(encodeState({}, EntryHostId("h")));
    for (const auto *it :
         {"host", "leadership", "configuration", "store", "load", "jobs", "workers", "runs", "connections"}) {
        EXPECT_TRUE(json.contains(it)) << it;
    }
}

TEST(ControlApi, ShowsWhichLimitTheConnectionsOfAnAddressHaveReached)
{
    http::ConnectionUsage usage{"clients", 3, 12'000, {}};
    usage.reached[static_cast<std::size_t>(http::ConnectionLimit::FramingBytes)] = 7;
    const std::vector usages{usage};
    const auto text = http::encodeConnectionMetrics(usages);
    for (const auto *it :
         {"monsoonspool_connections{side=\"clients\"} 3\n", "monsoonspool_connection_bytes{side=\"clients\"} 12000\n",
          "monsoonspool_connection_limits_total{side=\"clients\",limit=\"framing-bytes\"} 7\n",
          "monsoonspool_connection_limits_total{side=\"clients\",limit=\"body-time\"} 0\n"}) {
        EXPECT_NE(text.find(it), std::string::npos) << it;
    }
    const auto json = codec::Json::parse(encodeState({}, EntryHostId("h"), usages)).at("connections").at("clients");
    EXPECT_EQ(json.at("open"), 3);
    EXPECT_EQ(json.at("limitsReached").at("framing-bytes"), 7);
}

} // namespace monsoonspool::platform
