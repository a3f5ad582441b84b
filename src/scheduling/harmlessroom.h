#pragma once

#include "scheduling/interferencemodel.h"
#include "workers/worker.h"

#include <span>
#include <vector>

namespace monsoonspool::scheduling {

// Knows how scarce the workers are on which leftover work of each image disturbs
// nobody, so that work that may run in many places leaves those to work that may not.
//
// Worked out anew now and then: presses and places of serving tasks change slowly.
// Not thread-safe: owned by the control thread.
class HarmlessRoom
{
public:
    bool isDue(TimePoint now) const;
    // `demands` holds the processors, in thousandths of a core, that running and waiting
    // work of each image wants; images beyond its end want none.
    void update(std::span<workers::Worker *const> workers, const InterferenceModel &model,
                std::span<const std::int64_t> demands, TimePoint now);

    // Returns the greatest part of its harmless room that any image but `image` wants,
    // among those that are harmless on `worker`; at most MaxScarcity.
    double contention(const workers::Worker &worker, ImageNumber image) const;

    static constexpr double MaxScarcity = 2;

private:
    struct Scarcity
    {
        ImageNumber image = 0;
        double wantedPart = 0;
    };

    std::vector<Scarcity> m_scarcities; // the scarcest first
    TimePoint m_updatedAt;
};

} // namespace monsoonspool::scheduling
