#include "routing/dispatcher.h"

#include <boost/random/uniform_01.hpp>

#include <algorithm>
#include <cmath>

namespace monsoonspool::routing {

namespace {

// Slots requested in addition to those in use, as a fraction of these, so that the
// next requests need not wait for an offer.
constexpr double ReserveFraction = 0.25;
constexpr int MinReserve = 2;
// Maximum number of queued requests that count towards the requested slots.
constexpr int MaxQueuedDemand = 512;
constexpr Duration MinRetryAfter = 100ms;

} // namespace

Dispatcher::Dispatcher(PoolPlan plan, grants::HolderId holder, RegionName region, const DispatchPolicy &policy)
    : m_holder(std::move(holder)), m_region(std::move(region)), m_near(plan.flows, policy.discipline, false),
      m_far(plan.flows, policy.discipline, true), m_chooser(makeTargetChooser(policy.chooser, policy.seed)),
      m_retryBudget(plan.retryBudget), m_generator(policy.seed)
{
    setPlan(std::move(plan));
}

void Dispatcher::setPlan(PoolPlan plan)
{
    m_plan = std::move(plan);
    m_near.queue().setFlows(m_plan.flows);
    m_far.queue().setFlows(m_plan.flows);
    m_retryBudget.setFraction(m_plan.retryBudget);
    for (const auto &region : m_plan.regions) {
        auto &tier = region == m_region ? m_near : m_far;
        tier.addRegion({m_plan.pool, region}, m_holder);
    }
}

void Dispatcher::setAccepting(std::span<const TargetId> targets)
{
    m_health.setAccepting(targets);
}

std::optional<admission::FlowIndex> Dispatcher::findFlow(const ServiceName &service, std::string_view urgency) const
{
    return m_near.queue().findFlow(service, urgency);
}

Result<std::optional<Assignment>> Dispatcher::submit(const DispatchRequest &request, TimePoint now)
{
    m_retryBudget.deposit();
    return admit(request, TargetId(), now);
}

Result<std::optional<Assignment>> Dispatcher::retry(const DispatchRequest &request, const TargetId &failedTarget,
                                                    TimePoint now)
{
    if (now >= request.deadline) {
        return fail(ErrorKind::DeadlineUnreachable, "deadline has passed");
    }
    if (!m_retryBudget.trySpend()) {
        return fail(ErrorKind::RetryBudgetSpent, "retry budget of the pool is exhausted");
    }
    return admit(request, failedTarget, now);
}

Duration Dispatcher::delayBeforeRetry(int attempt)
{
    return retryDelay(attempt, boost::random::uniform_01<double>()(m_generator));
}

void Dispatcher::detectPause(TimePoint now)
{
    if (m_lastCallAt != TimePoint{} && now - m_lastCallAt >= PauseLimit) {
        m_mustConfirmTargets = true;
    }
    m_lastCallAt = std::max(m_lastCallAt, now);
}

Result<std::optional<Assignment>> Dispatcher::admit(const DispatchRequest &request, const TargetId &avoid,
                                                    TimePoint now)
{
    detectPause(now);
    if (now >= request.deadline) {
        return fail(ErrorKind::DeadlineUnreachable, "deadline has passed");
    }
    const bool hasNear = !m_near.holders().empty();
    const bool hasFar = !m_far.holders().empty();
    if (!hasNear && !hasFar) {
        return fail(ErrorKind::NoTarget, "pool \"" + m_plan.pool.text() + "\" has no targets");
    }
    if (!hasNear) {
        return admitTo(m_far, request, avoid, now);
    }
    if (!hasFar) {
        return admitTo(m_near, request, avoid, now);
    }
    bool isRefusedNear = false;
    auto near = handleFailure([&] { return admitTo(m_near, request, avoid, now); },
                              [&](const Failure &) {
                                  isRefusedNear = true;
                                  return std::optional<Assignment>();
                              });
    if (!isRefusedNear) {
        return near;
    }
    return admitTo(m_far, request, avoid, now);
}

Result<std::optional<Assignment>> Dispatcher::admitTo(SlotTier &tier, const DispatchRequest &request,
                                                      const TargetId &avoid, TimePoint now)
{
    if (!m_mustConfirmTargets
        && tier.queue().mayBypassQueue(request.flow, tier.heldCount(), tier.freeCount(m_health, now))) {
        if (auto started = tryStart(tier, request, avoid, now)) {
            return started;
        }
    }
    BOOST_LEAF_CHECK(tier.queue().push({request.id, request.flow, request.arrival, request.deadline}, now));
    if (!avoid.isEmpty()) {
        m_avoidedTargets[request.id] = avoid;
    }
    return std::optional<Assignment>();
}

std::optional<Assignment> Dispatcher::tryStart(SlotTier &tier, const DispatchRequest &request, const TargetId &avoid,
                                               TimePoint now)
{
    auto slot = tier.tryAcquire(*m_chooser, m_health, avoid, now);
    if (!slot) {
        return std::nullopt;
    }
    tier.queue().recordStart(request.flow, now);
    return Assignment{request.id, request.flow, std::move(*slot), &tier == &m_far, now, now + m_plan.timeLimit};
}

void Dispatcher::finish(const Assignment &assignment, AttemptResult result, TimePoint now)
{
    auto &tier = assignment.isFar ? m_far : m_near;
    const Duration took = now - assignment.startedAt;
    m_health.recordResult(assignment.slot.target, result, took, tier.queue().meanService(assignment.flow), now);
    tier.queue().recordEnd(assignment.flow, took, result == AttemptResult::Answered);
    if (mayStillRun(result) && now < assignment.endBy) {
        m_possiblyRunning.push_back(assignment);
        return;
    }
    tier.release(assignment.slot);
}

void Dispatcher::freeOverdue(TimePoint now)
{
    m_health.decaySlowness(now);
    std::erase_if(m_possiblyRunning, [&](const Assignment &it) {
        if (now < it.endBy) {
            return false;
        }
        (it.isFar ? m_far : m_near).release(it.slot);
        return true;
    });
}

bool Dispatcher::cancel(admission::RequestId id)
{
    m_avoidedTargets.erase(id);
    return m_near.queue().remove(id) || m_far.queue().remove(id);
}

std::vector<Assignment> Dispatcher::startWaiting(TimePoint now)
{
    detectPause(now);
    std::vector<Assignment> started;
    if (m_mustConfirmTargets) {
        return started;
    }
    startWaitingInTier(m_near, started, now);
    startWaitingInTier(m_far, started, now);
    return started;
}

void Dispatcher::startWaitingInTier(SlotTier &tier, std::vector<Assignment> &started, TimePoint now)
{
    while (tier.freeCount(m_health, now) > 0) {
        const auto next = tier.queue().pop(tier.heldCount(), now);
        if (!next) {
            return;
        }
        const auto avoided = m_avoidedTargets.find(next->id);
        const TargetId avoid = avoided == m_avoidedTargets.end() ? TargetId() : avoided->second;
        auto assignment = tryStart(tier, {next->id, next->flow, next->arrival, next->deadline}, avoid, now);
        if (!assignment) {
            tier.queue().requeue(*next);
            return;
        }
        m_avoidedTargets.erase(next->id);
        started.push_back(std::move(*assignment));
    }
}

std::vector<Refusal> Dispatcher::refuseUnreachable(TimePoint now)
{
    std::vector<Refusal> refused;
    for (auto *tier : {&m_near, &m_far}) {
        for (const auto &it : tier->queue().removeUnreachable(now)) {
            m_avoidedTargets.erase(it.id);
            refused.push_back({it.id, ErrorKind::DeadlineUnreachable});
        }
    }
    return refused;
}

int Dispatcher::demandOf(const SlotTier &tier) const
{
    const int waiting = std::min(tier.queue().waitingCount(), MaxQueuedDemand);
    const int inUse = tier.inUseCount();
    const bool isFar = &tier == &m_far;
    const int reserve = isFar ? 0 : std::max(MinReserve, static_cast<int>(std::ceil(inUse * ReserveFraction)));
    return inUse + waiting + reserve;
}

std::vector<grants::SlotRequest> Dispatcher::dueRequests(bool isLeaving, TimePoint now)
{
    detectPause(now);
    std::vector<grants::SlotRequest> requests;
    for (auto *tier : {&m_near, &m_far}) {
        const int wanted = demandOf(*tier);
        for (auto &holder : tier->holders()) {
            // Far slots are requested only while there is demand or some are held.
            if (tier == &m_far && wanted == 0 && holder.heldCount() == 0) {
                continue;
            }
            if (auto request = holder.nextRequest(wanted, isLeaving && waitingCount() == 0, now)) {
                request->unhealthy = m_health.unhealthy();
                request->slow = m_health.slow();
                requests.push_back(std::move(*request));
            }
        }
    }
    return requests;
}

SlotTier &Dispatcher::tierOf(const grants::LedgerKey &ledger)
{
    return ledger.region == m_region ? m_near : m_far;
}

Result<void> Dispatcher::accept(const grants::SlotOffer &offer)
{
    auto *holder = tierOf(offer.ledger).find(offer.ledger);
    if (!holder) {
        return fail(ErrorKind::UnknownResource, "dispatcher does not use this ledger");
    }
    BOOST_LEAF_CHECK(holder->accept(offer));
    m_health.setSuspects(offer.ledger.region, offer.suspects);
    return {};
}

void Dispatcher::recall(const grants::LedgerKey &ledger)
{
    if (auto *holder = tierOf(ledger).find(ledger)) {
        holder->recall();
    }
}

Duration Dispatcher::retryAfter(admission::FlowIndex flow, TimePoint now) const
{
    return std::max(MinRetryAfter, m_near.queue().expectedWait(flow, now));
}

int Dispatcher::waitingCount() const
{
    return m_near.queue().waitingCount() + m_far.queue().waitingCount();
}

int Dispatcher::inUseCount() const
{
    return m_near.inUseCount() + m_far.inUseCount();
}

int Dispatcher::heldCount() const
{
    return m_near.heldCount() + m_far.heldCount();
}

} // namespace monsoonspool::routing
