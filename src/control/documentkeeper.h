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

// An operator's wish to put a document in force.
struct ApplyRequest
{
    ServiceName service;
    std::string text;
    std::string author;
    std::uint64_t baseRevision = 0; // that the operator edited; 0 for a new document
};

struct ApplyResult
{
    std::uint64_t revision = 0;
    std::string previousText; // what was in force before, for a diff
};

// Why an apply was refused, with what the operator needs to mend it.
struct ApplyRefusal
{
    Failure failure;
    std::vector<documents::DocumentFault> faults;
    std::uint64_t currentRevision = 0;
    std::string currentText;
};

using ApplyOutcome = std::variant<ApplyResult, ApplyRefusal>;
using ApplyHandler = std::function<void(const ApplyOutcome &)>;

struct DocumentKeeperOptions
{
    Duration readInterval = 300ms; // of the one reader in a region
    Duration backstopInterval = 5s; // of all others
    std::uint64_t feedLength = 10'000; // changes kept in the feed
    std::size_t cachedChanges = 1'000; // kept for peers
};

// Keeps the documents in force in step with the table service.
//
// All accepted changes form one feed with consecutive positions. An apply is one
// commit with conditions on the document's row and on the head of the feed, so
// that changes are checked against exactly the documents that they will stand
// beside. Daemons read the feed from where they are; one daemon of a region
// reads it often, and the others fetch what it has read from their peers. A
// daemon that is new, or further behind than the feed is long, reads all rows.
//
// Not thread-safe: owned by the control thread.
class DocumentKeeper
{
public:
    DocumentKeeper(DocumentKeeperOptions options, documents::DocumentSet &documents, ports::TableService &table,
                   const RowCodec &codec, std::uint64_t applySeed);
    ~DocumentKeeper();
    DocumentKeeper(const DocumentKeeper &) = delete;
    DocumentKeeper &operator=(const DocumentKeeper &) = delete;

    // Applies a document; calls `handler` once, by the time the store has answered.
    void apply(ApplyRequest request, TimePoint now, ApplyHandler handler);

    // Reads the history of a service, oldest first.
    void history(const ServiceName &service, ports::Handler<std::vector<DocumentRow>> handler);

    // Reads the feed if it is time to.
    void tick(bool isRegionReader, TimePoint now);

    // Takes in changes from a peer. Those that do not follow on are ignored.
    void takeChanges(std::span<const DocumentChange> changes);

    // Returns the changes after `position`, if they are all cached.
    std::vector<DocumentChange> changesAfter(std::uint64_t position) const;

    // Returns the position in the feed up to which every change is in force here.
    std::uint64_t position() const;

    // Returns whether the documents were read at least once.
    bool isLoaded() const;

    // Returns a number that grows whenever the documents in force change.
    std::uint64_t generation() const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace monsoonspool::control
