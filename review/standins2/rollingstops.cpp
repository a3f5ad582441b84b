#include "deployment.h"

#include <csignal>
#include <cstdio>
#include <cstring>
#include <sys/wait.h>

// Hosts are stopped with SIGTERM and started again in turn, while clients hand in jobs and ask for their state.
namespace review {

namespace {

constexpr int RunnerCount = 6;
constexpr int Stops = 12;
constexpr int Askers = 4; // for each host
constexpr milliseconds TimeBeforeStops{3'000};
constexpr milliseconds TimeBetweenStops{500};
constexpr milliseconds TimeBetweenJobs{200};
constexpr milliseconds TimeBetweenQuestions{20};
constexpr milliseconds Grace{6'000}; // graceS
constexpr milliseconds CheckInterval{5};
constexpr milliseconds CalmTime{50'000}; // without stops

struct Load
{
    bool isOver = false;
    int accepted = 0;
    int answered = 0;
    std::vector<std::string> jobs;
};

asio::awaitable<void> handIn(Deployment &deployment, Load &load)
{
    for (int n = 0; !load.isOver; ++n) {
        char id[17];
        std::snprintf(id, sizeof(id), "%016llx",
                      0x6a10'0000'0000'0000ULL + static_cast<unsigned long long>(n) * 0x9e37);
        const auto status = co_await deployment.submit(
            id, R"({"spec":"ms=400","steps":[{"count":2,"cpu":4000,"memMb":2000,"estimateMs":400}]})");
        if (status == 200) {
            ++load.accepted;
            load.jobs.push_back(id);
        }
        co_await pause(TimeBetweenJobs);
    }
}

asio::awaitable<void> ask(Deployment &deployment, Load &load, std::size_t host)
{
    for (std::size_t n = 0; !load.isOver; ++n) {
        if (!load.jobs.empty()) {
            const auto state = co_await deployment.state(load.jobs[n % load.jobs.size()], host);
            load.answered += state == "0" ? 0 : 1;
        }
        co_await pause(TimeBetweenQuestions);
    }
}

// Returns a description of how the process ended, empty if it has ended in order.
std::string fault(std::optional<int> status)
{
    if (!status) {
        return "had not ended " + std::to_string(Grace.count()) + " ms after SIGTERM";
    }
    if (WIFSIGNALED(*status)) {
        return "was ended by signal " + std::to_string(WTERMSIG(*status)) + " (" + strsignal(WTERMSIG(*status)) + ")";
    }
    return WEXITSTATUS(*status) == 0 ? "" : "ended with exit status " + std::to_string(WEXITSTATUS(*status));
}

asio::awaitable<void> stopAndStart(Deployment &deployment, Host &host)
{
    auto &record = deployment.record();
    record.line("SIGTERM to " + host.name());
    host.signal(SIGTERM);
    const auto until = Clock::now() + Grace;
    auto status = host.poll();
    while (!status && Clock::now() < until) {
        co_await pause(CheckInterval);
        status = host.poll();
    }
    if (const auto text = fault(status); !text.empty()) {
        record.broken("a process crashes or hangs: " + host.name() + " " + text);
    } else {
        record.line(host.name() + " has ended with exit status 0");
    }
    if (!status) {
        host.signal(SIGKILL);
        host.wait();
    }
    host.start();
}

} // namespace

asio::awaitable<int> playRollingStops(Deployment &deployment)
{
    for (int n = 0; n < RunnerCount; ++n) {
        char id[16];
        std::snprintf(id, sizeof(id), "i-%04x", 0x5b20 + n);
        deployment.addRunner({id, "desk", "zone-" + std::to_string(n % 3 + 1), "a", "r0"});
    }
    if (!co_await deployment.start()) {
        co_return 2;
    }
    Load load;
    asio::co_spawn(deployment.io(), handIn(deployment, load), asio::detached);
    for (std::size_t host = 0; host < deployment.hosts().size(); ++host) {
        for (int n = 0; n < Askers; ++n) {
            asio::co_spawn(deployment.io(), ask(deployment, load, host), asio::detached);
        }
    }
    co_await pause(TimeBeforeStops);
    if (deployment.hasTrouble()) {
        for (int n = 0; n < Stops; ++n) {
            co_await stopAndStart(deployment,
                                  *deployment.hosts()[static_cast<std::size_t>(n) % deployment.hosts().size()]);
            co_await pause(TimeBetweenStops);
        }
    } else {
        const auto until = Clock::now() + CalmTime;
        while (Clock::now() < until) {
            for (const auto &it : deployment.hosts()) {
                if (const auto status = it->poll()) {
                    deployment.record().broken("a process crashes or hangs: " + it->name() + " " + fault(status));
                }
            }
            co_await pause(TimeBetweenStops);
        }
    }
    load.isOver = true;
    co_await pause(milliseconds(4000)); // longer than a call
    auto &record = deployment.record();
    record.line(std::to_string(load.accepted) + " jobs accepted, " + std::to_string(load.answered)
                + " questions answered, " + std::to_string(record.brokenCount()) + " ends out of order");
    if (load.accepted == 0 || load.answered == 0) {
        co_return 2;
    }
    co_return record.brokenCount() > 0 ? 1 : 0;
}

} // namespace review
