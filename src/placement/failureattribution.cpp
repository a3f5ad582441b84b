#include "placement/failureattribution.h"

#include <algorithm>

namespace monsoonspool::placement {

void FailureAttribution::noteFailure(const JobId &job, const WorkerId &worker, TimePoint now)
{
    m_failedWorkersByJob[job].insert(worker);
    auto &record = m_workers[worker];
    record.failedJobs.insert(job);
    record.lastFailure = now;
    updateQuarantine(worker);
    const std::set<WorkerId> others = m_failedWorkersByJob[job];
    for (const auto &it : others) {
        updateQuarantine(it);
    }
}

void FailureAttribution::updateQuarantine(const WorkerId &worker)
{
    const auto it = m_workers.find(worker);
    if (it == m_workers.end()) {
        return;
    }
    auto &record = it->second;
    const auto counted = std::ranges::count_if(
        record.failedJobs, [&](const JobId &job) { return !hasFailedOnOtherHealthyWorker(job, worker); });
    record.isQuarantined = counted >= QuarantineThreshold;
}

bool FailureAttribution::hasFailedOnOtherHealthyWorker(const JobId &job, const WorkerId &worker) const
{
    const auto it = m_failedWorkersByJob.find(job);
    return it != m_failedWorkersByJob.end() && std::ranges::any_of(it->second, [&](const WorkerId &other) {
               return other != worker && !isQuarantined(other);
           });
}

void FailureAttribution::noteSuccess(const JobId &job, const WorkerId &worker)
{
    m_workers.erase(worker);
    forget(job);
}

void FailureAttribution::forget(const JobId &job)
{
    const auto node = m_failedWorkersByJob.extract(job);
    if (node.empty()) {
        return;
    }
    for (const auto &worker : node.mapped()) {
        if (const auto it = m_workers.find(worker); it != m_workers.end()) {
            it->second.failedJobs.erase(job);
            updateQuarantine(worker);
        }
    }
}

bool FailureAttribution::isQuarantined(const WorkerId &worker) const
{
    const auto it = m_workers.find(worker);
    return it != m_workers.end() && it->second.isQuarantined;
}

bool FailureAttribution::mayProbe(const WorkerId &worker, TimePoint now) const
{
    const auto it = m_workers.find(worker);
    return it != m_workers.end() && now - it->second.lastFailure >= ProbeDelay;
}

std::vector<WorkerId> FailureAttribution::failedWorkers(const JobId &job) const
{
    std::vector<WorkerId> workers;
    const auto it = m_failedWorkersByJob.find(job);
    if (it != m_failedWorkersByJob.end()) {
        std::ranges::copy_if(it->second, std::back_inserter(workers),
                             [&](const WorkerId &worker) { return !isQuarantined(worker); });
    }
    return workers;
}

bool FailureAttribution::isFaulty(const JobId &job) const
{
    return static_cast<int>(failedWorkers(job).size()) >= FaultyJobThreshold;
}

bool FailureAttribution::hasFailedOn(const JobId &job, const WorkerId &worker) const
{
    const auto it = m_failedWorkersByJob.find(job);
    return it != m_failedWorkersByJob.end() && it->second.contains(worker);
}

std::vector<WorkerId> FailureAttribution::quarantinedWorkers() const
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
