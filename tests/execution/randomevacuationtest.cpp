#include "execution/testcluster.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <sstream>
#include <string>
#include <string_view>

namespace monsoonspool::execution {

using namespace testcluster;

namespace {

constexpr std::array<std::string_view, 3> Domains = {"z0", "z1", "z2"};
constexpr Duration Bound = membership::DefaultEvacuationBound;
constexpr Duration Step = 250ms;
constexpr int Steps = 240; // of one minute

// Evacuates and withdraws at random, beside faults of single hosts: a host that does not read the
// operators' table, late starts, ends of hosts, restarts of workers and losses of history. The store
// answers all other calls, so that the bound holds without exception.
class RandomEvacuation
{
public:
    explicit RandomEvacuation(std::uint32_t seed) : m_random(seed), m_cluster(seed)
    {
        m_cluster.workers.setObserver([this](std::string_view event, const WorkerId &worker, const jobs::TaskId &,
                                             jobs::RunNumber, std::string_view) {
            if (event == "started") {
                checkStart(m_cluster.workers.entry(worker).domain.text());
            }
        });
        for (int n = 0; n < HostCount; ++n) {
            m_cluster.host(n).storeFaults.rule = [this, n](std::string_view call, TimePoint now) {
                const bool isOperatorTable = call == "changes configuration" || call == "scan configuration";
                return isOperatorTable && now < m_unreadUntil[static_cast<std::size_t>(n)]
                    ? std::optional(Fault{2ms, true, false})
                    : std::nullopt;
            };
            m_cluster.host(n).workerFaults.rule = [this](std::string_view call, TimePoint) {
                return call.starts_with("start ") && chance(0.3)
                    ? std::optional(Fault{m_random() % 2400 * 1ms, false, chance(0.3)})
                    : std::nullopt;
            };
        }
    }

    void run()
    {
        m_cluster.scheduler.runFor(2s);
        for (int n = 0; n < Steps; ++n) {
            changeEvacuations();
            addFaults();
            for (int host = 0; host < HostCount; ++host) {
                if (m_cluster.host(host).loop) {
                    m_cluster.submit(host, ++m_lastJob);
                    break;
                }
            }
            m_cluster.scheduler.runFor(Step);
        }
        for (const auto it : Domains) {
            m_cluster.rows.apply({{}, {}, {rowOf(it)}});
        }
        m_evacuatedAt.clear();
        for (int n = 0; n < HostCount; ++n) {
            m_cluster.host(n).workerFaults.rule = {};
            if (!m_cluster.host(n).loop) {
                m_cluster.startHost(n);
            }
        }
        m_cluster.scheduler.runFor(90s);
    }

    // Returns the starts that came too late.
    std::string lateStarts() const
    {
        return m_lateStarts.str();
    }
    // Returns how many starts were ordered before an evacuation was read and carried out after it.
    int startsWithinBound() const
    {
        return m_startsWithinBound;
    }
    // Returns the accepted jobs that have not completed.
    int unfinishedJobs() const
    {
        return static_cast<int>(std::ranges::count_if(m_cluster.answers, [&](const auto &it) {
            return it.second == SubmitResult::Accepted && m_cluster.workers.doneCount({it.first}) != TasksPerJob;
        }));
    }
    std::string violations() const
    {
        return violationsOf(m_cluster);
    }

private:
    bool chance(double p)
    {
        return boost::random::uniform_01<>()(m_random) < p;
    }
    RowName rowOf(std::string_view domain) const
    {
        auto name = m_cluster.registry.configurationRow();
        name.key = std::string(EvacuationPrefix) + std::string(domain);
        return name;
    }
    void changeEvacuations()
    {
        for (const auto it : Domains) {
            const auto domain = std::string(it);
            if (!m_evacuatedAt.contains(domain) && chance(0.03)) {
                m_cluster.put(rowOf(domain), "{}");
                m_evacuatedAt[domain] = m_cluster.scheduler.now();
            } else if (m_evacuatedAt.contains(domain) && chance(0.02)) {
                m_cluster.rows.apply({{}, {}, {rowOf(domain)}});
                m_evacuatedAt.erase(domain);
            }
        }
    }
    void addFaults()
    {
        for (auto &it : m_unreadUntil) {
            if (chance(0.02)) {
                it = m_cluster.scheduler.now() + m_random() % 9000 * 1ms;
            }
        }
        if (chance(0.01)) {
            m_cluster.rows.dropHistory();
        }
        if (chance(0.01) && m_cluster.leader() >= 0) {
            m_cluster.killHost(m_cluster.leader());
        }
        for (int n = 0; n < HostCount; ++n) {
            if (!m_cluster.host(n).loop && chance(0.05)) {
                m_cluster.startHost(n);
            }
        }
        if (chance(0.01)) {
            const auto number = m_random() % WorkerCount;
            m_cluster.workers.restart(WorkerId("w" + std::to_string(number)), ++m_lastStartTime);
        }
    }
    void checkStart(const std::string &domain)
    {
        const auto evacuated = m_evacuatedAt.find(domain);
        if (evacuated == m_evacuatedAt.end()) {
            return;
        }
        const Duration since = m_cluster.scheduler.now() - evacuated->second;
        ++m_startsWithinBound;
        if (since > Bound) {
            m_lateStarts << domain << " after " << toMilliseconds(since) << " ms\n";
        }
    }

    boost::random::mt19937 m_random;
    Cluster m_cluster;
    std::map<std::string, TimePoint> m_evacuatedAt;
    std::array<TimePoint, HostCount> m_unreadUntil{};
    std::uint64_t m_lastJob = 0;
    std::int64_t m_lastStartTime = 1;
    std::ostringstream m_lateStarts;
    int m_startsWithinBound = 0;
};

} // namespace

// Guards against a start in an evacuated domain after the bound by any sequence of faults, and against
// accepted work that is lost or never started after an evacuation.
TEST(RandomEvacuation, NoTaskStartsAfterTheBoundAndNoWorkIsLost)
{
    int startsWithinBound = 0;
    for (std::uint32_t seed = 1; seed <= 30; ++seed) {
        SCOPED_TRACE(seed);
        RandomEvacuation trial(seed);
        trial.run();
        EXPECT_EQ(trial.lateStarts(), "");
        EXPECT_EQ(trial.unfinishedJobs(), 0);
        EXPECT_EQ(trial.violations(), "");
        startsWithinBound += trial.startsWithinBound();
    }
    EXPECT_GT(startsWithinBound, 100) << "the trials must come near the bound";
}

} // namespace monsoonspool::execution
