#pragma once

#include "common/identifiers.h"
#include "common/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <vector>

namespace monsoonspool::membership {

// A process of a worker that tells by its answers which leader it obeys: it refuses orders with a lower
// fence than the highest one that it has seen.
struct Witness
{
    WorkerId worker;
    std::int64_t startTimeMs = 0; // identifies the process, which forgets the fence when it ends
    bool operator==(const Witness &) const = default;
};

// The last answer of a worker to a leader, by which it has accepted the leader's fence.
struct WitnessAnswer
{
    std::int64_t startTimeMs = 0; // of the process that has answered
    TimePoint requestSentAt;
};

// Every host reads the leader's row, which names the witnesses. A majority of them is reached although
// some are lost together with the leader.
inline constexpr std::size_t MaxWitnesses = 9;

// The witnesses in the leader's row, as its writer must count with them. A write without a reply may have
// been carried out, so that until the row is read again, each list that it may hold counts.
//
// Two leaders that ask the same witnesses exclude each other: once a majority has accepted the successor's
// fence, no majority accepts a request that its predecessor sends later. Invariants:
//  - a witness counts for a leader only with the process that the row names,
//  - leaders that may decide at the same time have the same witnesses, see mayChange().
//
// Not thread-safe: owned by the control thread.
class Witnesses
{
public:
    // Replaces everything by the list of a row that was read or stored.
    void reset(std::span<const Witness> stored);
    // Adds the list of a row that is about to be written.
    void add(std::span<const Witness> written);

    const std::vector<std::vector<Witness>> &lists() const
    {
        return m_lists;
    }
    // Returns whether no row that may be stored names any.
    bool areNone() const;
    // Returns the processes of all lists.
    std::vector<Witness> all() const;

private:
    std::vector<std::vector<Witness>> m_lists{{}};
};

using WitnessAnswers = std::map<WorkerId, WitnessAnswer>;

// Returns the latest time such that a majority of `witnesses` has accepted a request that was sent at that time
// or later; unset if no majority has accepted one, or there are no witnesses.
std::optional<TimePoint> supportedSince(std::span<const Witness> witnesses, const WitnessAnswers &answers);
// The same of a majority of each list. Lists without witnesses need no support.
std::optional<TimePoint> supportedSince(const Witnesses &witnesses, const WitnessAnswers &answers);
// Returns whether no former leader can be supported by `witnesses` any more, as a majority of them has accepted
// this leader's fence or has ended; false if there are no witnesses.
bool isAcceptedByMajority(std::span<const Witness> witnesses, const WitnessAnswers &answers);

struct WitnessCandidate
{
    Witness process;
    FailureDomain domain;
};

// Returns the witnesses for the next row: the `present` ones that are candidates, and others up to MaxWitnesses,
// spread over the failure domains.
std::vector<Witness> chooseWitnesses(std::span<const Witness> present, std::span<const WitnessCandidate> candidates);

} // namespace monsoonspool::membership
