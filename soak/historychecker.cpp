#include "soak/historychecker.h"

#include "jobs/names.h"

#include <algorithm>
#include <map>
#include <set>
#include <unordered_map>

namespace monsoonspool::soak {

namespace {

constexpr std::int64_t RequiredRoom = 2; // tasks

struct JobProgress
{
    JobShape shape;
    std::vector<int> done; // tasks by step
    bool isAccepted = false;
    bool isRejected = false;
    bool isCompleted = false; // as reported to the client
    int active = 0; // runs
    std::optional<TimePoint> standsSince;

    bool isStepDone(int step) const
    {
        return step >= 0 && step < static_cast<int>(done.size()) && done[step] >= shape.steps[step].count;
    }

    bool isDone() const
    {
        return std::ranges::all_of(
            shape.steps, [&](const StepShape &it) { return isStepDone(static_cast<int>(&it - shape.steps.data())); });
    }

    // Returns the need of the smallest task that could run, or nullopt if none could.
    std::optional<std::int64_t> runnableNeed() const
    {
        std::optional<std::int64_t> need;
        for (std::size_t n = 0; n < shape.steps.size(); ++n) {
            const auto &step = shape.steps[n];
            const bool isRunnable = !isStepDone(static_cast<int>(n))
                && std::ranges::all_of(step.after, [&](int it) { return isStepDone(it); });
            if (isRunnable) {
                need = std::min(need.value_or(step.milliCores), step.milliCores);
            }
        }
        return need;
    }
};

struct ActiveRun
{
    std::string worker;
    std::int64_t milliCores = 0;
};

struct WorkerUse
{
    std::int64_t capacity = 0;
    std::int64_t used = 0;
    bool takesOrders = true;
};

// The pass over one history.
class Pass
{
public:
    explicit Pass(const HistoryRules &rules) : m_rules(rules)
    {
        for (std::size_t n = 0; n < PromiseCount; ++n) {
            m_verdict.promises[n].promise = static_cast<Promise>(n);
        }
    }

    void apply(const Event &event)
    {
        switch (event.kind) {
        case EventKind::WorkerRegistered:
            m_workers[event.worker] = {event.milliCores, 0, event.takesOrders};
            break;
        case EventKind::Submitted:
            m_jobs[event.job].shape = event.shape;
            m_jobs[event.job].done.resize(event.shape.steps.size());
            break;
        case EventKind::Accepted:
            m_jobs[event.job].isAccepted = true;
            ++result(Promise::NeverLost).checked;
            break;
        case EventKind::Rejected:
            m_jobs[event.job].isRejected = true;
            ++result(Promise::RejectedNeverRuns).checked;
            if (m_startedJobs.contains(event.job)) {
                violate(Promise::RejectedNeverRuns, "job " + jobs::jobName(event.job) + " ran and was rejected");
            }
            break;
        case EventKind::ReportedCompleted:
            completeJob(event);
            break;
        case EventKind::ReportedFailed:
            violate(Promise::NeverLost, "job " + jobs::jobName(event.job) + " ended as failed");
            m_jobs[event.job].isCompleted = true;
            break;
        case EventKind::ReportedUnknown:
            violate(Promise::NeverLost, "job " + jobs::jobName(event.job) + " is unknown after it was accepted");
            m_jobs[event.job].isCompleted = true;
            break;
        case EventKind::RunStarted:
            startRun(event);
            break;
        case EventKind::RunEnded:
            endRun(event);
            break;
        case EventKind::DisturbanceBegan:
            ++m_disturbances;
            ++result(Promise::HostsStayUp).checked;
            break;
        case EventKind::DisturbanceEnded:
            --m_disturbances;
            m_calmFrom = event.at + m_rules.settleTime;
            break;
        case EventKind::HostEnded:
            violate(Promise::HostsStayUp, event.host + " ended without a signal");
            break;
        case EventKind::HostEndedBadly:
            violate(Promise::HostsStayUp, event.host + " did not end in order when it was asked to stop");
            break;
        }
        followStandstills(event.at);
    }

    Verdict finish(TimePoint end)
    {
        for (auto &[key, job] : m_jobs) {
            endStandstill(key, job, end);
            if (job.isAccepted && !job.isCompleted) {
                violate(Promise::NeverLost, "job " + jobs::jobName(key) + " was accepted and has not ended");
            }
        }
        std::ranges::sort(m_verdict.longest, std::greater(), &Standstill::length);
        if (m_verdict.longest.size() > MaxListedStandstills) {
            m_verdict.longest.resize(MaxListedStandstills);
        }
        return std::move(m_verdict);
    }

private:
    PromiseResult &result(Promise promise)
    {
        return m_verdict.promises[static_cast<std::size_t>(promise)];
    }

    void violate(Promise promise, std::string detail)
    {
        result(promise).violations.push_back(std::move(detail));
    }

    void completeJob(const Event &event)
    {
        auto &job = m_jobs[event.job];
        job.isCompleted = true;
        if (!job.isDone()) {
            violate(Promise::NeverLost,
                    "job " + jobs::jobName(event.job) + " was reported as completed before its tasks were done");
        }
    }

    std::int64_t needOf(const jobs::TaskId &task)
    {
        const auto &steps = m_jobs[task.job].shape.steps;
        const auto step = static_cast<std::size_t>(task.step);
        return task.step >= 0 && step < steps.size() ? steps[step].milliCores : 0;
    }

    void startRun(const Event &event)
    {
        const auto name = jobs::taskName(event.task) + " run " + std::to_string(event.run);
        ++result(Promise::OnePlace).checked;
        ++result(Promise::DoneOnce).checked;
        ++result(Promise::WithinCapacity).checked;
        m_startedJobs.insert(event.task.job);
        auto &job = m_jobs[event.task.job];
        if (job.isRejected) {
            violate(Promise::RejectedNeverRuns, name + " started on " + event.worker + " after the rejection");
        }
        if (m_doneTasks.contains(event.task)) {
            violate(Promise::DoneOnce, name + " started on " + event.worker + " after the task was done");
        }
        auto &runs = m_activeRuns[event.task];
        if (!runs.empty()) {
            violate(Promise::OnePlace,
                    name + " started on " + event.worker + " beside run " + std::to_string(runs.begin()->first) + " on "
                        + runs.begin()->second.worker);
        }
        const auto need = needOf(event.task);
        runs[event.run] = {event.worker, need};
        ++job.active;
        auto &worker = m_workers[event.worker];
        worker.used += need;
        if (worker.used > worker.capacity) {
            violate(Promise::WithinCapacity,
                    name + " needs more than " + event.worker + " has left: " + std::to_string(worker.used) + " of "
                        + std::to_string(worker.capacity) + " thousandths of a core");
        }
    }

    void endRun(const Event &event)
    {
        auto &runs = m_activeRuns[event.task];
        const auto it = runs.find(event.run);
        auto &job = m_jobs[event.task.job];
        if (it != runs.end()) {
            m_workers[it->second.worker].used -= it->second.milliCores;
            runs.erase(it);
            --job.active;
        }
        if (event.runEnd != RunEndKind::Done) {
            return;
        }
        if (!m_doneTasks.insert(event.task).second) {
            violate(Promise::DoneOnce, "task " + jobs::taskName(event.task) + " was done twice");
        } else if (event.task.step >= 0 && static_cast<std::size_t>(event.task.step) < job.done.size()) {
            ++job.done[event.task.step];
        }
    }

    std::int64_t roomFor(std::int64_t need) const
    {
        std::int64_t room = 0;
        for (const auto &[id, worker] : m_workers) {
            if (worker.takesOrders && need > 0) {
                room += std::max<std::int64_t>(worker.capacity - worker.used, 0) / need;
            }
        }
        return room;
    }

    bool shouldRun(const JobProgress &job) const
    {
        if (!job.isAccepted || job.isCompleted || job.active > 0 || m_disturbances > 0) {
            return false;
        }
        const auto need = job.runnableNeed();
        return need && roomFor(*need) >= RequiredRoom;
    }

    void followStandstills(TimePoint now)
    {
        for (auto &[key, job] : m_jobs) {
            if (!shouldRun(job)) {
                endStandstill(key, job, now);
            } else if (!job.standsSince) {
                job.standsSince = std::max(now, m_calmFrom);
            }
        }
    }

    void endStandstill(jobs::JobKey key, JobProgress &job, TimePoint now)
    {
        if (!job.standsSince) {
            return;
        }
        const Standstill standstill{key, *job.standsSince, now - *job.standsSince};
        job.standsSince.reset();
        if (standstill.length <= Duration(0)) {
            return;
        }
        ++result(Promise::NoStandstill).checked;
        m_verdict.longest.push_back(standstill);
        if (standstill.length > m_rules.standstillBound) {
            violate(Promise::NoStandstill,
                    "job " + jobs::jobName(key) + " had no active run for "
                        + std::to_string(toMilliseconds(standstill.length)) + " ms");
        }
    }

    const HistoryRules &m_rules;
    Verdict m_verdict;
    std::map<jobs::JobKey, JobProgress> m_jobs;
    std::map<std::string, WorkerUse> m_workers;
    std::map<jobs::TaskId, std::map<jobs::RunNumber, ActiveRun>> m_activeRuns;
    std::set<jobs::TaskId> m_doneTasks;
    std::set<jobs::JobKey> m_startedJobs;
    int m_disturbances = 0; // under way
    TimePoint m_calmFrom;
};

} // namespace

std::string_view promiseName(Promise promise)
{
    switch (promise) {
    case Promise::NeverLost:
        return "never-lost";
    case Promise::DoneOnce:
        return "done-once";
    case Promise::OnePlace:
        return "one-place";
    case Promise::RejectedNeverRuns:
        return "rejected-never-runs";
    case Promise::WithinCapacity:
        return "within-capacity";
    case Promise::NoStandstill:
        return "no-standstill";
    case Promise::HostsStayUp:
        return "hosts-stay-up";
    }
    return "unknown";
}

bool Verdict::isKept() const
{
    return std::ranges::all_of(promises, [](const PromiseResult &it) { return it.violations.empty(); });
}

HistoryChecker::HistoryChecker(HistoryRules rules) : m_rules(rules)
{
}

Verdict HistoryChecker::check(std::span<const Event> history, TimePoint end) const
{
    Pass pass(m_rules);
    for (const auto &it : history) {
        pass.apply(it);
    }
    return pass.finish(end);
}

} // namespace monsoonspool::soak
