#include "placement/jobtable.h"

#include <algorithm>

namespace monsoonspool::placement {

namespace {

boost::leaf::error_id invalidTransition(const JobId &job)
{
    return fail(ErrorKind::Internal, "invalid state transition in log entry of job " + job.text());
}

} // namespace

std::string JobTable::teamKey(const TeamName &team, std::string_view key)
{
    return team.text() + "\n" + std::string(key);
}

Result<void> JobTable::apply(const LogEntry &entry)
{
    return std::visit([this](const auto &it) { return applyEntry(it); }, entry);
}

const Job *JobTable::find(const JobId &id) const
{
    const auto it = m_jobs.find(id);
    return it == m_jobs.end() ? nullptr : &it->second;
}

Job *JobTable::findMutable(const JobId &id)
{
    const auto it = m_jobs.find(id);
    return it == m_jobs.end() ? nullptr : &it->second;
}

const Job *JobTable::findByKey(const TeamName &team, std::string_view key) const
{
    const auto it = m_jobByTeamKey.find(teamKey(team, key));
    return it == m_jobByTeamKey.end() ? nullptr : find(it->second);
}

void JobTable::setWaiting(const Job &job, bool isWaiting)
{
    auto &waiting = m_waiting[static_cast<std::size_t>(job.spec.urgency)];
    if (isWaiting) {
        waiting.emplace(job.submissionOrder, job.id);
    } else {
        waiting.erase({job.submissionOrder, job.id});
    }
}

Result<void> JobTable::applyEntry(const JobSubmitted &entry)
{
    if (m_jobs.contains(entry.job)) {
        return invalidTransition(entry.job);
    }
    auto &job = m_jobs[entry.job];
    job.id = entry.job;
    job.spec = entry.spec;
    job.submissionOrder = m_nextOrder++;
    if (!entry.spec.key.empty()) {
        m_jobByTeamKey[teamKey(entry.spec.team, entry.spec.key)] = entry.job;
    }
    setWaiting(job, true);
    return {};
}

Result<void> JobTable::applyEntry(const JobCancelled &entry)
{
    auto *job = findMutable(entry.job);
    if (!job || isFinal(job->state)) {
        return invalidTransition(entry.job);
    }
    job->isCancelling = true;
    if (!job->attempt) {
        setWaiting(*job, false);
        job->state = JobState::Cancelled;
    }
    return {};
}

Result<void> JobTable::applyEntry(const AttemptPlanned &entry)
{
    auto *job = findMutable(entry.attempt.job);
    if (!job || job->state != JobState::Waiting || job->attempt || entry.attempt.attempt != job->attempts + 1) {
        return invalidTransition(entry.attempt.job);
    }
    setWaiting(*job, false);
    job->state = JobState::Running;
    job->attempts = entry.attempt.attempt;
    job->attempt = Attempt{entry.attempt, entry.worker, entry.workerIncarnation, entry.allocated};
    return {};
}

Result<void> JobTable::applyEntry(const AttemptEnded &entry)
{
    using Outcome = AttemptEnded::Outcome;
    auto *job = findMutable(entry.attempt.job);
    if (!job || !job->attempt || job->attempt->id != entry.attempt) {
        return invalidTransition(entry.attempt.job);
    }
    job->attempt.reset();
    if (entry.outcome == Outcome::Evicted) {
        ++job->evictions;
        job->checkpoint = entry.checkpoint;
    }
    if (entry.outcome == Outcome::Succeeded) {
        job->state = JobState::Succeeded;
        job->result = entry.result;
    } else if (job->isCancelling) {
        job->state = JobState::Cancelled;
    } else {
        job->state = JobState::Waiting;
        job->result = entry.result;
        setWaiting(*job, true);
    }
    return {};
}

Result<void> JobTable::applyEntry(const JobFailed &entry)
{
    auto *job = findMutable(entry.job);
    if (!job || isFinal(job->state) || job->attempt) {
        return invalidTransition(entry.job);
    }
    setWaiting(*job, false);
    job->state = JobState::Failed;
    job->result = entry.reason;
    return {};
}

Result<void> JobTable::applyEntry(const JobRemoved &entry)
{
    const auto it = m_jobs.find(entry.job);
    if (it == m_jobs.end() || !isFinal(it->second.state)) {
        return invalidTransition(entry.job);
    }
    m_jobByTeamKey.erase(teamKey(it->second.spec.team, it->second.spec.key));
    m_jobs.erase(it);
    return {};
}

void JobTable::restore(Job job)
{
    m_nextOrder = std::max(m_nextOrder, job.submissionOrder + 1);
    if (!job.spec.key.empty()) {
        m_jobByTeamKey[teamKey(job.spec.team, job.spec.key)] = job.id;
    }
    setWaiting(job, job.state == JobState::Waiting);
    m_jobs.insert_or_assign(job.id, std::move(job));
}

} // namespace monsoonspool::placement
