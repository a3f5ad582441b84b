// Tasks that fail while their progress cannot be stored.
#include "testcluster.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace monsoonspool::execution {

namespace {

using namespace testcluster;

constexpr int JobCount = 20;
constexpr Duration OutageLength = 8s;
// A retry waits for nothing that the product asks for.
constexpr Duration MaxStandstill = 1s;

// Commits of progress get the faults of another plan.
class ProgressFaultStore : public MemoryChangeStore
{
public:
    ProgressFaultStore(Cluster &cluster, FaultPlan &faults, FaultPlan &progressFaults)
        : MemoryChangeStore(cluster.rows, cluster.scheduler, faults),
          m_progress(cluster.rows, cluster.scheduler, progressFaults)
    {
    }
    void commit(Commit commit, Handler<CommitResult> handler) override
    {
        const bool isProgress = std::ranges::any_of(
            commit.conditions, [](const ExpectedVersion &it) { return it.name.key == ProgressOwnerKey; });
        if (isProgress) {
            ++progressCommits;
            m_progress.commit(std::move(commit), std::move(handler));
        } else {
            MemoryChangeStore::commit(std::move(commit), std::move(handler));
        }
    }

    int progressCommits = 0;

private:
    MemoryChangeStore m_progress;
};

} // namespace

// Guards against a next attempt that waits until the failure of the one before is stored.
TEST(ProgressOutage, FailedTasksAreRetriedAtOnce)
{
    struct Case
    {
        std::string name;
        Fault fault;
    };
    const std::vector<Case> cases = {{"answers are lost", {2ms, false, true}},
                                     {"commits are refused", {2ms, true, false}},
                                     {"commits take 2 s", {2s, false, false}}};
    for (const auto &it : cases) {
        SCOPED_TRACE(it.name);
        Cluster cluster;
        HostFaults faults(1);
        HostFaults progressFaults(1);
        ProgressFaultStore store(cluster, faults, progressFaults);
        for (int n = 0; n < HostCount; ++n) {
            cluster.killHost(n);
        }
        cluster.host(0).loop = std::make_unique<ExecutionLoop>(
            ExecutionPorts{store, cluster.host(0).link, cluster.scheduler, cluster.registry, cluster.codec, cluster.log,
                           [&] { return cluster.wallNow(); }},
            ExecutionOptions{cluster.host(0).name, 100, 1.0, {}, membership::DefaultEvacuationBound, {}},
            [](const ExecutionLoop::ConfigurationPointer &) {});
        cluster.host(0).loop->start();
        // The tasks of the first step fail twice.
        std::map<jobs::TaskId, int> starts;
        std::map<jobs::JobKey, TimePoint> idleSince;
        cluster.workers.setObserver(
            [&](std::string_view event, const WorkerId &, const jobs::TaskId &task, jobs::RunNumber, std::string_view) {
                if (event == "started") {
                    cluster.taskModel.taskOverrides[task].alwaysFails = ++starts[task] < 2;
                }
            });
        cluster.scheduler.runFor(10s);
        ASSERT_EQ(cluster.leader(), 0);
        progressFaults.rule = [&](std::string_view, TimePoint) { return std::optional(it.fault); };
        const auto begin = cluster.scheduler.now();
        const int commitsBefore = store.progressCommits;
        Duration longest{0};
        for (std::uint64_t key = 0; cluster.scheduler.now() < begin + OutageLength;) {
            if (key < JobCount && cluster.scheduler.now() >= begin + 200ms * static_cast<int>(key)) {
                ++key;
                for (int n = 0; n < 3; ++n) {
                    cluster.taskModel.taskOverrides[{{key}, 0, 0, n}] = {300ms, true, TaskSize};
                }
                cluster.submit(0, key);
                idleSince[{key}] = cluster.scheduler.now();
            }
            cluster.scheduler.runFor(10ms);
            for (auto &[job, since] : idleSince) {
                const bool isAtWork = cluster.workers.hasRunOf(job) || cluster.workers.doneCount(job) == TasksPerJob;
                since = isAtWork ? cluster.scheduler.now() : since;
                longest = std::max(longest, cluster.scheduler.now() - since);
            }
        }
        EXPECT_LT(toMilliseconds(longest), toMilliseconds(MaxStandstill));
        EXPECT_GT(store.progressCommits, commitsBefore + 3);
        progressFaults.rule = nullptr;
        cluster.scheduler.runFor(20s);
        for (std::uint64_t key = 1; key <= JobCount; ++key) {
            EXPECT_EQ(cluster.workers.doneCount({key}), TasksPerJob) << "job " << key;
        }
        EXPECT_EQ(violationsOf(cluster), "");
    }
}

} // namespace monsoonspool::execution
