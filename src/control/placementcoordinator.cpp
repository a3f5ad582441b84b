#include "control/placementcoordinator.h"

#include "membership/rendezvous.h"

#include <algorithm>
#include <map>
#include <set>
#include <unordered_map>

namespace monsoonspool::control {

namespace {

constexpr std::string_view PartitionPrefix = "placement/";
// Time without a reply after which a call fails.
constexpr Duration CallTimeout = 5s;
constexpr std::size_t MaxListedJobs = 1'000;
constexpr Duration PlanInterval = 40ms;

// Returns the job whose submission or cancellation an entry records, if any.
const JobId *submittedOrCancelled(const placement::LogEntry &entry)
{
    if (const auto *submitted = std::get_if<placement::JobSubmitted>(&entry)) {
        return &submitted->job;
    }
    const auto *cancelled = std::get_if<placement::JobCancelled>(&entry);
    return cancelled ? &cancelled->job : nullptr;
}

} // namespace

PartitionName placementPartition(const FailureDomain &domain)
{
    return PartitionName(std::string(PartitionPrefix) + domain.text());
}

FailureDomain domainOfPartition(const PartitionName &partition)
{
    const auto text = partition.view();
    return text.starts_with(PartitionPrefix) ? FailureDomain(text.substr(PartitionPrefix.size())) : FailureDomain();
}

struct PlacementCoordinator::Private
{
    // A reply that is sent once the job's log entries are committed.
    struct PendingReply
    {
        JobCall call;
        JobId job;
    };
    struct Owned
    {
        Owned(Epoch ownerEpoch, PlacementLogStore::Options logOptions, PlacementPorts &ports)
            : epoch(ownerEpoch), log(std::move(logOptions), ports.table, ports.objects, ports.codec)
        {
        }
        Epoch epoch;
        PlacementLogStore log;
        std::unique_ptr<placement::Partition> partition; // once loaded
        std::vector<PendingReply> replies; // for jobs with uncommitted entries
        std::multiset<JobId> unrecorded; // jobs whose submission or cancellation is not committed yet
        TimePoint nextPlan;
        // Disables pending handlers of platform calls when ownership ends.
        std::shared_ptr<bool> isAlive = std::make_shared<bool>(true);

        ~Owned()
        {
            *isAlive = false;
        }
        Owned(const Owned &) = delete;
        Owned &operator=(const Owned &) = delete;
    };
    struct PendingCall
    {
        JobHandler handler;
        TimePoint deadline;
        std::size_t missingReplies = 1;
        JobReply collected;
    };

    PlacementCoordinatorOptions options;
    membership::Ownership &ownership;
    PlacementPorts ports;
    PeerLink &peers;
    std::map<FailureDomain, std::unique_ptr<Owned>> owned;
    std::map<FailureDomain, std::vector<ports::ListedWorker>> workers;
    std::unordered_map<TeamName, std::int64_t> quotas;
    std::unordered_map<std::uint64_t, PendingCall> pendingCalls;
    std::uint64_t nextCall = 1;
    TimePoint now;

    void onLoaded(Owned &it, const FailureDomain &domain, LoadedPlacement loaded);
    void runPartition(const FailureDomain &domain, Owned &it);
    void onCommitted(Owned &it, std::span<const placement::LogEntry> entries);
    void sendOrder(Owned &it, const placement::WorkerOrder &order);
    void call(JobCall call);
    void callAboutJob(JobCall::Kind kind, const JobId &job, JobHandler handler);
    std::uint64_t addPendingCall(JobHandler handler, std::size_t replies);
    void answer(const JobCall &call, JobReply reply);
    void executeLocally(const JobCall &call);
    Result<JobReply> execute(Owned &it, const JobCall &call, bool &mustCommit);
    void appendNewEntries(Owned &it);
    FailureDomain domainForKey(std::string_view key) const;
    std::optional<FailureDomain> domainOfJob(const JobId &job) const;
};

PlacementCoordinator::PlacementCoordinator(PlacementCoordinatorOptions options, membership::Ownership &ownership,
                                           PlacementPorts ports, PeerLink &peers)
    : d(new Private{std::move(options), ownership, ports, peers, {}, {}, {}, {}, 1, {}})
{
}

PlacementCoordinator::~PlacementCoordinator() = default;

void PlacementCoordinator::noteOwnership(const membership::OwnershipEvent &event, TimePoint now)
{
    d->now = now;
    const auto domain = domainOfPartition(event.partition);
    if (domain.isEmpty()) {
        return;
    }
    d->owned.erase(domain);
    if (event.change == membership::OwnershipChange::Lost) {
        return;
    }
    PlacementLogStore::Options logOptions;
    logOptions.partition = event.partition;
    logOptions.epoch = event.epoch;
    logOptions.fenceVersion = event.claimVersion;
    logOptions.window = d->options.logWindow;
    auto &it = *(d->owned[domain] = std::make_unique<Private::Owned>(event.epoch, logOptions, d->ports));
    it.log.load(now, [this, &it, domain](LoadedPlacement loaded) { d->onLoaded(it, domain, std::move(loaded)); });
}

void PlacementCoordinator::Private::onLoaded(Owned &it, const FailureDomain &domain, LoadedPlacement loaded)
{
    placement::PartitionOptions partitionOptions;
    partitionOptions.name = PartitionName(domain.view());
    partitionOptions.epoch = it.epoch;
    partitionOptions.times = options.times;
    partitionOptions.scoring = options.scoring;
    it.partition = std::make_unique<placement::Partition>(partitionOptions, now);
    it.partition->restore(loaded.jobs, loaded.entries, now);
    it.partition->setWorkers(workers[domain]);
    it.partition->setQuotas(quotas);
    it.log.setCommittedHandler([this, &it](std::span<const placement::LogEntry> entries) { onCommitted(it, entries); });
}

void PlacementCoordinator::setWorkers(std::span<const ports::ListedWorker> workers)
{
    d->workers.clear();
    for (const auto &it : workers) {
        d->workers[it.domain].push_back(it);
    }
    for (auto &[domain, it] : d->owned) {
        if (it->partition) {
            it->partition->setWorkers(d->workers[domain]);
        }
    }
}

void PlacementCoordinator::setQuotas(const std::unordered_map<TeamName, std::int64_t> &milliCores)
{
    d->quotas = milliCores;
    for (auto &[domain, it] : d->owned) {
        if (it->partition) {
            it->partition->setQuotas(milliCores);
        }
    }
}

void PlacementCoordinator::tick(TimePoint now)
{
    d->now = now;
    for (auto &[domain, it] : d->owned) {
        d->runPartition(domain, *it);
    }
    std::vector<std::uint64_t> expired;
    for (const auto &[id, it] : d->pendingCalls) {
        if (now >= it.deadline) {
            expired.push_back(id);
        }
    }
    for (const auto id : expired) {
        auto node = d->pendingCalls.extract(id);
        JobReply reply;
        reply.failure = Failure{ErrorKind::StoreReplyLost, "the owner of the job's partition did not reply in time"};
        node.mapped().handler(reply);
    }
}

void PlacementCoordinator::Private::runPartition(const FailureDomain &domain, Owned &it)
{
    const auto allJobs = [&it] {
        std::vector<const placement::Job *> jobs;
        for (const auto &[id, job] : it.partition->jobs().jobs()) {
            jobs.push_back(&job);
        }
        return jobs;
    };
    const bool mayDecide = ownership.mayDecide(placementPartition(domain), now);
    if (it.partition && mayDecide && now >= it.nextPlan) {
        it.nextPlan = now + PlanInterval;
        it.partition->plan(now);
    }
    if (it.partition) {
        appendNewEntries(it);
    }
    it.log.tick(allJobs, now);
    if (!it.partition || !mayDecide || it.log.isFenced()) {
        return;
    }
    for (const auto &order : it.partition->dueOrders(now)) {
        sendOrder(it, order);
    }
}

void PlacementCoordinator::Private::onCommitted(Owned &it, std::span<const placement::LogEntry> entries)
{
    it.partition->noteCommitted(entries, now);
    std::set<JobId> committed;
    for (const auto &entry : entries) {
        if (const auto *job = submittedOrCancelled(entry)) {
            committed.insert(*job);
            it.unrecorded.extract(*job);
        }
    }
    std::erase_if(it.replies, [&](const PendingReply &pending) {
        if (!committed.contains(pending.job) || it.unrecorded.contains(pending.job)) {
            return false;
        }
        JobReply reply;
        handleFailure(
            [&]() -> Result<void> {
                BOOST_LEAF_AUTO(view, it.partition->view(pending.job));
                reply.jobs.push_back(std::move(view));
                return {};
            },
            [&](const Failure &failure) { reply.failure = failure; });
        answer(pending.call, std::move(reply));
        return true;
    });
}

void PlacementCoordinator::Private::sendOrder(Owned &it, const placement::WorkerOrder &order)
{
    const auto ignore = [](const ports::AsyncResult<ports::Done> &) {};
    auto &agent = ports.workers;
    if (const auto *start = std::get_if<placement::StartAttempt>(&order)) {
        agent.start(
            start->worker, start->order,
            [this, &it, alive = it.isAlive, startOrder = *start](const ports::AsyncResult<ports::Done> &result) {
                if (*alive) {
                    it.partition->noteStartReply(startOrder, result, now);
                }
            });
    } else if (const auto *stop = std::get_if<placement::StopAttempt>(&order)) {
        agent.stop(stop->worker, it.epoch, stop->attempt, ignore);
    } else if (const auto *checkpoint = std::get_if<placement::CheckpointAttempt>(&order)) {
        agent.checkpoint(checkpoint->worker, it.epoch, checkpoint->attempt, ignore);
    } else if (const auto *throttle = std::get_if<placement::ThrottleAttempt>(&order)) {
        agent.throttle(throttle->worker, it.epoch, throttle->attempt, throttle->processorShare, ignore);
    } else if (const auto *renew = std::get_if<placement::RenewWorker>(&order)) {
        agent.renew(renew->worker, it.epoch, renew->lease, renew->acknowledged,
                    [this, &it, alive = it.isAlive, worker = renew->worker,
                     sentAt = now](const ports::AsyncResult<ports::WorkerReport> &result) {
                        if (*alive) {
                            it.partition->noteReport(worker, result, sentAt, now);
                        }
                    });
    }
}

FailureDomain PlacementCoordinator::Private::domainForKey(std::string_view key) const
{
    std::vector<EntryHostId> names;
    for (const auto &[domain, listed] : workers) {
        if (!listed.empty()) {
            names.emplace_back(domain.view());
        }
    }
    const auto ranked = membership::rankedOwners(PartitionName(key), names);
    return ranked.empty() ? FailureDomain() : FailureDomain(ranked.front().view());
}

std::optional<FailureDomain> PlacementCoordinator::Private::domainOfJob(const JobId &job) const
{
    const auto dash = job.view().rfind('-');
    if (dash == std::string_view::npos) {
        return std::nullopt;
    }
    const FailureDomain domain(job.view().substr(0, dash));
    return workers.contains(domain) || owned.contains(domain) ? std::optional(domain) : std::nullopt;
}

std::uint64_t PlacementCoordinator::Private::addPendingCall(JobHandler handler, std::size_t replies)
{
    const auto id = nextCall++;
    pendingCalls[id] = PendingCall{std::move(handler), now + CallTimeout, replies, {}};
    return id;
}

void PlacementCoordinator::submit(const placement::JobSpec &spec, TimePoint now, JobHandler handler)
{
    d->now = now;
    const auto domain = d->domainForKey(spec.team.text() + "/" + spec.key);
    if (domain.isEmpty()) {
        handler({0, Failure{ErrorKind::CapacityExceeded, "no workers are listed"}, {}});
        return;
    }
    const auto id = d->addPendingCall(std::move(handler), 1);
    d->call({id, d->options.host, domain, JobCall::Kind::Submit, spec, {}, {}});
}

void PlacementCoordinator::cancel(const JobId &job, TimePoint now, JobHandler handler)
{
    d->now = now;
    d->callAboutJob(JobCall::Kind::Cancel, job, std::move(handler));
}

void PlacementCoordinator::view(const JobId &job, TimePoint now, JobHandler handler)
{
    d->now = now;
    d->callAboutJob(JobCall::Kind::View, job, std::move(handler));
}

void PlacementCoordinator::Private::callAboutJob(JobCall::Kind kind, const JobId &job, JobHandler handler)
{
    const auto domain = domainOfJob(job);
    if (!domain) {
        handler({0, Failure{ErrorKind::UnknownResource, "job " + job.text() + " does not exist"}, {}});
        return;
    }
    const auto id = addPendingCall(std::move(handler), 1);
    call({id, options.host, *domain, kind, {}, job, {}});
}

void PlacementCoordinator::list(const TeamName &team, TimePoint now, JobHandler handler)
{
    d->now = now;
    std::vector<FailureDomain> domains;
    for (const auto &[domain, listed] : d->workers) {
        domains.push_back(domain);
    }
    if (domains.empty()) {
        handler({});
        return;
    }
    const auto id = d->addPendingCall(std::move(handler), domains.size());
    for (const auto &domain : domains) {
        d->call({id, d->options.host, domain, JobCall::Kind::List, {}, {}, team});
    }
}

void PlacementCoordinator::Private::call(JobCall call)
{
    if (owned.contains(call.domain)) {
        executeLocally(call);
        return;
    }
    const auto owner = ownership.ownerOf(placementPartition(call.domain));
    if (owner && *owner != options.host) {
        peers.send(*owner, call);
        return;
    }
    answer(call,
           {0,
            Failure{ErrorKind::StoreUnavailable, "failure domain " + call.domain.text() + " has no owner at present"},
            {}});
}

void PlacementCoordinator::handleCall(const JobCall &call, TimePoint now)
{
    d->now = now;
    d->executeLocally(call);
}

void PlacementCoordinator::Private::executeLocally(const JobCall &call)
{
    const auto it = owned.find(call.domain);
    if (it == owned.end() || !it->second->partition) {
        answer(call,
               {0,
                Failure{ErrorKind::StoreUnavailable,
                        "failure domain " + call.domain.text() + " is not loaded on this host"},
                {}});
        return;
    }
    bool mustCommit = false;
    const auto reply = handleFailure([&] { return execute(*it->second, call, mustCommit); },
                                     [](const Failure &failure) {
                                         return JobReply{0, failure, {}};
                                     });
    if (mustCommit) {
        it->second->replies.push_back({call, reply.jobs.front().id});
    } else {
        answer(call, reply);
    }
}

Result<JobReply> PlacementCoordinator::Private::execute(Owned &it, const JobCall &call, bool &mustCommit)
{
    auto &partition = *it.partition;
    JobReply reply;
    if (call.kind == JobCall::Kind::List) {
        reply.jobs = partition.list(call.team, MaxListedJobs);
        return reply;
    }
    JobId id = call.job;
    if (call.kind == JobCall::Kind::Submit) {
        BOOST_LEAF_ASSIGN(id, partition.submit(call.spec, now));
    } else if (call.kind == JobCall::Kind::Cancel) {
        BOOST_LEAF_CHECK(partition.cancel(id));
    }
    BOOST_LEAF_AUTO(view, partition.view(id));
    reply.jobs.push_back(std::move(view));
    // A job is reported as submitted or cancelled only after that is committed.
    appendNewEntries(it);
    mustCommit = call.kind != JobCall::Kind::View && it.unrecorded.contains(id);
    return reply;
}

// Appends new entries to the log, and notes the jobs that they submit or cancel.
void PlacementCoordinator::Private::appendNewEntries(Owned &it)
{
    auto entries = it.partition->takeEntries();
    for (const auto &entry : entries) {
        if (const auto *job = submittedOrCancelled(entry)) {
            it.unrecorded.insert(*job);
        }
    }
    it.log.append(std::move(entries));
}

void PlacementCoordinator::Private::answer(const JobCall &call, JobReply reply)
{
    reply.id = call.id;
    if (call.from != options.host) {
        peers.send(call.from, reply);
        return;
    }
    const auto it = pendingCalls.find(reply.id);
    if (it == pendingCalls.end()) {
        return;
    }
    auto &collected = it->second.collected;
    collected.jobs.insert(collected.jobs.end(), reply.jobs.begin(), reply.jobs.end());
    if (reply.failure) {
        collected.failure = reply.failure;
    }
    if (--it->second.missingReplies == 0) {
        auto node = pendingCalls.extract(it);
        node.mapped().handler(node.mapped().collected);
    }
}

void PlacementCoordinator::handleReply(const JobReply &reply)
{
    JobCall call;
    call.id = reply.id;
    call.from = d->options.host;
    d->answer(call, reply);
}

bool PlacementCoordinator::isIdle() const
{
    return std::ranges::all_of(d->owned, [](const auto &entry) {
        return entry.second->log.isIdle() && (!entry.second->partition || !entry.second->partition->hasEntries());
    });
}

std::vector<std::pair<FailureDomain, placement::PartitionSummary>> PlacementCoordinator::summary(TimePoint now) const
{
    std::vector<std::pair<FailureDomain, placement::PartitionSummary>> rows;
    for (const auto &[domain, it] : d->owned) {
        if (it->partition) {
            rows.emplace_back(domain, it->partition->summary(now));
        }
    }
    return rows;
}

} // namespace monsoonspool::control
