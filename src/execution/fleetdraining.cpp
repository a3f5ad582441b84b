// Work on workers that announce that they leave.
#include "execution/fleetstate.h"
#include "jobs/names.h"

#include <algorithm>

namespace monsoonspool::execution {

namespace {

// A task is moved off a draining worker unless it is expected to end at least this long
// before the worker leaves.
constexpr Duration DrainMargin = 500ms;
// Within this time, a worker stops a run and lists its end.
constexpr Duration MaxStopTime = 1s;
// Tasks may take less than expected by this factor.
constexpr int MaxOverestimate = 2;
constexpr int FullPercent = 100;

// Returns the time that the run still needs: by its step's expected run time, or by its own
// progress if it is slower than that.
Duration expectedTimeLeft(const workers::Run &run, Duration expected, TimePoint now)
{
    const auto byEstimate = expected * (FullPercent - run.percent) / FullPercent;
    if (run.answeredAt == TimePoint()) {
        return byEstimate;
    }
    // The time before this leader saw the run is not known.
    const int gained = run.percent - run.adoptedPercent;
    const auto byProgress = gained > 0 ? (run.progressedAt - run.answeredAt) * (FullPercent - run.percent) / gained
                                       : now - run.answeredAt - expected;
    return std::max(byEstimate, byProgress);
}

} // namespace

// Moves work off a draining worker while the ends can still be listed: what runs there when
// it leaves starts elsewhere only once its lease has expired. A stop also keeps a start order
// that is still on its way from being carried out.
void Fleet::Private::drainWorker(workers::Worker &worker, TimePoint now)
{
    const auto departure = worker.departure();
    if (!departure) {
        return;
    }
    const Duration timeLeft = *departure - now;
    for (auto &run : worker.runs()) {
        auto *job = findJob(run.task.job);
        if (run.state == workers::RunState::Stopping || job == nullptr) {
            continue;
        }
        refreshExpectedRunTimes(*job, now);
        const auto &spec = job->job.stepSpec(run.task.step);
        const auto left = expectedTimeLeft(run, expectedRunTime(*job, run), now);
        // A stop loses the work of a task without checkpoints, so it is put off while the task may
        // still end.
        const bool mayStillEnd = timeLeft > MaxStopTime + DrainMargin && left < timeLeft * MaxOverestimate;
        const bool isLost = left + DrainMargin > timeLeft && (spec.hasCheckpoints || !mayStillEnd);
        if (!spec.isLasting && !isLost) {
            continue;
        }
        log.record("run-drained",
                   {{"task", run.task},
                    {"run", run.number},
                    {"worker", worker.entry().id.view()},
                    {"percent", run.percent},
                    {"leftMs", toMilliseconds(left)},
                    {"departsInMs", toMilliseconds(timeLeft)}});
        requestStop(run);
    }
}

} // namespace monsoonspool::execution
