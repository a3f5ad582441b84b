#include "control/documentstore.h"

#include "control/rowkeys.h"

#include <boost/random/mersenne_twister.hpp>

#include <algorithm>
#include <charconv>

#include <deque>
#include <utility>

namespace monsoonspool::control {

namespace {

constexpr std::string_view FeedHeadKey = "feed/head";
constexpr int FeedScanLimit = 500;
constexpr int MaxDocuments = 10'000;
constexpr int MaxHistory = 1'000;
constexpr int MaxApplyAttempts = 12;

std::string feedKey(std::uint64_t position)
{
    return "feed/" + padded(position);
}

std::string documentKey(const ServiceName &service)
{
    return "document/" + service.text();
}

std::string historyKey(const ServiceName &service, std::uint64_t revision)
{
    return "document-history/" + service.text() + "/" + padded(revision);
}

std::uint64_t parseNumber(std::string_view text)
{
    std::uint64_t n = 0;
    std::from_chars(text.data(), text.data() + text.size(), n);
    return n;
}

} // namespace

struct DocumentStore::Private
{
    // The state of one apply across its calls to the table service.
    struct Apply
    {
        ApplyRequest request;
        ApplyHandler handler;
        documents::ServiceDocument document;
        std::uint64_t applyId = 0;
        int attempts = 0;
        ports::Row head; // of the feed, as read
        std::uint64_t rowVersion = 0; // of the document's row, as read
        DocumentRow current;
    };
    using ApplyPointer = std::shared_ptr<Apply>;

    DocumentStoreOptions options;
    documents::DocumentSet &documents;
    ports::TableService &table;
    const RowCodec &codec;
    boost::random::mt19937_64 generator;
    std::uint64_t position = 0;
    bool isLoaded = false;
    bool isReading = false;
    TimePoint nextRead;
    std::uint64_t generation = 0;
    std::deque<DocumentChange> cache; // consecutive, ends at `position`
    std::shared_ptr<bool> isAlive = std::make_shared<bool>(true);

    Private(DocumentStoreOptions keeperOptions, documents::DocumentSet &documentSet, ports::TableService &tableService,
            const RowCodec &rowCodec, std::uint64_t seed)
        : options(keeperOptions), documents(documentSet), table(tableService), codec(rowCodec), generator(seed)
    {
    }

    // Wraps a handler so that it does nothing after this object is destroyed.
    template <typename T, typename F>
    ports::Handler<T> guarded(F f)
    {
        return [alive = isAlive, f = std::move(f)](const ports::AsyncResult<T> &result) {
            if (*alive) {
                f(result);
            }
        };
    }

    void putInForce(const DocumentChange &change);
    bool applyNext(const DocumentChange &change);
    void readFeed();
    void onFeed(const std::vector<ports::Row> &rows);
    void readAllRows();
    void onAllRows(std::uint64_t headPosition, const std::vector<ports::Row> &rows);

    void startAttempt(const ApplyPointer &apply);
    void readDocumentRow(const ApplyPointer &apply);
    void validate(const ApplyPointer &apply);
    void commit(const ApplyPointer &apply);
    void onCommitFailed(const ApplyPointer &apply, const Failure &failure);
    void readBack(const ApplyPointer &apply);
    void succeed(const ApplyPointer &apply);
    void refuse(const ApplyPointer &apply, Failure failure, std::vector<documents::DocumentFault> faults = {});
};

DocumentStore::DocumentStore(DocumentStoreOptions options, documents::DocumentSet &documents,
                             ports::TableService &table, const RowCodec &codec, std::uint64_t applySeed)
    : d(std::make_unique<Private>(options, documents, table, codec, applySeed))
{
}

DocumentStore::~DocumentStore()
{
    *d->isAlive = false;
}

std::uint64_t DocumentStore::position() const
{
    return d->position;
}

bool DocumentStore::isLoaded() const
{
    return d->isLoaded;
}

std::uint64_t DocumentStore::generation() const
{
    return d->generation;
}

void DocumentStore::Private::putInForce(const DocumentChange &change)
{
    auto decoded = codec.decodeServiceDocument(change.text);
    if (documents.accept({change.revision, change.text, std::move(decoded.document)})) {
        ++generation;
    }
}

// Puts `change` in force if it is the next change of the feed. Returns whether it was.
bool DocumentStore::Private::applyNext(const DocumentChange &change)
{
    if (change.position != position + 1) {
        return false;
    }
    putInForce(change);
    position = change.position;
    cache.push_back(change);
    if (cache.size() > options.cachedChanges) {
        cache.pop_front();
    }
    return true;
}

void DocumentStore::applyChanges(std::span<const DocumentChange> changes)
{
    if (!d->isLoaded) {
        return;
    }
    for (const auto &it : changes) {
        d->applyNext(it);
    }
}

std::vector<DocumentChange> DocumentStore::changesAfter(std::uint64_t position) const
{
    std::vector<DocumentChange> changes;
    if (d->cache.empty() || d->cache.front().position > position + 1) {
        return changes;
    }
    for (const auto &it : d->cache) {
        if (it.position > position) {
            changes.push_back(it);
        }
    }
    return changes;
}

void DocumentStore::tick(bool isRegionReader, TimePoint now)
{
    if (d->isReading || now < d->nextRead) {
        return;
    }
    d->nextRead = now + (isRegionReader || !d->isLoaded ? d->options.readInterval : d->options.fallbackInterval);
    d->isReading = true;
    if (d->isLoaded) {
        d->readFeed();
    } else {
        d->readAllRows();
    }
}

void DocumentStore::Private::readFeed()
{
    // The key of the head sorts after all positions, so the scan returns it only when
    // it has returned all changes.
    table.scan(feedKey(position + 1), "feed0", FeedScanLimit,
               guarded<std::vector<ports::Row>>([this](const ports::AsyncResult<std::vector<ports::Row>> &result) {
                   isReading = false;
                   if (result.isOk()) {
                       onFeed(result.value());
                   }
               }));
}

void DocumentStore::Private::onFeed(const std::vector<ports::Row> &rows)
{
    for (const auto &row : rows) {
        if (row.key == FeedHeadKey) {
            // If the head is ahead, the changes up to it were removed: read all rows.
            if (parseNumber(row.value) > position) {
                isLoaded = false;
                nextRead = TimePoint{};
            }
            return;
        }
        const bool isApplied = handleFailure(
            [&]() -> Result<bool> {
                BOOST_LEAF_AUTO(change, codec.decodeChange(row.value));
                return applyNext(change);
            },
            [](const Failure &) { return false; });
        if (!isApplied && parseNumber(std::string_view(row.key).substr(std::string_view("feed/").size())) > position) {
            isLoaded = false;
            nextRead = TimePoint{};
            return;
        }
    }
    if (static_cast<int>(rows.size()) == FeedScanLimit) {
        nextRead = TimePoint{};
    }
}

void DocumentStore::Private::readAllRows()
{
    // The head is read first, so the rows may be newer than the head but never older.
    // Changes that the feed then repeats are not newer and have no effect.
    table.read(FeedHeadKey,
               guarded<std::optional<ports::Row>>([this](const ports::AsyncResult<std::optional<ports::Row>> &head) {
                   if (!head.isOk()) {
                       isReading = false;
                       return;
                   }
                   const std::uint64_t headPosition = head.value() ? parseNumber(head.value()->value) : 0;
                   table.scan("document/", "document0", MaxDocuments,
                              guarded<std::vector<ports::Row>>(
                                  [this, headPosition](const ports::AsyncResult<std::vector<ports::Row>> &rows) {
                                      isReading = false;
                                      if (rows.isOk()) {
                                          onAllRows(headPosition, rows.value());
                                      }
                                  }));
               }));
}

void DocumentStore::Private::onAllRows(std::uint64_t headPosition, const std::vector<ports::Row> &rows)
{
    for (const auto &row : rows) {
        handleFailure(
            [&]() -> Result<void> {
                BOOST_LEAF_AUTO(document, codec.decodeDocument(row.value));
                putInForce({0, ServiceName(), document.revision, document.text});
                return {};
            },
            [](const Failure &) {});
    }
    if (headPosition > position) {
        position = headPosition;
        cache.clear();
    }
    isLoaded = true;
    ++generation;
}

void DocumentStore::apply(ApplyRequest request, TimePoint, ApplyHandler handler)
{
    auto apply = std::make_shared<Private::Apply>();
    apply->request = std::move(request);
    apply->handler = std::move(handler);
    apply->applyId = d->generator();
    auto decoded = d->codec.decodeServiceDocument(apply->request.text);
    if (decoded.faults.empty() && decoded.document.service != apply->request.service) {
        decoded.faults.push_back(
            {"service", "must be '" + apply->request.service.text() + "', the service name of the request"});
    }
    if (!decoded.faults.empty()) {
        d->refuse(apply, {ErrorKind::InvalidDocument, "the document is invalid"}, std::move(decoded.faults));
        return;
    }
    apply->document = std::move(decoded.document);
    d->startAttempt(apply);
}

void DocumentStore::Private::startAttempt(const ApplyPointer &apply)
{
    if (++apply->attempts > MaxApplyAttempts) {
        refuse(apply,
               {ErrorKind::StoreConflict,
                "gave up after repeated conflicts with concurrent changes; nothing was applied"});
        return;
    }
    table.read(
        FeedHeadKey,
        guarded<std::optional<ports::Row>>([this, apply](const ports::AsyncResult<std::optional<ports::Row>> &head) {
            if (!head.isOk()) {
                refuse(apply, {ErrorKind::StoreUnavailable, head.failure().detail});
                return;
            }
            apply->head = head.value().value_or(ports::Row{std::string(FeedHeadKey), "0", 0});
            readDocumentRow(apply);
        }));
}

void DocumentStore::Private::readDocumentRow(const ApplyPointer &apply)
{
    table.read(
        documentKey(apply->request.service),
        guarded<std::optional<ports::Row>>([this, apply](const ports::AsyncResult<std::optional<ports::Row>> &row) {
            if (!row.isOk()) {
                refuse(apply, {ErrorKind::StoreUnavailable, row.failure().detail});
                return;
            }
            apply->rowVersion = row.value() ? row.value()->version : 0;
            apply->current = DocumentRow();
            if (row.value()) {
                apply->current = handleFailure([&] { return codec.decodeDocument(row.value()->value); },
                                               [](const Failure &) { return DocumentRow(); });
            }
            validate(apply);
        }));
}

void DocumentStore::Private::validate(const ApplyPointer &apply)
{
    if (apply->current.applyId == apply->applyId) {
        succeed(apply); // an earlier attempt was committed, but its reply was lost
        return;
    }
    if (apply->current.revision != apply->request.baseRevision) {
        refuse(apply,
               {ErrorKind::DocumentConflict,
                "the base revision is " + std::to_string(apply->request.baseRevision) + ", but the current revision is "
                    + std::to_string(apply->current.revision)});
        return;
    }
    // The commit is conditional on the head of the feed. The validation below holds only
    // if the documents in force here are those at that head.
    if (position != parseNumber(apply->head.value)) {
        table.scan(
            feedKey(position + 1), "feed0", FeedScanLimit,
            guarded<std::vector<ports::Row>>([this, apply](const ports::AsyncResult<std::vector<ports::Row>> &rows) {
                if (!rows.isOk()) {
                    refuse(apply, {ErrorKind::StoreUnavailable, rows.failure().detail});
                    return;
                }
                onFeed(rows.value());
                startAttempt(apply);
            }));
        return;
    }
    auto conflicts = documents::findConflicts(apply->document, documents.documents());
    if (!conflicts.empty()) {
        refuse(apply, {ErrorKind::DocumentImpossible, "the document conflicts with other documents in force"},
               std::move(conflicts));
        return;
    }
    commit(apply);
}

void DocumentStore::Private::commit(const ApplyPointer &apply)
{
    const auto &request = apply->request;
    const std::uint64_t revision = apply->current.revision + 1;
    const std::uint64_t next = parseNumber(apply->head.value) + 1;
    const auto row = codec.encode(DocumentRow{revision, request.text, request.author, apply->applyId});
    std::vector<ports::RowWrite> writes{
        {documentKey(request.service), apply->rowVersion, row, false},
        {historyKey(request.service, revision), 0, row, false},
        {std::string(FeedHeadKey), apply->head.version, std::to_string(next), false},
        {feedKey(next), 0, codec.encode(DocumentChange{next, request.service, revision, request.text}), false},
    };
    if (next > options.feedLength) {
        writes.push_back({feedKey(next - options.feedLength), ports::AnyVersion, {}, true});
    }
    table.commit(writes, guarded<std::uint64_t>([this, apply](const ports::AsyncResult<std::uint64_t> &result) {
                     if (result.isOk()) {
                         succeed(apply);
                     } else {
                         onCommitFailed(apply, result.failure());
                     }
                 }));
}

void DocumentStore::Private::onCommitFailed(const ApplyPointer &apply, const Failure &failure)
{
    switch (failure.kind) {
    case ErrorKind::StoreConflict:
        startAttempt(apply);
        break;
    case ErrorKind::StoreReplyLost:
        readBack(apply);
        break;
    default:
        refuse(apply, {ErrorKind::StoreUnavailable, failure.detail});
        break;
    }
}

// Resolves a commit whose reply was lost by looking for its identifier in the history,
// which keeps it even if a later revision has already replaced the document.
void DocumentStore::Private::readBack(const ApplyPointer &apply)
{
    if (++apply->attempts > MaxApplyAttempts) {
        refuse(apply,
               {ErrorKind::StoreReplyLost, "the document may have been applied: the store did not confirm the commit"});
        return;
    }
    table.read(
        historyKey(apply->request.service, apply->current.revision + 1),
        guarded<std::optional<ports::Row>>([this, apply](const ports::AsyncResult<std::optional<ports::Row>> &row) {
            if (!row.isOk()) {
                readBack(apply);
                return;
            }
            const auto stored = row.value() ? handleFailure([&] { return codec.decodeDocument(row.value()->value); },
                                                            [](const Failure &) { return DocumentRow(); })
                                            : DocumentRow();
            if (stored.applyId == apply->applyId) {
                succeed(apply);
            } else {
                startAttempt(apply);
            }
        }));
}

void DocumentStore::Private::succeed(const ApplyPointer &apply)
{
    const bool isReadBack = apply->current.applyId == apply->applyId;
    const std::uint64_t revision = apply->current.revision + (isReadBack ? 0 : 1);
    const std::uint64_t next = parseNumber(apply->head.value) + 1;
    const DocumentChange change{next, apply->request.service, revision, apply->request.text};
    if (isReadBack || !applyNext(change)) {
        putInForce(change);
        nextRead = TimePoint{};
    }
    apply->handler(ApplyResult{revision, isReadBack ? std::string() : apply->current.text});
}

void DocumentStore::Private::refuse(const ApplyPointer &apply, Failure failure,
                                    std::vector<documents::DocumentFault> faults)
{
    apply->handler(ApplyRefusal{std::move(failure), std::move(faults), apply->current.revision, apply->current.text});
}

void DocumentStore::history(const ServiceName &service, ports::Handler<std::vector<DocumentRow>> handler)
{
    const std::string first = "document-history/" + service.text() + "/";
    const std::string last = "document-history/" + service.text() + "0";
    d->table.scan(first, last, MaxHistory,
                  [this, alive = d->isAlive, handler](const ports::AsyncResult<std::vector<ports::Row>> &rows) {
                      if (!*alive) {
                          return;
                      }
                      if (!rows.isOk()) {
                          handler(rows.failure());
                          return;
                      }
                      std::vector<DocumentRow> revisions;
                      for (const auto &row : rows.value()) {
                          revisions.push_back(handleFailure([&] { return d->codec.decodeDocument(row.value); },
                                                            [](const Failure &) { return DocumentRow(); }));
                      }
                      handler(revisions);
                  });
}

} // namespace monsoonspool::control
