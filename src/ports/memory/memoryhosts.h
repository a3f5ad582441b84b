#pragma once

#include "ports/faultplan.h"
#include "ports/hostlist.h"
#include "ports/scheduler.h"

namespace monsoonspool::ports::memory {

// The host list in memory. A change shows after a lag.
class MemoryHosts : public HostList
{
public:
    MemoryHosts(Scheduler &scheduler, FaultPlan &faults, Duration lag);

    void list(Handler<HostListing> handler) override;

    // Replaces the true list; readers see it after the lag.
    void set(HostListing listing);

    // Returns the true list.
    const HostListing &current() const
    {
        return m_current;
    }

private:
    Scheduler &m_scheduler;
    FaultPlan &m_faults;
    Duration m_lag;
    HostListing m_current;
    HostListing m_shown;
    std::uint64_t m_callCount = 0;
};

} // namespace monsoonspool::ports::memory
