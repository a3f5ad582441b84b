#pragma once

#include "ports/faultplan.h"
#include "ports/memory/memoryhosts.h"
#include "ports/memory/memoryobjects.h"
#include "ports/memory/memorytable.h"
#include "ports/memory/memoryworkers.h"
#include "ports/scheduler.h"

namespace monsoonspool::emulator {

// In-memory implementations of all platform services.
struct EmulatedPlatform
{
    EmulatedPlatform(ports::Scheduler &scheduler, ports::FaultPlan &faults, Duration listLag = Duration{0})
        : table(scheduler, faults), objects(scheduler, faults), hosts(scheduler, faults, listLag),
          workers(scheduler, faults, commands)
    {
    }

    ports::memory::SimpleCommands commands;
    ports::memory::MemoryTable table;
    ports::memory::MemoryObjects objects;
    ports::memory::MemoryHosts hosts;
    ports::memory::MemoryWorkers workers;
};

} // namespace monsoonspool::emulator
