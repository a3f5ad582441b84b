#include "soak/jobclients.h"

#include "codec/json.h"
#include "daemon/asioscheduler.h"
#include "http/apiclient.h"
#include "jobs/names.h"

#include <algorithm>
#include <random>
#include <utility>
#include <vector>

namespace monsoonspool::soak {

namespace {

using codec::Json;
using Random = std::mt19937_64;

constexpr std::chrono::milliseconds CallTimeout{3000};
constexpr Duration RetryDelay = 200ms;
constexpr Duration PollInterval = 250ms;
constexpr Duration MaxThinkTime = 500ms;
constexpr int ConnectionsPerHost = 16;
constexpr int MaxSteps = 3;
constexpr int MaxTasksPerStep = 5;

constexpr int TooManyRequests = 429;
constexpr int ServiceUnavailable = 503;
constexpr int NotFound = 404;
constexpr int Gone = 410;

int drawInt(Random &random, int first, int last)
{
    return std::uniform_int_distribution<int>(first, last)(random);
}

JobShape drawShape(Random &random)
{
    JobShape shape;
    const int steps = drawInt(random, 1, MaxSteps);
    for (int n = 0; n < steps; ++n) {
        StepShape step;
        step.count = drawInt(random, 1, MaxTasksPerStep);
        if (n > 0 && drawInt(random, 0, 1) == 1) {
            step.after.push_back(n - 1);
        }
        shape.steps.push_back(std::move(step));
    }
    return shape;
}

std::string encodeJob(const JobShape &shape)
{
    auto steps = Json::array();
    for (const auto &it : shape.steps) {
        Json step = {{"count", it.count}, {"cpu", it.milliCores}, {"memMb", 64}, {"estimateMs", 1000}};
        if (!it.after.empty()) {
            step["after"] = it.after;
        }
        steps.push_back(std::move(step));
    }
    return codec::writeJson({{"spec", "soak"}, {"steps", std::move(steps)}});
}

// A client and its present job.
struct Client
{
    Random random;
    jobs::JobKey job;
    std::string body;
    bool hasUnanswered = false; // an attempt to submit the job, which may have been accepted
    bool isBusy = false;
};

} // namespace

struct JobClients::Private : std::enable_shared_from_this<JobClients::Private>
{
    Private(boost::asio::io_context &io, Recorder &recorder) : scheduler(io), recorder(recorder)
    {
    }

    // Runs `f` after `delay`, unless the clients are destroyed.
    void runAfter(Duration delay, std::function<void()> f)
    {
        scheduler.runAfter(delay, [weak = weak_from_this(), f = std::move(f)] {
            if (const auto self = weak.lock()) {
                f();
            }
        });
    }

    void call(Client &client, std::string_view method, std::string body, ports::Handler<http::ApiAnswer> handler);
    void submitNext(Client &client);
    void submit(Client &client);
    void onSubmitted(Client &client, const ports::AsyncResult<http::ApiAnswer> &result);
    void poll(Client &client);
    void onState(Client &client, const ports::AsyncResult<http::ApiAnswer> &result);
    void endJob(Client &client, EventKind kind);
    void record(EventKind kind, const Client &client, JobShape shape = {});

    daemon::AsioScheduler scheduler;
    Recorder &recorder;
    std::vector<std::unique_ptr<http::ApiClient>> hosts;
    std::vector<Client> clients;
    ClientCounts counts;
    bool isFinishing = false;
};

JobClients::JobClients(boost::asio::io_context &io, std::span<const ports::Address> hosts, const ClientOptions &options,
                       Recorder &recorder)
    : d(std::make_shared<Private>(io, recorder))
{
    for (const auto &it : hosts) {
        d->hosts.push_back(std::make_unique<http::ApiClient>(io, it, ConnectionsPerHost));
    }
    for (int n = 0; n < options.clients; ++n) {
        std::seed_seq sequence{options.seed, static_cast<std::uint64_t>(n)};
        d->clients.emplace_back().random.seed(sequence);
    }
}

JobClients::~JobClients() = default;

void JobClients::start()
{
    for (auto &it : d->clients) {
        d->submitNext(it);
    }
}

void JobClients::finish()
{
    d->isFinishing = true;
}

bool JobClients::isIdle() const
{
    return d->isFinishing && std::ranges::none_of(d->clients, &Client::isBusy);
}

const ClientCounts &JobClients::counts() const
{
    return d->counts;
}

void JobClients::Private::call(Client &client, std::string_view method, std::string body,
                               ports::Handler<http::ApiAnswer> handler)
{
    const auto host = std::uniform_int_distribution<std::size_t>(0, hosts.size() - 1)(client.random);
    hosts[host]->call({std::string(method),
                       std::string(QueuePrefix) + jobs::jobName(client.job),
                       std::move(body),
                       {{"Host", std::string(QueueHost)}, {"Content-Type", "application/json"}},
                       CallTimeout},
                      std::move(handler));
}

void JobClients::Private::submitNext(Client &client)
{
    if (isFinishing) {
        return;
    }
    client.job = {client.random()};
    auto shape = drawShape(client.random);
    client.body = encodeJob(shape);
    client.hasUnanswered = false;
    client.isBusy = true;
    ++counts.submitted;
    record(EventKind::Submitted, client, std::move(shape));
    submit(client);
}

void JobClients::Private::submit(Client &client)
{
    call(client, "POST", client.body,
         [this, &client](const ports::AsyncResult<http::ApiAnswer> &result) { onSubmitted(client, result); });
}

void JobClients::Private::onSubmitted(Client &client, const ports::AsyncResult<http::ApiAnswer> &result)
{
    const int status = result.isOk() ? result.value().status : 0;
    if (status >= 200 && status < 300) {
        record(EventKind::Accepted, client);
        runAfter(PollInterval, [this, &client] { poll(client); });
        return;
    }
    const bool isRejected = status == TooManyRequests || status == ServiceUnavailable || status == NotFound;
    if (isRejected && !client.hasUnanswered) {
        endJob(client, EventKind::Rejected);
        return;
    }
    if (!isRejected) {
        client.hasUnanswered = true;
        ++counts.unanswered;
    }
    runAfter(RetryDelay, [this, &client] { submit(client); });
}

void JobClients::Private::poll(Client &client)
{
    call(client, "GET", {},
         [this, &client](const ports::AsyncResult<http::ApiAnswer> &result) { onState(client, result); });
}

void JobClients::Private::onState(Client &client, const ports::AsyncResult<http::ApiAnswer> &result)
{
    if (result.isOk() && result.value().status == Gone) {
        endJob(client, EventKind::ReportedUnknown);
        return;
    }
    const auto json = result.isOk() ? Json::parse(result.value().body, nullptr, false) : Json();
    const auto state = json.is_object() ? json.value("state", std::string()) : std::string();
    if (state == "completed") {
        ++counts.completed;
        endJob(client, EventKind::ReportedCompleted);
    } else if (state == "failed" || state == "cancelled") {
        endJob(client, EventKind::ReportedFailed);
    } else {
        runAfter(PollInterval, [this, &client] { poll(client); });
    }
}

void JobClients::Private::endJob(Client &client, EventKind kind)
{
    record(kind, client);
    client.isBusy = false;
    const auto pause = std::uniform_int_distribution<Duration::rep>(0, MaxThinkTime / 1us)(client.random);
    runAfter(std::chrono::microseconds(pause), [this, &client] { submitNext(client); });
}

void JobClients::Private::record(EventKind kind, const Client &client, JobShape shape)
{
    Event event;
    event.kind = kind;
    event.at = scheduler.now();
    event.job = client.job;
    event.shape = std::move(shape);
    recorder.record(std::move(event));
}

} // namespace monsoonspool::soak
