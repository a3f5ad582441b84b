#include "scheduling/workerchooser.h"

#include "scheduling/tailforecast.h"

#include <algorithm>
#include <array>
#include <functional>

namespace monsoonspool::scheduling {

namespace {

// Costs, in fractions of a worker's cores. The worker with the lowest sum is chosen.
constexpr double OtherRackCost = 10; // exceeds any difference in fit: off-rack tasks run several times as long
constexpr double AvoidedCost = 20; // exceeds all other costs: another worker may be healthy
constexpr double SuspectCost = 5; // exceeds any difference in fit, but not the cost of another rack
constexpr double CrashNeighbourCost = 0.5; // per run on the worker, for a task under which a worker has crashed
constexpr double SameStepCost = 0.2; // per lasting task of the same step on the worker
constexpr double MixedImageCost = 1; // for a lasting task on a worker with lasting tasks of other images only
constexpr double FewImagesCost = 1; // added if those are of one image; half of it for two images
constexpr double ContentionCost = 2; // multiplied by the contention of other images for the worker's leftover cores
constexpr double ReducedRunCost = 1; // per reduced run on the worker, for a task that may start as one
constexpr double InterferenceCost = 8; // per unit of predicted tail-to-target ratio above SafeMeanTailRatio
// Stands for all tasks of a step, of which no worker runs one with this index.
constexpr int AnyTask = -1;
// A task on leftover cores that would raise a serving task's mean tail-to-target ratio
// above this value waits for another worker: load varies by half around its mean, tail
// latency grows without bound near saturation, and the task would be paused during each
// load peak.
constexpr double MaxJoinRatio = 0.4;

double coreShare(const Resources &resources, const workers::Worker &worker)
{
    const auto capacity = std::max<std::int64_t>(worker.entry().capacity.milliCores, 1);
    return static_cast<double>(resources.milliCores) / static_cast<double>(capacity);
}

double interferenceCost(double ratio)
{
    return InterferenceCost * std::max(0.0, ratio - SafeMeanTailRatio);
}

// Returns the cost of mixing a lasting task of `image` with other images on `worker`,
// which makes the worker unusable for more kinds of tasks on leftover cores. 0 if the
// image already runs there; otherwise lower the more distinct images there are.
double mixedImageCost(const workers::Worker &worker, ImageNumber image)
{
    std::array<ImageNumber, 2> seen{};
    std::size_t count = 0;
    for (const auto &it : worker.runs()) {
        if (!it.isLasting) {
            continue;
        }
        if (it.image == image) {
            return 0;
        }
        const auto end = seen.begin() + static_cast<std::ptrdiff_t>(std::min(count, seen.size()));
        if (std::find(seen.begin(), end, it.image) == end) {
            if (count < seen.size()) {
                seen[count] = it.image;
            }
            ++count;
        }
    }
    if (count == 0) {
        return 0;
    }
    return MixedImageCost + (count <= seen.size() ? FewImagesCost / static_cast<double>(count) : 0);
}

double placementCost(const workers::Worker &worker, const TaskDemand &demand, double ratio, TimePoint now)
{
    const auto &step = *demand.step;
    double sum = interferenceCost(ratio);
    if (demand.ignoresSuspicion && worker.isUnderSuspicion(now)) {
        sum += SuspectCost;
    }
    const bool wasMovedFrom = demand.movedFrom != nullptr && *demand.movedFrom == worker.entry().id;
    if (wasMovedFrom || std::ranges::find(demand.avoided, worker.entry().id) != demand.avoided.end()) {
        sum += AvoidedCost;
    }
    if (demand.crashCount > 0) {
        sum += CrashNeighbourCost * worker.runCount();
    }
    const auto rack = step.dataRack.empty() ? demand.preferredRack : std::string_view(step.dataRack);
    if (!rack.empty() && worker.entry().rack != rack) {
        sum += OtherRackCost;
    }
    if (step.usesLeftover) {
        const double contention = demand.interferenceFreeCapacity == nullptr
            ? 0
            : demand.interferenceFreeCapacity->contention(worker, demand.image);
        return sum - coreShare(worker.freeLeftoverResources(), worker) + ContentionCost * contention;
    }
    sum += coreShare(worker.freeResources() - step.needs, worker);
    if (step.isLasting) {
        sum += SameStepCost * worker.runsOfStep(demand.task) + mixedImageCost(worker, demand.image);
    }
    return sum;
}

// Every worker has the empty label.
bool hasLabel(const ports::WorkerEntry &entry, std::string_view label)
{
    return label.empty() || label == entry.kind || label == entry.rack;
}

} // namespace

bool isEligible(const workers::Worker &worker, const TaskDemand &demand, TimePoint now)
{
    const auto &step = *demand.step;
    const auto &entry = worker.entry();
    if (entry.service.view() != demand.service || !worker.isSchedulable(now, demand.ignoresSuspicion)
        || worker.find(demand.task) != nullptr) {
        return false;
    }
    const int keptApartFrom = demand.crashCount > 0 ? 1 : jobs::MaxWorkerCrashes - 1;
    if (demand.isKeptApart && worker.hasCrashSuspect(demand.task, keptApartFrom, now)) {
        return false;
    }
    if (step.usesLeftover && worker.hasTailViolation()) {
        return false;
    }
    if (!hasLabel(entry, step.requiredLabel)) {
        return false;
    }
    return step.maxPerWorker == 0 || worker.runsOfStep(demand.task) < step.maxPerWorker;
}

double predictedTailRatio(const workers::Worker &worker, const TaskDemand &demand, int pace)
{
    if (demand.interference == nullptr) {
        return 0;
    }
    const auto &step = *demand.step;
    const JoiningTask joining{demand.image, coreShare(step.needs, worker) * pace / workers::FullPace, step.usesLeftover,
                              step.tailTarget.value_or(Duration(0))};
    return worstTailRatio(*demand.interference, worker, joining);
}

bool areMostSuspect(std::span<workers::Worker *const> workers, std::string_view service, std::string_view label,
                    TimePoint now)
{
    std::size_t usable = 0;
    std::size_t suspect = 0;
    for (const auto *it : workers) {
        const auto &entry = it->entry();
        if (entry.service.view() == service && hasLabel(entry, label) && it->isSchedulable(now, true)) {
            ++usable;
            suspect += it->isUnderSuspicion(now) ? 1 : 0;
        }
    }
    return suspect * 2 > usable;
}

workers::Worker *WorkerChooser::choose(const TaskDemand &demand, std::span<workers::Worker *const> workers,
                                       TimePoint now) const
{
    workers::Worker *best = nullptr;
    double lowest = 0;
    for (auto *it : workers) {
        const auto candidateCost = cost(*it, demand, now);
        if (candidateCost && (best == nullptr || *candidateCost < lowest)) {
            best = it;
            lowest = *candidateCost;
        }
    }
    return best;
}

std::optional<double> BestFit::reducedCost(const workers::Worker &worker, const TaskDemand &demand, TimePoint now) const
{
    const auto &step = *demand.step;
    // Workers with a label may be few, and half of their room then says nothing of the fleet's. The members of a gang
    // need their places at the same time.
    const bool keepsHalf = step.requiredLabel.empty() && !step.isGang;
    if (!worker.fitsReduced(step.needs, keepsHalf) || !isEligible(worker, demand, now)) {
        return std::nullopt;
    }
    const bool isAlone = std::ranges::none_of(worker.runs(), &workers::Run::usesLeftover);
    if (demand.reducedStart == ReducedStart::BesideNoLeftoverWork && !isAlone) {
        return std::nullopt;
    }
    // One after the other, since each disturbs at full pace for a moment. The members of a gang start together.
    if (worker.hasUnpacedReducedRun() && !step.isGang) {
        return std::nullopt;
    }
    return ReducedRunCost * worker.reducedRunCount()
        + placementCost(worker, demand, predictedTailRatio(worker, demand, workers::ReducedPace), now);
}

std::optional<double> BestFit::cost(const workers::Worker &worker, const TaskDemand &demand, TimePoint now) const
{
    if (demand.reducedStart != ReducedStart::No) {
        return reducedCost(worker, demand, now);
    }
    if (!worker.fits(demand.step->needs, demand.step->usesLeftover) || !isEligible(worker, demand, now)) {
        return std::nullopt;
    }
    const double ratio = predictedTailRatio(worker, demand);
    if (demand.step->usesLeftover && ratio > MaxJoinRatio) {
        return std::nullopt;
    }
    return placementCost(worker, demand, ratio, now);
}

std::optional<double> FirstFit::cost(const workers::Worker &worker, const TaskDemand &demand, TimePoint now) const
{
    const bool canTake = worker.fits(demand.step->needs, demand.step->usesLeftover) && isEligible(worker, demand, now);
    return canTake ? std::optional(0.0) : std::nullopt;
}

RankedWorkers::RankedWorkers(const WorkerChooser &chooser, const TaskDemand &demand,
                             std::span<workers::Worker *const> workers, TimePoint now)
    : m_chooser(chooser), m_demand(demand), m_workers(workers)
{
    m_demand.task.index = AnyTask;
    for (std::size_t n = 0; n < workers.size(); ++n) {
        if (const auto cost = chooser.cost(*workers[n], m_demand, now)) {
            m_candidates.push_back({*cost, n});
        }
    }
    std::ranges::make_heap(m_candidates, std::greater());
}

workers::Worker *RankedWorkers::best() const
{
    return m_candidates.empty() ? nullptr : m_workers[m_candidates.front().position];
}

void RankedWorkers::updateBest(TimePoint now)
{
    std::ranges::pop_heap(m_candidates, std::greater());
    const auto position = m_candidates.back().position;
    m_candidates.pop_back();
    if (const auto cost = m_chooser.cost(*m_workers[position], m_demand, now)) {
        m_candidates.push_back({*cost, position});
        std::ranges::push_heap(m_candidates, std::greater());
    }
}

} // namespace monsoonspool::scheduling
