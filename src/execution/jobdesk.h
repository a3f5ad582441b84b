#pragma once

#include "execution/fleet.h"
#include "execution/rowcodec.h"
#include "ports/changestore.h"
#include "ports/scheduler.h"

#include <functional>
#include <memory>

namespace monsoonspool::execution {

// A question for changes is answered at least once a second while the store is well.
constexpr Duration StoreContactTimeout = 2s;

// What a client is told of its call.
enum class JobAnswer {
    Accepted, // stored, now or earlier
    NotAccepted, // certainly not stored, and never will be by this call
    Unknown, // may be stored; the client should ask again with the same key
};

struct JobStatus
{
    bool isKnown = false;
    jobs::JobState state = jobs::JobState::Queued;
};

// Clients' calls on jobs, on any host: each is answered from the store, which
// judges between hosts. A job is accepted once, whatever is retried, late or lost:
// its rows are written on the condition that there are none.
//
// Lives on the control thread.
class JobDesk
{
public:
    JobDesk(ports::ChangeStore &store, ports::Scheduler &scheduler, const RowCodec &codec, DecisionLog &log);
    ~JobDesk();
    JobDesk(const JobDesk &) = delete;
    JobDesk &operator=(const JobDesk &) = delete;

    // Notes that the store answered this host. While it has not for StoreSilence,
    // calls are answered at once: the client is better served elsewhere, or later.
    void recordContact(TimePoint now);

    // Replies by `deadline` at the latest.
    void submit(AcceptedJob job, TimePoint deadline, std::function<void(JobAnswer)> reply);
    // Fails with StoreUnavailable if the store does not answer until `deadline`.
    void status(jobs::JobKey key, TimePoint deadline, ports::Handler<JobStatus> reply);
    void cancel(jobs::JobKey key, TimePoint deadline, ports::Handler<JobStatus> reply);

private:
    struct Private;
    std::shared_ptr<Private> d;
};

} // namespace monsoonspool::execution
