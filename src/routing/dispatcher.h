#pragma once

#include "admission/admissionqueue.h"
#include "admission/flow.h"
#include "common/error.h"
#include "grants/slotmessages.h"
#include "routing/retrybudget.h"
#include "routing/slottier.h"
#include "routing/targetchooser.h"
#include "routing/targethealth.h"

#include <boost/random/mersenne_twister.hpp>

#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace monsoonspool::routing {

// The configuration of a pool, derived from the service documents.
struct PoolPlan
{
    PoolName pool;
    std::vector<admission::FlowPlan> flows;
    std::vector<RegionName> regions; // in which the pool has targets
    double retryBudget = 0.1; // retries per fresh request
    Duration timeLimit = 30s; // maximum execution time of a request

    bool operator==(const PoolPlan &) const = default;
};

// Names of the scheduling and load-balancing policies, and the random seed.
struct DispatchPolicy
{
    std::string discipline = "guaranteed-shares";
    std::string chooser = "least-expected-time";
    std::uint64_t seed = 1;
};

// A request to be assigned to a slot.
struct DispatchRequest
{
    admission::RequestId id = 0;
    admission::FlowIndex flow = 0;
    TimePoint arrival;
    TimePoint deadline;
};

// A slot assigned to a request. The request must end by `endBy`, which may be later
// than the guest's deadline.
struct Assignment
{
    admission::RequestId id = 0;
    admission::FlowIndex flow = 0;
    AcquiredSlot slot;
    bool isFar = false; // in another region
    TimePoint startedAt;
    TimePoint endBy;
};

// A queued request that is refused.
struct Refusal
{
    admission::RequestId id = 0;
    ErrorKind kind = ErrorKind::DeadlineUnreachable;
};

// Admits, queues, refuses and starts the requests of one pool at one traffic thread,
// and selects their targets. Each request that submit() or retry() accepts ends in an
// Assignment, a Refusal or a call of cancel(); each Assignment is followed by exactly
// one call of finish().
//
// The list of targets may be outdated after the process was paused, for example
// because a target has left. A dispatcher that was not called for PauseLimit starts
// no requests until confirmTargets() is called.
//
// Targets in the local region are preferred. A request goes to another region only if
// the near queue refuses it, that is, is full or cannot serve it in time.
//
// Not thread-safe: owned by one traffic thread.
class Dispatcher
{
public:
    static constexpr Duration PauseLimit = 1s;

    Dispatcher(PoolPlan plan, grants::HolderId holder, RegionName region, const DispatchPolicy &policy);

    // Applies a changed plan. Queued requests keep their positions.
    void setPlan(PoolPlan plan);

    // Sets the targets that accept new requests.
    void setAccepting(std::span<const TargetId> targets);

    std::optional<admission::FlowIndex> findFlow(const ServiceName &service, std::string_view urgency) const;

    // Admits a new request. Returns its assignment, or nullopt if it was queued.
    // Fails with QueueFull, DeadlineUnreachable or NoTarget.
    Result<std::optional<Assignment>> submit(const DispatchRequest &request, TimePoint now);

    // Admits a request again after a failed attempt at `failedTarget`, subject to the
    // retry budget. Fails as submit() does, and with RetryBudgetSpent. In that case
    // the caller may wait and call again if the request certainly has not run.
    Result<std::optional<Assignment>> retry(const DispatchRequest &request, const TargetId &failedTarget,
                                            TimePoint now);

    // Returns the backoff delay, with jitter, before retry number `attempt`.
    Duration delayBeforeRetry(int attempt);

    // Ends an assignment and releases its slot. If the target may still be running the
    // request, the slot is released only at `endBy`.
    void finish(const Assignment &assignment, AttemptResult result, TimePoint now);

    // Reports that the target list is up to date. Resumes starts after a pause.
    void confirmTargets()
    {
        m_mustConfirmTargets = false;
    }

    // Returns whether the process was paused, so that no request starts until
    // confirmTargets() is called.
    bool mustConfirmTargets() const
    {
        return m_mustConfirmTargets;
    }

    // Removes a queued request whose guest has disconnected. Returns whether it was
    // queued.
    bool cancel(admission::RequestId id);

    // Releases the slots of interrupted requests whose `endBy` has passed. Also decays
    // the slowness of idle targets.
    void freeOverdue(TimePoint now);

    // Starts queued requests while slots are free.
    std::vector<Assignment> startWaiting(TimePoint now);

    // Removes and returns the queued requests whose deadline can no longer be met.
    std::vector<Refusal> refuseUnreachable(TimePoint now);

    // Returns the slot requests that are due, to be sent to the owners of the ledgers.
    std::vector<grants::SlotRequest> dueRequests(bool isLeaving, TimePoint now);

    // Applies an offer. Fails as GrantHolder::accept() does, and with
    // UnknownResource if the dispatcher does not use the ledger.
    Result<void> accept(const grants::SlotOffer &offer);

    // Makes a slot request to the owner of `ledger` due; see GrantHolder::recall().
    void recall(const grants::LedgerKey &ledger);

    // Returns the Retry-After time for a refused request of `flow`.
    Duration retryAfter(admission::FlowIndex flow, TimePoint now) const;

    int waitingCount() const;
    int inUseCount() const;
    int heldCount() const;
    const PoolPlan &plan() const
    {
        return m_plan;
    }
    const SlotTier &near() const
    {
        return m_near;
    }
    const SlotTier &far() const
    {
        return m_far;
    }
    const TargetHealth &health() const
    {
        return m_health;
    }
    const RetryBudget &retryBudget() const
    {
        return m_retryBudget;
    }

private:
    void detectPause(TimePoint now);
    std::optional<Assignment> tryStart(SlotTier &tier, const DispatchRequest &request, const TargetId &avoid,
                                       TimePoint now);
    Result<std::optional<Assignment>> admit(const DispatchRequest &request, const TargetId &avoid, TimePoint now);
    Result<std::optional<Assignment>> admitTo(SlotTier &tier, const DispatchRequest &request, const TargetId &avoid,
                                              TimePoint now);
    void startWaitingInTier(SlotTier &tier, std::vector<Assignment> &started, TimePoint now);
    int demandOf(const SlotTier &tier) const;
    SlotTier &tierOf(const grants::LedgerKey &ledger);

    PoolPlan m_plan;
    grants::HolderId m_holder;
    RegionName m_region;
    SlotTier m_near;
    SlotTier m_far;
    std::unique_ptr<TargetChooser> m_chooser;
    TargetHealth m_health;
    RetryBudget m_retryBudget;
    boost::random::mt19937_64 m_generator;
    std::unordered_map<admission::RequestId, TargetId> m_avoidedTargets; // failed targets of queued retries
    TimePoint m_lastCallAt;
    bool m_mustConfirmTargets = false;
    std::vector<Assignment> m_possiblyRunning; // interrupted; the target may still run them
};

} // namespace monsoonspool::routing
