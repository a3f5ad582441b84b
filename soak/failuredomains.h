#pragma once

#include <string>

namespace monsoonspool::soak {

// Returns the failure domain of the `n`th host or worker.
inline std::string failureDomain(int n)
{
    constexpr int domains = 3;
    return "domain-" + std::to_string(n % domains + 1);
}

} // namespace monsoonspool::soak
