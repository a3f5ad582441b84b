#include "bench/world.h"

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

// A target that fails everything does so after this time.
constexpr Duration FailureService = 1ms;
// An address behind which nothing listens refuses at once.
constexpr Duration RefusalDelay = 0ms;

constexpr std::uint64_t ArrivalSeedOffset = 7919;

} // namespace

World::World(Scenario scenario, std::uint64_t seed)
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

World::~World() = default;

void World::makeTargets()
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

HistoryRules World::rules() const
{
    HistoryRules rules;
    for (const auto &it : m_targets) {
        rules.slots[it.id] = it.slots;
    }
    return rules;
}

void World::run(const PathFactory &factory)
{
    m_path = factory(*this);
    scheduleFaults();
    for (const auto &phase : m_scenario.phases) {
        runPhase(phase);
    }
    m_settledAt = now();
    m_scheduler.runFor(m_scenario.settle);
}

void World::scheduleFaults()
{
    for (const auto &fault : m_scenario.faults) {
        m_scheduler.runAfter(fault.at, [this, fault] { inflict(fault); });
    }
}

void World::runPhase(const Phase &phase)
{
    m_phaseName = phase.name;
    m_isMeasured = phase.isMeasured;
    if (phase.isMeasured) {
        m_figures[phase.name].resize(m_scenario.flows.size());
    }
    const TimePoint end = now() + phase.length;
    for (std::size_t n = 0; n < phase.rates.size(); ++n) {
        scheduleArrival(static_cast<int>(n), phase.rates[n], end);
    }
    m_scheduler.runUntil(end);
}

void World::scheduleArrival(int flow, double rate, TimePoint phaseEnd)
{
    if (rate <= 0) {
        return;
    }
    const double seconds = boost::random::exponential_distribution<double>(rate)(m_arrivalGenerator);
    const auto gap = Duration(static_cast<std::int64_t>(seconds * 1e6));
    if (now() + gap >= phaseEnd) {
        return;
    }
    m_scheduler.runAfter(gap, [this, flow, rate, phaseEnd] {
        arrive(flow);
        scheduleArrival(flow, rate, phaseEnd);
    });
}

void World::arrive(int flow)
{
    const auto &load = m_scenario.flows[static_cast<std::size_t>(flow)];
    const auto &document = documentOf(flow);
    GuestCall call;
    call.id = m_nextId++;
    call.flow = flow;
    call.arrival = now();
    const auto *urgency = document.findClass(load.urgency);
    call.deadline = now() + (urgency ? urgency->deadline : 10s);
    const double mean = static_cast<double>(load.meanService.count());
    // The mean of a log-normal distribution is exp(m + s^2 / 2).
    const double m = std::log(mean) - load.sizeSpread * load.sizeSpread / 2;
    const double drawn = load.sizeSpread == 0
        ? mean
        : boost::random::lognormal_distribution<double>(m, load.sizeSpread)(m_arrivalGenerator);
    call.service = std::min(Duration(static_cast<std::int64_t>(drawn)), document.timeLimit / 2);
    call.region = drawRegion();
    record({HistoryEvent::Kind::Arrived, now(), call.id, {}, 0, Outcome::Answered, document.isIdempotent});
    if (m_isMeasured) {
        m_phaseOf[call.id] = m_phaseName;
        ++figuresOf(call).arrived;
        ++m_sent[m_phaseName].fresh;
    }
    m_scheduler.runAfter(ClientDelay, [this, call] { m_path->submit(call); });
}

// Guests are spread as the entry hosts are.
int World::drawRegion()
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

FlowFigures &World::figuresOf(const GuestCall &call)
{
    return m_figures[m_phaseOf[call.id]][static_cast<std::size_t>(call.flow)];
}

void World::record(HistoryEvent event)
{
    m_history.push_back(std::move(event));
}

Duration World::delayBetween(int a, int b) const
{
    return a == b ? NearDelay : FarDelay;
}

void World::send(const GuestCall &call, std::size_t index, int fromRegion, ResultHandler handler)
{
    auto &target = m_targets[index];
    const Duration way = delayBetween(fromRegion, target.region);
    if (const auto it = m_phaseOf.find(call.id); it != m_phaseOf.end()) {
        ++m_sent[it->second].sent;
        m_sent[it->second].farAttempts += fromRegion != target.region ? 1 : 0;
    }
    m_scheduler.runAfter(way, [this, call, index, way, handler = std::move(handler)]() mutable {
        auto &it = m_targets[index];
        if (it.isDead) {
            m_scheduler.runAfter(way + RefusalDelay,
                                 [handler = std::move(handler)] { handler(AttemptResult::ConnectFailed); });
            return;
        }
        record({HistoryEvent::Kind::Started, now(), call.id, it.id, 0, Outcome::Answered, false});
        if (it.running >= it.slots) {
            it.waiting.push_back([this, index, call, way, handler = std::move(handler)]() mutable {
                begin(index, call, way, std::move(handler));
            });
            return;
        }
        begin(index, call, way, std::move(handler));
    });
}

void World::begin(std::size_t index, const GuestCall &call, Duration back, ResultHandler handler)
{
    auto &target = m_targets[index];
    ++target.running;
    const bool isError = target.fails;
    const auto service
        = isError ? FailureService : std::chrono::duration_cast<Duration>(call.service * target.slowness);
    // A target ends every request within the time limit that it is told.
    const auto bounded = std::min(service, documentOf(call.flow).timeLimit);
    m_scheduler.runAfter(bounded, [this, index, call, back, isError, handler = std::move(handler)] {
        end(index, call, back, isError, handler);
    });
}

void World::end(std::size_t index, const GuestCall &call, Duration back, bool isError, const ResultHandler &handler)
{
    auto &target = m_targets[index];
    --target.running;
    record({HistoryEvent::Kind::Ended, now(), call.id, target.id, 0, Outcome::Answered, false});
    if (!target.waiting.empty()) {
        const auto next = std::move(target.waiting.front());
        target.waiting.pop_front();
        next();
    }
    const bool isBroken = target.isDead;
    m_scheduler.runAfter(back, [handler, isError, isBroken] {
        handler(isBroken      ? AttemptResult::ConnectionLost
                    : isError ? AttemptResult::ServerError
                              : AttemptResult::Answered);
    });
}

void World::answer(const GuestCall &call, GuestRequestId answerOf)
{
    m_scheduler.runAfter(ClientDelay, [this, call, answerOf] {
        record({HistoryEvent::Kind::Answered, now(), call.id, {}, answerOf, Outcome::Answered, false});
        if (!m_phaseOf.contains(call.id)) {
            return;
        }
        auto &figures = figuresOf(call);
        ++figures.answered;
        figures.inDeadline += now() <= call.deadline + ClientDelay ? 1 : 0;
        figures.latency.add(now() - call.arrival);
    });
}

void World::refuse(const GuestCall &call, ErrorKind kind)
{
    m_scheduler.runAfter(ClientDelay, [this, call, kind] {
        record({HistoryEvent::Kind::Refused, now(), call.id, {}, 0, errorInfo(kind).outcome, false});
        if (m_phaseOf.contains(call.id)) {
            ++figuresOf(call).refused[kind];
        }
    });
}

void World::forTargets(const WorldFault &fault, const std::function<void(Target &)> &f)
{
    // Counts through the regions in turn, so that a part of each is hit.
    const auto stride = std::max<std::size_t>(1, m_targets.size() / static_cast<std::size_t>(std::max(1, fault.count)));
    for (int n = 0; n < fault.count; ++n) {
        const auto index
            = (static_cast<std::size_t>(fault.first) + static_cast<std::size_t>(n) * stride) % m_targets.size();
        f(m_targets[index]);
    }
}

void World::inflict(const WorldFault &fault)
{
    using Kind = WorldFault::Kind;
    switch (fault.kind) {
    case Kind::SlowTargets:
        forTargets(fault, [&](Target &it) { it.slowness = fault.factor; });
        break;
    case Kind::FailTargets:
        forTargets(fault, [](Target &it) { it.fails = true; });
        break;
    case Kind::DeadTargets:
        forTargets(fault, [](Target &it) { it.isDead = true; });
        break;
    case Kind::LeaveTargets:
        forTargets(fault, [&](Target &it) {
            it.isLeaving = true;
            record({HistoryEvent::Kind::Leaving, now(), 0, it.id, 0, Outcome::Answered, false});
        });
        break;
    case Kind::HealTargets:
        forTargets(fault, [](Target &it) {
            it.slowness = 1;
            it.fails = false;
            it.isDead = false;
        });
        break;
    default:
        break;
    }
    m_path->inflict(fault);
}

} // namespace monsoonspool::bench
