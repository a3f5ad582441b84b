#include "ports/http/httpplatform.h"

#include "codec/platformjson.h"
#include "codec/typejson.h"
#include "http/apiclient.h"
#include "http/apiserver.h"

#include <optional>
#include <utility>

namespace monsoonspool::ports::http {

using codec::Json;
using monsoonspool::http::ApiAnswer;
using monsoonspool::http::ApiCall;
using monsoonspool::http::ApiClient;
using monsoonspool::http::encodeUrl;

namespace {

constexpr std::chrono::milliseconds CallTimeout{5000};
constexpr int StatusBadRequest = 400;
constexpr int StatusServerError = 500;

// The error kinds that a class of calls reports.
struct FailureKinds
{
    ErrorKind noEffect; // the call was not executed
    ErrorKind effectUnknown; // the call may have been executed
};

constexpr FailureKinds ReadFailures{ErrorKind::StoreUnavailable, ErrorKind::StoreUnavailable};
constexpr FailureKinds WriteFailures{ErrorKind::StoreUnavailable, ErrorKind::StoreReplyLost};
constexpr FailureKinds WorkerFailures{ErrorKind::DaemonUnreachable, ErrorKind::StoreReplyLost};

// Returns the failure named in the body of an answer.
std::optional<Failure> decodeFailure(const Json &json)
{
    const auto name = json.value("error", std::string());
    if (name.empty()) {
        return std::nullopt;
    }
    return Failure{errorKindFromName(name), json.value("detail", std::string())};
}

// Converts the outcome of a call into a value decoded by `decode`, or into a failure.
template <typename T, typename F>
AsyncResult<T> decodeAnswer(const AsyncResult<ApiAnswer> &result, FailureKinds kinds, F decode)
{
    if (!result.isOk()) {
        const bool isLost = result.failure().kind == ErrorKind::StoreReplyLost;
        return Failure{isLost ? kinds.effectUnknown : kinds.noEffect, result.failure().detail};
    }
    const auto &answer = result.value();
    return handleFailure(
        [&]() -> Result<AsyncResult<T>> {
            BOOST_LEAF_AUTO(json, codec::parseJson(answer.body));
            if (answer.status >= StatusServerError) {
                return AsyncResult<T>(decodeFailure(json).value_or(
                    Failure{kinds.effectUnknown, "status " + std::to_string(answer.status)}));
            }
            if (answer.status >= StatusBadRequest) {
                return AsyncResult<T>(
                    decodeFailure(json).value_or(Failure{kinds.noEffect, "status " + std::to_string(answer.status)}));
            }
            BOOST_LEAF_AUTO(value, decode(json));
            return AsyncResult<T>(std::move(value));
        },
        [&](const Failure &failure) {
            return AsyncResult<T>(Failure{kinds.effectUnknown, failure.detail});
        });
}

class HttpTable : public TableService
{
public:
    explicit HttpTable(ApiClient &client) : m_client(client)
    {
    }

    void read(std::string_view key, Handler<std::optional<Row>> handler) override
    {
        ApiCall call{"GET", "/table/row?key=" + encodeUrl(key), {}, {}, CallTimeout};
        m_client.call(std::move(call), [handler = std::move(handler)](const AsyncResult<ApiAnswer> &result) {
            handler(decodeAnswer<std::optional<Row>>(result, ReadFailures,
                                                     [](const Json &json) -> Result<std::optional<Row>> {
                                                         if (!json.contains("row") || json["row"].is_null()) {
                                                             return std::optional<Row>();
                                                         }
                                                         BOOST_LEAF_AUTO(row, codec::rowFromJson(json["row"]));
                                                         return std::optional<Row>(std::move(row));
                                                     }));
        });
    }

    void scan(std::string_view first, std::string_view last, int limit, Handler<std::vector<Row>> handler) override
    {
        ApiCall call{"GET",
                     "/table/scan?first=" + encodeUrl(first) + "&last=" + encodeUrl(last)
                         + "&limit=" + std::to_string(limit),
                     {},
                     {},
                     CallTimeout};
        m_client.call(std::move(call), [handler = std::move(handler)](const AsyncResult<ApiAnswer> &result) {
            handler(
                decodeAnswer<std::vector<Row>>(result, ReadFailures, [](const Json &json) -> Result<std::vector<Row>> {
                    std::vector<Row> rows;
                    for (const auto &it : json.value("rows", Json::array())) {
                        BOOST_LEAF_AUTO(row, codec::rowFromJson(it));
                        rows.push_back(std::move(row));
                    }
                    return rows;
                }));
        });
    }

    void commit(std::span<const RowWrite> writes, Handler<std::uint64_t> handler) override
    {
        ApiCall call{
            "POST", "/table/commit", codec::writeJson({{"writes", codec::writesToJson(writes)}}), {}, CallTimeout};
        m_client.call(std::move(call), [handler = std::move(handler)](const AsyncResult<ApiAnswer> &result) {
            handler(decodeAnswer<std::uint64_t>(result, WriteFailures, [](const Json &json) -> Result<std::uint64_t> {
                return codec::decode([&] { return json.at("version").get<std::uint64_t>(); });
            }));
        });
    }

private:
    ApiClient &m_client;
};

class HttpObjects : public ObjectStore
{
public:
    explicit HttpObjects(ApiClient &client) : m_client(client)
    {
    }

    void put(std::string_view name, std::string_view value, Handler<Done> handler) override
    {
        ApiCall call{"PUT", target(name), codec::writeJson({{"value", codec::toBase64(value)}}), {}, CallTimeout};
        m_client.call(std::move(call), done(std::move(handler)));
    }

    void get(std::string_view name, Handler<std::optional<std::string>> handler) override
    {
        m_client.call({"GET", target(name), {}, {}, CallTimeout},
                      [handler = std::move(handler)](const AsyncResult<ApiAnswer> &result) {
                          handler(decodeAnswer<std::optional<std::string>>(
                              result, ReadFailures, [](const Json &json) -> Result<std::optional<std::string>> {
                                  if (!json.contains("value") || json["value"].is_null()) {
                                      return std::optional<std::string>();
                                  }
                                  BOOST_LEAF_AUTO(text,
                                                  codec::decode([&] { return json["value"].get<std::string>(); }));
                                  BOOST_LEAF_AUTO(value, codec::fromBase64(text));
                                  return std::optional<std::string>(std::move(value));
                              }));
                      });
    }

    void remove(std::string_view name, Handler<Done> handler) override
    {
        m_client.call({"DELETE", target(name), {}, {}, CallTimeout}, done(std::move(handler)));
    }

private:
    static std::string target(std::string_view name)
    {
        return "/objects?name=" + encodeUrl(name);
    }
    static Handler<ApiAnswer> done(Handler<Done> handler)
    {
        return [handler = std::move(handler)](const AsyncResult<ApiAnswer> &result) {
            handler(decodeAnswer<Done>(result, WriteFailures, [](const Json &) -> Result<Done> { return Done{}; }));
        };
    }

    ApiClient &m_client;
};

class HttpHosts : public HostList
{
public:
    explicit HttpHosts(ApiClient &client) : m_client(client)
    {
    }

    void list(Handler<HostListing> handler) override
    {
        m_client.call(
            {"GET", "/hosts", {}, {}, CallTimeout},
            [handler = std::move(handler)](const AsyncResult<ApiAnswer> &result) {
                handler(decodeAnswer<HostListing>(result, ReadFailures, [](const Json &json) -> Result<HostListing> {
                    return codec::decode([&] { return json.get<HostListing>(); });
                }));
            });
    }

private:
    ApiClient &m_client;
};

class HttpWorkers : public WorkerAgent
{
public:
    explicit HttpWorkers(ApiClient &client) : m_client(client)
    {
    }

    void start(const WorkerId &worker, const StartOrder &order, Handler<Done> handler) override
    {
        sendOrder(worker, "start", codec::startOrderToJson(order), std::move(handler));
    }

    void renew(const WorkerId &worker, Epoch epoch, Duration lease, std::span<const AttemptId> acknowledged,
               Handler<WorkerReport> handler) override
    {
        Json ended = Json::array();
        for (const auto &it : acknowledged) {
            ended.push_back(codec::attemptToJson(it));
        }
        const Json body{{"epoch", epoch}, {"leaseMs", toMilliseconds(lease)}, {"acknowledged", std::move(ended)}};
        m_client.call({"POST", target(worker, "renew"), codec::writeJson(body), {}, CallTimeout},
                      [handler = std::move(handler)](const AsyncResult<ApiAnswer> &result) {
                          handler(decodeAnswer<WorkerReport>(
                              result, WorkerFailures, [](const Json &json) { return codec::reportFromJson(json); }));
                      });
    }

    void stop(const WorkerId &worker, Epoch epoch, const AttemptId &attempt, Handler<Done> handler) override
    {
        sendOrder(worker, "stop", attemptBody(epoch, attempt), std::move(handler));
    }

    void checkpoint(const WorkerId &worker, Epoch epoch, const AttemptId &attempt, Handler<Done> handler) override
    {
        sendOrder(worker, "checkpoint", attemptBody(epoch, attempt), std::move(handler));
    }

    void throttle(const WorkerId &worker, Epoch epoch, const AttemptId &attempt, double processorShare,
                  Handler<Done> handler) override
    {
        Json body = attemptBody(epoch, attempt);
        body["part"] = processorShare;
        sendOrder(worker, "throttle", body, std::move(handler));
    }

private:
    static std::string target(const WorkerId &worker, std::string_view verb)
    {
        return "/workers/" + encodeUrl(worker.view()) + "/" + std::string(verb);
    }
    static Json attemptBody(Epoch epoch, const AttemptId &attempt)
    {
        return {{"epoch", epoch}, {"attempt", codec::attemptToJson(attempt)}};
    }
    void sendOrder(const WorkerId &worker, std::string_view verb, const Json &body, Handler<Done> handler)
    {
        m_client.call({"POST", target(worker, verb), codec::writeJson(body), {}, CallTimeout},
                      [handler = std::move(handler)](const AsyncResult<ApiAnswer> &result) {
                          handler(decodeAnswer<Done>(result, WorkerFailures,
                                                     [](const Json &) -> Result<Done> { return Done{}; }));
                      });
    }

    ApiClient &m_client;
};

} // namespace

struct HttpPlatform::Private
{
    Private(boost::asio::io_context &io, Address address)
        : client(io, std::move(address)), table(client), objects(client), hosts(client), workers(client)
    {
    }
    ApiClient client;
    HttpTable table;
    HttpObjects objects;
    HttpHosts hosts;
    HttpWorkers workers;
};

HttpPlatform::HttpPlatform(boost::asio::io_context &io, Address address)
    : d(std::make_unique<Private>(io, std::move(address)))
{
}

HttpPlatform::~HttpPlatform() = default;

TableService &HttpPlatform::table()
{
    return d->table;
}

ObjectStore &HttpPlatform::objects()
{
    return d->objects;
}

HostList &HttpPlatform::hosts()
{
    return d->hosts;
}

WorkerAgent &HttpPlatform::workers()
{
    return d->workers;
}

} // namespace monsoonspool::ports::http
