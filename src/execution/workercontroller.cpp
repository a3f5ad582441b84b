#include "execution/workercontroller.h"

#include "workers/answertimes.h"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <utility>

namespace monsoonspool::execution {

namespace {

// Delay of the next renewal after a listing with ended runs, so that ends at about the
// same time share one call. These calls take up a leader's time when there are many
// workers; the delay then grows so that each call gathers more ends.
constexpr Duration EndsPause = 30ms;
constexpr Duration EndsPausePerWorker = 70us;
constexpr Duration MaxEndsPause = 150ms; // the shortest tasks run several times this long
// Added for a control thread that runs late, as a multiple of its lateness.
constexpr int EndsPausePerLateness = 3;
constexpr Duration MaxLateEndsPause = 450ms;
// After a listing without ended runs; the worker has already waited for one.
constexpr Duration NoEndsPause = 0ms;
// After a failed renewal.
constexpr Duration FailureRetryDelay = 300ms;
// A renewal that fails sooner has met a connection that the worker had ended. It is repeated once at
// once, as such a worker is not silent.
constexpr Duration MaxTimeToRepeat = 100ms;
// Of workers that have not answered yet. Enough that silent ones hold up the others no longer than
// for one timeout.
constexpr int MaxFirstRenewals = 256;
// Between checks while leases may not be renewed.
constexpr Duration SuspendedRetryDelay = 500ms;

} // namespace

struct WorkerController::Private : std::enable_shared_from_this<WorkerController::Private>
{
    Private(ports::WorkerLink &workerLink, ports::Scheduler &s, Fleet &f, Hooks h)
        : link(workerLink), scheduler(s), fleet(f), hooks(std::move(h))
    {
    }

    // The renewals of one worker: each is sent after the answer to the one before it, or once that has counted as
    // missing for FailureRetryDelay. The answer to an earlier one may still arrive.
    struct Renewals
    {
        std::uint64_t chain = 0; // changes when a renewal is not followed by the next one
        std::uint64_t sent = 0; // number of the renewal that was sent last
        std::uint64_t applied = 0; // that of the latest one whose answer was applied
        bool isSilent = false;
        TimePoint expectedAt; // when the worker should answer the renewal that was sent last
        TimePoint silentAt = TimePoint::max(); // when the worker counts as silent, if no answer comes
    };

    void renewAfter(const WorkerId &id, Duration delay)
    {
        if (delay == Duration(0)) {
            renew(id);
            return;
        }
        scheduler.runAfter(delay, [self = shared_from_this(), id, chain = renewals[id].chain] {
            if (!self->isClosed && self->isCurrent(id, chain)) {
                self->renew(id);
            }
        });
    }

    bool isCurrent(const WorkerId &id, std::uint64_t chain) const
    {
        const auto it = renewals.find(id);
        return it != renewals.end() && it->second.chain == chain;
    }

    void renew(const WorkerId &id)
    {
        const auto *entry = fleet.entryOf(id);
        if (entry == nullptr) {
            renewals.erase(id);
            repeatedRenewals.erase(id);
            link.closeConnections(id);
            noteFirstAnswer(id);
            return;
        }
        if (!hooks.mayDecide()) {
            renewAfter(id, SuspendedRetryDelay);
            return;
        }
        const auto sentAt = scheduler.now();
        auto order = fleet.leaseOrder(id, sentAt);
        auto &known = renewals[id];
        const auto timeout = answerTimes.timeout(entry->domain, sentAt);
        if (timeout > workers::AnswerTimes::ShortestTimeout) {
            order.patience = ports::LateAnswerPatience; // rather than to ask again without end on a full link
        }
        const auto chain = known.chain;
        const auto number = ++known.sent;
        const bool isAwaitedLonger = !known.isSilent && order.patience > ports::WorkerAnswerTimeout;
        known.expectedAt = sentAt + order.wait;
        known.silentAt = isAwaitedLonger ? known.expectedAt + timeout : TimePoint::max();
        scheduleCheck(known.silentAt);
        link.renew(*entry, order,
                   [self = shared_from_this(), id, chain, number, sentAt,
                    wait = order.wait](const ports::AsyncResult<ports::WorkerListing> &result) {
                       if (!self->isClosed) {
                           self->onListing(id, chain, number, sentAt, wait, result);
                       }
                       if (!self->isClosed) {
                           self->noteFirstAnswer(id);
                       }
                   });
    }

    void countWorkers()
    {
        std::map<FailureDomain, std::size_t> counts;
        for (const auto &[id, it] : renewals) {
            if (const auto *entry = fleet.entryOf(id)) {
                ++counts[entry->domain];
            }
        }
        for (const auto &[domain, count] : counts) {
            answerTimes.setWorkerCount(domain, count);
        }
    }

    // One timer serves all workers: nearly all answer before it ends.
    void scheduleCheck(TimePoint time)
    {
        if (time >= checkAt) {
            return;
        }
        checkAt = time;
        scheduler.runAfter(time - scheduler.now(), [self = shared_from_this(), time] {
            if (!self->isClosed && time == self->checkAt) {
                self->checkSilence();
            }
        });
    }

    // Workers whose answers are overdue count as silent, and are asked again on another connection.
    void checkSilence()
    {
        const auto now = scheduler.now();
        checkAt = TimePoint::max();
        noteOverdueAnswers(now);
        auto next = TimePoint::max();
        for (auto &[id, it] : renewals) {
            if (it.silentAt <= now) {
                const auto *entry = fleet.entryOf(id);
                it.silentAt = entry == nullptr ? now : it.expectedAt + answerTimes.timeout(entry->domain, now);
            }
            if (it.silentAt <= now) {
                it.chain = ++lastChain;
                it.silentAt = TimePoint::max();
                markSilent(id);
            }
            next = std::min(next, it.silentAt);
        }
        scheduleCheck(next);
    }

    void noteOverdueAnswers(TimePoint now)
    {
        for (const auto &[id, it] : renewals) {
            const auto *entry = it.silentAt < TimePoint::max() && it.expectedAt < now ? fleet.entryOf(id) : nullptr;
            if (entry != nullptr) {
                answerTimes.note(entry->domain, id, now - it.expectedAt, now);
            }
        }
        answerTimes.refresh();
    }

    void markSilent(const WorkerId &id)
    {
        renewals[id].isSilent = true;
        fleet.markSilent(id, scheduler.now());
        hooks.onChange();
        renewAfter(id, FailureRetryDelay);
    }

    // A new leader reads the runs of thousands of workers. Their answers must not hold up the
    // renewals of its row, nor of workers that have answered.
    void trackNext()
    {
        while (!newWorkers.empty() && firstRenewals < MaxFirstRenewals) {
            const auto id = std::move(newWorkers.front());
            newWorkers.pop_front();
            unansweredWorkers.insert(id);
            ++firstRenewals;
            renew(id);
        }
    }

    void noteFirstAnswer(const WorkerId &id)
    {
        if (unansweredWorkers.erase(id) > 0) {
            --firstRenewals;
            trackNext();
        }
    }

    void onListing(const WorkerId &id, std::uint64_t chain, std::uint64_t number, TimePoint sentAt, Duration wait,
                   const ports::AsyncResult<ports::WorkerListing> &result)
    {
        if (!result.isOk() && result.failure().kind == ErrorKind::StaleEpoch) {
            hooks.onFenced();
            return;
        }
        const auto known = renewals.find(id);
        if (known == renewals.end() || (!result.isOk() && known->second.chain != chain)) {
            return;
        }
        const auto now = scheduler.now();
        if (!result.isOk()) {
            if (now - sentAt < MaxTimeToRepeat && repeatedRenewals.insert(id).second) {
                renew(id);
                return;
            }
            known->second.silentAt = TimePoint::max();
            markSilent(id);
            return;
        }
        if (number <= known->second.applied) {
            return; // a later renewal was answered before
        }
        if (known->second.chain != chain) {
            known->second.chain = ++lastChain; // the next renewal follows this one
        }
        if (const auto *entry = fleet.entryOf(id)) {
            answerTimes.note(entry->domain, id, now - sentAt - wait, now);
        }
        known->second.applied = number;
        known->second.silentAt = TimePoint::max();
        known->second.isSilent = false;
        repeatedRenewals.erase(id);
        fleet.applyListing(id, result.value(), sentAt, now);
        hooks.onChange();
        if (!isClosed) {
            renewAfter(id, result.value().ended.empty() ? NoEndsPause : endsPause());
        }
    }

    Duration endsPause() const
    {
        const auto pause = std::min(EndsPause + EndsPausePerWorker * static_cast<int>(renewals.size()), MaxEndsPause);
        return pause + std::min(lateness * EndsPausePerLateness, MaxLateEndsPause);
    }

    void start(const StartTask &order)
    {
        const auto *entry = fleet.entryOf(order.worker);
        const auto *job = fleet.find(order.task.job);
        if (entry == nullptr || job == nullptr) {
            return;
        }
        const ports::RunOrder run{fleet.fence(),       order.task,        order.run,
                                  job->spec().payload, order.checkpoint,  order.ticket,
                                  order.deadline,      order.startTimeMs, order.verifiesProcess};
        ++startsUnderWay;
        link.start(*entry, run,
                   [self = shared_from_this(), order,
                    sentAt = scheduler.now()](const ports::AsyncResult<ports::StartResult> &result) {
                       --self->startsUnderWay;
                       self->startRoundTrips.push_back(self->scheduler.now() - sentAt);
                       if (!self->isClosed) {
                           self->onStart(order, result);
                       }
                       if (!self->isClosed) {
                           self->hooks.onStartAnswered();
                       }
                   });
    }

    void onStart(const StartTask &order, const ports::AsyncResult<ports::StartResult> &result)
    {
        const auto now = scheduler.now();
        if (result.isOk()) {
            fleet.applyStartReply(order, result.value(), now);
            if (result.value() != ports::StartResult::Accepted) {
                hooks.onChange();
            }
            return;
        }
        const auto kind = result.failure().kind;
        if (kind == ErrorKind::StaleEpoch) {
            hooks.onFenced();
            return;
        }
        const bool maybeStarted = kind != ErrorKind::DaemonUnreachable && kind != ErrorKind::Superseded;
        fleet.applyStartFailure(order, maybeStarted, now, result.failure());
        hooks.onChange();
    }

    void stop(const StopTask &order)
    {
        const auto *entry = fleet.entryOf(order.worker);
        if (entry == nullptr) {
            return;
        }
        link.stop(*entry, fleet.fence(), order.task, order.run,
                  [self = shared_from_this(), order](const ports::AsyncResult<ports::Done> &result) {
                      if (self->isClosed) {
                          return;
                      }
                      if (result.isOk()) {
                          self->fleet.confirmStop(order, self->scheduler.now());
                          self->hooks.onChange();
                      } else if (result.failure().kind == ErrorKind::StaleEpoch) {
                          self->hooks.onFenced();
                      } else {
                          self->fleet.applyStopFailure(order, self->scheduler.now());
                      }
                  });
    }

    void pace(const PaceTask &order)
    {
        const auto *entry = fleet.entryOf(order.worker);
        if (entry == nullptr) {
            return;
        }
        link.pace(*entry, fleet.fence(), order.task, order.run, order.percent,
                  [self = shared_from_this(), order](const ports::AsyncResult<ports::Done> &result) {
                      if (!self->isClosed && !result.isOk()) {
                          self->fleet.applyPaceFailure(order);
                      }
                  });
    }

    void query(const QueryRuns &order)
    {
        const auto *entry = fleet.entryOf(order.worker);
        if (entry == nullptr) {
            return;
        }
        ports::LeaseOrder request; // extends no lease and acknowledges nothing
        request.fence = fleet.fence();
        link.renew(*entry, request,
                   [self = shared_from_this(), order,
                    sentAt = scheduler.now()](const ports::AsyncResult<ports::WorkerListing> &result) {
                       if (self->isClosed) {
                           return;
                       }
                       const auto now = self->scheduler.now();
                       if (result.isOk()) {
                           self->fleet.applyQueryAnswer(order, result.value(), sentAt, now);
                       } else if (result.failure().kind == ErrorKind::StaleEpoch) {
                           self->hooks.onFenced();
                           return;
                       } else {
                           self->fleet.applyQueryFailure(order, now);
                       }
                       self->hooks.onChange();
                   });
    }

    ports::WorkerLink &link;
    ports::Scheduler &scheduler;
    Fleet &fleet;
    Hooks hooks;
    std::map<WorkerId, Renewals> renewals; // of the workers that are tracked
    std::uint64_t lastChain = 0;
    workers::AnswerTimes answerTimes;
    TimePoint checkAt = TimePoint::max(); // of the next check for overdue answers
    std::set<WorkerId> repeatedRenewals; // of workers whose last renewal failed at once
    std::deque<WorkerId> newWorkers; // their first renewal was not sent yet
    std::set<WorkerId> unansweredWorkers; // their first renewal has no answer yet
    int firstRenewals = 0; // without an answer
    int startsUnderWay = 0;
    std::vector<Duration> startRoundTrips;
    Duration lateness{0};
    bool isClosed = false;
};

WorkerController::WorkerController(ports::WorkerLink &link, ports::Scheduler &scheduler, Fleet &fleet, Hooks hooks)
    : d(std::make_shared<Private>(link, scheduler, fleet, std::move(hooks)))
{
}

WorkerController::~WorkerController()
{
    d->isClosed = true;
}

void WorkerController::trackWorkers()
{
    bool hasNew = false;
    for (const auto &it : d->fleet.workerIds()) {
        const auto [renewals, isNew] = d->renewals.try_emplace(it);
        if (isNew) {
            hasNew = true;
            renewals->second.chain = ++d->lastChain;
            d->newWorkers.push_back(it);
        }
    }
    if (hasNew) {
        d->countWorkers();
    }
    d->trackNext();
}

int WorkerController::startsUnderWay() const
{
    return d->startsUnderWay;
}

std::vector<Duration> WorkerController::takeStartRoundTrips()
{
    return std::exchange(d->startRoundTrips, {});
}

void WorkerController::setLateness(Duration lateness)
{
    d->lateness = lateness;
}

void WorkerController::dispatch(const Orders &orders)
{
    for (const auto &it : orders.stops) {
        d->stop(it);
    }
    for (const auto &it : orders.starts) {
        d->start(it);
    }
    for (const auto &it : orders.repeatedStarts) {
        d->start(it);
    }
    for (const auto &it : orders.paces) {
        d->pace(it);
    }
    for (const auto &it : orders.queries) {
        d->query(it);
    }
}

} // namespace monsoonspool::execution
