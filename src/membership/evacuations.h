#pragma once

#include "common/identifiers.h"
#include "common/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <vector>

namespace monsoonspool::membership {

// The bound of Evacuations where the settings of the deployment name none.
inline constexpr Duration DefaultEvacuationBound = 5s;

// A request of the operators to evacuate a failure domain, or its withdrawal.
struct EvacuationRequest
{
    FailureDomain domain;
    bool isWithdrawn = false;
    std::uint64_t version = 0; // of the store; 0 if unknown
};

// The failure domains whose workers get no new tasks, as far as they have been read. No task starts
// in a domain later than the bound after its evacuation was stored.
//
// A reading shows all evacuations that were stored before it began, so that a start within less than
// the bound after that time is in time, whatever has been stored since. Starts that are ordered are
// therefore valid only until startsValidUntil().
class Evacuations
{
public:
    explicit Evacuations(Duration bound = DefaultEvacuationBound);

    // Applies a complete reading, which replaces all earlier ones. Returns what has changed.
    std::vector<EvacuationRequest> replaceAll(std::span<const EvacuationRequest> requests);
    // Applies changes, which may repeat those of the last complete reading. Returns what has changed.
    std::vector<EvacuationRequest> apply(std::span<const EvacuationRequest> changes);
    // Records that everything stored before `time` has been applied.
    void noteRead(TimePoint time);

    bool mayTakeTasks(const FailureDomain &domain) const
    {
        return !m_versions.contains(domain);
    }
    std::vector<FailureDomain> domains() const;
    // Returns when the last complete reading began, or nothing before the first one.
    std::optional<TimePoint> readAt() const
    {
        return m_readAt;
    }
    // Returns until when starts that are ordered by the last reading may be carried out; a time in
    // the past before the first one.
    TimePoint startsValidUntil() const;
    // Returns the longest time between two readings that leaves time to repeat a failed one.
    Duration maxReadingInterval() const;

private:
    Duration m_bound{0};
    std::map<FailureDomain, std::uint64_t> m_versions; // of the evacuated domains' requests
    std::optional<TimePoint> m_readAt;
};

} // namespace monsoonspool::membership
