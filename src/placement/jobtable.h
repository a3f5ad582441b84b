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

// The current attempt of a job.
struct Attempt
{
    ports::AttemptId id;
    WorkerId worker;
    std::uint64_t workerIncarnation = 0;
    Resources allocated;
};

// The durable state of a job.
struct Job
{
    JobId id;
    JobSpec spec;
    JobState state = JobState::Waiting;
    bool isCancelling = false;
    std::uint32_t attempts = 0; // planned so far
    int evictions = 0;
    std::optional<Attempt> attempt; // planned, and not known to have ended
    std::string checkpoint; // object name; the next attempt resumes from it
    std::string result;
    std::uint64_t submissionOrder = 0; // sequence number
};

// The replicated state machine of a partition: its durable state, obtained by applying
// the log entries in order. The same entries yield the same state at every owner.
//
// Invariants:
//  - A job has at most one attempt that is not known to have ended.
//  - A job in a final state does not change, but can be removed.
//  - An attempt resumes from the checkpoint of the last eviction, and at most one
//    attempt at a time resumes from a checkpoint.
//
// Not thread-safe: owned by the control thread.
class JobTable
{
public:
    // Applies an entry. Fails with Internal, without effect, if the entry is not valid
    // in the current state.
    Result<void> apply(const LogEntry &entry);

    const Job *find(const JobId &id) const;

    // Returns the job that `team` submitted with `key`, or nullptr.
    const Job *findByKey(const TeamName &team, std::string_view key) const;

    // Returns the waiting jobs in order of submission.
    const std::set<std::pair<std::uint64_t, JobId>> &waiting(Urgency urgency) const
    {
        return m_waiting[static_cast<std::size_t>(urgency)];
    }

    const std::unordered_map<JobId, Job> &jobs() const
    {
        return m_jobs;
    }

    // Inserts a job from a checkpoint.
    void restore(Job job);

private:
    Result<void> applyEntry(const JobSubmitted &entry);
    Result<void> applyEntry(const JobCancelled &entry);
    Result<void> applyEntry(const AttemptPlanned &entry);
    Result<void> applyEntry(const AttemptEnded &entry);
    Result<void> applyEntry(const JobFailed &entry);
    Result<void> applyEntry(const JobRemoved &entry);
    Job *findMutable(const JobId &id);
    void setWaiting(const Job &job, bool isWaiting);
    static std::string teamKey(const TeamName &team, std::string_view key);

    std::unordered_map<JobId, Job> m_jobs;
    std::unordered_map<std::string, JobId> m_jobByTeamKey;
    std::set<std::pair<std::uint64_t, JobId>> m_waiting[2]; // by urgency
    std::uint64_t m_nextOrder = 1;
};

} // namespace monsoonspool::placement
