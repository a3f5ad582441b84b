#pragma once

#include "execution/fleet.h"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

// A fleet of simulated workers on racks, in virtual time, for the tests of data locality.
namespace monsoonspool::execution::rackfleet {

inline constexpr TimePoint Start{1h};
inline const jobs::WallTime Wall{std::chrono::hours(1000)};
inline const ServiceName Service("desk");
inline constexpr Resources Slot{1000, 1000, 0};
inline constexpr double Factor = 3;
inline constexpr Duration Tick = 50ms; // events of the workers
inline constexpr Duration PlanInterval = 150ms;

// Keeps the recorded events with their fields.
class FieldLog : public DecisionLog
{
public:
    struct Event
    {
        std::string name;
        std::map<std::string, std::string, std::less<>> fields;
    };

    void record(std::string_view event, std::initializer_list<DecisionField> fields) override
    {
        auto &added = events.emplace_back();
        added.name = event;
        for (const auto &it : fields) {
            added.fields[std::string(it.key())] = it.text();
        }
    }
    const Event *last(std::string_view name) const
    {
        const auto it = std::find_if(events.rbegin(), events.rend(), [&](const Event &e) { return e.name == name; });
        return it == events.rend() ? nullptr : &*it;
    }

    std::vector<Event> events;
};

struct RunOfTask
{
    std::uint64_t job = 0;
    int index = 0;
    std::string rack;
    TimePoint startedAt;
    TimePoint endsAt;
};

// A fleet with simulated workers: w0, w1, ... on racks a, b, ..., one after another.
class RackFleet
{
public:
    // Tasks really take `realFactor` times as long off their rack.
    RackFleet(std::optional<double> factor, int racks, int workersPerRack, int slots, double realFactor = Factor)
        : m_realFactor(realFactor)
    {
        fleet.setRemoteRunTimeFactor(factor);
        fleet.beginTerm({1}, 0, {}, Start, Start);
        for (int n = 0; n < racks * workersPerRack; ++n) {
            addWorker("w" + std::to_string(n), std::string(1, static_cast<char>('a' + n % racks)), slots);
        }
        fleet.markRosterStored(fleet.takeRoster());
    }

    void addWorker(const std::string &id, const std::string &rack, int slots)
    {
        ports::WorkerEntry entry;
        entry.id = WorkerId(id);
        entry.service = service;
        entry.capacity = {1000 * slots, 1000 * slots, 0};
        entry.rack = rack;
        entry.startTimeMs = 1;
        fleet.updateWorker(entry, now);
        m_workers[entry.id].rack = rack;
        list(entry.id);
    }

    // The tasks take their estimate on the rack of their data.
    void submit(std::uint64_t key, const jobs::StepSpec &step, Duration targetLatency = 20s, Duration age = 0s,
                int priority = 0, const std::optional<jobs::StepSpec> &next = {})
    {
        AcceptedJob job;
        job.key = {key};
        job.policy.queue = "plans";
        job.policy.service = service;
        job.policy.maxAttempts = 3;
        job.policy.priority = priority;
        job.policy.targetLatency = targetLatency;
        job.spec.steps.push_back(step);
        if (next) {
            job.spec.steps.push_back(*next);
            job.spec.steps.back().after = {0};
        }
        job.acceptedAt = wall() - std::chrono::duration_cast<std::chrono::milliseconds>(age);
        job.version = key;
        m_specs[key] = step;
        m_submittedAt[key] = now;
        fleet.addJob(std::move(job), now, wall());
    }

    // Carries out a plan and returns the jobs of which it started tasks.
    std::vector<std::uint64_t> plan()
    {
        std::vector<std::uint64_t> started;
        const auto orders = fleet.plan(now, wall());
        m_plannedAt = now;
        std::map<std::uint64_t, std::set<std::string>> racksOfGangs;
        for (const auto &it : orders.starts) {
            racksOfGangs[it.task.job.value].insert(m_workers[it.worker].rack);
        }
        for (const auto &it : orders.starts) {
            if (refused.erase(it.task.job.value) > 0) {
                fleet.applyStartReply(it, ports::StartResult::Unhealthy, now);
                continue;
            }
            fleet.applyStartReply(it, ports::StartResult::Accepted, now);
            const auto &spec = m_specs[it.task.job.value];
            auto &worker = m_workers[it.worker];
            const bool isRemote = (!spec.dataRack.empty() && worker.rack != spec.dataRack)
                || (spec.isColocated && racksOfGangs[it.task.job.value].size() > 1);
            const auto runTime
                = isRemote ? std::chrono::duration_cast<Duration>(spec.estimate * m_realFactor) : spec.estimate;
            const RunOfTask run{it.task.job.value, it.task.index, worker.rack, now,
                                spec.isLasting ? TimePoint::max() : now + runTime};
            worker.runs.push_back({it, run});
            runs.push_back(run);
            started.push_back(run.job);
        }
        return started;
    }

    // Lets the time pass; plans after ends of runs, and as often as a leader does.
    void pass(Duration time)
    {
        for (const auto end = now + time; now < end;) {
            now += Tick;
            bool hasEnds = false;
            for (auto &[id, worker] : m_workers) {
                hasEnds = (!worker.isSilent && list(id)) || hasEnds;
            }
            if (hasEnds || now - m_plannedAt >= PlanInterval) {
                plan();
            }
        }
    }

    void silence(const WorkerId &id)
    {
        m_workers[id].isSilent = true;
        fleet.markSilent(id, now);
    }

    // Lets the runs of a worker never end.
    void standStill(const WorkerId &id)
    {
        for (auto &it : m_workers[id].runs) {
            it.run.endsAt = TimePoint::max();
        }
    }

    // Ends them all.
    void release(const WorkerId &id)
    {
        for (auto &it : m_workers[id].runs) {
            it.run.endsAt = now;
        }
    }

    const RunOfTask *runOf(std::uint64_t job, int index = 0) const
    {
        const auto it
            = std::ranges::find_if(runs, [&](const RunOfTask &run) { return run.job == job && run.index == index; });
        return it == runs.end() ? nullptr : &*it;
    }

    // Returns the rack of the last run of the job's first task, or nothing if it has not started.
    std::string rackOf(std::uint64_t job) const
    {
        const auto it = std::find_if(runs.rbegin(), runs.rend(),
                                     [&](const RunOfTask &run) { return run.job == job && run.index == 0; });
        return it == runs.rend() ? std::string() : it->rack;
    }

    // Returns the mean time from submission to the end of jobs with one task.
    double meanSeconds(std::uint64_t firstJob) const
    {
        double sum = 0;
        int count = 0;
        for (const auto &it : runs) {
            if (it.job >= firstJob) {
                sum += std::chrono::duration<double>(it.endsAt - m_submittedAt.at(it.job)).count();
                ++count;
            }
        }
        return sum / count;
    }

    FieldLog log;
    Fleet fleet{log};
    TimePoint now = Start;
    ServiceName service = Service; // of what is added from now on
    std::vector<RunOfTask> runs;
    std::set<std::uint64_t> refused; // jobs whose next start the worker refuses

private:
    struct ActiveRun
    {
        StartTask order;
        RunOfTask run;
    };
    struct SimulatedWorker
    {
        std::string rack;
        std::vector<ActiveRun> runs;
        std::vector<ports::ListedRunEnd> ended; // not listed yet
        std::int64_t lastEnd = 0;
        bool isSilent = false;
    };

    static void addEnd(SimulatedWorker &worker, const ActiveRun &run, jobs::RunEnd how)
    {
        worker.ended.push_back({++worker.lastEnd, run.order.task, run.order.run, how, {}});
    }

    jobs::WallTime wall() const
    {
        return Wall + std::chrono::duration_cast<std::chrono::milliseconds>(now - Start);
    }

    // Returns whether runs have ended.
    bool list(const WorkerId &id)
    {
        auto &worker = m_workers[id];
        ports::WorkerListing listing;
        listing.startTimeMs = 1;
        listing.clock = toMilliseconds(now - Start) + 1000;
        std::erase_if(worker.runs, [&](const ActiveRun &it) {
            if (it.run.endsAt > now) {
                const bool isLasting = it.run.endsAt == TimePoint::max();
                const auto percent
                    = isLasting ? 100 : 100 * (now - it.run.startedAt) / (it.run.endsAt - it.run.startedAt);
                listing.running.push_back({it.order.task, it.order.run, {}, static_cast<int>(percent), 1000});
                return false;
            }
            addEnd(worker, it, jobs::RunEnd::Done);
            return true;
        });
        listing.ended = std::move(worker.ended);
        worker.ended.clear();
        fleet.applyListing(id, listing, now, now);
        return !listing.ended.empty();
    }

    double m_realFactor;
    std::map<WorkerId, SimulatedWorker> m_workers;
    std::map<std::uint64_t, jobs::StepSpec> m_specs;
    std::map<std::uint64_t, TimePoint> m_submittedAt;
    TimePoint m_plannedAt;
};

inline jobs::StepSpec stepOn(std::string_view rack, Duration estimate = 1s)
{
    jobs::StepSpec step;
    step.needs = Slot;
    step.estimate = estimate;
    step.dataRack = rack;
    step.image = std::string(rack) + std::to_string(estimate.count());
    return step;
}

// Lets less urgent runs of a second, which end one after another, keep the slots of rack a full for `time`
// and 20 s more.
inline void fillRackA(RackFleet &racks, int slots, Duration time, int priority = 8)
{
    constexpr std::uint64_t firstKey = 100000;
    jobs::StepSpec filler;
    filler.needs = Slot;
    filler.requiredLabel = "a"; // runs nowhere else
    for (int n = 0; n < slots; ++n) {
        filler.estimate = 1s * (n + 1) / slots;
        racks.submit(firstKey + static_cast<std::uint64_t>(n), filler, 20s, 0s, priority);
    }
    racks.plan();
    filler.estimate = 1s;
    filler.count = static_cast<int>(time / 1s + 20) * slots;
    racks.submit(firstKey + static_cast<std::uint64_t>(slots), filler, 10min, 0s, priority);
    racks.pass(time);
}

inline std::vector<std::uint64_t> withoutFiller(std::vector<std::uint64_t> jobs)
{
    std::erase_if(jobs, [](std::uint64_t it) { return it >= 100000; });
    return jobs;
}

} // namespace monsoonspool::execution::rackfleet
