#include "placement/workerpool.h"

#include <algorithm>

namespace monsoonspool::placement {

namespace {

// Workers examined per candidate requested; bounds the search.
constexpr int ExaminedPerCandidate = 4;

} // namespace

bool WorkerPool::acceptsWork(const Worker &worker)
{
    return worker.isListed && !worker.isLeaving && worker.incarnation != 0 && !worker.isReserved;
}

WorkerIndex WorkerPool::indexOf(const WorkerId &id)
{
    const auto [it, isNew] = m_indexOf.try_emplace(id, static_cast<WorkerIndex>(m_workers.size()));
    if (isNew) {
        m_workers.emplace_back().id = id;
        index(it->second);
    }
    return it->second;
}

const Worker *WorkerPool::find(const WorkerId &id) const
{
    const auto it = m_indexOf.find(id);
    return it == m_indexOf.end() ? nullptr : &m_workers[it->second];
}

void WorkerPool::unindex(WorkerIndex n)
{
    m_byFreeCores.erase({m_workers[n].free().milliCores, n});
}

void WorkerPool::index(WorkerIndex n)
{
    m_byFreeCores.insert({m_workers[n].free().milliCores, n});
}

void WorkerPool::setListed(std::span<const ports::ListedWorker> workers)
{
    for (auto &it : m_workers) {
        it.isListed = false;
    }
    for (const auto &it : workers) {
        const auto n = indexOf(it.id);
        unindex(n);
        auto &worker = m_workers[n];
        worker.rack = it.rack;
        worker.capacity = it.capacity;
        worker.isListed = true;
        worker.isLeaving = it.state == ports::HostState::Leaving;
        index(n);
    }
}

bool WorkerPool::commit(WorkerIndex n, const Resources &resources)
{
    if (!m_workers[n].free().contains(resources)) {
        return false;
    }
    commitUnchecked(n, resources);
    return true;
}

void WorkerPool::commitUnchecked(WorkerIndex n, const Resources &resources)
{
    unindex(n);
    m_workers[n].committed += resources;
    ++m_workers[n].attempts;
    index(n);
}

void WorkerPool::release(WorkerIndex n, const Resources &resources)
{
    unindex(n);
    m_workers[n].committed -= resources;
    --m_workers[n].attempts;
    index(n);
}

void WorkerPool::noteContact(WorkerIndex n, std::uint64_t incarnation, TimePoint now)
{
    m_workers[n].incarnation = incarnation;
    m_workers[n].lastContact = now;
}

void WorkerPool::extendLease(WorkerIndex n, TimePoint until)
{
    m_workers[n].leaseEnd = std::max(m_workers[n].leaseEnd, until);
}

void WorkerPool::setReserved(WorkerIndex n, bool isReserved)
{
    m_workers[n].isReserved = isReserved;
}

void WorkerPool::findCandidates(const Resources &resources, int limit, std::vector<WorkerIndex> &candidates) const
{
    int remaining = limit * ExaminedPerCandidate;
    for (auto it = m_byFreeCores.lower_bound({resources.milliCores, 0}); it != m_byFreeCores.end() && remaining > 0;
         ++it, --remaining) {
        const auto &worker = m_workers[it->second];
        if (acceptsWork(worker) && worker.free().contains(resources)) {
            candidates.push_back(it->second);
            if (static_cast<int>(candidates.size()) == limit) {
                return;
            }
        }
    }
    if (!candidates.empty()) {
        return;
    }
    // Workers with few free processors lack memory: tries those with the most free.
    remaining = limit * ExaminedPerCandidate;
    for (auto it = m_byFreeCores.rbegin(); it != m_byFreeCores.rend() && remaining > 0; ++it, --remaining) {
        const auto &worker = m_workers[it->second];
        if (acceptsWork(worker) && worker.free().contains(resources)) {
            candidates.push_back(it->second);
        }
    }
}

std::vector<WorkerIndex> WorkerPool::mostFreeCoresFirst(int limit) const
{
    std::vector<WorkerIndex> found;
    for (auto it = m_byFreeCores.rbegin(); it != m_byFreeCores.rend() && static_cast<int>(found.size()) < limit; ++it) {
        if (acceptsWork(m_workers[it->second])) {
            found.push_back(it->second);
        }
    }
    return found;
}

bool WorkerPool::couldHold(const Resources &resources) const
{
    return std::ranges::any_of(m_workers,
                               [&](const Worker &it) { return it.isListed && it.capacity.contains(resources); });
}

Resources WorkerPool::totalCapacity() const
{
    Resources total;
    for (const auto &it : m_workers) {
        total += it.isListed ? it.capacity : Resources();
    }
    return total;
}

Resources WorkerPool::totalCommitted() const
{
    Resources total;
    for (const auto &it : m_workers) {
        total += it.committed;
    }
    return total;
}

} // namespace monsoonspool::placement
