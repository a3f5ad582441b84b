#pragma once

#include "common/error.h"
#include "common/time.h"
#include "ports/tableservice.h"
#include "records/recordcodec.h"
#include "records/requestrecord.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <variant>

namespace monsoonspool::records {

// The intent is recorded: the request may be sent once. `token` identifies the record
// in RecordKeeper::closeAnswered(), closeNotRun() and abandon().
struct MayProceed
{
    std::uint64_t token = 0;
};

// The outcome of open(): send the request, return the recorded answer, or fail.
using Decision = std::variant<MayProceed, RecordedAnswer, Failure>;
using DecisionHandler = std::function<void(const Decision &)>;
using ClosedHandler = std::function<void()>;

// A request with an idempotency key, before it is sent.
struct KeyedRequest
{
    std::string key; // the service and its idempotency key
    std::string fingerprint;
    TimePoint deadline;
    bool sendUnrecordedInOutage = false;
};

struct RecordKeeperOptions
{
    EntryHostId host;
    std::uint64_t incarnation = 0;
    Duration window = 40ms; // shortest interval between two commits
    int maxRowsPerCommit = 500;
};

struct RecordSummary
{
    std::uint64_t intents = 0;
    std::uint64_t replays = 0;
    std::uint64_t joins = 0;
    std::uint64_t commits = 0;
    std::uint64_t rows = 0;
    std::uint64_t readBacks = 0;
    std::uint64_t unrecorded = 0;
    int open = 0;
    int queued = 0;
};

// Records requests with idempotency keys in the table service, so that each runs at
// most once, however often and at whichever entry host it arrives.
//
// Before a request is sent, its intent is written conditionally on the row's version
// (at first: that the row does not exist). Commits are batched, with one in progress
// at a time and at least `window` between two: n hosts make at most n / window commits
// per second. When a condition fails, the conflicting row is read and evaluated, and
// the other rows are committed again. When a commit's reply is lost, all of its rows
// are read back; host, incarnation and intent ID identify a row that this keeper
// wrote. Answers are written the same way. A record that cannot be closed stays
// Intended, and later requests with the key get the failure OutcomeUnrecorded.
//
// A request whose key is in flight polls the row with exponential back-off until the
// answer is recorded or its own deadline expires.
//
// Not thread-safe: owned by the control thread.
class RecordKeeper
{
public:
    RecordKeeper(RecordKeeperOptions options, ports::TableService &table, const RecordCodec &codec);
    ~RecordKeeper();
    RecordKeeper(const RecordKeeper &) = delete;
    RecordKeeper &operator=(const RecordKeeper &) = delete;

    // Opens a record for `request`. Calls `handler` once, at the request's deadline at
    // the latest.
    void open(const KeyedRequest &request, TimePoint now, DecisionHandler handler);

    // Record the outcome of the request of `token`: an answer, or that it certainly did
    // not run. `closed` is called when the record is written or the attempt to write it
    // has timed out. Use abandon() for a request that may have run without an answer.
    void closeAnswered(std::uint64_t token, RecordedAnswer answer, TimePoint now, ClosedHandler closed);
    void closeNotRun(std::uint64_t token, TimePoint now);
    void abandon(std::uint64_t token);

    // Performs the commits, polls and timeouts that are due.
    void tick(TimePoint now);

    // Returns whether no writes are queued or in progress.
    bool isIdle() const;

    RecordSummary summary() const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace monsoonspool::records
