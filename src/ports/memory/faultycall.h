#pragma once

#include "ports/asyncresult.h"
#include "ports/faultplan.h"
#include "ports/scheduler.h"

#include <utility>

namespace monsoonspool::ports::memory {

// Runs `effect` and hands its result to `handler` after the fault's delay.
// A refused call has no effect and fails with StoreUnavailable; a call whose
// reply is lost has its effect and fails with `lostKind`.
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
