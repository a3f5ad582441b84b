#include "soak/soak.h"
#include "soak/soakreport.h"
#include "soak/testprogram.h"

#include <gtest/gtest.h>

#include <filesystem>
#include <unistd.h>

namespace monsoonspool::soak {

namespace {

// Plays `options` with real processes. Expects that every promise is kept.
void expectKept(SoakOptions options)
{
    const auto folder = std::filesystem::temp_directory_path()
        / ("monsoonspool-soaktest-" + std::to_string(getpid()) + "-" + std::to_string(options.seed));
    std::filesystem::create_directories(folder);
    options.folder = folder.string();
    options.program = testProgram();
    options.drainSeconds = 20;
    SoakResult result;
    const auto problem = handleFailure(
        [&]() -> Result<std::string> {
            BOOST_LEAF_CHECK(playSoak(options, result));
            return std::string();
        },
        [](const Failure &failure) { return failure.detail; });
    ASSERT_EQ(problem, "");
    EXPECT_GT(result.clients.submitted, 0);
    EXPECT_TRUE(result.verdict.isKept()) << formatReport(options, result) << "logs: " << options.folder;
    if (!::testing::Test::HasFailure()) {
        std::filesystem::remove_all(folder);
    }
}

} // namespace

// Guards against jobs that stand still, or are lost, on sound workers.
TEST(SystemSoakTest, KeepsPromisesWhileWorkersKeepConnections)
{
    SoakOptions options;
    options.seconds = 8;
    expectKept(options);
}

// Guards against jobs that stand still because orders are sent on connections that workers have
// ended, or again to a worker that does not answer (issue 49).
TEST(SystemSoakTest, KeepsPromisesWhileWorkersEndConnections)
{
    SoakOptions options;
    options.seconds = 15;
    options.connections = ConnectionKind::Mix;
    options.seed = 21; // one worker of each kind
    expectKept(options);
}

// Guards against hosts that crash at a planned stop, after they have answered all requests (review/9).
TEST(SystemSoakTest, HostsThatAreStoppedEndInOrder)
{
    SoakOptions options;
    options.seconds = 12;
    options.hostFaults = HostFaultSet::Stops;
    options.seed = 37; // stops each host once
    expectKept(options);
}

} // namespace monsoonspool::soak
