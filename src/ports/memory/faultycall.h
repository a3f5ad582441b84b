#pragma once

#include "ports/asyncresult.h"
#include "ports/faultplan.h"
#include "ports/scheduler.h"

#include <utility>

namespace monsoonspool::ports::memory {

// Runs `effect` after the fault's delay and passes its result to `handler`. A refused call
// fails with StoreUnavailable and has no effect. A call whose reply is lost takes effect
// and fails with `lostKind`.
template <typename T, typename F>
void callWithFault(Scheduler &scheduler, const Fault &fault, ErrorKind lostKind, F effect, Handler<T> handler)
{
    scheduler.runAfter(fault.delay,
                       [fault, lostKind, effect = std::move(effect), handler = std::move(handler)]() mutable {
                           if (fault.isRefused) {
                               handler(Failure{ErrorKind::StoreUnavailable, "the platform refused the call"});
                               return;
                           }
                           AsyncResult<T> result = effect();
                           if (fault.isReplyLost) {
                               handler(Failure{lostKind, "the reply was lost"});
                               return;
                           }
                           handler(result);
                       });
}

} // namespace monsoonspool::ports::memory
