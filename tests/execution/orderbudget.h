#pragma once

#include "execution/fleet.h"

#include <boost/random/exponential_distribution.hpp>
#include <boost/random/lognormal_distribution.hpp>
#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_01.hpp>

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

// A fleet in virtual time whose workers have room for everything, so that only start orders are short.
namespace monsoonspool::execution::orderbudget {

inline constexpr TimePoint Start{1h};
inline const jobs::WallTime Wall{std::chrono::hours(1000)};
inline const ServiceName Service("desk");
inline constexpr Duration Tick = 50ms; // between plans; one worker after the other lists its runs
inline constexpr int Workers = 4;
inline constexpr int LateFactor = 3; // a job that takes this many times its objective is not served

// A kind of jobs. Widths and run times are lognormal.
struct JobClass
{
    std::string queue;
    int priority = 0;
    double perSecond = 0;
    double stepsMean = 1;
    int maxSteps = 1;
    double widthMean = 1;
    double widthSpread = 0;
    int maxWidth = 1;
    double runSeconds = 1;
    double runSpread = 0;
    std::int64_t milliCores = 1000;
    double stretch = 1;
    Duration targetLatency{0};
};

// A short urgent kind beside a longer one with most of the orders.
inline std::vector<JobClass> urgentBesideWide(double scale)
{
    return {{"urgent", 0, 15.4 * scale, 1.6, 4, 13, 0.8, 80, 1.0, 0.5, 6400, 1.5, 400ms},
            {"wide", 2, 25.5 * scale, 2.0, 5, 40, 0.6, 160, 1.7, 0.5, 3500, 2.0, 1s}};
}

struct PlayedJob
{
    std::string queue;
    int orders = 0;
    double work = 0; // core-seconds
    TimePoint submittedAt;
    Duration objective{0}; // by the longest chain of the tasks' real run times
    std::optional<TimePoint> doneAt;

    bool isServed() const
    {
        return doneAt && *doneAt - submittedAt <= objective * LateFactor;
    }
    bool isOnTime() const
    {
        return doneAt && *doneAt - submittedAt <= objective;
    }
};

class SilentLog : public DecisionLog
{
public:
    void record(std::string_view, std::initializer_list<DecisionField>) override
    {
    }
};

class OrderBudget
{
public:
    OrderBudget(std::vector<JobClass> classes, std::uint32_t seed) : m_classes(std::move(classes)), m_random(seed)
    {
        fleet.beginTerm({1}, 0, {}, Start, Start);
        for (int n = 0; n < Workers; ++n) {
            ports::WorkerEntry entry;
            entry.id = WorkerId("w" + std::to_string(n));
            entry.service = Service;
            entry.capacity = {1'000'000'000, 1'000'000'000, 0};
            entry.startTimeMs = 1;
            fleet.updateWorker(entry, now);
            list(entry.id);
        }
        fleet.markRosterStored(fleet.takeRoster());
        m_nextAt.assign(m_classes.size(), now);
        for (std::size_t n = 0; n < m_classes.size(); ++n) {
            m_nextAt[n] += untilNext(m_classes[n]);
        }
    }

    // Returns the mean number of start orders that the submitted jobs need a second.
    double dueOrders() const
    {
        double orders = 0;
        for (const auto &[key, it] : played) {
            orders += it.orders;
        }
        return orders / std::chrono::duration<double>(m_submittedUntil - Start).count();
    }

    // Lets `time` pass with `ordersPerSecond` start orders at most.
    void pass(Duration time, double ordersPerSecond, bool isSubmitting = true)
    {
        for (const auto end = now + time; now < end;) {
            now += Tick;
            for (std::size_t n = 0; isSubmitting && n < m_classes.size(); ++n) {
                for (; m_nextAt[n] <= now; m_nextAt[n] += untilNext(m_classes[n])) {
                    submit(m_classes[n]);
                }
            }
            m_submittedUntil = isSubmitting ? now : m_submittedUntil;
            list(WorkerId("w" + std::to_string(m_ticks++ % Workers)));
            m_budget = std::min(m_budget + ordersPerSecond * std::chrono::duration<double>(Tick).count(),
                                std::max(ordersPerSecond, 1.0));
            plan();
        }
    }

    SilentLog log;
    Fleet fleet{log};
    TimePoint now = Start;
    std::map<std::uint64_t, PlayedJob> played;

private:
    struct ActiveRun
    {
        StartTask order;
        TimePoint startedAt;
        TimePoint endsAt;
    };
    struct Worker
    {
        std::vector<ActiveRun> runs;
        std::int64_t lastEnd = 0;
    };

    Duration untilNext(const JobClass &jobClass)
    {
        const double seconds = boost::random::exponential_distribution<>(jobClass.perSecond)(m_random);
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
    }

    double lognormal(double mean, double spread)
    {
        return spread <= 0
            ? mean
            : boost::random::lognormal_distribution<>(std::log(mean) - spread * spread / 2, spread)(m_random);
    }

    int countOf(double mean, double spread, int most)
    {
        return std::clamp(static_cast<int>(std::lround(lognormal(mean, spread))), 1, most);
    }

    void submit(const JobClass &jobClass)
    {
        const auto key = ++m_lastKey;
        AcceptedJob job;
        job.key = {key};
        job.policy.queue = jobClass.queue;
        job.policy.service = Service;
        job.policy.maxAttempts = 3;
        job.policy.priority = jobClass.priority;
        job.policy.stretch = jobClass.stretch;
        job.policy.targetLatency = jobClass.targetLatency;
        PlayedJob record;
        record.queue = jobClass.queue;
        record.submittedAt = now;
        Duration chain{0};
        constexpr double stepsSpread = 0.4;
        const int steps = countOf(jobClass.stepsMean, stepsSpread, jobClass.maxSteps);
        const int width = countOf(jobClass.widthMean, jobClass.widthSpread, jobClass.maxWidth);
        for (int s = 0; s < steps; ++s) {
            auto &step = job.spec.steps.emplace_back();
            step.count = width;
            step.needs = {jobClass.milliCores, 1, 0};
            step.estimate = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(jobClass.runSeconds));
            step.image = jobClass.queue;
            if (s > 0) {
                step.after = {s - 1};
            }
            Duration longest{0};
            for (int n = 0; n < width; ++n) {
                const auto time = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
                    std::min(lognormal(jobClass.runSeconds, jobClass.runSpread), 2.5 * jobClass.runSeconds)));
                m_runTimes[{{key}, 0, s, n}] = time;
                longest = std::max(longest, time);
                record.work
                    += std::chrono::duration<double>(time).count() * static_cast<double>(jobClass.milliCores) / 1000;
            }
            chain += longest;
            record.orders += width;
        }
        record.objective = jobClass.targetLatency
            + Duration(static_cast<Duration::rep>(jobClass.stretch * static_cast<double>(chain.count())));
        job.acceptedAt = wall();
        job.version = key;
        played[key] = record;
        fleet.addJob(std::move(job), now, wall());
    }

    void plan()
    {
        const auto orders = fleet.plan(now, wall(), std::max(static_cast<int>(m_budget), 0));
        m_budget -= static_cast<double>(orders.starts.size());
        for (const auto &it : orders.starts) {
            fleet.applyStartReply(it, ports::StartResult::Accepted, now);
            m_workers[it.worker].runs.push_back({it, now, now + m_runTimes.at(it.task)});
        }
    }

    void list(const WorkerId &id)
    {
        auto &worker = m_workers[id];
        ports::WorkerListing listing;
        listing.startTimeMs = 1;
        listing.clock = toMilliseconds(now - Start) + 1000;
        std::erase_if(worker.runs, [&](const ActiveRun &it) {
            if (it.endsAt > now) {
                const auto percent = static_cast<int>(100 * (now - it.startedAt) / (it.endsAt - it.startedAt));
                listing.running.push_back({it.order.task, it.order.run, {}, percent, 1000});
                return false;
            }
            listing.ended.push_back({++worker.lastEnd, it.order.task, it.order.run, jobs::RunEnd::Done, {}});
            return true;
        });
        fleet.applyListing(id, listing, now, now);
        for (const auto &it : listing.ended) {
            const auto *job = fleet.find(it.task.job);
            auto &record = played.at(it.task.job.value);
            if (job != nullptr && job->state() == jobs::JobState::Completed && !record.doneAt) {
                record.doneAt = now;
                fleet.markStored(it.task.job);
            }
        }
        fleet.acknowledge(fleet.endCursors());
    }

    jobs::WallTime wall() const
    {
        return Wall + std::chrono::duration_cast<std::chrono::milliseconds>(now - Start);
    }

    std::vector<JobClass> m_classes;
    boost::random::mt19937 m_random;
    std::vector<TimePoint> m_nextAt;
    TimePoint m_submittedUntil = Start;
    double m_budget = 0;
    int m_ticks = 0;
    std::uint64_t m_lastKey = 0;
    std::map<jobs::TaskId, Duration> m_runTimes;
    std::map<WorkerId, Worker> m_workers;
};

// Shares of jobs, of one kind and by size.
struct Shares
{
    double all = 0;
    double largestTenth = 0; // by work
    double nextFifth = 0;
};

template <typename F>
Shares sharesOf(const OrderBudget &play, std::string_view queue, TimePoint from, TimePoint until, F isMet)
{
    std::vector<const PlayedJob *> jobs;
    for (const auto &[key, it] : play.played) {
        if (it.queue == queue && it.submittedAt >= from && it.submittedAt < until) {
            jobs.push_back(&it);
        }
    }
    std::ranges::sort(jobs, [](const PlayedJob *a, const PlayedJob *b) { return a->work > b->work; });
    const auto share = [&](std::size_t first, std::size_t last) {
        const auto begin = jobs.begin() + static_cast<std::ptrdiff_t>(first);
        const auto end = jobs.begin() + static_cast<std::ptrdiff_t>(last);
        const auto met = std::count_if(begin, end, [&](const PlayedJob *it) { return isMet(*it); });
        return static_cast<double>(met) / static_cast<double>(std::max<std::size_t>(last - first, 1));
    };
    const auto tenth = jobs.size() / 10;
    const auto fifth = jobs.size() / 5;
    return {share(0, jobs.size()), share(0, tenth), share(tenth, tenth + fifth)};
}

} // namespace monsoonspool::execution::orderbudget
