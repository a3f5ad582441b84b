#pragma once

#include "execution/fleet.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <map>
#include <numbers>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

// A fleet in virtual time whose workers have serving tasks each, and leftover work beside them that slows these down.
namespace monsoonspool::execution::leftoverfleet {

inline constexpr TimePoint Start{1h};
inline const jobs::WallTime Wall{std::chrono::hours(1000)};
inline const ServiceName Service("desk");
inline constexpr Duration Tick = 50ms; // between plans
inline constexpr Duration ListingInterval = 500ms; // of a worker; it also answers when a run ends
inline constexpr Resources Capacity{64000, 250000, 0};
inline constexpr Resources ServingNeeds{13000, 26000, 0};
inline constexpr double ServingLoad = 0.42; // mean part of their cores that serving tasks use
inline constexpr double LoadSwing = 0.25; // of the rate of serving tasks
inline constexpr Duration SwingPeriod = 14s;
inline constexpr Duration TailTarget = 20ms;
inline constexpr std::int64_t IdleTailMs = 5; // of a serving task without leftover work beside it, at mean load
inline constexpr int FullPace = 100;
inline const std::string LabelledKind("large"); // of every LabelInterval-th worker
inline constexpr int LabelInterval = 4;
inline constexpr Duration LongestAllowedStandstill = 3s; // by the platform

// Leftover work of one image. Tasks with cores of their own have images that are not listed, and disturb nothing.
struct Image
{
    std::string name;
    // By how much a task of the image on all cores of a worker lowers 1/tail of a serving task there, as a multiple
    // of 1/tail of an idle worker. 0 if it does not disturb.
    double disturbance = 0;
};

// A job whose tasks are alike. They use leftover cores unless it says otherwise.
struct LeftoverJob
{
    std::string image;
    std::int64_t milliCores = 7000;
    std::int64_t memoryMiB = 13000;
    int steps = 1;
    int width = 1;
    Duration runTime = 2700ms;
    Duration targetLatency{0}; // the objective
    bool usesLeftover = true;
    bool isGang = false;
    std::string label = {}; // required of the workers
    int maxPerWorker = 0;
    int failures = 0; // runs of the first task of each step that fail
};

// The longest time for which a job had nothing at work beside free room.
struct LongestStandstill
{
    Duration time{0};
    jobs::JobKey job;
    TimePoint at;
    std::string causes; // that the fleet reports for the jobs that stand, once it is over LongestAllowedStandstill
};

class SilentLog : public DecisionLog
{
public:
    void record(std::string_view, std::initializer_list<DecisionField>) override
    {
    }
};

class LeftoverFleet
{
public:
    // Each of the workers has a serving task, whose interference with the images is known.
    LeftoverFleet(int workers, const std::vector<Image> &images)
    {
        fleet.beginTerm({1}, 0, {}, Start, Start);
        for (int n = 0; n < workers; ++n) {
            const WorkerId id("w" + std::to_string(n));
            m_workers[id].position = n;
            announce(id);
        }
        fleet.markRosterStored(fleet.takeRoster());
        scheduling::LearnedInterference learned{ServingImage, 1.0 / static_cast<double>(IdleTailMs), {}};
        for (const auto &it : images) {
            m_disturbance[it.name] = it.disturbance;
            learned.sensitivities.push_back({it.name, it.disturbance * learned.baseRate});
        }
        fleet.restoreInterference({&learned, 1});
        jobs::StepSpec serving;
        serving.image = ServingImage;
        serving.needs = ServingNeeds;
        serving.count = workers;
        serving.maxPerWorker = 1;
        serving.isLasting = true;
        serving.tailTarget = TailTarget;
        add({ServingJob}, {serving}, {});
        pass(1s);
    }

    // Submits a job whose occurrences have a step of each of the two jobs, which need not wait for each other.
    void submitTimed(const LeftoverJob &a, const LeftoverJob &b, int occurrences, std::chrono::milliseconds interval)
    {
        std::vector<jobs::StepSpec> steps;
        for (const auto &it : {a, b}) {
            auto &step = steps.emplace_back();
            step.image = it.image;
            step.needs = {it.milliCores, it.memoryMiB, 0};
            step.count = it.width;
            step.estimate = it.runTime;
            step.usesLeftover = true;
        }
        const jobs::JobKey key{++m_lastKey};
        m_standingSince[key] = m_now;
        m_specs[key] = a;
        m_dueAt[key] = m_now + a.targetLatency + a.runTime;
        add(key, std::move(steps), a.targetLatency, occurrences, interval);
    }

    void submit(const LeftoverJob &job)
    {
        std::vector<jobs::StepSpec> steps;
        for (int s = 0; s < job.steps; ++s) {
            auto &step = steps.emplace_back();
            step.image = job.image;
            step.needs = {job.milliCores, job.memoryMiB, 0};
            step.count = job.width;
            step.estimate = job.runTime;
            step.usesLeftover = job.usesLeftover;
            step.isGang = job.isGang;
            step.requiredLabel = job.label;
            step.maxPerWorker = job.maxPerWorker;
            if (s > 0) {
                step.after = {s - 1};
            }
        }
        const jobs::JobKey key{++m_lastKey};
        m_standingSince[key] = m_now;
        m_specs[key] = job;
        m_dueAt[key] = m_now + job.targetLatency + job.runTime * job.steps;
        add(key, std::move(steps), job.targetLatency);
    }

    void pass(Duration time)
    {
        for (const auto end = m_now + time; m_now < end;) {
            m_now += Tick;
            updateGangs();
            for (auto &[id, worker] : m_workers) {
                if (worker.isDead) {
                    continue;
                }
                const bool hasEnd = work(worker);
                if (hasEnd || m_now >= worker.listingDueAt) {
                    list(id);
                }
            }
            carryOut(fleet.plan(m_now, wall()));
            watchStandstills();
        }
    }

    // Returns the longest time for which a job had nothing at work while under half of the workers' room was in use.
    Duration longestStandstill() const
    {
        return m_longestStandstill.time;
    }
    const LongestStandstill &longestStandstillDetails() const
    {
        return m_longestStandstill;
    }
    // Returns the same of the time after the jobs' objectives.
    const LongestStandstill &longestOverdueStandstill() const
    {
        return m_longestOverdueStandstill;
    }
    const LeftoverJob &specOf(jobs::JobKey key) const
    {
        return m_specs.at(key);
    }
    // Returns the longest time for which a serving task was over its target beside leftover work that disturbs it.
    Duration longestHarm() const
    {
        return m_longestHarm;
    }
    std::size_t openJobs() const
    {
        return m_standingSince.size();
    }
    // Returns the sum of the paces of the leftover runs of an image, in percent.
    int paceOf(std::string_view image) const
    {
        int sum = 0;
        for (const auto &[id, worker] : m_workers) {
            for (const auto &it : worker.runs) {
                sum += it.image == image ? it.pace : 0;
            }
        }
        return sum;
    }
    // Lets the workers that run the image die without a notice, and the fleet notice it.
    void killWorkersOf(std::string_view image)
    {
        for (auto &[id, worker] : m_workers) {
            if (std::ranges::any_of(worker.runs, [&](const Run &it) { return it.image == image; })) {
                worker.runs.clear();
                worker.isDead = true;
                fleet.markSilent(id, m_now);
            }
        }
    }
    // Lets all workers crash and start again at once.
    void restartWorkers()
    {
        ++m_startTimeMs;
        for (auto &[id, worker] : m_workers) {
            worker.runs.clear();
            worker.lastEnd = 0;
            announce(id);
        }
        fleet.markRosterStored(fleet.takeRoster());
    }
    // Returns how many plans had two orders of pace for one run, which may overtake each other on their way.
    int plansWithTwoPacesOfARun() const
    {
        return m_plansWithTwoPaces;
    }
    int runsOf(std::string_view image) const
    {
        int count = 0;
        for (const auto &[id, worker] : m_workers) {
            count += static_cast<int>(
                std::ranges::count_if(worker.runs, [&](const Run &it) { return it.image == image; }));
        }
        return count;
    }

    SilentLog log;
    Fleet fleet{log};
    bool losesPaces = false; // no order of pace reaches a worker
    double loadSwing = LoadSwing;
    double servingFactor = 1; // of the rate of serving tasks

private:
    static constexpr std::uint64_t ServingJob = 1;
    static inline const std::string ServingImage = "serving";
    static constexpr double FailurePoint = 0.5; // part of the work of a run that fails

    struct Run
    {
        StartTask order;
        std::string image;
        Resources needs;
        Duration runTime{0}; // at full pace
        int pace = FullPace;
        double done = 0; // part of its work
        std::int64_t milliCores = 0; // in use
        bool isServing = false;
        bool isStopped = false;
        bool usesLeftover = true;
        double failsAt = 0; // part of its work after which it fails; 0 if it does not
        bool isGangMember = false;
        bool isGangDone = false;
        bool isBroken = false; // another member of its gang has ended

        bool isDone() const
        {
            return !isServing && done >= 1 && (!isGangMember || isGangDone);
        }
        bool isFailed() const
        {
            return failsAt > 0 && done >= failsAt;
        }
        bool isOver() const
        {
            return isDone() || isFailed() || isStopped || isBroken;
        }
    };
    struct Worker
    {
        int position = 0;
        std::vector<Run> runs;
        std::int64_t lastEnd = 0;
        TimePoint listingDueAt;
        std::int64_t tailMs = IdleTailMs;
        std::optional<TimePoint> harmedSince;
        bool isDead = false;
    };

    void add(jobs::JobKey key, std::vector<jobs::StepSpec> steps, Duration targetLatency, int occurrences = 0,
             std::chrono::milliseconds interval = {})
    {
        m_lastKey = std::max(m_lastKey, key.value);
        AcceptedJob job;
        job.key = key;
        job.policy.queue = "queue";
        job.policy.service = Service;
        job.policy.maxAttempts = 3;
        job.policy.stretch = 1;
        job.policy.targetLatency = targetLatency;
        job.spec.steps = std::move(steps);
        job.spec.occurrences = occurrences;
        job.spec.firstDue = wall();
        job.spec.interval = interval;
        job.acceptedAt = wall();
        job.version = key.value;
        fleet.addJob(std::move(job), m_now, wall());
    }

    double disturbanceOf(const Run &run) const
    {
        const auto it = run.usesLeftover ? m_disturbance.find(run.image) : m_disturbance.end();
        return it == m_disturbance.end() ? 0 : it->second;
    }

    // The members of a gang end together, and none goes on without another.
    void updateGangs()
    {
        struct Gang
        {
            double done = 1;
            bool isBroken = false;
        };
        using Key = std::pair<jobs::JobKey, int>;
        std::map<Key, Gang> gangs;
        const auto forEachMember = [&](auto function) {
            for (auto &[id, worker] : m_workers) {
                for (auto &it : worker.runs) {
                    if (it.isGangMember) {
                        function(it, gangs[{it.order.task.job, it.order.task.step}]);
                    }
                }
            }
        };
        forEachMember([](Run &run, Gang &gang) {
            gang.done = std::min(gang.done, run.done);
            gang.isBroken = gang.isBroken || run.isStopped || run.isFailed();
        });
        forEachMember([](Run &run, const Gang &gang) {
            run.isGangDone = run.isGangDone || gang.done >= 1;
            run.isBroken = run.isBroken || (gang.isBroken && !run.isGangDone);
        });
    }

    // Returns the rate of the worker's serving task, 1/tail, as a multiple of the one without leftover work.
    double servingRate(const Worker &worker) const
    {
        const double seconds = std::chrono::duration<double>(m_now - Start).count();
        const double period = std::chrono::duration<double>(SwingPeriod).count();
        double rate = servingFactor - loadSwing * std::sin(2 * std::numbers::pi * seconds / period + worker.position);
        for (const auto &it : worker.runs) {
            if (!it.isServing) {
                rate -= disturbanceOf(it) * static_cast<double>(it.milliCores) / Capacity.milliCores;
            }
        }
        return rate;
    }

    // Lets the runs work for a tick. Returns whether one of them has ended.
    bool work(Worker &worker)
    {
        double available = Capacity.milliCores;
        double wanted = 0;
        bool isDisturbed = false;
        for (const auto &it : worker.runs) {
            available -= it.isServing ? ServingLoad * static_cast<double>(it.needs.milliCores) : 0;
            available -= it.isServing || it.usesLeftover ? 0 : static_cast<double>(it.needs.milliCores);
            wanted += it.usesLeftover ? static_cast<double>(it.needs.milliCores) * it.pace / FullPace : 0;
            isDisturbed = isDisturbed || (it.pace > 0 && disturbanceOf(it) > 0);
        }
        const double part = wanted <= available ? 1 : available / wanted;
        bool hasEnd = false;
        for (auto &it : worker.runs) {
            if (!it.isServing) {
                const double speed = it.usesLeftover ? part * it.pace / FullPace : 1;
                it.milliCores = static_cast<std::int64_t>(speed * static_cast<double>(it.needs.milliCores));
                it.done += speed * static_cast<double>(Tick.count()) / static_cast<double>(it.runTime.count());
                hasEnd = hasEnd || it.isOver();
            }
        }
        constexpr double lowestRate = 0.02;
        worker.tailMs = static_cast<std::int64_t>(IdleTailMs / std::max(servingRate(worker), lowestRate));
        if (worker.tailMs <= toMilliseconds(TailTarget) || !isDisturbed) {
            worker.harmedSince.reset();
        } else {
            worker.harmedSince = worker.harmedSince.value_or(m_now);
            m_longestHarm = std::max(m_longestHarm, m_now - *worker.harmedSince);
        }
        return hasEnd;
    }

    void announce(const WorkerId &id)
    {
        ports::WorkerEntry entry;
        entry.id = id;
        entry.service = Service;
        entry.capacity = Capacity;
        entry.kind = m_workers[id].position % LabelInterval == 0 ? LabelledKind : std::string();
        entry.startTimeMs = m_startTimeMs;
        fleet.updateWorker(entry, m_now);
        list(id);
    }

    void list(const WorkerId &id)
    {
        auto &worker = m_workers[id];
        worker.listingDueAt = m_now + ListingInterval;
        ports::WorkerListing listing;
        listing.startTimeMs = m_startTimeMs;
        listing.clock = toMilliseconds(m_now - Start) + 1000;
        std::erase_if(worker.runs, [&](const Run &it) {
            if (!it.isOver()) {
                const int percent = it.isServing ? 100 : static_cast<int>(100 * std::min(it.done, 1.0));
                listing.running.push_back(
                    {it.order.task, it.order.run, {}, percent, it.isServing ? worker.tailMs : it.milliCores});
                return false;
            }
            const auto outcome = it.isFailed() ? jobs::RunEnd::Failed
                : it.isDone()                  ? jobs::RunEnd::Done
                : it.isStopped                 ? jobs::RunEnd::Stopped
                                               : jobs::RunEnd::Broken;
            m_failedRuns[it.order.task] += it.isFailed() ? 1 : 0;
            listing.ended.push_back({++worker.lastEnd, it.order.task, it.order.run, outcome, {}});
            return true;
        });
        fleet.leaseOrder(id, m_now);
        fleet.applyListing(id, listing, m_now, m_now);
        for (const auto &it : listing.ended) {
            const auto *job = fleet.find(it.task.job);
            if (job != nullptr && jobs::isFinal(job->state())) {
                m_standingSince.erase(it.task.job);
                fleet.markStored(it.task.job);
            }
        }
        fleet.acknowledge(fleet.endCursors());
    }

    void carryOut(const Orders &orders)
    {
        const auto run = [&](const auto &order) -> Run * {
            auto &runs = m_workers[order.worker].runs;
            const auto it = std::ranges::find_if(
                runs, [&](const Run &other) { return other.order.task == order.task && other.order.run == order.run; });
            return it == runs.end() ? nullptr : &*it;
        };
        for (const auto &it : orders.starts) {
            fleet.applyStartReply(it, ports::StartResult::Accepted, m_now);
            const auto &spec = fleet.find(it.task.job)->stepSpec(it.task.step);
            const auto &job = m_specs[it.task.job];
            auto &started = m_workers[it.worker].runs.emplace_back();
            started.order = it;
            started.image = spec.image;
            started.needs = spec.needs;
            started.runTime = job.runTime;
            started.isServing = spec.isLasting;
            started.usesLeftover = spec.usesLeftover;
            started.isGangMember = spec.isGang;
            const bool isFailing = it.task.index == 0 && m_failedRuns[it.task] < job.failures;
            started.failsAt = isFailing ? FailurePoint : 0;
        }
        std::set<std::pair<jobs::TaskId, jobs::RunNumber>> paced;
        for (const auto &it : orders.paces) {
            if (losesPaces) {
                fleet.applyPaceFailure(it);
                continue;
            }
            m_plansWithTwoPaces += paced.insert({it.task, it.run}).second ? 0 : 1;
            if (auto *found = run(it)) {
                found->pace = it.percent;
            }
        }
        for (const auto &it : orders.stops) {
            if (auto *found = run(it)) {
                found->isStopped = true;
            }
            fleet.confirmStop(it, m_now);
        }
    }

    void watchStandstills()
    {
        std::set<jobs::JobKey> atWork;
        Resources used;
        for (const auto &[id, worker] : m_workers) {
            for (const auto &it : worker.runs) {
                atWork.insert(it.order.task.job);
                used.memoryMiB += it.needs.memoryMiB;
                used.milliCores += it.usesLeftover ? 0 : it.needs.milliCores;
            }
        }
        const auto workers = static_cast<std::int64_t>(m_workers.size());
        const bool isRoomFree
            = used.memoryMiB * 2 < Capacity.memoryMiB * workers && used.milliCores * 2 < Capacity.milliCores * workers;
        for (auto &[key, since] : m_standingSince) {
            if (!isRoomFree || atWork.contains(key) || !hasRoomTwice(m_specs.at(key))) {
                since = m_now;
            }
            noteStandstill(m_longestStandstill, key, since);
            noteStandstill(m_longestOverdueStandstill, key, std::max(since, m_dueAt.at(key)));
        }
    }

    void noteStandstill(LongestStandstill &longest, jobs::JobKey key, TimePoint since) const
    {
        const auto time = m_now - since;
        if (time > longest.time) {
            longest = {time, key, m_now, time > LongestAllowedStandstill ? standstillCauses() : std::string()};
        }
    }

    // Returns whether the workers with the job's label have room for two of its tasks, or for its gang twice. Half of
    // all room tells nothing of it where only some workers qualify, cores are needed too, or tasks start together;
    // for other jobs that half is all that counts.
    bool hasRoomTwice(const LeftoverJob &job) const
    {
        if (job.usesLeftover && !job.isGang && job.label.empty() && job.maxPerWorker == 0) {
            return true;
        }
        std::int64_t places = 0;
        for (const auto &[id, worker] : m_workers) {
            if (!job.label.empty() && worker.position % LabelInterval != 0) {
                continue;
            }
            auto free = Capacity;
            for (const auto &it : worker.runs) {
                free.memoryMiB -= it.needs.memoryMiB;
                free.milliCores -= it.usesLeftover ? 0 : it.needs.milliCores;
            }
            auto most = free.memoryMiB / job.memoryMiB;
            most = job.usesLeftover ? most : std::min(most, free.milliCores / job.milliCores);
            places += job.maxPerWorker == 0 ? most : std::min<std::int64_t>(most, job.maxPerWorker);
        }
        return places >= 2 * (job.isGang ? job.width : 1);
    }

    std::string standstillCauses() const
    {
        std::string causes;
        const auto standing = fleet.counts().standingJobs;
        for (std::size_t n = 0; n < standing.byCause.size(); ++n) {
            if (standing.byCause[n] > 0) {
                causes += std::string(standstillCauseName(static_cast<StandstillCause>(n))) + " "
                    + std::to_string(standing.byCause[n]) + " ";
            }
        }
        return causes;
    }

    jobs::WallTime wall() const
    {
        return Wall + std::chrono::duration_cast<std::chrono::milliseconds>(m_now - Start);
    }

    TimePoint m_now = Start;
    std::uint64_t m_lastKey = 0;
    std::int64_t m_startTimeMs = 1; // of all workers
    std::map<WorkerId, Worker> m_workers;
    std::map<std::string, double, std::less<>> m_disturbance;
    std::map<jobs::JobKey, TimePoint> m_standingSince; // of the open jobs but the serving one
    std::map<jobs::JobKey, LeftoverJob> m_specs;
    std::map<jobs::TaskId, int> m_failedRuns;
    std::map<jobs::JobKey, TimePoint> m_dueAt; // by their objectives
    LongestStandstill m_longestStandstill;
    LongestStandstill m_longestOverdueStandstill;
    Duration m_longestHarm{0};
    int m_plansWithTwoPaces = 0;
};

} // namespace monsoonspool::execution::leftoverfleet
