#include "operators/operatorsapi.h"

#include "codec/documentjson.h"
#include "codec/jobjson.h"
#include "codec/statejson.h"
#include "codec/typejson.h"
#include "common/secret.h"
#include "http/connectionmetrics.h"
#include "logging/log.h"

#include <algorithm>
#include <charconv>

namespace monsoonspool::operators {

using codec::Json;

namespace {

constexpr std::string_view DocumentsPath = "/documents/";
constexpr std::string_view JobsPath = "/jobs/";
constexpr std::string_view HistorySuffix = "/history";
constexpr std::string_view AuthorizationPrefix = "Bearer ";

http::ApiResponse jsonResponse(const Json &json, int status = 200)
{
    return {status, "application/json", codec::writeJson(json), {}};
}

Json failureJson(const Failure &failure)
{
    const auto &row = errorInfo(failure.kind);
    return {{"error", row.name},
            {"meaning", row.meaning},
            {"outcome", outcomeName(row.outcome)},
            {"detail", failure.detail}};
}

Json faultsJson(std::span<const documents::DocumentFault> faults)
{
    Json rows = Json::array();
    for (const auto &it : faults) {
        rows.push_back({{"path", it.path}, {"problem", it.problem}});
    }
    return rows;
}

Json differencesJson(std::string_view before, std::string_view after)
{
    return handleFailure(
        [&]() -> Result<Json> {
            BOOST_LEAF_AUTO(differences, codec::diffDocuments(before, after));
            Json rows = Json::array();
            for (const auto &it : differences) {
                rows.push_back({{"path", it.path}, {"before", it.before}, {"after", it.after}});
            }
            return rows;
        },
        [](const Failure &) { return Json::array(); });
}

} // namespace

http::ApiResponse failureResponse(const Failure &failure)
{
    return jsonResponse(failureJson(failure), errorInfo(failure.kind).httpStatus);
}

struct OperatorsApi::Private
{
    OperatorsPorts ports;
    ProcessInfo facts;
    std::vector<std::string> keys;

    bool isAuthorized(const http::ApiRequest &request) const;
    void state(const http::ApiRequest &request, const http::ApiReply &reply);
    Json controlState() const;
    void listDocuments(const http::ApiReply &reply);
    void document(const http::ApiRequest &request, std::string_view name, const http::ApiReply &reply);
    void history(std::string_view name, const http::ApiReply &reply);
    void check(const http::ApiRequest &request, const http::ApiReply &reply);
    void apply(const http::ApiRequest &request, std::string_view name, const http::ApiReply &reply);
    void jobs(const http::ApiRequest &request, const http::ApiReply &reply);
    void submit(const http::ApiRequest &request, const http::ApiReply &reply);
};

OperatorsApi::OperatorsApi(OperatorsPorts ports, ProcessInfo facts)
    : d(new Private{std::move(ports), std::move(facts), {}})
{
}

OperatorsApi::~OperatorsApi() = default;

void OperatorsApi::setKeys(std::vector<std::string> keys)
{
    d->keys = std::move(keys);
}

bool OperatorsApi::Private::isAuthorized(const http::ApiRequest &request) const
{
    const std::string_view value = request.authorization;
    if (keys.empty()) {
        return true;
    }
    return value.starts_with(AuthorizationPrefix) && std::ranges::any_of(keys, [&](const auto &key) {
               return constantTimeEquals(key, value.substr(AuthorizationPrefix.size()));
           });
}

void OperatorsApi::handle(const http::ApiRequest &request, http::ApiReply reply)
{
    if (request.path == "/health") {
        reply(jsonResponse({{"draining", d->ports.loop.isDraining()}}, d->ports.loop.isDraining() ? 503 : 200));
        return;
    }
    if (!d->isAuthorized(request)) {
        reply(
            failureResponse({ErrorKind::Unauthorized, "the request needs the header field Authorization: Bearer KEY"}));
        return;
    }
    if (request.path == "/state" && request.method == "GET") {
        d->state(request, reply);
    } else if (request.path == "/documents" && request.method == "GET") {
        d->listDocuments(reply);
    } else if (request.path == "/documents" && request.method == "POST") {
        d->check(request, reply);
    } else if (request.path == "/documents/status" && request.method == "GET") {
        reply(jsonResponse(codec::documentStatus(d->ports.loop, d->ports.now())));
    } else if (request.path.starts_with(DocumentsPath)) {
        d->document(request, std::string_view(request.path).substr(DocumentsPath.size()), reply);
    } else if (request.path == "/jobs" || request.path.starts_with(JobsPath)) {
        d->jobs(request, reply);
    } else {
        reply(failureResponse({ErrorKind::UnknownResource, request.method + " " + request.path}));
    }
}

void OperatorsApi::Private::jobs(const http::ApiRequest &request, const http::ApiReply &reply)
{
    auto &coordinator = ports.loop.placementCoordinator();
    const bool isOne = request.path != "/jobs";
    const auto answer = [reply, isOne](const control::JobReply &result) {
        if (result.failure) {
            reply(failureResponse(*result.failure));
        } else if (isOne) {
            reply(jsonResponse(result.jobs.front()));
        } else {
            reply(jsonResponse({{"jobs", result.jobs}}));
        }
    };
    if (request.path == "/jobs" && request.method == "POST") {
        submit(request, reply);
    } else if (request.path == "/jobs" && request.method == "GET") {
        coordinator.list(TeamName(request.queryValue("team")), ports.now(), answer);
    } else if (isOne && request.method == "GET") {
        coordinator.view(JobId(std::string_view(request.path).substr(JobsPath.size())), ports.now(), answer);
    } else if (isOne && request.method == "DELETE") {
        coordinator.cancel(JobId(std::string_view(request.path).substr(JobsPath.size())), ports.now(), answer);
    } else {
        reply(failureResponse({ErrorKind::UnknownResource, request.method + " " + request.path}));
    }
}

void OperatorsApi::Private::submit(const http::ApiRequest &request, const http::ApiReply &reply)
{
    const auto decoded = codec::decodeJob(request.body);
    if (!decoded.faults.empty()) {
        Json json = failureJson({ErrorKind::InvalidJob, std::to_string(decoded.faults.size()) + " faults"});
        json["faults"] = faultsJson(decoded.faults);
        reply(jsonResponse(json, errorInfo(ErrorKind::InvalidJob).httpStatus));
        return;
    }
    ports.loop.placementCoordinator().submit(decoded.spec, ports.now(), [reply](const control::JobReply &result) {
        reply(result.failure ? failureResponse(*result.failure) : jsonResponse(result.jobs.front()));
    });
}

Json OperatorsApi::Private::controlState() const
{
    const TimePoint now = ports.now();
    const auto counts = ports.peerCounts();
    const auto &loop = ports.loop;
    return {
        {"process", {{"version", facts.version}, {"host", facts.host}, {"incarnation", facts.incarnation}}},
        {"membership", codec::membershipState(loop, now)},
        {"ownership", codec::ownershipState(loop)},
        {"documents", codec::documentsState(ports.loop)},
        {"grants", codec::grantsState(loop, now)},
        {"records", codec::recordsState(loop)},
        {"placement", codec::placementState(ports.loop, now)},
        {"hosts", codec::hostsState(loop)},
        {"peers",
         {{"sent", counts.sent},
          {"sentBytes", counts.sentBytes},
          {"received", counts.received},
          {"receivedBytes", counts.receivedBytes},
          {"dropped", counts.dropped},
          {"rejected", counts.rejected},
          {"connects", counts.connects}}},
        {"connections", http::connectionState(ports.connections())},
        {"control",
         {{"peerMessages", loop.counts().peerMessages},
          {"laneEvents", loop.counts().laneEvents},
          {"snapshots", loop.counts().snapshots}}},
    };
}

void OperatorsApi::Private::state(const http::ApiRequest &request, const http::ApiReply &reply)
{
    const std::string section(request.queryValue("section"));
    ports.loop.describeLanes([this, section, reply](const std::vector<std::string> &lanes) {
        Json json = controlState();
        Json traffic = Json::array();
        for (const auto &it : lanes) {
            traffic.push_back(Json::parse(it));
        }
        json["traffic"] = std::move(traffic);
        if (section.empty()) {
            reply(jsonResponse(json));
        } else if (json.contains(section)) {
            reply(jsonResponse(Json{{section, json[section]}}));
        } else {
            reply(failureResponse({ErrorKind::UnknownResource, "section '" + section + "' does not exist"}));
        }
    });
}

void OperatorsApi::Private::listDocuments(const http::ApiReply &reply)
{
    reply(jsonResponse(codec::documentsState(ports.loop)));
}

void OperatorsApi::Private::document(const http::ApiRequest &request, std::string_view name,
                                     const http::ApiReply &reply)
{
    if (name.ends_with(HistorySuffix) && request.method == "GET") {
        history(name.substr(0, name.size() - HistorySuffix.size()), reply);
        return;
    }
    if (request.method == "PUT") {
        apply(request, name, reply);
        return;
    }
    const auto revision = ports.loop.documents().find(ServiceName(name));
    if (request.method != "GET" || !revision) {
        reply(failureResponse({ErrorKind::UnknownResource, "document '" + std::string(name) + "' does not exist"}));
        return;
    }
    reply(jsonResponse({{"service", name}, {"revision", revision->revision}, {"text", revision->text}}));
}

void OperatorsApi::Private::history(std::string_view name, const http::ApiReply &reply)
{
    ports.loop.documentStore().history(
        ServiceName(name), [reply](const ports::AsyncResult<std::vector<control::DocumentRow>> &rows) {
            if (!rows.isOk()) {
                reply(failureResponse(rows.failure()));
                return;
            }
            Json revisions = Json::array();
            for (const auto &it : rows.value()) {
                revisions.push_back({{"revision", it.revision}, {"author", it.author}, {"text", it.text}});
            }
            reply(jsonResponse({{"revisions", std::move(revisions)}}));
        });
}

void OperatorsApi::Private::check(const http::ApiRequest &request, const http::ApiReply &reply)
{
    const auto decoded = codec::decodeDocument(request.body);
    auto faults = decoded.faults;
    if (faults.empty()) {
        faults = documents::findConflicts(decoded.document, ports.loop.documents().documents());
    }
    if (faults.empty()) {
        reply(jsonResponse({{"service", decoded.document.service}, {"valid", true}}));
        return;
    }
    Json json = failureJson({ErrorKind::InvalidDocument, std::to_string(faults.size()) + " faults"});
    json["faults"] = faultsJson(faults);
    reply(jsonResponse(json, errorInfo(ErrorKind::InvalidDocument).httpStatus));
}

void OperatorsApi::Private::apply(const http::ApiRequest &request, std::string_view name, const http::ApiReply &reply)
{
    control::ApplyRequest change;
    change.service = ServiceName(name);
    change.text = request.body;
    change.author = request.queryValue("author");
    const auto base = request.queryValue("base");
    const auto [end, ec] = std::from_chars(base.data(), base.data() + base.size(), change.baseRevision);
    if (ec != std::errc() || end != base.data() + base.size()) {
        reply(
            failureResponse({ErrorKind::InvalidArguments,
                             "the base parameter must be the number of the edited revision, or 0 for a new document"}));
        return;
    }
    ports.loop.documentStore().apply(
        change, ports.now(), [reply, text = request.body](const control::ApplyOutcome &outcome) {
            if (const auto *result = std::get_if<control::ApplyResult>(&outcome)) {
                logging::log(logging::Level::Info, "document-applied", {{"revision", result->revision}});
                reply(jsonResponse(
                    {{"revision", result->revision}, {"differences", differencesJson(result->previousText, text)}}));
                return;
            }
            const auto &refusal = std::get<control::ApplyRefusal>(outcome);
            Json json = failureJson(refusal.failure);
            json["faults"] = faultsJson(refusal.faults);
            json["currentRevision"] = refusal.currentRevision;
            if (refusal.failure.kind == ErrorKind::DocumentConflict) {
                json["currentText"] = refusal.currentText;
                json["differences"] = differencesJson(refusal.currentText, text);
            }
            reply(jsonResponse(json, errorInfo(refusal.failure.kind).httpStatus));
        });
}

} // namespace monsoonspool::operators
