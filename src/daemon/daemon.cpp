#include "daemon/daemon.h"

#include "codec/cborrows.h"
#include "codec/json.h"
#include "codec/peercbor.h"
#include "codec/typejson.h"
#include "control/controlloop.h"
#include "daemon/asioscheduler.h"
#include "daemon/guestlistener.h"
#include "daemon/lanedescription.h"
#include "daemon/settingsjson.h"
#include "emulator/standaloneenvironment.h"
#include "http/apiclient.h"
#include "http/descriptors.h"
#include "http/listen.h"
#include "logging/log.h"
#include "operators/operatorsapi.h"
#include "peer/peernode.h"
#include "ports/http/httpplatform.h"
#include "traffic/lane.h"
#include "traffic/mailbox.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <csignal>
#include <iostream>

namespace monsoonspool::daemon {

namespace asio = boost::asio;

namespace {

// How long after the drain the last responses to operators and messages to peers are
// still sent.
constexpr Duration FinalSendTime = 200ms;

// Shares of the descriptors that the process may use. The rest is for connections to targets, peers
// and the platform.
constexpr std::size_t GuestDescriptorShare = 2;
constexpr std::size_t OperatorDescriptorShare = 16;

// Returns the limits of one of `lanes` traffic threads.
traffic::GuestLimits laneLimits(traffic::GuestLimits limits, int lanes)
{
    const auto descriptors = static_cast<int>(::monsoonspool::http::usableDescriptors() / GuestDescriptorShare) / lanes;
    limits.maxConnections = std::max(1, std::min(limits.maxConnections, descriptors));
    limits.bufferedBytes /= static_cast<std::size_t>(lanes);
    return limits;
}

// Returns a number that increases with each start of the daemon on a host.
std::uint64_t newIncarnation()
{
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::system_clock::now().time_since_epoch())
            .count());
}

} // namespace

struct Daemon::Private : control::LaneLink, control::PeerLink, traffic::LaneEventSink, peer::PeerEvents
{
    Private(Settings daemonSettings, DaemonOptions daemonOptions);

    // control::LaneLink
    int laneCount() const override
    {
        return static_cast<int>(lanes.size());
    }
    void deliver(int lane, const control::LaneOrder &order) override
    {
        lanes[static_cast<std::size_t>(lane)]->post(order);
    }

    // control::PeerLink
    void send(const EntryHostId &to, const control::PeerMessage &message) override
    {
        peerNode.send(to.text(), codec::encodePeerMessage(message));
    }
    void setPeers(std::span<const membership::EntryHostState> peers) override;

    // traffic::LaneEventSink
    void post(control::LaneEvent event) override
    {
        mailbox.post(std::move(event));
    }

    // peer::PeerEvents
    void onMessage(std::string_view bytes) override;
    void onConnectionRefused(const std::string &name) override;

    Result<void> start();
    Result<void> listenForPeers();
    Result<void> startListening();
    Result<void> loadKeys();
    void createControlLoop();
    void tick();
    void applySampleDocuments();
    void waitForSignal();
    void drain();
    void reportAddresses() const;
    std::vector<::monsoonspool::http::ConnectionUsage> connectionUsages();

    Settings settings;
    DaemonOptions options;
    std::uint64_t incarnation;
    asio::io_context io{1};
    AsioScheduler scheduler;
    codec::CborRows rowCodec;
    codec::CborRecords recordCodec;
    codec::CborPlacement placementCodec;
    std::unique_ptr<emulator::StandaloneEnvironment> standalone;
    std::unique_ptr<ports::http::HttpPlatform> remotePlatform;
    peer::PeerNode peerNode;
    std::vector<std::unique_ptr<traffic::Lane>> lanes;
    std::unique_ptr<control::ControlLoop> loop;
    std::unique_ptr<operators::OperatorsApi> operatorsApi;
    std::unique_ptr<::monsoonspool::http::ApiServer> operatorsServer;
    std::unique_ptr<GuestListener> guestListener;
    traffic::Mailbox<control::LaneEvent> mailbox;
    asio::steady_timer tickTimer;
    asio::signal_set signals;
    std::uint64_t malformedPeerMessages = 0;
    bool hasAppliedSamples = false;
    bool isDraining = false;
};

Daemon::Private::Private(Settings daemonSettings, DaemonOptions daemonOptions)
    : settings(std::move(daemonSettings)), options(std::move(daemonOptions)), incarnation(newIncarnation()),
      scheduler(io), peerNode(io, *this, codec::MaxPeerMessageBytes),
      mailbox(io, [this](control::LaneEvent &&event) { loop->onLaneEvent(event, monotonicNow()); }), tickTimer(io),
      signals(io, SIGTERM, SIGINT, SIGHUP)
{
}

void Daemon::Private::setPeers(std::span<const membership::EntryHostState> peers)
{
    std::vector<peer::PeerAddress> addresses;
    for (const auto &it : peers) {
        addresses.push_back({it.id.text(), it.peerAddress.ip, it.peerAddress.port});
    }
    peerNode.setPeers(addresses);
}

void Daemon::Private::onMessage(std::string_view bytes)
{
    const auto message = handleFailure(
        [&]() -> Result<std::optional<control::PeerMessage>> { return codec::decodePeerMessage(bytes); },
        [](const Failure &) { return std::optional<control::PeerMessage>(); });
    if (message) {
        loop->onPeerMessage(*message, monotonicNow());
    } else {
        ++malformedPeerMessages;
    }
}

void Daemon::Private::onConnectionRefused(const std::string &name)
{
    logging::log(logging::Level::Warning, "peer-died", {{"host", name}});
    loop->onPeerRefused(EntryHostId(name), monotonicNow());
}

Result<void> Daemon::Private::loadKeys()
{
    if (settings.keyFile.empty()) {
        return {};
    }
    BOOST_LEAF_AUTO(keys, readKeys(settings.keyFile));
    peerNode.setKeys(keys);
    operatorsApi->setKeys(keys);
    return {};
}

void Daemon::Private::createControlLoop()
{
    control::ControlOptions controlOptions;
    controlOptions.host = settings.name;
    controlOptions.incarnation = incarnation;
    controlOptions.peerAddress = settings.peerAddress;
    controlOptions.region = settings.region;
    controlOptions.maxEntryHosts = settings.maxEntryHosts;
    controlOptions.laneCount = settings.trafficThreads;
    controlOptions.startWindow = settings.startWindow;
    controlOptions.recordWindow = settings.recordWindow;
    controlOptions.seed = incarnation;
    auto &table
        = standalone ? static_cast<ports::TableService &>(standalone->platform().table) : remotePlatform->table();
    auto &objects
        = standalone ? static_cast<ports::ObjectStore &>(standalone->platform().objects) : remotePlatform->objects();
    auto &hosts = standalone ? static_cast<ports::HostList &>(standalone->platform().hosts) : remotePlatform->hosts();
    auto &workers
        = standalone ? static_cast<ports::WorkerAgent &>(standalone->platform().workers) : remotePlatform->workers();
    loop = std::make_unique<control::ControlLoop>(
        controlOptions,
        control::ControlPorts{table, objects, hosts, workers, rowCodec, placementCodec, recordCodec, *this, *this});
    operatorsApi = std::make_unique<operators::OperatorsApi>(
        operators::OperatorsPorts{*loop, [this] { return peerNode.counts(); }, [] { return monotonicNow(); },
                                  [this] { return connectionUsages(); }},
        operators::ProcessInfo{options.version, settings.name, incarnation});
}

Result<void> Daemon::Private::listenForPeers()
{
    const auto problem = peerNode.listen(settings.peerAddress.ip, settings.peerAddress.port);
    if (!problem.empty()) {
        return fail(ErrorKind::AddressInUse, problem);
    }
    settings.peerAddress.port = peerNode.port();
    return {};
}

Result<void> Daemon::Private::startListening()
{
    guestListener = std::make_unique<GuestListener>(io, lanes);
    ::monsoonspool::http::ApiLimits limits;
    limits.message = traffic::messageLimits(settings.limits);
    limits.budget = settings.operatorBudget;
    limits.budget.connections
        = std::min(limits.budget.connections, ::monsoonspool::http::usableDescriptors() / OperatorDescriptorShare);
    operatorsServer = std::make_unique<::monsoonspool::http::ApiServer>(io, *operatorsApi, limits, "operators");
    BOOST_LEAF_CHECK(operatorsServer->listen(settings.operatorAddress));
    settings.operatorAddress = operatorsServer->address();
    return {};
}

Result<void> Daemon::Private::start()
{
    for (int n = 0; n < settings.trafficThreads; ++n) {
        traffic::LaneOptions laneOptions;
        laneOptions.host = settings.name;
        laneOptions.incarnation = incarnation;
        laneOptions.region = settings.region;
        laneOptions.lane = n;
        laneOptions.limits = laneLimits(settings.limits, settings.trafficThreads);
        laneOptions.policy = settings.policy;
        laneOptions.policy.seed = incarnation + static_cast<std::uint64_t>(n);
        lanes.push_back(std::make_unique<traffic::Lane>(laneOptions, *this, describeLane));
    }
    if (options.isStandalone) {
        standalone = std::make_unique<emulator::StandaloneEnvironment>(scheduler);
    } else {
        remotePlatform = std::make_unique<ports::http::HttpPlatform>(io, *settings.platformAddress);
    }
    // The control loop announces the port, which the system chooses if it is 0 in the settings.
    BOOST_LEAF_CHECK(listenForPeers());
    createControlLoop();
    BOOST_LEAF_CHECK(loadKeys());
    BOOST_LEAF_CHECK(startListening());
    if (standalone) {
        BOOST_LEAF_CHECK(standalone->start(settings));
    }
    BOOST_LEAF_CHECK(guestListener->listen(settings.guestAddress));
    settings.guestAddress = guestListener->address();
    for (const auto &it : lanes) {
        it->start();
    }
    return {};
}

std::vector<::monsoonspool::http::ConnectionUsage> Daemon::Private::connectionUsages()
{
    return {operatorsServer->connections(), ::monsoonspool::http::responseUsage(io)};
}

void Daemon::Private::reportAddresses() const
{
    logging::log(logging::Level::Info, "started",
                 {{"host", settings.name.view()},
                  {"guests", ::monsoonspool::http::formatAddress(settings.guestAddress)},
                  {"operators", ::monsoonspool::http::formatAddress(settings.operatorAddress)},
                  {"peers", ::monsoonspool::http::formatAddress(settings.peerAddress)}});
    if (options.printsAddresses) {
        std::cout << codec::writeJson({{"guests", settings.guestAddress},
                                       {"operators", settings.operatorAddress},
                                       {"peers", settings.peerAddress}})
                  << std::endl;
    }
}

void Daemon::Private::tick()
{
    loop->tick(monotonicNow());
    if (standalone && !hasAppliedSamples && loop->documentStore().isLoaded()) {
        hasAppliedSamples = true;
        applySampleDocuments();
    }
    tickTimer.expires_after(control::ControlLoop::TickInterval);
    tickTimer.async_wait([this](boost::system::error_code ec) {
        if (!ec) {
            tick();
        }
    });
}

void Daemon::Private::applySampleDocuments()
{
    for (const auto &[name, text] : emulator::StandaloneEnvironment::documents()) {
        control::ApplyRequest request{ServiceName(name), std::string(text), "standalone", 0};
        loop->documentStore().apply(request, monotonicNow(), [](const control::ApplyOutcome &outcome) {
            if (const auto *refusal = std::get_if<control::ApplyRefusal>(&outcome)) {
                logging::log(logging::Level::Error, "sample-document-refused", {{"reason", refusal->failure.detail}});
            }
        });
    }
}

void Daemon::Private::waitForSignal()
{
    signals.async_wait([this](boost::system::error_code ec, int number) {
        if (ec) {
            return;
        }
        if (number == SIGHUP) {
            handleFailure([&]() -> Result<void> { return loadKeys(); },
                          [](const Failure &failure) {
                              logging::log(logging::Level::Error, "keys-not-loaded", {{"reason", failure.detail}});
                          });
        } else if (!isDraining) {
            drain();
        }
        waitForSignal();
    });
}

void Daemon::Private::drain()
{
    isDraining = true;
    logging::log(logging::Level::Info, "draining", {{"host", settings.name.view()}});
    guestListener->stop();
    loop->drain(monotonicNow(), [this] {
        scheduler.runAfter(FinalSendTime, [this] {
            logging::log(logging::Level::Info, "stopped", {{"host", settings.name.view()}});
            operatorsServer->stop();
            peerNode.stop();
            io.stop();
        });
    });
}

Daemon::Daemon(Settings settings, DaemonOptions options)
    : d(std::make_unique<Private>(std::move(settings), std::move(options)))
{
}

Daemon::~Daemon()
{
    for (const auto &it : d->lanes) {
        it->stop();
    }
}

Result<void> Daemon::run()
{
    BOOST_LEAF_CHECK(d->start());
    d->reportAddresses();
    d->waitForSignal();
    d->tick();
    d->io.run();
    return {};
}

} // namespace monsoonspool::daemon
