#include "bench/proxybench.h"

#include "bench/loadclient.h"
#include "bench/localsystem.h"

namespace monsoonspool::bench {

using codec::Json;

namespace {

constexpr std::string_view Document = R"({
  "service": "bench", "team": "bench", "idempotent": false, "timeLimitMs": 20000,
  "target": {"slots": 1000, "connections": 9000},
  "urgency": [{"name": "only", "rank": 0, "deadlineMs": 10000, "queueLimit": 10000}]
})";
constexpr double PacedLoadFraction = 0.5;
constexpr double ThroughputGoal = 15'000;

Json statsJson(const LoadStats &stats)
{
    return {{"requestsPerSecond", stats.answersPerSecond()},
            {"failed", stats.failed},
            {"p50Us", stats.latency.quantile(0.5).count()},
            {"p99Us", stats.latency.quantile(0.99).count()},
            {"p999Us", stats.latency.quantile(0.999).count()}};
}

Json comparisonJson(const LoadStats &direct, const LoadStats &proxied)
{
    return {{"direct", statsJson(direct)},
            {"proxied", statsJson(proxied)},
            {"rateRatio", direct.answersPerSecond() == 0 ? 0 : proxied.answersPerSecond() / direct.answersPerSecond()},
            {"addedP50Us", (proxied.latency.quantile(0.5) - direct.latency.quantile(0.5)).count()},
            {"addedP99Us", (proxied.latency.quantile(0.99) - direct.latency.quantile(0.99)).count()}};
}

} // namespace

Result<Json> measureProxy(const ProxyOptions &options)
{
    LocalOptions local;
    local.programFolder = options.programFolder;
    local.regions = {{"bench", 1, 1}};
    local.documents = {std::string(Document)};
    local.serviceMs = 0;
    BOOST_LEAF_AUTO(system, LocalSystem::start(local));
    LoadOptions direct;
    direct.address = system->targets().front();
    direct.host = "bench";
    direct.connections = options.connections;
    direct.duration = std::chrono::seconds(options.seconds);
    LoadOptions proxied = direct;
    proxied.address = system->daemons().front().guests;
    const auto directFull = runLoad(direct);
    const auto proxiedFull = runLoad(proxied);
    direct.rate = proxied.rate = options.rate > 0
        ? options.rate
        : std::min(ThroughputGoal, proxiedFull.answersPerSecond()) * PacedLoadFraction;
    const auto directPaced = runLoad(direct);
    const auto proxiedPaced = runLoad(proxied);
    return Json{{"connections", options.connections},
                {"full", comparisonJson(directFull, proxiedFull)},
                {"paced", comparisonJson(directPaced, proxiedPaced)},
                {"pacedRate", direct.rate}};
}

} // namespace monsoonspool::bench
