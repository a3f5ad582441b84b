#pragma once

#include "common/identifiers.h"
#include "common/time.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace monsoonspool::placement {

// Attributes failed attempts to faulty workers or faulty jobs. A worker that is not
// quarantined is called healthy.
//
//  - A worker is quarantined when QuarantineThreshold different jobs have failed on it
//    since its last success. Jobs that have also failed on another healthy worker do
//    not count, since they are probably faulty themselves; the count is taken again
//    whenever one of these jobs fails on another worker.
//  - A job is faulty when it has failed on FaultyJobThreshold different healthy workers.
//    Failures on a quarantined worker do not count, even those before the quarantine.
//  - A quarantined worker gets one job at a time, as a probe, from ProbeDelay after
//    its last failure. The first success ends the quarantine; a failure restarts the
//    delay.
//
// Not thread-safe: owned by the control thread. Memory: one entry per failure of a
// job that has not finished.
class FailureAttribution
{
public:
    static constexpr int QuarantineThreshold = 3;
    static constexpr int FaultyJobThreshold = 3;
    static constexpr Duration ProbeDelay = 60s;

    void noteFailure(const JobId &job, const WorkerId &worker, TimePoint now);
    void noteSuccess(const JobId &job, const WorkerId &worker);

    // Removes a finished job. Its failures no longer count against any worker.
    void forget(const JobId &job);

    bool isQuarantined(const WorkerId &worker) const;

    // Returns whether a quarantined worker may get a probe job now.
    bool mayProbe(const WorkerId &worker, TimePoint now) const;

    // Returns whether `job` has failed on enough healthy workers.
    bool isFaulty(const JobId &job) const;

    // Returns the healthy workers on which `job` has failed.
    std::vector<WorkerId> failedWorkers(const JobId &job) const;

    bool hasFailedOn(const JobId &job, const WorkerId &worker) const;

    std::vector<WorkerId> quarantinedWorkers() const;

private:
    struct WorkerRecord
    {
        std::set<JobId> failedJobs; // since the last success
        bool isQuarantined = false;
        TimePoint lastFailure;
    };

    bool hasFailedOnOtherHealthyWorker(const JobId &job, const WorkerId &worker) const;
    void updateQuarantine(const WorkerId &worker);

    std::map<WorkerId, WorkerRecord> m_workers;
    std::map<JobId, std::set<WorkerId>> m_failedWorkersByJob;
};

} // namespace monsoonspool::placement
