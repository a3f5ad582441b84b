#include "emulator/standaloneenvironment.h"

#include "emulator/sampletarget.h"

#include <boost/asio/executor_work_guard.hpp>

#include <thread>

namespace monsoonspool::emulator {

namespace {

constexpr int TargetsPerService = 3;
constexpr int Workers = 4;
constexpr Resources WorkerCapacity{30'000, 125 * 1024, 0};
constexpr Duration ServiceTime = 5ms;

constexpr std::string_view OrderingDocument = R"({
  "service": "ordering-desk",
  "team": "atelier",
  "idempotent": false,
  "timeLimitMs": 20000,
  "target": {"slots": 8, "connections": 60},
  "needs": {"cores": 2, "memoryMiB": 4096, "instances": 0},
  "urgency": [
    {"name": "proof", "rank": 0, "deadlineMs": 2000, "guaranteedShare": 0.4, "queueLimit": 2000},
    {"name": "watch", "rank": 1, "deadlineMs": 5000, "guaranteedShare": 0.2, "queueLimit": 2000},
    {"name": "plan", "rank": 2, "deadlineMs": 15000, "guaranteedShare": 0.2, "queueLimit": 5000}
  ],
  "pressure": {"storeOutage": "wait", "retryBudget": 0.1}
})";

constexpr std::string_view PermitDocument = R"({
  "service": "permit-desk",
  "team": "waste-permits",
  "idempotent": false,
  "timeLimitMs": 20000,
  "target": {"slots": 8, "connections": 60},
  "batch": {"quotaCores": 40},
  "urgency": [
    {"name": "lapsing", "rank": 0, "deadlineMs": 5000, "guaranteedShare": 0.5, "queueLimit": 2000},
    {"name": "renewal", "rank": 1, "deadlineMs": 10000, "guaranteedShare": 0.3, "queueLimit": 5000},
    {"name": "survey", "rank": 2, "deadlineMs": 20000, "guaranteedShare": 0.1, "queueLimit": 5000}
  ],
  "pressure": {"storeOutage": "wait", "retryBudget": 0.1}
})";

} // namespace

struct StandaloneEnvironment::Private
{
    explicit Private(ports::Scheduler &scheduler) : platform(scheduler, faults)
    {
    }

    ports::NoFaults faults;
    EmulatedPlatform platform;
    boost::asio::io_context targetIo{1};
    std::vector<std::unique_ptr<SampleTarget>> targets;
    std::thread thread;
};

StandaloneEnvironment::StandaloneEnvironment(ports::Scheduler &scheduler) : d(std::make_unique<Private>(scheduler))
{
}

StandaloneEnvironment::~StandaloneEnvironment()
{
    d->targetIo.stop();
    if (d->thread.joinable()) {
        d->thread.join();
    }
}

EmulatedPlatform &StandaloneEnvironment::platform()
{
    return d->platform;
}

std::vector<std::pair<std::string_view, std::string_view>> StandaloneEnvironment::documents()
{
    return {{"ordering-desk", OrderingDocument}, {"permit-desk", PermitDocument}};
}

Result<void> StandaloneEnvironment::start(const daemon::Settings &settings)
{
    ports::HostListing listing;
    listing.entryHosts.push_back({settings.name, settings.peerAddress, settings.region, ports::HostState::Live});
    for (const auto &[service, text] : documents()) {
        for (int n = 0; n < TargetsPerService; ++n) {
            const auto name = std::string(service) + "-" + std::to_string(n + 1);
            auto target = std::make_unique<SampleTarget>(d->targetIo, name, ServiceTime);
            BOOST_LEAF_CHECK(target->listen({"127.0.0.1", 0}));
            listing.targets.push_back({TargetId(name), PoolName(service), target->address(), settings.region,
                                       settings.domain, ports::HostState::Live});
            d->targets.push_back(std::move(target));
        }
    }
    for (int n = 0; n < Workers; ++n) {
        const WorkerId id("worker-" + std::to_string(n + 1));
        d->platform.workers.add(id, WorkerCapacity);
        listing.workers.push_back(
            {id, settings.domain, "rack-1", WorkerCapacity, {"127.0.0.1", 0}, ports::HostState::Live});
    }
    d->platform.hosts.set(std::move(listing));
    d->thread = std::thread([this] {
        const auto guard = boost::asio::make_work_guard(d->targetIo);
        d->targetIo.run();
    });
    return {};
}

} // namespace monsoonspool::emulator
