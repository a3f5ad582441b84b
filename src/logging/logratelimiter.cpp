#include "logging/linebudget.h"

#include <algorithm>

namespace monsoonspool::logging {

namespace {

// A burst may write the lines of this many seconds at once.
constexpr double BurstSeconds = 4;
constexpr Duration TellInterval = 1s;

} // namespace

bool LineBudget::take(std::string_view event, TimePoint now)
{
    const double burst = m_linesPerSecond * BurstSeconds;
    auto it = m_buckets.find(event);
    if (it == m_buckets.end()) {
        it = m_buckets.emplace(std::string(event), Bucket()).first;
        it->second.tokens = burst;
        it->second.filledAt = now;
    }
    auto &bucket = it->second;
    const double elapsed = std::chrono::duration<double>(now - bucket.filledAt).count();
    bucket.tokens = std::min(burst, bucket.tokens + elapsed * m_linesPerSecond);
    bucket.filledAt = now;
    if (bucket.tokens < 1) {
        ++bucket.leftOut;
        return false;
    }
    bucket.tokens -= 1;
    return true;
}

std::map<std::string, std::uint64_t> LineBudget::takeLeftOut(TimePoint now)
{
    std::map<std::string, std::uint64_t> leftOut;
    if (now - m_toldAt < TellInterval) {
        return leftOut;
    }
    m_toldAt = now;
    for (auto &[event, it] : m_buckets) {
        if (it.leftOut > 0) {
            leftOut[event] = it.leftOut;
            it.leftOut = 0;
        }
    }
    return leftOut;
}

} // namespace monsoonspool::logging
