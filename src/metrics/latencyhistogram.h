#pragma once

#include "common/time.h"

#include <cstdint>
#include <memory>

namespace monsoonspool::metrics {

// Histogram of durations from 1 us to 1000 s with logarithmic bins; quantiles are
// accurate to 2.5%. Uses about 8 KB.
//
// Not thread-safe.
class LatencyHistogram
{
public:
    LatencyHistogram();
    ~LatencyHistogram();
    LatencyHistogram(const LatencyHistogram &other);
    LatencyHistogram &operator=(const LatencyHistogram &other);
    LatencyHistogram(LatencyHistogram &&) noexcept;
    LatencyHistogram &operator=(LatencyHistogram &&) noexcept;

    void add(Duration d);
    void merge(const LatencyHistogram &other);

    std::uint64_t count() const;

    // Returns the `q` quantile (0 to 1) of the durations, or 0 if the histogram is empty.
    Duration quantile(double q) const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace monsoonspool::metrics
