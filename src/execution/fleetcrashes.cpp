// Crashes of workers, as event handling of Fleet: they are charged to the runs that were lost.
#include "execution/fleetstate.h"
#include "jobs/names.h"

#include <algorithm>

namespace monsoonspool::execution {

namespace {

// Returns why the crash was charged to the run's task or not. `isNoted` tells whether that changed the
// job, which is nullptr if it is not known.
std::string_view chargeReason(const TrackedJob *job, const workers::LostRun &run, bool isNoted)
{
    if (job == nullptr || !job->job.contains(run.task)) {
        return "unknown job";
    }
    if (run.evidence == workers::RunEvidence::None) {
        return "the worker may have crashed before the start";
    }
    if (isNoted) {
        return run.evidence == workers::RunEvidence::Confirmed ? "the run had begun"
                                                               : "the worker was alive at the start";
    }
    if (job->job.stepSpec(run.task.step).isLasting && run.ranFor > jobs::LastingTrialTime) {
        return "the run was at work for long";
    }
    return "the task is over or the run was charged before";
}

} // namespace

void Fleet::Private::chargeCrash(const WorkerId &worker, std::span<const workers::LostRun> runs, TimePoint now)
{
    if (runs.empty()) {
        return;
    }
    ++counts.workerCrashes;
    counts.crashedRuns += runs.size();
    for (const auto &it : runs) {
        auto *job = findJob(it.task.job);
        const bool isKnown = job != nullptr && job->job.contains(it.task);
        const bool wasOpen = isKnown && job->job.isOpen();
        const bool mayCharge = it.evidence != workers::RunEvidence::None;
        const bool isNoted = isKnown
            && (mayCharge ? job->job.noteWorkerCrash(it.task, it.number, it.ranFor)
                          : job->job.notePossibleCrash(it.task, it.number, it.ranFor));
        if (isNoted) {
            markChanged(*job, it.task);
        }
        log.record("run-crashed",
                   {{"task", it.task},
                    {"run", it.number},
                    {"worker", worker.view()},
                    {"ranForMs", toMilliseconds(it.ranFor)},
                    {"besides", runs.size() - 1},
                    {"evidence", workers::runEvidenceName(it.evidence)},
                    {"charged", mayCharge && isNoted ? 1 : 0},
                    {"reason", chargeReason(job, it, isNoted)},
                    {"crashes", isKnown ? job->job.crashCount(it.task) : 0}});
        if (isKnown) {
            jobsToPlace.insert(it.task.job);
            if (wasOpen && !job->job.isOpen()) {
                visitWorkersOf(*job);
            }
            recordIfOver(*job, wasOpen, "worker crashes", now);
        }
    }
}

void Fleet::Private::keepLostRuns(const workers::Worker &worker, TimePoint now)
{
    if (worker.hasAnnouncedLeaving()) {
        return;
    }
    const auto process = worker.process();
    const auto possible = worker.possibleRuns(now);
    for (const auto &it : possible) {
        auto *job = findJob(it.task.job);
        if (job != nullptr && job->job.contains(it.task)) {
            job->job.noteRunLost(it.task);
        }
    }
    const bool isReplaced = std::ranges::any_of(workers, [&](const workers::Worker *it) {
        return it != &worker && it->isConfirmed() && process.isReplacedBy(it->process());
    });
    if (isReplaced) {
        chargeCrash(process.worker, possible, now);
    } else {
        lostRuns.remember(process, possible, now);
    }
}

void Fleet::Private::noteHealthyRuns(workers::Worker &worker, TimePoint now)
{
    for (const auto &run : worker.runs()) {
        // A crash under an earlier run may be known only since this one started.
        if (!run.isLasting || run.state != workers::RunState::Running) {
            continue;
        }
        auto *job = findJob(run.task.job);
        if (job != nullptr && job->job.noteHealthyRun(run.task, now - run.answeredAt)) {
            markChanged(*job, run.task);
        }
    }
}

} // namespace monsoonspool::execution
