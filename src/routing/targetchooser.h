#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string_view>

namespace monsoonspool::routing {

// A target with a free slot, as input to a TargetChooser.
struct TargetCandidate
{
    std::size_t index = 0; // not interpreted by the chooser
    int inUse = 0; // slots of this holder in use
    int allowed = 1; // slots of this holder
    double weight = 1; // see TargetHealth::weight()
    double slowness = 1; // see TargetHealth::slowness()
};

// Load-balancing policy that selects the target of a request.
class TargetChooser
{
public:
    virtual ~TargetChooser() = default;

    // Returns the position of the selected target in `candidates`, or nullopt if
    // `candidates` is empty.
    virtual std::optional<std::size_t> choose(std::span<const TargetCandidate> candidates) = 0;
};

// Returns the chooser with the given name, "least-expected-time",
// "least-outstanding" or "random", or nullptr if the name is unknown.
std::unique_ptr<TargetChooser> makeTargetChooser(std::string_view name, std::uint64_t seed);

} // namespace monsoonspool::routing
