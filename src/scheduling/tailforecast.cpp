#include "scheduling/tailforecast.h"

#include <algorithm>
#include <cmath>

namespace monsoonspool::scheduling {

namespace {

constexpr int FullPace = 100;
// Stands for a tail that grows without bound.
constexpr double MaxRatio = 10;
// Less than this part of a target's reciprocal disturbs nobody.
constexpr double MinPressure = 0.05;

double capacityOf(const workers::Worker &worker)
{
    return static_cast<double>(std::max<std::int64_t>(worker.entry().capacity.milliCores, 1));
}

double declaredShare(const workers::Worker &worker, const workers::Run &run)
{
    return static_cast<double>(run.needs.milliCores) / capacityOf(worker);
}

// Returns by how much the leftover work on `worker`, at full pace, lowers the
// reciprocal of the tail of tasks of the image `serving`, in 1/ms.
double fullPressure(const InterferenceModel &model, const workers::Worker &worker, ImageNumber serving)
{
    double sum = 0;
    for (const auto &it : worker.runs()) {
        if (it.usesLeftover) {
            sum += model.press(serving, it.image) * declaredShare(worker, it);
        }
    }
    return sum;
}

// Returns the same for the processors that the work used when last measured.
double usedPressure(const InterferenceModel &model, const workers::Worker &worker, ImageNumber serving)
{
    double sum = 0;
    for (const auto &it : worker.runs()) {
        if (it.usesLeftover) {
            sum += model.press(serving, it.image) * usedShare(worker, it);
        }
    }
    return sum;
}

// Returns the ratio of the tail to its target in the mean under `pressure`.
double ratioOf(const InterferenceModel &model, ImageNumber serving, Duration target, double pressure)
{
    const auto targetMs = static_cast<double>(toMilliseconds(target));
    const double base = model.baseRate(serving);
    if (targetMs <= 0 || base <= 0) {
        return 0;
    }
    return std::min(MaxRatio, 1 / (targetMs * std::max(base - pressure, 1e-6)));
}

} // namespace

double usedShare(const workers::Worker &worker, const workers::Run &run)
{
    if (run.level > 0) {
        return static_cast<double>(run.level) / capacityOf(worker);
    }
    return 0;
}

double worstTailRatio(const InterferenceModel &model, const workers::Worker &worker, const JoiningTask &joining)
{
    double worst = 0;
    if (!joining.usesLeftover && joining.tailTarget > Duration(0)) {
        worst = ratioOf(model, joining.image, joining.tailTarget, fullPressure(model, worker, joining.image));
    }
    if (!joining.usesLeftover) {
        return worst;
    }
    for (const auto &it : worker.runs()) {
        if (it.isLasting && it.tailTarget > Duration(0)) {
            const double press = model.press(it.image, joining.image);
            if (press > 0) {
                const double pressure = fullPressure(model, worker, it.image) + press * joining.coreShare;
                worst = std::max(worst, ratioOf(model, it.image, it.tailTarget, pressure));
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
        const double full = fullPressure(model, worker, it.image);
        if (full * targetMs < MinPressure) {
            continue;
        }
        // The measured tail holds the pressure of its half second already.
        const double allowed = 1 / static_cast<double>(it.level) + usedPressure(model, worker, it.image)
            - 1 / (SafeTailRatio * targetMs);
        pace = std::min(pace, std::max(allowed, 0.0) / full);
    }
    return static_cast<int>(pace * FullPace);
}

double disturbance(const InterferenceModel &model, const workers::Worker &worker, const workers::Run &run)
{
    double worst = 0;
    for (const auto &it : worker.runs()) {
        if (it.isLasting && it.tailTarget > Duration(0)) {
            worst = std::max(worst,
                             model.press(it.image, run.image) * declaredShare(worker, run)
                                 * static_cast<double>(toMilliseconds(it.tailTarget)));
        }
    }
    return worst;
}

} // namespace monsoonspool::scheduling
