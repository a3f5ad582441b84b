#include "execution/wallclock.h"

#include <algorithm>
#include <iterator>
#include <vector>

namespace monsoonspool::execution {

namespace {

constexpr Duration SampleInterval = 1s;
// Clocks jump by some seconds and back again after some more.
constexpr Duration SamplePeriod = 60s;

} // namespace

jobs::WallTime WallClock::read(TimePoint now, jobs::WallTime reading)
{
    const auto difference = std::chrono::duration_cast<Duration>(reading.time_since_epoch()) - now.time_since_epoch();
    if (m_samples.empty() || now - m_samples.back().at >= SampleInterval) {
        add({now, difference});
    }
    m_jump = difference - m_difference;
    return jobs::WallTime(std::chrono::floor<std::chrono::milliseconds>(now.time_since_epoch() + m_difference));
}

void WallClock::add(const Sample &sample)
{
    m_samples.push_back(sample);
    while (sample.at - m_samples.front().at >= SamplePeriod) {
        m_samples.pop_front();
    }
    std::vector<Duration> differences;
    std::ranges::transform(m_samples, std::back_inserter(differences), &Sample::difference);
    const auto middle = differences.begin() + (std::ssize(differences) - 1) / 2;
    std::ranges::nth_element(differences, middle);
    m_difference = *middle;
}

} // namespace monsoonspool::execution
