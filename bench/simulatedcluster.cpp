#include "bench/simulatedcluster.h"

#include "codec/cborrows.h"
#include "codec/peercbor.h"

#include <boost/random/uniform_01.hpp>
#include <boost/random/uniform_int_distribution.hpp>

#include <ctime>
#include <deque>
#include <map>
#include <optional>
#include <unordered_map>

namespace monsoonspool::bench {

namespace {

using routing::AttemptResult;

constexpr Duration LaneTickInterval = 10ms;
constexpr Duration ThreadHandoffDelay = 30us; // between a lane and the control thread, in either direction
constexpr Duration PeerRefusalDelay = 150ms; // until peers notice that a dead process's port is closed
constexpr double DuplicateProbability = 0.01; // of each message, while messages are lost
constexpr Duration BaseJitter = 2ms;
constexpr Duration BalancerDetectionDelay = 2s; // until the platform's load balancer detects an unresponsive host
constexpr int MaxAttempts = 4;
constexpr std::uint64_t BytesPerRequest = 2048; // request and answer together, over the link between regions

double processorSeconds()
{
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

} // namespace

ports::Fault SwitchableFaultPlan::next(std::string_view name, std::uint64_t, TimePoint)
{
    if (name.starts_with("worker")) {
        return {1ms, false, false};
    }
    const bool isLost
        = replyLossProbability > 0 && boost::random::uniform_01<double>()(m_generator) < replyLossProbability;
    return {delay, isDown, isLost};
}

// One entry host.
struct SimulatedCluster::Node : control::PeerLink, control::LaneLink
{
    Node(SimulatedCluster::Private &cluster, std::size_t nodeIndex, EntryHostId nodeId, int nodeRegion,
         std::uint64_t run);

    int laneCount() const override
    {
        return 1;
    }
    void deliver(int lane, const control::LaneOrder &order) override;
    void send(const EntryHostId &to, const control::PeerMessage &message) override;
    void setPeers(std::span<const membership::EntryHostState>) override
    {
    }

    void run(std::function<void()> f);
    void runAfter(Duration delay, std::function<void()> f);
    void runOnControlThread(const std::function<void()> &f);

    void on(const control::SnapshotOrder &order);
    void on(const control::OfferOrder &order);
    void on(const control::RecallOrder &order);
    void on(const control::TargetsConfirmedOrder &order);
    template <typename Order>
    void on(const Order &)
    {
    }

    struct Pending
    {
        SimulatedRequest request;
        int attempts = 0;
        bool mayHaveRun = false;
        bool isReplied = false; // the guest has received its answer or error
        std::optional<routing::Assignment> assignment;
    };

    void tickControl();
    void tickLane();
    void dispatchWaiting(routing::Dispatcher &dispatcher);
    void requestSlots(routing::Dispatcher &dispatcher);
    routing::Dispatcher *dispatcherOf(const SimulatedRequest &request);
    void submit(const SimulatedRequest &request);
    void admit(GuestRequestId id, const std::optional<TargetId> &failedTarget);
    void start(const routing::Assignment &assignment);
    void onAttemptResult(GuestRequestId id, const routing::Assignment &assignment, AttemptResult result);
    void scheduleRetry(GuestRequestId id, const TargetId &failedTarget);
    void onDeadline(GuestRequestId id);
    void refuse(Pending &pending, ErrorKind kind);

    SimulatedCluster::Private &d;
    std::size_t index;
    EntryHostId id;
    int region;
    std::uint64_t incarnation;
    bool isDead = false;
    bool isPaused = false;
    bool isConfirming = false;
    TimePoint pausedAt;
    std::deque<std::function<void()>> deferred;
    NodePlatform platform;
    std::unique_ptr<control::ControlLoop> loop;
    std::map<PoolName, std::unique_ptr<routing::Dispatcher>> dispatchers;
    std::unordered_map<GuestRequestId, Pending> pendingRequests;
    NodeStats stats;
};

struct SimulatedCluster::Private
{
    Private(Simulation &clusterSimulation, ClusterOptions clusterOptions)
        : simulation(clusterSimulation), options(clusterOptions), faults(clusterOptions.seed + 1),
          platform(clusterSimulation.scheduler(), faults, Duration{500ms}), generator(clusterOptions.seed)
    {
    }

    void publishHostList();
    std::shared_ptr<Node> makeNode(std::size_t index, int region, std::uint64_t incarnation);
    void applyDocuments();
    void kill(std::size_t n);
    void setPaused(std::size_t n, bool isPaused);
    void setRegionsDisconnected(bool areDisconnected);
    double randomUnit()
    {
        return boost::random::uniform_01<double>()(generator);
    }

    Simulation &simulation;
    ClusterOptions options;
    SwitchableFaultPlan faults;
    emulator::EmulatedPlatform platform;
    boost::random::mt19937_64 generator;
    codec::CborRows rowCodec;
    codec::CborRecords recordCodec;
    codec::CborPlacement placementCodec;
    std::vector<std::shared_ptr<Node>> nodes;
    std::map<EntryHostId, std::size_t> nodeIndexById;
    bool areRegionsDisconnected = false;
    double messageLossProbability = 0;
    bool hasAppliedDocuments = false;
    std::uint64_t linkBytes = 0;
    NodeStats killedNodeStats; // of nodes that were killed
};

SimulatedCluster::Node::Node(SimulatedCluster::Private &cluster, std::size_t nodeIndex, EntryHostId nodeId,
                             int nodeRegion, std::uint64_t nodeIncarnation)
    : d(cluster), index(nodeIndex), id(std::move(nodeId)), region(nodeRegion), incarnation(nodeIncarnation),
      platform({cluster.simulation.scheduler(), cluster.platform.table, cluster.platform.objects,
                cluster.platform.hosts, cluster.platform.workers},
               [this](std::function<void()> f) { run([this, f = std::move(f)] { runOnControlThread(f); }); })
{
    control::ControlOptions options;
    options.host = id;
    options.incarnation = incarnation;
    options.peerAddress = {"127.0.0.1", static_cast<std::uint16_t>(index + 1)};
    options.region = RegionName(d.simulation.scenario().regions[static_cast<std::size_t>(region)].name);
    options.maxEntryHosts = 9;
    options.startWindow = d.options.startWindow;
    options.seed = d.options.seed + index;
    loop = std::make_unique<control::ControlLoop>(options,
                                                  control::ControlPorts{platform, platform, platform, platform,
                                                                        d.rowCodec, d.placementCodec, d.recordCodec,
                                                                        *this, *this});
}

// Runs `f` now, after the process resumes if it is paused, or never if it is dead.
void SimulatedCluster::Node::run(std::function<void()> f)
{
    if (isDead) {
        return;
    }
    if (isPaused) {
        deferred.push_back(std::move(f));
        return;
    }
    f();
}

void SimulatedCluster::Node::runAfter(Duration delay, std::function<void()> f)
{
    d.simulation.scheduler().runAfter(delay, [self = d.nodes[index], f = std::move(f)] { self->run(f); });
}

// Runs `f` as work of the control thread, and accounts its processor time.
void SimulatedCluster::Node::runOnControlThread(const std::function<void()> &f)
{
    if (!d.options.measuresCpu) {
        f();
        return;
    }
    const double before = processorSeconds();
    f();
    stats.cpuSeconds += processorSeconds() - before;
}

void SimulatedCluster::Node::tickControl()
{
    runOnControlThread([this] { loop->tick(d.simulation.now()); });
    runAfter(control::ControlLoop::TickInterval, [this] { tickControl(); });
}

void SimulatedCluster::Node::tickLane()
{
    for (auto &[pool, dispatcher] : dispatchers) {
        dispatcher->freeOverdue(d.simulation.now());
        dispatchWaiting(*dispatcher);
        requestSlots(*dispatcher);
        if (dispatcher->mustConfirmTargets() && !isConfirming) {
            isConfirming = true;
            runAfter(ThreadHandoffDelay, [this] {
                runOnControlThread([&] { loop->onLaneEvent(control::ConfirmTargetsEvent{0}, d.simulation.now()); });
            });
        }
    }
    runAfter(LaneTickInterval, [this] { tickLane(); });
}

void SimulatedCluster::Node::on(const control::TargetsConfirmedOrder &)
{
    isConfirming = false;
    for (auto &[pool, dispatcher] : dispatchers) {
        dispatcher->confirmTargets();
        dispatchWaiting(*dispatcher);
    }
}

void SimulatedCluster::Node::deliver(int, const control::LaneOrder &order)
{
    runAfter(ThreadHandoffDelay, [this, order] { std::visit([this](const auto &it) { on(it); }, order); });
}

void SimulatedCluster::Node::send(const EntryHostId &to, const control::PeerMessage &message)
{
    const auto it = d.nodeIndexById.find(to);
    if (it == d.nodeIndexById.end()) {
        return;
    }
    const auto peer = d.nodes[it->second];
    const auto bytes = codec::encodePeerMessage(message).size();
    ++stats.messages;
    stats.bytes += bytes;
    const bool isFar = peer->region != region;
    if (isFar) {
        stats.farBytes += bytes;
        d.linkBytes += bytes;
    }
    const bool isLost = (isFar && d.areRegionsDisconnected)
        || (d.messageLossProbability > 0 && d.randomUnit() < d.messageLossProbability);
    if (isLost) {
        return;
    }
    const int copies = d.messageLossProbability > 0 && d.randomUnit() < DuplicateProbability ? 2 : 1;
    for (int n = 0; n < copies; ++n) {
        const auto jitter = std::chrono::duration_cast<Duration>(
            BaseJitter * (d.messageLossProbability > 0 ? d.randomUnit() * 5 : d.randomUnit() * 0.1));
        d.simulation.scheduler().runAfter(
            (isFar ? Simulation::FarDelay : Simulation::NearDelay) + jitter, [peer, message] {
                peer->run([peer, message] {
                    peer->runOnControlThread([&] { peer->loop->onPeerMessage(message, peer->d.simulation.now()); });
                });
            });
    }
}

void SimulatedCluster::Node::on(const control::SnapshotOrder &order)
{
    for (const auto &[name, plan] : order.snapshot->pools) {
        auto &dispatcher = dispatchers[name];
        if (dispatcher) {
            dispatcher->setPlan(plan);
        } else {
            const RegionName regionName(d.simulation.scenario().regions[static_cast<std::size_t>(region)].name);
            dispatcher = std::make_unique<routing::Dispatcher>(
                plan, grants::HolderId{id, incarnation, 0}, regionName,
                routing::DispatchPolicy{"guaranteed-shares", "least-expected-time", d.options.seed + index});
        }
        const auto accepting = order.snapshot->accepting.find(name);
        dispatcher->setAccepting(accepting == order.snapshot->accepting.end() ? std::span<const TargetId>()
                                                                              : accepting->second);
        requestSlots(*dispatcher);
    }
}

void SimulatedCluster::Node::on(const control::OfferOrder &order)
{
    const auto it = dispatchers.find(order.offer.ledger.pool);
    if (it == dispatchers.end()) {
        return;
    }
    handleFailure([&] { return it->second->accept(order.offer); }, [](const Failure &) {});
    dispatchWaiting(*it->second);
    requestSlots(*it->second);
}

void SimulatedCluster::Node::on(const control::RecallOrder &order)
{
    const auto it = dispatchers.find(order.ledger.pool);
    if (it != dispatchers.end()) {
        it->second->recall(order.ledger);
        requestSlots(*it->second);
    }
}

void SimulatedCluster::Node::requestSlots(routing::Dispatcher &dispatcher)
{
    for (auto &request : dispatcher.dueRequests(false, d.simulation.now())) {
        runAfter(ThreadHandoffDelay, [this, request = std::move(request)] {
            runOnControlThread([&] { loop->onLaneEvent(control::SlotRequestEvent{request}, d.simulation.now()); });
        });
    }
}

void SimulatedCluster::Node::dispatchWaiting(routing::Dispatcher &dispatcher)
{
    if (dispatcher.waitingCount() == 0) {
        return;
    }
    const TimePoint now = d.simulation.now();
    for (const auto &refusal : dispatcher.refuseUnreachable(now)) {
        auto node = pendingRequests.extract(refusal.id);
        if (!node.empty()) {
            refuse(node.mapped(), refusal.kind);
        }
    }
    for (const auto &assignment : dispatcher.startWaiting(now)) {
        start(assignment);
    }
}

routing::Dispatcher *SimulatedCluster::Node::dispatcherOf(const SimulatedRequest &request)
{
    const auto it = dispatchers.find(d.simulation.documentOf(request.flow).pool);
    return it == dispatchers.end() ? nullptr : it->second.get();
}

void SimulatedCluster::Node::submit(const SimulatedRequest &request)
{
    pendingRequests[request.id].request = request;
    admit(request.id, std::nullopt);
}

void SimulatedCluster::Node::admit(GuestRequestId requestId, const std::optional<TargetId> &failedTarget)
{
    auto &pending = pendingRequests.at(requestId);
    auto *dispatcher = dispatcherOf(pending.request);
    const auto &load = d.simulation.scenario().flows[static_cast<std::size_t>(pending.request.flow)];
    const auto flow = dispatcher ? dispatcher->findFlow(ServiceName(load.service), load.urgency) : std::nullopt;
    if (!flow) {
        auto node = pendingRequests.extract(requestId);
        refuse(node.mapped(), ErrorKind::NoTarget);
        return;
    }
    const TimePoint now = d.simulation.now();
    const routing::DispatchRequest request{requestId, *flow, pending.request.arrival, pending.request.deadline};
    const auto refused = handleFailure(
        [&]() -> Result<std::optional<ErrorKind>> {
            BOOST_LEAF_AUTO(started,
                            failedTarget ? dispatcher->retry(request, *failedTarget, now)
                                         : dispatcher->submit(request, now));
            if (started) {
                start(*started);
            } else {
                requestSlots(*dispatcher);
            }
            return std::optional<ErrorKind>();
        },
        [](const Failure &failure) { return std::optional(failure.kind); });
    if (refused == ErrorKind::RetryBudgetSpent && !pending.mayHaveRun) {
        scheduleRetry(requestId, *failedTarget);
        return;
    }
    if (refused) {
        auto node = pendingRequests.extract(requestId);
        refuse(node.mapped(), *refused);
    }
}

void SimulatedCluster::Node::start(const routing::Assignment &assignment)
{
    auto &pending = pendingRequests.at(assignment.id);
    ++pending.attempts;
    pending.assignment = assignment;
    const auto target = d.simulation.indexOf(assignment.slot.target);
    if (d.simulation.targets()[target].region != region) {
        d.linkBytes += BytesPerRequest;
    }
    if (pending.attempts == 1) {
        runAfter(pending.request.deadline - d.simulation.now(),
                 [this, requestId = assignment.id] { onDeadline(requestId); });
    }
    d.simulation.send(pending.request, target, region, [self = d.nodes[index], assignment](AttemptResult result) {
        self->run([self, assignment, result] { self->onAttemptResult(assignment.id, assignment, result); });
    });
    runAfter(assignment.endBy - d.simulation.now(),
             [this, assignment] { onAttemptResult(assignment.id, assignment, AttemptResult::TimedOut); });
}

void SimulatedCluster::Node::onDeadline(GuestRequestId requestId)
{
    const auto it = pendingRequests.find(requestId);
    if (it != pendingRequests.end() && it->second.assignment && !it->second.isReplied) {
        it->second.isReplied = true;
        d.simulation.refuse(it->second.request, ErrorKind::DeadlineExceeded);
    }
}

void SimulatedCluster::Node::onAttemptResult(GuestRequestId requestId, const routing::Assignment &assignment,
                                             AttemptResult result)
{
    const auto it = pendingRequests.find(requestId);
    const bool isCurrent = it != pendingRequests.end() && it->second.assignment
        && it->second.assignment->startedAt == assignment.startedAt
        && it->second.assignment->slot.target == assignment.slot.target;
    if (!isCurrent) {
        return;
    }
    auto &pending = it->second;
    auto &dispatcher = *dispatcherOf(pending.request);
    pending.assignment.reset();
    dispatcher.finish(assignment, result, d.simulation.now());
    dispatchWaiting(dispatcher);
    if (result == AttemptResult::Answered || result == AttemptResult::ServerError) {
        if (!pending.isReplied) {
            d.simulation.answer(pending.request, requestId);
        }
        pendingRequests.erase(requestId);
        return;
    }
    pending.mayHaveRun = pending.mayHaveRun || !routing::isCertainlyNotRun(result);
    const bool mayRetry
        = routing::isCertainlyNotRun(result) || d.simulation.documentOf(pending.request.flow).isIdempotent;
    if (pending.isReplied || pending.attempts >= MaxAttempts || !mayRetry) {
        auto node = pendingRequests.extract(requestId);
        refuse(node.mapped(), ErrorKind::TargetUnreachable);
        return;
    }
    scheduleRetry(requestId, assignment.slot.target);
}

void SimulatedCluster::Node::scheduleRetry(GuestRequestId requestId, const TargetId &failedTarget)
{
    auto &pending = pendingRequests.at(requestId);
    runAfter(dispatcherOf(pending.request)->delayBeforeRetry(pending.attempts), [this, requestId, failedTarget] {
        if (pendingRequests.contains(requestId)) {
            admit(requestId, failedTarget);
        }
    });
}

void SimulatedCluster::Node::refuse(Pending &pending, ErrorKind kind)
{
    if (pending.isReplied) {
        return;
    }
    pending.isReplied = true;
    const bool isUnknown = errorInfo(kind).outcome == Outcome::Unknown;
    d.simulation.refuse(pending.request, pending.mayHaveRun && !isUnknown ? ErrorKind::TargetFailed : kind);
}

void SimulatedCluster::Private::publishHostList()
{
    ports::HostListing listing;
    for (const auto &node : nodes) {
        const RegionName region(simulation.scenario().regions[static_cast<std::size_t>(node->region)].name);
        listing.entryHosts.push_back(
            {node->id, {"127.0.0.1", static_cast<std::uint16_t>(node->index + 1)}, region, ports::HostState::Live});
    }
    for (const auto &it : simulation.targets()) {
        const auto &region = simulation.scenario().regions[static_cast<std::size_t>(it.region)].name;
        ports::ListedTarget target;
        target.id = it.id;
        target.pool = it.pool;
        target.region = RegionName(region);
        target.domain = FailureDomain(region);
        target.state = it.isLeaving ? ports::HostState::Leaving : ports::HostState::Live;
        listing.targets.push_back(std::move(target));
    }
    platform.hosts.set(std::move(listing));
}

std::shared_ptr<SimulatedCluster::Node> SimulatedCluster::Private::makeNode(std::size_t index, int region,
                                                                            std::uint64_t incarnation)
{
    return std::make_shared<Node>(*this, index, EntryHostId("entry-" + std::to_string(index + 1)), region, incarnation);
}

void SimulatedCluster::Private::applyDocuments()
{
    if (hasAppliedDocuments || !nodes.front()->loop->documentStore().isLoaded()) {
        return;
    }
    hasAppliedDocuments = true;
    for (std::size_t n = 0; n < simulation.documents().size(); ++n) {
        const control::ApplyRequest request{simulation.documents()[n].service, simulation.scenario().documents[n],
                                            "bench", 0};
        nodes.front()->loop->documentStore().apply(request, simulation.now(), [](const control::ApplyOutcome &) {});
    }
}

SimulatedCluster::SimulatedCluster(Simulation &simulation, ClusterOptions options)
    : d(std::make_unique<Private>(simulation, options))
{
    for (std::size_t r = 0; r < simulation.scenario().regions.size(); ++r) {
        for (int n = 0; n < simulation.scenario().regions[r].entryHosts; ++n) {
            auto node = d->makeNode(d->nodes.size(), static_cast<int>(r), 1);
            d->nodeIndexById[node->id] = node->index;
            d->nodes.push_back(std::move(node));
        }
    }
    d->publishHostList();
    for (const auto &node : d->nodes) {
        node->tickControl();
        node->tickLane();
    }
    // Lets the system start up and apply the documents before the first request.
    for (int n = 0; n < 300; ++n) {
        simulation.scheduler().runFor(10ms);
        d->applyDocuments();
    }
}

SimulatedCluster::~SimulatedCluster() = default;

void SimulatedCluster::submit(const SimulatedRequest &request)
{
    // The platform's load balancer picks at random among the hosts that it has not
    // detected as dead or unresponsive, in the guest's region if there is one.
    std::vector<Node *> nearNodes;
    std::vector<Node *> reachableNodes;
    for (const auto &node : d->nodes) {
        const bool isFoundUnresponsive
            = node->isPaused && d->simulation.now() - node->pausedAt >= BalancerDetectionDelay;
        if (node->isDead || isFoundUnresponsive) {
            continue;
        }
        reachableNodes.push_back(node.get());
        if (node->region == request.region) {
            nearNodes.push_back(node.get());
        }
    }
    const auto &choice = nearNodes.empty() ? reachableNodes : nearNodes;
    if (choice.empty()) {
        d->simulation.refuse(request, ErrorKind::ShuttingDown);
        return;
    }
    auto *node = choice[boost::random::uniform_int_distribution<std::size_t>(0, choice.size() - 1)(d->generator)];
    node->run([node, request] { node->submit(request); });
}

void SimulatedCluster::Private::kill(std::size_t n)
{
    const auto node = nodes[n];
    if (node->isDead) {
        return;
    }
    node->isDead = true;
    for (auto &[id, pending] : node->pendingRequests) {
        // The guest's connection is lost.
        if (!pending.isReplied) {
            simulation.refuse(pending.request, ErrorKind::TargetFailed);
        }
    }
    node->pendingRequests.clear();
    killedNodeStats.messages += node->stats.messages;
    killedNodeStats.bytes += node->stats.bytes;
    killedNodeStats.farBytes += node->stats.farBytes;
    killedNodeStats.cpuSeconds += node->stats.cpuSeconds;
    node->stats = {};
    for (const auto &peer : nodes) {
        simulation.scheduler().runAfter(PeerRefusalDelay, [peer, id = node->id] {
            peer->run([peer, id] { peer->loop->onPeerRefused(id, peer->d.simulation.now()); });
        });
    }
}

void SimulatedCluster::Private::setPaused(std::size_t n, bool isPaused)
{
    const auto node = nodes[n];
    node->isPaused = isPaused;
    node->pausedAt = simulation.now();
    while (!node->isPaused && !node->deferred.empty()) {
        const auto f = std::move(node->deferred.front());
        node->deferred.pop_front();
        node->run(f);
    }
}

void SimulatedCluster::Private::setRegionsDisconnected(bool areDisconnected)
{
    areRegionsDisconnected = areDisconnected;
    for (const auto &node : nodes) {
        node->platform.setDisconnected(areDisconnected && node->region != 0);
    }
}

void SimulatedCluster::applyFault(const ScenarioFault &fault)
{
    using Kind = ScenarioFault::Kind;
    const auto each = [&](const std::function<void(std::size_t)> &f) {
        for (int n = 0; n < fault.count; ++n) {
            f(static_cast<std::size_t>(fault.first + n) % d->nodes.size());
        }
    };
    switch (fault.kind) {
    case Kind::KillHost:
        each([&](std::size_t n) { d->kill(n); });
        break;
    case Kind::PauseHost:
        each([&](std::size_t n) { d->setPaused(n, true); });
        break;
    case Kind::ResumeHost:
        each([&](std::size_t n) { d->setPaused(n, false); });
        break;
    case Kind::RestartHost:
        each([&](std::size_t n) {
            d->kill(n);
            d->nodes[n] = d->makeNode(n, d->nodes[n]->region, d->nodes[n]->incarnation + 1);
            d->nodes[n]->platform.setDisconnected(d->areRegionsDisconnected && d->nodes[n]->region != 0);
            d->nodes[n]->tickControl();
            d->nodes[n]->tickLane();
        });
        break;
    case Kind::StoreDown:
        d->faults.isDown = true;
        break;
    case Kind::StoreUp:
        d->faults.isDown = false;
        d->faults.replyLossProbability = 0;
        d->faults.delay = 2ms;
        break;
    case Kind::StoreSlow:
        d->faults.delay = Duration(static_cast<std::int64_t>(fault.factor * 1e6));
        break;
    case Kind::StoreLosesReplies:
        d->faults.replyLossProbability = fault.factor;
        break;
    case Kind::CutRegions:
        d->setRegionsDisconnected(true);
        break;
    case Kind::JoinRegions:
        d->setRegionsDisconnected(false);
        break;
    case Kind::LoseMessages:
        d->messageLossProbability = fault.factor;
        break;
    case Kind::LeaveTargets:
        d->publishHostList();
        break;
    default:
        break;
    }
}

NodeStats SimulatedCluster::stats() const
{
    NodeStats total = d->killedNodeStats;
    for (const auto &node : d->nodes) {
        total.messages += node->stats.messages;
        total.bytes += node->stats.bytes;
        total.farBytes += node->stats.farBytes;
        total.cpuSeconds += node->stats.cpuSeconds;
    }
    return total;
}

int SimulatedCluster::nodeCount() const
{
    return static_cast<int>(d->nodes.size());
}

control::ControlLoop *SimulatedCluster::loop(std::size_t node)
{
    return d->nodes[node]->isDead ? nullptr : d->nodes[node]->loop.get();
}

emulator::EmulatedPlatform &SimulatedCluster::platform()
{
    return d->platform;
}

SwitchableFaultPlan &SimulatedCluster::faults()
{
    return d->faults;
}

std::uint64_t SimulatedCluster::linkBytes() const
{
    return d->linkBytes;
}

} // namespace monsoonspool::bench
