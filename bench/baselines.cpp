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

std::size_t draw(Simulation &simulation, std::size_t n)
{
    return boost::random::uniform_int_distribution<std::size_t>(0, n - 1)(simulation.generator());
}

void tell(Simulation &simulation, const GuestCall &call, AttemptResult result)
{
    if (result == AttemptResult::Answered || result == AttemptResult::ServerError) {
        simulation.answer(call, call.id);
    } else {
        simulation.refuse(call,
                          routing::isCertainlyNotRun(result) ? ErrorKind::TargetUnreachable : ErrorKind::TargetFailed);
    }
}

class FixedSplit : public RequestPath
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
                // What cannot be divided goes to the hosts in turn.
                const int turn = static_cast<int>((h + nth) % static_cast<std::size_t>(inRegion));
                const int extra = turn < target.slots % inRegion ? 1 : 0;
                const std::size_t slots = static_cast<std::size_t>(target.slots) / static_cast<std::size_t>(inRegion);
                m_hosts[h].free.insert(m_hosts[h].free.end(), slots + static_cast<std::size_t>(extra), t);
                ++nth;
            }
        }
    }

    void submit(const GuestCall &call) override
    {
        auto &host = m_hosts[draw(m_simulation, m_hosts.size())];
        host.waiting.push_back(call);
        pump(host);
    }

    void applyFault(const ScenarioFault &) override
    {
    }

private:
    struct Host
    {
        int region = 0;
        std::vector<std::size_t> free; // one entry for each free slot
        std::deque<GuestCall> waiting;
    };

    void pump(Host &host)
    {
        while (!host.waiting.empty() && !host.free.empty()) {
            const GuestCall call = host.waiting.front();
            host.waiting.pop_front();
            if (m_simulation.now() >= call.deadline) {
                m_simulation.refuse(call, ErrorKind::DeadlineUnreachable);
                continue;
            }
            const std::size_t n = draw(m_simulation, host.free.size());
            const std::size_t target = host.free[n];
            host.free[n] = host.free.back();
            host.free.pop_back();
            m_simulation.send(call, target, host.region, [this, &host, call, target](AttemptResult result) {
                host.free.push_back(target);
                tell(m_simulation, call, result);
                pump(host);
            });
        }
    }

    Simulation &m_simulation;
    std::vector<Host> m_hosts;
};

class LeastOutstandingUnshared : public RequestPath
{
public:
    explicit LeastOutstandingUnshared(Simulation &simulation)
        : m_simulation(simulation), m_hosts(static_cast<std::size_t>(totalHosts(simulation)))
    {
        for (std::size_t h = 0; h < m_hosts.size(); ++h) {
            m_hosts[h].region = regionOfHost(simulation, static_cast<int>(h));
            m_hosts[h].outstanding.resize(simulation.targets().size());
        }
    }

    void submit(const GuestCall &call) override
    {
        auto &host = m_hosts[draw(m_simulation, m_hosts.size())];
        const std::size_t start = draw(m_simulation, host.outstanding.size());
        std::optional<std::size_t> best;
        for (std::size_t n = 0; n < host.outstanding.size(); ++n) {
            const std::size_t t = (start + n) % host.outstanding.size();
            const auto &target = m_simulation.targets()[t];
            const bool isUsable
                = target.region == host.region && target.pool == m_simulation.documentOf(call.flow).pool;
            if (isUsable && (!best || host.outstanding[t] < host.outstanding[*best])) {
                best = t;
            }
        }
        if (!best) {
            m_simulation.refuse(call, ErrorKind::NoTarget);
            return;
        }
        ++host.outstanding[*best];
        m_simulation.send(call, *best, host.region, [this, &host, call, target = *best](AttemptResult result) {
            --host.outstanding[target];
            tell(m_simulation, call, result);
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

class Ideal : public RequestPath
{
public:
    explicit Ideal(Simulation &simulation) : m_simulation(simulation), m_used(simulation.targets().size())
    {
    }

    void submit(const GuestCall &call) override
    {
        m_waiting.emplace(call.deadline, call.id, call);
        pump();
    }

    void applyFault(const ScenarioFault &) override
    {
        pump();
    }

private:
    struct Waiting
    {
        TimePoint deadline;
        GuestRequestId id;
        GuestCall call;

        Waiting(TimePoint waitingDeadline, GuestRequestId waitingId, const GuestCall &waitingCall)
            : deadline(waitingDeadline), id(waitingId), call(waitingCall)
        {
        }
        bool operator<(const Waiting &other) const
        {
            return std::tie(deadline, id) < std::tie(other.deadline, other.id);
        }
    };

    std::optional<std::size_t> freeTarget(const GuestCall &call) const
    {
        std::optional<std::size_t> best;
        for (std::size_t n = 0; n < m_used.size(); ++n) {
            const auto &it = m_simulation.targets()[n];
            const bool isUsable
                = it.pool == m_simulation.documentOf(call.flow).pool && !it.isDead && !it.fails && !it.isLeaving;
            if (!isUsable || m_used[n] >= it.slots) {
                continue;
            }
            if (!best || it.slowness < m_simulation.targets()[*best].slowness) {
                best = n;
            }
        }
        return best;
    }

    void pump()
    {
        while (!m_waiting.empty()) {
            const GuestCall call = m_waiting.begin()->call;
            if (m_simulation.now() >= call.deadline) {
                m_waiting.erase(m_waiting.begin());
                m_simulation.refuse(call, ErrorKind::DeadlineUnreachable);
                continue;
            }
            const auto target = freeTarget(call);
            if (!target) {
                return;
            }
            m_waiting.erase(m_waiting.begin());
            ++m_used[*target];
            m_simulation.send(call, *target, m_simulation.targets()[*target].region,
                              [this, call, target = *target](AttemptResult result) {
                                  --m_used[target];
                                  tell(m_simulation, call, result);
                                  pump();
                              });
        }
    }

    Simulation &m_simulation;
    std::vector<int> m_used;
    std::set<Waiting> m_waiting;
};

} // namespace

std::unique_ptr<RequestPath> makeBaseline(std::string_view name, Simulation &simulation)
{
    if (name == "fixed-split") {
        return std::make_unique<FixedSplit>(simulation);
    }
    if (name == "least-outstanding") {
        return std::make_unique<LeastOutstandingUnshared>(simulation);
    }
    return std::make_unique<Ideal>(simulation);
}

} // namespace monsoonspool::bench
