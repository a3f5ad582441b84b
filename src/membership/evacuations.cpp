#include "membership/evacuations.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace monsoonspool::membership {

namespace {

// Covers the rounding of the deadlines of starts, and what a worker needs to begin a task.
constexpr Duration StartMargin = 250ms;
// An answer without changes shows only what was stored before its call was sent, and the answers of
// two calls in a row may be lost before starts have to wait.
constexpr int ReadingsPerBound = 10;

} // namespace

Evacuations::Evacuations(Duration bound) : m_bound(bound)
{
}

std::vector<EvacuationRequest> Evacuations::replaceAll(std::span<const EvacuationRequest> requests)
{
    auto former = std::exchange(m_versions, {});
    std::vector<EvacuationRequest> changes;
    for (const auto &it : requests) {
        if (!it.isWithdrawn && m_versions.insert_or_assign(it.domain, it.version).second
            && former.erase(it.domain) == 0) {
            changes.push_back(it);
        }
    }
    for (const auto &[domain, version] : former) {
        changes.push_back({domain, true, version});
    }
    return changes;
}

std::vector<EvacuationRequest> Evacuations::apply(std::span<const EvacuationRequest> changes)
{
    std::vector<EvacuationRequest> effective;
    for (const auto &it : changes) {
        const auto known = m_versions.find(it.domain);
        if (known == m_versions.end()) {
            if (!it.isWithdrawn) {
                m_versions[it.domain] = it.version;
                effective.push_back(it);
            }
            continue;
        }
        if (it.version != 0 && it.version < known->second) {
            continue; // from before the complete reading
        }
        if (it.isWithdrawn) {
            m_versions.erase(known);
            effective.push_back(it);
        } else {
            known->second = it.version;
        }
    }
    return effective;
}

void Evacuations::noteRead(TimePoint time)
{
    m_readAt = std::max(m_readAt.value_or(time), time);
}

std::vector<FailureDomain> Evacuations::domains() const
{
    std::vector<FailureDomain> domains;
    std::ranges::transform(m_versions, std::back_inserter(domains), [](const auto &it) { return it.first; });
    return domains;
}

TimePoint Evacuations::startsValidUntil() const
{
    return m_readAt ? *m_readAt + m_bound - StartMargin : TimePoint::min();
}

Duration Evacuations::maxReadingInterval() const
{
    return m_bound / ReadingsPerBound;
}

} // namespace monsoonspool::membership
