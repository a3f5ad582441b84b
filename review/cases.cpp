#include "cases.h"

#include "cluster.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <thread>
#include <unistd.h>

namespace standin {

namespace {

using Json = nlohmann::json;

constexpr int Held = 0;
constexpr int Broken = 1;
constexpr int CannotRun = 2;

bool hasTrouble()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

std::string stateOf(const std::optional<Response> &answer)
{
    if (!answer) {
        return "no answer";
    }
    if (answer->status != 200) {
        return std::to_string(answer->status);
    }
    const auto json = Json::parse(answer->body, nullptr, false);
    return json.is_object() ? json.value("state", "unreadable") : "unreadable";
}

// One job of many tasks is handed in, and then small jobs of other clients, of two steps each. The
// progress of the large job does not fit into a row of the store.
int largeJob(const std::string &record)
{
    constexpr std::size_t Runners = 8;
    constexpr int SmallJobs = 10;
    constexpr int Steps = 14;
    constexpr int TasksPerStep = 5000;
    constexpr int BeforeSmallJobsMs = 15'000;
    constexpr int BetweenJobsMs = 500;
    constexpr int FinishMs = 14'000;
    constexpr int IdleMs = 3000;
    constexpr std::size_t CoresPerRunner = 16;
    Cluster cluster(Runners, 3, record);
    if (!cluster.awaitReady(15'000)) {
        return CannotRun;
    }
    sleepMs(2000);
    if (hasTrouble()) {
        Json steps = Json::array();
        for (int n = 0; n < Steps; ++n) {
            steps.push_back({{"count", TasksPerStep}, {"cpu", 1000}, {"memMb", 256}, {"estimateMs", 50}});
        }
        const auto answer
            = cluster.submit(0, "/desk/00000000000000a1", Json{{"spec", "ms=50"}, {"steps", steps}}.dump());
        if (!answer || answer->status != 200) {
            return CannotRun;
        }
    }
    sleepMs(BeforeSmallJobsMs);
    const Json step = {{"count", 1}, {"cpu", 1000}, {"memMb", 256}, {"estimateMs", 300}};
    auto second = step;
    second["after"] = {0};
    const auto body = Json{{"spec", "ms=300"}, {"steps", {step, second}}}.dump();
    std::vector<std::string> names;
    for (int n = 0; n < SmallJobs; ++n) {
        const auto name = "00000000000010" + std::to_string(10 + n);
        const auto answer = cluster.submit(static_cast<std::size_t>(n) % cluster.hosts.size(), "/desk/" + name, body);
        if (answer && answer->status == 200) {
            names.push_back(name);
        }
        sleepMs(BetweenJobsMs);
    }
    // finish_s after the end of the traffic, the rule looks at each job for 3 s.
    sleepMs(FinishMs);
    std::vector<std::string> idle;
    std::size_t completed = 0;
    for (const auto &it : names) {
        const auto state = stateOf(cluster.status(0, "/desk/" + it));
        cluster.note("client GET " + it + ": " + state);
        completed += state == "completed" ? 1 : 0;
        if (state == "queued" || state == "running") {
            idle.push_back(it);
        }
    }
    std::size_t mostRuns = 0;
    const auto end = nowMs() + IdleMs;
    while (nowMs() < end) {
        std::erase_if(idle, [&](const std::string &it) { return cluster.isActive(it); });
        mostRuns = std::max(mostRuns, cluster.activeRuns());
        sleepMs(200);
    }
    cluster.note("accepted " + std::to_string(names.size()) + ", shown as completed " + std::to_string(completed)
                 + ", with nothing running for 3 s " + std::to_string(idle.size()) + ", runs on all runners at most "
                 + std::to_string(mostRuns));
    if (!idle.empty() && mostRuns < Runners * CoresPerRunner / 2) {
        return Broken;
    }
    return completed == names.size() ? Held : CannotRun;
}

// A client hands a job in at a host that is frozen, leaves before its deadline, and cancels the job
// at another host, which acknowledges that.
int cancelledBeforeStored(const std::string &record)
{
    constexpr int FreezeMs = 1500;
    constexpr int LeaveMs = 900;
    // contactMs after the freeze and then cancel_ms + stopGraceMs, with a reserve.
    constexpr int CalmMs = 4000 + 3000 + 900 + 3000;
    const std::string path = "/desk/00000000000000c3";
    Cluster cluster(4, 3, record);
    if (!cluster.awaitReady(15'000)) {
        return CannotRun;
    }
    sleepMs(2000);
    const auto leader = cluster.leader();
    if (!leader) {
        return CannotRun;
    }
    // Two hosts that don't lead.
    const auto first = (*leader + 1) % cluster.hosts.size();
    const auto second = (*leader + 2) % cluster.hosts.size();
    const Json step = {{"count", 1}, {"cpu", 1000}, {"memMb", 256}, {"estimateMs", 60000}};
    const auto frozenAt = nowMs();
    if (hasTrouble()) {
        cluster.freezeHost(cluster.hosts[first]);
    }
    cluster.submit(first, path, Json{{"spec", "ms=60000"}, {"steps", {step}}}.dump(), LeaveMs);
    const auto answer = cluster.cancel(second, path);
    sleepMs(static_cast<int>(std::max<std::int64_t>(frozenAt + FreezeMs - nowMs(), 0)));
    if (hasTrouble()) {
        cluster.thawHost(cluster.hosts[first]);
    }
    const bool isAcknowledged = answer && (answer->status / 100 == 2 || answer->status == 410);
    if (!isAcknowledged) {
        return CannotRun;
    }
    sleepMs(CalmMs);
    const bool runs = cluster.isActive("00000000000000c3");
    cluster.note(std::string("the cancelled job ") + (runs ? "has" : "has no") + " task at work, and is shown as "
                 + stateOf(cluster.status(second, path)));
    return runs ? Broken : Held;
}

// The registry has an entry of another writer, for a service that the configuration does not name.
// After the end of the traffic, the entry hosts are restarted in turn, first that which leads.
int foreignEntry(const std::string &record)
{
    constexpr int GraceMs = 6000;
    constexpr int FirstStepMs = 3000;
    constexpr int FirstRestartMs = 2000; // after the end of the traffic
    constexpr int BetweenRestartsMs = 6500;
    constexpr int FinishMs = 14'000;
    constexpr int IdleMs = 3000;
    constexpr int EndTimeoutMs = 40'000;
    constexpr std::size_t Runners = 8;
    constexpr std::size_t CoresPerRunner = 16;
    const std::string job = "00000000000000e5";
    Cluster cluster(Runners, 3, record);
    if (!cluster.awaitReady(15'000)) {
        return CannotRun;
    }
    if (hasTrouble()) {
        cluster.writeForeignEntry("i-foreign", "service-of-others");
    }
    sleepMs(3000);
    const Json first = {{"count", 1}, {"cpu", 1000}, {"memMb", 256}, {"estimateMs", FirstStepMs}};
    auto second = first;
    second["after"] = {0};
    const auto body = Json{{"spec", "ms=" + std::to_string(FirstStepMs)}, {"steps", {first, second}}}.dump();
    const auto answer = cluster.submit(0, "/desk/" + job, body);
    if (!answer || answer->status != 200) {
        return CannotRun;
    }
    const auto trafficEnd = nowMs();
    std::thread restarts([&] {
        for (int n = 0; n < 3; ++n) {
            sleepMs(static_cast<int>(
                std::max<std::int64_t>(trafficEnd + FirstRestartMs + n * BetweenRestartsMs - nowMs(), 0)));
            if (const auto leader = cluster.leader()) {
                cluster.restartHost(cluster.hosts[*leader], GraceMs);
            }
        }
    });
    sleepMs(static_cast<int>(trafficEnd + FinishMs - nowMs()));
    bool isIdle = stateOf(cluster.status(0, "/desk/" + job)) != "completed";
    std::size_t mostRuns = 0;
    const auto idleEnd = nowMs() + IdleMs;
    while (nowMs() < idleEnd) {
        isIdle = isIdle && !cluster.isActive(job);
        mostRuns = std::max(mostRuns, cluster.activeRuns());
        sleepMs(200);
    }
    cluster.note(std::string("finish_s after the traffic, the job ")
                 + (isIdle ? "has had nothing running for 3 s" : "runs or is over") + "; runs on all runners at most "
                 + std::to_string(mostRuns));
    restarts.join();
    std::string state;
    const auto end = nowMs() + EndTimeoutMs;
    while (nowMs() < end && state != "completed") {
        sleepMs(500);
        state = stateOf(cluster.status(0, "/desk/" + job));
    }
    cluster.note("client GET " + job + ": " + state + ", " + std::to_string(nowMs() - trafficEnd)
                 + " ms after the end of the traffic");
    if (isIdle && mostRuns < Runners * CoresPerRunner / 2) {
        return Broken;
    }
    return state == "completed" ? Held : CannotRun;
}

} // namespace

int runCase(const std::string &name, const std::string &record)
{
    // A case that is ended early ends what it has started.
    setpgid(0, 0);
    std::signal(SIGTERM, [](int) { kill(0, SIGKILL); });
    if (name == "large-job") {
        return largeJob(record);
    }
    if (name == "cancelled-before-stored") {
        return cancelledBeforeStored(record);
    }
    if (name == "foreign-entry") {
        return foreignEntry(record);
    }
    std::cerr << "no such case: " << name << "\n";
    return CannotRun;
}

} // namespace standin
