#include "documents/documentset.h"

namespace monsoonspool::documents {

bool DocumentSet::accept(DocumentRevision revision)
{
    auto &current = m_revisions[revision.document.service];
    if (current && current->revision >= revision.revision) {
        ++m_refusedCount;
        return false;
    }
    current = std::make_shared<const DocumentRevision>(std::move(revision));
    return true;
}

std::shared_ptr<const DocumentRevision> DocumentSet::find(const ServiceName &service) const
{
    const auto it = m_revisions.find(service);
    return it == m_revisions.end() ? nullptr : it->second;
}

std::vector<std::shared_ptr<const DocumentRevision>> DocumentSet::all() const
{
    std::vector<std::shared_ptr<const DocumentRevision>> revisions;
    revisions.reserve(m_revisions.size());
    for (const auto &[service, revision] : m_revisions) {
        revisions.push_back(revision);
    }
    return revisions;
}

std::vector<ServiceDocument> DocumentSet::documents() const
{
    std::vector<ServiceDocument> values;
    values.reserve(m_revisions.size());
    for (const auto &[service, revision] : m_revisions) {
        values.push_back(revision->document);
    }
    return values;
}

} // namespace monsoonspool::documents
