#pragma once

#include "execution/fleet.h"
#include "execution/rowcodec.h"
#include "ports/changestore.h"
#include "ports/scheduler.h"

#include <memory>

namespace monsoonspool::execution {

// Passes the learned interference model from one leader to the next, which would
// otherwise place work for about ten seconds as if no work interfered with other work.
// Nothing else depends on the row: it is written unconditionally, and the next write
// makes up for a lost one.
//
// Used only on the control thread.
class InterferencePersister
{
public:
    // Starts to read the stored row.
    InterferencePersister(ports::ChangeStore &store, ports::Scheduler &scheduler, const RowCodec &codec, Fleet &fleet,
                          DecisionLog &log);
    ~InterferencePersister();
    InterferencePersister(const InterferencePersister &) = delete;
    InterferencePersister &operator=(const InterferencePersister &) = delete;

    // Writes the row if the write interval has passed and the stored row has been read.
    void writeIfDue(TimePoint now);

private:
    struct Private;
    std::shared_ptr<Private> d;
};

} // namespace monsoonspool::execution
