#include "daemon/lanedescription.h"

#include "codec/typejson.h"
#include "http/connectionmetrics.h"

#include <vector>

namespace monsoonspool::daemon {

using codec::Json;

namespace {

double microseconds(Duration d)
{
    return static_cast<double>(d.count());
}

Json histogramJson(const metrics::LatencyHistogram &histogram)
{
    return {{"count", histogram.count()},
            {"p50Us", microseconds(histogram.quantile(0.5))},
            {"p99Us", microseconds(histogram.quantile(0.99))},
            {"p999Us", microseconds(histogram.quantile(0.999))}};
}

Json countsJson(const std::map<ErrorKind, std::uint64_t> &counts)
{
    Json json = Json::object();
    for (const auto &[kind, n] : counts) {
        json[std::string(errorInfo(kind).name)] = n;
    }
    return json;
}

Json tierJson(const routing::SlotTier &tier)
{
    Json flows = Json::array();
    for (const auto &it : tier.queue().summary(monotonicNow())) {
        flows.push_back({{"service", it.plan.service},
                         {"urgency", it.plan.urgency},
                         {"waiting", it.waiting},
                         {"inUse", it.inUse},
                         {"started", it.started},
                         {"refusedFull", it.refusedFull},
                         {"refusedLate", it.refusedLate},
                         {"expectedWaitMs", toMilliseconds(it.expectedWait)},
                         {"meanServiceUs", microseconds(it.meanService)}});
    }
    Json ledgers = Json::array();
    for (const auto &it : tier.holders()) {
        ledgers.push_back({{"region", it.ledger().region},
                           {"epoch", it.epoch()},
                           {"held", it.heldCount()},
                           {"inUse", it.inUseCount()}});
    }
    return {{"flows", std::move(flows)}, {"ledgers", std::move(ledgers)}};
}

Json poolJson(const routing::Dispatcher &dispatcher)
{
    Json targets = Json::array();
    for (const auto &it : dispatcher.health().summary()) {
        targets.push_back({{"target", it.target},
                           {"weight", it.weight},
                           {"slowness", it.slowness},
                           {"answered", it.answered},
                           {"failed", it.failed}});
    }
    return {{"pool", dispatcher.plan().pool},
            {"near", tierJson(dispatcher.near())},
            {"far", tierJson(dispatcher.far())},
            {"targets", std::move(targets)},
            {"retriesSpent", dispatcher.retryBudget().spentCount()},
            {"retriesDenied", dispatcher.retryBudget().deniedCount()}};
}

} // namespace

std::string describeLane(traffic::LaneContext &lane)
{
    Json pools = Json::array();
    for (const auto &[name, dispatcher] : lane.dispatchers()) {
        pools.push_back(poolJson(*dispatcher));
    }
    Json flows = Json::array();
    for (const auto &[key, it] : lane.allMetrics()) {
        flows.push_back({{"service", key.first},
                         {"urgency", key.second},
                         {"answered", it.answered},
                         {"retries", it.retries},
                         {"failed", countsJson(it.failed)},
                         {"total", histogramJson(it.total)},
                         {"waited", histogramJson(it.waited)}});
    }
    const auto &counts = lane.counts();
    http::ConnectionUsage targets;
    targets.side = "targets";
    targets.connections = static_cast<std::size_t>(lane.connections().openCount());
    for (const auto it : http::AllConnectionLimits) {
        targets.reached[static_cast<std::size_t>(it)] = lane.targetLimits().count(it);
    }
    return codec::writeJson({{"lane", lane.options().lane},
                             {"snapshot", lane.snapshot()->generation},
                             {"connections", counts.connections},
                             {"open", http::connectionState(std::vector{lane.guests()->usage(), targets})},
                             {"requests", counts.requests},
                             {"guestsLeft", counts.guestsLeft},
                             {"refusedEarly", countsJson(counts.refusedEarly)},
                             {"waiting", lane.waitingCount()},
                             {"inUse", lane.inUseCount()},
                             {"targetConnections", lane.connections().openCount()},
                             {"idleTargetConnections", lane.connections().idleCount()},
                             {"pools", std::move(pools)},
                             {"flows", std::move(flows)}});
}

} // namespace monsoonspool::daemon
