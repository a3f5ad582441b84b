#pragma once

#include "common/decisionlog.h"
#include "execution/rowcodec.h"
#include "membership/leadership.h"
#include "ports/changestore.h"
#include "ports/scheduler.h"

#include <functional>
#include <memory>
#include <span>
#include <string>

namespace monsoonspool::execution {

// Answers how many jobs of a queue have not started.
//
// The leader counts them, and all hosts read its counts in its row. While these are too old, a
// host reads the row again and, if that does not help, adds the jobs that were accepted since,
// which it reads from the store. Such a count includes jobs that the leader has started meanwhile.
//
// Used only on the control thread.
class WaitingCounter
{
public:
    struct Hooks
    {
        // Returns the leader's counts as this host knows them.
        std::function<membership::WaitingCounts()> leaderCounts;
        // The leader's row as read again.
        std::function<void(std::span<const ports::StoredRow>)> onLeaderRows;
    };

    WaitingCounter(ports::ChangeStore &store, ports::Scheduler &scheduler, const RowCodec &codec, DecisionLog &log,
                   Hooks hooks);
    ~WaitingCounter();
    WaitingCounter(const WaitingCounter &) = delete;
    WaitingCounter &operator=(const WaitingCounter &) = delete;

    // Fails with StoreUnavailable if there is no recent count by `deadline`. May call `reply` at
    // once.
    void count(std::string queue, TimePoint deadline, const ports::Handler<int> &reply);

private:
    struct Private;
    std::shared_ptr<Private> d;
};

} // namespace monsoonspool::execution
