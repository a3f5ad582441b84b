#include "scheduling/interferencemodel.h"

#include <algorithm>
#include <cmath>

namespace monsoonspool::scheduling {

namespace {

constexpr Duration FitInterval = 500ms;
// What was seen loses half of its weight in this time.
constexpr Duration HalfLife = 30s;
// Below this number of measurements nothing is believed.
constexpr double MinCount = 15;
// Ridge penalty, in units of squared core share: a press needs a few dozen
// measurements beside a tenth of a worker to be believed.
constexpr double Ridge = 0.08;
// A restored belief counts as so many measurements beside so large a part of a worker.
constexpr double RestoredCount = 25;
constexpr double RestoredShare = 0.2;
constexpr int Sweeps = 12; // of coordinate descent; it starts from the last fit
constexpr double MinShare = 0.002;
// Presses below this part of the base are taken for noise: of pairs that do not
// disturb each other, most fits stay below half of it.
constexpr double MinPress = 1.0;

} // namespace

std::size_t InterferenceModel::Serving::indexOf(ImageNumber image)
{
    const auto it = std::ranges::find(images, image);
    if (it != images.end()) {
        return static_cast<std::size_t>(it - images.begin()) + 1;
    }
    const std::size_t old = size();
    images.push_back(image);
    std::vector<double> grown(size() * size(), 0.0);
    for (std::size_t row = 0; row < old && !moments.empty(); ++row) {
        std::copy_n(moments.begin() + static_cast<std::ptrdiff_t>(row * old), old,
                    grown.begin() + static_cast<std::ptrdiff_t>(row * size()));
    }
    moments = std::move(grown);
    products.resize(size(), 0.0);
    weights.resize(size(), 0.0);
    return old;
}

void InterferenceModel::Serving::fade(double factor)
{
    for (auto &it : moments) {
        it *= factor;
    }
    for (auto &it : products) {
        it *= factor;
    }
    count *= factor;
}

// Coordinate descent on the normal equations. The base is free; the other weights
// stay at or below zero, and are presses with their sign turned.
void InterferenceModel::Serving::fit()
{
    const std::size_t n = size();
    for (int sweep = 0; sweep < Sweeps; ++sweep) {
        for (std::size_t row = 0; row < n; ++row) {
            double rest = products[row];
            for (std::size_t column = 0; column < n; ++column) {
                if (column != row) {
                    rest -= moments[row * n + column] * weights[column];
                }
            }
            const double curvature = moments[row * n + row] + (row == 0 ? 0 : Ridge);
            if (curvature > 0) {
                weights[row] = row == 0 ? rest / curvature : std::min(0.0, rest / curvature);
            }
        }
    }
}

void InterferenceModel::observe(ImageNumber serving, std::span<const Neighbour> neighbours, double tailMs)
{
    if (tailMs <= 0) {
        return;
    }
    auto &model = servingOf(serving);
    std::vector<std::pair<std::size_t, double>> features = {{0, 1.0}};
    for (const auto &neighbour : neighbours) {
        if (neighbour.coreShare > MinShare) {
            features.emplace_back(model.indexOf(neighbour.image), neighbour.coreShare);
        }
    }
    model.add(features, 1 / tailMs, 1);
}

InterferenceModel::Serving &InterferenceModel::servingOf(ImageNumber image)
{
    auto it = m_servings.find(image);
    if (it == m_servings.end()) {
        it = m_servings.emplace(image, Serving()).first;
        it->second.moments.assign(1, 0.0);
        it->second.products.assign(1, 0.0);
        it->second.weights.assign(1, 0.0);
    }
    return it->second;
}

// Adds `weight` measurements of 1/tail `y` beside the neighbours that `features` names.
void InterferenceModel::Serving::add(std::span<const std::pair<std::size_t, double>> features, double y, double weight)
{
    const std::size_t n = size();
    for (const auto &[a, x] : features) {
        products[a] += weight * x * y;
        for (const auto &[b, z] : features) {
            moments[a * n + b] += weight * x * z;
        }
    }
    count += weight;
}

std::vector<LearnedServing> InterferenceModel::learned() const
{
    std::vector<std::string_view> names(m_numbers.size());
    for (const auto &[name, number] : m_numbers) {
        names[number] = name;
    }
    std::vector<LearnedServing> all;
    for (ImageNumber serving = 0; serving < m_answers.size(); ++serving) {
        const auto &answers = m_answers[serving];
        if (answers.baseRate <= 0) {
            continue;
        }
        LearnedServing one{std::string(names[serving]), answers.baseRate, {}};
        for (ImageNumber image = 0; image < answers.presses.size(); ++image) {
            if (answers.presses[image] > 0) {
                one.presses.push_back({std::string(names[image]), answers.presses[image]});
            }
        }
        all.push_back(std::move(one));
    }
    return all;
}

// What was believed comes back as measurements that would have led to it.
void InterferenceModel::restore(std::span<const LearnedServing> learned)
{
    for (const auto &one : learned) {
        auto &model = servingOf(numberOf(one.image));
        const std::pair<std::size_t, double> alone[] = {{0, 1.0}};
        model.add(alone, one.baseRate, RestoredCount);
        for (const auto &it : one.presses) {
            const std::pair<std::size_t, double> beside[]
                = {{0, 1.0}, {model.indexOf(numberOf(it.image)), RestoredShare}};
            model.add(beside, one.baseRate - it.press * RestoredShare, RestoredCount);
        }
    }
    m_fittedAt = TimePoint(); // due at once
}

void InterferenceModel::fit(TimePoint now)
{
    if (now - m_fittedAt < FitInterval) {
        return;
    }
    const double elapsed = m_fittedAt == TimePoint() ? 0 : std::chrono::duration<double>(now - m_fittedAt).count();
    const double factor = std::exp2(-elapsed / std::chrono::duration<double>(HalfLife).count());
    m_fittedAt = now;
    m_answers.assign(m_numbers.size(), Answers());
    for (auto &[serving, it] : m_servings) {
        it.fade(factor);
        it.fit();
        if (it.count < MinCount || serving >= m_answers.size()) {
            continue;
        }
        auto &answers = m_answers[serving];
        answers.baseRate = it.weights.front();
        answers.presses.assign(m_numbers.size(), 0.0);
        for (std::size_t n = 0; n < it.images.size(); ++n) {
            const double press = -it.weights[n + 1];
            if (press >= MinPress * answers.baseRate) {
                answers.presses[it.images[n]] = press;
            }
        }
    }
}

ImageNumber InterferenceModel::numberOf(std::string_view image)
{
    const auto it = m_numbers.find(image);
    return it != m_numbers.end() ? it->second : m_numbers.emplace(std::string(image), m_numbers.size()).first->second;
}

double InterferenceModel::press(ImageNumber serving, ImageNumber image) const
{
    if (serving >= m_answers.size() || image >= m_answers[serving].presses.size()) {
        return 0;
    }
    return m_answers[serving].presses[image];
}

bool InterferenceModel::disturbsAny(ImageNumber image) const
{
    return std::ranges::any_of(m_answers,
                               [&](const Answers &it) { return image < it.presses.size() && it.presses[image] > 0; });
}

double InterferenceModel::baseRate(ImageNumber serving) const
{
    return serving < m_answers.size() ? m_answers[serving].baseRate : 0;
}

} // namespace monsoonspool::scheduling
