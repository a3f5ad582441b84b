// Workers whose answers arrive late, although they work and receive all orders.
#include "execution/testcluster.h"

#include <gtest/gtest.h>

#include <set>

namespace monsoonspool::execution::testcluster {

// Guards against starting tasks again that a worker has ended and listed as done: an answer that is only
// late is not a worker that is lost.
TEST(LateAnswers, DoneTasksOfALateWorkerAreNotStartedAgain)
{
    Cluster cluster;
    std::set<std::string> late;
    cluster.workers.setObserver(
        [&](std::string_view event, const WorkerId &worker, const jobs::TaskId &, jobs::RunNumber, std::string_view) {
            if (event == "started") {
                late.insert(worker.text());
            }
        });
    cluster.taskModel.overrides[{1}] = TaskProfile{2500ms, false, TaskSize};
    cluster.scheduler.runFor(5s);
    ASSERT_GE(cluster.leader(), 0);
    cluster.submit(0, 1);
    cluster.scheduler.runFor(1s);
    ASSERT_EQ(cluster.workers.startCount(), TasksPerJob / 2);
    // Of the workers that run the first step.
    const auto lateWorkers = late;
    for (auto &host : cluster.hosts) {
        host->workerFaults.rule = [&](std::string_view call, TimePoint) -> std::optional<Fault> {
            constexpr std::string_view renew = "renew ";
            if (!call.starts_with(renew) || !lateWorkers.contains(std::string(call.substr(renew.size())))) {
                return std::nullopt;
            }
            Fault fault{2ms, false, false};
            fault.replyDelay = 1200ms;
            return fault;
        };
    }
    cluster.scheduler.runFor(25s);
    EXPECT_EQ(cluster.workers.startCount(), TasksPerJob);
    EXPECT_EQ(violationsOf(cluster), "");
    const auto status = cluster.status(0, 1);
    ASSERT_TRUE(status);
    EXPECT_EQ(status->state, jobs::JobState::Completed);
}

} // namespace monsoonspool::execution::testcluster
