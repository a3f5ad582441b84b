#pragma once

#include "execution/takeovercluster.h"

#include <map>
#include <set>
#include <string>
#include <vector>

// Clients of a takeover test: jobs of short tasks, some of which last or are cancelled.
namespace monsoonspool::execution::takeover {

class Clients
{
public:
    // From `calmAt` on no fault is left, so that a cancelled job starts nothing CancelTime later.
    Clients(Cluster &cluster, std::uint32_t seed, TimePoint calmAt)
        : m_cluster(cluster), m_random(seed), m_calmAt(calmAt)
    {
    }

    // Submits a job every `interval` on average.
    void submitUntil(TimePoint until, Duration interval)
    {
        if (m_cluster.clock.now() >= until) {
            return;
        }
        submit();
        m_cluster.clock.runAfter(m_random.duration(0ms, interval * 2),
                                 [this, until, interval] { submitUntil(until, interval); });
    }
    // Cancels the lasting jobs, which would not end otherwise.
    void cancelLastingJobs()
    {
        for (const auto &[key, job] : m_jobs) {
            if (job.isLasting) {
                cancel(key);
            }
        }
    }
    bool isAllFinished() const
    {
        return std::ranges::all_of(m_jobs, [&](const auto &it) {
            const auto progress = m_cluster.progress(it.first);
            return !progress || jobs::isFinal(progress->state);
        });
    }

    // Returns what is wrong with the jobs once they should be finished.
    std::vector<std::string> problems() const
    {
        std::vector<std::string> problems;
        for (const auto &[key, job] : m_jobs) {
            const auto progress = m_cluster.progress(key);
            const auto name = jobs::jobName(key);
            const auto &checker = m_cluster.workers.checker();
            if (!progress) {
                if (job.isAccepted || checker.startCount(key) > 0) {
                    problems.push_back(name + (job.isAccepted ? " is lost" : " started, but was not accepted"));
                }
                continue;
            }
            if (!jobs::isFinal(progress->state)) {
                problems.push_back(name + " is not finished: " + std::string(jobs::jobStateName(progress->state)));
            } else if (progress->state == jobs::JobState::Completed
                       && !isEachTask(key, [&](const jobs::TaskId &it) { return checker.isDone(it); })) {
                problems.push_back(name + " is completed without each task done");
            } else if (progress->state == jobs::JobState::Failed && isEachTask(key, [&](const jobs::TaskId &it) {
                           return checker.failedCount(it) < MaxAttempts;
                       })) {
                problems.push_back(name + " is failed without cause");
            } else if (progress->state == jobs::JobState::Cancelled && !job.isCancelRequested) {
                problems.push_back(name + " is cancelled without cause");
            }
        }
        return problems;
    }
    int acceptedCount() const
    {
        return static_cast<int>(std::ranges::count_if(m_jobs, [](const auto &it) { return it.second.isAccepted; }));
    }

private:
    static constexpr Duration Patience = 2500ms; // of a client with one call
    static constexpr Duration CancelTime = 4s;
    static constexpr int MaxTries = 4;

    struct ClientJob
    {
        bool isAccepted = false;
        bool isRefused = false;
        bool isLasting = false;
        bool isCancelRequested = false;
        bool isCancelled = false;
        int tries = 0;
    };

    template <typename F>
    bool isEachTask(jobs::JobKey key, F predicate) const
    {
        const auto &spec = m_cluster.model.specs.at(key);
        for (std::size_t s = 0; s < spec.steps.size(); ++s) {
            for (int n = 0; n < spec.steps[s].count; ++n) {
                if (!predicate({key, 0, static_cast<int>(s), n})) {
                    return false;
                }
            }
        }
        return true;
    }

    jobs::JobSpec drawSpec()
    {
        jobs::JobSpec spec;
        spec.payload = "plan";
        constexpr double lastingRate = 0.005;
        const bool isLasting = m_random.chance(lastingRate);
        spec.steps.resize(isLasting ? 1 : static_cast<std::size_t>(1 + m_random.below(3)));
        for (std::size_t s = 0; s < spec.steps.size(); ++s) {
            auto &step = spec.steps[s];
            step.count = m_random.chance(0.7) ? 1 + m_random.below(2) : 1 + m_random.below(8);
            step.needs = {1000, 500, 0};
            step.estimate = m_random.chance(0.8) ? m_random.duration(100ms, 500ms) : m_random.duration(500ms, 2s);
            step.isLasting = isLasting;
            if (s > 0) {
                step.after = {static_cast<int>(s) - 1};
            }
        }
        return spec;
    }

    void submit()
    {
        const jobs::JobKey key{++m_lastKey};
        const auto spec = drawSpec();
        m_jobs[key].isLasting = spec.isLasting();
        m_cluster.model.specs[key] = spec;
        trySubmit(key);
        constexpr double cancelRate = 0.04;
        if (spec.isLasting() || m_random.chance(cancelRate)) {
            const auto delay = spec.isLasting() ? m_random.duration(1s, 15s) : m_random.duration(50ms, 3s);
            m_cluster.clock.runAfter(delay, [this, key] {
                if (m_jobs[key].isAccepted) {
                    cancel(key);
                }
            });
        }
    }

    // Calls a random host. After no answer or an unknown outcome the client calls again.
    void trySubmit(jobs::JobKey key)
    {
        auto &job = m_jobs[key];
        if (job.isAccepted || job.tries++ >= MaxTries) {
            return;
        }
        const auto number = job.tries;
        m_cluster.clock.runAfter(Patience + 100ms, [this, key, number] { retry(key, number); });
        if (!m_cluster.isAnyHostUp()) {
            return;
        }
        AcceptedJob accepted;
        accepted.key = key;
        accepted.policy.queue = "plans";
        accepted.policy.service = Service;
        accepted.policy.maxAttempts = MaxAttempts;
        accepted.spec = m_cluster.model.specs.at(key);
        accepted.acceptedAt = m_cluster.wallNow();
        auto &host = *m_cluster.hosts[static_cast<std::size_t>(m_cluster.anyHostUp())];
        call(host, [this, &host, key, number, accepted] {
            host.loop->jobRequestHandler().submit(accepted, m_cluster.clock.now() + Patience,
                                                  [this, key, number](SubmitResult answer) {
                                                      if (answer == SubmitResult::Accepted) {
                                                          m_jobs[key].isAccepted = true;
                                                      } else {
                                                          retry(key, number);
                                                      }
                                                  });
        });
    }
    void retry(jobs::JobKey key, int number)
    {
        if (!m_jobs[key].isAccepted && m_jobs[key].tries == number) {
            trySubmit(key);
        }
    }

    void cancel(jobs::JobKey key)
    {
        auto &job = m_jobs[key];
        if (job.isCancelled) {
            return;
        }
        job.isCancelRequested = true;
        m_cluster.clock.runAfter(Patience + 100ms, [this, key] { cancel(key); });
        if (!m_cluster.isAnyHostUp()) {
            return;
        }
        auto &host = *m_cluster.hosts[static_cast<std::size_t>(m_cluster.anyHostUp())];
        call(host, [this, &host, key] {
            host.loop->jobRequestHandler().cancel(key, m_cluster.clock.now() + Patience,
                                                  [this, key](const auto &result) {
                                                      if (result.isOk()) {
                                                          m_jobs[key].isCancelled = true;
                                                          noteCancelled(key);
                                                      }
                                                  });
        });
    }

    void noteCancelled(jobs::JobKey key)
    {
        m_cluster.workers.checker().noteCancelled(key, std::max(m_cluster.clock.now(), m_calmAt) + CancelTime);
    }

    // Lets the host process a request when its thread gets to it.
    void call(Host &host, std::function<void()> f)
    {
        m_cluster.clock.runAfter(1ms, host.thread.guarded([&host, f = std::move(f)] {
            if (host.loop) {
                f();
            }
        }));
    }

    Cluster &m_cluster;
    Random m_random;
    TimePoint m_calmAt;
    std::uint64_t m_lastKey = 0;
    std::map<jobs::JobKey, ClientJob> m_jobs;
};

} // namespace monsoonspool::execution::takeover
