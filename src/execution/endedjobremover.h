#pragma once

#include "execution/removalschedule.h"
#include "execution/rowcodec.h"
#include "execution/tombstonebounds.h"
#include "ports/changestore.h"
#include "ports/scheduler.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace monsoonspool::execution {

// The job's row is of use only to a new leader that finds runs of the job. It is removed this long after the
// last of them has ended.
inline constexpr Duration JobRowLifetime = 5s;
// The progress row of a job that is over answers requests for its status, and keeps a submission that is still
// under way from being accepted a second time.
inline constexpr Duration ProgressMargin = 60s;
inline constexpr Duration ProgressLifetime = StatusTime + ProgressMargin;
static_assert(ProgressLifetime >= LatestSubmission + ProgressMargin);

// Shown in the state dump and metrics of the leader.
struct EndedJobCounts
{
    std::size_t jobRows = 0; // that are to be removed
    std::size_t progressRows = 0; // likewise
    std::uint64_t removed = 0; // of both, in this term
};

// Removes the rows of jobs that are over: their job rows soon, and their progress once nobody may ask for it. All
// removals require that the row is unchanged. What is left when a term ends is removed by the next leader.
//
// Used only on the control thread.
class EndedJobRemover
{
public:
    // Calls `onForgotten` with each job of which no row is left.
    EndedJobRemover(ports::ChangeStore &store, ports::Scheduler &scheduler, const RowCodec &codec, DecisionLog &log,
                    std::function<void(jobs::JobKey)> onForgotten);
    ~EndedJobRemover();
    EndedJobRemover(const EndedJobRemover &) = delete;
    EndedJobRemover &operator=(const EndedJobRemover &) = delete;

    // Records that nothing of a job runs any more and that its end is stored. `version` is that of its row.
    void noteOver(jobs::JobKey job, std::uint64_t version, bool isCancelled);
    // Records the version of the progress row of such a job.
    void noteProgress(jobs::JobKey job, std::uint64_t version);
    // Records that a further section of its progress is stored.
    void noteSection(jobs::JobKey job, int section);
    void removeIfDue(TimePoint now);
    EndedJobCounts counts() const;

private:
    struct Private;
    std::shared_ptr<Private> d;
};

} // namespace monsoonspool::execution
