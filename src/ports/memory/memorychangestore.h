#pragma once

#include "ports/changestore.h"
#include "ports/faultplan.h"
#include "ports/scheduler.h"

#include <cstdint>
#include <map>
#include <vector>

namespace monsoonspool::ports::memory {

// The contents of the store, shared by the MemoryChangeStores of all hosts.
struct SharedRows
{
    std::map<RowName, StoredRow> rows;
    std::vector<StoredRow> history; // all changes, ordered by version
    std::uint64_t version = 0;
    std::uint64_t droppedVersion = 0; // changes up to this version were dropped from the history

    CommitResult apply(const Commit &commit);
    void dropHistory();
};

// One host's client of the shared rows, with its own faults. A pending changes() call sees
// a change within PollInterval.
class MemoryChangeStore : public ChangeStore
{
public:
    MemoryChangeStore(SharedRows &rows, Scheduler &scheduler, FaultPlan &faults);

    std::size_t maxValueSize() const override;
    void commit(Commit commit, Handler<CommitResult> handler) override;
    void scan(std::string_view table, std::string_view part, std::string_view first, std::string_view last,
              Handler<RowPage> handler) override;
    void changes(std::string_view table, std::uint64_t after, Duration wait, Handler<RowPage> handler) override;

private:
    void poll(const std::string &table, std::uint64_t after, TimePoint until, const Handler<RowPage> &handler);

    SharedRows &m_rows;
    Scheduler &m_scheduler;
    FaultPlan &m_faults;
    std::uint64_t m_calls = 0;
};

} // namespace monsoonspool::ports::memory
