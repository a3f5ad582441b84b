#pragma once

#include "execution/fleet.h"
#include "execution/rowcodec.h"
#include "ports/changestore.h"
#include "ports/scheduler.h"

#include <memory>

namespace monsoonspool::execution {

// Hands what one leader learned of interference to the next, who would else place work
// for some ten seconds as if nothing disturbed anybody. Nothing else rests on the row:
// it is written without a condition, and a lost write is made good by the next.
//
// Lives on the control thread.
class InterferencePersister
{
public:
    // Reads the row at once.
    InterferencePersister(ports::ChangeStore &store, ports::Scheduler &scheduler, const RowCodec &codec, Fleet &fleet,
                          DecisionLog &log);
    ~InterferencePersister();
    InterferencePersister(const InterferencePersister &) = delete;
    InterferencePersister &operator=(const InterferencePersister &) = delete;

    // Writes the row if that is due.
    void writeIfDue(TimePoint now);

private:
    struct Private;
    std::shared_ptr<Private> d;
};

} // namespace monsoonspool::execution
