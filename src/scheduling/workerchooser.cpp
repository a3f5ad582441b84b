#include "scheduling/workerchooser.h"

#include "scheduling/tailforecast.h"

#include <algorithm>

namespace monsoonspool::scheduling {

namespace {

// Costs in shares of a worker's processors; the lowest sum is chosen.
constexpr double OtherRackCost = 10; // more than any difference of fit: such tasks run a multiple as long
constexpr double AvoidedCost = 20; // more than any other: another worker may be sound
constexpr double SameStepCost = 0.2; // for each lasting task of the same step beside it
constexpr double OtherImageCost = 3; // for a lasting task, for the part of those beside it that are of other images
constexpr double QuietWorkerCost = 0.5; // for harmless work on a worker that others need because nobody serves there
constexpr double DisturbanceCost = 8; // for each target's worth by which a tail would leave the safe range
// Work that would bring a serving task's mean tail above this part of its target waits
// for another worker: load swings by half around its mean, a tail grows without bound
// as load nears its limit, and what joined would stand still through each peak.
constexpr double MaxJoinRatio = 0.4;

double coreShare(const Resources &room, const workers::Worker &worker)
{
    const auto capacity = std::max<std::int64_t>(worker.entry().capacity.milliCores, 1);
    return static_cast<double>(room.milliCores) / static_cast<double>(capacity);
}

double tailRatio(const workers::Worker &worker, const TaskDemand &demand)
{
    if (demand.interference == nullptr) {
        return 0;
    }
    const auto &step = *demand.step;
    const JoiningTask joining{demand.image, coreShare(step.needs, worker), step.usesLeftover,
                              step.tailTarget.value_or(Duration(0))};
    return worstTailRatio(*demand.interference, worker, joining);
}

double disturbanceCost(double ratio)
{
    return DisturbanceCost * std::max(0.0, ratio - SafeMeanTailRatio);
}

// Returns the part of the serving tasks on `worker` that are of another image.
double otherImages(const workers::Worker &worker, ImageNumber image)
{
    int serving = 0;
    int others = 0;
    for (const auto &it : worker.runs()) {
        serving += it.isLasting ? 1 : 0;
        others += it.isLasting && it.image != image ? 1 : 0;
    }
    return serving == 0 ? 0 : static_cast<double>(others) / serving;
}

bool isQuiet(const workers::Worker &worker)
{
    return std::ranges::none_of(worker.runs(), &workers::Run::isLasting);
}

double cost(const workers::Worker &worker, const TaskDemand &demand, double ratio)
{
    const auto &step = *demand.step;
    double sum = disturbanceCost(ratio);
    if (std::ranges::find(demand.avoided, worker.entry().id) != demand.avoided.end()) {
        sum += AvoidedCost;
    }
    const auto rack = step.dataRack.empty() ? demand.preferredRack : std::string_view(step.dataRack);
    if (!rack.empty() && worker.entry().rack != rack) {
        sum += OtherRackCost;
    }
    if (step.usesLeftover) {
        const bool isWasted = isQuiet(worker) && demand.interference == nullptr;
        return sum - coreShare(worker.leftoverRoom(), worker) + (isWasted ? QuietWorkerCost : 0);
    }
    sum += coreShare(worker.freeRoom() - step.needs, worker);
    if (step.isLasting) {
        sum += SameStepCost * worker.runsOfStep(demand.task) + OtherImageCost * otherImages(worker, demand.image);
    }
    return sum;
}

} // namespace

bool isEligible(const workers::Worker &worker, const TaskDemand &demand, TimePoint now)
{
    const auto &step = *demand.step;
    const auto &entry = worker.entry();
    if (entry.service.view() != demand.service || !worker.isOpen(now) || worker.find(demand.task) != nullptr) {
        return false;
    }
    if (step.usesLeftover && worker.isStrained()) {
        return false;
    }
    if (!step.requiredLabel.empty() && step.requiredLabel != entry.kind && step.requiredLabel != entry.rack) {
        return false;
    }
    return step.maxPerWorker == 0 || worker.runsOfStep(demand.task) < step.maxPerWorker;
}

workers::Worker *TightFit::choose(const TaskDemand &demand, std::span<workers::Worker *const> workers,
                                  TimePoint now) const
{
    workers::Worker *best = nullptr;
    double lowest = 0;
    for (auto *it : workers) {
        if (!it->fits(demand.step->needs, demand.step->usesLeftover) || !isEligible(*it, demand, now)) {
            continue;
        }
        const double ratio = tailRatio(*it, demand);
        if (demand.step->usesLeftover && ratio > MaxJoinRatio) {
            continue;
        }
        const double itCost = cost(*it, demand, ratio);
        if (best == nullptr || itCost < lowest) {
            best = it;
            lowest = itCost;
        }
    }
    return best;
}

workers::Worker *FirstFit::choose(const TaskDemand &demand, std::span<workers::Worker *const> workers,
                                  TimePoint now) const
{
    const auto it = std::ranges::find_if(workers, [&](const workers::Worker *worker) {
        return worker->fits(demand.step->needs, demand.step->usesLeftover) && isEligible(*worker, demand, now);
    });
    return it == workers.end() ? nullptr : *it;
}

} // namespace monsoonspool::scheduling
