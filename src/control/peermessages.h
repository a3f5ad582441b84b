#pragma once

#include "control/jobmessages.h"
#include "documents/documentset.h"
#include "grants/slotmessages.h"
#include "membership/entryhosts.h"
#include "membership/heartbeat.h"

#include <cstdint>
#include <variant>
#include <vector>

// The messages between daemons. Their encoding is defined in codec/.
namespace monsoonspool::control {

// Asks a holder to send a slot request at once.
struct SlotRecall
{
    grants::LedgerKey ledger;
    grants::HolderId holder;
};

// Requests the document changes after `position` from a peer.
struct ChangesRequest
{
    EntryHostId from;
    std::uint64_t position = 0;
};

// An accepted change of a document, with its position in the feed of all changes.
struct DocumentChange
{
    std::uint64_t position = 0;
    ServiceName service;
    std::uint64_t revision = 0;
    std::string text;
};

// Changes with consecutive positions.
struct DocumentChanges
{
    std::vector<DocumentChange> changes;
};

using PeerMessage = std::variant<membership::Heartbeat, grants::SlotRequest, grants::SlotOffer, SlotRecall,
                                 ChangesRequest, DocumentChanges, JobCall, JobReply>;

} // namespace monsoonspool::control
