#include "cli/command.h"

#include "codec/json.h"

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>

namespace monsoonspool::cli {

namespace {

constexpr std::string_view Sound = R"({"version":7,"routes":[{"name":"r-1","host":"nony24.example",
    "pathPrefix":"/pule252/","kind":"unsafe","timeoutMs":3000,"targetLatencyMs":2500,"priority":0,"service":"svc-a",
    "maxAttempts":2,"stretch":2.2,"allowedRegions":[]}],
    "services":[{"name":"svc-a","healthPath":"/health","maxConns":64,"protocol":"h1","tls":false,"coldStartS":0.0,
    "coldPerS":0.0,"admissionCheck":false,"spare":false}],
    "limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}})";

struct Outcome
{
    int status = -1;
    std::string output;
    ErrorKind kind = ErrorKind::Internal; // of a command that failed
};

class ConfigCommand : public testing::Test
{
protected:
    ConfigCommand() : m_folder(std::filesystem::temp_directory_path() / ("configcheck-" + uniqueName()))
    {
        std::filesystem::create_directories(m_folder);
    }
    ~ConfigCommand() override
    {
        std::error_code ec;
        std::filesystem::remove_all(m_folder, ec);
    }

    std::string write(const std::string &name, std::string_view text) const
    {
        const auto path = (m_folder / name).string();
        std::ofstream(path) << text;
        return path;
    }

    static Outcome run(const std::vector<std::string> &arguments)
    {
        Outcome outcome;
        testing::internal::CaptureStdout();
        outcome.status = handleFailure([&] { return configCommands().front()->run(arguments); },
                                       [&](const Failure &failure) {
                                           outcome.kind = failure.kind;
                                           return errorInfo(failure.kind).exitStatus;
                                       });
        outcome.output = testing::internal::GetCapturedStdout();
        return outcome;
    }

private:
    static std::string uniqueName()
    {
        // ctest runs each test in a process of its own.
        return std::string(testing::UnitTest::GetInstance()->current_test_info()->name()) + "-"
            + std::to_string(std::filesystem::hash_value(std::filesystem::current_path()));
    }

    std::filesystem::path m_folder;
};

std::string replaced(std::string text, std::string_view before, std::string_view after)
{
    const auto position = text.find(before);
    EXPECT_NE(position, std::string::npos) << before;
    return text.replace(position, before.size(), after);
}

} // namespace

// Scripts that send configurations rely on the exit status.
TEST_F(ConfigCommand, HasAnExitStatusForEachOutcome)
{
    const auto sound = write("sound.json", Sound);
    const auto odd = write("odd.json", replaced(std::string(Sound), "\"stretch\":2.2", "\"stretch\":0"));
    const auto wrong = write("wrong.json", replaced(std::string(Sound), "\"service\":\"svc-a\"", "\"service\":\"x\""));
    const auto next = write("next.json", replaced(std::string(Sound), "\"version\":7", "\"version\":8"));
    EXPECT_EQ(configCommands().front()->name(), "config check");

    EXPECT_EQ(run({sound}).status, 0);
    EXPECT_EQ(run({sound}).output, sound + ": 0 errors, 0 warnings\n");
    EXPECT_EQ(run({odd}).status, ConfigHasWarnings);
    EXPECT_EQ(
        run({odd}).output,
        "warning stretch-zero routes[0].stretch: The stretch is 0, so that the objective leaves no time for the run "
        "time of a job.\n"
            + odd + ": 0 errors, 1 warning\n");
    EXPECT_EQ(run({wrong}).status, ConfigHasErrors);
    EXPECT_EQ(run({sound, "--against", sound}).status, ConfigHasErrors) << "the version in force";
    EXPECT_EQ(run({next, "--against", sound}).status, 0) << "differences are no findings";
    EXPECT_EQ(run({next, "--against", sound}).output,
              "change version: 7 -> 8\n" + next + ": 0 errors, 0 warnings, 1 change\n");

    const auto json = codec::Json::parse(run({wrong, "--json"}).output);
    EXPECT_EQ(run({wrong, "--json"}).status, ConfigHasErrors);
    EXPECT_EQ(json.at("errors"), 1);
    EXPECT_EQ(json.at("findings").at(0).at("place"), "routes[0].service");
    EXPECT_EQ(codec::Json::parse(run({next, "--against", sound, "--json"}).output).at("changes").size(), 1U);

    const int usage = errorInfo(ErrorKind::InvalidArguments).exitStatus;
    EXPECT_EQ(run({}).status, usage);
    EXPECT_EQ(run({}).kind, ErrorKind::InvalidArguments);
    EXPECT_EQ(run({sound, "--unknown"}).status, usage);
    EXPECT_EQ(run({sound + ".missing"}).status, usage);
    EXPECT_EQ(run({sound, "--against", sound + ".missing"}).status, usage);
}

// A status that an error kind also has would not tell a bad configuration from a failure of the tool.
TEST(ConfigCommandStatus, IsThatOfNoErrorKind)
{
    for (const auto &it : errorTable()) {
        EXPECT_NE(it.exitStatus, ConfigHasWarnings) << it.name;
        EXPECT_NE(it.exitStatus, ConfigHasErrors) << it.name;
    }
}

} // namespace monsoonspool::cli
