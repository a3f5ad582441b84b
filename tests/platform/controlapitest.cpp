#include "controlapi.h"

#include "codec/json.h"
#include "http/connectionmetrics.h"

#include <gtest/gtest.h>

#include <sstream>
#include <string>

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

// Guards against an evacuated domain that looks empty because its numbers are missing, and against
// names that break the text format.
TEST(ControlApi, ShowsTheEvacuatedDomains)
{
    execution::ExecutionSummary summary;
    summary.evacuatedDomains = {FailureDomain("a\"\\\n"), FailureDomain("b")};
    summary.evacuationsReadAgo = 400ms;
    auto json = codec::Json::parse(encodeState(summary, EntryHostId("h")));
    EXPECT_EQ(json.at("evacuations").at("readMsAgo"), 400);
    EXPECT_EQ(json.at("evacuations").at("domains").size(), 2U);
    EXPECT_FALSE(json.at("evacuations").at("domains").at(1).contains("runs")) << "only the leader knows them";
    EXPECT_EQ(encodeMetrics(summary).find("evacuated_domain_runs"), std::string::npos);
    EXPECT_NE(encodeMetrics(summary).find("\nmonsoonspool_evacuated_domains 2\n"), std::string::npos);

    summary.fleet.evacuatedDomains = {{FailureDomain("a\"\\\n"), 3, 1, 2}, {FailureDomain("b"), 0, 0, 0}};
    json = codec::Json::parse(encodeState(summary, EntryHostId("h")));
    EXPECT_EQ(json.at("evacuations").at("domains").at(0).at("runs"), 2);
    EXPECT_EQ(json.at("evacuations").at("domains").at(0).at("workers"), 3);
    EXPECT_EQ(json.at("evacuations").at("domains").at(0).at("unheardWorkers"), 1);
    EXPECT_EQ(json.at("evacuations").at("domains").at(1).at("runs"), 0);
    const auto metrics = encodeMetrics(summary);
    EXPECT_NE(metrics.find("\nmonsoonspool_evacuated_domain_runs{domain=\"a\\\"\\\\\\n\"} 2\n"), std::string::npos);
    EXPECT_NE(metrics.find("\nmonsoonspool_evacuated_domain_runs{domain=\"b\"} 0\n"), std::string::npos);
    EXPECT_NE(metrics.find("\nmonsoonspool_evacuated_domain_unheard_workers{domain=\"b\"} 0\n"), std::string::npos);
}

TEST(ControlApi, StateHasAllSections)
{
    const auto json = codec::Json::parse(encodeState({}, EntryHostId("h")));
    for (const auto *it : {"host", "leadership", "configuration", "store", "evacuations", "load", "jobs", "tombstones",
                           "workers", "runs", "rackWaits", "connections"}) {
        EXPECT_TRUE(json.contains(it)) << it;
    }
}

TEST(ControlApi, TellsWhichBoundRefusesCancellations)
{
    execution::ExecutionSummary summary;
    summary.tombstones = {5, 7s, 11};
    summary.tombstoneRequests = {13, 17, 19};
    const auto metrics = encodeMetrics(summary);
    for (const auto *it : {"tombstones 5", "tombstone_oldest_age_seconds 7", "tombstones_removed_total 11",
                           "tombstones_written_total 13", "cancellations_refused_by_host_bound_total 17",
                           "cancellations_refused_by_total_bound_total 19"}) {
        EXPECT_NE(metrics.find("\nmonsoonspool_" + std::string(it) + "\n"), std::string::npos) << it;
    }
    const auto state = codec::Json::parse(encodeState(summary, EntryHostId("h"))).at("tombstones");
    EXPECT_EQ(state.at("stored"), 5);
    EXPECT_EQ(state.at("oldestAgeMs"), 7000);
    EXPECT_EQ(state.at("refusedByHostBound"), 17);
    EXPECT_EQ(state.at("refusedByTotalBound"), 19);
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
