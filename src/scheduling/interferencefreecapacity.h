#pragma once

#include "scheduling/interferencemodel.h"
#include "workers/worker.h"

#include <span>
#include <vector>

namespace monsoonspool::scheduling {

// Tracks, for each image, the demand for leftover cores in relation to the leftover
// cores on which tasks of that image interfere with no serving task. Tasks that can run
// on many workers use this to avoid the workers that more constrained images need.
//
// Recomputed periodically, since interference and the placement of serving tasks change
// slowly. Not thread-safe: owned by the control thread.
class InterferenceFreeCapacity
{
public:
    bool isDue(TimePoint now) const;
    // `demands` holds, by image number, the milli-cores requested by running and waiting
    // tasks on leftover cores. Images beyond its end request none.
    void update(std::span<workers::Worker *const> workers, const InterferenceModel &model,
                std::span<const std::int64_t> demands, TimePoint now);

    // Returns the highest ratio of demand to interference-free capacity among the images
    // other than `image` that interfere with nothing on `worker`, capped at MaxContention.
    double contention(const workers::Worker &worker, ImageNumber image) const;

    static constexpr double MaxContention = 2;

private:
    struct DemandRatio
    {
        ImageNumber image = 0;
        double ratio = 0;
    };

    std::vector<DemandRatio> m_demandRatios; // in descending order of ratio
    TimePoint m_updatedAt;
};

} // namespace monsoonspool::scheduling
