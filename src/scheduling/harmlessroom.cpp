#include "scheduling/harmlessroom.h"

#include <algorithm>
#include <functional>
#include <optional>

namespace monsoonspool::scheduling {

namespace {

// As often as the model of interference is fitted.
constexpr Duration UpdateInterval = 500ms;

workers::ImageSet disturbersOf(const InterferenceModel &model, ImageNumber serving, std::size_t images)
{
    workers::ImageSet disturbers;
    for (ImageNumber image = 0; image < images; ++image) {
        disturbers.set(image, model.press(serving, image) > 0);
    }
    return disturbers;
}

} // namespace

bool HarmlessRoom::isDue(TimePoint now) const
{
    return now - m_updatedAt >= UpdateInterval;
}

void HarmlessRoom::update(std::span<workers::Worker *const> workers, const InterferenceModel &model,
                          std::span<const std::int64_t> demands, TimePoint now)
{
    m_updatedAt = now;
    const auto images = std::min(demands.size(), workers::MaxTrackedImages);
    std::vector<std::optional<workers::ImageSet>> known(images);
    std::vector<std::int64_t> rooms(images, 0);
    for (auto *worker : workers) {
        workers::ImageSet disturbers;
        for (const auto &run : worker->runs()) {
            if (!run.isLasting || run.tailTarget <= Duration(0) || run.image >= images) {
                continue;
            }
            auto &of = known[run.image];
            if (!of) {
                of = disturbersOf(model, run.image, images);
            }
            disturbers |= *of;
        }
        worker->setDisturbers(disturbers);
        for (ImageNumber image = 0; image < images; ++image) {
            rooms[image] += disturbers.test(image) ? 0 : worker->leftoverMilliCores();
        }
    }
    m_scarcities.clear();
    for (ImageNumber image = 0; image < images; ++image) {
        if (demands[image] > 0) {
            const auto room = static_cast<double>(std::max<std::int64_t>(rooms[image], 1));
            m_scarcities.push_back({image, std::min(MaxScarcity, static_cast<double>(demands[image]) / room)});
        }
    }
    std::ranges::sort(m_scarcities, std::greater(), &Scarcity::wantedPart);
}

double HarmlessRoom::contention(const workers::Worker &worker, ImageNumber image) const
{
    const auto it = std::ranges::find_if(m_scarcities, [&](const Scarcity &scarcity) {
        return scarcity.image != image && !worker.disturbers().test(scarcity.image);
    });
    return it == m_scarcities.end() ? 0 : it->wantedPart;
}

} // namespace monsoonspool::scheduling
