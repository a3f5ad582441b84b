#pragma once

#include "codec/cborjobs.h"
#include "execution/rowlayout.h"
#include "execution/takeoverhost.h"
#include "jobs/names.h"

#include <algorithm>
#include <array>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

// Hosts, workers and clients in virtual time, under the faults of changes of leader.
namespace monsoonspool::execution::takeover {

inline constexpr int HostCount = 5;
inline const ServiceName Service("desk");
inline constexpr int MaxAttempts = 3;

// The jobs of the clients, and how their tasks behave.
class LoadModel : public memory::TaskModel
{
public:
    explicit LoadModel(std::uint32_t seed) : m_random(seed)
    {
    }
    memory::TaskProfile profile(const jobs::TaskId &task) const override
    {
        const auto *job = spec(task.job);
        if (job == nullptr) {
            return {};
        }
        const auto &step = job->steps[static_cast<std::size_t>(task.step)];
        const auto time = step.isLasting ? Duration(1h) : m_random.duration(step.estimate / 2, step.estimate * 3 / 2);
        constexpr double failureRate = 0.03;
        return {std::max(time, Duration(100ms)), !step.isLasting && m_random.chance(failureRate), step.needs};
    }
    const jobs::JobSpec *spec(jobs::JobKey key) const override
    {
        const auto it = specs.find(key);
        return it == specs.end() ? nullptr : &it->second;
    }
    int maxAttempts(jobs::JobKey) const override
    {
        return MaxAttempts;
    }

    std::map<jobs::JobKey, jobs::JobSpec> specs;

private:
    mutable Random m_random;
};

// Rows of workers hold their state and start time.
class RowRegistry : public Registry
{
public:
    explicit RowRegistry(const memory::SimulatedWorkers &workers) : m_workers(workers)
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
    Result<Configuration> decodeConfiguration(std::string_view) const override
    {
        Configuration configuration;
        configuration.version = 1;
        QueueRoute route;
        route.policy.queue = "plans";
        route.policy.service = Service;
        route.policy.maxAttempts = MaxAttempts;
        route.policy.stretch = 2;
        route.policy.targetLatency = 1s;
        configuration.routes.push_back(route);
        return configuration;
    }
    Result<std::optional<FailureDomain>> decodeEvacuation(const RowName &) const override
    {
        return std::optional<FailureDomain>();
    }
    Result<WorkerEntry> decodeWorker(std::string_view key, std::string_view value) const override
    {
        auto entry = m_workers.entry(WorkerId(key));
        entry.isDraining = value.starts_with("draining");
        entry.startTimeMs = std::stoll(std::string(value.substr(value.find(' ') + 1)));
        return entry;
    }

private:
    const memory::SimulatedWorkers &m_workers;
};

// Decisions of all hosts and events of all workers, in order.
class Trace
{
public:
    explicit Trace(VirtualScheduler &clock) : m_clock(clock)
    {
    }
    bool isOn = false;
    std::vector<std::string> lines;

    void add(const std::string &text)
    {
        const auto ms = toMilliseconds(m_clock.now().time_since_epoch() - 1h);
        lines.push_back(std::to_string(ms) + " " + text);
    }

private:
    VirtualScheduler &m_clock;
};

class HostLog : public DecisionLog
{
public:
    HostLog(Trace &trace, std::string host) : m_trace(trace), m_host(std::move(host))
    {
    }
    void record(std::string_view event, std::initializer_list<DecisionField> fields) override
    {
        if (m_trace.isOn) {
            auto text = m_host + " " + std::string(event);
            for (const auto &it : fields) {
                text += " " + std::string(it.key()) + "=" + it.text();
            }
            m_trace.add(text);
        }
    }

private:
    Trace &m_trace;
    std::string m_host;
};

struct Host
{
    Host(memory::SharedRows &rows, memory::SimulatedWorkers &workers, VirtualScheduler &clock, Trace &trace, int n,
         std::uint32_t seed)
        : name("host-" + std::to_string(n)), random(seed), thread(clock),
          store(rows, clock, thread, storeRules, random), orderFaults(orderRules, random),
          openLink(
              [&workers, &clock, this] { return std::make_unique<HostLink>(workers, clock, thread, orderFaults); }),
          log(trace, name.text())
    {
    }
    EntryHostId name;
    Random random;
    HostThread thread;
    CallRules storeRules;
    CallRules orderRules;
    HostStore store;
    OrderFaults orderFaults;
    std::function<std::unique_ptr<HostLink>()> openLink;
    std::unique_ptr<HostLink> link; // of the present process
    HostLog log;
    std::uint64_t incarnation = 0;
    std::unique_ptr<ExecutionLoop> loop;
};

class Cluster
{
public:
    Cluster(std::uint32_t seed, bool isTraced)
        : random(seed), model(seed + 1), workers(clock, model), registry(workers), trace(clock)
    {
        trace.isOn = isTraced;
        if (isTraced) {
            workers.setObserver([this](std::string_view event, const WorkerId &worker, const jobs::TaskId &task,
                                       jobs::RunNumber run, std::string_view detail) {
                trace.add(worker.text() + " " + std::string(event) + " " + jobs::taskName(task) + " run "
                          + std::to_string(run) + " " + std::string(detail));
            });
        }
        workers.setStopGrace(random.duration(0ms, 300ms));
        put(registry.configurationRow(), "1");
        constexpr int minWorkers = 20;
        constexpr int maxWorkers = 60;
        const int count = minWorkers + random.below(maxWorkers - minWorkers + 1);
        for (int n = 0; n < count; ++n) {
            WorkerEntry entry;
            entry.id = WorkerId("w" + std::to_string(n));
            entry.service = Service;
            entry.capacity = {8000, 16000, 0};
            entry.rack = "r" + std::to_string(n / 4);
            entry.startTimeMs = 1;
            workers.addWorker(entry, random.real(1 - MaxClockDrift, 1));
            workerIds.push_back(entry.id);
            listWorker(n);
        }
        constexpr std::array<Duration, 4> delays = {Duration(3ms), Duration(12ms), Duration(80ms), Duration(300ms)};
        for (int n = 0; n < HostCount; ++n) {
            auto &host = hosts.emplace_back(
                std::make_unique<Host>(rows, workers, clock, trace, n, seed * 16 + static_cast<std::uint32_t>(n)));
            host->orderFaults.maxDelay = delays[static_cast<std::size_t>(random.below(delays.size()))];
            startHost(n);
        }
    }

    void startHost(int n)
    {
        auto &host = *hosts[static_cast<std::size_t>(n)];
        host.link = host.openLink();
        host.loop = std::make_unique<ExecutionLoop>(ExecutionPorts{host.store, *host.link, host.thread, registry, codec,
                                                                   host.log, [this] { return wallNow(); }},
                                                    ExecutionOptions{host.name, ++host.incarnation, 1.0},
                                                    [](const ExecutionLoop::ConfigurationPointer &) {});
        host.loop->start();
    }
    void killHost(int n)
    {
        auto &host = *hosts[static_cast<std::size_t>(n)];
        host.thread.endProcess();
        host.loop.reset();
        host.link.reset();
    }
    // Returns the host whose row names it as leader, or -1.
    int leader() const
    {
        const auto row = rows.rows.find(leaderRow());
        for (int n = 0; row != rows.rows.end() && n < HostCount; ++n) {
            const auto &loop = hosts[static_cast<std::size_t>(n)]->loop;
            if (loop && loop->summary().isLeader
                && row->second.value.find("host-" + std::to_string(n)) != std::string::npos) {
                return n;
            }
        }
        return -1;
    }
    int anyHostUp()
    {
        for (;;) {
            const int n = random.below(HostCount);
            if (hosts[static_cast<std::size_t>(n)]->loop) {
                return n;
            }
        }
    }
    bool isAnyHostUp() const
    {
        return std::ranges::any_of(hosts, [](const auto &it) { return it->loop != nullptr; });
    }

    void listWorker(int n, std::string_view state = "ready")
    {
        const auto &id = workerIds[static_cast<std::size_t>(n)];
        put({"workers", "", id.text()}, std::string(state) + " " + std::to_string(workers.entry(id).startTimeMs));
    }
    void unlistWorker(int n)
    {
        rows.apply({{}, {}, {{"workers", "", workerIds[static_cast<std::size_t>(n)].text()}}});
    }
    void put(const RowName &name, std::string value)
    {
        rows.apply({{}, {{name, std::move(value)}}, {}});
    }
    jobs::WallTime wallNow() const
    {
        return jobs::WallTime(std::chrono::duration_cast<std::chrono::milliseconds>(clock.now().time_since_epoch()));
    }
    std::optional<jobs::JobProgress> progress(jobs::JobKey key) const
    {
        const auto row = rows.rows.find(progressRow(key));
        return row == rows.rows.end() ? std::nullopt : std::optional(codec.decodeProgress(row->second.value).value());
    }

    Random random;
    VirtualScheduler clock;
    LoadModel model;
    memory::SharedRows rows;
    memory::SimulatedWorkers workers;
    RowRegistry registry;
    Trace trace;
    codec::CborJobs codec;
    std::vector<WorkerId> workerIds;
    std::vector<std::unique_ptr<Host>> hosts;
};

} // namespace monsoonspool::execution::takeover
