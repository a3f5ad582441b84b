#include "bench/baselines.h"

#include <boost/random/uniform_int_distribution.hpp>

#include <algorithm>
#include <deque>
#include <optional>
#include <set>
#include <tuple>

namespace monsoonspool::bench {

namespace {

using routing::AttemptResult;

int totalHosts(const Simulation &simulation)
{
    int n = 0;
    for (const auto &it : simulation.scenario().regions) {
        n += it.entryHosts;
    }
    return std::max(1, n);
}

// Returns the region of entry host number `host`.
int regionOfHost(const Simulation &simulation, int host)
{
    int first = 0;
    const auto &regions = simulation.scenario().regions;
    for (std::size_t r = 0; r < regions.size(); ++r) {
        first += regions[r].entryHosts;
        if (host < first) {
            return static_cast<int>(r);
        }
    }
    return 0;
}

std::size_t randomIndex(Simulation &simulation, std::size_t n)
{
    return boost::random::uniform_int_distribution<std::size_t>(0, n - 1)(simulation.generator());
}

void deliverResult(Simulation &simulation, const SimulatedRequest &request, AttemptResult result)
{
    if (result == AttemptResult::Answered || result == AttemptResult::ServerError) {
        simulation.answer(request, request.id);
    } else {
        simulation.refuse(request,
                          routing::isCertainlyNotRun(result) ? ErrorKind::TargetUnreachable : ErrorKind::TargetFailed);
    }
}

class FixedSplit : public RequestRouter
{
public:
    explicit FixedSplit(Simulation &simulation)
        : m_simulation(simulation), m_hosts(static_cast<std::size_t>(totalHosts(simulation)))
    {
        for (std::size_t h = 0; h < m_hosts.size(); ++h) {
            const int region = regionOfHost(simulation, static_cast<int>(h));
            m_hosts[h].region = region;
            const int inRegion
                = std::max(1, simulation.scenario().regions[static_cast<std::size_t>(region)].entryHosts);
            std::size_t nth = 0;
            for (std::size_t t = 0; t < simulation.targets().size(); ++t) {
                const auto &target = simulation.targets()[t];
                if (target.region != region) {
                    continue;
                }
                // The remainder of the division is assigned to the hosts round-robin.
                const int turn = static_cast<int>((h + nth) % static_cast<std::size_t>(inRegion));
                const int extra = turn < target.slots % inRegion ? 1 : 0;
                const std::size_t slots = static_cast<std::size_t>(target.slots) / static_cast<std::size_t>(inRegion);
                m_hosts[h].freeSlots.insert(m_hosts[h].freeSlots.end(), slots + static_cast<std::size_t>(extra), t);
                ++nth;
            }
        }
    }

    void submit(const SimulatedRequest &request) override
    {
        auto &host = m_hosts[randomIndex(m_simulation, m_hosts.size())];
        host.waiting.push_back(request);
        dispatchWaiting(host);
    }

    void applyFault(const ScenarioFault &) override
    {
    }

private:
    struct Host
    {
        int region = 0;
        std::vector<std::size_t> freeSlots; // the target of each free slot
        std::deque<SimulatedRequest> waiting;
    };

    void dispatchWaiting(Host &host)
    {
        while (!host.waiting.empty() && !host.freeSlots.empty()) {
            const SimulatedRequest request = host.waiting.front();
            host.waiting.pop_front();
            if (m_simulation.now() >= request.deadline) {
                m_simulation.refuse(request, ErrorKind::DeadlineUnreachable);
                continue;
            }
            const std::size_t n = randomIndex(m_simulation, host.freeSlots.size());
            const std::size_t target = host.freeSlots[n];
            host.freeSlots[n] = host.freeSlots.back();
            host.freeSlots.pop_back();
            m_simulation.send(request, target, host.region, [this, &host, request, target](AttemptResult result) {
                host.freeSlots.push_back(target);
                deliverResult(m_simulation, request, result);
                dispatchWaiting(host);
            });
        }
    }

    Simulation &m_simulation;
    std::vector<Host> m_hosts;
};

class LeastOutstandingPerHost : public RequestRouter
{
public:
    explicit LeastOutstandingPerHost(Simulation &simulation)
        : m_simulation(simulation), m_hosts(static_cast<std::size_t>(totalHosts(simulation)))
    {
        for (std::size_t h = 0; h < m_hosts.size(); ++h) {
            m_hosts[h].region = regionOfHost(simulation, static_cast<int>(h));
            m_hosts[h].outstanding.resize(simulation.targets().size());
        }
    }

    void submit(const SimulatedRequest &request) override
    {
        auto &host = m_hosts[randomIndex(m_simulation, m_hosts.size())];
        const std::size_t start = randomIndex(m_simulation, host.outstanding.size());
        std::optional<std::size_t> best;
        for (std::size_t n = 0; n < host.outstanding.size(); ++n) {
            const std::size_t t = (start + n) % host.outstanding.size();
            const auto &target = m_simulation.targets()[t];
            const bool isEligible
                = target.region == host.region && target.pool == m_simulation.documentOf(request.flow).pool;
            if (isEligible && (!best || host.outstanding[t] < host.outstanding[*best])) {
                best = t;
            }
        }
        if (!best) {
            m_simulation.refuse(request, ErrorKind::NoTarget);
            return;
        }
        ++host.outstanding[*best];
        m_simulation.send(request, *best, host.region, [this, &host, request, target = *best](AttemptResult result) {
            --host.outstanding[target];
            deliverResult(m_simulation, request, result);
        });
    }

    void applyFault(const ScenarioFault &) override
    {
    }

private:
    struct Host
    {
        int region = 0;
        std::vector<int> outstanding;
    };
    Simulation &m_simulation;
    std::vector<Host> m_hosts;
};

class GlobalEarliestDeadlineFirst : public RequestRouter
{
public:
    explicit GlobalEarliestDeadlineFirst(Simulation &simulation)
        : m_simulation(simulation), m_usedSlots(simulation.targets().size())
    {
    }

    void submit(const SimulatedRequest &request) override
    {
        m_waiting.emplace(request.deadline, request.id, request);
        dispatchWaiting();
    }

    void applyFault(const ScenarioFault &) override
    {
        dispatchWaiting();
    }

private:
    struct Waiting
    {
        TimePoint deadline;
        GuestRequestId id;
        SimulatedRequest request;

        Waiting(TimePoint waitingDeadline, GuestRequestId waitingId, const SimulatedRequest &waitingRequest)
            : deadline(waitingDeadline), id(waitingId), request(waitingRequest)
        {
        }
        bool operator<(const Waiting &other) const
        {
            return std::tie(deadline, id) < std::tie(other.deadline, other.id);
        }
    };

    std::optional<std::size_t> freeTarget(const SimulatedRequest &request) const
    {
        std::optional<std::size_t> best;
        for (std::size_t n = 0; n < m_usedSlots.size(); ++n) {
            const auto &it = m_simulation.targets()[n];
            const bool isEligible = it.pool == m_simulation.documentOf(request.flow).pool && !it.isDead
                && !it.failsRequests && !it.isLeaving;
            if (!isEligible || m_usedSlots[n] >= it.slots) {
                continue;
            }
            if (!best || it.slowdown < m_simulation.targets()[*best].slowdown) {
                best = n;
            }
        }
        return best;
    }

    void dispatchWaiting()
    {
        while (!m_waiting.empty()) {
            const SimulatedRequest request = m_waiting.begin()->request;
            if (m_simulation.now() >= request.deadline) {
                m_waiting.erase(m_waiting.begin());
                m_simulation.refuse(request, ErrorKind::DeadlineUnreachable);
                continue;
            }
            const auto target = freeTarget(request);
            if (!target) {
                return;
            }
            m_waiting.erase(m_waiting.begin());
            ++m_usedSlots[*target];
            m_simulation.send(request, *target, m_simulation.targets()[*target].region,
                              [this, request, target = *target](AttemptResult result) {
                                  --m_usedSlots[target];
                                  deliverResult(m_simulation, request, result);
                                  dispatchWaiting();
                              });
        }
    }

    Simulation &m_simulation;
    std::vector<int> m_usedSlots;
    std::set<Waiting> m_waiting;
};

} // namespace

std::unique_ptr<RequestRouter> makeBaseline(std::string_view name, Simulation &simulation)
{
    if (name == "fixed-split") {
        return std::make_unique<FixedSplit>(simulation);
    }
    if (name == "least-outstanding") {
        return std::make_unique<LeastOutstandingPerHost>(simulation);
    }
    return std::make_unique<GlobalEarliestDeadlineFirst>(simulation);
}

} // namespace monsoonspool::bench
