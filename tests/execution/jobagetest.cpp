#include "execution/jobage.h"

#include "execution/fleet.h"

#include <gtest/gtest.h>

#include <optional>
#include <vector>

namespace monsoonspool::execution {

namespace {

constexpr TimePoint Start{1h};
const jobs::WallTime Noon{std::chrono::hours(12)};
constexpr Resources WholeWorker{16000, 32000, 0};
const ServiceName Service("desk");

class NullLog : public DecisionLog
{
public:
    void record(std::string_view, std::initializer_list<DecisionField>) override
    {
    }
};

} // namespace

// Guards against a job that looks old or expired for as long as it is open since a clock had jumped
// when it was accepted or read.
TEST(JobAge, ClocksDecideOnlyWhatTheReadingsDoNotTell)
{
    struct Case
    {
        const char *name;
        Duration byClocks;
        std::optional<Duration> unreadFor;
        Duration age;
    };
    for (const auto &it :
         {Case{"read at once", 2ms, 800ms, 0s}, Case{"the leader's clock jumped ahead", 4s, 800ms, 0s},
          Case{"the accepting host's clock jumped ahead", -4s, 800ms, 0s},
          Case{"clocks differ by hours", 5h, 800ms, 0s}, Case{"the table was not read for long", 7s, 9s, 7s},
          Case{"not for so long", 13s, 9s, 9s}, Case{"not for long, and a clock jumped back", -4s, 9s, 0s},
          Case{"from before the term", 30s, std::nullopt, 30s},
          Case{"from before the term, and clocks differ by hours", 5h, std::nullopt, 120s},
          Case{"from before the term, and a clock jumped back", -4s, std::nullopt, 0s},
          Case{"not read for hours", 5h, 4h, 120s}}) {
        SCOPED_TRACE(it.name);
        const auto wall = Noon + std::chrono::duration_cast<std::chrono::milliseconds>(it.byClocks);
        EXPECT_EQ(ageAtReading(Noon, wall, it.unreadFor), it.age);
    }
}

// Two jobs that fill the only worker: the one that was accepted while the clock of its host was 4 s
// behind must not stay ahead of the one that was accepted before it.
TEST(JobAge, AJumpDoesNotChangeTheOrderOfJobs)
{
    NullLog log;
    Fleet fleet(log);
    fleet.beginTerm({1}, 0, {}, Start, Start);
    ports::WorkerEntry entry;
    entry.id = WorkerId("w0");
    entry.service = Service;
    entry.capacity = WholeWorker;
    entry.startTimeMs = 1;
    fleet.updateWorker(entry, Start);
    ports::WorkerListing listing;
    listing.startTimeMs = 1;
    listing.clock = 1000;
    fleet.applyListing(entry.id, listing, Start, Start);
    fleet.markRosterStored(fleet.takeRoster());
    fleet.noteJobsRead(Start);
    const auto submit = [&](std::uint64_t key, Duration sinceStart, std::chrono::milliseconds clockError) {
        AcceptedJob job;
        job.key = {key};
        job.policy.queue = "plans";
        job.policy.service = Service;
        job.policy.maxAttempts = 3;
        job.policy.targetLatency = 10s;
        job.spec.steps.resize(1);
        job.spec.steps[0].needs = WholeWorker;
        job.spec.steps[0].estimate = 1s;
        const auto wall = Noon + std::chrono::duration_cast<std::chrono::milliseconds>(sinceStart);
        job.acceptedAt = wall + clockError;
        fleet.addJob(std::move(job), Start + sinceStart, wall);
        fleet.noteJobsRead(Start + sinceStart);
    };
    submit(1, 100ms, 0ms);
    submit(2, 600ms, -4000ms);
    const auto orders = fleet.plan(Start + 700ms, Noon + 700ms);
    ASSERT_EQ(orders.starts.size(), 1U);
    EXPECT_EQ(orders.starts.front().task.job.value, 1U);
    EXPECT_EQ(fleet.find({2})->acceptedAt(), Start + 600ms);
}

} // namespace monsoonspool::execution
