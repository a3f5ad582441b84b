#include "http/descriptors.h"

#include <sys/resource.h>

#include <algorithm>

namespace monsoonspool::http {

namespace {

constexpr std::size_t ReservedForFiles = 200;
// Without a limit, or with a very small one.
constexpr std::size_t MaxUsable = 1'000'000;
constexpr std::size_t MinUsable = 64;

} // namespace

std::size_t usableDescriptors()
{
    rlimit limit{};
    if (getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur > MaxUsable) {
        return MaxUsable;
    }
    const auto n = static_cast<std::size_t>(limit.rlim_cur);
    return std::max(MinUsable, n - std::min(n, ReservedForFiles));
}

} // namespace monsoonspool::http
