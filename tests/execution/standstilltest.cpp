// Reports on jobs that have nothing at work although a task's turn has come.
#include "execution/fleet.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace monsoonspool::execution {

namespace {

constexpr TimePoint Start{1h};
constexpr Duration Step = 100ms;
constexpr Resources TaskSize{1000, 512, 0};
const ServiceName Service("desk");

class RecordingLog : public DecisionLog
{
public:
    void record(std::string_view event, std::initializer_list<DecisionField> fields) override
    {
        if (event != "job-stands-still") {
            return;
        }
        auto &line = lines.emplace_back();
        for (const auto &it : fields) {
            line[std::string(it.key())] = it.text();
        }
    }

    std::vector<std::map<std::string, std::string>> lines;
};

// A leader, one worker and jobs of one task each.
class StandingFleet
{
public:
    StandingFleet()
    {
        fleet.beginTerm({1}, 0, {}, Start, Start);
        worker.id = WorkerId("w0");
        worker.service = Service;
        worker.capacity = {16000, 32000, 0};
        worker.startTimeMs = 1;
        fleet.updateWorker(worker, now);
        list({});
        fleet.markRosterStored(fleet.takeRoster());
    }
    void addJob(std::uint64_t key, const Resources &needs = TaskSize)
    {
        AcceptedJob job;
        job.key = {key};
        job.policy.service = Service;
        job.policy.maxAttempts = 3;
        job.spec.steps.resize(1);
        job.spec.steps.front().needs = needs;
        fleet.addJob(std::move(job), now, {});
    }
    void list(std::vector<ports::ListedRun> running)
    {
        fleet.applyListing(worker.id, {toMilliseconds(now - Start) + 1000, 1, std::move(running), {}}, now - 1ms, now);
    }
    void planFor(Duration length)
    {
        for (const auto until = now + length; now < until; now += Step) {
            const auto orders = fleet.plan(now, {});
            starts.insert(starts.end(), orders.starts.begin(), orders.starts.end());
        }
    }
    std::size_t standing(StandstillCause cause) const
    {
        return fleet.counts().standingJobs.byCause[static_cast<std::size_t>(cause)];
    }

    TimePoint now = Start;
    RecordingLog log;
    Fleet fleet{log};
    ports::WorkerEntry worker;
    std::vector<StartTask> starts;
};

} // namespace

// A task that waited for an order without an answer could not be told from one without a worker.
TEST(Standstill, TheCauseIsReported)
{
    struct Case
    {
        std::string name;
        StandstillCause cause;
        std::function<void(StandingFleet &)> arrange;
    };
    const std::vector<Case> cases = {
        {"no answer yet", StandstillCause::OrderUnanswered,
         [](StandingFleet &f) {
             f.addJob(1);
             f.planFor(Step);
         }},
        {"order failed", StandstillCause::OrderInDoubt,
         [](StandingFleet &f) {
             f.addJob(1);
             f.planFor(Step);
             f.fleet.applyStartFailure(f.starts.at(0), true, f.now);
         }},
        {"worker silent", StandstillCause::NoWorker,
         [](StandingFleet &f) {
             f.fleet.markSilent(f.worker.id, f.now);
             f.addJob(1);
         }},
        {"too large", StandstillCause::NoRoom,
         [](StandingFleet &f) {
             f.addJob(1, {100000, 512, 0});
         }},
    };
    for (const auto &it : cases) {
        SCOPED_TRACE(it.name);
        StandingFleet f;
        it.arrange(f);
        f.planFor(2500ms);
        EXPECT_EQ(f.standing(it.cause), 1U);
        ASSERT_FALSE(f.log.lines.empty());
        EXPECT_EQ(f.log.lines.back().at("cause"), standstillCauseName(it.cause));
        EXPECT_GE(std::stoi(f.log.lines.back().at("standsMs")), 1000);
        EXPECT_GE(f.fleet.counts().standingJobs.longest, MinReportedStandstill);
    }
}

// Guards against alarms about jobs that are at work.
TEST(Standstill, AJobAtWorkIsNotReported)
{
    StandingFleet f;
    f.addJob(1);
    f.planFor(Step);
    f.fleet.applyStartReply(f.starts.at(0), ports::StartResult::Accepted, f.now);
    f.planFor(4s);
    EXPECT_TRUE(f.log.lines.empty());
    EXPECT_EQ(f.fleet.counts().standingJobs.longest, Duration(0));
}

// Guards against a log that grows with the number of jobs that wait.
TEST(Standstill, TheVolumeIsBounded)
{
    StandingFleet f;
    f.fleet.markSilent(f.worker.id, f.now);
    constexpr std::size_t jobs = 200;
    for (std::uint64_t key = 1; key <= jobs; ++key) {
        f.addJob(key);
    }
    constexpr auto length = 5s;
    constexpr std::size_t maxLines = 4 * 5;
    f.planFor(length);
    EXPECT_LE(f.log.lines.size(), maxLines);
    EXPECT_EQ(f.standing(StandstillCause::NoWorker), jobs);
}

} // namespace monsoonspool::execution
