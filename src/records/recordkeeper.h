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

// The intent is recorded: the request may be sent, once. `token` names it in
// RecordKeeper::close().
struct MayProceed
{
    std::uint64_t token = 0;
};

// What a keyed request may do: be sent, or be answered from the record, or fail.
using Decision = std::variant<MayProceed, RecordedAnswer, Failure>;
using DecisionHandler = std::function<void(const Decision &)>;
using ClosedHandler = std::function<void()>;

// A keyed request that wants to be sent.
struct KeyedRequest
{
    std::string key; // unique for the service
    std::string fingerprint;
    TimePoint deadline;
    bool sendUnrecordedInOutage = false;
};

struct RecordKeeperOptions
{
    EntryHostId host;
    std::uint64_t incarnation = 0;
    Duration window = 40ms; // shortest time between two commits
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

// Records keyed requests in the table service, so that each runs at most once
// however often and at whichever entry host it arrives.
//
// The intent is written with the condition that the row is as it was read (at
// first: that there is none), before the request is sent. Many rows go into one
// commit, with one commit under way at a time and at least `window` between
// two: n hosts make at most n / window commits a second. When a commit fails on
// a condition, the row is read and judged, and the others are committed again.
// When its reply is lost, all of its rows are read back: a row that carries this
// keeper's intent number is its own write. An answer is written the same way; a
// record that cannot be closed stays Intended and answers "may have run".
//
// A request that joins another polls its row with back-off until the answer is
// there or its own deadline comes.
//
// Not thread-safe: owned by the control thread.
class RecordKeeper
{
public:
    RecordKeeper(RecordKeeperOptions options, ports::TableService &table, const RecordCodec &codec);
    ~RecordKeeper();
    RecordKeeper(const RecordKeeper &) = delete;
    RecordKeeper &operator=(const RecordKeeper &) = delete;

    // Opens a record for `request`; calls `handler` once, by the request's deadline.
    void open(const KeyedRequest &request, TimePoint now, DecisionHandler handler);

    // Records how the request of `token` ended: with an answer, or certainly not
    // run. Calls `closed` once the record is written or given up. A request that
    // may have run without an answer is closed by abandon().
    void closeAnswered(std::uint64_t token, RecordedAnswer answer, TimePoint now, ClosedHandler closed);
    void closeNotRun(std::uint64_t token, TimePoint now);
    void abandon(std::uint64_t token);

    // Does what is due: commits, polls and deadlines.
    void tick(TimePoint now);

    // Returns whether nothing is waiting to be written.
    bool isIdle() const;

    RecordSummary summary() const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace monsoonspool::records
