#include "soak/platformstandin.h"

#include "codec/json.h"
#include "http/listen.h"
#include "soak/failuredomains.h"
#include "soak/jobclients.h"
#include "soak/storestandin.h"
#include "soak/taskplan.h"
#include "soak/workerserver.h"
#include "soak/workerstandin.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <string>
#include <thread>
#include <vector>

namespace monsoonspool::soak {

namespace {

using codec::Json;

constexpr Duration AdvanceInterval = 5ms;
constexpr int WorkersPerRack = 8;
constexpr std::string_view Service = "soak-service";

std::string encodeConfiguration()
{
    const Json route = {{"name", "soak"},   {"host", QueueHost},  {"pathPrefix", QueuePrefix},
                        {"kind", "unsafe"}, {"timeoutMs", 3000},  {"targetLatencyMs", 1000},
                        {"priority", 0},    {"service", Service}, {"maxAttempts", MaxAttempts},
                        {"stretch", 2.0}};
    const Json service = {{"name", Service}, {"healthPath", "/health"}, {"maxConns", 64}, {"protocol", "h1"},
                          {"tls", false},    {"admissionCheck", false}, {"spare", false}};
    const Json limits
        = {{"maxHeaderBytes", 16384}, {"maxBodyBytes", 262144}, {"headerTimeoutMs", 3000}, {"idleTimeoutMs", 15000}};
    return codec::writeJson(
        {{"version", 7}, {"routes", Json::array({route})}, {"services", Json::array({service})}, {"limits", limits}});
}

struct Worker
{
    std::unique_ptr<WorkerStandIn> worker;
    std::unique_ptr<WorkerServer> server;
};

} // namespace

struct PlatformStandIn::Private
{
    Private(const PlatformOptions &options, Recorder &recorder, FaultCounts &faults)
        : options(options), recorder(recorder), faults(faults), plan(options.seed), timer(io),
          store(io, options.storeDelay), storeServer(io, store, {}, "store")
    {
    }

    Result<void> addWorker(int n, TimePoint now);
    void advance();

    PlatformOptions options;
    Recorder &recorder;
    FaultCounts &faults;
    TaskPlan plan;
    boost::asio::io_context io;
    boost::asio::steady_timer timer;
    StoreStandIn store;
    http::ApiServer storeServer;
    std::vector<Worker> workers;
    std::thread thread;
};

PlatformStandIn::PlatformStandIn(const PlatformOptions &options, Recorder &recorder, FaultCounts &faults)
    : d(std::make_unique<Private>(options, recorder, faults))
{
}

PlatformStandIn::~PlatformStandIn()
{
    d->io.stop();
    if (d->thread.joinable()) {
        d->thread.join();
    }
}

Result<void> PlatformStandIn::start()
{
    BOOST_LEAF_CHECK(d->storeServer.listen({"127.0.0.1", 0}));
    d->store.write("op", "config", encodeConfiguration());
    for (int n = 0; n < d->options.workers; ++n) {
        BOOST_LEAF_CHECK(d->addWorker(n, monotonicNow()));
    }
    d->advance();
    d->thread = std::thread([this] { d->io.run(); });
    return {};
}

void PlatformStandIn::silenceStore()
{
    boost::asio::post(d->io, [this] { d->store.silence(); });
}

ports::Address PlatformStandIn::storeAddress() const
{
    return d->storeServer.address();
}

Result<void> PlatformStandIn::Private::addWorker(int n, TimePoint now)
{
    WorkerOptions worker;
    worker.id = "i-" + std::to_string(n);
    worker.service = Service;
    worker.domain = failureDomain(n);
    worker.rack = "r1-" + std::to_string(n / WorkersPerRack);
    auto standIn = std::make_unique<WorkerStandIn>(worker, plan, recorder, faults, now);
    auto server = std::make_unique<WorkerServer>(io, *standIn,
                                                 makeConnectionBehavior(options.connections, options.seed, n), faults);
    BOOST_LEAF_CHECK(server->listen());
    Event event;
    event.kind = EventKind::WorkerRegistered;
    event.at = now;
    event.worker = worker.id;
    event.milliCores = worker.milliCores;
    event.takesOrders = server->takesOrders();
    recorder.record(std::move(event));
    // Heartbeats that change only the sequence number do not change the row.
    store.write("servers", worker.id, standIn->registryEntry(http::formatAddress(server->address())));
    workers.push_back({std::move(standIn), std::move(server)});
    return {};
}

void PlatformStandIn::Private::advance()
{
    const auto now = monotonicNow();
    store.advance(now);
    for (const auto &it : workers) {
        it.worker->advance(now);
    }
    timer.expires_after(AdvanceInterval);
    timer.async_wait([this](const boost::system::error_code &ec) {
        if (!ec) {
            advance();
        }
    });
}

} // namespace monsoonspool::soak
