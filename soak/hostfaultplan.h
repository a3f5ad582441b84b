#pragma once

#include "common/error.h"
#include "common/time.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace monsoonspool::soak {

enum class HostFault {
    Pause, // SIGSTOP, and SIGCONT in under 2 s
    Kill, // SIGKILL and a restart
    Stop, // SIGTERM and a restart
};

// Which faults the hosts of a soak get.
enum class HostFaultSet {
    None,
    Pauses,
    Kills,
    Stops,
    All,
};

// Fails with InvalidArguments.
Result<HostFaultSet> parseHostFaultSet(std::string_view text);
std::string_view hostFaultSetName(HostFaultSet set);

struct PlannedHostFault
{
    HostFault fault = HostFault::Pause;
    int host = 0;
    Duration at{0}; // from the start of the soak
    Duration length{0}; // of the pause, or from the end of the process to its restart
};

// Plans series of faults, ordered by time, with quiet stretches between the series that are long
// enough for the system to settle. Equal seeds give equal plans.
std::vector<PlannedHostFault> planHostFaults(HostFaultSet set, std::uint64_t seed, int hosts, Duration length);

} // namespace monsoonspool::soak
