#include "metrics/latencyhistogram.h"

#include <boost/histogram.hpp>

#include <algorithm>
#include <cmath>

namespace monsoonspool::metrics {

namespace {

namespace bh = boost::histogram;

constexpr double MinMicroseconds = 1;
constexpr double MaxMicroseconds = 1e9;
constexpr int Bins = 850;

using Axis = bh::axis::regular<double, bh::axis::transform::log>;
using Histogram = bh::histogram<std::tuple<Axis>, bh::dense_storage<std::uint64_t>>;

Histogram makeHistogram()
{
    return bh::make_histogram_with(bh::dense_storage<std::uint64_t>(), Axis(Bins, MinMicroseconds, MaxMicroseconds));
}

} // namespace

struct LatencyHistogram::Private
{
    Histogram histogram = makeHistogram();
    std::uint64_t count = 0;
};

LatencyHistogram::LatencyHistogram() : d(std::make_unique<Private>())
{
}

LatencyHistogram::~LatencyHistogram() = default;
LatencyHistogram::LatencyHistogram(LatencyHistogram &&) noexcept = default;
LatencyHistogram &LatencyHistogram::operator=(LatencyHistogram &&) noexcept = default;

LatencyHistogram::LatencyHistogram(const LatencyHistogram &other) : d(std::make_unique<Private>(*other.d))
{
}

LatencyHistogram &LatencyHistogram::operator=(const LatencyHistogram &other)
{
    *d = *other.d;
    return *this;
}

void LatencyHistogram::add(Duration time)
{
    d->histogram(std::max(MinMicroseconds, static_cast<double>(time.count())));
    ++d->count;
}

void LatencyHistogram::merge(const LatencyHistogram &other)
{
    d->histogram += other.d->histogram;
    d->count += other.d->count;
}

std::uint64_t LatencyHistogram::count() const
{
    return d->count;
}

Duration LatencyHistogram::quantile(double q) const
{
    const auto rank = static_cast<std::uint64_t>(std::ceil(std::clamp(q, 0.0, 1.0) * static_cast<double>(d->count)));
    std::uint64_t seen = 0;
    for (const auto &bin : bh::indexed(d->histogram, bh::coverage::all)) {
        seen += *bin;
        if (seen >= rank && seen > 0) {
            const double middle = std::sqrt(std::max(MinMicroseconds, bin.bin().lower())
                                            * std::min(MaxMicroseconds, bin.bin().upper()));
            return Duration(static_cast<std::int64_t>(middle));
        }
    }
    return Duration{0};
}

} // namespace monsoonspool::metrics
