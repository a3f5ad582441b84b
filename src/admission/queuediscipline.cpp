#include "admission/queuediscipline.h"

#include <algorithm>
#include <tuple>

namespace monsoonspool::admission {

std::optional<FlowIndex> GuaranteedShares::choose(std::span<const FlowState> flows, TimePoint) const
{
    const auto order = [](const FlowState &flow) {
        const bool isAboveGuarantee = flow.inUse >= flow.guaranteedSlots;
        return std::tuple(isAboveGuarantee, flow.rank, (flow.inUse + 1) / flow.weight, flow.earliestDeadline);
    };
    const auto it = std::ranges::min_element(flows, {}, order);
    return it == flows.end() ? std::nullopt : std::optional(it->index);
}

std::optional<FlowIndex> EarliestDeadline::choose(std::span<const FlowState> flows, TimePoint) const
{
    const auto it = std::ranges::min_element(flows, {}, &FlowState::earliestDeadline);
    return it == flows.end() ? std::nullopt : std::optional(it->index);
}

std::unique_ptr<QueueDiscipline> makeQueueDiscipline(std::string_view name)
{
    if (name == "guaranteed-shares") {
        return std::make_unique<GuaranteedShares>();
    }
    if (name == "earliest-deadline") {
        return std::make_unique<EarliestDeadline>();
    }
    return nullptr;
}

} // namespace monsoonspool::admission
