#pragma once

#include "ports/faultplan.h"
#include "ports/scheduler.h"
#include "ports/tableservice.h"

#include <map>

namespace monsoonspool::ports::memory {

// In-memory table service with injected faults.
class MemoryTable : public TableService
{
public:
    MemoryTable(Scheduler &scheduler, FaultPlan &faults);

    void read(std::string_view key, Handler<std::optional<Row>> handler) override;
    void scan(std::string_view first, std::string_view last, int limit, Handler<std::vector<Row>> handler) override;
    void commit(std::span<const RowWrite> writes, Handler<std::uint64_t> handler) override;

    std::uint64_t commitCount() const
    {
        return m_commitCount;
    }
    std::uint64_t readCount() const
    {
        return m_readCount;
    }
    const std::map<std::string, Row, std::less<>> &rows() const
    {
        return m_rows;
    }

private:
    AsyncResult<std::uint64_t> apply(std::span<const RowWrite> writes);
    Fault nextFault(std::string_view name);

    Scheduler &m_scheduler;
    FaultPlan &m_faults;
    std::map<std::string, Row, std::less<>> m_rows;
    std::uint64_t m_version = 0;
    std::uint64_t m_callCount = 0;
    std::uint64_t m_commitCount = 0;
    std::uint64_t m_readCount = 0;
};

} // namespace monsoonspool::ports::memory
