#pragma once

#include "common/error.h"
#include "common/time.h"
#include "control/peermessages.h"
#include "control/rowcodec.h"
#include "documents/documentset.h"
#include "ports/tableservice.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <vector>

namespace monsoonspool::control {

// An operator's request to replace a service's document.
struct ApplyRequest
{
    ServiceName service;
    std::string text;
    std::string author;
    std::uint64_t baseRevision = 0; // revision that the operator edited; 0 for a new document
};

struct ApplyResult
{
    std::uint64_t revision = 0;
    std::string previousText; // text of the replaced revision, for a diff
};

// Why an apply was refused, with the faults and the current revision for the operator
// to correct it.
struct ApplyRefusal
{
    Failure failure;
    std::vector<documents::DocumentFault> faults;
    std::uint64_t currentRevision = 0;
    std::string currentText;
};

using ApplyOutcome = std::variant<ApplyResult, ApplyRefusal>;
using ApplyHandler = std::function<void(const ApplyOutcome &)>;

struct DocumentStoreOptions
{
    Duration readInterval = 300ms; // of the region's reader, and until loaded
    Duration fallbackInterval = 5s; // of all other daemons
    std::uint64_t feedLength = 10'000; // changes kept in the feed
    std::size_t cachedChanges = 1'000; // changes kept in memory for peers
};

// Synchronizes the documents in force with the table service.
//
// All accepted changes form one feed with consecutive positions. An apply is one
// commit with conditions on the document's row and on the head of the feed, so that a
// change is validated against exactly the documents that will be in force with it.
// Daemons read the feed from their own position. One daemon of a region reads it
// often, and the others fetch new changes from peers. A daemon that is new, or
// further behind than the length of the feed, reads all rows.
//
// Not thread-safe: owned by the control thread.
class DocumentStore
{
public:
    DocumentStore(DocumentStoreOptions options, documents::DocumentSet &documents, ports::TableService &table,
                  const RowCodec &codec, std::uint64_t applySeed);
    ~DocumentStore();
    DocumentStore(const DocumentStore &) = delete;
    DocumentStore &operator=(const DocumentStore &) = delete;

    // Applies a document. Calls `handler` once, at the latest when the store has replied.
    void apply(ApplyRequest request, TimePoint now, ApplyHandler handler);

    // Reads the revisions of a service's document, oldest first.
    void history(const ServiceName &service, ports::Handler<std::vector<DocumentRow>> handler);

    // Reads the feed if a read is due.
    void tick(bool isRegionReader, TimePoint now);

    // Applies changes from a peer. Ignores each one that is not the next of the feed.
    void applyChanges(std::span<const DocumentChange> changes);

    // Returns the changes after `position`, if they are all cached.
    std::vector<DocumentChange> changesAfter(std::uint64_t position) const;

    // Returns the position in the feed up to which every change is in force here.
    std::uint64_t position() const;

    // Returns whether the documents are loaded. False again while all rows must be reread.
    bool isLoaded() const;

    // Returns a number that increases whenever the documents in force change.
    std::uint64_t generation() const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace monsoonspool::control
