// Changes of leader, as seen by Fleet: what former leaders may have started, and for how long.
#include "execution/fleetstate.h"
#include "jobs/names.h"

#include <algorithm>
#include <tuple>

namespace monsoonspool::execution {

namespace {

// Every host reads the row.
constexpr std::size_t MaxSilentWorkers = 64;
// Of one report, so that the volume does not grow with what waits.
constexpr std::size_t MaxReportedWorkers = 8;
constexpr std::size_t MaxReportedJobs = 4;

} // namespace

void Fleet::Private::endFormerLeases(TimePoint now)
{
    if (unreportedWorkers.empty()) {
        return;
    }
    const auto certain = soleLeaderTime(now);
    // A worker that answers has a lease of this leader; its list of ends is cut.
    const auto unheard = std::erase_if(unreportedWorkers, [&](const WorkerId &id) {
        if (certain < formerLeasesEndOn(id)) {
            return false;
        }
        auto *worker = findWorker(id);
        const bool isUnheard
            = worker == nullptr || !worker->isConfirmed() || (worker->isSilent() && worker->hasLapsed(certain));
        if (isUnheard && worker != nullptr) {
            changedWorkers.insert(worker);
        }
        return isUnheard;
    });
    if (unheard > 0) {
        log.record("former-leases-over", {{"unheard", unheard}});
    }
    if (unreportedWorkers.empty()) {
        dropFinishedJobs();
    }
}

TimePoint Fleet::Private::formerLeasesEndOn(const WorkerId &worker) const
{
    const auto it = formerLeaseEnds.find(worker);
    return it == formerLeaseEnds.end() ? formerLeasesEnd : std::min(formerLeasesEnd, it->second);
}

TimePoint Fleet::Private::takeoverEnd(TimePoint now) const
{
    auto end = now;
    for (const auto &it : unreportedWorkers) {
        end = std::max(end, formerLeasesEndOn(it));
    }
    return end;
}

Duration Fleet::takeoverWait(TimePoint now) const
{
    return d->takeoverEnd(now) - now;
}

void Fleet::Private::reportTakeover(TimePoint now)
{
    if (unreportedWorkers.empty() || now < takeoverReportDueAt) {
        return;
    }
    takeoverReportDueAt = now + TakeoverReportInterval;
    const auto isListed = [&](const WorkerId &id) { return workersById.at(id)->isListed(); };
    const auto heldBack = heldBackJobs();
    log.record("takeover-waits",
               {{"fence", fence.value},
                {"afterMs", toMilliseconds(now - termBeganAt)},
                {"unreported", unreportedWorkers.size()},
                {"unlisted", unreportedWorkers.size() - std::ranges::count_if(unreportedWorkers, isListed)},
                {"firstWorker", unreportedWorkers.begin()->view()},
                {"heldBackJobs", heldBack.size()},
                {"heldBackLastingJobs",
                 std::ranges::count_if(heldBack, [](const auto *it) { return it->job.spec().isLasting(); })},
                {"formerLeasesEndInMs", toMilliseconds(formerLeasesEnd - now)},
                {"endsInMs", toMilliseconds(takeoverEnd(now) - now)}});
    reportUnreportedWorkers(now);
    reportHeldBackJobs(now);
}

void Fleet::Private::reportUnreportedWorkers(TimePoint now) const
{
    std::vector<std::pair<TimePoint, WorkerId>> waits;
    for (const auto &it : unreportedWorkers) {
        waits.emplace_back(formerLeasesEndOn(it), it);
    }
    std::ranges::sort(
        waits, [](const auto &a, const auto &b) { return std::tie(b.first, a.second) < std::tie(a.first, b.second); });
    waits.resize(std::min(waits.size(), MaxReportedWorkers));
    for (const auto &[end, id] : waits) {
        const auto &worker = *workersById.at(id);
        const bool isNamed = formerLeaseEnds.contains(id) && end < formerLeasesEnd;
        log.record("takeover-waits-for-worker",
                   {{"worker", id.view()},
                    {"isListed", worker.isListed() ? 1 : 0},
                    {"isSilent", worker.isSilent() ? 1 : 0},
                    {"holdsBack", worker.remainingJobs() ? "its jobs" : "all jobs"},
                    {"bound", isNamed ? "named silent by the former leader" : "all former leases"},
                    {"endsInMs", toMilliseconds(end - now)}});
    }
}

void Fleet::Private::reportHeldBackJobs(TimePoint now) const
{
    auto jobs = heldBackJobs();
    std::ranges::sort(jobs, [](const TrackedJob *a, const TrackedJob *b) {
        const auto rank = [](const TrackedJob *it) {
            return std::tuple(!it->job.spec().isLasting(), it->job.acceptedAt(), it->job.key());
        };
        return rank(a) < rank(b);
    });
    jobs.resize(std::min(jobs.size(), MaxReportedJobs));
    for (const auto *it : jobs) {
        log.record("takeover-holds-job",
                   {{"job", it->job.key()},
                    {"isLasting", it->job.spec().isLasting() ? 1 : 0},
                    {"runs", it->activeRuns},
                    {"ageMs", toMilliseconds(now - it->job.acceptedAt())}});
    }
}

std::vector<const TrackedJob *> Fleet::Private::heldBackJobs() const
{
    std::vector<const TrackedJob *> heldBack;
    if (unreportedWorkers.empty()) {
        return heldBack;
    }
    for (const auto &[key, it] : jobsByKey) {
        if (it->job.isOpen() && isBlockedByTakeover(*it)) {
            heldBack.push_back(it.get());
        }
    }
    return heldBack;
}

// Tasks that a former leader may have started wait until every worker on its roster where they
// may run has reported its runs, or their leases have expired. A former leader starts no task
// of a job whose accepting host knew of this leader.
bool Fleet::Private::isBlockedByTakeover(const TrackedJob &job) const
{
    if (job.knownFence > fence) {
        return true;
    }
    return job.knownFence < fence && std::ranges::any_of(unreportedWorkers, [&](const WorkerId &id) {
               const auto *worker = workersById.at(id).get();
               return !worker->remainingJobs()
                   || std::ranges::find(*worker->remainingJobs(), job.job.key()) != worker->remainingJobs()->end();
           });
}

TimePoint Fleet::Private::soleLeaderTime(TimePoint now) const
{
    return std::min(now, termRenewedAt);
}

std::vector<workers::Worker *> Fleet::Private::expireLeases(std::vector<workers::Worker *> visited, TimePoint now)
{
    const auto certain = soleLeaderTime(now);
    std::erase_if(visited, [&](workers::Worker *it) {
        if (it->isSilent() && it->hasLapsed(certain)) {
            expireRuns(*it, now, "lease expired");
        }
        const bool isGone = mayForget(*it);
        if (isGone) {
            eraseWorker(WorkerId(it->entry().id), now);
        } else {
            closeOrReopen(*it);
        }
        return isGone;
    });
    return visited;
}

void Fleet::noteTermRenewed(TimePoint sentAt, TimePoint termEnd)
{
    d->termRenewedAt = sentAt;
    d->termEnd = termEnd;
    for (auto *it : d->workers) {
        it->noteTermRenewed(sentAt);
    }
}

std::vector<membership::SilentWorker> Fleet::takeSilentWorkers(TimePoint now, Duration minSilence)
{
    std::vector<membership::SilentWorker> silent;
    d->takenSilent.clear();
    for (const auto *it : d->workers) {
        if (silent.size() == MaxSilentWorkers) {
            break;
        }
        const auto &id = it->entry().id;
        if (!it->isSilent() || (now - it->heardUntil(now) < minSilence && !d->namedSilent.contains(id))) {
            continue;
        }
        const auto formerEnd = d->unreportedWorkers.contains(id) ? d->formerLeasesEndOn(id) : now;
        const auto end = std::max(formerEnd, now + it->leaseRemaining(now));
        silent.push_back({id, std::max(end - now, Duration(0))});
        d->takenSilent.insert(id);
    }
    // The write may be carried out even if it is reported as failed.
    auto named = d->namedSilent;
    named.insert(d->takenSilent.begin(), d->takenSilent.end());
    d->setNamedSilent(std::move(named));
    return silent;
}

void Fleet::markSilentWorkersStored()
{
    d->setNamedSilent(d->takenSilent);
}

bool Fleet::awaitsRowRenewal(TimePoint now) const
{
    const bool isTakeoverOver = std::ranges::any_of(d->unreportedWorkers, [&](const WorkerId &id) {
        const auto end = d->formerLeasesEndOn(id);
        return end <= now && d->termRenewedAt < end;
    });
    return isTakeoverOver || std::ranges::any_of(d->namedSilent, [&](const WorkerId &id) {
               const auto *worker = d->findWorker(id);
               return worker != nullptr && worker->isConfirmed() && !worker->isSilent();
           });
}

void Fleet::Private::setNamedSilent(std::set<WorkerId> named)
{
    namedSilent = std::move(named);
    for (auto *it : workers) {
        const bool isNamed = namedSilent.contains(it->entry().id);
        if (it->isNamedSilent() != isNamed) {
            it->setNamedSilent(isNamed);
            changedWorkers.insert(it);
        }
    }
}

membership::WitnessAnswers Fleet::witnessAnswers(std::span<const membership::Witness> witnesses) const
{
    membership::WitnessAnswers answers;
    for (const auto &it : witnesses) {
        const auto *worker = d->findWorker(it.worker);
        if (worker != nullptr && worker->isConfirmed()) {
            answers[it.worker] = {worker->startTimeMs(), worker->contactSentAt()};
        }
    }
    return answers;
}

std::vector<membership::WitnessCandidate> Fleet::witnessCandidates() const
{
    std::vector<membership::WitnessCandidate> candidates;
    for (const auto *it : d->workers) {
        const bool isStaying = it->isListed() && !it->entry().isDraining && !it->isRestartAnnounced();
        if (isStaying && it->isConfirmed() && !it->isSilent() && it->startTimeMs() != 0) {
            candidates.push_back({{it->entry().id, it->startTimeMs()}, it->entry().domain});
        }
    }
    return candidates;
}

void Fleet::setWitnesses(std::span<const membership::Witness> witnesses)
{
    d->witnesses.clear();
    for (const auto &it : witnesses) {
        d->witnesses.insert(it.worker);
    }
}

TimePoint Fleet::formerLeasesEnd() const
{
    return d->formerLeasesEnd;
}

void Fleet::shortenFormerLeases(TimePoint end)
{
    d->formerLeasesEnd = std::min(d->formerLeasesEnd, end);
}

TimePoint Fleet::leasesEnd(TimePoint now) const
{
    auto end = now;
    for (const auto &it : d->unreportedWorkers) {
        end = std::max(end, d->formerLeasesEndOn(it));
    }
    for (const auto *it : d->workers) {
        end = std::max(end, now + it->leaseRemaining(now));
    }
    return end;
}

// A former leader may have started its tasks before this leader read its row.
void Fleet::Private::takeOverRunsOf(TrackedJob &job)
{
    for (auto *worker : workers) {
        std::vector<workers::Run> runs;
        std::ranges::copy_if(worker->runs(), std::back_inserter(runs), [&](const workers::Run &it) {
            return it.task.job == job.job.key() && job.job.contains(it.task);
        });
        for (auto &it : runs) {
            worker->remove(it.task);
            takeOverRun(*worker, it, &job);
            changedWorkers.insert(worker);
        }
    }
}

void Fleet::Private::markReported(const WorkerId &id, TimePoint now)
{
    if (unreportedWorkers.erase(id) > 0 && unreportedWorkers.empty()) {
        log.record("takeover-complete", {{"fence", fence.value}, {"afterMs", toMilliseconds(now - termBeganAt)}});
        dropFinishedJobs();
    }
}

} // namespace monsoonspool::execution
