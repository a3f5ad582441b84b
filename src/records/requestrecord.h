#pragma once

#include "common/identifiers.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace monsoonspool::records {

// A complete answer of a target, as sent to the guest.
struct RecordedAnswer
{
    int status = 0;
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;

    bool operator==(const RecordedAnswer &) const = default;
};

enum class RecordState {
    Intended, // the request will be sent, or may have been
    Answered, // the answer is recorded
    NotRun, // the request was certainly not sent; a later one may take over the record
};

// The state of a request with an idempotency key, shared by all entry hosts.
//
// State transitions: (none) -> Intended -> Answered, or Intended -> NotRun -> Intended.
// Only the entry host that wrote an Intended record may send its request, and only
// once.
struct RequestRecord
{
    RecordState state = RecordState::Intended;
    std::string fingerprint; // of the request's method, target and body
    EntryHostId host; // the writer of the intent
    std::uint64_t incarnation = 0; // of that host
    std::uint64_t intentId = 0; // unique within the incarnation; identifies the writer's own rows
    RecordedAnswer answer;
};

// How to handle a request whose key already has a record.
enum class RecordDisposition {
    Proceed, // take over the record and send the request
    Replay, // return the recorded answer
    Join, // wait for the request in flight
    Mismatch, // the key was used with a different request
};

// Returns how to handle a request with `fingerprint` whose key has `record`.
RecordDisposition evaluateRecord(const RequestRecord &record, std::string_view fingerprint);

} // namespace monsoonspool::records
