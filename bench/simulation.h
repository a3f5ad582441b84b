#pragma once

#include "bench/history.h"
#include "bench/scenario.h"
#include "metrics/latencyhistogram.h"
#include "ports/virtualscheduler.h"
#include "routing/targethealth.h"

#include <boost/random/mersenne_twister.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace monsoonspool::bench {

struct SimulatedRequest
{
    GuestRequestId id = 0;
    int flow = 0;
    int region = 0; // of the guest
    TimePoint arrival;
    TimePoint deadline;
    Duration serviceTime{0}; // at a healthy target
};

// Routes guests' requests to targets: the system under test, or a baseline.
class RequestRouter
{
public:
    virtual ~RequestRouter() = default;

    // Accepts a request that has just arrived at the entry hosts.
    virtual void submit(const SimulatedRequest &request) = 0;

    // Applies the part of a fault that concerns entry hosts, the store or the
    // network. Called after the simulation has applied it to the targets.
    virtual void applyFault(const ScenarioFault &fault) = 0;
};

// Statistics of one flow, summed over the phases of one name.
struct FlowStats
{
    std::uint64_t arrived = 0;
    std::uint64_t answered = 0;
    std::uint64_t inDeadline = 0;
    std::map<ErrorKind, std::uint64_t> refused;
    metrics::LatencyHistogram latency; // of answers
};

struct AttemptStats
{
    std::uint64_t requests = 0;
    std::uint64_t attempts = 0; // attempts at targets
    std::uint64_t farAttempts = 0;
};

// Simulates guests and targets in virtual time. A target runs as many requests
// concurrently as it has slots and queues the rest; requests arrive as a Poisson
// process with the rates of the phases. Equal seeds give equal runs.
class Simulation
{
public:
    // One-way delays.
    static constexpr Duration ClientDelay = 1ms;
    static constexpr Duration NearDelay = 1ms;
    static constexpr Duration FarDelay = 12ms;

    Simulation(Scenario scenario, std::uint64_t seed);
    ~Simulation();
    Simulation(const Simulation &) = delete;
    Simulation &operator=(const Simulation &) = delete;

    using RouterFactory = std::function<std::unique_ptr<RequestRouter>(Simulation &)>;

    // Runs the scenario with the router that `factory` creates.
    void run(const RouterFactory &factory);

    const Scenario &scenario() const
    {
        return m_scenario;
    }
    ports::VirtualScheduler &scheduler()
    {
        return m_scheduler;
    }
    TimePoint now() const
    {
        return m_scheduler.now();
    }
    const documents::ServiceDocument &documentOf(int flow) const
    {
        return m_documentOfFlow[static_cast<std::size_t>(flow)];
    }
    const std::vector<documents::ServiceDocument> &documents() const
    {
        return m_documents;
    }

    struct Target
    {
        TargetId id;
        PoolName pool;
        int region = 0;
        int slots = 0;
        int connections = 0;
        bool isLeaving = false;
        bool isDead = false;
        bool failsRequests = false;
        double slowdown = 1;
        int running = 0;
        std::deque<std::function<void()>> waiting;
    };
    const std::vector<Target> &targets() const
    {
        return m_targets;
    }
    std::size_t indexOf(const TargetId &id) const
    {
        return m_indexOfTarget.at(id);
    }

    using ResultHandler = std::function<void(routing::AttemptResult)>;

    // Sends a request to a target from a host in `fromRegion`. Calls `handler` once,
    // when the answer or the failure has reached the host.
    void send(const SimulatedRequest &request, std::size_t target, int fromRegion, ResultHandler handler);

    // Delivers a complete answer or an error to the guest. `answerOf` identifies the
    // request that the answer belongs to.
    void answer(const SimulatedRequest &request, GuestRequestId answerOf);
    void refuse(const SimulatedRequest &request, ErrorKind kind);

    const std::map<std::string, std::vector<FlowStats>> &flowStats() const
    {
        return m_flowStats;
    }
    const std::map<std::string, AttemptStats> &attemptStats() const
    {
        return m_attemptStats;
    }
    const std::vector<HistoryEvent> &history() const
    {
        return m_history;
    }
    HistoryRules rules() const;

    // Requests that arrived before this time must have been answered or refused.
    TimePoint settledAt() const
    {
        return m_settledAt;
    }
    boost::random::mt19937_64 &generator()
    {
        return m_generator;
    }

private:
    void makeTargets();
    void scheduleFaults();
    void runPhase(const Phase &phase);
    void scheduleArrival(int flow, double rate, TimePoint phaseEnd);
    void arrive(int flow);
    int randomRegion();
    void applyFault(const ScenarioFault &fault);
    void forEachAffectedTarget(const ScenarioFault &fault, const std::function<void(Target &)> &f);
    void startService(std::size_t target, const SimulatedRequest &request, Duration returnDelay, ResultHandler handler);
    void endService(std::size_t target, const SimulatedRequest &request, Duration returnDelay, bool isError,
                    const ResultHandler &handler);
    Duration delayBetween(int fromRegion, int toRegion) const;
    FlowStats &statsOf(const SimulatedRequest &request);
    void record(HistoryEvent event);

    Scenario m_scenario;
    ports::VirtualScheduler m_scheduler;
    boost::random::mt19937_64 m_generator;
    boost::random::mt19937_64 m_arrivalGenerator;
    std::vector<documents::ServiceDocument> m_documents;
    std::vector<documents::ServiceDocument> m_documentOfFlow;
    std::vector<Target> m_targets;
    std::unordered_map<TargetId, std::size_t> m_indexOfTarget;
    std::unique_ptr<RequestRouter> m_router;
    std::string m_phaseName;
    bool m_isMeasured = false;
    std::unordered_map<GuestRequestId, std::string> m_measuredPhaseOf; // only requests of measured phases
    std::map<std::string, std::vector<FlowStats>> m_flowStats;
    std::map<std::string, AttemptStats> m_attemptStats;
    std::vector<HistoryEvent> m_history;
    GuestRequestId m_nextId = 1;
    TimePoint m_settledAt;
};

} // namespace monsoonspool::bench
