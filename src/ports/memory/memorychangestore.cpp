#include "ports/memory/memorychangestore.h"

#include "ports/memory/faultycall.h"

#include <algorithm>
#include <iterator>

namespace monsoonspool::ports::memory {

namespace {

constexpr Duration PollInterval = 5ms;
constexpr std::size_t MaxPageRows = 50; // small, so that tests read several pages
constexpr std::size_t MaxValueSize = 65536;

bool exceedsLimits(const Commit &commit)
{
    std::size_t bytes = 0;
    bool isValueTooLarge = false;
    for (const auto &it : commit.writes) {
        bytes += it.value.size();
        isValueTooLarge = isValueTooLarge || it.value.size() > MaxValueSize;
    }
    const auto entries = commit.conditions.size() + commit.writes.size() + commit.removals.size();
    return isValueTooLarge || entries > MaxCommitEntries || bytes > MaxCommitValueBytes;
}

} // namespace

CommitResult SharedRows::apply(const Commit &commit)
{
    CommitResult result;
    result.isApplied = std::ranges::all_of(commit.conditions, [&](const ExpectedVersion &it) {
        const auto row = rows.find(it.name);
        return (row == rows.end() ? 0 : row->second.version) == it.version;
    });
    if (!result.isApplied) {
        for (const auto &it : commit.conditions) {
            if (const auto row = rows.find(it.name); row != rows.end()) {
                result.current.push_back(row->second);
            }
        }
        return result;
    }
    result.version = ++version;
    for (const auto &it : commit.writes) {
        rows[it.name] = {it.name, it.value, version, false};
        history.push_back(rows[it.name]);
    }
    for (const auto &it : commit.removals) {
        if (rows.erase(it) > 0) {
            history.push_back({it, {}, version, true});
        }
    }
    return result;
}

void SharedRows::dropHistory()
{
    history.clear();
    droppedVersion = version;
}

MemoryChangeStore::MemoryChangeStore(SharedRows &rows, Scheduler &scheduler, FaultPlan &faults)
    : m_rows(rows), m_scheduler(scheduler), m_faults(faults)
{
}

std::size_t MemoryChangeStore::maxValueSize() const
{
    return MaxValueSize;
}

void MemoryChangeStore::commit(Commit commit, Handler<CommitResult> handler)
{
    callWithFault<CommitResult>(
        m_scheduler, m_faults.next("commit", ++m_calls, m_scheduler.now()), ErrorKind::StoreReplyLost,
        [this, commit = std::move(commit)] {
            return exceedsLimits(commit)
                ? AsyncResult<CommitResult>(Failure{ErrorKind::Internal, "the commit exceeds a limit of the store"})
                : AsyncResult<CommitResult>(m_rows.apply(commit));
        },
        std::move(handler));
}

void MemoryChangeStore::scan(std::string_view table, std::string_view part, std::string_view first,
                             std::string_view last, Handler<RowPage> handler)
{
    const RowName begin{std::string(table), std::string(part), std::string(first)};
    callWithFault<RowPage>(
        m_scheduler, m_faults.next("scan " + std::string(table), ++m_calls, m_scheduler.now()),
        ErrorKind::StoreReplyLost,
        [this, begin, last = std::string(last)] {
            RowPage page;
            page.version = m_rows.version;
            for (auto it = m_rows.rows.lower_bound(begin); it != m_rows.rows.end(); ++it) {
                const auto &name = it->first;
                if (name.table != begin.table || name.part != begin.part || (!last.empty() && name.key >= last)) {
                    break;
                }
                if (page.rows.size() == MaxPageRows) {
                    page.isTruncated = true;
                    break;
                }
                page.rows.push_back(it->second);
            }
            return AsyncResult<RowPage>(std::move(page));
        },
        std::move(handler));
}

void MemoryChangeStore::changes(std::string_view table, std::uint64_t after, Duration wait, Handler<RowPage> handler)
{
    const auto fault = m_faults.next("changes " + std::string(table), ++m_calls, m_scheduler.now());
    const auto until = m_scheduler.now() + wait;
    m_scheduler.runAfter(fault.delay,
                         [this, fault, table = std::string(table), after, until, handler = std::move(handler)] {
                             if (fault.isRefused || fault.isReplyLost) {
                                 handler(Failure{ErrorKind::StoreUnavailable, "the platform refused the call"});
                                 return;
                             }
                             poll(table, after, until, handler);
                         });
}

void MemoryChangeStore::poll(const std::string &table, std::uint64_t after, TimePoint until,
                             const Handler<RowPage> &handler)
{
    if (after < m_rows.droppedVersion) {
        handler(Failure{ErrorKind::StoreHistoryDropped, "the requested changes were dropped from the history"});
        return;
    }
    RowPage page;
    page.version = m_rows.version;
    const auto first = std::ranges::upper_bound(m_rows.history, after, {}, &StoredRow::version);
    std::copy_if(first, m_rows.history.end(), std::back_inserter(page.rows),
                 [&](const StoredRow &it) { return it.name.table == table; });
    if (!page.rows.empty() || m_scheduler.now() >= until) {
        handler(page);
        return;
    }
    m_scheduler.runAfter(PollInterval, [this, table, seen = page.version, until, handler] {
        poll(table, seen, until, handler); // nothing has changed up to there
    });
}

} // namespace monsoonspool::ports::memory
