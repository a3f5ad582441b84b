#pragma once

#include "ports/faultplan.h"
#include "ports/objectstore.h"
#include "ports/scheduler.h"

#include <map>

namespace monsoonspool::ports::memory {

// In-memory object store with injected faults.
class MemoryObjects : public ObjectStore
{
public:
    MemoryObjects(Scheduler &scheduler, FaultPlan &faults);

    void put(std::string_view name, std::string_view value, Handler<Done> handler) override;
    void get(std::string_view name, Handler<std::optional<std::string>> handler) override;
    void remove(std::string_view name, Handler<Done> handler) override;

private:
    Fault nextFault(std::string_view name);

    Scheduler &m_scheduler;
    FaultPlan &m_faults;
    std::map<std::string, std::string, std::less<>> m_objects;
    std::uint64_t m_callCount = 0;
};

} // namespace monsoonspool::ports::memory
