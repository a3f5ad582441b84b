#include "execution/evacuationreader.h"

namespace monsoonspool::execution {

EvacuationReader::EvacuationReader(const ports::Registry &registry, DecisionLog &log, Duration bound)
    : m_registry(registry), m_log(log), m_evacuations(bound)
{
}

void EvacuationReader::readAll(std::span<const ports::StoredRow> rows)
{
    logChanges(m_evacuations.replaceAll(decode(rows)));
}

void EvacuationReader::readChanges(std::span<const ports::StoredRow> rows)
{
    logChanges(m_evacuations.apply(decode(rows)));
}

void EvacuationReader::noteRead(TimePoint time)
{
    m_evacuations.noteRead(time);
}

std::vector<membership::EvacuationRequest> EvacuationReader::decode(std::span<const ports::StoredRow> rows) const
{
    std::vector<membership::EvacuationRequest> requests;
    for (const auto &row : rows) {
        handleFailure(
            [&]() -> Result<void> {
                BOOST_LEAF_AUTO(domain, m_registry.decodeEvacuation(row.name));
                if (domain) {
                    requests.push_back({*domain, row.isRemoved, row.version});
                }
                return {};
            },
            [&](const Failure &failure) {
                m_log.record("evacuation-unreadable", {{"key", row.name.key}, {"detail", failure.detail}});
            });
    }
    return requests;
}

void EvacuationReader::logChanges(std::span<const membership::EvacuationRequest> changes) const
{
    for (const auto &it : changes) {
        m_log.record(it.isWithdrawn ? "evacuation-withdrawn" : "evacuation-read",
                     {{"domain", it.domain.view()}, {"version", it.version}});
    }
}

} // namespace monsoonspool::execution
