#pragma once

#include "execution/fleet.h"
#include "execution/rowcodec.h"
#include "ports/changestore.h"
#include "ports/scheduler.h"

#include <functional>
#include <memory>

namespace monsoonspool::execution {

// Stores what the fleet has taken in, in rounds: the progress of all changed jobs
// first, and only then the acknowledgement of the ends that changed them. Each row
// is written on the condition that it is as last read, so that neither a former
// leader nor a cancellation is overwritten.
//
// Lives on the control thread.
class ProgressWriter
{
public:
    ProgressWriter(ports::ChangeStore &store, ports::Scheduler &scheduler, const RowCodec &codec, Fleet &fleet,
                   DecisionLog &log);
    ~ProgressWriter();
    ProgressWriter(const ProgressWriter &) = delete;
    ProgressWriter &operator=(const ProgressWriter &) = delete;

    // Notes the version of a job's progress row.
    void recordVersion(jobs::JobKey key, std::uint64_t version);
    // Starts a round soon if there is something to store or acknowledge.
    void requestWrite();

private:
    struct Private;
    std::shared_ptr<Private> d;
};

} // namespace monsoonspool::execution
