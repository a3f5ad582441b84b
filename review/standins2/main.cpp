#include "deployment.h"

#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <iostream>
#include <unistd.h>

using namespace review;

namespace {

struct Case
{
    const char *name;
    asio::awaitable<int> (*play)(Deployment &);
};

constexpr Case cases[] = {
    {"reborn-runners", playRebornRunners},
    {"rolling-stops", playRollingStops},
};

constexpr milliseconds MaxTime{110'000};

int play(const Case &it, const CaseOptions &options)
{
    Deployment deployment(options);
    int status = 2;
    const auto run = [&]() -> asio::awaitable<void> {
        try {
            status = co_await it.play(deployment);
        } catch (const std::exception &e) {
            deployment.record().line(std::string("the case could not run: ") + e.what());
        }
        deployment.io().stop();
    };
    asio::co_spawn(deployment.io(), run(), asio::detached);
    deployment.io().run_for(MaxTime);
    deployment.hosts().clear();
    return status;
}

} // namespace

// Usage: review-case NAME PROGRAM RECORD. TROUBLE=0 plays the case without its disruption.
int main(int argc, char **argv)
{
    if (argc != 4) {
        std::cerr << "usage: review-case NAME PROGRAM RECORD\n";
        return 2;
    }
    const auto folder = std::filesystem::temp_directory_path() / ("review-case-" + std::to_string(getpid()));
    std::filesystem::create_directories(folder);
    const char *trouble = std::getenv("TROUBLE");
    const bool hasTrouble = trouble == nullptr || std::strcmp(trouble, "0") != 0;
    int status = 2;
    for (const auto &it : cases) {
        if (std::strcmp(it.name, argv[1]) == 0) {
            status = play(it, {argv[2], folder.string(), argv[3], hasTrouble});
        }
    }
    if (std::getenv("KEEP_LOGS") == nullptr) {
        std::filesystem::remove_all(folder);
    } else {
        std::cout << "logs: " << folder.string() << "\n";
    }
    return status;
}
