#include "soak/entryhost.h"

#include "codec/json.h"
#include "soak/soak.h"
#include "soak/temporaryfolder.h"

#include <gtest/gtest.h>

#include <fstream>
#include <set>

namespace monsoonspool::soak {

// Guards against two hosts that are told to listen on the same port: the second one ended at once.
TEST(EntryHost, NoAddressIsGivenTwice)
{
    constexpr int hosts = 200;
    const TemporaryFolder folder("entryhosttest");
    std::set<std::string> addresses;
    for (int n = 0; n < hosts; ++n) {
        const EntryHost host({"/bin/true", folder.path(), "host-" + std::to_string(n), "a", {"127.0.0.1", 1}});
        std::ifstream file(folder.path() + "/" + host.name() + ".json");
        const auto settings = codec::Json::parse(file);
        for (const auto *it : {"clientAddress", "readyAddress", "controlAddress"}) {
            EXPECT_TRUE(addresses.insert(settings.at(it).get<std::string>()).second) << settings.at(it);
        }
    }
    EXPECT_EQ(addresses.size(), std::size_t{3} * hosts);
}

// Guards against a soak that waits 30 s for a host which has ended, and does not tell how.
TEST(EntryHost, ASoakTellsHowAHostEndedBeforeItWasReady)
{
    const TemporaryFolder folder("entryhosttest-end");
    SoakOptions options;
    options.program = "/bin/false";
    options.folder = folder.path();
    SoakResult result;
    const auto problem = handleFailure(
        [&]() -> Result<std::string> {
            BOOST_LEAF_CHECK(playSoak(options, result));
            return std::string();
        },
        [](const Failure &failure) { return failure.detail; });
    EXPECT_TRUE(problem.find("ended before it was ready: exit status 1") != std::string::npos) << problem;
}

} // namespace monsoonspool::soak
