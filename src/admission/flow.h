#pragma once

#include "common/identifiers.h"
#include "common/time.h"

#include <cstdint>
#include <string>

namespace monsoonspool::admission {

using FlowIndex = std::uint32_t;

// The scheduling parameters of a flow: the requests of one urgency class of one
// service. Read from the service's document.
struct FlowPlan
{
    ServiceName service;
    std::string urgency;
    int rank = 0; // lower is more urgent
    double guaranteedShare = 0; // fraction of the pool's slots
    double weight = 1; // relative to flows of the same rank
    int queueLimit = 0; // maximum number of waiting requests

    bool operator==(const FlowPlan &) const = default;
};

// A snapshot of a flow with waiting requests, as input to a QueueDiscipline.
struct FlowState
{
    FlowIndex index = 0;
    int rank = 0;
    double guaranteedSlots = 0;
    double weight = 1;
    int inUse = 0;
    int waiting = 0;
    TimePoint earliestDeadline;
};

} // namespace monsoonspool::admission
