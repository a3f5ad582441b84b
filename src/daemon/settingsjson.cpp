#include "daemon/settingsjson.h"

#include "codec/json.h"
#include "codec/schema.h"
#include "codec/typejson.h"

#include <fstream>
#include <sstream>

namespace monsoonspool::daemon {

using codec::Json;

namespace {

constexpr std::size_t MinKeyLength = 16;

constexpr std::string_view SchemaText = R"json({
  "type": "object",
  "description": "an object: the settings of one daemon",
  "required": ["name", "region", "failureDomain", "guestAddress", "operatorAddress", "peerAddress"],
  "additionalProperties": false,
  "properties": {
    "name": {"type": "string", "pattern": "^[A-Za-z0-9][A-Za-z0-9.-]{0,62}$",
      "description": "the entry host's name: 1 to 63 letters, digits, dots and hyphens"},
    "region": {"type": "string", "pattern": "^[^/]{1,63}$", "description": "the region's name: 1 to 63 characters without a slash"},
    "failureDomain": {"type": "string", "pattern": "^[^/]{1,63}$", "description": "the failure domain's name: 1 to 63 characters without a slash"},
    "guestAddress": {"type": "object", "required": ["ip", "port"], "additionalProperties": false,
      "description": "an object {ip, port}: the address that guests connect to",
      "properties": {"ip": {"type": "string", "description": "an IP address"},
        "port": {"type": "integer", "minimum": 0, "maximum": 65535, "description": "a whole number from 0 to 65535; 0 takes any free port"}}},
    "operatorAddress": {"type": "object", "required": ["ip", "port"], "additionalProperties": false,
      "description": "an object {ip, port}: the address that operators connect to",
      "properties": {"ip": {"type": "string", "description": "an IP address"},
        "port": {"type": "integer", "minimum": 0, "maximum": 65535, "description": "a whole number from 0 to 65535; 0 takes any free port"}}},
    "peerAddress": {"type": "object", "required": ["ip", "port"], "additionalProperties": false,
      "description": "an object {ip, port}: the address that other daemons connect to",
      "properties": {"ip": {"type": "string", "description": "an IP address"},
        "port": {"type": "integer", "minimum": 0, "maximum": 65535, "description": "a whole number from 0 to 65535; 0 takes any free port"}}},
    "platformAddress": {"type": "object", "required": ["ip", "port"], "additionalProperties": false,
      "description": "an object {ip, port}: the address of the platform's services; required unless the daemon runs with --standalone",
      "properties": {"ip": {"type": "string", "description": "an IP address"},
        "port": {"type": "integer", "minimum": 1, "maximum": 65535, "description": "a whole number from 1 to 65535"}}},
    "trafficThreads": {"type": "integer", "minimum": 1, "maximum": 64, "description": "a whole number from 1 to 64; the default is 1"},
    "maxEntryHosts": {"type": "integer", "minimum": 1, "maximum": 64,
      "description": "a whole number from 1 to 64, the same at every daemon: maximum number of entry hosts, which share the connections of each target; the default is 9"},
    "startWindowMs": {"type": "integer", "minimum": 1000, "maximum": 3600000,
      "description": "milliseconds, a whole number from 1000 to 3600000, the same at every daemon: how long a holder may start requests on its slots without contact to their owner; the default is 660000"},
    "recordWindowMs": {"type": "integer", "minimum": 1, "maximum": 1000,
      "description": "milliseconds, a whole number from 1 to 1000: minimum interval between two writes of request records; the default is 40"},
    "keyFile": {"type": "string", "description": "the path of a file with one key per line; if not set, every connection is accepted"},
    "log": {"type": "object", "additionalProperties": false, "description": "an object: log settings",
      "properties": {"level": {"enum": ["debug", "info", "warning", "error"], "description": "\"debug\", \"info\", \"warning\" or \"error\"; the default is \"info\""},
        "format": {"enum": ["keyvalue", "json"], "description": "\"keyvalue\" or \"json\"; the default is \"keyvalue\""}}},
    "policy": {"type": "object", "additionalProperties": false, "description": "an object: scheduling and load-balancing policies",
      "properties": {"discipline": {"enum": ["guaranteed-shares", "earliest-deadline"], "description": "\"guaranteed-shares\" or \"earliest-deadline\"; the default is \"guaranteed-shares\""},
        "chooser": {"enum": ["least-expected-time", "least-outstanding", "random"], "description": "\"least-expected-time\", \"least-outstanding\" or \"random\"; the default is \"least-expected-time\""}}},
    "limits": {"type": "object", "additionalProperties": false, "description": "an object: limits for guests",
      "properties": {
        "headerBytes": {"type": "integer", "minimum": 1024, "maximum": 1048576, "description": "bytes, a whole number from 1024 to 1048576; the default is 16384"},
        "bodyBytes": {"type": "integer", "minimum": 0, "maximum": 1099511627776, "description": "bytes, a whole number up to 1099511627776; the default is 67108864"},
        "bufferedBodyBytes": {"type": "integer", "minimum": 4096, "maximum": 16777216, "description": "bytes, a whole number from 4096 to 16777216: larger bodies are streamed and sent at most once; the default is 65536"},
        "idleTimeoutMs": {"type": "integer", "minimum": 10, "maximum": 3600000, "description": "milliseconds, a whole number from 10 to 3600000; the default is 60000"},
        "headerTimeoutMs": {"type": "integer", "minimum": 10, "maximum": 3600000, "description": "milliseconds, a whole number from 10 to 3600000; the default is 10000"},
        "bodyTimeoutMs": {"type": "integer", "minimum": 10, "maximum": 3600000, "description": "milliseconds, a whole number from 10 to 3600000: for each read or write of a body; the default is 30000"},
        "maxConnections": {"type": "integer", "minimum": 1, "maximum": 1000000, "description": "a whole number from 1 to 1000000: guest connections per traffic thread, at most half of the usable descriptors for all; the default is 10000"},
        "framingBytes": {"type": "integer", "minimum": 1024, "maximum": 16777216, "description": "bytes, a whole number from 1024 to 16777216: chunk sizes, chunk extensions and trailers of a message, beyond what its chunks need; the default is 65536"},
        "bufferedBytes": {"type": "integer", "minimum": 1048576, "maximum": 1099511627776, "description": "bytes, a whole number from 1048576 to 1099511627776: what all guest connections hold together; the default is 67108864"},
        "operatorConnections": {"type": "integer", "minimum": 1, "maximum": 1000000, "description": "a whole number from 1 to 1000000: connections of operators, at most a sixteenth of the usable descriptors; the default is 128"},
        "operatorBufferedBytes": {"type": "integer", "minimum": 1048576, "maximum": 1099511627776, "description": "bytes, a whole number from 1048576 to 1099511627776: what all connections of operators hold together; the default is 33554432"}}}
  }
})json";

const codec::Schema &schema()
{
    static const codec::Schema instance(SchemaText);
    return instance;
}

Duration milliseconds(const Json &json, const char *key, Duration fallback)
{
    return json.contains(key) ? Duration(std::chrono::milliseconds(json[key].get<std::int64_t>())) : fallback;
}

void readLimits(const Json &json, traffic::GuestLimits &limits)
{
    limits.headerBytes = json.value("headerBytes", limits.headerBytes);
    limits.bodyBytes = json.value("bodyBytes", limits.bodyBytes);
    limits.bufferedBodyBytes = json.value("bufferedBodyBytes", limits.bufferedBodyBytes);
    limits.idleTimeout = milliseconds(json, "idleTimeoutMs", limits.idleTimeout);
    limits.headerTimeout = milliseconds(json, "headerTimeoutMs", limits.headerTimeout);
    limits.bodyTimeout = milliseconds(json, "bodyTimeoutMs", limits.bodyTimeout);
    limits.maxConnections = json.value("maxConnections", limits.maxConnections);
    limits.framingBytes = json.value("framingBytes", limits.framingBytes);
    limits.bufferedBytes = json.value("bufferedBytes", limits.bufferedBytes);
}

void readOperatorBudget(const Json &json, http::BudgetLimits &budget)
{
    budget.connections = json.value("operatorConnections", budget.connections);
    budget.bufferedBytes = json.value("operatorBufferedBytes", budget.bufferedBytes);
}

Settings toSettings(const Json &json)
{
    Settings settings;
    settings.name = json["name"].get<EntryHostId>();
    settings.region = json["region"].get<RegionName>();
    settings.domain = json["failureDomain"].get<FailureDomain>();
    settings.guestAddress = json["guestAddress"].get<ports::Address>();
    settings.operatorAddress = json["operatorAddress"].get<ports::Address>();
    settings.peerAddress = json["peerAddress"].get<ports::Address>();
    if (json.contains("platformAddress")) {
        settings.platformAddress = json["platformAddress"].get<ports::Address>();
    }
    settings.trafficThreads = json.value("trafficThreads", settings.trafficThreads);
    settings.maxEntryHosts = json.value("maxEntryHosts", settings.maxEntryHosts);
    settings.startWindow = milliseconds(json, "startWindowMs", settings.startWindow);
    settings.recordWindow = milliseconds(json, "recordWindowMs", settings.recordWindow);
    settings.keyFile = json.value("keyFile", settings.keyFile);
    const Json emptyObject = Json::object();
    const Json log = json.value("log", emptyObject);
    settings.logLevel = log.value("level", settings.logLevel);
    settings.logFormat = log.value("format", settings.logFormat);
    const Json policy = json.value("policy", emptyObject);
    settings.policy.discipline = policy.value("discipline", settings.policy.discipline);
    settings.policy.chooser = policy.value("chooser", settings.policy.chooser);
    const Json limits = json.value("limits", emptyObject);
    readLimits(limits, settings.limits);
    readOperatorBudget(limits, settings.operatorBudget);
    return settings;
}

} // namespace

DecodedSettings decodeSettings(std::string_view text)
{
    DecodedSettings decoded;
    const auto json = handleFailure(
        [&]() -> Result<std::optional<Json>> { return codec::parseJson(text, ErrorKind::InvalidSettings); },
        [&](const Failure &failure) {
            decoded.faults.push_back({"", "must be JSON: " + failure.detail});
            return std::optional<Json>();
        });
    if (!json) {
        return decoded;
    }
    decoded.faults = schema().check(*json);
    if (decoded.faults.empty()) {
        decoded.settings = toSettings(*json);
    }
    return decoded;
}

Result<std::string> readFile(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        return fail(ErrorKind::InvalidSettings, "cannot open " + path);
    }
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

Result<std::vector<std::string>> readKeys(const std::string &path)
{
    BOOST_LEAF_AUTO(text, readFile(path));
    std::vector<std::string> keys;
    std::istringstream lines(text);
    for (std::string line; std::getline(lines, line);) {
        if (line.empty()) {
            continue;
        }
        if (line.size() < MinKeyLength) {
            return fail(ErrorKind::InvalidSettings,
                        path + ": a key has fewer than " + std::to_string(MinKeyLength) + " characters");
        }
        keys.push_back(line);
    }
    if (keys.empty()) {
        return fail(ErrorKind::InvalidSettings, path + " contains no key");
    }
    return keys;
}

} // namespace monsoonspool::daemon
