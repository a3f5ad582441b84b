#pragma once

#include "ports/faultplan.h"
#include "ports/hostlist.h"
#include "ports/scheduler.h"

namespace monsoonspool::ports::memory {

// In-memory host list. Changes become visible after a lag.
class MemoryHosts : public HostList
{
public:
    MemoryHosts(Scheduler &scheduler, FaultPlan &faults, Duration lag);

    void list(Handler<HostListing> handler) override;

    // Replaces the current list; list() returns it after the lag.
    void set(HostListing listing);

    // Returns the current list, without the lag.
    const HostListing &current() const
    {
        return m_current;
    }

private:
    Scheduler &m_scheduler;
    FaultPlan &m_faults;
    Duration m_lag;
    HostListing m_current;
    HostListing m_visible;
    std::uint64_t m_callCount = 0;
};

} // namespace monsoonspool::ports::memory
