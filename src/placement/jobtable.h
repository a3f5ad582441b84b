#pragma once

#include "common/error.h"
#include "placement/job.h"
#include "placement/placementlog.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace monsoonspool::placement {

// The present attempt of a job.
struct Attempt
{
    ports::AttemptId id;
    WorkerId worker;
    std::uint64_t workerIncarnation = 0;
    Resources allotted;
};

// A job as its log entries make it.
struct Job
{
    JobId id;
    JobSpec spec;
    JobState state = JobState::Waiting;
    bool isCancelling = false;
    std::uint32_t attempts = 0; // planned so far
    int evictions = 0;
    std::optional<Attempt> attempt; // planned, and not known to be over
    std::string checkpoint; // to resume from
    std::string result;
    std::uint64_t order = 0; // of submission
};

// The durable state of a partition: what its log entries make, applied in order.
// Applying the same entries gives the same state at every owner.
//
// Rules:
//  - a job has at most one attempt that is not known to be over,
//  - a final job never changes again, except that it is forgotten,
//  - an attempt resumes from the checkpoint of the last eviction, and each
//    checkpoint is resumed by one attempt at a time.
//
// Not thread-safe: owned by the control thread.
class JobTable
{
public:
    // Applies an entry. Fails with Internal, and changes nothing, if the entry
    // cannot follow the present state.
    Result<void> apply(const LogEntry &entry);

    const Job *find(const JobId &id) const;

    // Returns the job that `team` submitted with `key`, if any.
    const Job *findByKey(const TeamName &team, std::string_view key) const;

    // Returns the jobs that wait, in the order of submission.
    const std::set<std::pair<std::uint64_t, JobId>> &waiting(Urgency urgency) const
    {
        return m_waiting[static_cast<std::size_t>(urgency)];
    }

    const std::unordered_map<JobId, Job> &jobs() const
    {
        return m_jobs;
    }

    // Puts a job of a checkpoint in its place.
    void restore(Job job);

private:
    Result<void> on(const JobSubmitted &entry);
    Result<void> on(const JobCancelled &entry);
    Result<void> on(const AttemptPlanned &entry);
    Result<void> on(const AttemptEnded &entry);
    Result<void> on(const JobFailed &entry);
    Result<void> on(const JobForgotten &entry);
    Job *findMutable(const JobId &id);
    void setWaiting(const Job &job, bool isWaiting);
    static std::string keyOf(const TeamName &team, std::string_view key);

    std::unordered_map<JobId, Job> m_jobs;
    std::unordered_map<std::string, JobId> m_byKey;
    std::set<std::pair<std::uint64_t, JobId>> m_waiting[2]; // by urgency
    std::uint64_t m_nextOrder = 1;
};

} // namespace monsoonspool::placement
