#include "scheduling/interferencemodel.h"
#include "scheduling/paceregulator.h"
#include "scheduling/tailforecast.h"
#include "scheduling/waitingorder.h"
#include "scheduling/workerchooser.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace monsoonspool::scheduling {

namespace {

constexpr TimePoint Now{1h};
constexpr std::int64_t Capacity = 32000;
const ServiceName Service("desk");

std::unique_ptr<workers::Worker> makeWorker(std::string_view name)
{
    ports::WorkerEntry entry;
    entry.id = WorkerId(name);
    entry.service = Service;
    entry.capacity = {Capacity, 128000, 0};
    entry.rack = "r1";
    auto worker = std::make_unique<workers::Worker>(entry, TimePoint());
    worker->setRostered();
    worker->noteContact(0, Now, Now);
    return worker;
}

workers::Run serving(std::uint64_t job, ImageNumber image)
{
    workers::Run run;
    run.task = {{job}, 0, 0, 0};
    run.needs = {6000, 1000, 0};
    run.image = image;
    run.isLasting = true;
    run.tailTarget = 18ms;
    run.state = workers::RunState::Running;
    run.level = 8;
    return run;
}

// Image numbers assigned by learnedModel().
constexpr ImageNumber S1 = 0;
constexpr ImageNumber S2 = 1;
constexpr ImageNumber Heavy = 2;
constexpr ImageNumber Light = 3;

// "heavy" tasks interfere with the serving image "s1"; nothing interferes with "s2".
InterferenceModel learnedModel()
{
    InterferenceModel model;
    for (const auto *it : {"s1", "s2", "heavy", "light"}) {
        model.numberOf(it);
    }
    for (int n = 0; n < 400; ++n) {
        const double share = 0.1 + 0.01 * (n % 10);
        const double load = 0.42 + 0.2 * std::sin(n * 0.3);
        const Neighbour heavy{Heavy, share};
        const Neighbour light{Light, share};
        model.observe(S1, std::vector{heavy}, 4 / (1 - load - 1.5 * share));
        model.observe(S1, std::vector{light}, 4 / (1 - load));
        model.observe(S2, std::vector{heavy, light}, 4 / (1 - load));
    }
    model.fit(Now);
    return model;
}

jobs::StepSpec leftoverStep()
{
    jobs::StepSpec step;
    step.needs = {4000, 1000, 0};
    step.usesLeftover = true;
    return step;
}

} // namespace

// Guards against memory that grows with the square of the number of images that clients name.
TEST(InterferenceModel, LearnsOfABoundedNumberOfImages)
{
    InterferenceModel model;
    std::set<ImageNumber> numbers;
    for (int n = 0; n < 3000; ++n) {
        numbers.insert(model.numberOf("image" + std::to_string(n)));
    }
    EXPECT_LT(numbers.size(), 1100U);
    for (const auto it : numbers) {
        for (const auto other : {it, ImageNumber(0), *numbers.rbegin()}) {
            const Neighbour neighbour{other, 0.5};
            model.observe(it, {&neighbour, 1}, 10);
        }
    }
    for (const auto it : numbers) {
        const Neighbour neighbour{it, 0.5};
        model.observe(0, {&neighbour, 1}, 10);
    }
    model.fit(Now);
    EXPECT_EQ(model.sensitivity(*numbers.rbegin(), *numbers.rbegin()), 0);
    EXPECT_FALSE(model.interferesWithAny(*numbers.rbegin()));
    EXPECT_LE(model.learned().size(), 128U);
}

TEST(InterferenceModel, TellsThePairsThatDisturbFromThoseThatDoNot)
{
    const auto model = learnedModel();
    EXPECT_NEAR(model.sensitivity(S1, Heavy) * 4, 1.5, 0.4);
    EXPECT_EQ(model.sensitivity(S1, Light), 0);
    EXPECT_EQ(model.sensitivity(S2, Heavy), 0);
    EXPECT_EQ(model.sensitivity(9, Heavy), 0);
    EXPECT_TRUE(model.interferesWithAny(Heavy));
    EXPECT_FALSE(model.interferesWithAny(Light));
}

// Leader failover under load: without the former leader's fit, tasks were placed where they
// interfere until the new leader had relearned the model.
TEST(InterferenceModel, IsHandedToTheNextSchedulerAndStillLearns)
{
    const auto former = learnedModel();
    InterferenceModel model;
    model.numberOf("other"); // numbers differ between schedulers
    model.restore(former.learned());
    model.fit(Now);
    const auto s1 = model.numberOf("s1");
    const auto heavy = model.numberOf("heavy");
    EXPECT_NEAR(model.sensitivity(s1, heavy), former.sensitivity(S1, Heavy), 0.2 * former.sensitivity(S1, Heavy));
    EXPECT_NEAR(model.baseRate(s1), former.baseRate(S1), 0.1 * former.baseRate(S1));
    EXPECT_EQ(model.sensitivity(s1, model.numberOf("light")), 0);
    EXPECT_FALSE(model.interferesWithAny(model.numberOf("light")));
    // The interference has ended: heavy tasks run intermittently and no longer affect s1.
    for (int n = 0; n < 400; ++n) {
        const double share = n % 2 == 0 ? 0 : 0.1 + 0.01 * (n % 10);
        model.observe(s1, std::vector{Neighbour{heavy, share}}, 4 / (1 - 0.42 - 0.2 * std::sin(n * 0.3)));
    }
    model.fit(Now + 10s);
    EXPECT_EQ(model.sensitivity(s1, heavy), 0);
}

// Many images on leftover cores, each of which interferes with some serving image. If
// lasting tasks are not grouped by image, every worker runs one of each, and no worker is
// usable without interference.
TEST(BestFit, KeepsLastingTasksOfOneImageTogether)
{
    auto mixed = makeWorker("a");
    auto alike = makeWorker("b");
    mixed->add(serving(1, S2));
    alike->add(serving(2, S1));
    jobs::StepSpec step;
    step.needs = {6000, 1000, 0};
    step.isLasting = true;
    step.tailTarget = 18ms;
    const TaskDemand demand{{{9}, 0, 0, 0}, &step, S1, Service.view(), {}, {}, nullptr};
    std::vector<workers::Worker *> both = {mixed.get(), alike.get()};
    EXPECT_EQ(BestFit().choose(demand, both, Now), alike.get());
}

// Lasting tasks of ten images occupy four fifths of all cores, so some workers must mix
// images. New tasks go to workers that are already mixed: then most workers run a single
// image and stay usable for tasks on leftover cores.
TEST(BestFit, MixesImagesWhereTheyAreMixedAlready)
{
    constexpr ImageNumber third = 7;
    auto empty = makeWorker("a");
    auto pure = makeWorker("b");
    auto mixed = makeWorker("c");
    pure->add(serving(1, S1));
    mixed->add(serving(2, S1));
    mixed->add(serving(3, S2));
    jobs::StepSpec step;
    step.needs = {6000, 1000, 0};
    step.isLasting = true;
    step.tailTarget = 18ms;
    const TaskDemand demand{{{9}, 0, 0, 0}, &step, third, Service.view(), {}, {}, nullptr};
    std::vector<workers::Worker *> all = {empty.get(), pure.get(), mixed.get()};
    EXPECT_EQ(BestFit().choose(demand, all, Now), empty.get());
    std::vector<workers::Worker *> used = {pure.get(), mixed.get()};
    EXPECT_EQ(BestFit().choose(demand, used, Now), mixed.get());
}

// A worker that fails every task is free again immediately, so the best fit would choose it
// for each retry.
TEST(BestFit, SendsATaskThatFailedElsewhere)
{
    auto failed = makeWorker("a");
    auto other = makeWorker("b");
    failed->add(serving(1, S1)); // the tighter fit
    jobs::StepSpec step;
    step.needs = {6000, 1000, 0};
    const std::vector<WorkerId> avoided = {failed->entry().id};
    TaskDemand demand{{{9}, 0, 0, 0}, &step, 0, Service.view(), {}, {}, nullptr};
    std::vector<workers::Worker *> both = {failed.get(), other.get()};
    EXPECT_EQ(BestFit().choose(demand, both, Now), failed.get());
    demand.avoided = avoided;
    EXPECT_EQ(BestFit().choose(demand, both, Now), other.get());
    std::vector<workers::Worker *> one = {failed.get()};
    EXPECT_EQ(BestFit().choose(demand, one, Now), failed.get()) << "an avoided worker is used if there is no other";
}

// Guards against charging tasks with the crashes that a task beside them causes.
TEST(BestFit, KeepsTasksApartUnderWhichWorkersCrashed)
{
    struct Case
    {
        const char *name;
        int crashes; // of the task to be placed
        int neighbourCrashes;
        Duration neighbourAge;
        bool isSameStep;
        bool isEligible;
    };
    const Case cases[] = {
        {"no crash", 0, 0, 1s, false, true},
        {"a suspect beside another task", 1, 0, 1s, false, true},
        {"a suspect beside a suspect", 1, 1, 1s, false, false},
        {"another task beside a suspect", 0, 1, 1s, false, true},
        {"another task beside a suspect before the last crash", 0, 2, 1s, false, false},
        {"a member of the same gang", 1, 1, 1s, true, true},
        {"a suspect that has been at work for long", 2, 2, 11s, false, true},
    };
    for (const auto &it : cases) {
        auto worker = makeWorker("a");
        auto run = serving(1, S1);
        run.task = {{it.isSameStep ? 9U : 8U}, 0, 0, 1};
        run.crashCount = it.neighbourCrashes;
        run.orderedAt = Now - it.neighbourAge;
        worker->add(run);
        jobs::StepSpec step;
        TaskDemand demand{{{9}, 0, 0, 0}, &step, 0, Service.view(), {}, {}, nullptr};
        demand.crashCount = it.crashes;
        EXPECT_EQ(isEligible(*worker, demand, Now), it.isEligible) << it.name;
    }
}

// A task placed beside a serving task that is over its target would count as the cause.
TEST(BestFit, AddsNoLeftoverWorkWhereATailIsOverItsTarget)
{
    auto worker = makeWorker("a");
    worker->add(serving(1, S1));
    const auto light = leftoverStep();
    const TaskDemand demand{{{9}, 0, 0, 0}, &light, Light, Service.view(), {}, {}, nullptr};
    std::vector<workers::Worker *> one = {worker.get()};
    EXPECT_EQ(BestFit().choose(demand, one, Now), worker.get());
    worker->setTailRatio(1);
    EXPECT_EQ(BestFit().choose(demand, one, Now), nullptr);
}

TEST(BestFit, SendsWorkWhereItDisturbsNobodyOrLetsItWait)
{
    const auto model = learnedModel();
    auto sensitive = makeWorker("a");
    auto tolerant = makeWorker("b");
    sensitive->add(serving(1, S1));
    tolerant->add(serving(2, S2));
    auto wide = leftoverStep();
    wide.needs.milliCores = 6000;
    const TaskDemand wideDemand{{{9}, 0, 0, 0}, &wide, Heavy, Service.view(), {}, {}, &model};
    std::vector<workers::Worker *> both = {sensitive.get(), tolerant.get()};
    EXPECT_EQ(BestFit().choose(wideDemand, both, Now), tolerant.get());
    const auto heavy = leftoverStep();
    const TaskDemand demand{{{9}, 0, 0, 0}, &heavy, Heavy, Service.view(), {}, {}, &model};
    std::vector<workers::Worker *> one = {sensitive.get()};
    EXPECT_EQ(BestFit().choose(demand, one, Now), nullptr);
}

// Two thirds of all image pairs interfere. A task placed where it is known to interfere was
// paused during each load peak of the serving task, and its job was late. It must wait
// about a second until a task ends on a worker where it does not interfere.
TEST(BestFit, WaitsForAWorkerWhereItIsHarmlessHoweverLittleItTakes)
{
    const auto model = learnedModel();
    auto sensitive = makeWorker("a");
    auto tolerant = makeWorker("b");
    sensitive->add(serving(1, S1));
    tolerant->add(serving(2, S2));
    auto small = leftoverStep();
    small.needs.milliCores = 2500;
    const TaskDemand demand{{{9}, 0, 0, 0}, &small, Heavy, Service.view(), {}, {}, &model};
    std::vector<workers::Worker *> both = {sensitive.get(), tolerant.get()};
    std::uint64_t joined = 0;
    while (auto *worker = BestFit().choose(demand, both, Now)) {
        ASSERT_EQ(worker, tolerant.get());
        workers::Run run;
        run.task = {{100 + joined}, 0, 0, 0};
        run.needs = small.needs;
        run.image = Heavy;
        run.usesLeftover = true;
        worker->add(run);
        ASSERT_LT(++joined, 20U);
    }
    EXPECT_EQ(joined, 11U) << "all leftover cores of the tolerant worker";
}

// Overload with eighteen waiting images, each free of interference on a third of the
// workers. Tasks that can run anywhere took the capacity that a constrained image needed,
// and that image waited while other cores were idle.
TEST(BestFit, LeavesRoomThatIsScarceToTheWorkThatNeedsIt)
{
    const auto model = learnedModel();
    auto sensitive = makeWorker("a");
    auto tolerant = makeWorker("b");
    sensitive->add(serving(1, S1));
    sensitive->add(serving(2, S1));
    tolerant->add(serving(3, S2));
    std::vector<workers::Worker *> both = {sensitive.get(), tolerant.get()};
    std::vector<std::int64_t> demands(4, 0);
    demands[Heavy] = 40000;
    demands[Light] = 4000;
    InterferenceFreeCapacity capacity;
    ASSERT_TRUE(capacity.isDue(Now));
    capacity.update(both, model, demands, Now);
    EXPECT_FALSE(capacity.isDue(Now + 1ms));
    const double leftover = static_cast<double>(tolerant->leftoverMilliCores());
    EXPECT_NEAR(capacity.contention(*tolerant, Light), 40000 / leftover, 1e-9);
    EXPECT_EQ(capacity.contention(*sensitive, Light), 0) << "heavy tasks interfere there";
    EXPECT_LT(capacity.contention(*tolerant, Heavy), 0.2) << "an image's own demand does not count";

    const auto light = leftoverStep();
    TaskDemand demand{{{9}, 0, 0, 0}, &light, Light, Service.view(), {}, {}, nullptr};
    EXPECT_EQ(BestFit().choose(demand, both, Now), tolerant.get()) << "the worker with the most leftover cores";
    demand.interferenceFreeCapacity = &capacity;
    EXPECT_EQ(BestFit().choose(demand, both, Now), sensitive.get());
    demand.image = Heavy;
    demand.interference = &model;
    EXPECT_EQ(BestFit().choose(demand, both, Now), tolerant.get());
}

// What a shrunk worker lacks is not taken from the leftover cores of another one.
TEST(InterferenceFreeCapacity, AShrunkWorkerAddsNothing)
{
    const auto model = learnedModel();
    std::vector<std::int64_t> demands(4, 0);
    demands[Heavy] = 8000;
    for (const std::int64_t milliCores : {16000, 4000, 0}) {
        SCOPED_TRACE(milliCores);
        auto shrunk = makeWorker("a");
        auto other = makeWorker("b");
        shrunk->add(serving(1, S2));
        shrunk->add(serving(2, S2));
        auto entry = shrunk->entry();
        entry.capacity.milliCores = milliCores;
        shrunk->setEntry(entry, TimePoint());
        std::vector<workers::Worker *> both = {shrunk.get(), other.get()};
        InterferenceFreeCapacity capacity;
        capacity.update(both, model, demands, Now);
        const auto leftover = std::max<std::int64_t>(shrunk->leftoverMilliCores(), 0) + other->leftoverMilliCores();
        EXPECT_NEAR(capacity.contention(*other, Light), 8000 / static_cast<double>(leftover), 1e-9);
    }
}

TEST(SafePace, KeepsTheTailBelowItsTarget)
{
    const auto model = learnedModel();
    auto worker = makeWorker("a");
    auto task = serving(1, S1);
    task.level = 12;
    worker->add(task);
    workers::Run run;
    run.task = {{2}, 0, 0, 0};
    run.needs = {8000, 1000, 0};
    run.image = Heavy;
    run.usesLeftover = true;
    worker->add(run);
    const int pace = safePace(model, *worker);
    EXPECT_LT(pace, 60);
    // 1/tail decreases by sensitivity * share; at this pace it must stay above 1/target.
    const double pressure = model.sensitivity(S1, Heavy) * 0.25 * pace / 100;
    EXPECT_GT(1.0 / 12 - pressure, 1.0 / 18);
}

struct PaceCase
{
    Duration at;
    double ratio;
    Duration over;
    bool isCauseKnown;
    int percent;
    bool appliesToAll;
};

TEST(PaceRegulator, FallsAtOnceRisesSlowlyAndStopsAllInTime)
{
    PaceRegulator regulator;
    for (const auto &it : {PaceCase{0ms, 0.5, 0ms, true, 100, false}, PaceCase{1s, 0.95, 0ms, true, 66, false},
                           PaceCase{1200ms, 1.1, 200ms, true, 66, false}, // within SettleTime of the last change
                           PaceCase{1700ms, 1.1, 700ms, true, 16, false}, PaceCase{3s, 0.5, 0ms, true, 41, false},
                           PaceCase{3500ms, 0.5, 0ms, true, 41, false}, PaceCase{5s, 1.2, 1900ms, true, 0, false},
                           PaceCase{5600ms, 1.2, 2500ms, true, 0, true}, PaceCase{8s, 0.5, 0ms, true, 25, false}}) {
        SCOPED_TRACE(toMilliseconds(it.at));
        const auto decision = regulator.update({it.ratio, it.over, it.isCauseKnown}, Now + it.at);
        EXPECT_EQ(decision.percent, it.percent);
        EXPECT_EQ(decision.appliesToAll, it.appliesToAll);
    }
}

// Replays a serving task whose own load swings around its target beside work that does not
// interfere with it. Guards against slowing that work down for seconds around each peak, which
// lowered no tail and delayed every job with a task there.
TEST(PaceRegulator, LeavesPeaksWithoutACauseAlone)
{
    PaceRegulator regulator;
    for (const auto &it : {PaceCase{1s, 1.5, 600ms, false, 100, false}, PaceCase{2s, 1.5, 1300ms, false, 100, false},
                           PaceCase{2300ms, 1.5, 1800ms, false, 0, true}, // an interfering task may be unknown
                           PaceCase{2800ms, 0.99, 0ms, false, 0, false}, PaceCase{3s, 1.2, 200ms, false, 0, false},
                           PaceCase{5s, 0.5, 0ms, false, 25, false}}) {
        SCOPED_TRACE(toMilliseconds(it.at));
        const auto decision = regulator.update({it.ratio, it.over, it.isCauseKnown}, Now + it.at);
        EXPECT_EQ(decision.percent, it.percent);
        EXPECT_EQ(decision.appliesToAll, it.appliesToAll);
    }
}

TEST(DeadlineAwareOrder, LetsWhatCannotBeOnTimeYield)
{
    const auto job = [](int priority, Duration objective, Duration remaining, bool hasStarted) {
        RankInput outlook;
        outlook.priority = priority;
        outlook.hasStarted = hasStarted;
        outlook.softDeadline = Now + objective;
        outlook.hardDeadline = Now + objective * 3;
        outlook.allowedWait = objective - remaining;
        outlook.remaining = remaining;
        return outlook;
    };
    const auto aged = [](RankInput outlook, Duration age) {
        outlook.acceptedAt = Now - age;
        return outlook;
    };
    const auto whileShort = [](RankInput outlook) {
        outlook.areStartsShort = true;
        return outlook;
    };
    const auto startedOverdue = [&](RankInput outlook) {
        outlook.wasStartedOverdue = true;
        return whileShort(outlook);
    };
    // Replays cores that are all in demand by lasting tasks. Guards against short urgent work that waits
    // for one of them to end, and against lasting tasks that wait for work of a lower priority.
    RankInput lasting;
    lasting.isLasting = true;
    const std::vector<RankInput> inOrder = {
        whileShort(job(0, 2s, 3s, true)), // begun in time, now late and of use
        job(0, 5s, 1s, true),
        job(0, 2s, 1s, false),
        lasting,
        whileShort(job(2, 2s, 3s, true)), // begun in time, now late and of use
        job(2, 2s, 1s, true),
        job(2, 2s, 1s, false),
        aged(startedOverdue(job(0, 2s, 3s, true)), 5s), // late and of use
        aged(startedOverdue(job(2, 2s, 4s, true)), 4s), // the same, with more work and younger
        aged(startedOverdue(job(0, 2s, 3s, true)), 3s), // the same, with less work and younger still
        aged(job(2, 2s, 3s, true), 2s), // begun in time, while other things than orders are short
        aged(job(0, 2s, 3s, false), 9s), // not begun
        aged(job(2, 2s, 3s, false), 8s),
        aged(job(0, 2s, 9s, true), 7s), // cannot finish while still useful
        aged(job(0, 2s, 9s, false), 6s),
    };
    const DeadlineAwareOrder order;
    for (std::size_t n = 1; n < inOrder.size(); ++n) {
        EXPECT_LT(order.rank(inOrder[n - 1], Now), order.rank(inOrder[n], Now)) << n;
    }
}

// Guards against jobs that are begun at the last moment, and so late, while others could be on time with
// certainty.
TEST(DeadlineAwareOrder, BeginsJobsWithAReserveFirst)
{
    const auto job = [](Duration untilDeadline) {
        RankInput outlook;
        outlook.softDeadline = Now + untilDeadline;
        outlook.hardDeadline = Now + 3 * untilDeadline;
        outlook.remaining = 2s;
        outlook.allowedWait = 4s; // when it was accepted, 6 s before its deadline
        return outlook;
    };
    // Slacks of 1.3 s, 3 s, 4 s, and then without a reserve 0.2 s and 1 s.
    const std::vector<RankInput> inOrder = {job(3300ms), job(5s), job(6s), job(2200ms), job(3s)};
    const DeadlineAwareOrder order;
    for (std::size_t n = 1; n < inOrder.size(); ++n) {
        EXPECT_LT(order.rank(inOrder[n - 1], Now), order.rank(inOrder[n], Now)) << n;
        EXPECT_FALSE(order.rank(inOrder[n], Now).isOverdue);
    }
    EXPECT_TRUE(order.rank(job(1900ms), Now).isOverdue);
}

namespace {

// Counts the evaluations of another policy.
class CountingChooser : public WorkerChooser
{
public:
    std::optional<double> cost(const workers::Worker &worker, const TaskDemand &demand, TimePoint now) const override
    {
        ++count;
        return m_policy.cost(worker, demand, now);
    }

    mutable int count = 0;

private:
    BestFit m_policy;
};

// Workers with lasting tasks of several sizes, so that their costs differ.
std::vector<std::unique_ptr<workers::Worker>> makeUnequalWorkers(int count)
{
    std::vector<std::unique_ptr<workers::Worker>> workers;
    for (int n = 0; n < count; ++n) {
        workers.push_back(makeWorker("w" + std::to_string(n)));
        auto run = serving(1000 + static_cast<std::uint64_t>(n), S1);
        constexpr int sizes = 7;
        run.needs.milliCores = 1000 * (1 + n * 5 % sizes);
        workers.back()->add(run);
    }
    return workers;
}

void place(workers::Worker &worker, const TaskDemand &demand)
{
    workers::Run run;
    run.task = demand.task;
    run.needs = demand.step->needs;
    run.usesLeftover = demand.step->usesLeftover;
    worker.add(run);
}

} // namespace

TEST(RankedWorkers, ChooseAsOneSearchForEachTaskDoes)
{
    struct Case
    {
        const char *name;
        bool usesLeftover;
        int maxPerWorker;
    };
    for (const auto &it :
         {Case{"own cores", false, 0}, Case{"leftover cores", true, 0}, Case{"anti-affinity", false, 2}}) {
        SCOPED_TRACE(it.name);
        constexpr int workerCount = 12;
        const auto ranked = makeUnequalWorkers(workerCount);
        const auto searched = makeUnequalWorkers(workerCount);
        std::vector<workers::Worker *> rankedPointers;
        std::vector<workers::Worker *> searchedPointers;
        for (int n = 0; n < workerCount; ++n) {
            rankedPointers.push_back(ranked[static_cast<std::size_t>(n)].get());
            searchedPointers.push_back(searched[static_cast<std::size_t>(n)].get());
        }
        jobs::StepSpec step;
        step.needs = {3500, 1000, 0};
        step.usesLeftover = it.usesLeftover;
        step.maxPerWorker = it.maxPerWorker;
        TaskDemand demand;
        demand.step = &step;
        demand.service = Service.view();
        demand.task.job = {1};
        const BestFit policy;
        RankedWorkers ranking(policy, demand, rankedPointers, Now);
        int placed = 0;
        for (;; ++placed) {
            demand.task = {{1}, 0, 0, placed};
            auto *best = ranking.best();
            auto *expected = policy.choose(demand, searchedPointers, Now);
            ASSERT_EQ(best == nullptr, expected == nullptr) << "task " << placed;
            if (best == nullptr) {
                break;
            }
            ASSERT_EQ(best->entry().id, expected->entry().id) << "task " << placed;
            place(*best, demand);
            place(*expected, demand);
            ranking.updateBest(Now);
        }
        EXPECT_GT(placed, workerCount);
    }
}

// A plan of a leader looked at each of 1,100 workers for each of 2,400 starts a second.
TEST(RankedWorkers, LookOnceAtEachWorkerForAllTasksOfAStep)
{
    constexpr int workerCount = 200;
    constexpr int taskCount = 40;
    const auto workers = makeUnequalWorkers(workerCount);
    std::vector<workers::Worker *> pointers;
    for (const auto &it : workers) {
        pointers.push_back(it.get());
    }
    jobs::StepSpec step;
    step.needs = {3500, 1000, 0};
    TaskDemand demand;
    demand.step = &step;
    demand.service = Service.view();
    const CountingChooser policy;
    RankedWorkers ranking(policy, demand, pointers, Now);
    for (int n = 0; n < taskCount; ++n) {
        demand.task = {{1}, 0, 0, n};
        place(*ranking.best(), demand);
        ranking.updateBest(Now);
    }
    EXPECT_EQ(policy.count, workerCount + taskCount);
}

// Guards against workers that fail everything and use up all attempts: suspicion is ignored only where
// most workers are suspect.
TEST(Suspicion, IsIgnoredOnlyWhereMostWorkersAreSuspect)
{
    constexpr int workerCount = 6;
    struct Case
    {
        std::string name;
        int suspects = 0;
        int silent = 0; // of the others
        Duration age{0}; // of the failures
        bool isIgnored = false;
    };
    const std::vector<Case> cases = {{"none", 0, 0, 0ms, false},
                                     {"half", 3, 0, 0ms, false},
                                     {"more than half", 4, 0, 0ms, true},
                                     {"all", 6, 0, 0ms, true},
                                     {"more than half of those that answer", 3, 1, 0ms, true},
                                     {"failures of long ago", 6, 0, 7s, false}};
    for (const auto &it : cases) {
        SCOPED_TRACE(it.name);
        std::vector<std::unique_ptr<workers::Worker>> workers;
        std::vector<workers::Worker *> pointers;
        for (int n = 0; n < workerCount; ++n) {
            pointers.push_back(workers.emplace_back(makeWorker("w" + std::to_string(n))).get());
            if (n < it.suspects) {
                pointers.back()->noteFailure(Now - it.age);
                pointers.back()->noteFailure(Now - it.age);
            } else if (n < it.suspects + it.silent) {
                pointers.back()->noteSilence(Now);
            }
        }
        EXPECT_EQ(areMostSuspect(pointers, Service.view(), {}, Now), it.isIgnored);
        EXPECT_EQ(areMostSuspect(pointers, Service.view(), "r1", Now), it.isIgnored) << "on the workers' rack";
        EXPECT_FALSE(areMostSuspect(pointers, Service.view(), "r2", Now)) << "on a rack without workers";
        EXPECT_FALSE(areMostSuspect(pointers, "another", {}, Now)) << "of a service without workers";
    }
}

// Guards against orders to workers that reject them, where suspicion is ignored.
TEST(Suspicion, IgnoringItUsesNoWorkerThatRejectsOrders)
{
    jobs::StepSpec step;
    step.needs = {3500, 1000, 0};
    TaskDemand demand;
    demand.step = &step;
    demand.service = Service.view();
    const auto suspect = makeWorker("w0");
    suspect->noteFailure(Now);
    suspect->noteFailure(Now);
    EXPECT_FALSE(isEligible(*suspect, demand, Now));
    demand.ignoresSuspicion = true;
    EXPECT_TRUE(isEligible(*suspect, demand, Now));
    const auto sound = makeWorker("w1");
    std::vector<workers::Worker *> both = {suspect.get(), sound.get()};
    EXPECT_EQ(BestFit().choose(demand, both, Now), sound.get());
    suspect->noteUnhealthy(Now);
    EXPECT_FALSE(isEligible(*suspect, demand, Now));
}

} // namespace monsoonspool::scheduling
