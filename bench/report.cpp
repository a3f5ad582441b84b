#include "bench/report.h"

#include "bench/baselines.h"

#include <array>

namespace monsoonspool::bench {

using codec::Json;

namespace {

constexpr std::size_t MaxBreachesShown = 10;
constexpr std::array<std::string_view, 3> Baselines{"fixed-split", "least-outstanding", "ideal"};

double milliseconds(Duration d)
{
    return static_cast<double>(d.count()) / 1000.0;
}

double part(std::uint64_t n, std::uint64_t all)
{
    return all == 0 ? 0 : static_cast<double>(n) / static_cast<double>(all);
}

Json flowJson(const FlowLoad &load, const FlowFigures &figures)
{
    Json refused = Json::object();
    for (const auto &[kind, n] : figures.refused) {
        refused[std::string(errorInfo(kind).name)] = n;
    }
    return {{"service", load.service},
            {"urgency", load.urgency},
            {"arrived", figures.arrived},
            {"answered", figures.answered},
            {"inDeadlinePart", part(figures.inDeadline, figures.arrived)},
            {"refused", std::move(refused)},
            {"p50Ms", milliseconds(figures.latency.quantile(0.5))},
            {"p99Ms", milliseconds(figures.latency.quantile(0.99))},
            {"p999Ms", milliseconds(figures.latency.quantile(0.999))}};
}

Json worldJson(const World &world)
{
    Json phases = Json::object();
    for (const auto &[name, flows] : world.figures()) {
        Json rows = Json::array();
        for (std::size_t n = 0; n < flows.size(); ++n) {
            rows.push_back(flowJson(world.scenario().flows[n], flows[n]));
        }
        const auto &sent = world.sent().at(name);
        phases[name] = {{"flows", std::move(rows)},
                        {"sentPerFresh", part(sent.sent, sent.fresh)},
                        {"farAttempts", sent.farAttempts}};
    }
    return phases;
}

Json breachesJson(std::span<const Breach> breaches)
{
    Json rows = Json::array();
    for (const auto &it : breaches.first(std::min(breaches.size(), MaxBreachesShown))) {
        rows.push_back({{"invariant", it.invariant}, {"detail", it.detail}});
    }
    return rows;
}

} // namespace

RunResult runScenario(const Scenario &scenario, std::uint64_t seed, bool withBaselines)
{
    RunResult result;
    {
        World world(scenario, seed);
        Fleet *fleet = nullptr;
        world.run([&](World &it) {
            auto path = std::make_unique<Fleet>(it, FleetOptions{seed, 660s, false});
            fleet = path.get();
            return path;
        });
        result.breaches = checkAll(world.history(), world.rules(), world.settledAt());
        const auto figures = fleet->figures();
        result.json["system"] = {{"phases", worldJson(world)},
                                 {"linkBytes", fleet->linkBytes()},
                                 {"peerMessages", figures.messages},
                                 {"peerBytes", figures.bytes},
                                 {"storeCommits", fleet->platform().table.commitCount()},
                                 {"storeReads", fleet->platform().table.readCount()}};
    }
    if (withBaselines) {
        for (const auto name : Baselines) {
            World world(scenario, seed);
            world.run([&](World &it) { return makeBaseline(name, it); });
            result.json[std::string(name)] = {{"phases", worldJson(world)}};
        }
    }
    result.json["scenario"] = scenario.name;
    result.json["seed"] = seed;
    result.json["breachCount"] = result.breaches.size();
    result.json["breaches"] = breachesJson(result.breaches);
    return result;
}

} // namespace monsoonspool::bench
