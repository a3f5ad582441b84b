#pragma once

#include "common/identifiers.h"
#include "common/time.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace monsoonspool::placement {

// Tells bad workers from bad jobs by who failed where.
//
//  - A worker is quarantined when QuarantineAfter different jobs have failed on
//    it since its last success, where jobs that also failed on another worker in
//    good standing do not count: they are likely bad themselves. It is judged anew
//    whenever one of these jobs fails elsewhere.
//  - A job is unable to run when it has failed on UnableAfter different workers
//    in good standing. Failures on a worker that is quarantined do not count,
//    even if they came before the quarantine.
//  - A quarantined worker gets one job at a time after ProbeAfter; its first
//    success ends the quarantine, a failure starts the time anew.
//
// Not thread-safe: owned by the control thread. Memory: one entry for each
// failure of a job that has not ended.
class Suspicion
{
public:
    static constexpr int QuarantineAfter = 3;
    static constexpr int UnableAfter = 3;
    static constexpr Duration ProbeAfter = 60s;

    void noteFailure(const JobId &job, const WorkerId &worker, TimePoint now);
    void noteSuccess(const JobId &job, const WorkerId &worker);

    // Forgets a job that has ended. Its failures are held against no worker any more.
    void forget(const JobId &job);

    bool isQuarantined(const WorkerId &worker) const;

    // Returns whether a quarantined worker may be given one job now.
    bool mayProbe(const WorkerId &worker, TimePoint now) const;

    // Returns whether `job` has failed on enough workers in good standing.
    bool isUnable(const JobId &job) const;

    // Returns the workers in good standing on which `job` has failed.
    std::vector<WorkerId> failedOn(const JobId &job) const;

    // Returns whether `job` has failed on `worker`.
    bool hasFailedOn(const JobId &job, const WorkerId &worker) const;

    std::vector<WorkerId> quarantined() const;

private:
    struct WorkerRecord
    {
        std::set<JobId> failedJobs; // since the last success
        bool isQuarantined = false;
        TimePoint lastFailure;
    };

    bool isSuspectElsewhere(const JobId &job, const WorkerId &worker) const;
    void judgeWorker(const WorkerId &worker);

    std::map<WorkerId, WorkerRecord> m_workers;
    std::map<JobId, std::set<WorkerId>> m_jobs;
};

} // namespace monsoonspool::placement
