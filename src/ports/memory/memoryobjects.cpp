#include "ports/memory/memoryobjects.h"

#include "ports/memory/faultycall.h"

namespace monsoonspool::ports::memory {

MemoryObjects::MemoryObjects(Scheduler &scheduler, FaultPlan &faults) : m_scheduler(scheduler), m_faults(faults)
{
}

Fault MemoryObjects::nextFault(std::string_view name)
{
    return m_faults.next(name, m_callCount++, m_scheduler.now());
}

void MemoryObjects::put(std::string_view name, std::string_view value, Handler<Done> handler)
{
    callWithFault<Done>(
        m_scheduler, nextFault("objects.put"), ErrorKind::StoreReplyLost,
        [this, name = std::string(name), value = std::string(value)]() -> AsyncResult<Done> {
            m_objects[name] = value;
            return Done{};
        },
        std::move(handler));
}

void MemoryObjects::get(std::string_view name, Handler<std::optional<std::string>> handler)
{
    callWithFault<std::optional<std::string>>(
        m_scheduler, nextFault("objects.get"), ErrorKind::StoreUnavailable,
        [this, name = std::string(name)]() -> AsyncResult<std::optional<std::string>> {
            const auto it = m_objects.find(name);
            return it == m_objects.end() ? std::optional<std::string>() : std::optional(it->second);
        },
        std::move(handler));
}

void MemoryObjects::remove(std::string_view name, Handler<Done> handler)
{
    callWithFault<Done>(
        m_scheduler, nextFault("objects.remove"), ErrorKind::StoreReplyLost,
        [this, name = std::string(name)]() -> AsyncResult<Done> {
            m_objects.erase(name);
            return Done{};
        },
        std::move(handler));
}

} // namespace monsoonspool::ports::memory
