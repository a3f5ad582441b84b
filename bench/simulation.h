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

// A guest's request on its way.
struct GuestCall
{
    GuestRequestId id = 0;
    int flow = 0;
    int region = 0; // of the guest
    TimePoint arrival;
    TimePoint deadline;
    Duration service{0}; // at a healthy target
};

// What stands between guests and targets: the system, or a baseline.
class RequestPath
{
public:
    virtual ~RequestPath() = default;

    // Takes in a request that has just arrived.
    virtual void submit(const GuestCall &call) = 0;

    // Takes in a fault that is not the targets' own.
    virtual void applyFault(const ScenarioFault &fault) = 0;
};

// Figures of one flow in the phases of one name.
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
    std::uint64_t fresh = 0;
    std::uint64_t sent = 0; // attempts at targets
    std::uint64_t farAttempts = 0;
};

// Guests and targets in virtual time. Targets run up to their slots at once and
// queue what is beyond; guests arrive at random with the rates of the phases.
// Equal seeds give equal runs.
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

    using PathFactory = std::function<std::unique_ptr<RequestPath>(Simulation &)>;

    // Runs the scenario on the path that `factory` makes.
    void run(const PathFactory &factory);

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
        bool fails = false;
        double slowness = 1;
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

    // Sends a request to a target from a host in `fromRegion`; calls `handler`
    // once, when the answer or the failure is back at the host.
    void send(const GuestCall &call, std::size_t target, int fromRegion, ResultHandler handler);

    // Tells the guest how its request ended. Whole answers carry the request that
    // they belong to.
    void answer(const GuestCall &call, GuestRequestId answerOf);
    void refuse(const GuestCall &call, ErrorKind kind);

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

    // Arrivals before this time must have ended.
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
    int drawRegion();
    void applyFault(const ScenarioFault &fault);
    void forTargets(const ScenarioFault &fault, const std::function<void(Target &)> &f);
    void begin(std::size_t target, const GuestCall &call, Duration back, ResultHandler handler);
    void end(std::size_t target, const GuestCall &call, Duration back, bool isError, const ResultHandler &handler);
    Duration delayBetween(int a, int b) const;
    FlowStats &statsOf(const GuestCall &call);
    void record(HistoryEvent event);

    Scenario m_scenario;
    ports::VirtualScheduler m_scheduler;
    boost::random::mt19937_64 m_generator;
    boost::random::mt19937_64 m_arrivalGenerator;
    std::vector<documents::ServiceDocument> m_documents;
    std::vector<documents::ServiceDocument> m_documentOfFlow;
    std::vector<Target> m_targets;
    std::unordered_map<TargetId, std::size_t> m_indexOfTarget;
    std::unique_ptr<RequestPath> m_path;
    std::string m_phaseName;
    bool m_isMeasured = false;
    std::unordered_map<GuestRequestId, std::string> m_phaseOf; // measured requests
    std::map<std::string, std::vector<FlowStats>> m_flowStats;
    std::map<std::string, AttemptStats> m_attemptStats;
    std::vector<HistoryEvent> m_history;
    GuestRequestId m_nextId = 1;
    TimePoint m_settledAt;
};

} // namespace monsoonspool::bench
