#include "scheduling/interferencemodel.h"

#include <algorithm>
#include <cmath>

namespace monsoonspool::scheduling {

namespace {

constexpr Duration FitInterval = 500ms;
// Time in which an observation loses half of its weight.
constexpr Duration HalfLife = 30s;
// A serving image with fewer effective observations has no fit.
constexpr double MinObservations = 15;
// Ridge penalty in units of squared core share. A coefficient needs a few dozen
// observations at a core share of 0.1 to outweigh it.
constexpr double RidgePenalty = 0.08;
// A restored parameter is weighted as RestoredCount observations at RestoredShare.
constexpr double RestoredCount = 25;
constexpr double RestoredShare = 0.2;
constexpr int SweepCount = 12; // of coordinate descent, which starts from the previous solution
constexpr double MinShare = 0.002; // smaller core shares are not used as features
// Coefficients below this multiple of the intercept are treated as noise: for pairs that
// do not interfere, most fits stay below half of it.
constexpr double MinSensitivity = 1.0;
// Images beyond these share one number, of which nothing is learned.
constexpr ImageNumber MaxImages = 1024;
// Of the serving images, and of the features of each; a regression takes the square of them.
constexpr std::size_t MaxRegressions = 128;
constexpr std::size_t MaxFeatures = 128;

} // namespace

std::optional<std::size_t> InterferenceModel::Regression::indexOf(ImageNumber image)
{
    const auto it = std::ranges::find(images, image);
    if (it != images.end()) {
        return static_cast<std::size_t>(it - images.begin()) + 1;
    }
    if (image >= MaxImages || size() >= MaxFeatures) {
        return std::nullopt;
    }
    const std::size_t old = size();
    images.push_back(image);
    std::vector<double> resized(size() * size(), 0.0);
    for (std::size_t row = 0; row < old && !gramMatrix.empty(); ++row) {
        std::copy_n(gramMatrix.begin() + static_cast<std::ptrdiff_t>(row * old), old,
                    resized.begin() + static_cast<std::ptrdiff_t>(row * size()));
    }
    gramMatrix = std::move(resized);
    crossProducts.resize(size(), 0.0);
    weights.resize(size(), 0.0);
    return old;
}

void InterferenceModel::Regression::decay(double factor)
{
    for (auto &it : gramMatrix) {
        it *= factor;
    }
    for (auto &it : crossProducts) {
        it *= factor;
    }
    count *= factor;
}

// Solves the normal equations by coordinate descent. The intercept is unconstrained; the
// other weights, which are the negated coefficients, are clamped to at most zero.
void InterferenceModel::Regression::fit()
{
    const std::size_t n = size();
    for (int sweep = 0; sweep < SweepCount; ++sweep) {
        for (std::size_t row = 0; row < n; ++row) {
            double rest = crossProducts[row];
            for (std::size_t column = 0; column < n; ++column) {
                if (column != row) {
                    rest -= gramMatrix[row * n + column] * weights[column];
                }
            }
            const double curvature = gramMatrix[row * n + row] + (row == 0 ? 0 : RidgePenalty);
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
    auto *model = regressionOf(serving);
    if (model == nullptr) {
        return;
    }
    std::vector<std::pair<std::size_t, double>> features = {{0, 1.0}};
    for (const auto &neighbour : neighbours) {
        if (neighbour.coreShare <= MinShare) {
            continue;
        }
        if (const auto index = model->indexOf(neighbour.image)) {
            features.emplace_back(*index, neighbour.coreShare);
        }
    }
    model->add(features, 1 / tailMs, 1);
}

InterferenceModel::Regression *InterferenceModel::regressionOf(ImageNumber image)
{
    auto it = m_regressions.find(image);
    if (it == m_regressions.end()) {
        if (image >= MaxImages || m_regressions.size() >= MaxRegressions) {
            return nullptr;
        }
        it = m_regressions.emplace(image, Regression()).first;
        it->second.gramMatrix.assign(1, 0.0);
        it->second.crossProducts.assign(1, 0.0);
        it->second.weights.assign(1, 0.0);
    }
    return &it->second;
}

// Adds an observation of 1/tail = `y` for the given feature values, with weight `weight`.
void InterferenceModel::Regression::add(std::span<const std::pair<std::size_t, double>> features, double y,
                                        double weight)
{
    const std::size_t n = size();
    for (const auto &[a, x] : features) {
        crossProducts[a] += weight * x * y;
        for (const auto &[b, z] : features) {
            gramMatrix[a * n + b] += weight * x * z;
        }
    }
    count += weight;
}

std::vector<LearnedInterference> InterferenceModel::learned() const
{
    std::vector<std::string_view> names(m_numbers.size());
    for (const auto &[name, number] : m_numbers) {
        names[number] = name;
    }
    std::vector<LearnedInterference> all;
    for (ImageNumber serving = 0; serving < m_results.size(); ++serving) {
        const auto &result = m_results[serving];
        if (result.baseRate <= 0) {
            continue;
        }
        LearnedInterference one{std::string(names[serving]), result.baseRate, {}};
        for (ImageNumber image = 0; image < result.sensitivities.size(); ++image) {
            if (result.sensitivities[image] > 0) {
                one.sensitivities.push_back({std::string(names[image]), result.sensitivities[image]});
            }
        }
        all.push_back(std::move(one));
    }
    return all;
}

// Adds synthetic observations that reproduce the stored fit.
void InterferenceModel::restore(std::span<const LearnedInterference> learned)
{
    for (const auto &one : learned) {
        auto *model = regressionOf(numberOf(one.image));
        if (model == nullptr) {
            continue;
        }
        const std::pair<std::size_t, double> alone[] = {{0, 1.0}};
        model->add(alone, one.baseRate, RestoredCount);
        for (const auto &it : one.sensitivities) {
            if (const auto index = model->indexOf(numberOf(it.image))) {
                const std::pair<std::size_t, double> beside[] = {{0, 1.0}, {*index, RestoredShare}};
                model->add(beside, one.baseRate - it.value * RestoredShare, RestoredCount);
            }
        }
    }
    m_fittedAt = TimePoint(); // makes the next fit() due immediately
}

void InterferenceModel::fit(TimePoint now)
{
    if (now - m_fittedAt < FitInterval) {
        return;
    }
    const double elapsed = m_fittedAt == TimePoint() ? 0 : std::chrono::duration<double>(now - m_fittedAt).count();
    const double factor = std::exp2(-elapsed / std::chrono::duration<double>(HalfLife).count());
    m_fittedAt = now;
    m_results.assign(m_numbers.size(), FitResult());
    for (auto &[serving, it] : m_regressions) {
        it.decay(factor);
        it.fit();
        if (it.count < MinObservations || serving >= m_results.size()) {
            continue;
        }
        auto &result = m_results[serving];
        result.baseRate = it.weights.front();
        result.sensitivities.assign(m_numbers.size(), 0.0);
        for (std::size_t n = 0; n < it.images.size(); ++n) {
            const double sensitivity = -it.weights[n + 1];
            if (sensitivity >= MinSensitivity * result.baseRate) {
                result.sensitivities[it.images[n]] = sensitivity;
            }
        }
    }
}

ImageNumber InterferenceModel::numberOf(std::string_view image)
{
    const auto it = m_numbers.find(image);
    if (it != m_numbers.end()) {
        return it->second;
    }
    return m_numbers.size() < MaxImages ? m_numbers.emplace(std::string(image), m_numbers.size()).first->second
                                        : MaxImages;
}

double InterferenceModel::sensitivity(ImageNumber serving, ImageNumber image) const
{
    if (serving >= m_results.size() || image >= m_results[serving].sensitivities.size()) {
        return 0;
    }
    return m_results[serving].sensitivities[image];
}

bool InterferenceModel::interferesWithAny(ImageNumber image) const
{
    return std::ranges::any_of(
        m_results, [&](const FitResult &it) { return image < it.sensitivities.size() && it.sensitivities[image] > 0; });
}

double InterferenceModel::baseRate(ImageNumber serving) const
{
    return serving < m_results.size() ? m_results[serving].baseRate : 0;
}

} // namespace monsoonspool::scheduling
