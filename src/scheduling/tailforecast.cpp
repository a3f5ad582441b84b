#include "scheduling/tailforecast.h"

#include <algorithm>
#include <cmath>

namespace monsoonspool::scheduling {

namespace {

constexpr int FullPace = 100;
// Cap on the predicted ratio, which grows without bound as load nears saturation.
constexpr double MaxRatio = 10;
// Interference below this fraction of 1/target is ignored.
constexpr double MinInterference = 0.05;

double coreCapacity(const workers::Worker &worker)
{
    return static_cast<double>(std::max<std::int64_t>(worker.entry().capacity.milliCores, 1));
}

double requestedShare(const workers::Worker &worker, const workers::Run &run)
{
    return static_cast<double>(run.needs.milliCores) / coreCapacity(worker);
}

// Returns the predicted decrease of 1/tail, in 1/ms, of tasks of the image `serving` on
// `worker` with all tasks on leftover cores at full pace, but for reduced runs at theirs.
double fullPaceInterference(const InterferenceModel &model, const workers::Worker &worker, ImageNumber serving)
{
    double sum = 0;
    for (const auto &it : worker.runs()) {
        if (it.usesLeftover) {
            const double pace = it.isReduced ? static_cast<double>(workers::ReducedPace) / FullPace : 1;
            sum += model.sensitivity(serving, it.image) * requestedShare(worker, it) * pace;
        }
    }
    return sum;
}

// Returns the same of the reduced runs alone, at full pace.
double reducedRunInterference(const InterferenceModel &model, const workers::Worker &worker, ImageNumber serving)
{
    double sum = 0;
    for (const auto &it : worker.runs()) {
        if (it.isReduced) {
            sum += model.sensitivity(serving, it.image) * requestedShare(worker, it);
        }
    }
    return sum;
}

// Returns the same for the cores that those tasks used in the last measurement.
double measuredInterference(const InterferenceModel &model, const workers::Worker &worker, ImageNumber serving)
{
    double sum = 0;
    for (const auto &it : worker.runs()) {
        if (it.usesLeftover) {
            sum += model.sensitivity(serving, it.image) * usedShare(worker, it);
        }
    }
    return sum;
}

// Returns the predicted mean ratio of tail to target if 1/tail decreases by `interference`.
double predictedRatio(const InterferenceModel &model, ImageNumber serving, Duration target, double interference)
{
    const auto targetMs = static_cast<double>(toMilliseconds(target));
    const double base = model.baseRate(serving);
    if (targetMs <= 0 || base <= 0) {
        return 0;
    }
    return std::min(MaxRatio, 1 / (targetMs * std::max(base - interference, 1e-6)));
}

// Returns by how much 1/tail of `serving` on `worker` may decrease in all, in 1/ms, while its tail stays at or below
// `ratio` of its target. The measured tail already includes the interference of the measured half second.
double allowedInterference(const InterferenceModel &model, const workers::Worker &worker, const workers::Run &serving,
                           double ratio)
{
    const auto targetMs = static_cast<double>(toMilliseconds(serving.tailTarget));
    const double allowed = 1 / static_cast<double>(serving.level) + measuredInterference(model, worker, serving.image)
        - 1 / (ratio * targetMs);
    return std::max(allowed, 0.0);
}

} // namespace

double usedShare(const workers::Worker &worker, const workers::Run &run)
{
    if (run.level > 0) {
        return static_cast<double>(run.level) / coreCapacity(worker);
    }
    return 0;
}

double worstTailRatio(const InterferenceModel &model, const workers::Worker &worker, const JoiningTask &joining)
{
    double worst = 0;
    if (!joining.usesLeftover && joining.tailTarget > Duration(0)) {
        worst = predictedRatio(model, joining.image, joining.tailTarget,
                               fullPaceInterference(model, worker, joining.image));
    }
    if (!joining.usesLeftover) {
        return worst;
    }
    for (const auto &it : worker.runs()) {
        if (it.isLasting && it.tailTarget > Duration(0)) {
            const double sensitivity = model.sensitivity(it.image, joining.image);
            if (sensitivity > 0) {
                const double interference
                    = fullPaceInterference(model, worker, it.image) + sensitivity * joining.coreShare;
                worst = std::max(worst, predictedRatio(model, it.image, it.tailTarget, interference));
            }
        }
    }
    return worst;
}

int safePace(const InterferenceModel &model, const workers::Worker &worker)
{
    double pace = 1;
    for (const auto &it : worker.runs()) {
        const auto targetMs = static_cast<double>(toMilliseconds(it.tailTarget));
        if (!it.isLasting || targetMs <= 0 || it.level <= 0) {
            continue;
        }
        const double full = fullPaceInterference(model, worker, it.image);
        if (full * targetMs < MinInterference) {
            continue;
        }
        pace = std::min(pace, allowedInterference(model, worker, it, SafeTailRatio) / full);
    }
    return static_cast<int>(pace * FullPace);
}

int safeReducedPace(const InterferenceModel &model, const workers::Worker &worker)
{
    double pace = 1;
    for (const auto &it : worker.runs()) {
        const auto targetMs = static_cast<double>(toMilliseconds(it.tailTarget));
        if (!it.isLasting || targetMs <= 0 || it.level <= 0) {
            continue;
        }
        const double reduced = reducedRunInterference(model, worker, it.image);
        if (reduced * targetMs < MinInterference) {
            continue;
        }
        constexpr double reducedPart = static_cast<double>(workers::ReducedPace) / FullPace;
        const double others = fullPaceInterference(model, worker, it.image) - reduced * reducedPart;
        const double left = allowedInterference(model, worker, it, SafeMeanTailRatio) - others;
        pace = std::min(pace, std::max(left, 0.0) / reduced);
    }
    return std::max(static_cast<int>(pace * FullPace), workers::ReducedPace);
}

double maxInterference(const InterferenceModel &model, const workers::Worker &worker, const workers::Run &run)
{
    double worst = 0;
    for (const auto &it : worker.runs()) {
        if (it.isLasting && it.tailTarget > Duration(0)) {
            worst = std::max(worst,
                             model.sensitivity(it.image, run.image) * requestedShare(worker, run)
                                 * static_cast<double>(toMilliseconds(it.tailTarget)));
        }
    }
    return worst;
}

} // namespace monsoonspool::scheduling
