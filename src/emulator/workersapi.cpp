#include "emulator/workersapi.h"

#include "codec/json.h"
#include "jobs/names.h"

#include <array>
#include <charconv>
#include <string>

namespace monsoonspool::emulator {

namespace {

using codec::Json;

constexpr int Ok = 200;
constexpr int BadRequest = 400;
constexpr int NotFound = 404;
constexpr int Conflict = 409;
constexpr int ServiceUnavailable = 503;
constexpr int HexBase = 16;
constexpr int DecimalBase = 10;
// Listed for every run: a tail latency in ms of a serving task, and the cores in use of others.
constexpr int Level = 2;

// Decodes "ID.K.STEP.INDEX", with the ID in hexadecimal.
jobs::TaskId taskOf(std::string_view name)
{
    std::array<std::uint64_t, 4> numbers{};
    const char *position = name.data();
    const char *end = name.data() + name.size();
    int base = HexBase;
    for (auto &it : numbers) {
        position = std::from_chars(position, end, it, base).ptr;
        position += position < end ? 1 : 0;
        base = DecimalBase;
    }
    return {{numbers[0]}, static_cast<int>(numbers[1]), static_cast<int>(numbers[2]), static_cast<int>(numbers[3])};
}

ports::LeaseOrder leaseOrderOf(const Json &json)
{
    ports::LeaseOrder order;
    order.fence = {json.value("fence", std::uint64_t(0))};
    order.acknowledgedEnd = json.value("lastSeen", std::int64_t(0));
    order.deadline = json.value("deadlineMs", ports::WorkerMillis(0));
    order.wait = std::chrono::milliseconds(json.value("waitMs", 0));
    return order;
}

ports::RunOrder runOrderOf(const Json &json)
{
    ports::RunOrder order;
    order.fence = {json.value("fence", std::uint64_t(0))};
    order.task = taskOf(json.at("task").get_ref<const std::string &>());
    order.run = json.at("run").get<jobs::RunNumber>();
    order.payload = json.value("spec", std::string());
    order.deadline = json.value("deadlineMs", ports::WorkerMillis(0));
    return order;
}

http::ApiResponse failureResponse(const Failure &failure)
{
    if (failure.kind == ErrorKind::StaleEpoch) {
        return {Conflict, "application/json", R"({"reason":"fence"})", {}};
    }
    return {ServiceUnavailable, "application/json", "{}", {}};
}

std::string encodeListing(const ports::WorkerListing &listing)
{
    Json running = Json::array();
    for (const auto &it : listing.running) {
        running.push_back({jobs::taskName(it.task), it.run, it.checkpoint, it.percent, Level});
    }
    Json ended = Json::array();
    for (const auto &it : listing.ended) {
        ended.push_back({it.number, jobs::taskName(it.task), it.run, jobs::runEndName(it.outcome), it.checkpoint});
    }
    return codec::writeJson(
        {{"clockMs", listing.clock}, {"born", listing.startTimeMs}, {"running", running}, {"ended", ended}});
}

std::string_view reasonOf(ports::StartResult result)
{
    switch (result) {
    case ports::StartResult::Superseded:
        return "old";
    case ports::StartResult::TooLate:
        return "late";
    case ports::StartResult::InvalidTicket:
        return "ticket";
    default:
        return "room";
    }
}

} // namespace

struct WorkersApi::Private
{
    explicit Private(ports::memory::SimulatedWorkers &simulated) : workers(simulated)
    {
    }

    void renew(const WorkerId &id, const Json &json, http::ApiReply reply)
    {
        workers.poll(
            id, leaseOrderOf(json), [reply = std::move(reply)](const ports::AsyncResult<ports::WorkerListing> &result) {
                reply(result.isOk() ? http::ApiResponse{Ok, "application/json", encodeListing(result.value()), {}}
                                    : failureResponse(result.failure()));
            });
    }

    http::ApiResponse start(const WorkerId &id, const Json &json)
    {
        const auto result = workers.start(id, runOrderOf(json));
        if (!result.isOk()) {
            return failureResponse(result.failure());
        }
        if (result.value() == ports::StartResult::Accepted) {
            return {Ok, "application/json", "{}", {}};
        }
        return {Conflict, "application/json", R"({"reason":")" + std::string(reasonOf(result.value())) + "\"}", {}};
    }

    http::ApiResponse stop(const WorkerId &id, const Json &json)
    {
        const auto order = runOrderOf(json);
        const auto result = workers.stop(id, order.fence, order.task, order.run);
        return result.isOk() ? http::ApiResponse{Ok, "application/json", "{}", {}} : failureResponse(result.failure());
    }

    ports::memory::SimulatedWorkers &workers;
};

WorkersApi::WorkersApi(ports::memory::SimulatedWorkers &workers) : d(std::make_unique<Private>(workers))
{
}

WorkersApi::~WorkersApi() = default;

void WorkersApi::handle(const http::ApiRequest &request, http::ApiReply reply)
{
    const WorkerId id(request.field("Expect-Instance"));
    const auto json = Json::parse(request.body, nullptr, false);
    if (!json.is_object()) {
        reply({BadRequest, "application/json", "{}", {}});
    } else if (request.path == "/hold") {
        d->renew(id, json, std::move(reply));
    } else if (request.path == "/run-start") {
        reply(d->start(id, json));
    } else if (request.path == "/run-stop") {
        reply(d->stop(id, json));
    } else if (request.path == "/pace") {
        reply({Ok, "application/json", "{}", {}});
    } else {
        reply({NotFound, "application/json", "{}", {}});
    }
}

} // namespace monsoonspool::emulator
