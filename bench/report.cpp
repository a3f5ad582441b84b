#include "bench/report.h"

#include "bench/baselines.h"

#include <array>

namespace monsoonspool::bench {

using codec::Json;

namespace {

constexpr std::size_t MaxViolationsShown = 10;
constexpr std::array<std::string_view, 3> BaselineNames{"fixed-split", "least-outstanding", "ideal"};

double milliseconds(Duration d)
{
    return static_cast<double>(d.count()) / 1000.0;
}

double ratio(std::uint64_t n, std::uint64_t all)
{
    return all == 0 ? 0 : static_cast<double>(n) / static_cast<double>(all);
}

Json flowJson(const FlowLoad &load, const FlowStats &stats)
{
    Json refused = Json::object();
    for (const auto &[kind, n] : stats.refused) {
        refused[std::string(errorInfo(kind).name)] = n;
    }
    return {{"service", load.service},
            {"urgency", load.urgency},
            {"arrived", stats.arrived},
            {"answered", stats.answered},
            {"inDeadlinePart", ratio(stats.inDeadline, stats.arrived)},
            {"refused", std::move(refused)},
            {"p50Ms", milliseconds(stats.latency.quantile(0.5))},
            {"p99Ms", milliseconds(stats.latency.quantile(0.99))},
            {"p999Ms", milliseconds(stats.latency.quantile(0.999))}};
}

Json phasesJson(const Simulation &simulation)
{
    Json phases = Json::object();
    for (const auto &[name, flows] : simulation.flowStats()) {
        Json rows = Json::array();
        for (std::size_t n = 0; n < flows.size(); ++n) {
            rows.push_back(flowJson(simulation.scenario().flows[n], flows[n]));
        }
        const auto &attempts = simulation.attemptStats().at(name);
        phases[name] = {{"flows", std::move(rows)},
                        {"sentPerFresh", ratio(attempts.attempts, attempts.requests)},
                        {"farAttempts", attempts.farAttempts}};
    }
    return phases;
}

Json violationsJson(std::span<const InvariantViolation> violations)
{
    Json rows = Json::array();
    for (const auto &it : violations.first(std::min(violations.size(), MaxViolationsShown))) {
        rows.push_back({{"invariant", it.invariant}, {"detail", it.detail}});
    }
    return rows;
}

} // namespace

RunResult runScenario(const Scenario &scenario, std::uint64_t seed, bool withBaselines)
{
    RunResult result;
    {
        Simulation simulation(scenario, seed);
        SimulatedCluster *cluster = nullptr;
        simulation.run([&](Simulation &it) {
            auto router = std::make_unique<SimulatedCluster>(it, ClusterOptions{seed, 660s, false});
            cluster = router.get();
            return router;
        });
        result.violations = checkAll(simulation.history(), simulation.rules(), simulation.settledAt());
        const auto stats = cluster->stats();
        result.json["system"] = {{"phases", phasesJson(simulation)},
                                 {"linkBytes", cluster->linkBytes()},
                                 {"peerMessages", stats.messages},
                                 {"peerBytes", stats.bytes},
                                 {"storeCommits", cluster->platform().table.commitCount()},
                                 {"storeReads", cluster->platform().table.readCount()}};
    }
    if (withBaselines) {
        for (const auto name : BaselineNames) {
            Simulation simulation(scenario, seed);
            simulation.run([&](Simulation &it) { return makeBaseline(name, it); });
            result.json[std::string(name)] = {{"phases", phasesJson(simulation)}};
        }
    }
    result.json["scenario"] = scenario.name;
    result.json["seed"] = seed;
    result.json["breachCount"] = result.violations.size();
    result.json["breaches"] = violationsJson(result.violations);
    return result;
}

} // namespace monsoonspool::bench
