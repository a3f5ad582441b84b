#include "bench/localsystem.h"

#include "codec/documentjson.h"
#include "codec/typejson.h"
#include "http/apiclient.h"
#include "http/listen.h"

#include <algorithm>
#include <chrono>
#include <fstream>
#include <thread>
#include <unistd.h>

namespace monsoonspool::bench {

using codec::Json;

namespace {

constexpr std::chrono::milliseconds PollInterval{50};
constexpr int MaxPolls = 400;

Result<Json> callJson(const ports::Address &address, const http::ApiCall &call)
{
    BOOST_LEAF_AUTO(answer, http::callAndWait(address, call));
    return codec::parseLargeJson(answer.body);
}

} // namespace

LocalSystem::LocalSystem(LocalOptions options) : m_options(std::move(options))
{
    auto pattern = (std::filesystem::temp_directory_path() / "monsoonspool-XXXXXX").string();
    m_settingsFolder = mkdtemp(pattern.data());
}

LocalSystem::~LocalSystem()
{
    m_daemons.clear();
    m_platform.reset();
    std::error_code ignored;
    std::filesystem::remove_all(m_settingsFolder, ignored);
}

Result<std::unique_ptr<LocalSystem>> LocalSystem::start(const LocalOptions &options)
{
    std::unique_ptr<LocalSystem> system(new LocalSystem(options));
    BOOST_LEAF_CHECK(system->startPlatform());
    int number = 0;
    for (const auto &region : options.regions) {
        for (int n = 0; n < region.daemons; ++n) {
            BOOST_LEAF_AUTO(daemon, system->startDaemon("entry-" + std::to_string(++number), region.name));
            system->m_daemons.push_back(std::move(daemon));
            system->m_daemonRegions.push_back(region.name);
        }
    }
    BOOST_LEAF_CHECK(system->publishHosts({}));
    BOOST_LEAF_CHECK(system->applyDocuments());
    BOOST_LEAF_CHECK(system->awaitSlots());
    return system;
}

Result<void> LocalSystem::startPlatform()
{
    int targets = 0;
    for (const auto &it : m_options.regions) {
        for (int n = 0; n < it.targets; ++n) {
            m_targetRegions.push_back(it.name);
            ++targets;
        }
    }
    BOOST_LEAF_AUTO(
        process,
        ChildProcess::start({m_options.programFolder + "/monsoonspool-platform", "--targets", std::to_string(targets),
                             "--service-ms", std::to_string(m_options.serviceMs)}));
    m_platform = std::make_unique<ChildProcess>(std::move(process));
    BOOST_LEAF_AUTO(json, codec::parseJson(m_platform->readLine()));
    m_platformAddress = json.at("platform").get<ports::Address>();
    m_targets = json.at("targets").get<std::vector<ports::Address>>();
    return {};
}

Result<LocalDaemon> LocalSystem::startDaemon(const std::string &name, const std::string &region)
{
    const ports::Address anyPort{"127.0.0.1", 0};
    Json settings{{"name", name},
                  {"region", region},
                  {"failureDomain", region + "-a"},
                  {"guestAddress", anyPort},
                  {"operatorAddress", anyPort},
                  {"peerAddress", anyPort},
                  {"platformAddress", m_platformAddress},
                  {"startWindowMs", m_options.startWindowMs},
                  {"log", {{"level", "warning"}}}};
    if (!m_options.keyFile.empty()) {
        settings["keyFile"] = m_options.keyFile;
    }
    const auto path = m_settingsFolder / (name + ".json");
    std::ofstream(path) << codec::writeJson(settings);
    BOOST_LEAF_AUTO(process,
                    ChildProcess::start({m_options.programFolder + "/monsoonspoold", "--settings", path.string(),
                                         "--print-addresses"}));
    BOOST_LEAF_AUTO(json, codec::parseJson(process.readLine()));
    return LocalDaemon{std::move(process), name, json.at("guests").get<ports::Address>(),
                       json.at("operators").get<ports::Address>(), json.at("peers").get<ports::Address>()};
}

Result<void> LocalSystem::publishHosts(const std::vector<std::size_t> &leavingTargets)
{
    ports::HostListing listing;
    for (std::size_t n = 0; n < m_daemons.size(); ++n) {
        listing.entryHosts.push_back({EntryHostId(m_daemons[n].name), m_daemons[n].peers,
                                      RegionName(m_daemonRegions[n]), ports::HostState::Live});
    }
    for (const auto &text : m_options.documents) {
        const auto pool = codec::decodeDocument(text).document.pool;
        for (std::size_t n = 0; n < m_targets.size(); ++n) {
            const bool isLeaving = std::ranges::find(leavingTargets, n) != leavingTargets.end();
            listing.targets.push_back({TargetId("target-" + std::to_string(n + 1)), pool,
                                       m_options.targetAddress.value_or(m_targets[n]), RegionName(m_targetRegions[n]),
                                       FailureDomain(m_targetRegions[n] + "-a"),
                                       isLeaving ? ports::HostState::Leaving : ports::HostState::Live});
        }
    }
    for (int n = 0; n < m_options.workers; ++n) {
        listing.workers.push_back({WorkerId("worker-" + std::to_string(n + 1)),
                                   FailureDomain(m_options.regions.front().name + "-a"),
                                   "rack-" + std::to_string(n / 8),
                                   {30'000, 125 * 1024, 0},
                                   {"127.0.0.1", 1},
                                   ports::HostState::Live});
    }
    http::ApiCall call{"PUT", "/hosts", codec::writeJson(listing), {}, std::chrono::milliseconds(5000)};
    BOOST_LEAF_CHECK(callJson(m_platformAddress, call));
    return {};
}

Result<void> LocalSystem::applyDocuments()
{
    for (const auto &text : m_options.documents) {
        const auto service = codec::decodeDocument(text).document.service;
        http::ApiCall call{
            "PUT", "/documents/" + service.text() + "?base=0", text, {}, std::chrono::milliseconds(5000)};
        BOOST_LEAF_AUTO(reply, callJson(m_daemons.front().operators, call));
        if (reply.contains("error")) {
            return fail(errorKindFromName(reply.value("error", std::string())), codec::writeJson(reply));
        }
    }
    return {};
}

// Returns the state dumps of all daemons, for the diagnosis of a failure.
std::string LocalSystem::describeDaemonStates() const
{
    std::string text;
    for (const auto &daemon : m_daemons) {
        text += "\n" + daemon.name + ": "
            + handleFailure(
                    [&]() -> Result<std::string> {
                        BOOST_LEAF_AUTO(
                            json,
                            callJson(daemon.operators, {"GET", "/state", {}, {}, std::chrono::milliseconds(5000)}));
                        return codec::writeJson(json);
                    },
                    [](const Failure &failure) { return failure.detail; });
    }
    return text;
}

// Waits until every daemon holds slots of every pool at targets in its region.
Result<void> LocalSystem::awaitSlots()
{
    for (const auto &daemon : m_daemons) {
        bool hasSlots = false;
        for (int n = 0; n < MaxPolls && !hasSlots; ++n) {
            BOOST_LEAF_AUTO(
                json,
                callJson(daemon.operators, {"GET", "/state?section=traffic", {}, {}, std::chrono::milliseconds(5000)}));
            std::size_t poolsWithSlots = 0;
            for (const auto &pool : json.at("traffic").at(0).at("pools")) {
                for (const auto &ledger : pool.at("near").at("ledgers")) {
                    poolsWithSlots += ledger.at("held").get<int>() > 0 ? 1 : 0;
                }
            }
            hasSlots = poolsWithSlots >= m_options.documents.size();
            if (!hasSlots) {
                std::this_thread::sleep_for(PollInterval);
            }
        }
        if (!hasSlots) {
            return fail(ErrorKind::Internal, daemon.name + " got no slots: " + describeDaemonStates());
        }
    }
    return {};
}

Result<void> LocalSystem::restart(std::size_t n)
{
    BOOST_LEAF_AUTO(daemon, startDaemon(m_daemons[n].name, m_daemonRegions[n]));
    m_daemons[n] = std::move(daemon);
    return publishHosts({});
}

Result<Json> LocalSystem::targetCounts(std::size_t n) const
{
    return callJson(m_targets[n], {"GET", "/sample/counts", {}, {}, std::chrono::milliseconds(5000)});
}

} // namespace monsoonspool::bench
