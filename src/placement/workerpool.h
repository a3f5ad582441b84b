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

// A worker as placement knows it.
struct Worker
{
    WorkerId id;
    std::string rack;
    Resources capacity;
    Resources committed; // allotted to attempts that may be running
    std::uint64_t incarnation = 0; // 0 until the first report
    bool isListed = false;
    bool isLeaving = false;
    bool isReserved = false; // kept free for a job that has waited long
    TimePoint lastContact; // of the last report
    TimePoint leaseEnd; // by then every lease given here has lapsed
    int attempts = 0; // that may be running

    Resources free() const
    {
        return capacity - committed;
    }
};

// The workers of a partition, ordered by their free processors.
//
// Rule: what is committed on a worker never exceeds its capacity; commit()
// refuses what does not fit.
//
// Finding candidates takes logarithmic time and looks at a bounded number of
// workers. Not thread-safe: owned by the control thread; const functions may be
// called from several threads while nobody changes the pool.
class WorkerPool
{
public:
    // Takes over the platform's list. A worker that is not listed any more gets
    // no new work, and is forgotten once nothing may be running on it.
    void setListed(std::span<const ports::ListedWorker> workers);

    // Returns the worker's index, adding it if it is not known.
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

    // Commits what an earlier owner has already given, whether it fits or not.
    void adopt(WorkerIndex n, const Resources &resources);
    void release(WorkerIndex n, const Resources &resources);

    void noteContact(WorkerIndex n, std::uint64_t incarnation, TimePoint now);
    void extendLease(WorkerIndex n, TimePoint until);
    void setReserved(WorkerIndex n, bool isReserved);

    // Appends up to `limit` workers that can hold `resources` and accept work,
    // those with the least free processors first.
    void findCandidates(const Resources &resources, int limit, std::vector<WorkerIndex> &candidates) const;

    // Returns the worker with the most free processors that could ever hold
    // `resources`, if any.
    std::vector<WorkerIndex> largestFirst(int limit) const;

    // Returns whether some listed worker is large enough for `resources` when empty.
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
