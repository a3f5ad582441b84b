#include "ports/memory/memorytable.h"

#include "ports/memory/faultycall.h"

namespace monsoonspool::ports::memory {

MemoryTable::MemoryTable(Scheduler &scheduler, FaultPlan &faults) : m_scheduler(scheduler), m_faults(faults)
{
}

Fault MemoryTable::nextFault(std::string_view name)
{
    return m_faults.next(name, m_callCount++, m_scheduler.now());
}

void MemoryTable::read(std::string_view key, Handler<std::optional<Row>> handler)
{
    ++m_readCount;
    callWithFault<std::optional<Row>>(
        m_scheduler, nextFault("table.read"), ErrorKind::StoreUnavailable,
        [this, key = std::string(key)]() -> AsyncResult<std::optional<Row>> {
            const auto it = m_rows.find(key);
            return it == m_rows.end() ? std::optional<Row>() : std::optional(it->second);
        },
        std::move(handler));
}

void MemoryTable::scan(std::string_view first, std::string_view last, int limit, Handler<std::vector<Row>> handler)
{
    ++m_readCount;
    callWithFault<std::vector<Row>>(
        m_scheduler, nextFault("table.scan"), ErrorKind::StoreUnavailable,
        [this, first = std::string(first), last = std::string(last), limit]() -> AsyncResult<std::vector<Row>> {
            std::vector<Row> rows;
            for (auto it = m_rows.lower_bound(first); it != m_rows.end() && it->first < last; ++it) {
                if (static_cast<int>(rows.size()) == limit) {
                    break;
                }
                rows.push_back(it->second);
            }
            return rows;
        },
        std::move(handler));
}

void MemoryTable::commit(std::span<const RowWrite> writes, Handler<std::uint64_t> handler)
{
    ++m_commitCount;
    callWithFault<std::uint64_t>(
        m_scheduler, nextFault("table.commit"), ErrorKind::StoreReplyLost,
        [this, copy = std::vector<RowWrite>(writes.begin(), writes.end())] { return apply(copy); }, std::move(handler));
}

AsyncResult<std::uint64_t> MemoryTable::apply(std::span<const RowWrite> writes)
{
    for (const auto &write : writes) {
        const auto it = m_rows.find(write.key);
        const std::uint64_t version = it == m_rows.end() ? 0 : it->second.version;
        if (write.expectedVersion != AnyVersion && version != write.expectedVersion) {
            return Failure{ErrorKind::StoreConflict, write.key};
        }
    }
    ++m_version;
    for (const auto &write : writes) {
        if (write.isRemoval) {
            m_rows.erase(write.key);
        } else {
            m_rows[write.key] = {write.key, write.value, m_version};
        }
    }
    return m_version;
}

} // namespace monsoonspool::ports::memory
