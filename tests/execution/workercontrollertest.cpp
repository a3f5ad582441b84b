#include "execution/workercontroller.h"

#include "ports/virtualscheduler.h"

#include <gtest/gtest.h>

#include <deque>
#include <string>

namespace monsoonspool::execution {

namespace {

constexpr int WorkerCount = 1000;
constexpr std::size_t MaxFirstRenewals = 256;

class SilentLog : public DecisionLog
{
public:
    void record(std::string_view, std::initializer_list<DecisionField>) override
    {
    }
};

// Keeps the renewals until the test answers them.
class HeldLink : public ports::WorkerLink
{
public:
    void renew(const ports::WorkerEntry &, const ports::LeaseOrder &,
               ports::Handler<ports::WorkerListing> handler) override
    {
        renewals.push_back(std::move(handler));
    }
    void start(const ports::WorkerEntry &, const ports::RunOrder &, ports::Handler<ports::StartResult>) override
    {
    }
    void stop(const ports::WorkerEntry &, Epoch, const jobs::TaskId &, jobs::RunNumber,
              ports::Handler<ports::Done>) override
    {
    }
    void pace(const ports::WorkerEntry &, Epoch, const jobs::TaskId &, jobs::RunNumber, int,
              ports::Handler<ports::Done>) override
    {
    }
    void closeConnections(const WorkerId &) override
    {
    }

    std::deque<ports::Handler<ports::WorkerListing>> renewals;
};

} // namespace

// A new leader was late at once, since a thousand workers answered its first renewals together.
TEST(WorkerController, ANewLeaderReadsItsWorkersInPieces)
{
    ports::VirtualScheduler clock;
    SilentLog log;
    Fleet fleet(log);
    HeldLink link;
    fleet.beginTerm({1}, 0, {}, clock.now(), clock.now());
    for (int n = 0; n < WorkerCount; ++n) {
        ports::WorkerEntry entry;
        entry.id = WorkerId("w" + std::to_string(n));
        entry.startTimeMs = 1;
        fleet.updateWorker(entry, clock.now());
    }
    WorkerController controller(link, clock, fleet, {[] {}, [] {}, [] {}, [] { return true; }});
    controller.trackWorkers();
    int answered = 0;
    for (; answered < WorkerCount; ++answered) {
        ASSERT_FALSE(link.renewals.empty()) << "after " << answered;
        ASSERT_LE(link.renewals.size(), MaxFirstRenewals + static_cast<std::size_t>(answered));
        const auto handler = std::move(link.renewals.front());
        link.renewals.pop_front();
        // A silent worker is asked again later, which takes nothing from the others.
        constexpr int silentShare = 5;
        if (answered % silentShare == 0) {
            handler(Failure{ErrorKind::StoreReplyLost, "no answer"});
        } else {
            handler(ports::WorkerListing{1000, 1, {}, {}, false});
        }
    }
}

// Guards against taking a worker as silent, which gets no tasks, since it has ended a connection between
// two renewals.
TEST(WorkerController, ARenewalOnAnEndedConnectionIsRepeated)
{
    ports::VirtualScheduler clock;
    SilentLog log;
    Fleet fleet(log);
    HeldLink link;
    fleet.beginTerm({1}, 0, {}, clock.now(), clock.now());
    ports::WorkerEntry entry;
    entry.id = WorkerId("w0");
    entry.startTimeMs = 1;
    fleet.updateWorker(entry, clock.now());
    WorkerController controller(link, clock, fleet, {[] {}, [] {}, [] {}, [] { return true; }});
    controller.trackWorkers();
    const auto answer = [&](const ports::AsyncResult<ports::WorkerListing> &result) {
        ASSERT_EQ(link.renewals.size(), 1U);
        const auto handler = std::move(link.renewals.front());
        link.renewals.pop_front();
        handler(result);
    };
    for (int n = 0; n < 3; ++n) {
        answer(ports::WorkerListing{1000, 1, {}, {}, false});
        answer(Failure{ErrorKind::StoreReplyLost, "end of file"});
        EXPECT_EQ(fleet.fullCounts().silentWorkers, 0U);
    }
    answer(Failure{ErrorKind::StoreReplyLost, "end of file"});
    EXPECT_EQ(fleet.fullCounts().silentWorkers, 1U) << "two failures one after the other";
}

} // namespace monsoonspool::execution
