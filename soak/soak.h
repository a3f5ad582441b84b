#pragma once

#include "common/error.h"
#include "soak/connectionbehavior.h"
#include "soak/faultcounts.h"
#include "soak/historychecker.h"
#include "soak/hostfaultplan.h"
#include "soak/jobclients.h"

#include <string>

namespace monsoonspool::soak {

struct SoakOptions
{
    std::uint64_t seed = 1;
    int seconds = 20; // in which jobs are submitted
    int drainSeconds = 40; // in which the last jobs may end
    int hosts = 3;
    int workers = 6;
    int clients = 6;
    ConnectionKind connections = ConnectionKind::Keep;
    Duration storeDelay{0}; // of each answer of the store
    HostFaultSet hostFaults = HostFaultSet::None;
    std::string program; // path of monsoonspool-execution
    std::string folder; // for settings, logs and the history; it must exist
};

struct SoakResult
{
    Verdict verdict;
    ClientCounts clients;
    FaultCounts faults;
    bool isInterrupted = false;
};

// Plays one soak: starts real processes of entry hosts beside stand-ins of the platform, and checks
// the history. Ends all that it started. Blocks until then, or until SIGINT or SIGTERM.
// Fails with Internal if a host cannot be started or does not become ready.
Result<void> playSoak(const SoakOptions &options, SoakResult &result);

} // namespace monsoonspool::soak
