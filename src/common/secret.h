#pragma once

#include <cstddef>
#include <string_view>

namespace monsoonspool {

// Compares two secrets in constant time, so that the response time does not reveal the
// matching prefix. Returns early only if the lengths differ. Must also compile as C++17.
inline bool constantTimeEquals(std::string_view a, std::string_view b)
{
    if (a.size() != b.size()) {
        return false;
    }
    unsigned difference = 0;
    for (std::size_t n = 0; n < a.size(); ++n) {
        difference |= static_cast<unsigned char>(a[n]) ^ static_cast<unsigned>(static_cast<unsigned char>(b[n]));
    }
    return difference == 0;
}

} // namespace monsoonspool
