#include "bench/simulation.h"

#include "codec/documentjson.h"

#include <boost/random/exponential_distribution.hpp>
#include <boost/random/lognormal_distribution.hpp>
#include <boost/random/uniform_int_distribution.hpp>

#include <algorithm>
#include <cmath>
#include <set>

namespace monsoonspool::bench {

namespace {

using routing::AttemptResult;

// Service time of a target that fails every request.
constexpr Duration FailureServiceTime = 1ms;
// A closed port refuses a connection without delay.
constexpr Duration RefusalDelay = 0ms;

constexpr std::uint64_t ArrivalSeedOffset = 7919;

} // namespace

Simulation::Simulation(Scenario scenario, std::uint64_t seed)
    : m_scenario(std::move(scenario)), m_generator(seed), m_arrivalGenerator(seed + ArrivalSeedOffset)
{
    for (const auto &text : m_scenario.documents) {
        m_documents.push_back(codec::decodeDocument(text).document);
    }
    for (const auto &flow : m_scenario.flows) {
        const auto it = std::ranges::find_if(
            m_documents, [&](const auto &document) { return document.service.text() == flow.service; });
        m_documentOfFlow.push_back(it == m_documents.end() ? documents::ServiceDocument() : *it);
    }
    makeTargets();
}

Simulation::~Simulation() = default;

void Simulation::makeTargets()
{
    std::set<PoolName> pools;
    for (const auto &document : m_documents) {
        if (!pools.insert(document.pool).second) {
            continue;
        }
        for (std::size_t r = 0; r < m_scenario.regions.size(); ++r) {
            for (int n = 0; n < m_scenario.regions[r].targets; ++n) {
                Target target;
                target.id = TargetId(document.pool.text() + "-" + m_scenario.regions[r].name + "-" + std::to_string(n));
                target.pool = document.pool;
                target.region = static_cast<int>(r);
                target.slots = document.slotsPerTarget;
                target.connections = document.connectionsPerTarget;
                m_indexOfTarget[target.id] = m_targets.size();
                m_targets.push_back(std::move(target));
            }
        }
    }
}

HistoryRules Simulation::rules() const
{
    HistoryRules rules;
    for (const auto &it : m_targets) {
        rules.slots[it.id] = it.slots;
    }
    return rules;
}

void Simulation::run(const RouterFactory &factory)
{
    m_router = factory(*this);
    scheduleFaults();
    for (const auto &phase : m_scenario.phases) {
        runPhase(phase);
    }
    m_settledAt = now();
    m_scheduler.runFor(m_scenario.settleTime);
}

void Simulation::scheduleFaults()
{
    for (const auto &fault : m_scenario.faults) {
        m_scheduler.runAfter(fault.at, [this, fault] { applyFault(fault); });
    }
}

void Simulation::runPhase(const Phase &phase)
{
    m_phaseName = phase.name;
    m_isMeasured = phase.isMeasured;
    if (phase.isMeasured) {
        m_flowStats[phase.name].resize(m_scenario.flows.size());
    }
    const TimePoint end = now() + phase.length;
    for (std::size_t n = 0; n < phase.rates.size(); ++n) {
        scheduleArrival(static_cast<int>(n), phase.rates[n], end);
    }
    m_scheduler.runUntil(end);
}

void Simulation::scheduleArrival(int flow, double rate, TimePoint phaseEnd)
{
    if (rate <= 0) {
        return;
    }
    const double seconds = boost::random::exponential_distribution<double>(rate)(m_arrivalGenerator);
    const auto interval = Duration(static_cast<std::int64_t>(seconds * 1e6));
    if (now() + interval >= phaseEnd) {
        return;
    }
    m_scheduler.runAfter(interval, [this, flow, rate, phaseEnd] {
        arrive(flow);
        scheduleArrival(flow, rate, phaseEnd);
    });
}

void Simulation::arrive(int flow)
{
    const auto &load = m_scenario.flows[static_cast<std::size_t>(flow)];
    const auto &document = documentOf(flow);
    SimulatedRequest request;
    request.id = m_nextId++;
    request.flow = flow;
    request.arrival = now();
    const auto *urgency = document.findClass(load.urgency);
    request.deadline = now() + (urgency ? urgency->deadline : 10s);
    const double mean = static_cast<double>(load.meanServiceTime.count());
    // The mean of a log-normal distribution is exp(m + s^2 / 2).
    const double m = std::log(mean) - load.sizeSpread * load.sizeSpread / 2;
    const double drawn = load.sizeSpread == 0
        ? mean
        : boost::random::lognormal_distribution<double>(m, load.sizeSpread)(m_arrivalGenerator);
    request.serviceTime = std::min(Duration(static_cast<std::int64_t>(drawn)), document.timeLimit / 2);
    request.region = randomRegion();
    record({HistoryEvent::Kind::Arrived, now(), request.id, {}, 0, Outcome::Answered, document.isIdempotent});
    if (m_isMeasured) {
        m_measuredPhaseOf[request.id] = m_phaseName;
        ++statsOf(request).arrived;
        ++m_attemptStats[m_phaseName].requests;
    }
    m_scheduler.runAfter(ClientDelay, [this, request] { m_router->submit(request); });
}

// Guests are distributed over the regions in proportion to the entry hosts.
int Simulation::randomRegion()
{
    int hosts = 0;
    for (const auto &it : m_scenario.regions) {
        hosts += it.entryHosts;
    }
    int n = boost::random::uniform_int_distribution<int>(0, std::max(0, hosts - 1))(m_arrivalGenerator);
    for (std::size_t r = 0; r < m_scenario.regions.size(); ++r) {
        n -= m_scenario.regions[r].entryHosts;
        if (n < 0) {
            return static_cast<int>(r);
        }
    }
    return 0;
}

FlowStats &Simulation::statsOf(const SimulatedRequest &request)
{
    return m_flowStats[m_measuredPhaseOf[request.id]][static_cast<std::size_t>(request.flow)];
}

void Simulation::record(HistoryEvent event)
{
    m_history.push_back(std::move(event));
}

Duration Simulation::delayBetween(int fromRegion, int toRegion) const
{
    return fromRegion == toRegion ? NearDelay : FarDelay;
}

void Simulation::send(const SimulatedRequest &request, std::size_t index, int fromRegion, ResultHandler handler)
{
    auto &target = m_targets[index];
    const Duration oneWayDelay = delayBetween(fromRegion, target.region);
    if (const auto it = m_measuredPhaseOf.find(request.id); it != m_measuredPhaseOf.end()) {
        ++m_attemptStats[it->second].attempts;
        m_attemptStats[it->second].farAttempts += fromRegion != target.region ? 1 : 0;
    }
    m_scheduler.runAfter(oneWayDelay, [this, request, index, oneWayDelay, handler = std::move(handler)]() mutable {
        auto &it = m_targets[index];
        if (it.isDead) {
            m_scheduler.runAfter(oneWayDelay + RefusalDelay,
                                 [handler = std::move(handler)] { handler(AttemptResult::ConnectFailed); });
            return;
        }
        record({HistoryEvent::Kind::Started, now(), request.id, it.id, 0, Outcome::Answered, false});
        if (it.running >= it.slots) {
            it.waiting.push_back([this, index, request, oneWayDelay, handler = std::move(handler)]() mutable {
                startService(index, request, oneWayDelay, std::move(handler));
            });
            return;
        }
        startService(index, request, oneWayDelay, std::move(handler));
    });
}

void Simulation::startService(std::size_t index, const SimulatedRequest &request, Duration returnDelay,
                              ResultHandler handler)
{
    auto &target = m_targets[index];
    ++target.running;
    const bool isError = target.failsRequests;
    const auto serviceTime
        = isError ? FailureServiceTime : std::chrono::duration_cast<Duration>(request.serviceTime * target.slowdown);
    // A target ends every request within the time limit of its service.
    const auto bounded = std::min(serviceTime, documentOf(request.flow).timeLimit);
    m_scheduler.runAfter(bounded, [this, index, request, returnDelay, isError, handler = std::move(handler)] {
        endService(index, request, returnDelay, isError, handler);
    });
}

void Simulation::endService(std::size_t index, const SimulatedRequest &request, Duration returnDelay, bool isError,
                            const ResultHandler &handler)
{
    auto &target = m_targets[index];
    --target.running;
    record({HistoryEvent::Kind::Ended, now(), request.id, target.id, 0, Outcome::Answered, false});
    if (!target.waiting.empty()) {
        const auto next = std::move(target.waiting.front());
        target.waiting.pop_front();
        next();
    }
    const bool isConnectionLost = target.isDead;
    m_scheduler.runAfter(returnDelay, [handler, isError, isConnectionLost] {
        handler(isConnectionLost ? AttemptResult::ConnectionLost
                    : isError    ? AttemptResult::ServerError
                                 : AttemptResult::Answered);
    });
}

void Simulation::answer(const SimulatedRequest &request, GuestRequestId answerOf)
{
    m_scheduler.runAfter(ClientDelay, [this, request, answerOf] {
        record({HistoryEvent::Kind::Answered, now(), request.id, {}, answerOf, Outcome::Answered, false});
        if (!m_measuredPhaseOf.contains(request.id)) {
            return;
        }
        auto &stats = statsOf(request);
        ++stats.answered;
        stats.inDeadline += now() <= request.deadline + ClientDelay ? 1 : 0;
        stats.latency.add(now() - request.arrival);
    });
}

void Simulation::refuse(const SimulatedRequest &request, ErrorKind kind)
{
    m_scheduler.runAfter(ClientDelay, [this, request, kind] {
        record({HistoryEvent::Kind::Refused, now(), request.id, {}, 0, errorInfo(kind).outcome, false});
        if (m_measuredPhaseOf.contains(request.id)) {
            ++statsOf(request).refused[kind];
        }
    });
}

void Simulation::forEachAffectedTarget(const ScenarioFault &fault, const std::function<void(Target &)> &f)
{
    // Targets are ordered by pool and region; the stride spreads the affected ones
    // over all regions.
    const auto stride = std::max<std::size_t>(1, m_targets.size() / static_cast<std::size_t>(std::max(1, fault.count)));
    for (int n = 0; n < fault.count; ++n) {
        const auto index
            = (static_cast<std::size_t>(fault.first) + static_cast<std::size_t>(n) * stride) % m_targets.size();
        f(m_targets[index]);
    }
}

void Simulation::applyFault(const ScenarioFault &fault)
{
    using Kind = ScenarioFault::Kind;
    switch (fault.kind) {
    case Kind::SlowTargets:
        forEachAffectedTarget(fault, [&](Target &it) { it.slowdown = fault.factor; });
        break;
    case Kind::FailTargets:
        forEachAffectedTarget(fault, [](Target &it) { it.failsRequests = true; });
        break;
    case Kind::DeadTargets:
        forEachAffectedTarget(fault, [](Target &it) { it.isDead = true; });
        break;
    case Kind::LeaveTargets:
        forEachAffectedTarget(fault, [&](Target &it) {
            it.isLeaving = true;
            record({HistoryEvent::Kind::Leaving, now(), 0, it.id, 0, Outcome::Answered, false});
        });
        break;
    case Kind::HealTargets:
        forEachAffectedTarget(fault, [](Target &it) {
            it.slowdown = 1;
            it.failsRequests = false;
            it.isDead = false;
        });
        break;
    default:
        break;
    }
    m_router->applyFault(fault);
}

} // namespace monsoonspool::bench
