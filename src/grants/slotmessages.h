#pragma once

#include "common/identifiers.h"
#include "common/time.h"

#include <compare>
#include <cstdint>
#include <vector>

// The messages of the slot protocol between a holder and the owner of a ledger.
namespace monsoonspool::grants {

// Identifies one traffic thread of one daemon process on an entry host. A
// restarted daemon is a new holder, because it does not know which slots the
// previous process held.
struct HolderId
{
    EntryHostId host;
    std::uint64_t incarnation = 0;
    int lane = 0;
    auto operator<=>(const HolderId &) const = default;
};

// Identifies a ledger: the targets of one pool in one region. One owner allocates
// their slots.
struct LedgerKey
{
    PoolName pool;
    RegionName region;
    auto operator<=>(const LedgerKey &) const = default;
};

// A number of slots on one target.
struct SlotCount
{
    TargetId target;
    int slots = 0;
    int connections = 0; // connection quota of the holder; 0 in `inUseOverLimit`
    bool operator==(const SlotCount &) const = default;
};

// Sent by a holder to report its state and its demand.
struct SlotRequest
{
    LedgerKey ledger;
    HolderId holder;
    std::uint64_t sequence = 0;
    Epoch appliedEpoch; // of the last offer that the holder applied; 0 if its start window has closed
    std::uint64_t appliedSequence = 0; // of the last offer that the holder applied
    int wanted = 0; // slots in use, waiting requests, and a small reserve
    bool isFar = false; // the holder is in another region and gets only leftover slots
    bool isLeaving = false; // the holder is draining and needs no more slots
    std::vector<TargetId> unhealthy; // targets that fail this holder's requests
    std::vector<TargetId> slow; // targets that are much slower than the others
    std::vector<SlotCount> inUseOverLimit; // requests in use per target, where they exceed the applied offer
    Epoch holdingsEpoch; // the epoch whose owner asked for `holdings`
    std::vector<SlotCount> holdings; // the complete applied offer, if `holdingsEpoch` is set
};

// Sent by the owner of a ledger in answer to a SlotRequest.
struct SlotOffer
{
    LedgerKey ledger;
    HolderId holder;
    std::uint64_t sequence = 0; // of the request that this offer answers
    Epoch epoch;
    Duration startWindow{0}; // starts when the holder sent the request
    bool wantsHoldings = false; // a new owner asks the holder to report its holdings; nothing else is set
    bool isUnchanged = false; // the applied offer stays valid; `slots` is empty
    std::vector<SlotCount> slots; // absolute limits; targets not listed have none
    std::vector<TargetId> suspects; // targets that other holders report as unhealthy or slow
};

} // namespace monsoonspool::grants
