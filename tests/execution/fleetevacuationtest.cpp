#include "execution/fleet.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace monsoonspool::execution {

namespace {

constexpr TimePoint Start{1h};
const jobs::WallTime Wall{};
constexpr Duration Bound = membership::DefaultEvacuationBound;
constexpr ports::WorkerMillis ClockAtStart = 1000;
const ServiceName Service("desk");

class EventLog : public DecisionLog
{
public:
    void record(std::string_view event, std::initializer_list<DecisionField>) override
    {
        events.emplace_back(event);
    }
    std::ptrdiff_t count(std::string_view event) const
    {
        return std::ranges::count(events, event);
    }

    std::vector<std::string> events;
};

// A fleet with one worker, w0 in the domain z0, that can take tasks.
class EvacuationFleet
{
public:
    EvacuationFleet()
    {
        fleet.beginTerm({1}, 0, {}, Start, Start);
        fleet.updateWorker(entry("w0", "z0"), Start);
        list("w0", Start);
        fleet.markRosterStored(fleet.takeRoster());
    }

    static ports::WorkerEntry entry(std::string_view id, std::string_view domain)
    {
        ports::WorkerEntry entry;
        entry.id = WorkerId(id);
        entry.service = Service;
        entry.capacity = {32000, 64000, 0};
        entry.domain = FailureDomain(domain);
        entry.startTimeMs = 1;
        return entry;
    }
    void list(std::string_view id, TimePoint now, ports::WorkerListing listing = {})
    {
        listing.startTimeMs = listing.startTimeMs == 0 ? 1 : listing.startTimeMs;
        listing.clock = toMilliseconds(now - Start) + ClockAtStart;
        fleet.applyListing(WorkerId(id), listing, now, now);
    }
    void evacuate(const std::vector<std::string> &domains, TimePoint readAt)
    {
        std::vector<membership::EvacuationRequest> requests;
        for (const auto &it : domains) {
            requests.push_back({FailureDomain(it), false, 0});
        }
        membership::Evacuations evacuations;
        evacuations.replaceAll(requests);
        evacuations.noteRead(readAt);
        fleet.setEvacuations(evacuations);
    }
    void submit(std::uint64_t key, TimePoint now, bool isGang = false)
    {
        AcceptedJob job;
        job.key = {key};
        job.policy.queue = "plans";
        job.policy.service = Service;
        job.policy.maxAttempts = 3;
        job.spec.steps.resize(1);
        job.spec.steps[0].needs = {2000, 1000, 0};
        job.spec.steps[0].estimate = 1s;
        job.spec.steps[0].isGang = isGang;
        job.spec.steps[0].count = isGang ? 2 : 1;
        fleet.addJob(std::move(job), now, Wall);
    }
    std::size_t starts(TimePoint now)
    {
        return fleet.plan(now, Wall).starts.size();
    }

    EventLog log;
    Fleet fleet{log};
};

} // namespace

// A new leader must not start by a table that it has not read, also if the store is silent then.
TEST(FleetEvacuation, NothingStartsBeforeTheTableWasRead)
{
    for (const Duration renewedAgo : {0s, 6s}) {
        EvacuationFleet f;
        const auto now = Start + 10s;
        f.list("w0", now);
        f.fleet.noteTermRenewed(now - renewedAgo, now + 12s);
        f.fleet.setEvacuations(membership::Evacuations());
        f.submit(7, now);
        EXPECT_EQ(f.starts(now), 0U);
        EXPECT_EQ(f.log.count("starts-suspended"), 1);
        f.evacuate({}, now);
        EXPECT_EQ(f.starts(now + 1ms), 1U);
    }
}

// The age of the reading and the validity of the order add up: together they must stay under the
// bound, whatever the age.
TEST(FleetEvacuation, StartOrdersExpireBeforeTheBoundHasPassedSinceTheLastReading)
{
    struct Case
    {
        const char *name;
        Duration readAgo;
        Duration renewedAgo;
        std::optional<Duration> delayedAgo;
        std::size_t starts;
        bool isBounded;
    };
    for (const auto &it :
         {Case{"read just now", 0s, 0s, std::nullopt, 1, true}, Case{"read a while ago", 3s, 0s, std::nullopt, 1, true},
          Case{"read long ago", 4400ms, 0s, std::nullopt, 1, true},
          Case{"read too long ago", 4600ms, 0s, std::nullopt, 0, true},
          Case{"the store is silent", 9s, 8s, std::nullopt, 1, false},
          Case{"this host is late", 9s, 8s, 1s, 0, true}}) {
        SCOPED_TRACE(it.name);
        EvacuationFleet f;
        const auto now = Start + 10s;
        f.list("w0", now);
        f.fleet.noteTermRenewed(now - it.renewedAgo, now + 12s);
        if (it.delayedAgo) {
            f.fleet.noteDelayed(now - *it.delayedAgo);
        }
        f.evacuate({}, now - it.readAgo);
        f.submit(7, now);
        const auto orders = f.fleet.plan(now, Wall);
        ASSERT_EQ(orders.starts.size(), it.starts);
        if (it.starts > 0 && it.isBounded) {
            const auto clockAtBound = toMilliseconds(now - it.readAgo + Bound - Start) + ClockAtStart;
            EXPECT_LT(orders.starts.front().deadline, clockAtBound);
        }
    }
}

// Guards against an evacuation that is forgotten with the state of a worker.
TEST(FleetEvacuation, HoldsForWorkersThatJoinRestartOrMove)
{
    struct Case
    {
        const char *name;
        std::function<void(EvacuationFleet &, TimePoint)> event;
        std::size_t starts;
    };
    for (const auto &it :
         {Case{"nothing happens", [](EvacuationFleet &, TimePoint) {}, 0},
          Case{"the worker restarts",
               [](EvacuationFleet &f, TimePoint now) {
                   auto entry = EvacuationFleet::entry("w0", "z0");
                   entry.startTimeMs = 2;
                   f.fleet.updateWorker(entry, now);
                   ports::WorkerListing listing;
                   listing.startTimeMs = 2;
                   f.list("w0", now, listing);
               },
               0},
          Case{"a worker joins the domain",
               [](EvacuationFleet &f, TimePoint now) {
                   f.fleet.updateWorker(EvacuationFleet::entry("w1", "z0"), now);
                   f.list("w1", now);
                   f.fleet.markRosterStored(f.fleet.takeRoster());
               },
               0},
          Case{"a worker joins another domain",
               [](EvacuationFleet &f, TimePoint now) {
                   f.fleet.updateWorker(EvacuationFleet::entry("w1", "z1"), now);
                   f.list("w1", now);
                   f.fleet.markRosterStored(f.fleet.takeRoster());
               },
               1},
          Case{"the worker is in another domain now",
               [](EvacuationFleet &f, TimePoint now) { f.fleet.updateWorker(EvacuationFleet::entry("w0", "z1"), now); },
               1},
          Case{"the evacuation is withdrawn", [](EvacuationFleet &f, TimePoint now) { f.evacuate({}, now); }, 1}}) {
        SCOPED_TRACE(it.name);
        EvacuationFleet f;
        f.evacuate({"z0"}, Start);
        f.submit(7, Start);
        EXPECT_EQ(f.starts(Start), 0U);
        const auto now = Start + 1s;
        it.event(f, now);
        EXPECT_EQ(f.starts(now + 100ms), it.starts);
    }
}

TEST(FleetEvacuation, KeepsGangsOutOfTheDomain)
{
    EvacuationFleet f;
    f.evacuate({"z0"}, Start);
    f.submit(7, Start, true);
    EXPECT_EQ(f.starts(Start), 0U);
    f.evacuate({}, Start + 1s);
    EXPECT_EQ(f.starts(Start + 1s), 2U);
}

// The request is that nothing more is sent there: a run keeps its lease and is not stopped.
TEST(FleetEvacuation, KeepsTheRunsOfTheDomain)
{
    EvacuationFleet f;
    f.fleet.noteWorkersRead(Start);
    f.evacuate({}, Start);
    f.submit(7, Start);
    auto orders = f.fleet.plan(Start, Wall);
    ASSERT_EQ(orders.starts.size(), 1U);
    f.fleet.applyStartReply(orders.starts.front(), ports::StartResult::Accepted, Start);
    ports::WorkerListing listing;
    listing.running.push_back({orders.starts.front().task, orders.starts.front().run, {}, 10, 0});
    for (int n = 1; n <= 4; ++n) {
        const auto now = Start + n * 500ms;
        f.list("w0", now, listing);
        f.evacuate({"z0", "z1"}, now);
        f.fleet.noteWorkersRead(now);
        orders = f.fleet.plan(now, Wall);
        EXPECT_TRUE(orders.stops.empty());
        const auto lease = f.fleet.leaseOrder(WorkerId("w0"), now).deadline;
        EXPECT_GT(lease, toMilliseconds(now - Start) + ClockAtStart + 5000);
    }
    const auto counts = f.fleet.fullCounts();
    ASSERT_EQ(counts.evacuatedDomains.size(), 2U);
    EXPECT_EQ(counts.evacuatedDomains[0].domain, FailureDomain("z0"));
    EXPECT_EQ(counts.evacuatedDomains[0].runs, 1U);
    EXPECT_EQ(counts.evacuatedDomains[0].workers, 1U);
    EXPECT_EQ(counts.evacuatedDomains[0].unheardWorkers, 0U);
    EXPECT_EQ(counts.evacuatedDomains[1].workers, 0U);
    f.fleet.markSilent(WorkerId("w0"), Start + 3s);
    EXPECT_EQ(f.fleet.fullCounts().evacuatedDomains[0].unheardWorkers, 1U);
}

// A wrong name must be noticed, and not fill the log.
TEST(FleetEvacuation, ADomainWithoutWorkersIsLoggedOnce)
{
    EvacuationFleet f;
    f.evacuate({"z0", "z9"}, Start);
    f.starts(Start);
    EXPECT_EQ(f.log.count("evacuation-without-workers"), 0) << "the entries of the workers are not read yet";
    f.fleet.noteWorkersRead(Start);
    for (int n = 1; n <= 5; ++n) {
        f.evacuate({"z0", "z9"}, Start + n * 100ms);
        f.starts(Start + n * 100ms);
    }
    EXPECT_EQ(f.log.count("evacuation-without-workers"), 1);
    EXPECT_EQ(f.log.count("evacuation-followed"), 1);
    f.evacuate({"z0"}, Start + 1s);
    f.starts(Start + 1s);
    f.evacuate({"z0", "z9"}, Start + 2s);
    f.starts(Start + 2s);
    EXPECT_EQ(f.log.count("evacuation-without-workers"), 2) << "requested again";
}

} // namespace monsoonspool::execution
