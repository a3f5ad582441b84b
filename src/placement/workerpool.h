#pragma once

#include "common/identifiers.h"
#include "common/resources.h"
#include "common/time.h"
#include "ports/hostlist.h"

#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace monsoonspool::placement {

using WorkerIndex = std::uint32_t;

// The state of a worker that placement needs.
struct Worker
{
    WorkerId id;
    std::string rack;
    Resources capacity;
    Resources committed; // allocated to attempts that may be running
    std::uint64_t incarnation = 0; // 0 before the first report
    bool isListed = false;
    bool isLeaving = false;
    bool isReserved = false; // for a job that has waited long
    TimePoint lastContact; // time of the last report
    TimePoint leaseEnd; // all leases granted on the worker have expired by then
    int attempts = 0; // number that may be running

    Resources free() const
    {
        return capacity - committed;
    }
};

// The workers of a partition, indexed by their free processors.
//
// Invariant: commit() never commits more on a worker than its capacity. Only
// commitUnchecked(), for attempts that may already be running, may exceed it.
//
// Finding candidates takes logarithmic time and examines a bounded number of workers.
// Not thread-safe: owned by the control thread; const functions may be called from
// several threads while the pool is not modified.
class WorkerPool
{
public:
    // Updates the pool from the platform's list. A worker that is no longer listed gets
    // no new work; it stays in the pool, since its index may be in use.
    void setListed(std::span<const ports::ListedWorker> workers);

    // Returns the index of the worker; adds the worker if it is not in the pool.
    WorkerIndex indexOf(const WorkerId &id);
    const Worker *find(const WorkerId &id) const;
    const Worker &at(WorkerIndex n) const
    {
        return m_workers[n];
    }
    std::size_t size() const
    {
        return m_workers.size();
    }

    // Commits `resources`. Returns false, and changes nothing, if they do not fit.
    bool commit(WorkerIndex n, const Resources &resources);

    // Commits resources without checking the capacity, for attempts that a former owner
    // has planned.
    void commitUnchecked(WorkerIndex n, const Resources &resources);
    void release(WorkerIndex n, const Resources &resources);

    void noteContact(WorkerIndex n, std::uint64_t incarnation, TimePoint now);
    void extendLease(WorkerIndex n, TimePoint until);
    void setReserved(WorkerIndex n, bool isReserved);

    // Appends up to `limit` workers that accept work and have `resources` free, by
    // increasing free processors (best fit). If none of the workers examined in this
    // order has enough memory, searches by decreasing free processors.
    void findCandidates(const Resources &resources, int limit, std::vector<WorkerIndex> &candidates) const;

    // Returns up to `limit` workers that accept work, by decreasing free processors.
    std::vector<WorkerIndex> mostFreeCoresFirst(int limit) const;

    // Returns whether the capacity of any listed worker suffices for `resources`.
    bool couldHold(const Resources &resources) const;

    Resources totalCapacity() const;
    Resources totalCommitted() const;

private:
    void unindex(WorkerIndex n);
    void index(WorkerIndex n);
    static bool acceptsWork(const Worker &worker);

    std::vector<Worker> m_workers;
    std::unordered_map<WorkerId, WorkerIndex> m_indexOf;
    std::set<std::pair<std::int64_t, WorkerIndex>> m_byFreeCores;
};

} // namespace monsoonspool::placement
