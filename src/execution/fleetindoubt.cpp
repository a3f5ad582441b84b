// Runs of Fleet whose start order failed without an answer: the worker is asked at once what has become
// of them. A run that is waited for instead makes its task stand still.
//
// A run is gone once the worker does not list it in an answer to a request that was sent after a stop was
// confirmed: from then on the worker rejects the run. While a repeated order is under way, that is not
// decided.
#include "execution/fleetstate.h"
#include "jobs/names.h"

#include <algorithm>

namespace monsoonspool::execution {

namespace {

// An order that fails sooner than this after the plan has probably met a connection that had ended. It is sent
// once more, which the worker answers alike whether or not it has received the first one. An order that
// has waited for an answer may have started the task, which a listing shows with less delay.
constexpr Duration MaxTimeToRepeat = 300ms;
// Pause between the queries of one worker.
constexpr Duration QueryPause = 20ms;
constexpr Duration QueryRetryDelay = 150ms;

bool lists(const ports::WorkerListing &listing, const workers::Run &run)
{
    const auto isSame = [&](const auto &it) { return it.task == run.task && it.run == run.number; };
    return std::ranges::any_of(listing.running, isSame) || std::ranges::any_of(listing.ended, isSame);
}

} // namespace

bool Fleet::Private::isGone(const workers::Run &run, ports::WorkerMillis clock, TimePoint sentAt)
{
    const bool isExpired = run.startDeadline != 0 && clock > run.startDeadline + workers::LeaseMargin;
    const bool wasAnswered = run.answeredAt != TimePoint() && sentAt > run.answeredAt;
    switch (run.state) {
    case workers::RunState::Ordered:
        return false;
    case workers::RunState::Unanswered:
        return sentAt > run.unansweredAt && isExpired && !run.isRepeatUnderWay;
    case workers::RunState::Running:
        return wasAnswered;
    case workers::RunState::Stopping:
        return (run.isStopConfirmed && sentAt > run.stopConfirmedAt) || wasAnswered || isExpired;
    }
    return false;
}

bool Fleet::Private::mayRepeatStart(const workers::Run &run, TimePoint now)
{
    return run.mayRepeatStart && now - run.orderedAt < MaxTimeToRepeat;
}

bool Fleet::Private::repeatStart(const workers::Worker &worker, workers::Run &run, TimePoint now, Orders &orders)
{
    const auto *job = findJob(run.task.job);
    if (!mayRepeatStart(run, now) || job == nullptr || worker.isTooLateToStart(run, now)) {
        return false;
    }
    run.mayRepeatStart = false;
    run.wasStartRepeated = true;
    run.isRepeatUnderWay = true;
    log.record("start-repeated", {{"task", run.task}, {"run", run.number}, {"worker", worker.entry().id.view()}});
    orders.repeatedStarts.push_back({worker.entry().id,
                                     run.task,
                                     run.number,
                                     job->job.task(run.task).checkpoint,
                                     {},
                                     run.startDeadline,
                                     worker.startTimeMs(),
                                     run.isVerified});
    return true;
}

void Fleet::Private::settleRunsInDoubt(workers::Worker &worker, TimePoint now, Orders &orders)
{
    if (worker.isSilent() || !worker.isConfirmed()) {
        return;
    }
    bool needsQuery = false;
    for (auto &run : worker.runs()) {
        if (!run.isInDoubt() || run.isRepeatUnderWay) {
            continue;
        }
        if (run.state == workers::RunState::Unanswered && repeatStart(worker, run, now, orders)) {
            continue;
        }
        // A stop has to be confirmed before a listing tells more, unless the order has expired.
        const bool awaitsStop = run.state == workers::RunState::Stopping && !run.isStopConfirmed;
        needsQuery = needsQuery || !awaitsStop || worker.isTooLateToStart(run, now);
    }
    if (needsQuery && worker.isQueryDue(now)) {
        worker.noteQuerySent();
        orders.queries.push_back({worker.entry().id});
    }
}

// A refusal tells about the repeated order only, unless the worker says that it has ended the run: the
// first order may have started it. The query that follows shows which.
void Fleet::Private::applyRepeatRefusal(workers::Run &run, ports::StartResult answer, TimePoint now)
{
    if (answer == ports::StartResult::Superseded) {
        run.isKnownEnded = true;
        run.answeredAt = now;
        if (run.state == workers::RunState::Unanswered) {
            run.state = workers::RunState::Running;
        }
    }
}

void Fleet::applyQueryAnswer(const QueryRuns &query, const ports::WorkerListing &listing, TimePoint sentAt,
                             TimePoint now)
{
    auto *worker = d->findWorker(query.worker);
    if (worker == nullptr) {
        return;
    }
    d->changedWorkers.insert(worker);
    const bool isOfOtherProcess = listing.startTimeMs != 0 && listing.startTimeMs != worker->startTimeMs();
    if (isOfOtherProcess || listing.isTruncated || worker->isSilent()) {
        worker->noteQueryEnded(now + QueryRetryDelay);
        return; // the renewals tell more
    }
    worker->noteQueryEnded(now + QueryPause);
    std::vector<jobs::TaskId> gone;
    for (auto &run : worker->runs()) {
        if (!run.isInDoubt()) {
            continue;
        }
        if (lists(listing, run)) {
            // An end is applied with the renewal that lists it.
            const bool isRunning
                = std::ranges::find(listing.running, run.task, &ports::ListedRun::task) != listing.running.end();
            if (isRunning) {
                // A renewal that was sent after the query may have been answered before the run began.
                d->confirmListedRun(run, now, now);
            }
        } else if (Private::isGone(run, listing.clock, sentAt)) {
            gone.push_back(run.task);
        } else if (run.state == workers::RunState::Unanswered && sentAt > run.unansweredAt && !run.isRepeatUnderWay) {
            d->requestStop(run);
        }
    }
    for (const auto &it : gone) {
        d->log.record("run-gone", {{"task", it}, {"worker", query.worker.view()}});
        if (!worker->find(it)->isStopConfirmed) {
            worker->noteOrderUnanswered(now); // its task must not meet it again at once
        }
        d->endRun(*worker, it, jobs::RunEnd::Stopped, {}, now);
    }
}

void Fleet::applyQueryFailure(const QueryRuns &query, TimePoint now)
{
    if (auto *worker = d->findWorker(query.worker)) {
        worker->noteQueryEnded(now + QueryRetryDelay);
        d->changedWorkers.insert(worker);
    }
}

} // namespace monsoonspool::execution
