#include "cluster.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <arpa/inet.h>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <netinet/in.h>
#include <sstream>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace standin {

namespace {

using Json = nlohmann::json;

const std::vector<std::string> Zones = {"zone-a", "zone-b", "zone-c"};

int freePort()
{
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    bind(fd, reinterpret_cast<sockaddr *>(&address), size);
    getsockname(fd, reinterpret_cast<sockaddr *>(&address), &size);
    close(fd);
    return ntohs(address.sin_port);
}

std::string ownProgram()
{
    return std::filesystem::canonical("/proc/self/exe").string();
}

} // namespace

std::int64_t nowMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

void sleepMs(int ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

Cluster::Cluster(int runnerCount, int hostCount, std::string record) : m_record(std::move(record))
{
    auto folder = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    m_folder = mkdtemp(folder.data());
    m_storePort = freePort();
    m_store = spawn({ownProgram(), "store", std::to_string(m_storePort)}, {}, "store");
    sleepMs(300);
    Json route = {
        {"name", "desk"},          {"host", Host},  {"pathPrefix", "/desk/"}, {"kind", "unsafe"}, {"timeoutMs", 3000},
        {"targetLatencyMs", 1000}, {"priority", 0}, {"service", Service},     {"maxAttempts", 3}, {"stretch", 2.0}};
    const Json service = {{"name", Service}, {"healthPath", "/health"}, {"maxConns", 64}, {"protocol", "h1"},
                          {"tls", false},    {"admissionCheck", false}, {"spare", false}};
    const Json limits
        = {{"maxHeaderBytes", 16384}, {"maxBodyBytes", 262144}, {"headerTimeoutMs", 3000}, {"idleTimeoutMs", 15000}};
    write("op", "config",
          Json{{"version", 7}, {"routes", {route}}, {"services", {service}}, {"limits", limits}}.dump());
    for (int n = 0; n < runnerCount; ++n) {
        RunnerProcess runner;
        runner.options = {freePort(),
                          m_storePort,
                          "i-0-" + std::to_string(n),
                          Service,
                          Zones[static_cast<std::size_t>(n) % Zones.size()],
                          "r1-" + std::to_string(n / 8),
                          "a",
                          m_record};
        runners.push_back(runner);
        startRunner(runners.size() - 1);
    }
    for (int n = 0; n < hostCount; ++n) {
        EntryHost host;
        host.name = "front-" + std::to_string(n);
        host.clientPort = freePort();
        host.readyPort = freePort();
        host.controlPort = freePort();
        host.settings = m_folder + "/" + host.name + ".json";
        const auto address = [](int port) { return "127.0.0.1:" + std::to_string(port); };
        // The template deploy/settings.json, filled in.
        const Json settings = {{"name", host.name},
                               {"region", "region-a"},
                               {"failureDomain", Zones[static_cast<std::size_t>(n) % Zones.size()]},
                               {"clientAddress", address(host.clientPort)},
                               {"readyAddress", address(host.readyPort)},
                               {"controlAddress", address(host.controlPort)},
                               {"storeAddress", address(m_storePort)},
                               {"processorShare", 0.1},
                               {"logLinesPerSecond", 100},
                               {"stopGraceSeconds", 6}};
        std::ofstream(host.settings) << settings.dump();
        hosts.push_back(host);
    }
    for (auto &it : hosts) {
        startHost(it);
    }
}

Cluster::~Cluster()
{
    for (auto &it : hosts) {
        if (it.process > 0) {
            ::kill(it.process, SIGKILL);
            waitpid(it.process, nullptr, 0);
        }
    }
    for (auto &it : runners) {
        kill(it);
    }
    ::kill(m_store, SIGKILL);
    waitpid(m_store, nullptr, 0);
    std::error_code ignored;
    if (std::getenv("KEEP_LOGS") == nullptr) {
        std::filesystem::remove_all(m_folder, ignored);
    } else {
        std::cerr << "logs are in " << m_folder << "\n";
    }
}

pid_t Cluster::spawn(const std::vector<std::string> &command, const std::string &settings, const std::string &output)
{
    std::vector<char *> arguments;
    for (const auto &it : command) {
        arguments.push_back(const_cast<char *>(it.c_str()));
    }
    arguments.push_back(nullptr);
    const auto file = m_folder + "/" + output + ".log";
    const pid_t process = fork();
    if (process == 0) {
        const int fd = open(file.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        dup2(fd, STDOUT_FILENO);
        dup2(fd, STDERR_FILENO);
        if (!settings.empty()) {
            setenv("MONSOONSPOOL_BOOT", settings.c_str(), 1);
        }
        execv(arguments.front(), arguments.data());
        _exit(127);
    }
    return process;
}

void Cluster::startHost(EntryHost &host)
{
    // The command of deploy/system.toml.
    host.process = spawn({"target/monsoonspool-execution"}, host.settings, host.name);
}

bool Cluster::awaitReady(int timeoutMs)
{
    const auto end = nowMs() + timeoutMs;
    while (nowMs() < end) {
        const bool isReady = std::ranges::all_of(hosts, [](const EntryHost &it) {
            const auto answer = call(it.readyPort, "GET", "/ready", {}, {}, 500);
            return answer && answer->status == 200;
        });
        if (isReady && leader()) {
            return true;
        }
        sleepMs(100);
    }
    return false;
}

std::optional<std::size_t> Cluster::leader()
{
    for (std::size_t n = 0; n < hosts.size(); ++n) {
        const auto answer = call(hosts[n].controlPort, "GET", "/state", {}, {}, 500);
        const auto json = answer ? Json::parse(answer->body, nullptr, false) : Json();
        if (json.is_object() && json.at("leadership").at("isLoaded") == true) {
            return n;
        }
    }
    return std::nullopt;
}

void Cluster::kill(RunnerProcess &runner)
{
    if (runner.process > 0) {
        ::kill(runner.process, SIGKILL);
        waitpid(runner.process, nullptr, 0);
        runner.process = -1;
    }
}

void Cluster::startRunner(std::size_t n)
{
    const auto &o = runners[n].options;
    runners[n].process = spawn({ownProgram(), "runner", std::to_string(o.port), std::to_string(o.storePort), o.id,
                                o.service, o.zone, o.rack, o.kind, o.record},
                               {}, o.id);
}

void Cluster::restartHost(EntryHost &host, int graceMs)
{
    note("host " + host.name + " gets SIGTERM");
    ::kill(host.process, SIGTERM);
    const auto end = nowMs() + graceMs;
    while (waitpid(host.process, nullptr, WNOHANG) == 0) {
        if (nowMs() > end) {
            ::kill(host.process, SIGKILL);
        }
        sleepMs(20);
    }
    startHost(host);
    note("host " + host.name + " starts again");
}

void Cluster::writeForeignEntry(const std::string &id, const std::string &service)
{
    const Json entry = {{"service", service},
                        {"address", "127.0.0.1:" + std::to_string(freePort())},
                        {"zone", Zones.front()},
                        {"version", "v1"},
                        {"slots", 8},
                        {"state", "ready"},
                        {"coldRemainingMs", 0},
                        {"capacity", {{"cpu", 16000}, {"memMb", 32768}, {"gpu", 0}}},
                        {"labels", {"a", "r1-0"}},
                        {"born", 1'700'000'000'000}};
    write("servers", id, entry.dump());
    note("another writer writes servers/" + id + " for the service " + service);
}

void Cluster::write(const std::string &table, const std::string &key, const std::string &value)
{
    const Json row = {{"table", table}, {"key", key}, {"value", toBase64(value)}};
    call(m_storePort, "POST", "/stand-in/write", {}, row.dump(), 1000);
}

std::optional<Response> Cluster::submit(std::size_t n, const std::string &path, const std::string &body, int timeoutMs)
{
    const auto answer = call(hosts[n].clientPort, "POST", path, {{"Host", Host}, {"Content-Type", "application/json"}},
                             body, timeoutMs);
    note("client POST " + path + " at " + hosts[n].name + " answered "
         + (answer ? std::to_string(answer->status) : "nothing"));
    return answer;
}

std::optional<Response> Cluster::status(std::size_t n, const std::string &path)
{
    return call(hosts[n].clientPort, "GET", path, {{"Host", Host}}, {}, ClientTimeoutMs);
}

std::optional<Response> Cluster::cancel(std::size_t n, const std::string &path)
{
    const auto answer = call(hosts[n].clientPort, "DELETE", path, {{"Host", Host}}, {}, ClientTimeoutMs);
    note("client DELETE " + path + " at " + hosts[n].name + " answered "
         + (answer ? std::to_string(answer->status) : "nothing"));
    return answer;
}

void Cluster::freezeHost(const EntryHost &host) const
{
    note("host " + host.name + " freezes");
    ::kill(host.process, SIGSTOP);
}

void Cluster::thawHost(const EntryHost &host) const
{
    ::kill(host.process, SIGCONT);
    note("host " + host.name + " wakes");
}

// Returns the runners of the active tasks. What ran on a runner that was killed is not active.
std::map<std::string, std::string> Cluster::activeTasks() const
{
    std::map<std::string, std::string> active;
    std::ifstream file(m_record);
    std::string line;
    while (std::getline(file, line)) {
        std::istringstream words(line);
        std::string time;
        std::string kind;
        std::string id;
        std::string what;
        std::string task;
        words >> time >> kind >> id >> what >> task;
        if (kind == "runner" && what == "started") {
            active[task] = id;
        } else if (kind == "runner" && what == "ended") {
            active.erase(task);
        } else if (kind == "runner" && what == "crashes") {
            std::erase_if(active, [&](const auto &it) { return it.second == id; });
        }
    }
    return active;
}

std::size_t Cluster::activeRuns() const
{
    return activeTasks().size();
}

bool Cluster::isActive(const std::string &job) const
{
    return std::ranges::any_of(activeTasks(), [&](const auto &it) { return it.first.starts_with(job + "."); });
}

void Cluster::note(const std::string &line) const
{
    appendLine(m_record, line);
}

} // namespace standin
