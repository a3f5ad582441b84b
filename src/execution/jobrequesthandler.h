#pragma once

#include "execution/fleet.h"
#include "execution/rowcodec.h"
#include "execution/tombstonelimiter.h"
#include "ports/changestore.h"
#include "ports/scheduler.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string>

namespace monsoonspool::execution {

// Without an answer for this long, the store is taken as unreachable. A healthy store
// answers each long poll for changes within 1 s.
constexpr Duration StoreContactTimeout = 2s;

// Result of a job submission as reported to the client.
enum class SubmitResult {
    Accepted, // stored, by this call or an earlier one
    NotAccepted, // certainly not stored, and this call will not store it later
    Full, // the same, since the queue's jobs take all the memory that it may use
    Invalid, // not stored, and cannot be, as the job is too large
    Cancelled, // not stored, and never will be, as the job was cancelled before
    Unknown, // may have been stored; the client should retry with the same key
};

struct JobStatus
{
    bool isKnown = false;
    jobs::JobState state = jobs::JobState::Queued;
};

// Serves client requests for jobs on any host. Each request is answered from the store,
// which arbitrates between hosts. A job is accepted once despite retried, delayed or
// lost calls: its rows are written on the condition that they do not exist. A cancellation
// of a job that is not stored writes a tombstone, so that a submission which is still under way is not
// accepted later. Clients can cancel any number of such jobs, so the tombstones are bounded; beyond the
// bounds, nothing is written and nothing promised.
//
// Used only on the control thread.
class JobRequestHandler
{
public:
    JobRequestHandler(ports::ChangeStore &store, ports::Scheduler &scheduler, const RowCodec &codec, DecisionLog &log,
                      std::function<jobs::WallTime()> wallNow);
    ~JobRequestHandler();
    JobRequestHandler(const JobRequestHandler &) = delete;
    JobRequestHandler &operator=(const JobRequestHandler &) = delete;

    // Records that the store answered this host. After StoreContactTimeout without an
    // answer, requests fail immediately, so that clients try another host or retry later.
    void recordContact(TimePoint now);
    // Records the fence of the leader row as read; jobs are stored with it.
    void recordFence(Epoch fence);
    // Records the number of tombstones in the store, as the leader's row says.
    void recordTombstones(std::size_t count);
    // Records the queues that accept no more jobs, as the leader's row says.
    void recordFullQueues(std::span<const std::string> queues);
    // Returns the number of submissions that were refused since their queue was full.
    std::uint64_t refusedByFullQueue() const;
    const TombstoneRequestCounts &tombstoneCounts() const;

    // Calls `reply` by `deadline` at the latest.
    void submit(AcceptedJob job, TimePoint deadline, std::function<void(SubmitResult)> reply);
    // Fails with StoreUnavailable if the store does not answer before `deadline`.
    void status(jobs::JobKey key, TimePoint deadline, ports::Handler<JobStatus> reply);
    // Also fails so, without an effect, if the bounds allow no tombstone.
    void cancel(jobs::JobKey key, TimePoint deadline, ports::Handler<JobStatus> reply);

private:
    struct Private;
    std::shared_ptr<Private> d;
};

} // namespace monsoonspool::execution
