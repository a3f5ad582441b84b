#pragma once

#include "common/time.h"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace monsoonspool::placement {

// What the evidence says of one pair of kinds.
struct PairEstimate
{
    double slowdown = 1; // 1 is none, 2 is twice as slow
    double confidence = 0; // 0 to 1, grows with the samples
};

// Learns which kinds of batch work slow which services down.
//
// A report tells the slowdown of a service's task and which kinds ran beside it.
// It cannot tell which of them is to blame, so that each neighbour gets the part
// of the surprise that the model cannot explain yet: the normalised least mean
// squares rule over log slowdowns. Pairs that were never seen together count as
// harmless.
//
// Not thread-safe for writing; const functions may run in parallel.
class Interference
{
public:
    // Takes in that `service` was slowed by `slowdown` beside `neighbours`.
    void note(std::string_view service, std::span<const std::string> neighbours, double slowdown);

    // Returns whether nothing was learned yet.
    bool isEmpty() const
    {
        return m_weights.empty();
    }

    PairEstimate pair(std::string_view service, std::string_view neighbour) const;

    // Returns the expected slowdown of `service` beside `neighbours`; pairs count
    // by their confidence.
    double expected(std::string_view service, std::span<const std::string> neighbours) const;

private:
    struct Weight
    {
        double logSlowdown = 0;
        int samples = 0;
    };
    static std::string keyOf(std::string_view service, std::string_view neighbour);

    std::unordered_map<std::string, Weight> m_weights;
};

} // namespace monsoonspool::placement
