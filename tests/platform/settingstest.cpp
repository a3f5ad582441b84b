#include "settings.h"

#include <gtest/gtest.h>

#include <string>

namespace monsoonspool::platform {

namespace {

std::string settingsWith(const std::string &more)
{
    return R"({"name": "n", "region": "r", "failureDomain": "f", "clientAddress": "127.0.0.1:1",
      "readyAddress": "127.0.0.1:2", "controlAddress": "127.0.0.1:3", "storeAddress": "127.0.0.1:4",
      "processorShare": 1, "logLinesPerSecond": 100, "stopGraceSeconds": 5)"
        + more + "}";
}

} // namespace

// Files of earlier releases have no limits of connections.
TEST(PlatformSettings, LimitsOfConnectionsAreOptional)
{
    const auto decoded = decodeSettings(settingsWith(""));
    EXPECT_TRUE(decoded.errors.empty());
    EXPECT_EQ(decoded.settings.connections.clientConnections, 4000U);
    EXPECT_EQ(decoded.settings.connections.responseBytes, 32U * 1024 * 1024);
}

TEST(PlatformSettings, ReadsTheLimitsOfConnections)
{
    const auto decoded = decodeSettings(settingsWith(R"(, "maxClientConnections": 10, "clientBufferedBytes": 2000000,
      "maxControlConnections": 11, "controlBufferedBytes": 3000000, "maxFramingBytes": 5000,
      "headerTimeoutMs": 4000, "bodyTimeoutMs": 6000, "maxResponseBytes": 7000000,
      "responseBufferedBytes": 8000000)"));
    EXPECT_TRUE(decoded.errors.empty());
    const auto &connections = decoded.settings.connections;
    EXPECT_EQ(connections.clientConnections, 10U);
    EXPECT_EQ(connections.clientBufferedBytes, 2'000'000U);
    EXPECT_EQ(connections.controlConnections, 11U);
    EXPECT_EQ(connections.controlBufferedBytes, 3'000'000U);
    EXPECT_EQ(connections.framingBytes, 5'000U);
    EXPECT_EQ(connections.headerTimeout, std::chrono::milliseconds(4'000));
    EXPECT_EQ(connections.bodyTimeout, std::chrono::milliseconds(6'000));
    EXPECT_EQ(connections.responseBytes, 7'000'000U);
    EXPECT_EQ(connections.responseBufferedBytes, 8'000'000U);
}

// A limit below what conforming clients need would reject them.
TEST(PlatformSettings, RejectsLimitsThatConformingClientsWouldReach)
{
    for (const auto *it : {"\"maxClientConnections\": 0", "\"clientBufferedBytes\": 1000", "\"headerTimeoutMs\": 2999",
                           "\"bodyTimeoutMs\": 10", "\"maxFramingBytes\": -1", "\"maxResponseBytes\": \"many\""}) {
        EXPECT_EQ(decodeSettings(settingsWith(std::string(", ") + it)).errors.size(), 1U) << it;
    }
}

} // namespace monsoonspool::platform
