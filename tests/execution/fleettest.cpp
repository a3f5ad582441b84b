#include "execution/fleet.h"

#include <gtest/gtest.h>

namespace monsoonspool::execution {

namespace {

constexpr TimePoint Start{1h};
const jobs::WallTime Wall{};
constexpr Resources TaskSize{2000, 1000, 0};
const ServiceName Service("desk");

class NoLog : public DecisionLog
{
public:
    void record(std::string_view, std::initializer_list<DecisionField>) override
    {
    }
};

// A fleet with workers that have all confirmed the fence and may take tasks.
class ReadyFleet
{
public:
    explicit ReadyFleet(int workers)
    {
        fleet.beginTenure({1}, 0, {}, Start);
        for (int n = 0; n < workers; ++n) {
            ports::WorkerEntry entry;
            entry.id = WorkerId("w" + std::to_string(n));
            entry.service = Service;
            entry.capacity = {32000, 64000, 0};
            entry.rack = "r" + std::to_string(n);
            entry.bornMs = 1;
            fleet.noteWorker(entry, Start);
            list(entry.id, {}, Start);
        }
        fleet.noteRosterStored(fleet.roster());
    }

    void list(const WorkerId &id, ports::WorkerListing listing, TimePoint now)
    {
        listing.bornMs = 1;
        listing.clock = toMilliseconds(now - Start) + 1000;
        fleet.noteListing(id, listing, now, now);
    }

    void submit(std::uint64_t key, const jobs::StepSpec &step, TimePoint now)
    {
        AcceptedJob job;
        job.key = {key};
        job.policy.queue = "plans";
        job.policy.service = Service;
        job.policy.maxAttempts = 3;
        job.spec.steps.push_back(step);
        job.version = key;
        fleet.addJob(std::move(job), now, Wall);
    }

    NoLog log;
    Fleet fleet{log};
};

jobs::StepSpec plainStep()
{
    jobs::StepSpec step;
    step.needs = TaskSize;
    step.estimate = 1s;
    return step;
}

} // namespace

// Workers that refuse what they are sent: an order that came to nothing is no start,
// and a host that counted it as one said that nobody waits.
TEST(Fleet, CountsAJobAsWaitingUntilAWorkerHasBegunATask)
{
    struct Case
    {
        const char *name;
        std::function<void(ReadyFleet &, const StartTask &)> outcome;
        int waiting;
    };
    for (const auto &it :
         {Case{"no answer yet", [](ReadyFleet &, const StartTask &) {}, 1},
          Case{"refused as unhealthy",
               [](ReadyFleet &f, const StartTask &order) {
                   f.fleet.noteStart(order, ports::RunAnswer::Unhealthy, Start + 10ms);
               },
               1},
          Case{"unanswered",
               [](ReadyFleet &f, const StartTask &order) { f.fleet.noteStartFailed(order, true, Start + 700ms); }, 1},
          Case{"accepted",
               [](ReadyFleet &f, const StartTask &order) {
                   f.fleet.noteStart(order, ports::RunAnswer::Accepted, Start + 10ms);
               },
               0},
          Case{"unanswered, then listed",
               [](ReadyFleet &f, const StartTask &order) {
                   f.fleet.noteStartFailed(order, true, Start + 700ms);
                   ports::WorkerListing listing;
                   listing.running.push_back({order.task, order.run, {}, 10, 0});
                   f.list(order.worker, listing, Start + 800ms);
               },
               0}}) {
        SCOPED_TRACE(it.name);
        ReadyFleet ready(1);
        ready.submit(7, plainStep(), Start);
        const auto orders = ready.fleet.plan(Start, Wall);
        ASSERT_EQ(orders.starts.size(), 1U);
        it.outcome(ready, orders.starts.front());
        const auto counts = ready.fleet.waitingCounts();
        EXPECT_EQ(counts.contains("plans") ? counts.at("plans") : 0, it.waiting);
    }
}

} // namespace monsoonspool::execution
