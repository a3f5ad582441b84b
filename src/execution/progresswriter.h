#pragma once

#include "execution/fleet.h"
#include "execution/rowcodec.h"
#include "ports/changestore.h"
#include "ports/scheduler.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <utility>
#include <vector>

namespace monsoonspool::execution {

// Persists the fleet's job progress in rounds: stores all changed sections, in several
// commits if they exceed the limits of one, and only then acknowledges the run ends that
// changed them. A job whose progress does not fit into rows is given up. Each row is written on the
// condition that it has not changed since it was last read, so that neither a former
// leader's write nor a cancellation is overwritten, and that no other host has claimed
// leadership: a successor reads the progress once.
//
// Used only on the control thread.
class ProgressWriter
{
public:
    // `claimVersion` is the version of the claim's commit. Calls `onFenced` when a later
    // claim has refused a write.
    ProgressWriter(ports::ChangeStore &store, ports::Scheduler &scheduler, const RowCodec &codec, Fleet &fleet,
                   DecisionLog &log, std::uint64_t claimVersion, std::function<void()> onFenced);
    ~ProgressWriter();
    ProgressWriter(const ProgressWriter &) = delete;
    ProgressWriter &operator=(const ProgressWriter &) = delete;

    // Records the version of the row of a section.
    void recordVersion(const jobs::ProgressSection &section, std::uint64_t version);
    // Returns the numbers and versions of the stored sections of a job that is over, and forgets them.
    std::vector<std::pair<int, std::uint64_t>> takeVersions(jobs::JobKey key);
    // Schedules a round unless one is in progress.
    void requestWrite();

private:
    struct Private;
    std::shared_ptr<Private> d;
};

} // namespace monsoonspool::execution
