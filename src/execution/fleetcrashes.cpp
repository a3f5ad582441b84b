// Crashes of workers, as event handling of Fleet: they are charged to the runs that were lost.
#include "execution/fleetstate.h"
#include "jobs/names.h"

#include <algorithm>

namespace monsoonspool::execution {

void Fleet::Private::chargeCrash(const WorkerId &worker, std::span<const workers::LostRun> runs, TimePoint)
{
    if (runs.empty()) {
        return;
    }
    ++counts.workerCrashes;
    counts.crashedRuns += runs.size();
    for (const auto &it : runs) {
        log.record("run-crashed",
                   {{"task", jobs::taskName(it.task)},
                    {"run", it.number},
                    {"worker", worker.view()},
                    {"ranForMs", toMilliseconds(it.ranFor)},
                    {"besides", runs.size() - 1}});
    }
}

void Fleet::Private::keepLostRuns(const workers::Worker &worker, TimePoint now)
{
    if (worker.hasAnnouncedLeaving()) {
        return;
    }
    const auto process = worker.process();
    const bool isReplaced = std::ranges::any_of(workers, [&](const workers::Worker *it) {
        return it != &worker && it->isConfirmed() && process.isReplacedBy(it->process());
    });
    if (isReplaced) {
        chargeCrash(process.worker, worker.confirmedRuns(now), now);
    } else {
        lostRuns.remember(process, worker.confirmedRuns(now), now);
    }
}

} // namespace monsoonspool::execution
