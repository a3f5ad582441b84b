#include "routing/targetchooser.h"

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>

#include <algorithm>

namespace monsoonspool::routing {

namespace {

using Generator = boost::random::mt19937_64;

std::size_t randomIndex(Generator &generator, std::size_t n)
{
    return boost::random::uniform_int_distribution<std::size_t>(0, n - 1)(generator);
}

// Selects the candidate with the lowest cost. The search starts at a random position,
// so that ties are not always broken in favor of the same target.
template <typename Cost>
std::optional<std::size_t> chooseLowest(std::span<const TargetCandidate> candidates, Generator &generator, Cost cost)
{
    if (candidates.empty()) {
        return std::nullopt;
    }
    const std::size_t start = randomIndex(generator, candidates.size());
    std::size_t best = start;
    double lowest = cost(candidates[start]);
    for (std::size_t n = 1; n < candidates.size(); ++n) {
        const std::size_t i = (start + n) % candidates.size();
        const double it = cost(candidates[i]);
        if (it < lowest) {
            lowest = it;
            best = i;
        }
    }
    return best;
}

// The cost is the squared slowness times the utilization relative to the weight.
// Squaring the slowness keeps requests off slow targets while others have free slots,
// since the speed of a slot does not depend on how many others are in use.
class LeastExpectedTime : public TargetChooser
{
public:
    explicit LeastExpectedTime(std::uint64_t seed) : m_generator(seed)
    {
    }
    std::optional<std::size_t> choose(std::span<const TargetCandidate> candidates) override
    {
        return chooseLowest(candidates, m_generator, [](const TargetCandidate &it) {
            return it.slowness * it.slowness * (it.inUse + 1) / (it.weight * it.allowed);
        });
    }

private:
    Generator m_generator;
};

class LeastOutstanding : public TargetChooser
{
public:
    explicit LeastOutstanding(std::uint64_t seed) : m_generator(seed)
    {
    }
    std::optional<std::size_t> choose(std::span<const TargetCandidate> candidates) override
    {
        return chooseLowest(candidates, m_generator, [](const TargetCandidate &it) { return it.inUse; });
    }

private:
    Generator m_generator;
};

class RandomTarget : public TargetChooser
{
public:
    explicit RandomTarget(std::uint64_t seed) : m_generator(seed)
    {
    }
    std::optional<std::size_t> choose(std::span<const TargetCandidate> candidates) override
    {
        if (candidates.empty()) {
            return std::nullopt;
        }
        return randomIndex(m_generator, candidates.size());
    }

private:
    Generator m_generator;
};

} // namespace

std::unique_ptr<TargetChooser> makeTargetChooser(std::string_view name, std::uint64_t seed)
{
    if (name == "least-expected-time") {
        return std::make_unique<LeastExpectedTime>(seed);
    }
    if (name == "least-outstanding") {
        return std::make_unique<LeastOutstanding>(seed);
    }
    if (name == "random") {
        return std::make_unique<RandomTarget>(seed);
    }
    return nullptr;
}

} // namespace monsoonspool::routing
