#include "emulator/platformapi.h"

#include "codec/platformjson.h"
#include "codec/typejson.h"
#include "operators/operatorsapi.h"

#include <charconv>

namespace monsoonspool::emulator {

using codec::Json;
using ports::AsyncResult;

namespace {

constexpr std::string_view WorkersPath = "/workers/";
constexpr int MaxScanRows = 100'000;

http::ApiResponse jsonResponse(const Json &json)
{
    return {200, "application/json", codec::writeJson(json), {}};
}

// Returns a handler that replies with `toJson` of the result, or with the failure.
template <typename T, typename F>
ports::Handler<T> replyWith(http::ApiReply reply, F toJson)
{
    return [reply = std::move(reply), toJson](const AsyncResult<T> &result) {
        reply(result.isOk() ? jsonResponse(toJson(result.value())) : operators::failureResponse(result.failure()));
    };
}

Json emptyObject(const ports::Done &)
{
    return Json::object();
}

} // namespace

struct PlatformApi::Private
{
    EmulatedPlatform &platform;

    void table(const http::ApiRequest &request, const http::ApiReply &reply);
    Result<void> commit(const http::ApiRequest &request, const http::ApiReply &reply);
    Result<void> objects(const http::ApiRequest &request, const http::ApiReply &reply);
    Result<void> hosts(const http::ApiRequest &request, const http::ApiReply &reply);
    Result<void> workers(const http::ApiRequest &request, const http::ApiReply &reply);
};

PlatformApi::PlatformApi(EmulatedPlatform &platform) : d(new Private{platform})
{
}

PlatformApi::~PlatformApi() = default;

void PlatformApi::handle(const http::ApiRequest &request, http::ApiReply reply)
{
    handleFailure(
        [&]() -> Result<void> {
            if (request.path == "/table/row" || request.path == "/table/scan") {
                d->table(request, reply);
                return {};
            }
            if (request.path == "/table/commit") {
                return d->commit(request, reply);
            }
            if (request.path == "/objects") {
                return d->objects(request, reply);
            }
            if (request.path == "/hosts") {
                return d->hosts(request, reply);
            }
            if (request.path.starts_with(WorkersPath)) {
                return d->workers(request, reply);
            }
            return fail(ErrorKind::UnknownResource, request.path);
        },
        [&](const Failure &failure) { reply(operators::failureResponse(failure)); });
}

void PlatformApi::Private::table(const http::ApiRequest &request, const http::ApiReply &reply)
{
    if (request.path == "/table/row") {
        platform.table.read(request.queryValue("key"), replyWith<std::optional<ports::Row>>(reply, [](const auto &row) {
                                return Json{{"row", row ? codec::rowToJson(*row) : Json()}};
                            }));
        return;
    }
    int limit = 0;
    const auto text = request.queryValue("limit");
    std::from_chars(text.data(), text.data() + text.size(), limit);
    platform.table.scan(request.queryValue("first"), request.queryValue("last"), std::clamp(limit, 0, MaxScanRows),
                        replyWith<std::vector<ports::Row>>(reply, [](const auto &rows) {
                            Json json = Json::array();
                            for (const auto &it : rows) {
                                json.push_back(codec::rowToJson(it));
                            }
                            return Json{{"rows", std::move(json)}};
                        }));
}

Result<void> PlatformApi::Private::commit(const http::ApiRequest &request, const http::ApiReply &reply)
{
    BOOST_LEAF_AUTO(json, codec::parseJson(request.body));
    BOOST_LEAF_AUTO(writes, codec::writesFromJson(json.value("writes", Json::array())));
    platform.table.commit(writes, replyWith<std::uint64_t>(reply, [](std::uint64_t version) {
                              return Json{{"version", version}};
                          }));
    return {};
}

Result<void> PlatformApi::Private::objects(const http::ApiRequest &request, const http::ApiReply &reply)
{
    const auto name = request.queryValue("name");
    if (request.method == "PUT") {
        BOOST_LEAF_AUTO(json, codec::parseJson(request.body));
        BOOST_LEAF_AUTO(text, codec::decode([&] { return json.at("value").get<std::string>(); }));
        BOOST_LEAF_AUTO(value, codec::fromBase64(text));
        platform.objects.put(name, value, replyWith<ports::Done>(reply, emptyObject));
    } else if (request.method == "DELETE") {
        platform.objects.remove(name, replyWith<ports::Done>(reply, emptyObject));
    } else {
        platform.objects.get(name, replyWith<std::optional<std::string>>(reply, [](const auto &value) {
                                 return Json{{"value", value ? Json(codec::toBase64(*value)) : Json()}};
                             }));
    }
    return {};
}

Result<void> PlatformApi::Private::hosts(const http::ApiRequest &request, const http::ApiReply &reply)
{
    if (request.method != "PUT") {
        platform.hosts.list(replyWith<ports::HostListing>(reply, [](const auto &listing) { return Json(listing); }));
        return {};
    }
    BOOST_LEAF_AUTO(json, codec::parseJson(request.body));
    BOOST_LEAF_AUTO(listing, codec::decode([&] { return json.get<ports::HostListing>(); }));
    for (const auto &it : listing.workers) {
        platform.workers.add(it.id, it.capacity);
    }
    platform.hosts.set(std::move(listing));
    reply(jsonResponse(Json::object()));
    return {};
}

Result<void> PlatformApi::Private::workers(const http::ApiRequest &request, const http::ApiReply &reply)
{
    const auto rest = std::string_view(request.path).substr(WorkersPath.size());
    const auto slash = rest.find('/');
    const WorkerId worker(http::decodeUrl(rest.substr(0, slash)));
    const auto operation = slash == std::string_view::npos ? std::string_view() : rest.substr(slash + 1);
    BOOST_LEAF_AUTO(json, codec::parseJson(request.body));
    if (operation == "start") {
        BOOST_LEAF_AUTO(order, codec::startOrderFromJson(json));
        platform.workers.start(worker, order, replyWith<ports::Done>(reply, emptyObject));
        return {};
    }
    BOOST_LEAF_AUTO(epoch, codec::decode([&] { return json.at("epoch").get<Epoch>(); }));
    if (operation == "renew") {
        std::vector<ports::AttemptId> acknowledged;
        for (const auto &it : json.value("acknowledged", Json::array())) {
            BOOST_LEAF_AUTO(attempt, codec::decode([&] { return codec::attemptFromJson(it); }));
            acknowledged.push_back(attempt);
        }
        const Duration lease(std::chrono::milliseconds(json.value("leaseMs", 0)));
        platform.workers.renew(worker, epoch, lease, acknowledged,
                               replyWith<ports::WorkerReport>(reply, codec::reportToJson));
        return {};
    }
    BOOST_LEAF_AUTO(attempt, codec::decode([&] { return codec::attemptFromJson(json.at("attempt")); }));
    if (operation == "stop") {
        platform.workers.stop(worker, epoch, attempt, replyWith<ports::Done>(reply, emptyObject));
    } else if (operation == "checkpoint") {
        platform.workers.checkpoint(worker, epoch, attempt, replyWith<ports::Done>(reply, emptyObject));
    } else if (operation == "throttle") {
        platform.workers.throttle(worker, epoch, attempt, json.value("part", 1.0),
                                  replyWith<ports::Done>(reply, emptyObject));
    } else {
        return fail(ErrorKind::UnknownResource, request.path);
    }
    return {};
}

} // namespace monsoonspool::emulator
