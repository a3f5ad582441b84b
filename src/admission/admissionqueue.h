#pragma once

#include "admission/flow.h"
#include "admission/queuediscipline.h"
#include "common/error.h"
#include "common/time.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <vector>

namespace monsoonspool::admission {

using RequestId = std::uint64_t; // unique within one traffic thread

// A queued request.
struct WaitingRequest
{
    RequestId id = 0;
    FlowIndex flow = 0;
    TimePoint arrival;
    TimePoint deadline;
};

// Flow statistics for the state dump.
struct FlowSummary
{
    FlowPlan plan;
    int waiting = 0;
    int inUse = 0;
    std::uint64_t started = 0;
    std::uint64_t refusedFull = 0;
    std::uint64_t refusedLate = 0;
    Duration expectedWait{0};
    Duration meanService{0};
};

// The queue of the requests of one pool that wait for a slot at one traffic thread.
//
// Rules:
//  - Within a flow requests are served by earliest deadline first. The
//    QueueDiscipline selects the flow.
//  - A request may wait as long as its deadline can be met. It is refused on
//    arrival if the queue of its flow is full, or if the predicted wait, from the
//    measured interval between starts of the flow, exceeds the deadline.
//  - A queued request whose deadline has become unreachable is never started.
//
// Every operation is at most logarithmic in the number of queued requests.
// Not thread-safe: owned by one traffic thread.
class AdmissionQueue
{
public:
    AdmissionQueue(std::span<const FlowPlan> flows, std::unique_ptr<QueueDiscipline> discipline);
    ~AdmissionQueue();
    AdmissionQueue(const AdmissionQueue &) = delete;
    AdmissionQueue &operator=(const AdmissionQueue &) = delete;

    // Updates the parameters of the flows and adds new ones. Flows keep their queued
    // requests. A flow is never removed, because requests may still refer to it.
    void setFlows(std::span<const FlowPlan> flows);

    // Returns the flow of an urgency class of `service`, if it exists.
    std::optional<FlowIndex> findFlow(const ServiceName &service, std::string_view urgency) const;

    // Adds a request to the queue of its flow.
    // Fails with QueueFull or DeadlineUnreachable.
    Result<void> push(const WaitingRequest &request, TimePoint now);

    // Returns whether a new request of `flow` may start without queueing.
    bool mayBypassQueue(FlowIndex flow, int usableSlots, int freeSlots) const;

    // Removes and returns the request that gets the next free slot, if any.
    // Guaranteed shares are fractions of `usableSlots`.
    std::optional<WaitingRequest> pop(int usableSlots, TimePoint now);

    // Re-inserts a request that pop() returned but that could not be started.
    void requeue(const WaitingRequest &request);

    // Removes a request whose guest has disconnected. Returns whether it was queued.
    bool remove(RequestId id);

    // Removes and returns the requests whose deadline can no longer be met.
    std::vector<WaitingRequest> removeUnreachable(TimePoint now);

    // Records that a request of `flow` acquired a slot, or that it ended after the
    // service time `service`. Only answered requests update the service times.
    void recordStart(FlowIndex flow, TimePoint now);
    void recordEnd(FlowIndex flow, Duration service, bool wasAnswered);

    // Returns the predicted wait of a request at the end of the queue of `flow`, 0 if
    // the rate of starts is not known.
    Duration expectedWait(FlowIndex flow, TimePoint now) const;

    // Returns the moving average of the service times of `flow`, 0 before the first
    // answer.
    Duration meanService(FlowIndex flow) const;

    int waitingCount() const;
    std::vector<FlowSummary> summary(TimePoint now) const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace monsoonspool::admission
