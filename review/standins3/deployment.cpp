#include "deployment.h"

#include <nlohmann/json.hpp>

#include <filesystem>
#include <stdexcept>

namespace review {

namespace {

using Json = nlohmann::json;
using namespace std::chrono_literals;

constexpr int ClientTimeoutMs = 3000;
constexpr auto StartTimeout = 20s;

const std::vector<std::pair<std::string, std::string>> Zones
    = {{"quimper-loft", "finistere"}, {"douarnenez-shed", "finistere"}, {"rennes-annex", "ille-vilaine"}};

Json route(const std::string &name, const Route &route, int targetMs, int priority, int attempts, double stretch)
{
    return {{"name", name},
            {"host", route.host},
            {"pathPrefix", route.prefix},
            {"kind", "unsafe"},
            {"timeoutMs", ClientTimeoutMs},
            {"targetLatencyMs", targetMs},
            {"priority", priority},
            {"service", "desk"},
            {"maxAttempts", attempts},
            {"stretch", stretch}};
}

} // namespace

Deployment::Deployment(const DeploymentOptions &options, Record &record, WorkTime workTime)
    : m_record(record),
      m_routes({{"proofs.example", "/proofs/"}, {"plans.example", "/plans/"}, {"watch.example", "/watch/"}})
{
    std::string pattern = std::filesystem::temp_directory_path() / "review-3-XXXXXX";
    if (mkdtemp(pattern.data()) == nullptr) {
        throw std::runtime_error("no temporary folder");
    }
    m_folder = pattern;
    const std::string ip = "127.0.0.1";
    const Address storeAddress{ip, freePort(ip)};
    m_store = std::make_unique<Store>(storeAddress, 800, 2000, 20);
    const Json config = {
        {"version", 7},
        {"routes",
         {route("proofs", m_routes[0], 400, 0, 4, 1.5), route("plans", m_routes[1], 1000, 2, 3, 2.0),
          route("watch", m_routes[2], 2500, 0, 2, 2.2)}},
        {"services",
         {{{"name", "desk"},
           {"healthPath", "/health"},
           {"maxConns", 64},
           {"protocol", "h1"},
           {"tls", false},
           {"admissionCheck", false},
           {"spare", false}}}},
        {"limits",
         {{"maxHeaderBytes", 16384}, {"maxBodyBytes", 262144}, {"headerTimeoutMs", 3000}, {"idleTimeoutMs", 15000}}}};
    m_store->put({"op", "", "config"}, config.dump());
    for (int n = 0; n < options.runners; ++n) {
        RunnerOptions runner;
        runner.id = "i-" + std::to_string(100 + n);
        runner.service = "desk";
        runner.zone = Zones[static_cast<std::size_t>(n) % Zones.size()].first;
        runner.rack = "r" + std::to_string(n / 8);
        m_runners.push_back(std::make_unique<Runner>(runner, Address{ip, freePort(ip)}, *m_store, m_record, workTime));
    }
    for (int n = 0; n < options.hosts; ++n) {
        const auto &[zone, region] = Zones[static_cast<std::size_t>(n) % Zones.size()];
        m_hosts.push_back(std::make_unique<Host>(
            HostOptions{"front-" + zone + "-" + std::to_string(n), region, zone, ip, storeAddress, m_folder}, record));
    }
}

Deployment::~Deployment()
{
    m_hosts.clear();
    m_runners.clear();
    m_store.reset();
    if (std::getenv("KEEP") == nullptr) {
        std::filesystem::remove_all(m_folder);
    }
}

bool Deployment::start()
{
    for (const auto &it : m_hosts) {
        it->start();
    }
    const auto until = std::chrono::steady_clock::now() + StartTimeout;
    while (std::chrono::steady_clock::now() < until) {
        bool areReady = leader() != nullptr;
        for (const auto &it : m_hosts) {
            areReady = areReady && it->isReady();
        }
        if (areReady) {
            m_record.note("ready", leader()->name() + " leads");
            return true;
        }
        std::this_thread::sleep_for(100ms);
    }
    return false;
}

Host *Deployment::leader()
{
    for (const auto &it : m_hosts) {
        if (it->isRunning() && it->isLeader()) {
            return it.get();
        }
    }
    return nullptr;
}

Answer Deployment::callHost(Host &host, const Route &route, const std::string &method, const std::string &id,
                            const std::string &body, int timeoutMs)
{
    const auto fields = "Host: " + route.host + "\r\nContent-Type: application/json\r\n";
    return call(host.front(), method, route.prefix + id, fields, body, timeoutMs);
}

Answer Deployment::submit(Host &host, const Route &route, const std::string &id, const std::string &body)
{
    auto answer = callHost(host, route, "POST", id, body, ClientTimeoutMs);
    m_record.note("submit", id + " at " + host.name() + ": " + std::to_string(answer.status));
    return answer;
}

Answer Deployment::status(Host &host, const Route &route, const std::string &id, int timeoutMs)
{
    return callHost(host, route, "GET", id, {}, timeoutMs);
}

Answer Deployment::cancel(Host &host, const Route &route, const std::string &id)
{
    auto answer = callHost(host, route, "DELETE", id, {}, ClientTimeoutMs);
    m_record.note("cancel", id + " at " + host.name() + ": " + std::to_string(answer.status) + " " + answer.body);
    return answer;
}

} // namespace review
