#include "placement/partition.h"

#include "ports/memory/memoryworkers.h"
#include "ports/virtualscheduler.h"

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>

namespace monsoonspool::placement {

namespace {

using ports::memory::WorkerEvent;

// Commands that start with "bad" fail on every worker, and every command fails on the
// bad workers. The partition does not know which are bad.
class FaultyCommands : public ports::memory::CommandModel
{
public:
    std::set<WorkerId> badWorkers;

    Run plan(const WorkerId &worker, const ports::StartOrder &order) override
    {
        const bool isBad = badWorkers.contains(worker) || order.command.starts_with("bad");
        const Duration length = order.command.starts_with("long") ? 600s : 3s;
        return {isBad ? Duration(200ms) : length, !isBad, isBad ? "it broke" : "done", order.resources, 0};
    }
};

class WorkerFaults : public ports::FaultPlan
{
public:
    explicit WorkerFaults(std::uint64_t seed) : m_generator(seed)
    {
    }
    int refusedPercent = 0;
    int lostPercent = 0;

    ports::Fault next(std::string_view, std::uint64_t, TimePoint) override
    {
        return {Duration(draw(20'000) + 200), draw(100) < refusedPercent, draw(100) < lostPercent};
    }

private:
    int draw(int n)
    {
        return boost::random::uniform_int_distribution<int>(0, n - 1)(m_generator);
    }
    boost::random::mt19937_64 m_generator;
};

constexpr Resources Capacity{4000, 4096, 0};

// The workers of one failure domain and the owner of its partition. After
// replaceOwner() the former owner keeps sending orders, as a process does that was
// paused and resumes without knowing that it was replaced.
class TestDomain
{
public:
    explicit TestDomain(int workerCount, std::uint64_t seed = 1) : faults(seed), workers(scheduler, faults, commands)
    {
        for (int n = 0; n < workerCount; ++n) {
            const WorkerId id("worker-" + std::to_string(n));
            workers.add(id, Capacity);
            listed.push_back({id,
                              FailureDomain("d"),
                              "rack-" + std::to_string(n / 2),
                              Capacity,
                              {"127.0.0.1", 1},
                              ports::HostState::Live});
        }
        replaceOwner();
        run(1s);
    }

    void replaceOwner()
    {
        former = std::move(owner);
        owner = std::make_shared<Partition>(PartitionOptions{PartitionName("d"), Epoch{++epoch}}, scheduler.now());
        owner->restore({}, log, scheduler.now());
        owner->setWorkers(listed);
        owner->setQuotas(quotas);
    }

    void run(Duration length)
    {
        const TimePoint end = scheduler.now() + length;
        while (scheduler.now() < end) {
            step(owner, Epoch{epoch}, true);
            if (former) {
                step(former, Epoch{epoch - 1}, false);
            }
            scheduler.runFor(50ms);
        }
    }

    // Runs one cycle of an owner. Only the current owner's entries are committed.
    void step(const std::shared_ptr<Partition> &it, Epoch itsEpoch, bool isCurrent)
    {
        const TimePoint now = scheduler.now();
        it->plan(now);
        const auto entries = it->takeEntries();
        if (isCurrent && !isStoreDown) {
            uncommitted.insert(uncommitted.end(), entries.begin(), entries.end());
            log.insert(log.end(), uncommitted.begin(), uncommitted.end());
            it->noteCommitted(std::exchange(uncommitted, {}), now);
        } else if (isCurrent) {
            uncommitted.insert(uncommitted.end(), entries.begin(), entries.end());
        }
        for (const auto &order : it->dueOrders(now)) {
            send(it, order, itsEpoch);
        }
    }

    void send(const std::shared_ptr<Partition> &it, const WorkerOrder &order, Epoch itsEpoch)
    {
        const auto ignore = [](const ports::AsyncResult<ports::Done> &) {};
        if (const auto *start = std::get_if<StartAttempt>(&order)) {
            workers.start(start->worker, start->order, [this, it, sent = *start](const auto &result) {
                it->noteStartReply(sent, result, scheduler.now());
            });
        } else if (const auto *stop = std::get_if<StopAttempt>(&order)) {
            workers.stop(stop->worker, itsEpoch, stop->attempt, ignore);
        } else if (const auto *checkpoint = std::get_if<CheckpointAttempt>(&order)) {
            workers.checkpoint(checkpoint->worker, itsEpoch, checkpoint->attempt, ignore);
        } else if (const auto *renew = std::get_if<RenewWorker>(&order)) {
            workers.renew(renew->worker, itsEpoch, renew->lease, renew->acknowledged,
                          [this, it, id = renew->worker, sentAt = scheduler.now()](const auto &result) {
                              it->noteReport(id, result, sentAt, scheduler.now());
                          });
        }
    }

    JobId submit(const std::string &command, Urgency urgency = Urgency::Batch, Resources resources = {1000, 512, 0},
                 const std::string &team = "team")
    {
        const JobSpec spec{TeamName(team), "key-" + std::to_string(++nextKey), command, resources, urgency};
        return handleFailure([&] { return owner->submit(spec, scheduler.now()); },
                             [](const Failure &failure) {
                                 ADD_FAILURE() << failure.detail;
                                 return JobId();
                             });
    }

    JobView view(const JobId &id) const
    {
        return handleFailure([&] { return owner->view(id); }, [](const Failure &) { return JobView(); });
    }

    // Runs until `id` is in a final state or `limit` has passed.
    JobView await(const JobId &id, Duration limit)
    {
        const TimePoint end = scheduler.now() + limit;
        while (!isFinal(view(id).state) && scheduler.now() < end) {
            run(100ms);
        }
        return view(id);
    }

    ports::VirtualScheduler scheduler;
    WorkerFaults faults;
    FaultyCommands commands;
    ports::memory::MemoryWorkers workers;
    std::vector<ports::ListedWorker> listed;
    std::vector<LogEntry> log; // committed
    std::vector<LogEntry> uncommitted;
    std::unordered_map<TeamName, std::int64_t> quotas;
    std::shared_ptr<Partition> owner;
    std::shared_ptr<Partition> former;
    bool isStoreDown = false;
    std::uint64_t epoch = 0;
    int nextKey = 0;
};

// Checks the events of all workers: no worker was overcommitted, no job had two
// attempts running at once, no attempt ran twice, and no checkpoint was resumed by
// another job. Returns the violations.
std::vector<std::string> checkWorkers(const std::vector<WorkerEvent> &history)
{
    std::vector<std::string> violations;
    std::map<JobId, ports::AttemptId> running;
    std::set<ports::AttemptId> started;
    std::map<std::string, JobId> resumed;
    for (const auto &it : history) {
        switch (it.kind) {
        case WorkerEvent::Kind::Started:
            if (!running.try_emplace(it.attempt.job, it.attempt).second) {
                violations.push_back(it.attempt.job.text() + " has two attempts running at once");
            }
            if (!started.insert(it.attempt).second) {
                violations.push_back(it.attempt.job.text() + " ran an attempt twice");
            }
            if (!it.checkpoint.empty()
                && resumed.try_emplace(it.checkpoint, it.attempt.job).first->second != it.attempt.job) {
                violations.push_back(it.checkpoint + " was resumed by another job");
            }
            break;
        case WorkerEvent::Kind::Ended:
            running.erase(it.attempt.job);
            break;
        case WorkerEvent::Kind::Overcommitted:
            violations.push_back(it.worker.text() + " was overcommitted");
            break;
        case WorkerEvent::Kind::RefusedStale:
            break;
        }
    }
    return violations;
}

WorkerEvent workerEvent(WorkerEvent::Kind kind, std::uint32_t attempt, const char *worker, const char *checkpoint = "")
{
    return {kind, TimePoint{}, WorkerId(worker), {JobId("job"), attempt}, checkpoint};
}

int startsOf(const TestDomain &domain, const JobId &job)
{
    return static_cast<int>(std::ranges::count_if(domain.workers.history(), [&](const WorkerEvent &it) {
        return it.kind == WorkerEvent::Kind::Started && it.attempt.job == job;
    }));
}

} // namespace

TEST(WorkerChecks, RejectBadHistories)
{
    using Kind = WorkerEvent::Kind;
    EXPECT_TRUE(checkWorkers({workerEvent(Kind::Started, 1, "a"), workerEvent(Kind::Ended, 1, "a"),
                              workerEvent(Kind::Started, 2, "b")})
                    .empty());
    EXPECT_FALSE(checkWorkers({workerEvent(Kind::Started, 1, "a"), workerEvent(Kind::Started, 2, "b")}).empty());
    EXPECT_FALSE(checkWorkers({workerEvent(Kind::Started, 1, "a"), workerEvent(Kind::Ended, 1, "a"),
                               workerEvent(Kind::Started, 1, "a")})
                     .empty());
    EXPECT_FALSE(checkWorkers({workerEvent(Kind::Overcommitted, 1, "a")}).empty());
}

TEST(Partition, RunsAJobOnceAndReturnsItsResult)
{
    TestDomain domain(2);
    const auto id = domain.submit("work");
    const auto view = domain.await(id, 30s);
    EXPECT_EQ(view.state, JobState::Succeeded);
    EXPECT_EQ(view.result, "done");
    EXPECT_EQ(startsOf(domain, id), 1);
}

TEST(Partition, ReturnsTheSameJobForTheSameKey)
{
    TestDomain domain(1);
    const JobSpec spec{TeamName("t"), "k", "work", {100, 100, 0}, Urgency::Batch};
    const auto submit = [&](const JobSpec &it) {
        return handleFailure([&] { return domain.owner->submit(it, domain.scheduler.now()); },
                             [](const Failure &) { return JobId(); });
    };
    EXPECT_EQ(submit(spec), submit(spec));
    auto other = spec;
    other.command = "another";
    EXPECT_TRUE(submit(other).isEmpty()) << "the key belongs to another job";
    auto large = spec;
    large.key = "large";
    large.resources.milliCores = 99'000;
    EXPECT_TRUE(submit(large).isEmpty()) << "no worker is large enough";
}

TEST(Partition, StartsNothingBeforeItsRecordIsCommitted)
{
    TestDomain domain(1);
    domain.isStoreDown = true;
    const auto id = domain.submit("work");
    domain.run(20s);
    EXPECT_EQ(startsOf(domain, id), 0);
    domain.isStoreDown = false;
    EXPECT_EQ(domain.await(id, 20s).state, JobState::Succeeded);
}

TEST(Partition, KeepsRunningWorkThroughAStoreOutage)
{
    TestDomain domain(1);
    const auto id = domain.submit("long work");
    domain.run(5s);
    domain.isStoreDown = true;
    domain.run(120s);
    EXPECT_EQ(domain.view(id).state, JobState::Running);
    EXPECT_EQ(startsOf(domain, id), 1);
}

TEST(Partition, CancelsManyJobs)
{
    TestDomain domain(4);
    std::vector<JobId> ids;
    for (int n = 0; n < 300; ++n) {
        ids.push_back(domain.submit("long work"));
    }
    domain.run(5s);
    for (const auto &id : ids) {
        handleFailure([&] { return domain.owner->cancel(id); },
                      [](const Failure &failure) { ADD_FAILURE() << failure.detail; });
    }
    domain.run(15s);
    for (const auto &id : ids) {
        EXPECT_EQ(domain.view(id).state, JobState::Cancelled);
    }
    EXPECT_EQ(domain.owner->workers().totalCommitted(), Resources());
}

TEST(Partition, EvictsBatchForUrgentWorkAndResumesItFromItsCheckpoint)
{
    TestDomain domain(1);
    std::vector<JobId> batch;
    for (int n = 0; n < 4; ++n) {
        batch.push_back(domain.submit("long work"));
    }
    domain.run(5s);
    const auto urgent = domain.submit("work", Urgency::Urgent);
    EXPECT_EQ(domain.await(urgent, 20s).state, JobState::Succeeded);
    domain.run(10s);
    int evictions = 0;
    for (const auto &id : batch) {
        evictions += domain.view(id).evictions;
        EXPECT_EQ(domain.view(id).state, JobState::Running);
    }
    EXPECT_EQ(evictions, 1);
    const auto resumed = std::ranges::count_if(domain.workers.history(), [](const WorkerEvent &it) {
        return it.kind == WorkerEvent::Kind::Started && !it.checkpoint.empty();
    });
    EXPECT_EQ(resumed, 1);
}

TEST(Partition, EnforcesTheQuotaOfATeam)
{
    TestDomain domain(4);
    domain.quotas[TeamName("team")] = 2000;
    domain.owner->setQuotas(domain.quotas);
    for (int n = 0; n < 6; ++n) {
        domain.submit("long work");
    }
    domain.submit("long work", Urgency::Batch, {1000, 512, 0}, "another");
    domain.run(5s);
    EXPECT_EQ(domain.owner->summary(domain.scheduler.now()).running, 3);
}

TEST(Partition, DoesNotStarveBatchWorkUnderUrgentLoad)
{
    TestDomain domain(1);
    const auto batch = domain.submit("work");
    for (int n = 0; n < 200; ++n) {
        domain.submit("work", Urgency::Urgent);
    }
    EXPECT_EQ(domain.await(batch, 30s).state, JobState::Succeeded);
}

TEST(Partition, WaitsForTheLeaseOfALostWorkerBeforeItStartsElsewhere)
{
    TestDomain domain(2);
    const auto id = domain.submit("long work");
    domain.run(3s);
    const auto first = domain.view(id).worker;
    domain.workers.setReachable(first, false);
    const TimePoint disconnectedAt = domain.scheduler.now();
    while (domain.view(id).attempts == 1 && domain.scheduler.now() < disconnectedAt + 120s) {
        domain.run(100ms);
    }
    EXPECT_EQ(domain.view(id).attempts, 2U);
    EXPECT_GE(domain.scheduler.now() - disconnectedAt, LeaseTimes().lease);
    EXPECT_LE(domain.scheduler.now() - disconnectedAt, 60s);
    EXPECT_TRUE(checkWorkers(domain.workers.history()).empty());
}

TEST(Partition, StartsAgainAtOnceWhenAWorkerRestarts)
{
    TestDomain domain(1);
    const auto id = domain.submit("long work");
    domain.run(3s);
    domain.workers.restart(WorkerId("worker-0"));
    domain.run(8s);
    EXPECT_EQ(startsOf(domain, id), 2);
}

struct FaultCase
{
    const char *name;
    bool hasBadWorker;
    bool hasBadJobs;
};

class FailureAttributionTest : public testing::TestWithParam<FaultCase>
{
};

// Failures on a bad worker must not make good jobs fail, and failures of bad jobs must
// not quarantine good workers.
TEST_P(FailureAttributionTest, TellsBadWorkersFromBadJobs)
{
    TestDomain domain(6);
    const WorkerId badWorker("worker-0");
    if (GetParam().hasBadWorker) {
        domain.commands.badWorkers.insert(badWorker);
    }
    std::vector<JobId> good;
    std::vector<JobId> bad;
    for (int n = 0; n < 40; ++n) {
        good.push_back(domain.submit("work"));
        if (GetParam().hasBadJobs && n % 8 == 0) {
            bad.push_back(domain.submit("bad work"));
        }
    }
    domain.run(120s);
    for (const auto &id : good) {
        EXPECT_EQ(domain.view(id).state, JobState::Succeeded) << domain.view(id).result;
    }
    for (const auto &id : bad) {
        EXPECT_EQ(domain.view(id).state, JobState::Failed);
        EXPECT_NE(domain.view(id).result.find("it broke"), std::string::npos)
            << "the failure reason of the command is missing";
        EXPECT_LE(domain.view(id).attempts, 12U);
    }
    for (const auto &it : domain.owner->failureAttribution().quarantinedWorkers()) {
        EXPECT_EQ(it, badWorker) << "a good worker is quarantined";
    }
}

INSTANTIATE_TEST_SUITE_P(Cases, FailureAttributionTest,
                         testing::Values(FaultCase{"Neither", false, false}, FaultCase{"BadWorker", true, false},
                                         FaultCase{"BadJobs", false, true}, FaultCase{"Both", true, true}),
                         [](const auto &info) { return info.param.name; });

class PartitionHistory : public testing::TestWithParam<std::uint64_t>
{
};

// Random submissions and cancellations, lost replies, unreachable and restarted
// workers, store outages, and replaced owners whose predecessor keeps sending orders.
// No job may have two attempts running at once, and every job must finish.
TEST_P(PartitionHistory, RunsOneAttemptAtATimeAndFinishesEveryJob)
{
    TestDomain domain(5, GetParam());
    domain.faults.lostPercent = 15;
    domain.faults.refusedPercent = 10;
    boost::random::mt19937_64 generator(GetParam());
    const auto draw = [&](int n) { return boost::random::uniform_int_distribution<int>(0, n - 1)(generator); };
    std::vector<JobId> jobs;
    for (int n = 0; n < 150; ++n) {
        const WorkerId worker("worker-" + std::to_string(draw(5)));
        switch (draw(12)) {
        case 0:
        case 1:
        case 2:
        case 3:
        case 4:
            jobs.push_back(domain.submit(draw(4) == 0 ? "long work" : "work",
                                         draw(3) == 0 ? Urgency::Urgent : Urgency::Batch,
                                         {draw(3) * 900 + 500, 256, 0}));
            break;
        case 5:
            if (!jobs.empty()) {
                handleFailure(
                    [&] {
                        return domain.owner->cancel(
                            jobs[static_cast<std::size_t>(draw(static_cast<int>(jobs.size())))]);
                    },
                    [](const Failure &) {});
            }
            break;
        case 6:
            domain.workers.setReachable(worker, false);
            break;
        case 7:
            domain.workers.setReachable(worker, true);
            break;
        case 8:
            domain.workers.restart(worker);
            break;
        case 9:
            domain.isStoreDown = !domain.isStoreDown;
            break;
        case 10:
            if (domain.uncommitted.empty() && !domain.isStoreDown) {
                domain.replaceOwner();
            }
            break;
        default:
            break;
        }
        domain.run(Duration(draw(2'000'000)));
    }
    domain.isStoreDown = false;
    domain.former.reset();
    domain.faults.lostPercent = 0;
    domain.faults.refusedPercent = 0;
    for (int n = 0; n < 5; ++n) {
        domain.workers.setReachable(WorkerId("worker-" + std::to_string(n)), true);
    }
    domain.run(4000s); // enough for all long jobs to run one after another
    const auto violations = checkWorkers(domain.workers.history());
    EXPECT_TRUE(violations.empty()) << "seed " << GetParam() << ": " << violations.size()
                                    << ", the first: " << violations.front();
    for (const auto &id : jobs) {
        const auto view = domain.view(id);
        EXPECT_TRUE(isFinal(view.state)) << id.text() << " is " << jobStateName(view.state) << " after "
                                         << view.attempts << " attempts";
    }
}

INSTANTIATE_TEST_SUITE_P(Seeds, PartitionHistory, testing::Values(1U, 2U, 3U, 4U, 5U, 6U, 7U, 8U));

} // namespace monsoonspool::placement
