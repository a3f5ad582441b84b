// What waiting for racks gains and costs, compared with other policies and by looks at the workers. Each test
// replays a load on simulated workers.
#include "execution/rackfleet.h"

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <utility>

namespace monsoonspool::execution {

using namespace rackfleet;

namespace {

// Jobs with one task for rack a, which has four slots. Some arrive in a burst at the begin of each period.
struct RackLoad
{
    const char *name;
    double factor;
    Duration runTime; // and up to 40% more or less
    int burst;
    Duration period;
};

double meanSeconds(const RackLoad &load, std::unique_ptr<scheduling::LocalityPolicy> policy)
{
    RackFleet racks(load.factor, 4, 1, 4, load.factor);
    racks.fleet.setLocalityPolicy(std::move(policy));
    constexpr std::uint64_t count = 240;
    for (std::uint64_t n = 0; n < count;) {
        for (int k = 0; k < load.burst; ++k, ++n) {
            racks.submit(n, stepOn("a", load.runTime * (6 + n * 5 % 9) / 10));
        }
        racks.plan();
        racks.pass(load.period);
    }
    racks.pass(20s);
    EXPECT_EQ(racks.runs.size(), count);
    return racks.meanSeconds(count / 6); // when ends have been seen
}

} // namespace

// The mean time to the end of a job under several loads, with the decision by expected times, with delay
// scheduling of a fixed time and without waits. Guards against a decision that is right for one load only:
// each of the others is worse than it by a fifth under some load.
TEST(DataLocality, IsNearTheBestFixedWaitUnderEachLoad)
{
    constexpr double tolerance = 1.15;
    constexpr double clearlyWorse = 1.2;
    double worstOfNever = 0; // relative to the decision
    double worstOfShort = 0;
    double worstOfLong = 0;
    for (const auto &load :
         {RackLoad{"short bursts", 3, 1s, 3, 780ms}, RackLoad{"bursts", 3, 1s, 8, 2400ms},
          RackLoad{"bursts, factor 1.5", 1.5, 1s, 8, 2400ms}, RackLoad{"long bursts", 3, 1s, 15, 5s},
          RackLoad{"short tasks", 3, 300ms, 8, 800ms}, RackLoad{"long tasks", 3, 4s, 4, 4s},
          RackLoad{"overload", 3, 1s, 6, 1200ms}, RackLoad{"overload, factor 1.5", 1.5, 1s, 8, 1200ms}}) {
        const double decided = meanSeconds(load, std::make_unique<scheduling::WaitWhileItPays>(load.factor));
        const double never = meanSeconds(load, nullptr);
        const double shortWait = meanSeconds(load, std::make_unique<scheduling::FixedWait>(500ms));
        const double longWait = meanSeconds(load, std::make_unique<scheduling::FixedWait>(2s));
        EXPECT_LE(decided, tolerance * std::min({never, shortWait, longWait}))
            << load.name << ": " << decided << " s, without waits " << never << ", with 500 ms " << shortWait
            << ", with 2 s " << longWait;
        worstOfNever = std::max(worstOfNever, never / decided);
        worstOfShort = std::max(worstOfShort, shortWait / decided);
        worstOfLong = std::max(worstOfLong, longWait / decided);
    }
    EXPECT_GT(worstOfNever, clearlyWorse);
    EXPECT_GT(worstOfShort, clearlyWorse);
    EXPECT_GT(worstOfLong, clearlyWorse);
}

// A step of 5,000 tasks for a full rack, with little room elsewhere. Guards against plans whose cost grows
// with the tasks that wait.
TEST(DataLocality, TheWorkersAreLookedAtOnceForAllTasksOfAStep)
{
    for (const int maxPerWorker : {0, 40}) {
        RackFleet racks(Factor, 2, 10, 32);
        fillRackA(racks, 320, 5s);
        auto step = stepOn("a");
        step.count = 5000;
        step.maxPerWorker = maxPerWorker;
        racks.submit(1, step, 10min);
        const auto before = racks.fleet.fullCounts();
        racks.plan();
        const auto after = racks.fleet.fullCounts();
        EXPECT_GT(after.tasksWaitingForRack, 200U);
        EXPECT_LT(after.tasksWaitingForRack, 1000U);
        EXPECT_LE(after.workerSearches - before.workerSearches, 4U)
            << "the filler's step, and of this one all and the rack";
        racks.now += 10ms;
        racks.plan();
        EXPECT_EQ(racks.fleet.fullCounts().tasksWaitingForRack, after.tasksWaitingForRack);
        EXPECT_LE(racks.fleet.fullCounts().workerSearches - after.workerSearches, 4U);
    }
}

// Many jobs of one task each that wait for a full rack. Guards against a look at the workers for each.
TEST(DataLocality, TheWorkersOfARackAreLookedAtOnceForAllJobs)
{
    RackFleet racks(Factor, 2, 10, 32);
    fillRackA(racks, 320, 5s);
    for (std::uint64_t n = 0; n < 300; ++n) {
        racks.submit(n, stepOn("a"));
    }
    racks.plan();
    const auto before = racks.fleet.fullCounts();
    EXPECT_GT(before.tasksWaitingForRack, 250U);
    racks.now += 10ms;
    racks.plan();
    EXPECT_LE(racks.fleet.fullCounts().workerSearches - before.workerSearches, 3U);
}

// Random loads of several racks with room elsewhere, workers that fall silent, stand still and return. Guards
// against tasks that wait beyond their bound, or for ever.
TEST(DataLocality, NoTaskWaitsBeyondItsBound)
{
    constexpr int seeds = 20;
    constexpr std::uint64_t jobCount = 150;
    std::uint64_t waits = 0;
    for (std::uint32_t seed = 1; seed <= seeds; ++seed) {
        SCOPED_TRACE(seed);
        boost::random::mt19937 generator(seed);
        const auto upTo = [&](int n) { return boost::random::uniform_int_distribution<>(0, n)(generator); };
        const double factor = 1 + upTo(4) * 0.5;
        RackFleet racks(factor, 3, 2, 4, factor);
        for (int n = 0; n < 6; ++n) {
            racks.addWorker("spare" + std::to_string(n), "s", 100);
        }
        racks.fleet.markRosterStored(racks.fleet.takeRoster());
        std::map<std::uint64_t, TimePoint> submittedAt;
        for (std::uint64_t n = 0; n < jobCount; ++n) {
            auto step = stepOn(std::string(1, static_cast<char>('a' + upTo(2))), 200ms * (1 + upTo(9)));
            step.count = 1 + upTo(3);
            step.isGang = upTo(4) == 0;
            step.isColocated = step.isGang && upTo(1) == 0;
            step.isLasting = upTo(30) == 0;
            if (step.isColocated) {
                step.dataRack.clear();
            }
            racks.submit(n, step, 500ms * upTo(20));
            submittedAt[n] = racks.now;
            if (upTo(40) == 0) {
                racks.standStill(WorkerId("w" + std::to_string(upTo(5))));
            }
            if (upTo(60) == 0) {
                racks.silence(WorkerId("w" + std::to_string(upTo(5))));
            }
            racks.plan();
            racks.pass(Tick * upTo(4));
        }
        racks.pass(3s);
        for (std::uint64_t n = 0; n < jobCount; ++n) {
            const auto *run = racks.runOf(n);
            ASSERT_NE(run, nullptr) << n;
            EXPECT_LE(run->startedAt - submittedAt[n], run->endsAt == TimePoint::max() ? 1s : 2s) << n;
        }
        const auto counts = racks.fleet.fullCounts();
        EXPECT_EQ(counts.rackWaits, counts.rackWaitsMet + counts.rackWaitsGivenUp);
        EXPECT_EQ(counts.tasksWaitingForRack, 0U);
        waits += counts.rackWaits;
    }
    EXPECT_GT(waits, 200U);
}

} // namespace monsoonspool::execution
