#include "records/recordkeeper.h"

#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace monsoonspool::records {

namespace {

constexpr std::string_view KeyPrefix = "record/";
constexpr Duration MinPollInterval = 50ms;
constexpr Duration MaxPollInterval = 1s;
constexpr Duration StoreRetryDelay = 200ms;
// Closing a record is given up after this time.
constexpr Duration CloseTimeout = 2s;
// Answers with larger bodies are not recorded; their records stay Intended.
constexpr std::size_t MaxRecordedBodyBytes = 256 * 1024;

} // namespace

struct RecordKeeper::Private
{
    // An open record. Exists from open() until the closed record is written.
    struct Entry
    {
        KeyedRequest request;
        RequestRecord record;
        std::uint64_t version = 0; // row version that the next write is conditional on
        DecisionHandler onDecision; // empty once it is called
        ClosedHandler closed; // called when the answer is written
        TimePoint writeDeadline; // an answer or NotRun not written by then is given up
        bool isSent = false; // the decision is MayProceed
        RecordState stateInCommit = RecordState::Intended; // state written by the commit in progress
    };
    // A request that waits for the answer to an earlier one with the same key.
    struct Joiner
    {
        KeyedRequest request;
        DecisionHandler onDecision;
        TimePoint nextPoll;
        Duration interval = MinPollInterval;
        bool isReading = false;
    };
    using Token = std::uint64_t;

    RecordKeeperOptions options;
    ports::TableService &table;
    const RecordCodec &codec;
    std::map<Token, Entry> entries;
    std::map<Token, Joiner> joiners;
    std::deque<Token> queue; // entries whose record has to be written
    Token nextToken = 1;
    bool isCommitting = false;
    TimePoint nextCommit;
    TimePoint now;
    RecordSummary counts;
    std::shared_ptr<bool> isAlive = std::make_shared<bool>(true);

    Private(RecordKeeperOptions keeperOptions, ports::TableService &tableService, const RecordCodec &recordCodec)
        : options(std::move(keeperOptions)), table(tableService), codec(recordCodec)
    {
    }

    static std::string rowKey(const KeyedRequest &request)
    {
        return std::string(KeyPrefix) + request.key;
    }

    void commitQueued();
    void onCommitted(std::span<const Token> tokens, const ports::AsyncResult<std::uint64_t> &result);
    void onWritten(Token token, std::uint64_t version);
    void readBack(Token token);
    void onReadBack(Token token, const ports::AsyncResult<std::optional<ports::Row>> &result);
    void resolveConflict(Token token, const RequestRecord &record, std::uint64_t version);
    void requeue(Token token);
    void decide(Token token, const Decision &decision);
    void expireOverdue();
    void join(Entry &&entry);
    void pollJoiners();
    void onPolled(Token token, const ports::AsyncResult<std::optional<ports::Row>> &result);
    void finishJoiner(Token token, const Decision &decision);
    std::optional<RequestRecord> decodeRow(const ports::Row &row) const;
};

RecordKeeper::RecordKeeper(RecordKeeperOptions options, ports::TableService &table, const RecordCodec &codec)
    : d(std::make_unique<Private>(std::move(options), table, codec))
{
}

RecordKeeper::~RecordKeeper()
{
    *d->isAlive = false;
}

void RecordKeeper::open(const KeyedRequest &request, TimePoint now, DecisionHandler handler)
{
    d->now = now;
    const auto token = d->nextToken++;
    auto &entry = d->entries[token];
    entry.request = request;
    entry.onDecision = std::move(handler);
    entry.record = {RecordState::Intended, request.fingerprint, d->options.host, d->options.incarnation, token, {}};
    d->queue.push_back(token);
    ++d->counts.intents;
    d->commitQueued();
}

void RecordKeeper::closeAnswered(std::uint64_t token, RecordedAnswer answer, TimePoint now, ClosedHandler closed)
{
    d->now = now;
    const auto it = d->entries.find(token);
    if (it == d->entries.end() || answer.body.size() > MaxRecordedBodyBytes) {
        d->entries.erase(token);
        closed();
        return;
    }
    it->second.record.state = RecordState::Answered;
    it->second.record.answer = std::move(answer);
    it->second.closed = std::move(closed);
    it->second.writeDeadline = now + CloseTimeout;
    d->queue.push_back(token);
    d->commitQueued();
}

void RecordKeeper::closeNotRun(std::uint64_t token, TimePoint now)
{
    d->now = now;
    const auto it = d->entries.find(token);
    if (it == d->entries.end()) {
        return;
    }
    it->second.record.state = RecordState::NotRun;
    it->second.writeDeadline = now + CloseTimeout;
    d->queue.push_back(token);
    d->commitQueued();
}

void RecordKeeper::abandon(std::uint64_t token)
{
    d->entries.erase(token);
}

void RecordKeeper::tick(TimePoint now)
{
    d->now = now;
    d->expireOverdue();
    d->commitQueued();
    d->pollJoiners();
}

bool RecordKeeper::isIdle() const
{
    return d->queue.empty() && !d->isCommitting;
}

RecordSummary RecordKeeper::summary() const
{
    RecordSummary summary = d->counts;
    summary.open = static_cast<int>(d->entries.size());
    summary.queued = static_cast<int>(d->queue.size());
    return summary;
}

void RecordKeeper::Private::commitQueued()
{
    if (isCommitting || queue.empty() || now < nextCommit) {
        return;
    }
    std::vector<Token> tokens;
    std::vector<ports::RowWrite> writes;
    std::map<std::string, Token> rowsInCommit;
    std::deque<Token> deferred;
    while (!queue.empty() && static_cast<int>(writes.size()) < options.maxRowsPerCommit) {
        const Token token = queue.front();
        queue.pop_front();
        const auto it = entries.find(token);
        if (it == entries.end()) {
            continue;
        }
        const auto key = rowKey(it->second.request);
        if (!rowsInCommit.emplace(key, token).second) {
            deferred.push_back(token); // a commit can write a row only once
            continue;
        }
        it->second.stateInCommit = it->second.record.state;
        writes.push_back({key, it->second.version, codec.encode(it->second.record), false});
        tokens.push_back(token);
    }
    queue.insert(queue.begin(), deferred.begin(), deferred.end());
    if (writes.empty()) {
        return;
    }
    isCommitting = true;
    nextCommit = now + options.window;
    ++counts.commits;
    counts.rows += writes.size();
    table.commit(writes,
                 [this, alive = isAlive, tokens = std::move(tokens)](const ports::AsyncResult<std::uint64_t> &result) {
                     if (*alive) {
                         onCommitted(tokens, result);
                     }
                 });
}

void RecordKeeper::Private::onCommitted(std::span<const Token> tokens, const ports::AsyncResult<std::uint64_t> &result)
{
    isCommitting = false;
    if (result.isOk()) {
        for (const Token token : tokens) {
            onWritten(token, result.value());
        }
        return;
    }
    switch (result.failure().kind) {
    case ErrorKind::StoreConflict:
        // The failure's detail is the key of the conflicting row. The other rows were not
        // written and can be committed again.
        for (const Token token : tokens) {
            const auto it = entries.find(token);
            if (it != entries.end() && rowKey(it->second.request) == result.failure().detail) {
                readBack(token);
            } else {
                queue.push_front(token);
            }
        }
        nextCommit = now;
        return;
    case ErrorKind::StoreUnavailable:
        for (const Token token : tokens) {
            requeue(token);
        }
        nextCommit = now + StoreRetryDelay;
        return;
    default:
        for (const Token token : tokens) {
            readBack(token);
        }
        return;
    }
}

// Queues a write that certainly had no effect, unless the service is configured to
// send requests without a record during an outage of the store.
void RecordKeeper::Private::requeue(Token token)
{
    const auto it = entries.find(token);
    if (it == entries.end()) {
        return;
    }
    auto &entry = it->second;
    if (entry.onDecision && entry.request.sendUnrecordedInOutage) {
        ++counts.unrecorded;
        const auto handler = std::exchange(entry.onDecision, nullptr);
        entries.erase(it);
        handler(MayProceed{0});
        return;
    }
    queue.push_back(token);
}

void RecordKeeper::Private::onWritten(Token token, std::uint64_t version)
{
    const auto it = entries.find(token);
    if (it == entries.end()) {
        return;
    }
    auto &entry = it->second;
    entry.version = version;
    if (entry.stateInCommit != entry.record.state) {
        queue.push_back(token);
        return;
    }
    if (entry.record.state == RecordState::Intended) {
        decide(token, MayProceed{token});
        return;
    }
    const auto closed = std::move(entry.closed);
    entries.erase(it);
    if (closed) {
        closed();
    }
}

void RecordKeeper::Private::decide(Token token, const Decision &decision)
{
    const auto it = entries.find(token);
    if (it == entries.end() || !it->second.onDecision) {
        return;
    }
    const auto handler = std::exchange(it->second.onDecision, nullptr);
    if (std::holds_alternative<MayProceed>(decision)) {
        it->second.isSent = true;
    } else {
        entries.erase(it);
    }
    handler(decision);
}

void RecordKeeper::Private::readBack(Token token)
{
    const auto it = entries.find(token);
    if (it == entries.end()) {
        return;
    }
    ++counts.readBacks;
    table.read(rowKey(it->second.request),
               [this, alive = isAlive, token](const ports::AsyncResult<std::optional<ports::Row>> &result) {
                   if (*alive) {
                       onReadBack(token, result);
                   }
               });
}

std::optional<RequestRecord> RecordKeeper::Private::decodeRow(const ports::Row &row) const
{
    return handleFailure([&]() -> Result<std::optional<RequestRecord>> { return codec.decode(row.value); },
                         [](const Failure &) { return std::optional<RequestRecord>(); });
}

void RecordKeeper::Private::onReadBack(Token token, const ports::AsyncResult<std::optional<ports::Row>> &result)
{
    const auto it = entries.find(token);
    if (it == entries.end()) {
        return;
    }
    auto &entry = it->second;
    if (!result.isOk()) {
        // The outcome is still unknown: retries. The write is conditional on the row's
        // version, so that repeating it is safe even if the first one took effect.
        queue.push_back(token);
        nextCommit = std::max(nextCommit, now + StoreRetryDelay);
        return;
    }
    if (!result.value()) {
        entry.version = 0;
        queue.push_back(token);
        return;
    }
    const auto record = decodeRow(*result.value());
    if (!record) {
        decide(token, Failure{ErrorKind::OutcomeUnrecorded, "the idempotency record cannot be decoded"});
        return;
    }
    const bool isOwnWrite
        = record->host == options.host && record->incarnation == options.incarnation && record->intentId == token;
    if (isOwnWrite && record->state == entry.record.state) {
        onWritten(token, result.value()->version);
    } else if (isOwnWrite) {
        entry.version = result.value()->version;
        queue.push_back(token);
    } else {
        resolveConflict(token, *record, result.value()->version);
    }
}

void RecordKeeper::Private::resolveConflict(Token token, const RequestRecord &record, std::uint64_t version)
{
    const auto it = entries.find(token);
    auto &entry = it->second;
    if (entry.isSent || !entry.onDecision) {
        // The decision was already made; closes the entry without recording its outcome.
        const auto closed = std::move(entry.closed);
        entries.erase(it);
        if (closed) {
            closed();
        }
        return;
    }
    switch (evaluateRecord(record, entry.request.fingerprint)) {
    case RecordDisposition::Proceed:
        entry.version = version;
        queue.push_back(token);
        break;
    case RecordDisposition::Replay:
        ++counts.replays;
        decide(token, record.answer);
        break;
    case RecordDisposition::Join: {
        Entry joining = std::move(entry);
        entries.erase(it);
        join(std::move(joining));
        break;
    }
    case RecordDisposition::Mismatch:
        decide(token,
               Failure{ErrorKind::IdempotencyKeyReused, "the idempotency key was used with a different request"});
        break;
    }
}

void RecordKeeper::Private::join(Entry &&entry)
{
    ++counts.joins;
    auto &joiner = joiners[nextToken++];
    joiner.request = std::move(entry.request);
    joiner.onDecision = std::move(entry.onDecision);
    joiner.nextPoll = now + MinPollInterval;
}

void RecordKeeper::Private::pollJoiners()
{
    std::vector<Token> overdue;
    for (auto &[token, joiner] : joiners) {
        if (now >= joiner.request.deadline) {
            overdue.push_back(token);
        } else if (!joiner.isReading && now >= joiner.nextPoll) {
            joiner.isReading = true;
            joiner.interval = std::min(MaxPollInterval, joiner.interval * 2);
            table.read(
                rowKey(joiner.request),
                [this, alive = isAlive, id = token](const ports::AsyncResult<std::optional<ports::Row>> &result) {
                    if (*alive) {
                        onPolled(id, result);
                    }
                });
        }
    }
    for (const Token token : overdue) {
        finishJoiner(token,
                     Failure{ErrorKind::OutcomeUnrecorded,
                             "an earlier request with this idempotency key has no recorded answer"});
    }
}

void RecordKeeper::Private::onPolled(Token token, const ports::AsyncResult<std::optional<ports::Row>> &result)
{
    const auto it = joiners.find(token);
    if (it == joiners.end()) {
        return;
    }
    auto &joiner = it->second;
    joiner.isReading = false;
    joiner.nextPoll = now + joiner.interval;
    if (!result.isOk() || !result.value()) {
        return;
    }
    const auto record = decodeRow(*result.value());
    if (!record) {
        return;
    }
    if (record->state == RecordState::Answered) {
        ++counts.replays;
        finishJoiner(token, record->answer);
    } else if (record->state == RecordState::NotRun) {
        // The earlier request was not run: this one takes over its record.
        Joiner taken = std::move(joiner);
        joiners.erase(it);
        const auto next = nextToken++;
        auto &entry = entries[next];
        entry.request = std::move(taken.request);
        entry.onDecision = std::move(taken.onDecision);
        entry.record = {RecordState::Intended, entry.request.fingerprint, options.host, options.incarnation, next, {}};
        entry.version = result.value()->version;
        queue.push_back(next);
    }
}

void RecordKeeper::Private::finishJoiner(Token token, const Decision &decision)
{
    auto node = joiners.extract(token);
    if (!node.empty()) {
        node.mapped().onDecision(decision);
    }
}

void RecordKeeper::Private::expireOverdue()
{
    std::vector<Token> overdueIntents;
    std::vector<Token> overdueCloses;
    for (const auto &[token, entry] : entries) {
        if (entry.onDecision && now >= entry.request.deadline) {
            overdueIntents.push_back(token);
        } else if (entry.record.state != RecordState::Intended && now >= entry.writeDeadline) {
            overdueCloses.push_back(token);
        }
    }
    for (const Token token : overdueIntents) {
        // The intent may have been written. The request will not be sent, which the
        // record has to say for later requests with the same key.
        auto &entry = entries[token];
        const auto handler = std::exchange(entry.onDecision, nullptr);
        entry.record.state = RecordState::NotRun;
        entry.writeDeadline = now + CloseTimeout;
        handler(Failure{ErrorKind::StoreUnavailable,
                        "the idempotency record could not be written before the request's deadline"});
    }
    for (const Token token : overdueCloses) {
        auto node = entries.extract(token);
        if (node.mapped().closed) {
            node.mapped().closed();
        }
    }
}

} // namespace monsoonspool::records
