#include "soak/workerstandin.h"

#include "codec/json.h"
#include "jobs/names.h"
#include "platform/wirecodec.h"

#include <algorithm>
#include <chrono>
#include <deque>
#include <limits>
#include <map>
#include <optional>
#include <utility>

namespace monsoonspool::soak {

namespace {

using codec::Json;

constexpr long long MaxLeaseMs = 10'000;
constexpr long long MaxWaitMs = 2'000;
constexpr Duration StopTime = 50ms;
constexpr std::size_t MaxListedEnds = 500;

constexpr int Ok = 200;
constexpr int BadRequest = 400;
constexpr int NotFound = 404;
constexpr int Conflict = 409;
constexpr int MisdirectedRequest = 421;

struct ActiveRun
{
    TimePoint startedAt;
    TimePoint endsAt;
    bool isFailing = false;
    std::optional<TimePoint> stopsAt;
};

struct EndedRun
{
    long long number = 0;
    jobs::TaskId task;
    jobs::RunNumber run = 0;
    RunEndKind how = RunEndKind::Done;
};

// A listing that waits for an end.
struct WaitingListing
{
    TimePoint until;
    http::ApiReply reply;
};

} // namespace

struct WorkerStandIn::Private
{
    long long clockMs(TimePoint now) const;
    void extendLease(const Json &order, TimePoint now);
    http::ApiResponse respond(int status, TimePoint now, std::string_view reason = {}) const;
    http::ApiResponse start(const Json &order, TimePoint now);
    http::ApiResponse stop(const Json &order, TimePoint now);
    void list(const Json &order, http::ApiReply reply, TimePoint now);
    http::ApiResponse listing(TimePoint now) const;
    std::optional<RunEndKind> endOf(const ActiveRun &run, TimePoint now) const;
    void end(const jobs::TaskId &task, jobs::RunNumber number, RunEndKind how, TimePoint now);
    void record(EventKind kind, const jobs::TaskId &task, jobs::RunNumber run, RunEndKind how, TimePoint now);

    WorkerOptions options;
    TaskPlan &plan;
    Recorder &recorder;
    FaultCounts &faults;
    TimePoint startedAt;
    long long bornMs = 0; // Unix time
    long long fence = 0;
    long long leaseDeadlineMs = 0; // on its clock
    long long lastEnd = 0;
    std::map<std::pair<jobs::TaskId, jobs::RunNumber>, ActiveRun> active;
    std::map<jobs::TaskId, jobs::RunNumber> highestEnded; // or stopped
    std::deque<EndedRun> ended; // that were not acknowledged
    std::vector<WaitingListing> waiting;
};

WorkerStandIn::WorkerStandIn(WorkerOptions options, TaskPlan &plan, Recorder &recorder, FaultCounts &faults,
                             TimePoint now)
    : d(new Private{std::move(options), plan, recorder, faults, now, {}, {}, {}, {}, {}, {}, {}, {}})
{
    d->bornMs
        = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
              .count();
}

WorkerStandIn::~WorkerStandIn() = default;

void WorkerStandIn::handle(const http::ApiRequest &request, http::ApiReply reply)
{
    const auto now = monotonicNow();
    const auto instance = request.field("Expect-Instance");
    if (!instance.empty() && instance != d->options.id) {
        reply({MisdirectedRequest, "application/json", "{}", {}});
        return;
    }
    const auto order = Json::parse(request.body, nullptr, false);
    if (!order.is_object()) {
        reply(d->respond(BadRequest, now));
        return;
    }
    const auto fence = order.value("fence", 0LL);
    if (fence < d->fence) {
        reply(d->respond(Conflict, now, "fence"));
        return;
    }
    d->fence = fence;
    if (request.path == "/hold") {
        d->list(order, std::move(reply), now);
    } else if (request.path == "/run-start") {
        reply(d->start(order, now));
    } else if (request.path == "/run-stop") {
        reply(d->stop(order, now));
    } else {
        reply(d->respond(request.path == "/pace" ? Ok : NotFound, now));
    }
}

void WorkerStandIn::advance(TimePoint now)
{
    for (auto it = d->active.begin(); it != d->active.end();) {
        const auto how = d->endOf(it->second, now);
        const auto key = it->first;
        it = how ? d->active.erase(it) : std::next(it);
        if (how) {
            d->end(key.first, key.second, *how, now);
        }
    }
    std::vector<WaitingListing> answered;
    std::erase_if(d->waiting, [&](WaitingListing &it) {
        const bool isDue = !d->ended.empty() || it.until <= now;
        if (isDue) {
            answered.push_back(std::move(it));
        }
        return isDue;
    });
    for (const auto &it : answered) {
        it.reply(d->listing(now));
    }
}

std::string WorkerStandIn::registryEntry(std::string_view address) const
{
    return codec::writeJson(
        {{"service", d->options.service},
         {"address", address},
         {"zone", d->options.domain},
         {"version", "v1"},
         {"slots", 8},
         {"state", "ready"},
         {"coldRemainingMs", 0},
         {"capacity", {{"cpu", d->options.milliCores}, {"memMb", d->options.memoryMiB}, {"gpu", 0}}},
         {"labels", {"a", d->options.rack}},
         {"born", d->bornMs}});
}

const WorkerOptions &WorkerStandIn::options() const
{
    return d->options;
}

long long WorkerStandIn::Private::clockMs(TimePoint now) const
{
    return toMilliseconds(now - startedAt) + 1;
}

void WorkerStandIn::Private::extendLease(const Json &order, TimePoint now)
{
    leaseDeadlineMs = std::max(leaseDeadlineMs, std::min(order.value("deadlineMs", 0LL), clockMs(now) + MaxLeaseMs));
}

http::ApiResponse WorkerStandIn::Private::respond(int status, TimePoint now, std::string_view reason) const
{
    Json json = {{"clockMs", clockMs(now)}};
    if (!reason.empty()) {
        json["reason"] = reason;
    }
    return {status, "application/json", codec::writeJson(json), {}};
}

http::ApiResponse WorkerStandIn::Private::start(const Json &order, TimePoint now)
{
    const auto task = platform::decodeTaskName(order.value("task", std::string()));
    const auto run = order.value("run", jobs::RunNumber(0));
    if (!task) {
        return respond(BadRequest, now);
    }
    if (active.contains({*task, run})) {
        return respond(Ok, now);
    }
    if (const auto it = highestEnded.find(*task); it != highestEnded.end() && run <= it->second) {
        extendLease(order, now);
        return respond(Conflict, now, "old");
    }
    if (order.value("deadlineMs", 0LL) < clockMs(now)) {
        return respond(Conflict, now, "late");
    }
    extendLease(order, now);
    const bool isFailing = plan.takeFailure(*task);
    active[{*task, run}] = {now, now + plan.runTime(*task), isFailing, std::nullopt};
    record(EventKind::RunStarted, *task, run, RunEndKind::Done, now);
    return respond(Ok, now);
}

http::ApiResponse WorkerStandIn::Private::stop(const Json &order, TimePoint now)
{
    const auto task = platform::decodeTaskName(order.value("task", std::string()));
    const auto number = order.value("run", jobs::RunNumber(0));
    if (!task) {
        return respond(BadRequest, now);
    }
    for (auto &[key, run] : active) {
        if (key.first == *task && key.second <= number && !run.stopsAt) {
            run.stopsAt = now + StopTime;
        }
    }
    auto &highest = highestEnded[*task];
    highest = std::max(highest, number);
    return respond(Ok, now);
}

void WorkerStandIn::Private::list(const Json &order, http::ApiReply reply, TimePoint now)
{
    const auto lastSeen = order.value("lastSeen", 0LL);
    std::erase_if(ended, [&](const EndedRun &it) { return it.number <= lastSeen; });
    extendLease(order, now);
    const auto wait = std::chrono::milliseconds(std::clamp(order.value("waitMs", 0LL), 0LL, MaxWaitMs));
    if (!ended.empty() || wait.count() == 0) {
        reply(listing(now));
        return;
    }
    waiting.push_back({now + wait, std::move(reply)});
}

http::ApiResponse WorkerStandIn::Private::listing(TimePoint now) const
{
    auto running = Json::array();
    for (const auto &[key, run] : active) {
        const auto percent = std::min<long long>((now - run.startedAt) * 100 / (run.endsAt - run.startedAt), 99);
        running.push_back({jobs::taskName(key.first), key.second, "", percent, 1});
    }
    auto ends = Json::array();
    for (const auto &it : ended) {
        if (ends.size() < MaxListedEnds) {
            ends.push_back({it.number, jobs::taskName(it.task), it.run, runEndKindName(it.how), ""});
        }
    }
    const Json json = {{"clockMs", clockMs(now)}, {"born", bornMs}, {"running", running}, {"ended", ends}};
    return {Ok, "application/json", codec::writeJson(json), {}};
}

std::optional<RunEndKind> WorkerStandIn::Private::endOf(const ActiveRun &run, TimePoint now) const
{
    if (run.stopsAt && now >= *run.stopsAt) {
        return RunEndKind::Stopped;
    }
    if (now >= run.endsAt) {
        return run.isFailing ? RunEndKind::Failed : RunEndKind::Done;
    }
    if (clockMs(now) > leaseDeadlineMs) {
        return RunEndKind::Lapsed;
    }
    return std::nullopt;
}

void WorkerStandIn::Private::end(const jobs::TaskId &task, jobs::RunNumber number, RunEndKind how, TimePoint now)
{
    ended.push_back({++lastEnd, task, number, how});
    auto &highest = highestEnded[task];
    highest = std::max(highest, number);
    if (how == RunEndKind::Failed) {
        faults.add(FaultKind::RunFailed);
    }
    record(EventKind::RunEnded, task, number, how, now);
}

void WorkerStandIn::Private::record(EventKind kind, const jobs::TaskId &task, jobs::RunNumber run, RunEndKind how,
                                    TimePoint now)
{
    Event event;
    event.kind = kind;
    event.at = now;
    event.job = task.job;
    event.worker = options.id;
    event.task = task;
    event.run = run;
    event.runEnd = how;
    recorder.record(std::move(event));
}

} // namespace monsoonspool::soak
