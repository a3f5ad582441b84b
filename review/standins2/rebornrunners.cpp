#include "deployment.h"

#include <cstdio>

// Some runners are partitioned from the store and not from the hosts, crash behind the cut and start again
// under their id, as another kind.
namespace review {

namespace {

constexpr int RunnerCount = 20;
constexpr int CutRunners = 4; // a fifth of them
constexpr milliseconds TrafficTime{14'000};
constexpr milliseconds TimeBetweenJobs{150};
constexpr milliseconds TimeToCut{4'000};
constexpr milliseconds CutTime{5'000};
constexpr milliseconds TimeToCrash{500}; // from the cut
constexpr milliseconds TimeToRestart{800};
constexpr milliseconds SettleTime{4'000};
const std::string RequiredKind = "a";

asio::awaitable<void> cutAndCrash(Deployment &deployment)
{
    auto &runners = deployment.runners();
    co_await pause(TimeToCut);
    for (int n = 0; n < CutRunners; ++n) {
        deployment.record().line("runner " + runners[static_cast<std::size_t>(n)]->options().id
                                 + " is cut off from the store");
        runners[static_cast<std::size_t>(n)]->cutFromStore(true);
    }
    co_await pause(TimeToCrash);
    for (int n = 0; n < CutRunners; ++n) {
        runners[static_cast<std::size_t>(n)]->crash();
    }
    co_await pause(TimeToRestart);
    for (int n = 0; n < CutRunners; ++n) {
        runners[static_cast<std::size_t>(n)]->setKind("b");
        runners[static_cast<std::size_t>(n)]->start();
    }
    co_await pause(CutTime - TimeToCrash - TimeToRestart);
    for (int n = 0; n < CutRunners; ++n) {
        runners[static_cast<std::size_t>(n)]->cutFromStore(false);
    }
    deployment.record().line("the cut has healed");
}

} // namespace

asio::awaitable<int> playRebornRunners(Deployment &deployment)
{
    for (int n = 0; n < RunnerCount; ++n) {
        char id[16];
        std::snprintf(id, sizeof(id), "i-%04x", 0x4a10 + n);
        deployment.addRunner({id, "desk", "zone-" + std::to_string(n % 3 + 1), n < RunnerCount / 2 ? "a" : "b",
                              "r" + std::to_string(n / 8)});
    }
    if (!co_await deployment.start()) {
        co_return 2;
    }
    if (deployment.hasTrouble()) {
        asio::co_spawn(deployment.io(), cutAndCrash(deployment), asio::detached);
    }
    auto &record = deployment.record();
    const auto until = Clock::now() + TrafficTime;
    int accepted = 0;
    for (int n = 0; Clock::now() < until; ++n) {
        char id[17];
        std::snprintf(id, sizeof(id), "%016llx",
                      0x51c0'0000'0000'0000ULL + static_cast<unsigned long long>(n) * 0x9e37);
        const auto status = co_await deployment.submit(
            id,
            R"({"spec":"ms=1500","steps":[{"count":3,"cpu":8000,"memMb":4000,"estimateMs":1500,"requires":")"
                + RequiredKind + R"("}]})");
        accepted += status == 200 ? 1 : 0;
        co_await pause(TimeBetweenJobs);
    }
    co_await pause(SettleTime);
    for (const auto &it : deployment.starts()) {
        if (it.kind != RequiredKind) {
            record.broken("ROUTE: " + it.task + " requires label " + RequiredKind + " and started on " + it.runner
                          + " with label " + it.kind + " at " + std::to_string(it.at) + " s");
        }
    }
    record.line(std::to_string(accepted) + " jobs accepted, " + std::to_string(deployment.starts().size()) + " starts, "
                + std::to_string(record.brokenCount()) + " on a runner without the label");
    if (accepted == 0 || deployment.starts().empty()) {
        co_return 2;
    }
    co_return record.brokenCount() > 0 ? 1 : 0;
}

} // namespace review
