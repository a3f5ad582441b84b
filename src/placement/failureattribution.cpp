#include "placement/suspicion.h"

#include <algorithm>

namespace monsoonspool::placement {

void Suspicion::noteFailure(const JobId &job, const WorkerId &worker, TimePoint now)
{
    m_jobs[job].insert(worker);
    auto &record = m_workers[worker];
    record.failedJobs.insert(job);
    record.lastFailure = now;
    judgeWorker(worker);
    const std::set<WorkerId> others = m_jobs[job];
    for (const auto &it : others) {
        judgeWorker(it);
    }
}

void Suspicion::judgeWorker(const WorkerId &worker)
{
    const auto it = m_workers.find(worker);
    if (it == m_workers.end()) {
        return;
    }
    auto &record = it->second;
    const auto counted
        = std::ranges::count_if(record.failedJobs, [&](const JobId &job) { return !isSuspectElsewhere(job, worker); });
    record.isQuarantined = counted >= QuarantineAfter;
}

bool Suspicion::isSuspectElsewhere(const JobId &job, const WorkerId &worker) const
{
    const auto it = m_jobs.find(job);
    return it != m_jobs.end() && std::ranges::any_of(it->second, [&](const WorkerId &other) {
               return other != worker && !isQuarantined(other);
           });
}

void Suspicion::noteSuccess(const JobId &job, const WorkerId &worker)
{
    m_workers.erase(worker);
    forget(job);
}

void Suspicion::forget(const JobId &job)
{
    const auto node = m_jobs.extract(job);
    if (node.empty()) {
        return;
    }
    for (const auto &worker : node.mapped()) {
        if (const auto it = m_workers.find(worker); it != m_workers.end()) {
            it->second.failedJobs.erase(job);
            judgeWorker(worker);
        }
    }
}

bool Suspicion::isQuarantined(const WorkerId &worker) const
{
    const auto it = m_workers.find(worker);
    return it != m_workers.end() && it->second.isQuarantined;
}

bool Suspicion::mayProbe(const WorkerId &worker, TimePoint now) const
{
    const auto it = m_workers.find(worker);
    return it != m_workers.end() && now - it->second.lastFailure >= ProbeAfter;
}

std::vector<WorkerId> Suspicion::failedOn(const JobId &job) const
{
    std::vector<WorkerId> workers;
    const auto it = m_jobs.find(job);
    if (it != m_jobs.end()) {
        std::ranges::copy_if(it->second, std::back_inserter(workers),
                             [&](const WorkerId &worker) { return !isQuarantined(worker); });
    }
    return workers;
}

bool Suspicion::isUnable(const JobId &job) const
{
    return static_cast<int>(failedOn(job).size()) >= UnableAfter;
}

bool Suspicion::hasFailedOn(const JobId &job, const WorkerId &worker) const
{
    const auto it = m_jobs.find(job);
    return it != m_jobs.end() && it->second.contains(worker);
}

std::vector<WorkerId> Suspicion::quarantined() const
{
    std::vector<WorkerId> workers;
    for (const auto &[worker, record] : m_workers) {
        if (record.isQuarantined) {
            workers.push_back(worker);
        }
    }
    return workers;
}

} // namespace monsoonspool::placement
