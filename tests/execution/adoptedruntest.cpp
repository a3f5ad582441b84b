#include "execution/fleet.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <string>
#include <vector>

// What a new leader knows of the runs that it takes over.
namespace monsoonspool::execution {

namespace {

constexpr TimePoint Start{1h};
const jobs::WallTime Wall{};
const ServiceName Service("desk");
constexpr jobs::JobKey Key{7};
constexpr jobs::TaskId Task{Key, 0, 0, 0};
constexpr jobs::RunNumber FormerRun = 1;

class EventLog : public DecisionLog
{
public:
    void record(std::string_view event, std::initializer_list<DecisionField>) override
    {
        m_events.emplace_back(event);
    }
    std::ptrdiff_t count(std::string_view event) const
    {
        return std::ranges::count(m_events, event);
    }

private:
    std::vector<std::string> m_events;
};

// The first seconds of a term: one worker has a run of a former leader.
class NewTerm
{
public:
    explicit NewTerm(const jobs::StepSpec &step) : m_step(step)
    {
        m_worker.id = WorkerId("w0");
        m_worker.service = Service;
        m_worker.capacity = {32000, 64000, 0};
        m_worker.startTimeMs = 1;
        fleet.beginTerm({2}, 10, std::vector{RosterEntry{m_worker, {}}}, Start + 7s, Start);
        fleet.updateWorker(m_worker, Start);
        fleet.markRosterStored(fleet.takeRoster());
    }

    void readJob(TimePoint now)
    {
        AcceptedJob job;
        job.key = Key;
        job.policy.queue = "plans";
        job.policy.service = Service;
        job.policy.maxAttempts = 3;
        job.spec.steps.push_back(m_step);
        job.version = 7;
        fleet.addJob(std::move(job), now, Wall);
    }

    // Applies a listing of the run, and returns what the next plan orders.
    Orders list(int percent, TimePoint now)
    {
        ports::WorkerListing listing;
        listing.startTimeMs = 1;
        listing.clock = toMilliseconds(now - Start) + 1000;
        listing.running.push_back({Task, FormerRun, {}, percent, 0});
        fleet.applyListing(m_worker.id, listing, now, now);
        return fleet.plan(now, Wall);
    }

    EventLog log;
    Fleet fleet{log};

private:
    jobs::StepSpec m_step;
    ports::WorkerEntry m_worker;
};

jobs::StepSpec leftoverStep()
{
    jobs::StepSpec step;
    step.needs = {2000, 1000, 0};
    step.estimate = 10s;
    step.usesLeftover = true;
    step.hasCheckpoints = true;
    return step;
}

} // namespace

// Guards against stopping runs that a former leader had paused: the new leader took them as running
// at full pace, never ordered a pace, and stopped them as stuck in one burst after the takeover.
TEST(AdoptedRun, GetsAPaceAndIsNotStoppedAsStuck)
{
    NewTerm term(leftoverStep());
    term.readJob(Start);
    const auto orders = term.list(40, Start + 100ms);
    ASSERT_EQ(orders.paces.size(), 1U) << "the run may be paused, and nobody else will resume it";
    EXPECT_EQ(orders.paces.front().task, Task);
    EXPECT_EQ(orders.paces.front().percent, 100);
    // The worker applies the order late, but makes progress within the time for which a run may stand still.
    for (const auto &[percent, now] :
         {std::pair{40, Start + 1100ms}, {40, Start + 2500ms}, {41, Start + 2600ms}, {43, Start + 4100ms}}) {
        EXPECT_TRUE(term.list(percent, now).stops.empty());
    }
    EXPECT_EQ(term.log.count("run-stuck"), 0);
}

// Guards against never stopping a run that stands still at the pace that this leader has ordered.
TEST(AdoptedRun, IsStoppedIfItStandsStillAtTheOrderedPace)
{
    NewTerm term(leftoverStep());
    term.readJob(Start);
    term.list(40, Start + 100ms);
    std::size_t stops = 0;
    for (auto now = Start + 1100ms; now < Start + 6s; now += 1s) {
        stops += term.list(40, now).stops.size();
    }
    EXPECT_GE(stops, 1U);
    EXPECT_EQ(term.log.count("run-stuck"), 1);
}

// Guards against taking a run as stuck because its worker was slow to answer, or this leader was late
// to read the answer: only a later listing shows that the run stands still.
TEST(AdoptedRun, IsNotStuckWhileNoListingShowsIt)
{
    auto step = leftoverStep();
    step.usesLeftover = false;
    NewTerm term(step);
    term.readJob(Start);
    term.list(40, Start + 100ms);
    EXPECT_TRUE(term.fleet.plan(Start + 3s, Wall).stops.empty());
    EXPECT_TRUE(term.list(60, Start + 3100ms).stops.empty());
    EXPECT_EQ(term.log.count("run-stuck"), 0);
}

// Guards against blaming a run for a pace order of this leader that got no answer: the worker may
// carry it out after later ones, and the run then stands still although a full pace was ordered.
TEST(AdoptedRun, GetsItsPaceAgainIfALateOrderMayHaveChangedIt)
{
    NewTerm term(leftoverStep());
    term.readJob(Start);
    const auto first = term.list(40, Start + 100ms);
    ASSERT_EQ(first.paces.size(), 1U);
    term.fleet.applyPaceFailure(first.paces.front());
    ASSERT_EQ(term.list(41, Start + 1100ms).paces.size(), 1U);
    std::size_t repeated = 0;
    for (auto now = Start + 2100ms; now < Start + 5s; now += 1s) {
        const auto orders = term.list(41, now);
        EXPECT_TRUE(orders.stops.empty());
        repeated += orders.paces.size();
    }
    EXPECT_EQ(repeated, 1U);
    EXPECT_EQ(term.log.count("run-stuck"), 0);
}

// Guards against taking a run with unknown needs as one of a task with cores of its own, and a lasting
// task in its startup as stuck, once the job is read after the run was listed.
TEST(AdoptedRun, IsTreatedAsItsStepSaysOnceItsJobIsRead)
{
    auto step = leftoverStep();
    step.usesLeftover = false;
    step.hasCheckpoints = false;
    step.isLasting = true;
    NewTerm term(step);
    term.list(0, Start + 100ms);
    term.readJob(Start + 200ms);
    for (auto now = Start + 1100ms; now < Start + 6s; now += 1s) {
        EXPECT_TRUE(term.list(0, now).stops.empty());
    }
    EXPECT_EQ(term.log.count("run-stuck"), 0);
}

// Guards against stopping the runs of a job that a former leader has started before this one has read
// its row, and against taking them as runs with cores of their own once it has.
TEST(AdoptedRun, IsKeptUntilItsJobIsReadAndPacedThen)
{
    NewTerm term(leftoverStep());
    term.fleet.noteJobsRead(Start);
    auto orders = term.list(40, Start + 100ms);
    EXPECT_TRUE(orders.stops.empty());
    EXPECT_TRUE(orders.paces.empty());
    term.readJob(Start + 300ms);
    term.fleet.noteJobsRead(Start + 300ms);
    orders = term.list(40, Start + 1100ms);
    EXPECT_TRUE(orders.stops.empty());
    EXPECT_EQ(orders.paces.size(), 1U);
    EXPECT_TRUE(orders.starts.empty());
}

// Guards against keeping a run for good that belongs to no stored job.
TEST(AdoptedRun, IsStoppedOnceAllJobsAreReadAndNoneIsItsOwn)
{
    NewTerm term(leftoverStep());
    EXPECT_TRUE(term.list(40, Start + 100ms).stops.empty());
    term.fleet.noteJobsRead(Start + 200ms);
    EXPECT_EQ(term.list(40, Start + 300ms).stops.size(), 1U);
}

} // namespace monsoonspool::execution
