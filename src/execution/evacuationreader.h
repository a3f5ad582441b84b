#pragma once

#include "common/decisionlog.h"
#include "membership/evacuations.h"
#include "ports/registry.h"

#include <span>
#include <vector>

namespace monsoonspool::execution {

// Reads the operators' requests to evacuate failure domains from the rows of their table, and logs
// what changes.
//
// Used only on the control thread.
class EvacuationReader
{
public:
    EvacuationReader(const ports::Registry &registry, DecisionLog &log, Duration bound);

    // Reads all rows of the table. Rows of other kinds are left out.
    void readAll(std::span<const ports::StoredRow> rows);
    void readChanges(std::span<const ports::StoredRow> rows);
    // Records that all rows stored before `time` have been read.
    void noteRead(TimePoint time);

    const membership::Evacuations &evacuations() const
    {
        return m_evacuations;
    }

private:
    std::vector<membership::EvacuationRequest> decode(std::span<const ports::StoredRow> rows) const;
    void logChanges(std::span<const membership::EvacuationRequest> changes) const;

    const ports::Registry &m_registry;
    DecisionLog &m_log;
    membership::Evacuations m_evacuations;
};

} // namespace monsoonspool::execution
