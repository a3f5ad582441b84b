#include "daemon/settingsjson.h"

#include <gtest/gtest.h>

#include <string>

namespace monsoonspool::daemon {

namespace {

std::string settingsWithLimits(const std::string &limits)
{
    const std::string address = R"({"ip": "127.0.0.1", "port": 0})";
    return R"({"name": "n", "region": "r", "failureDomain": "f", "guestAddress": )" + address
        + R"(, "operatorAddress": )" + address + R"(, "peerAddress": )" + address + R"(, "limits": {)" + limits + "}}";
}

} // namespace

TEST(DaemonSettings, ReadsTheLimitsOfConnections)
{
    const auto decoded = decodeSettings(settingsWithLimits(
        R"("framingBytes": 5000, "bufferedBytes": 2000000, "operatorConnections": 9, "operatorBufferedBytes": 3000000)"));
    EXPECT_TRUE(decoded.faults.empty());
    EXPECT_EQ(decoded.settings.limits.framingBytes, 5'000U);
    EXPECT_EQ(decoded.settings.limits.bufferedBytes, 2'000'000U);
    EXPECT_EQ(decoded.settings.operatorBudget.connections, 9U);
    EXPECT_EQ(decoded.settings.operatorBudget.bufferedBytes, 3'000'000U);
}

TEST(DaemonSettings, RejectsLimitsOutOfRange)
{
    for (const auto *it : {"\"framingBytes\": 10", "\"bufferedBytes\": 1000", "\"operatorConnections\": 0",
                           "\"operatorBufferedBytes\": \"many\""}) {
        EXPECT_EQ(decodeSettings(settingsWithLimits(it)).faults.size(), 1U) << it;
    }
}

} // namespace monsoonspool::daemon
