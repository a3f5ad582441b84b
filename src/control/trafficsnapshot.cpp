#include "control/trafficsnapshot.h"

#include <algorithm>

namespace monsoonspool::control {

namespace {

void addFlows(routing::PoolPlan &plan, const documents::ServiceDocument &document)
{
    for (const auto &it : document.urgency) {
        plan.flows.push_back({document.service, it.name, it.rank, it.guaranteedShare, document.weight, it.queueLimit});
    }
    plan.retryBudget = document.pressure.retryBudget;
    plan.timeLimit = std::max(plan.timeLimit, document.timeLimit);
}

void addTarget(TrafficSnapshot &snapshot, const ports::ListedTarget &target)
{
    snapshot.addresses[target.id] = target.address;
    if (target.state == ports::HostState::Live) {
        snapshot.accepting[target.pool].push_back(target.id);
    }
    const auto plan = snapshot.pools.find(target.pool);
    if (plan == snapshot.pools.end()) {
        return;
    }
    auto &regions = plan->second.regions;
    if (std::ranges::find(regions, target.region) == regions.end()) {
        regions.push_back(target.region);
    }
}

} // namespace

std::shared_ptr<const TrafficSnapshot> makeSnapshot(std::uint64_t generation, const documents::DocumentSet &documents,
                                                    const ports::HostListing &listing)
{
    auto snapshot = std::make_shared<TrafficSnapshot>();
    snapshot->generation = generation;
    for (const auto &revision : documents.all()) {
        const auto &document = revision->document;
        snapshot->byService[document.service.text()] = revision;
        for (const auto &name : document.hostNames) {
            snapshot->byHostName[name] = revision;
        }
        auto &plan = snapshot->pools[document.pool];
        if (plan.pool.isEmpty()) {
            plan.pool = document.pool;
            plan.timeLimit = Duration{0};
        }
        addFlows(plan, document);
    }
    for (const auto &target : listing.targets) {
        addTarget(*snapshot, target);
    }
    return snapshot;
}

} // namespace monsoonspool::control
