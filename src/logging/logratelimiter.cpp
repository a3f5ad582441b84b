#include "logging/logratelimiter.h"

#include <algorithm>

namespace monsoonspool::logging {

namespace {

constexpr double BurstSeconds = 4; // bucket size, in seconds of the sustained rate
constexpr Duration ReportInterval = 1s;

} // namespace

bool LogRateLimiter::tryAcquire(std::string_view event, TimePoint now)
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
        ++bucket.suppressed;
        return false;
    }
    bucket.tokens -= 1;
    return true;
}

std::map<std::string, std::uint64_t> LogRateLimiter::takeSuppressed(TimePoint now)
{
    std::map<std::string, std::uint64_t> suppressed;
    if (now - m_reportedAt < ReportInterval) {
        return suppressed;
    }
    m_reportedAt = now;
    for (auto &[event, it] : m_buckets) {
        if (it.suppressed > 0) {
            suppressed[event] = it.suppressed;
            it.suppressed = 0;
        }
    }
    return suppressed;
}

} // namespace monsoonspool::logging
