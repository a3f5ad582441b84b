#pragma once

#include <algorithm>
#include <cstdint>
#include <string>

namespace monsoonspool::control {

// Returns `n` with leading zeros, so that row keys sort in numerical order.
inline std::string padded(std::uint64_t n)
{
    constexpr std::size_t width = 12;
    const auto text = std::to_string(n);
    return std::string(width - std::min(width, text.size()), '0') + text;
}

} // namespace monsoonspool::control
