#pragma once

#include "common/error.h"
#include "control/trafficsnapshot.h"
#include "grants/slotmessages.h"
#include "records/recordkeeper.h"

#include <cstdint>
#include <memory>
#include <string>
#include <variant>

// The messages between the control thread and the lanes, which are the traffic threads.
namespace monsoonspool::control {

using RecordTicket = std::uint64_t; // chosen by a lane, identifies one keyed request

// From the control thread to a lane.
struct SnapshotOrder
{
    std::shared_ptr<const TrafficSnapshot> snapshot;
};
struct OfferOrder
{
    grants::SlotOffer offer;
};
struct RecallOrder
{
    grants::LedgerKey ledger;
};
struct RecordOrder
{
    RecordTicket ticket = 0;
    records::Decision decision;
};
struct RecordClosedOrder
{
    RecordTicket ticket = 0;
};
// Replies to ConfirmTargetsEvent: the latest snapshot is as recent as possible.
struct TargetsConfirmedOrder
{
};
struct DrainOrder
{
};
// Asks the lane for its section of the state dump.
struct DescribeOrder
{
    std::uint64_t query = 0;
};
using LaneOrder = std::variant<SnapshotOrder, OfferOrder, RecallOrder, RecordOrder, RecordClosedOrder,
                               TargetsConfirmedOrder, DrainOrder, DescribeOrder>;

// From a lane to the control thread.
struct SlotRequestEvent
{
    grants::SlotRequest request;
};
struct RecordOpenEvent
{
    int lane = 0;
    RecordTicket ticket = 0;
    records::KeyedRequest request;
};
struct RecordCloseEvent
{
    int lane = 0;
    RecordTicket ticket = 0;
    std::uint64_t token = 0; // from MayProceed
    enum class Ending {
        Answered,
        NotRun,
        Unknown,
    } ending
        = Ending::Unknown;
    records::RecordedAnswer answer;
};
// Requests that the list of targets be read again, after the process was paused.
struct ConfirmTargetsEvent
{
    int lane = 0;
};
struct LaneDrainedEvent
{
    int lane = 0;
};
struct LaneDescribedEvent
{
    int lane = 0;
    std::uint64_t query = 0;
    std::string description; // encoded by the lane's describer
};
using LaneEvent = std::variant<SlotRequestEvent, RecordOpenEvent, RecordCloseEvent, ConfirmTargetsEvent,
                               LaneDrainedEvent, LaneDescribedEvent>;

} // namespace monsoonspool::control
