#pragma once

#include "soak/entryhost.h"
#include "soak/faultcounts.h"
#include "soak/history.h"
#include "soak/hostfaultplan.h"

#include <memory>
#include <span>

namespace monsoonspool::soak {

// Plays planned faults on the hosts of a soak, and restarts those that it ends. Records the
// disturbances, and the hosts that end without a signal or not in order. Not thread-safe.
class HostFaultInjector
{
public:
    // `begin` is the time from which the plan counts.
    HostFaultInjector(std::span<EntryHost> hosts, std::vector<PlannedHostFault> plan, TimePoint begin,
                      Recorder &recorder, FaultCounts &faults);
    ~HostFaultInjector();
    HostFaultInjector(const HostFaultInjector &) = delete;
    HostFaultInjector &operator=(const HostFaultInjector &) = delete;

    // Plays what is due. A fault of a host whose former fault is not over is left out. Call every few
    // milliseconds. Fails with Internal if a host cannot be started again.
    Result<void> advance(TimePoint now);

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace monsoonspool::soak
