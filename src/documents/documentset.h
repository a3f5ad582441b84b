#pragma once

#include "documents/servicedocument.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace monsoonspool::documents {

// One accepted revision of a document, with the text that the operator wrote.
struct DocumentRevision
{
    std::uint64_t revision = 0;
    std::string text;
    ServiceDocument document;
};

// The documents in force at one daemon.
//
// Invariant: the revision of a service never decreases. Outdated copies, read from a
// lagging peer or by a stale read of the store, are rejected.
//
// Not thread-safe: owned by the control thread. Revisions are immutable and shared
// with the traffic threads.
class DocumentSet
{
public:
    // Puts `revision` in force. Returns false and changes nothing if the service already
    // has this revision or a newer one.
    bool accept(DocumentRevision revision);

    // Returns the revision in force, or nullptr.
    std::shared_ptr<const DocumentRevision> find(const ServiceName &service) const;

    // Returns all revisions in force, ordered by service.
    std::vector<std::shared_ptr<const DocumentRevision>> all() const;

    // Returns copies of the documents in force, for validation across services.
    std::vector<ServiceDocument> documents() const;

    // Returns the number of copies rejected because they were not newer.
    std::uint64_t refusedCount() const
    {
        return m_refusedCount;
    }

private:
    std::map<ServiceName, std::shared_ptr<const DocumentRevision>> m_revisions;
    std::uint64_t m_refusedCount = 0;
};

} // namespace monsoonspool::documents
