#pragma once

#include "execution/takeovercluster.h"

#include <array>
#include <string>
#include <string_view>
#include <vector>

// Faults of a takeover test as data, drawn from a seed.
namespace monsoonspool::execution::takeover {

enum class FaultKind {
    HostKilled,
    HostFrozen,
    HostSlow,
    RenewalsFail, // commits of the leader's row
    StoreCallsFail,
    WorkersCut, // from one host
    OrdersLate,
    WorkerCrashed,
    WorkersDisconnected, // from all hosts
    WorkersUnlisted, // while they run
    HistoryDropped,
    WorkersDrain, // drawn by drawDepartures() only
    Count,
};

inline std::string_view faultName(FaultKind kind)
{
    constexpr std::array<std::string_view, static_cast<std::size_t>(FaultKind::Count)> names
        = {"host killed",          "host frozen",      "host slow",       "renewals fail",
           "store calls fail",     "workers cut",      "orders late",     "worker crashed",
           "workers disconnected", "workers unlisted", "history dropped", "workers drain"};
    return names[static_cast<std::size_t>(kind)];
}

struct ClusterFault
{
    FaultKind kind = FaultKind::HostKilled;
    bool hitsLeader = true; // of the hosts; otherwise `host`
    int host = 0;
    Duration at{0}; // since the start of the faults
    Duration length{0};
    unsigned calls = 0;
    unsigned workers = 0; // by their number modulo 32
    CallFault callFault = CallFault::Refused;
    double probability = 1;
    std::uint32_t seed = 0;
};

inline std::string describe(const ClusterFault &fault)
{
    return std::string(faultName(fault.kind)) + (fault.hitsLeader ? " leader" : " host " + std::to_string(fault.host))
        + " at " + std::to_string(toMilliseconds(fault.at)) + " for " + std::to_string(toMilliseconds(fault.length))
        + " calls " + std::to_string(fault.calls) + " workers " + std::to_string(fault.workers) + " fault "
        + std::to_string(static_cast<int>(fault.callFault)) + " p " + std::to_string(fault.probability);
}

inline ClusterFault drawFault(FaultKind kind, Duration at, Random &random)
{
    ClusterFault fault;
    fault.kind = kind;
    fault.at = at;
    fault.hitsLeader = random.chance(0.7);
    fault.host = random.below(HostCount);
    fault.seed = static_cast<std::uint32_t>(random.below(1 << 30));
    const auto mask = [&] {
        const unsigned bits
            = static_cast<unsigned>(random.below(1 << 16)) << 16U | static_cast<unsigned>(random.below(1 << 16));
        return random.chance(0.3) ? ~0U : bits;
    };
    fault.workers = mask();
    switch (kind) {
    case FaultKind::HostKilled:
        fault.length = random.duration(50ms, 3s);
        break;
    case FaultKind::HostFrozen:
        fault.length = random.chance(0.5) ? random.duration(2s, 4s) : random.duration(300ms, 9s);
        break;
    case FaultKind::HostSlow:
        fault.length = random.duration(1s, 5s);
        break;
    case FaultKind::RenewalsFail:
        fault.length = random.duration(2200ms, 4s);
        fault.callFault = static_cast<CallFault>(random.below(5));
        fault.calls = CommitLeader | (random.chance(0.5) ? FeedLeader : 0U);
        break;
    case FaultKind::StoreCallsFail:
        fault.length = random.duration(1s, 10s);
        fault.callFault = static_cast<CallFault>(random.below(5));
        fault.calls = mask() & AllStoreCalls;
        fault.probability = random.chance(0.5) ? 1 : random.real(0.1, 0.9);
        break;
    case FaultKind::WorkersCut:
        fault.length = random.duration(500ms, 10s);
        fault.callFault = random.chance(0.5) ? CallFault::Lost : CallFault::ReplyLost;
        fault.calls = random.chance(0.6) ? AllOrders : (mask() & AllOrders);
        fault.probability = random.chance(0.6) ? 1 : random.real(0.1, 0.9);
        break;
    case FaultKind::OrdersLate:
        fault.length = random.duration(500ms, 5s);
        fault.callFault = CallFault::Late;
        fault.calls = random.chance(0.5) ? AllOrders : (mask() & AllOrders);
        fault.probability = random.real(0.05, 0.6);
        break;
    case FaultKind::WorkerCrashed:
        fault.length = random.duration(100ms, 6s);
        break;
    case FaultKind::WorkersDisconnected:
        fault.length = random.duration(500ms, 12s);
        fault.workers = mask() & mask() & mask();
        break;
    case FaultKind::WorkersUnlisted:
        fault.length = random.duration(300ms, 5s);
        fault.workers = mask() & mask();
        break;
    case FaultKind::WorkersDrain:
        fault.length = random.duration(50ms, 6s);
        fault.workers = mask() & mask();
        break;
    default:
        break;
    }
    return fault;
}

// Draws episodes of faults that overlap around a change of leader.
inline std::vector<ClusterFault> drawFaults(std::uint32_t seed, Duration length)
{
    Random random(seed);
    constexpr std::array<FaultKind, 6> leaderFaults
        = {FaultKind::HostKilled,   FaultKind::HostFrozen,     FaultKind::HostSlow,
           FaultKind::RenewalsFail, FaultKind::StoreCallsFail, FaultKind::RenewalsFail};
    std::vector<ClusterFault> faults;
    for (Duration at = random.duration(0s, 2s); at < length; at += random.duration(3s, 9s)) {
        auto main = drawFault(leaderFaults[static_cast<std::size_t>(random.below(leaderFaults.size()))], at, random);
        main.hitsLeader = true;
        faults.push_back(main);
        for (int n = random.below(5); n > 0; --n) {
            const auto kind = static_cast<FaultKind>(random.below(static_cast<int>(FaultKind::WorkersDrain)));
            faults.push_back(drawFault(kind, at + random.duration(-1s, 5s), random));
        }
    }
    std::ranges::stable_sort(faults, {}, &ClusterFault::at);
    return faults;
}

// Draws workers that announce their departure.
inline std::vector<ClusterFault> drawDepartures(std::uint32_t seed, Duration length)
{
    Random random(seed);
    std::vector<ClusterFault> faults;
    for (Duration at = random.duration(0s, 2s); at < length; at += random.duration(500ms, 3s)) {
        faults.push_back(drawFault(FaultKind::WorkersDrain, at, random));
    }
    return faults;
}

// Applies faults to a cluster and undoes each after its time.
class FaultInjector
{
public:
    explicit FaultInjector(Cluster &cluster) : m_cluster(cluster)
    {
    }

    void schedule(const ClusterFault &fault)
    {
        after(std::max(fault.at, Duration(0)), [this, fault] { apply(fault); });
    }
    // Ends what lasts until the end of the faults.
    void heal()
    {
        for (auto &it : m_cluster.hosts) {
            it->storeRules.clear();
            it->orderRules.clear();
        }
    }

private:
    void after(Duration delay, std::function<void()> f)
    {
        m_cluster.clock.runAfter(delay, std::move(f));
    }

    void apply(const ClusterFault &fault)
    {
        const int leader = fault.hitsLeader ? m_cluster.leader() : -1;
        const int n = leader >= 0 ? leader : fault.host;
        auto &host = *m_cluster.hosts[static_cast<std::size_t>(n)];
        if (m_cluster.trace.isOn) {
            m_cluster.trace.add("fault (on host " + std::to_string(n) + ") " + describe(fault));
        }
        Random random(fault.seed);
        const auto until = m_cluster.clock.now() + fault.length;
        const CallRule rule{until, fault.calls, fault.probability, fault.callFault, fault.workers};
        switch (fault.kind) {
        case FaultKind::HostKilled:
            if (host.loop) {
                m_cluster.killHost(n);
                after(fault.length, [this, n] { m_cluster.startHost(n); });
            }
            break;
        case FaultKind::HostFrozen:
            host.thread.freeze(fault.length);
            break;
        case FaultKind::HostSlow:
            host.thread.slowDown(fault.length, random.duration(500us, 6ms));
            break;
        case FaultKind::RenewalsFail:
        case FaultKind::StoreCallsFail:
            host.storeRules.add(rule);
            if (!fault.hitsLeader && random.chance(0.2)) {
                for (auto &it : m_cluster.hosts) {
                    it->storeRules.add(rule);
                }
            }
            break;
        case FaultKind::WorkersCut:
        case FaultKind::OrdersLate:
            host.orderRules.add(rule);
            break;
        case FaultKind::WorkerCrashed:
            for (int count = 1 + random.below(4); count > 0; --count) {
                crashWorker(random.below(static_cast<int>(m_cluster.workerIds.size())), fault.length, random);
            }
            break;
        case FaultKind::WorkersDisconnected:
        case FaultKind::WorkersUnlisted:
            for (int w = 0; w < static_cast<int>(m_cluster.workerIds.size()); ++w) {
                if ((fault.workers >> (static_cast<unsigned>(w) % 32U) & 1U) != 0) {
                    fault.kind == FaultKind::WorkersUnlisted ? unlist(w, fault.length) : disconnect(w, fault.length);
                }
            }
            break;
        case FaultKind::WorkersDrain:
            for (int w = 0; w < static_cast<int>(m_cluster.workerIds.size()); ++w) {
                if ((fault.workers >> (static_cast<unsigned>(w) % 32U) & 1U) != 0) {
                    drain(w, fault.length, random);
                }
            }
            break;
        default:
            m_cluster.rows.dropHistory();
            break;
        }
    }

    void disconnect(int worker, Duration length)
    {
        const auto &id = m_cluster.workerIds[static_cast<std::size_t>(worker)];
        m_cluster.workers.setDisconnected(id, true);
        after(length, [this, id] { m_cluster.workers.setDisconnected(id, false); });
    }
    void unlist(int worker, Duration length)
    {
        m_cluster.unlistWorker(worker);
        after(length, [this, worker] { m_cluster.listWorker(worker); });
    }
    // A draining worker goes on as if it had announced nothing, is cut off with its runs, or leaves
    // and starts again.
    void drain(int worker, Duration length, Random &random)
    {
        m_cluster.listWorker(worker, "draining");
        const auto back = random.duration(100ms, 9s);
        switch (random.below(3)) {
        case 0:
            after(length, [this, worker] { m_cluster.listWorker(worker); });
            break;
        case 1:
            after(length, [this, worker, back, isUnlisted = random.chance(0.5)] {
                disconnect(worker, back);
                if (isUnlisted) {
                    m_cluster.unlistWorker(worker);
                }
            });
            after(length + back + 10ms, [this, worker] { m_cluster.listWorker(worker); });
            break;
        default:
            after(length, [this, worker, seed = random.below(1 << 30), back] {
                Random crashRandom(static_cast<std::uint32_t>(seed));
                crashWorker(worker, back, crashRandom);
            });
            break;
        }
    }
    // The worker's row disappears after three heartbeats and is written again after its restart.
    void crashWorker(int worker, Duration downTime, Random &random)
    {
        constexpr Duration expiry = 1500ms;
        const auto &id = m_cluster.workerIds[static_cast<std::size_t>(worker)];
        m_cluster.workers.crash(id, random.chance(0.5));
        if (random.chance(0.4)) {
            downTime = random.duration(20ms, 400ms);
        }
        if (downTime > expiry) {
            after(expiry, [this, worker] { m_cluster.unlistWorker(worker); });
        }
        after(downTime,
              [this, id] { m_cluster.workers.restart(id, toMilliseconds(m_cluster.clock.now().time_since_epoch())); });
        after(downTime + random.duration(0ms, 600ms), [this, worker] { m_cluster.listWorker(worker); });
    }

    Cluster &m_cluster;
};

} // namespace monsoonspool::execution::takeover
