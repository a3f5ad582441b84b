#pragma once

#include "common/identifiers.h"
#include "jobs/taskid.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>

namespace monsoonspool::execution {

// Accepted jobs that the leader has no room for. Their rows stay in the store and are read again later, of each
// queue in the order of acceptance, and of the queues in turn.
//
// Not thread-safe: owned by the control thread.
class DeferredJobs
{
public:
    // Adds a job whose row has the version `version`, and that would take `bytes`.
    void add(jobs::JobKey key, std::string_view queue, std::uint64_t version, std::size_t bytes);
    void remove(jobs::JobKey key);
    void clear();
    bool contains(jobs::JobKey key) const
    {
        return m_jobs.contains(key);
    }
    // Returns the version of the job's row, or nullopt if the job is not deferred.
    std::optional<std::uint64_t> versionOf(jobs::JobKey key) const;
    std::size_t size() const
    {
        return m_jobs.size();
    }
    // Records that the job is needed at once: a worker has listed a run of it.
    void request(jobs::JobKey key);
    // Records that a task of the job has begun.
    void markBegun(jobs::JobKey key);
    // Returns the job to read next: one that is needed at once, or the first one of the next queue for which
    // `hasRoom` returns true.
    std::optional<jobs::JobKey> next(const std::function<bool(std::string_view queue, std::size_t bytes)> &hasRoom);
    bool hasJobOf(std::string_view queue) const
    {
        return m_order.contains(queue);
    }
    // Calls `visit` with each queue that has such jobs.
    template <typename F>
    void forEachQueue(F visit) const
    {
        for (const auto &[queue, jobs] : m_order) {
            visit(queue);
        }
    }
    // Adds the number of the jobs of which no task has begun to `counts`.
    void addWaitingCounts(std::map<std::string, int> &counts) const;

private:
    struct Entry
    {
        std::string queue;
        std::uint64_t version = 0;
        std::size_t bytes = 0;
        bool hasBegun = false;
    };

    std::unordered_map<jobs::JobKey, Entry> m_jobs;
    std::map<std::string, std::set<std::pair<std::uint64_t, jobs::JobKey>>, std::less<>> m_order; // by queue
    std::set<jobs::JobKey> m_requested;
    std::string m_lastQueue; // of the job that was returned last
};

} // namespace monsoonspool::execution
