#include "scheduling/interferencefreecapacity.h"

#include <algorithm>
#include <functional>
#include <optional>

namespace monsoonspool::scheduling {

namespace {

// The same as the interval at which InterferenceModel is fitted.
constexpr Duration UpdateInterval = 500ms;

workers::ImageSet imagesInterferingWith(const InterferenceModel &model, ImageNumber serving, std::size_t images)
{
    workers::ImageSet interferingImages;
    for (ImageNumber image = 0; image < images; ++image) {
        interferingImages.set(image, model.sensitivity(serving, image) > 0);
    }
    return interferingImages;
}

} // namespace

bool InterferenceFreeCapacity::isDue(TimePoint now) const
{
    return now - m_updatedAt >= UpdateInterval;
}

void InterferenceFreeCapacity::update(std::span<workers::Worker *const> workers, const InterferenceModel &model,
                                      std::span<const std::int64_t> demands, TimePoint now)
{
    m_updatedAt = now;
    const auto images = std::min(demands.size(), workers::MaxTrackedImages);
    std::vector<std::optional<workers::ImageSet>> interferingByServing(images);
    std::vector<std::int64_t> capacities(images, 0);
    for (auto *worker : workers) {
        workers::ImageSet interferingImages;
        for (const auto &run : worker->runs()) {
            if (!run.isLasting || run.tailTarget <= Duration(0) || run.image >= images) {
                continue;
            }
            auto &interfering = interferingByServing[run.image];
            if (!interfering) {
                interfering = imagesInterferingWith(model, run.image, images);
            }
            interferingImages |= *interfering;
        }
        worker->setInterferingImages(interferingImages);
        // Negative if the worker's capacity has shrunk to less than what its tasks reserve.
        const auto leftover = std::max<std::int64_t>(worker->leftoverMilliCores(), 0);
        for (ImageNumber image = 0; image < images; ++image) {
            capacities[image] += interferingImages.test(image) ? 0 : leftover;
        }
    }
    m_demandRatios.clear();
    for (ImageNumber image = 0; image < images; ++image) {
        if (demands[image] > 0) {
            const auto capacity = static_cast<double>(std::max<std::int64_t>(capacities[image], 1));
            m_demandRatios.push_back({image, std::min(MaxContention, static_cast<double>(demands[image]) / capacity)});
        }
    }
    std::ranges::sort(m_demandRatios, std::greater(), &DemandRatio::ratio);
}

double InterferenceFreeCapacity::contention(const workers::Worker &worker, ImageNumber image) const
{
    const auto it = std::ranges::find_if(m_demandRatios, [&](const DemandRatio &demandRatio) {
        return demandRatio.image != image && !worker.interferingImages().test(demandRatio.image);
    });
    return it == m_demandRatios.end() ? 0 : it->ratio;
}

} // namespace monsoonspool::scheduling
