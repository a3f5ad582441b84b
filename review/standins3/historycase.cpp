// A change of leader after jobs have been accepted and cancelled for a while. The platform kills a process that
// exceeds the memory of its machine, and starts it again.
#include "cases.h"
#include "memoryguard.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <atomic>
#include <random>
#include <thread>

namespace review {

namespace {

using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;

constexpr auto Recovery = 12s; // of kerbrat-spool

// Jobs of cut-stitch-plan have up to 5 steps of up to 32 tasks, and a spec of up to 4,000 bytes.
constexpr int Jobs = 12'000;
constexpr int MinJobs = 11'000;
constexpr int Steps = 4;
constexpr int Width = 24;
constexpr std::size_t SpecBytes = 2400;
constexpr int Clients = 24;
constexpr int CallTimeoutMs = 3000;
constexpr auto TimeToHandIn = 60s;
constexpr int ProbeJobs = 6;

std::string jobBody()
{
    auto list = nlohmann::json::array();
    for (int n = 0; n < Steps; ++n) {
        nlohmann::json step
            = {{"count", Width}, {"cpu", 3500}, {"memMb", 6400}, {"estimateMs", 1700}, {"checkpoints", true}};
        if (n > 0) {
            step["after"] = {n - 1};
        }
        list.push_back(step);
    }
    return nlohmann::json{{"spec", std::string(SpecBytes, 'x')}, {"steps", list}}.dump();
}

struct Counts
{
    std::atomic<int> accepted{0};
    std::atomic<int> cancelled{0};
    std::atomic<int> unanswered{0};
};

// Hands in jobs and cancels each as soon as it is accepted.
void handInAndCancel(Deployment &deployment, Counts &counts)
{
    const auto body = jobBody();
    const auto until = Clock::now() + TimeToHandIn;
    std::atomic<int> next{0};
    std::vector<std::thread> clients;
    for (int n = 0; n < Clients; ++n) {
        clients.emplace_back([&, n] {
            std::mt19937_64 random(static_cast<std::uint64_t>(n) + 1);
            auto &hosts = deployment.hosts();
            Connection connection(hosts[static_cast<std::size_t>(n) % hosts.size()]->front());
            const auto &route = deployment.routes()[1];
            const auto fields = "Host: " + route.host + "\r\nContent-Type: application/json\r\n";
            while (next++ < Jobs && Clock::now() < until) {
                const auto path = route.prefix + hexName(random());
                if (connection.call("POST", path, fields, body, CallTimeoutMs).status != 200) {
                    ++counts.unanswered;
                    continue;
                }
                ++counts.accepted;
                const int status = connection.call("DELETE", path, fields, {}, CallTimeoutMs).status;
                ++(status == 200 || status == 410 ? counts.cancelled : counts.unanswered);
            }
        });
    }
    for (auto &it : clients) {
        it.join();
    }
}

} // namespace

int runHistoryCase(Record &record)
{
    Deployment deployment({3, 16}, record, [](const std::string &) { return std::optional(600ms); });
    if (!deployment.start()) {
        return 2;
    }
    MemoryGuard guard(deployment, record);
    Counts counts;
    handInAndCancel(deployment, counts);
    record.note("handed-in",
                std::to_string(counts.accepted) + " accepted, " + std::to_string(counts.cancelled) + " cancelled, "
                    + std::to_string(counts.unanswered) + " calls without success");
    if (counts.cancelled < MinJobs) {
        return 2;
    }
    std::this_thread::sleep_for(2s);
    for (auto &it : deployment.hosts()) {
        record.note("memory", it->name() + " has " + std::to_string(it->memoryMb()) + " MB");
    }
    auto *leader = deployment.leader();
    if (leader == nullptr) {
        return 2;
    }
    if (hasTrouble()) {
        record.note("disruption", "the leader " + leader->name() + " is killed");
        guard.kill(*leader);
    }
    std::this_thread::sleep_for(Recovery);
    return probe(deployment, guard, record, ProbeJobs);
}

} // namespace review
