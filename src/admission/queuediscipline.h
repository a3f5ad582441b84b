#pragma once

#include "admission/flow.h"

#include <memory>
#include <optional>
#include <span>
#include <string_view>

namespace monsoonspool::admission {

// Policy that selects the flow whose request gets the next free slot.
class QueueDiscipline
{
public:
    virtual ~QueueDiscipline() = default;

    // Returns the flow to serve next, or nullopt if none may be served. All `flows`
    // have queued requests.
    virtual std::optional<FlowIndex> choose(std::span<const FlowState> flows, TimePoint now) const = 0;
};

// Serves flows below their guaranteed slots first, then by rank, most urgent first,
// and within a rank the flow with the fewest slots in use relative to its weight. An
// overloaded flow can therefore use spare slots only.
class GuaranteedShares : public QueueDiscipline
{
public:
    std::optional<FlowIndex> choose(std::span<const FlowState> flows, TimePoint now) const override;
};

// Serves the request with the earliest deadline, regardless of its flow.
class EarliestDeadline : public QueueDiscipline
{
public:
    std::optional<FlowIndex> choose(std::span<const FlowState> flows, TimePoint now) const override;
};

// Returns the discipline with the given name, "guaranteed-shares" or
// "earliest-deadline", or nullptr if the name is unknown.
std::unique_ptr<QueueDiscipline> makeQueueDiscipline(std::string_view name);

} // namespace monsoonspool::admission
