#include "codec/documentjson.h"

#include "codec/documentschema.h"
#include "codec/schema.h"

#include <cmath>
#include <map>
#include <set>

namespace monsoonspool::codec {

namespace {

constexpr double MilliPerUnit = 1000;

const Schema &schema()
{
    static const Schema instance(documentSchemaText());
    return instance;
}

Duration durationOr(const Json &json, const char *key, Duration fallback)
{
    return json.contains(key) ? Duration(std::chrono::milliseconds(json[key].get<std::int64_t>())) : fallback;
}

const Json &objectOrEmpty(const Json &json, const char *key)
{
    static const Json empty = Json::object();
    const auto it = json.find(key);
    return it == json.end() ? empty : *it;
}

documents::UrgencyClass urgencyClassFrom(const Json &json)
{
    documents::UrgencyClass result;
    result.name = json["name"].get<std::string>();
    result.rank = json["rank"].get<int>();
    result.deadline = durationOr(json, "deadlineMs", result.deadline);
    result.guaranteedShare = json.value("guaranteedShare", result.guaranteedShare);
    result.queueLimit = json.value("queueLimit", result.queueLimit);
    return result;
}

documents::InstanceRequirements needsFrom(const Json &json)
{
    documents::InstanceRequirements needs;
    needs.resources.milliCores = std::llround(json.value("cores", 1.0) * MilliPerUnit);
    needs.resources.memoryMiB = json.value("memoryMiB", std::int64_t{1024});
    needs.resources.accelerators = json.value("accelerators", std::int64_t{0});
    needs.instances = json.value("instances", 0);
    return needs;
}

documents::PressurePolicy pressureFrom(const Json &json)
{
    documents::PressurePolicy rules;
    const bool isUnrecorded = json.value("storeOutage", std::string("wait")) == "send-unrecorded";
    rules.storeOutage
        = isUnrecorded ? documents::StoreOutagePolicy::SendUnrecorded : documents::StoreOutagePolicy::Wait;
    rules.retryBudget = json.value("retryBudget", rules.retryBudget);
    rules.mayHedge = json.value("hedge", rules.mayHedge);
    rules.hedgeAfter = durationOr(json, "hedgeAfterMs", rules.hedgeAfter);
    rules.maxEvictionsPerHour = json.value("maxEvictionsPerHour", rules.maxEvictionsPerHour);
    return rules;
}

documents::ServiceDocument documentFrom(const Json &json)
{
    documents::ServiceDocument document;
    document.service = ServiceName(json["service"].get<std::string>());
    document.team = TeamName(json["team"].get<std::string>());
    document.pool = PoolName(json.value("pool", document.service.text()));
    document.hostNames = json.value("hostNames", std::vector<std::string>{document.service.text()});
    document.isIdempotent = json.value("idempotent", document.isIdempotent);
    document.weight = json.value("weight", document.weight);
    document.timeLimit = durationOr(json, "timeLimitMs", document.timeLimit);
    document.slotsPerTarget = objectOrEmpty(json, "target").value("slots", document.slotsPerTarget);
    document.connectionsPerTarget = objectOrEmpty(json, "target").value("connections", document.connectionsPerTarget);
    document.teamQuotaMilliCores = std::llround(objectOrEmpty(json, "batch").value("quotaCores", 0.0) * MilliPerUnit);
    document.needs = needsFrom(objectOrEmpty(json, "needs"));
    document.pressure = pressureFrom(objectOrEmpty(json, "pressure"));
    for (const auto &it : json["urgency"]) {
        document.urgency.push_back(urgencyClassFrom(it));
    }
    return document;
}

Json urgencyClassToJson(const documents::UrgencyClass &urgency)
{
    return {{"name", urgency.name},
            {"rank", urgency.rank},
            {"deadlineMs", toMilliseconds(urgency.deadline)},
            {"guaranteedShare", urgency.guaranteedShare},
            {"queueLimit", urgency.queueLimit}};
}

// Collects every leaf value of `json` in `values`, keyed by its path.
void flatten(const Json &json, const std::string &path, std::map<std::string, std::string> &values)
{
    if (!json.is_structured()) {
        values[path] = writeJson(json);
        return;
    }
    for (const auto &[key, value] : json.items()) {
        std::string child = path;
        child += path.empty() ? "" : "/";
        child += key;
        flatten(value, child, values);
    }
}

Result<std::map<std::string, std::string>> flattenDocument(std::string_view text)
{
    std::map<std::string, std::string> values;
    if (text.empty()) {
        return values;
    }
    const auto decoded = decodeDocument(text);
    if (!decoded.faults.empty()) {
        const auto &fault = decoded.faults.front();
        return fail(ErrorKind::InvalidDocument, fault.path + " " + fault.problem);
    }
    flatten(documentToJson(decoded.document), {}, values);
    return values;
}

} // namespace

control::DecodedDocument decodeDocument(std::string_view text)
{
    control::DecodedDocument decoded;
    const auto json
        = handleFailure([&]() -> Result<std::optional<Json>> { return parseJson(text, ErrorKind::InvalidDocument); },
                        [&](const Failure &failure) {
                            decoded.faults.push_back({"", "must be JSON: " + failure.detail});
                            return std::optional<Json>();
                        });
    if (!json) {
        return decoded;
    }
    decoded.faults = schema().check(*json);
    if (decoded.faults.empty()) {
        decoded.document = documentFrom(*json);
        decoded.faults = documents::findFaults(decoded.document);
    }
    return decoded;
}

Json documentToJson(const documents::ServiceDocument &document)
{
    const auto &needs = document.needs;
    const auto &pressure = document.pressure;
    const bool isUnrecorded = pressure.storeOutage == documents::StoreOutagePolicy::SendUnrecorded;
    Json urgency = Json::array();
    for (const auto &it : document.urgency) {
        urgency.push_back(urgencyClassToJson(it));
    }
    return {
        {"service", document.service.text()},
        {"team", document.team.text()},
        {"pool", document.pool.text()},
        {"hostNames", document.hostNames},
        {"idempotent", document.isIdempotent},
        {"weight", document.weight},
        {"timeLimitMs", toMilliseconds(document.timeLimit)},
        {"target", {{"slots", document.slotsPerTarget}, {"connections", document.connectionsPerTarget}}},
        {"needs",
         {{"cores", static_cast<double>(needs.resources.milliCores) / MilliPerUnit},
          {"memoryMiB", needs.resources.memoryMiB},
          {"accelerators", needs.resources.accelerators},
          {"instances", needs.instances}}},
        {"batch", {{"quotaCores", document.teamQuotaMilliCores / MilliPerUnit}}},
        {"urgency", std::move(urgency)},
        {"pressure",
         {{"storeOutage", isUnrecorded ? "send-unrecorded" : "wait"},
          {"retryBudget", pressure.retryBudget},
          {"hedge", pressure.mayHedge},
          {"hedgeAfterMs", toMilliseconds(pressure.hedgeAfter)},
          {"maxEvictionsPerHour", pressure.maxEvictionsPerHour}}},
    };
}

Result<std::vector<DocumentDifference>> diffDocuments(std::string_view before, std::string_view after)
{
    BOOST_LEAF_AUTO(old, flattenDocument(before));
    BOOST_LEAF_AUTO(current, flattenDocument(after));
    std::set<std::string> paths;
    for (const auto &[path, value] : old) {
        paths.insert(path);
    }
    for (const auto &[path, value] : current) {
        paths.insert(path);
    }
    std::vector<DocumentDifference> differences;
    for (const auto &path : paths) {
        const auto a = old.find(path);
        const auto b = current.find(path);
        const std::string oldValue = a == old.end() ? std::string() : a->second;
        const std::string newValue = b == current.end() ? std::string() : b->second;
        if (oldValue != newValue) {
            differences.push_back({path, oldValue, newValue});
        }
    }
    return differences;
}

const Json &documentSchema()
{
    return schema().json();
}

} // namespace monsoonspool::codec
