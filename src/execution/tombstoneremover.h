#pragma once

#include "execution/rowcodec.h"
#include "execution/tombstoneschedule.h"
#include "ports/changestore.h"
#include "ports/scheduler.h"

#include <memory>

namespace monsoonspool::execution {

// Shown in the state dump and metrics of the leader.
struct TombstoneCounts
{
    std::size_t stored = 0;
    Duration oldestAge{0}; // since this leader read it
    std::uint64_t removed = 0; // in this term
};

// Removes the tombstones of cancelled jobs that can no longer be needed, in batches and on the
// condition that they have not changed. What is left when a term ends is removed by the next leader.
//
// Used only on the control thread.
class TombstoneRemover
{
public:
    TombstoneRemover(ports::ChangeStore &store, ports::Scheduler &scheduler, const RowCodec &codec, DecisionLog &log);
    ~TombstoneRemover();
    TombstoneRemover(const TombstoneRemover &) = delete;
    TombstoneRemover &operator=(const TombstoneRemover &) = delete;

    // Records a row that was read, written or removed by the commit `version`.
    void noteRead(jobs::JobKey job, std::uint64_t version);
    void noteRemoved(jobs::JobKey job, std::uint64_t version);
    void removeIfDue(TimePoint now);
    TombstoneCounts counts(TimePoint now) const;

private:
    struct Private;
    std::shared_ptr<Private> d;
};

} // namespace monsoonspool::execution
