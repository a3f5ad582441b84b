#pragma once

#include "codec/cborjobs.h"
#include "execution/executionloop.h"
#include "execution/rowlayout.h"
#include "ports/memory/memorychangestore.h"
#include "ports/memory/simulatedworkers.h"
#include "ports/virtualscheduler.h"

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_01.hpp>

#include <algorithm>
#include <array>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <sstream>
#include <string>
#include <string_view>
#include <vector>

// Hosts, a store and workers in virtual time, for the tests of job execution.
namespace monsoonspool::execution::testcluster {

using namespace ports;
using ports::memory::MemoryChangeStore;
using ports::memory::MemoryWorkerLink;
using ports::memory::SharedRows;
using ports::memory::SimulatedWorkers;
using ports::memory::TaskProfile;

inline constexpr int HostCount = 3;
inline constexpr int WorkerCount = 6;
inline constexpr Resources TaskSize{2000, 1000, 0};
inline const ServiceName Service("desk");

class TestTaskModel : public ports::memory::TaskModel
{
public:
    std::map<jobs::JobKey, TaskProfile> overrides;
    std::map<jobs::TaskId, TaskProfile> taskOverrides;

    TaskProfile profile(const jobs::TaskId &task) const override
    {
        if (const auto it = taskOverrides.find(task); it != taskOverrides.end()) {
            return it->second;
        }
        const auto it = overrides.find(task.job);
        return it == overrides.end() ? TaskProfile{400ms, false, TaskSize} : it->second;
    }
};

// An entry of a worker with this and three numbers has that capacity, also after it has changed
// again; other entries have the worker's present capacity.
inline constexpr std::string_view CapacityPrefix = "capacity ";
inline constexpr std::string_view Draining = "draining";
// A row beside the configuration whose key has this before the name of a failure domain evacuates it.
inline constexpr std::string_view EvacuationPrefix = "evacuate ";

// Decodes the rows that this test writes. The value of a configuration is its version, that of a
// worker its capacity or state; after "draining" may follow the remaining time in milliseconds.
class TestRegistry : public Registry
{
public:
    explicit TestRegistry(const SimulatedWorkers &workers) : m_workers(workers)
    {
    }
    RowName configurationRow() const override
    {
        return {"configuration", "", "current"};
    }
    std::string workersTable() const override
    {
        return "workers";
    }
    Result<Configuration> decodeConfiguration(std::string_view value) const override
    {
        Configuration configuration;
        configuration.version = std::stoi(std::string(value));
        QueueRoute route;
        route.policy.queue = "plans";
        route.policy.service = Service;
        route.policy.maxAttempts = 3;
        route.policy.stretch = 2;
        route.policy.targetLatency = 1s;
        configuration.routes.push_back(route);
        return configuration;
    }
    Result<std::optional<FailureDomain>> decodeEvacuation(const RowName &name) const override
    {
        if (name.key == "unreadable") {
            return fail(ErrorKind::InvalidDocument, "not a domain");
        }
        return name.key.starts_with(EvacuationPrefix)
            ? std::optional(FailureDomain(name.key.substr(EvacuationPrefix.size())))
            : std::nullopt;
    }
    Result<WorkerEntry> decodeWorker(std::string_view key, std::string_view value) const override
    {
        if (value == "unreadable") {
            return fail(ErrorKind::MalformedMessage, "not an entry");
        }
        auto entry = m_workers.entry(WorkerId(key));
        if (value.starts_with(CapacityPrefix)) {
            std::istringstream text(std::string(value.substr(CapacityPrefix.size())));
            auto &capacity = entry.capacity;
            text >> capacity.milliCores >> capacity.memoryMiB >> capacity.accelerators;
        }
        entry.isDraining = value.starts_with(Draining);
        if (entry.isDraining && value.size() > Draining.size()) {
            entry.remaining = std::chrono::milliseconds(std::stoi(std::string(value.substr(Draining.size()))));
        }
        return entry;
    }

private:
    const SimulatedWorkers &m_workers;
};

class NullLog : public DecisionLog
{
public:
    void record(std::string_view, std::initializer_list<DecisionField>) override
    {
    }
};

// Faults of one host's calls, which the test changes while it runs.
class HostFaults : public FaultPlan
{
public:
    explicit HostFaults(std::uint32_t seed) : m_generator(seed)
    {
    }
    bool isCut = false;
    double lossRate = 0; // fraction of the answers that are lost
    Duration lossDelay{0}; // by which orders with a lost answer are delayed
    // Replaces the fault of a call, if it returns one. Calls are named "commit", "scan TABLE",
    // "changes TABLE", "renew WORKER", "start WORKER", "stop WORKER" and "pace WORKER".
    std::function<std::optional<Fault>(std::string_view call, TimePoint now)> rule;

    Fault next(std::string_view call, std::uint64_t, TimePoint now) override
    {
        if (const auto chosen = rule ? rule(call, now) : std::nullopt) {
            return *chosen;
        }
        Fault fault{2ms, isCut, false};
        if (!isCut && lossRate > 0 && boost::random::uniform_01<>()(m_generator) < lossRate) {
            fault.isReplyLost = true;
            fault.delay += lossDelay;
        }
        return fault;
    }

private:
    boost::random::mt19937 m_generator;
};

// Hosts, a store and workers in virtual time.
// In which a process of a worker that has started again writes its entry.
constexpr Duration RegistrationTime = 20ms;

class Cluster
{
public:
    explicit Cluster(std::uint32_t seed = 1, std::size_t connections = MemoryWorkerLink::ConnectionsPerWorker)
        : connectionsPerWorker(connections), workers(scheduler, taskModel), registry(workers)
    {
        put(registry.configurationRow(), "1");
        workers.setRegistration([this](const WorkerEntry &entry) {
            if (registersRestarts) {
                scheduler.runAfter(RegistrationTime, [this, id = entry.id] {
                    put({"workers", "", id.text()}, "ready");
                });
            }
        });
        for (int n = 0; n < WorkerCount; ++n) {
            WorkerEntry entry;
            entry.id = WorkerId("w" + std::to_string(n));
            entry.service = Service;
            entry.capacity = {16000, 32000, 0};
            entry.rack = "r" + std::to_string(n / 2);
            entry.domain = FailureDomain("z" + std::to_string(n / 2));
            entry.startTimeMs = 1;
            workers.addWorker(entry);
            put({"workers", "", entry.id.text()}, "ready");
        }
        for (int n = 0; n < HostCount; ++n) {
            auto &host = hosts.emplace_back(std::make_unique<Host>(*this, seed + static_cast<std::uint32_t>(n)));
            host->name = EntryHostId("host-" + std::to_string(n));
            startHost(n);
        }
    }

    struct Host
    {
        Host(Cluster &cluster, std::uint32_t seed)
            : storeFaults(seed), workerFaults(seed + 1000), store(cluster.rows, cluster.scheduler, storeFaults),
              link(cluster.workers, cluster.scheduler, workerFaults, cluster.connectionsPerWorker)
        {
        }
        EntryHostId name;
        HostFaults storeFaults;
        HostFaults workerFaults;
        MemoryChangeStore store;
        MemoryWorkerLink link;
        std::uint64_t incarnation = 0;
        std::unique_ptr<ExecutionLoop> loop;
    };

    void startHost(int n)
    {
        auto &host = *hosts[static_cast<std::size_t>(n)];
        host.loop = std::make_unique<ExecutionLoop>(
            ExecutionPorts{host.store, host.link, scheduler, registry, codec, log,
                           [this, n] {
                               const auto error = clockErrors[static_cast<std::size_t>(n)];
                               return wallNow() + std::chrono::duration_cast<std::chrono::milliseconds>(error);
                           }},
            ExecutionOptions{host.name,
                             ++host.incarnation,
                             1.0,
                             {},
                             membership::DefaultEvacuationBound,
                             remoteRunTimeFactor,
                             memoryBytes},
            [](const ExecutionLoop::ConfigurationPointer &) {});
        host.loop->start();
    }
    void killHost(int n)
    {
        hosts[static_cast<std::size_t>(n)]->loop.reset();
    }

    int leader() const
    {
        for (int n = 0; n < HostCount; ++n) {
            const auto &loop = hosts[static_cast<std::size_t>(n)]->loop;
            if (loop && loop->summary().isLoaded) {
                return n;
            }
        }
        return -1;
    }
    Host &host(int n)
    {
        return *hosts[static_cast<std::size_t>(n)];
    }

    jobs::WallTime wallNow() const
    {
        return jobs::WallTime(
            std::chrono::duration_cast<std::chrono::milliseconds>(scheduler.now().time_since_epoch()));
    }

    void put(const RowName &name, std::string value)
    {
        rows.apply({{}, {{name, std::move(value)}}, {}});
    }

    // Changes a worker's capacity and its entry.
    void setCapacity(const WorkerId &id, const Resources &capacity)
    {
        workers.setCapacity(id, capacity);
        std::ostringstream text;
        text << CapacityPrefix << capacity.milliCores << ' ' << capacity.memoryMiB << ' ' << capacity.accelerators;
        put({"workers", "", id.text()}, text.str());
    }

    void submit(int host, std::uint64_t key)
    {
        AcceptedJob job;
        job.key = {key};
        job.policy.queue = "plans";
        job.policy.service = Service;
        job.policy.maxAttempts = 3;
        job.spec.payload = "plan";
        job.spec.steps.resize(2);
        for (auto &it : job.spec.steps) {
            it.count = 3;
            it.needs = TaskSize;
            it.estimate = 400ms;
        }
        job.spec.steps[1].after = {0};
        job.acceptedAt = wallNow();
        this->host(host).loop->jobRequestHandler().submit(std::move(job), scheduler.now() + 2500ms,
                                                          [this, key](SubmitResult answer) { answers[key] = answer; });
    }

    std::optional<JobStatus> status(int host, std::uint64_t key)
    {
        std::optional<JobStatus> found;
        this->host(host).loop->jobRequestHandler().status({key}, scheduler.now() + 1s, [&](const auto &result) {
            if (result.isOk()) {
                found = result.value();
            }
        });
        scheduler.runFor(2s);
        return found;
    }

    std::array<Duration, HostCount> clockErrors{}; // of the hosts' wall clocks
    const std::size_t connectionsPerWorker;
    std::optional<double> remoteRunTimeFactor; // of hosts that are started from now on
    std::size_t memoryBytes = ExecutionOptions().memoryBytes; // of hosts that are started from now on
    VirtualScheduler scheduler;
    TestTaskModel taskModel;
    SharedRows rows;
    bool registersRestarts = true; // whether a process of a worker that starts again writes its entry
    SimulatedWorkers workers;
    TestRegistry registry;
    NullLog log;
    codec::CborJobs codec;
    std::vector<std::unique_ptr<Host>> hosts;
    std::map<std::uint64_t, SubmitResult> answers;
};

inline std::string violationsOf(const Cluster &cluster)
{
    std::string text;
    for (const auto &it : cluster.workers.violations()) {
        text += it.rule + ": " + it.detail + "\n";
    }
    return text;
}

inline constexpr int TasksPerJob = 6;

} // namespace monsoonspool::execution::testcluster
