#include "bench/fleet.h"

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

constexpr Duration LaneTick = 10ms;
constexpr Duration ThreadHop = 30us; // between a lane and the control thread
constexpr Duration RefusalNotice = 150ms; // until peers find a dead process's port closed
constexpr double RepeatedPart = 0.01; // of the messages, while some are lost
constexpr Duration Jitter = 2ms;
constexpr Duration BalancerCheck = 2s; // until the platform's balancer finds a host silent
constexpr int MaxAttempts = 4;
constexpr std::uint64_t RequestBytes = 2048; // with its answer, over the link

double processorSeconds()
{
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

} // namespace

ports::Fault SwitchedFaults::next(std::string_view name, std::uint64_t, TimePoint)
{
    if (name.starts_with("worker")) {
        return {1ms, false, false};
    }
    const bool isLost = lostReplies > 0 && boost::random::uniform_01<double>()(m_generator) < lostReplies;
    return {delay, isDown, isLost};
}

// One entry host.
struct Fleet::Node : control::PeerLink, control::LaneLink
{
    Node(Fleet::Private &fleet, std::size_t nodeIndex, EntryHostId nodeId, int nodeRegion, std::uint64_t run);

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
    void after(Duration delay, std::function<void()> f);
    void control(const std::function<void()> &f);

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
        GuestCall call;
        int attempts = 0;
        bool mayHaveRun = false;
        bool isTold = false; // the guest has its answer or error
        std::optional<routing::Assignment> assignment;
    };

    void tickControl();
    void tickLane();
    void pump(routing::Dispatcher &dispatcher);
    void ask(routing::Dispatcher &dispatcher);
    routing::Dispatcher *dispatcherOf(const GuestCall &call);
    void submit(const GuestCall &call);
    void admit(GuestRequestId id, const std::optional<TargetId> &failedTarget);
    void start(const routing::Assignment &assignment);
    void onResult(GuestRequestId id, const routing::Assignment &assignment, AttemptResult result);
    void retryLater(GuestRequestId id, const TargetId &failedTarget);
    void onDeadline(GuestRequestId id);
    void tellRefused(Pending &pending, ErrorKind kind);

    Fleet::Private &d;
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
    std::unordered_map<GuestRequestId, Pending> calls;
    NodeFigures figures;
};

struct Fleet::Private
{
    Private(World &fleetWorld, FleetOptions fleetOptions)
        : world(fleetWorld), options(fleetOptions), faults(fleetOptions.seed + 1),
          platform(fleetWorld.scheduler(), faults, Duration{500ms}), generator(fleetOptions.seed)
    {
    }

    void list();
    std::shared_ptr<Node> makeNode(std::size_t index, int region, std::uint64_t incarnation);
    void applyDocuments();
    void kill(std::size_t n);
    void setPaused(std::size_t n, bool isPaused);
    void setCut(bool cut);
    double random()
    {
        return boost::random::uniform_01<double>()(generator);
    }

    World &world;
    FleetOptions options;
    SwitchedFaults faults;
    emulator::EmulatedPlatform platform;
    boost::random::mt19937_64 generator;
    codec::CborRows rowCodec;
    codec::CborRecords recordCodec;
    codec::CborPlacement placementCodec;
    std::vector<std::shared_ptr<Node>> nodes;
    std::map<EntryHostId, std::size_t> indexOf;
    bool isCut = false;
    double lostMessages = 0;
    bool hasAppliedDocuments = false;
    std::uint64_t linkBytes = 0;
    NodeFigures former; // of nodes that were replaced
};

Fleet::Node::Node(Fleet::Private &fleet, std::size_t nodeIndex, EntryHostId nodeId, int nodeRegion, std::uint64_t run_)
    : d(fleet), index(nodeIndex), id(std::move(nodeId)), region(nodeRegion), incarnation(run_),
      platform({fleet.world.scheduler(), fleet.platform.table, fleet.platform.objects, fleet.platform.hosts,
                fleet.platform.workers},
               [this](std::function<void()> f) { run([this, f = std::move(f)] { control(f); }); })
{
    control::ControlOptions options;
    options.host = id;
    options.incarnation = incarnation;
    options.peerAddress = {"127.0.0.1", static_cast<std::uint16_t>(index + 1)};
    options.region = RegionName(d.world.scenario().regions[static_cast<std::size_t>(region)].name);
    options.maxEntryHosts = 9;
    options.startWindow = d.options.startWindow;
    options.seed = d.options.seed + index;
    loop = std::make_unique<control::ControlLoop>(options,
                                                  control::ControlPorts{platform, platform, platform, platform,
                                                                        d.rowCodec, d.placementCodec, d.recordCodec,
                                                                        *this, *this});
}

// Runs `f` now, or once the process runs again, or never if it is dead.
void Fleet::Node::run(std::function<void()> f)
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

void Fleet::Node::after(Duration delay, std::function<void()> f)
{
    d.world.scheduler().runAfter(delay, [self = d.nodes[index], f = std::move(f)] { self->run(f); });
}

// Runs `f` as a part of the control thread's work.
void Fleet::Node::control(const std::function<void()> &f)
{
    if (!d.options.measuresCpu) {
        f();
        return;
    }
    const double before = processorSeconds();
    f();
    figures.cpuSeconds += processorSeconds() - before;
}

void Fleet::Node::tickControl()
{
    control([this] { loop->tick(d.world.now()); });
    after(control::ControlLoop::TickInterval, [this] { tickControl(); });
}

void Fleet::Node::tickLane()
{
    for (auto &[pool, dispatcher] : dispatchers) {
        dispatcher->freeOverdue(d.world.now());
        pump(*dispatcher);
        ask(*dispatcher);
        if (dispatcher->mustConfirmTargets() && !isConfirming) {
            isConfirming = true;
            after(ThreadHop,
                  [this] { control([&] { loop->onLaneEvent(control::ConfirmTargetsEvent{0}, d.world.now()); }); });
        }
    }
    after(LaneTick, [this] { tickLane(); });
}

void Fleet::Node::on(const control::TargetsConfirmedOrder &)
{
    isConfirming = false;
    for (auto &[pool, dispatcher] : dispatchers) {
        dispatcher->confirmTargets();
        pump(*dispatcher);
    }
}

void Fleet::Node::deliver(int, const control::LaneOrder &order)
{
    after(ThreadHop, [this, order] { std::visit([this](const auto &it) { on(it); }, order); });
}

void Fleet::Node::send(const EntryHostId &to, const control::PeerMessage &message)
{
    const auto it = d.indexOf.find(to);
    if (it == d.indexOf.end()) {
        return;
    }
    const auto peer = d.nodes[it->second];
    const auto bytes = codec::encodePeerMessage(message).size();
    ++figures.messages;
    figures.bytes += bytes;
    const bool isFar = peer->region != region;
    if (isFar) {
        figures.farBytes += bytes;
        d.linkBytes += bytes;
    }
    const bool isLost = (isFar && d.isCut) || (d.lostMessages > 0 && d.random() < d.lostMessages);
    if (isLost) {
        return;
    }
    const int copies = d.lostMessages > 0 && d.random() < RepeatedPart ? 2 : 1;
    for (int n = 0; n < copies; ++n) {
        const auto jitter
            = std::chrono::duration_cast<Duration>(Jitter * (d.lostMessages > 0 ? d.random() * 5 : d.random() * 0.1));
        d.world.scheduler().runAfter((isFar ? World::FarDelay : World::NearDelay) + jitter, [peer, message] {
            peer->run(
                [peer, message] { peer->control([&] { peer->loop->onPeerMessage(message, peer->d.world.now()); }); });
        });
    }
}

void Fleet::Node::on(const control::SnapshotOrder &order)
{
    for (const auto &[name, plan] : order.snapshot->pools) {
        auto &dispatcher = dispatchers[name];
        if (dispatcher) {
            dispatcher->setPlan(plan);
        } else {
            const RegionName regionName(d.world.scenario().regions[static_cast<std::size_t>(region)].name);
            dispatcher = std::make_unique<routing::Dispatcher>(
                plan, grants::HolderId{id, incarnation, 0}, regionName,
                routing::DispatchPolicy{"guaranteed-shares", "least-expected-time", d.options.seed + index});
        }
        const auto accepting = order.snapshot->accepting.find(name);
        dispatcher->setAccepting(accepting == order.snapshot->accepting.end() ? std::span<const TargetId>()
                                                                              : accepting->second);
        ask(*dispatcher);
    }
}

void Fleet::Node::on(const control::OfferOrder &order)
{
    const auto it = dispatchers.find(order.offer.ledger.pool);
    if (it == dispatchers.end()) {
        return;
    }
    handleFailure([&] { return it->second->accept(order.offer); }, [](const Failure &) {});
    pump(*it->second);
    ask(*it->second);
}

void Fleet::Node::on(const control::RecallOrder &order)
{
    const auto it = dispatchers.find(order.ledger.pool);
    if (it != dispatchers.end()) {
        it->second->recall(order.ledger);
        ask(*it->second);
    }
}

void Fleet::Node::ask(routing::Dispatcher &dispatcher)
{
    for (auto &request : dispatcher.dueRequests(false, d.world.now())) {
        after(ThreadHop, [this, request = std::move(request)] {
            control([&] { loop->onLaneEvent(control::SlotRequestEvent{request}, d.world.now()); });
        });
    }
}

void Fleet::Node::pump(routing::Dispatcher &dispatcher)
{
    if (dispatcher.waitingCount() == 0) {
        return;
    }
    const TimePoint now = d.world.now();
    for (const auto &refusal : dispatcher.refuseUnreachable(now)) {
        auto node = calls.extract(refusal.id);
        if (!node.empty()) {
            tellRefused(node.mapped(), refusal.kind);
        }
    }
    for (const auto &assignment : dispatcher.startWaiting(now)) {
        start(assignment);
    }
}

routing::Dispatcher *Fleet::Node::dispatcherOf(const GuestCall &call)
{
    const auto it = dispatchers.find(d.world.documentOf(call.flow).pool);
    return it == dispatchers.end() ? nullptr : it->second.get();
}

void Fleet::Node::submit(const GuestCall &call)
{
    calls[call.id].call = call;
    admit(call.id, std::nullopt);
}

void Fleet::Node::admit(GuestRequestId requestId, const std::optional<TargetId> &failedTarget)
{
    auto &pending = calls.at(requestId);
    auto *dispatcher = dispatcherOf(pending.call);
    const auto &load = d.world.scenario().flows[static_cast<std::size_t>(pending.call.flow)];
    const auto flow = dispatcher ? dispatcher->findFlow(ServiceName(load.service), load.urgency) : std::nullopt;
    if (!flow) {
        auto node = calls.extract(requestId);
        tellRefused(node.mapped(), ErrorKind::NoTarget);
        return;
    }
    const TimePoint now = d.world.now();
    const routing::DispatchRequest request{requestId, *flow, pending.call.arrival, pending.call.deadline};
    const auto refused = handleFailure(
        [&]() -> Result<std::optional<ErrorKind>> {
            BOOST_LEAF_AUTO(started,
                            failedTarget ? dispatcher->retry(request, *failedTarget, now)
                                         : dispatcher->submit(request, now));
            if (started) {
                start(*started);
            } else {
                ask(*dispatcher);
            }
            return std::optional<ErrorKind>();
        },
        [](const Failure &failure) { return std::optional(failure.kind); });
    if (refused == ErrorKind::RetryBudgetSpent && !pending.mayHaveRun) {
        retryLater(requestId, *failedTarget);
        return;
    }
    if (refused) {
        auto node = calls.extract(requestId);
        tellRefused(node.mapped(), *refused);
    }
}

void Fleet::Node::start(const routing::Assignment &assignment)
{
    auto &pending = calls.at(assignment.id);
    ++pending.attempts;
    pending.assignment = assignment;
    const auto target = d.world.indexOf(assignment.slot.target);
    if (d.world.targets()[target].region != region) {
        d.linkBytes += RequestBytes;
    }
    if (pending.attempts == 1) {
        after(pending.call.deadline - d.world.now(), [this, requestId = assignment.id] { onDeadline(requestId); });
    }
    d.world.send(pending.call, target, region, [self = d.nodes[index], assignment](AttemptResult result) {
        self->run([self, assignment, result] { self->onResult(assignment.id, assignment, result); });
    });
    after(assignment.endBy - d.world.now(),
          [this, assignment] { onResult(assignment.id, assignment, AttemptResult::TimedOut); });
}

void Fleet::Node::onDeadline(GuestRequestId requestId)
{
    const auto it = calls.find(requestId);
    if (it != calls.end() && it->second.assignment && !it->second.isTold) {
        it->second.isTold = true;
        d.world.refuse(it->second.call, ErrorKind::DeadlineExceeded);
    }
}

void Fleet::Node::onResult(GuestRequestId requestId, const routing::Assignment &assignment, AttemptResult result)
{
    const auto it = calls.find(requestId);
    const bool isCurrent = it != calls.end() && it->second.assignment
        && it->second.assignment->startedAt == assignment.startedAt
        && it->second.assignment->slot.target == assignment.slot.target;
    if (!isCurrent) {
        return;
    }
    auto &pending = it->second;
    auto &dispatcher = *dispatcherOf(pending.call);
    pending.assignment.reset();
    dispatcher.finish(assignment, result, d.world.now());
    pump(dispatcher);
    if (result == AttemptResult::Answered || result == AttemptResult::ServerError) {
        if (!pending.isTold) {
            d.world.answer(pending.call, requestId);
        }
        calls.erase(requestId);
        return;
    }
    pending.mayHaveRun = pending.mayHaveRun || !routing::isCertainlyNotRun(result);
    const bool mayRepeat = routing::isCertainlyNotRun(result) || d.world.documentOf(pending.call.flow).isIdempotent;
    if (pending.isTold || pending.attempts >= MaxAttempts || !mayRepeat) {
        auto node = calls.extract(requestId);
        tellRefused(node.mapped(), ErrorKind::TargetUnreachable);
        return;
    }
    retryLater(requestId, assignment.slot.target);
}

void Fleet::Node::retryLater(GuestRequestId requestId, const TargetId &failedTarget)
{
    auto &pending = calls.at(requestId);
    after(dispatcherOf(pending.call)->delayBeforeRetry(pending.attempts), [this, requestId, failedTarget] {
        if (calls.contains(requestId)) {
            admit(requestId, failedTarget);
        }
    });
}

void Fleet::Node::tellRefused(Pending &pending, ErrorKind kind)
{
    if (pending.isTold) {
        return;
    }
    pending.isTold = true;
    const bool isUnknown = errorInfo(kind).outcome == Outcome::Unknown;
    d.world.refuse(pending.call, pending.mayHaveRun && !isUnknown ? ErrorKind::TargetFailed : kind);
}

void Fleet::Private::list()
{
    ports::HostListing listing;
    for (const auto &node : nodes) {
        const RegionName region(world.scenario().regions[static_cast<std::size_t>(node->region)].name);
        listing.entryHosts.push_back(
            {node->id, {"127.0.0.1", static_cast<std::uint16_t>(node->index + 1)}, region, ports::HostState::Live});
    }
    for (const auto &it : world.targets()) {
        const auto &region = world.scenario().regions[static_cast<std::size_t>(it.region)].name;
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

std::shared_ptr<Fleet::Node> Fleet::Private::makeNode(std::size_t index, int region, std::uint64_t incarnation)
{
    return std::make_shared<Node>(*this, index, EntryHostId("entry-" + std::to_string(index + 1)), region, incarnation);
}

void Fleet::Private::applyDocuments()
{
    if (hasAppliedDocuments || !nodes.front()->loop->documentStore().isLoaded()) {
        return;
    }
    hasAppliedDocuments = true;
    for (std::size_t n = 0; n < world.documents().size(); ++n) {
        const control::ApplyRequest request{world.documents()[n].service, world.scenario().documents[n], "bench", 0};
        nodes.front()->loop->documentStore().apply(request, world.now(), [](const control::ApplyOutcome &) {});
    }
}

Fleet::Fleet(World &world, FleetOptions options) : d(std::make_unique<Private>(world, options))
{
    for (std::size_t r = 0; r < world.scenario().regions.size(); ++r) {
        for (int n = 0; n < world.scenario().regions[r].entryHosts; ++n) {
            auto node = d->makeNode(d->nodes.size(), static_cast<int>(r), 1);
            d->indexOf[node->id] = node->index;
            d->nodes.push_back(std::move(node));
        }
    }
    d->list();
    for (const auto &node : d->nodes) {
        node->tickControl();
        node->tickLane();
    }
    // The system is up before the first guest comes.
    for (int n = 0; n < 300; ++n) {
        world.scheduler().runFor(10ms);
        d->applyDocuments();
    }
}

Fleet::~Fleet() = default;

void Fleet::submit(const GuestCall &call)
{
    // The platform's balancer finds a host that accepts, in the guest's region if
    // there is one.
    std::vector<Node *> near;
    std::vector<Node *> all;
    for (const auto &node : d->nodes) {
        const bool isFoundSilent = node->isPaused && d->world.now() - node->pausedAt >= BalancerCheck;
        if (node->isDead || isFoundSilent) {
            continue;
        }
        all.push_back(node.get());
        if (node->region == call.region) {
            near.push_back(node.get());
        }
    }
    const auto &choice = near.empty() ? all : near;
    if (choice.empty()) {
        d->world.refuse(call, ErrorKind::ShuttingDown);
        return;
    }
    auto *node = choice[boost::random::uniform_int_distribution<std::size_t>(0, choice.size() - 1)(d->generator)];
    node->run([node, call] { node->submit(call); });
}

void Fleet::Private::kill(std::size_t n)
{
    const auto node = nodes[n];
    if (node->isDead) {
        return;
    }
    node->isDead = true;
    for (auto &[id, pending] : node->calls) {
        // The guest's connection breaks.
        if (!pending.isTold) {
            world.refuse(pending.call, ErrorKind::TargetFailed);
        }
    }
    node->calls.clear();
    former.messages += node->figures.messages;
    former.bytes += node->figures.bytes;
    former.farBytes += node->figures.farBytes;
    former.cpuSeconds += node->figures.cpuSeconds;
    node->figures = {};
    for (const auto &peer : nodes) {
        world.scheduler().runAfter(RefusalNotice, [peer, id = node->id] {
            peer->run([peer, id] { peer->loop->onPeerRefused(id, peer->d.world.now()); });
        });
    }
}

void Fleet::Private::setPaused(std::size_t n, bool isPaused)
{
    const auto node = nodes[n];
    node->isPaused = isPaused;
    node->pausedAt = world.now();
    while (!node->isPaused && !node->deferred.empty()) {
        const auto f = std::move(node->deferred.front());
        node->deferred.pop_front();
        node->run(f);
    }
}

void Fleet::Private::setCut(bool cut)
{
    isCut = cut;
    for (const auto &node : nodes) {
        node->platform.setCut(cut && node->region != 0);
    }
}

void Fleet::inflict(const WorldFault &fault)
{
    using Kind = WorldFault::Kind;
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
            d->nodes[n]->platform.setCut(d->isCut && d->nodes[n]->region != 0);
            d->nodes[n]->tickControl();
            d->nodes[n]->tickLane();
        });
        break;
    case Kind::StoreDown:
        d->faults.isDown = true;
        break;
    case Kind::StoreUp:
        d->faults.isDown = false;
        d->faults.lostReplies = 0;
        d->faults.delay = 2ms;
        break;
    case Kind::StoreSlow:
        d->faults.delay = Duration(static_cast<std::int64_t>(fault.factor * 1e6));
        break;
    case Kind::StoreLosesReplies:
        d->faults.lostReplies = fault.factor;
        break;
    case Kind::CutRegions:
        d->setCut(true);
        break;
    case Kind::JoinRegions:
        d->setCut(false);
        break;
    case Kind::LoseMessages:
        d->lostMessages = fault.factor;
        break;
    case Kind::LeaveTargets:
        d->list();
        break;
    default:
        break;
    }
}

NodeFigures Fleet::figures() const
{
    NodeFigures total = d->former;
    for (const auto &node : d->nodes) {
        total.messages += node->figures.messages;
        total.bytes += node->figures.bytes;
        total.farBytes += node->figures.farBytes;
        total.cpuSeconds += node->figures.cpuSeconds;
    }
    return total;
}

int Fleet::nodeCount() const
{
    return static_cast<int>(d->nodes.size());
}

control::ControlLoop *Fleet::loop(std::size_t node)
{
    return d->nodes[node]->isDead ? nullptr : d->nodes[node]->loop.get();
}

emulator::EmulatedPlatform &Fleet::platform()
{
    return d->platform;
}

SwitchedFaults &Fleet::faults()
{
    return d->faults;
}

std::uint64_t Fleet::linkBytes() const
{
    return d->linkBytes;
}

} // namespace monsoonspool::bench
