#include "ports/memory/memoryhosts.h"

#include "ports/memory/faultycall.h"

namespace monsoonspool::ports::memory {

MemoryHosts::MemoryHosts(Scheduler &scheduler, FaultPlan &faults, Duration lag)
    : m_scheduler(scheduler), m_faults(faults), m_lag(lag)
{
}

void MemoryHosts::list(Handler<HostListing> handler)
{
    const auto fault = m_faults.next("hosts.list", m_callCount++, m_scheduler.now());
    callWithFault<HostListing>(
        m_scheduler, fault, ErrorKind::StoreUnavailable, [this]() -> AsyncResult<HostListing> { return m_visible; },
        std::move(handler));
}

void MemoryHosts::set(HostListing listing)
{
    m_current = listing;
    if (m_lag == Duration{0}) {
        m_visible = std::move(listing);
        return;
    }
    m_scheduler.runAfter(m_lag, [this, listing = std::move(listing)] { m_visible = listing; });
}

} // namespace monsoonspool::ports::memory
