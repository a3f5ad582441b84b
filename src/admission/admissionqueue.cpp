#include "admission/admissionqueue.h"

#include <boost/multi_index/hashed_index.hpp>
#include <boost/multi_index/identity.hpp>
#include <boost/multi_index/key.hpp>
#include <boost/multi_index/ranked_index.hpp>
#include <boost/multi_index_container.hpp>

#include <algorithm>
#include <cmath>
#include <tuple>

namespace monsoonspool::admission {

namespace {

namespace mi = boost::multi_index;

struct ByDeadline
{
    using result_type = std::tuple<TimePoint, RequestId>;
    result_type operator()(const WaitingRequest &request) const
    {
        return {request.deadline, request.id};
    }
};

using WaitingSet = mi::multi_index_container<
    WaitingRequest,
    mi::indexed_by<mi::ranked_unique<ByDeadline>,
                   mi::hashed_unique<mi::member<WaitingRequest, RequestId, &WaitingRequest::id>>>>;

// Weights of the newest sample in the moving averages.
constexpr double StartIntervalGain = 0.1;
constexpr double MeanServiceGain = 0.05;
// An average start interval without a new sample for this long is outdated and
// ignored.
constexpr Duration StartIntervalMaxAge = 1s;
// A request is refused on arrival only if this fraction of its predicted wait already
// exceeds the deadline. Predictions are inexact, and a late answer is better than an
// unnecessary refusal.
constexpr double EarlyRefusalFactor = 0.8;
// The average start interval is used only after this many samples.
constexpr int MinStartIntervalSamples = 20;
// The minimum service time decays towards the mean by this fraction per answer.
constexpr double MinServiceDecay = 0.001;

struct Flow
{
    FlowPlan plan;
    WaitingSet waiting;
    int inUse = 0;
    std::uint64_t started = 0;
    std::uint64_t refusedFull = 0;
    std::uint64_t refusedLate = 0;
    TimePoint lastQueuedStart;
    bool isNextStartQueued = false; // set by pop() for the start that follows
    int startIntervalSamples = 0;
    TimePoint lastStartIntervalSample;
    double startIntervalUs = 0; // between starts of queued requests
    double meanServiceUs = 0;
    double minServiceUs = 0;

    Duration minService() const
    {
        return Duration(static_cast<std::int64_t>(minServiceUs));
    }
    // Returns the predicted wait of a request behind `n` others, 0 if the start
    // interval is not known.
    Duration predictedWait(std::size_t n, TimePoint now) const
    {
        const bool isKnown
            = startIntervalSamples >= MinStartIntervalSamples && now - lastStartIntervalSample < StartIntervalMaxAge;
        return isKnown ? Duration(static_cast<std::int64_t>(startIntervalUs * static_cast<double>(n))) : Duration{0};
    }
    bool isDeadlineUnreachable(TimePoint deadline, TimePoint now) const
    {
        return now + minService() >= deadline;
    }
};

} // namespace

struct AdmissionQueue::Private
{
    std::vector<Flow> flows;
    std::unique_ptr<QueueDiscipline> discipline;
    std::vector<FlowState> backloggedFlows;
    int waitingCount = 0;

    void collectBackloggedFlows(int usableSlots)
    {
        backloggedFlows.clear();
        for (FlowIndex n = 0; n < flows.size(); ++n) {
            const auto &flow = flows[n];
            if (flow.waiting.empty()) {
                continue;
            }
            backloggedFlows.push_back({n, flow.plan.rank, flow.plan.guaranteedShare * usableSlots, flow.plan.weight,
                                       flow.inUse, static_cast<int>(flow.waiting.size()),
                                       flow.waiting.get<0>().begin()->deadline});
        }
    }
};

AdmissionQueue::AdmissionQueue(std::span<const FlowPlan> flows, std::unique_ptr<QueueDiscipline> discipline)
    : d(std::make_unique<Private>())
{
    d->discipline = std::move(discipline);
    setFlows(flows);
}

AdmissionQueue::~AdmissionQueue() = default;

void AdmissionQueue::setFlows(std::span<const FlowPlan> flows)
{
    for (const auto &plan : flows) {
        const auto index = findFlow(plan.service, plan.urgency);
        if (index) {
            d->flows[*index].plan = plan;
        } else {
            d->flows.emplace_back().plan = plan;
        }
    }
}

std::optional<FlowIndex> AdmissionQueue::findFlow(const ServiceName &service, std::string_view urgency) const
{
    for (FlowIndex n = 0; n < d->flows.size(); ++n) {
        if (d->flows[n].plan.service == service && d->flows[n].plan.urgency == urgency) {
            return n;
        }
    }
    return std::nullopt;
}

Result<void> AdmissionQueue::push(const WaitingRequest &request, TimePoint now)
{
    auto &flow = d->flows[request.flow];
    if (static_cast<int>(flow.waiting.size()) >= flow.plan.queueLimit) {
        ++flow.refusedFull;
        return fail(ErrorKind::QueueFull,
                    "queue of urgency class \"" + flow.plan.urgency + "\" is full: limit "
                        + std::to_string(flow.plan.queueLimit));
    }
    const auto &byDeadline = flow.waiting.get<0>();
    const std::size_t ahead = byDeadline.lower_bound_rank(std::tuple(request.deadline, request.id));
    const auto wait = std::chrono::duration_cast<Duration>(flow.predictedWait(ahead, now) * EarlyRefusalFactor);
    if (flow.isDeadlineUnreachable(request.deadline, now + wait)) {
        ++flow.refusedLate;
        return fail(ErrorKind::DeadlineUnreachable,
                    "deadline cannot be met: expected wait " + std::to_string(toMilliseconds(wait)) + " ms");
    }
    flow.waiting.insert(request);
    ++d->waitingCount;
    return {};
}

bool AdmissionQueue::mayBypassQueue(FlowIndex flow, int usableSlots, int freeSlots) const
{
    if (freeSlots <= 0) {
        return false;
    }
    if (d->waitingCount == 0) {
        return true;
    }
    const auto &it = d->flows[flow];
    return it.waiting.empty() && it.inUse < it.plan.guaranteedShare * usableSlots;
}

std::optional<WaitingRequest> AdmissionQueue::pop(int usableSlots, TimePoint now)
{
    if (d->waitingCount == 0) {
        return std::nullopt;
    }
    d->collectBackloggedFlows(usableSlots);
    const auto chosen = d->discipline->choose(d->backloggedFlows, now);
    if (!chosen) {
        return std::nullopt;
    }
    auto &waiting = d->flows[*chosen].waiting.get<0>();
    const WaitingRequest request = *waiting.begin();
    waiting.erase(waiting.begin());
    --d->waitingCount;
    d->flows[*chosen].isNextStartQueued = true;
    return request;
}

void AdmissionQueue::requeue(const WaitingRequest &request)
{
    d->flows[request.flow].waiting.insert(request);
    ++d->waitingCount;
}

bool AdmissionQueue::remove(RequestId id)
{
    for (auto &flow : d->flows) {
        if (flow.waiting.get<1>().erase(id) > 0) {
            --d->waitingCount;
            return true;
        }
    }
    return false;
}

std::vector<WaitingRequest> AdmissionQueue::removeUnreachable(TimePoint now)
{
    std::vector<WaitingRequest> removed;
    for (auto &flow : d->flows) {
        auto &waiting = flow.waiting.get<0>();
        while (!waiting.empty() && flow.isDeadlineUnreachable(waiting.begin()->deadline, now)) {
            removed.push_back(*waiting.begin());
            waiting.erase(waiting.begin());
            --d->waitingCount;
            ++flow.refusedLate;
        }
    }
    return removed;
}

void AdmissionQueue::recordStart(FlowIndex index, TimePoint now)
{
    auto &flow = d->flows[index];
    ++flow.inUse;
    ++flow.started;
    if (!flow.isNextStartQueued) {
        flow.lastQueuedStart = TimePoint{};
        return;
    }
    if (flow.lastQueuedStart != TimePoint{}) {
        const auto interval = static_cast<double>((now - flow.lastQueuedStart).count());
        const double gain = std::max(StartIntervalGain, 1.0 / (flow.startIntervalSamples + 1));
        flow.startIntervalUs += gain * (interval - flow.startIntervalUs);
        ++flow.startIntervalSamples;
        flow.lastStartIntervalSample = now;
    }
    flow.lastQueuedStart = now;
    flow.isNextStartQueued = false;
}

void AdmissionQueue::recordEnd(FlowIndex index, Duration service, bool wasAnswered)
{
    auto &flow = d->flows[index];
    --flow.inUse;
    if (!wasAnswered) {
        return;
    }
    const auto sample = static_cast<double>(service.count());
    if (flow.meanServiceUs == 0) {
        flow.meanServiceUs = sample;
        flow.minServiceUs = sample;
        return;
    }
    flow.meanServiceUs += MeanServiceGain * (sample - flow.meanServiceUs);
    flow.minServiceUs += MinServiceDecay * (flow.meanServiceUs - flow.minServiceUs);
    flow.minServiceUs = std::min(flow.minServiceUs, sample);
}

Duration AdmissionQueue::expectedWait(FlowIndex flow, TimePoint now) const
{
    return d->flows[flow].predictedWait(d->flows[flow].waiting.size(), now);
}

Duration AdmissionQueue::meanService(FlowIndex flow) const
{
    return Duration(static_cast<std::int64_t>(d->flows[flow].meanServiceUs));
}

int AdmissionQueue::waitingCount() const
{
    return d->waitingCount;
}

std::vector<FlowSummary> AdmissionQueue::summary(TimePoint now) const
{
    std::vector<FlowSummary> rows;
    for (const auto &flow : d->flows) {
        rows.push_back({flow.plan, static_cast<int>(flow.waiting.size()), flow.inUse, flow.started, flow.refusedFull,
                        flow.refusedLate, flow.predictedWait(flow.waiting.size(), now),
                        Duration(static_cast<std::int64_t>(flow.meanServiceUs))});
    }
    return rows;
}

} // namespace monsoonspool::admission
