// Evacuation of failure domains: their workers get no new tasks, and keep those that they run.
#include "execution/fleetstate.h"

#include <algorithm>
#include <utility>

namespace monsoonspool::execution {

void Fleet::setEvacuations(const membership::Evacuations &evacuations)
{
    const bool isChanged = !d->evacuations || d->evacuations->domains() != evacuations.domains();
    d->evacuations = evacuations;
    if (!isChanged) {
        return;
    }
    for (auto *it : d->workers) {
        d->applyEvacuations(*it);
    }
    std::erase_if(d->reportedEvacuations, [&](const FailureDomain &it) { return evacuations.mayTakeTasks(it); });
}

void Fleet::Private::applyEvacuations(workers::Worker &worker) const
{
    worker.setEvacuated(evacuations && !evacuations->mayTakeTasks(worker.entry().domain));
}

TimePoint Fleet::Private::evacuationsUsableUntil() const
{
    return evacuations ? evacuations->startsValidUntil() : TimePoint::max();
}

std::vector<EvacuatedDomain> Fleet::Private::evacuatedDomains() const
{
    std::vector<EvacuatedDomain> evacuated;
    if (!evacuations) {
        return evacuated;
    }
    for (auto &domain : evacuations->domains()) {
        evacuated.push_back({std::move(domain), 0, 0, 0});
    }
    for (const auto *worker : workers) {
        const auto it = std::ranges::lower_bound(evacuated, worker->entry().domain, {}, &EvacuatedDomain::domain);
        if (it != evacuated.end() && it->domain == worker->entry().domain) {
            ++it->workers;
            it->unheardWorkers += worker->isSilent() || !worker->isConfirmed() ? 1 : 0;
            it->runs += static_cast<std::size_t>(worker->runCount());
        }
    }
    return evacuated;
}

// Once per evacuation, when the entries of the workers have been read.
void Fleet::Private::reportEvacuations()
{
    if (!evacuations || !workersReadAt || reportedEvacuations.size() == evacuations->domains().size()) {
        return;
    }
    for (const auto &it : evacuatedDomains()) {
        if (!reportedEvacuations.insert(it.domain).second) {
            continue;
        }
        log.record(
            it.workers == 0 ? "evacuation-without-workers" : "evacuation-followed",
            {{"domain", it.domain.view()}, {"workers", it.workers}, {"unheard", it.unheardWorkers}, {"runs", it.runs}});
    }
}

} // namespace monsoonspool::execution
