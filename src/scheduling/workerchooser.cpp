#include "scheduling/workerchooser.h"

#include "scheduling/tailforecast.h"

#include <algorithm>
#include <array>

namespace monsoonspool::scheduling {

namespace {

// Costs in shares of a worker's processors; the lowest sum is chosen.
constexpr double OtherRackCost = 10; // more than any difference of fit: such tasks run a multiple as long
constexpr double AvoidedCost = 20; // more than any other: another worker may be sound
constexpr double SameStepCost = 0.2; // for each lasting task of the same step beside it
constexpr double MixCost = 1; // for a lasting task beside lasting tasks of other images alone
constexpr double FirstMixCost = 1; // besides, where these are of one image, and half of it where they are of two
constexpr double ContentionCost = 2; // for leftover work on a worker whose room is scarce for other images
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

// Returns what a lasting task of `image` spoils on `worker` for leftover work. Where its
// image serves already, nothing; where others do, the less the more of them there are.
double mixCost(const workers::Worker &worker, ImageNumber image)
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
    return MixCost + (count <= seen.size() ? FirstMixCost / static_cast<double>(count) : 0);
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
        const double contention
            = demand.harmlessRoom == nullptr ? 0 : demand.harmlessRoom->contention(worker, demand.image);
        return sum - coreShare(worker.leftoverRoom(), worker) + ContentionCost * contention;
    }
    sum += coreShare(worker.freeRoom() - step.needs, worker);
    if (step.isLasting) {
        sum += SameStepCost * worker.runsOfStep(demand.task) + mixCost(worker, demand.image);
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
