#include "configcheck.h"

#include "codec/json.h"
#include "jobingress.h"
#include "wirecodec.h"

#include <gtest/gtest.h>

#include <set>

namespace monsoonspool::platform {

namespace {

using codec::Json;
using documents::Severity;

constexpr std::string_view SoundConfiguration = R"({"version":7,
    "routes":[
        {"name":"a","host":"h.example","pathPrefix":"/a/","kind":"unsafe","timeoutMs":3000,"targetLatencyMs":2500,
         "priority":0,"service":"s","maxAttempts":2,"stretch":2.2,"allowedRegions":[]},
        {"name":"b","host":"h.example","pathPrefix":"/a/b/","kind":"unsafe","timeoutMs":3000,"targetLatencyMs":400,
         "priority":1,"service":"t","maxAttempts":1,"stretch":1,"allowedRegions":[]}],
    "services":[{"name":"s","spare":false},{"name":"t","spare":false},{"name":"u","spare":true}],
    "limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}})";

// Returns the sound configuration with the changes of a JSON patch.
std::string changedBy(std::string_view patch)
{
    return codec::writeJson(Json::parse(SoundConfiguration).patch(Json::parse(patch)));
}

std::string patchOf(std::string_view path, std::string_view value)
{
    return R"([{"op":"add","path":")" + std::string(path) + R"(","value":)" + std::string(value) + "}]";
}

std::string removalOf(std::string_view path)
{
    return R"([{"op":"remove","path":")" + std::string(path) + "\"}]";
}

// Returns the findings as "error NAME PLACE".
std::multiset<std::string> findingsOf(const ConfigReport &report)
{
    std::multiset<std::string> found;
    for (const auto &it : report.findings) {
        found.insert((it.severity == Severity::Error ? "error " : "warning ") + it.name + " " + it.place);
        EXPECT_TRUE(it.text.ends_with('.') && !it.text.ends_with("..")) << it.text;
    }
    return found;
}

struct Case
{
    std::string patch;
    std::multiset<std::string> expected;
};

void expectFindings(const std::vector<Case> &cases)
{
    for (const auto &it : cases) {
        EXPECT_EQ(findingsOf(checkConfiguration(changedBy(it.patch))), it.expected) << it.patch;
    }
}

class RecordingOperations : public JobOperations
{
public:
    void submit(execution::AcceptedJob job, TimePoint, std::function<void(execution::SubmitResult)> reply) override
    {
        queue = job.policy.queue;
        reply(execution::SubmitResult::Accepted);
    }
    void status(jobs::JobKey, TimePoint, ports::Handler<execution::JobStatus>) override
    {
    }
    void cancel(jobs::JobKey, TimePoint, ports::Handler<execution::JobStatus>) override
    {
    }
    void waitingCount(std::string, TimePoint, ports::Handler<int>) override
    {
    }

    std::string queue; // of the last submitted job
};

// Returns the queue that a submitted job gets at a host with these routes, or an empty text if the host
// rejects it.
std::string queueAt(std::string_view routes, std::string_view hostField, std::string_view target)
{
    RecordingOperations operations;
    JobIngress ingress(operations);
    const auto text = R"({"version":1,"routes":)" + std::string(routes) + "}";
    handleFailure(
        [&]() -> Result<void> {
            BOOST_LEAF_AUTO(configuration, decodeConfiguration(text));
            ingress.setConfiguration(std::make_shared<const ports::Configuration>(std::move(configuration)));
            return {};
        },
        [](const Failure &failure) { ADD_FAILURE() << failure.detail; });
    http::ApiRequest request;
    request.method = "POST";
    request.path = target.substr(0, target.find('?'));
    request.fields.emplace_back("Host", hostField);
    request.body = R"({"spec":"x","steps":[{"count":1,"cpu":1,"memMb":1}]})";
    ingress.handle(request, [](const http::ApiResponse &) {});
    return operations.queue;
}

std::string routeText(std::string_view host, std::string_view prefix, std::string_view name = "q")
{
    return R"({"name":")" + std::string(name) + R"(","host":")" + std::string(host) + R"(","pathPrefix":")"
        + std::string(prefix) + R"(","service":"s"})";
}

} // namespace

TEST(ConfigCheck, FindsNothingInASoundConfiguration)
{
    EXPECT_EQ(findingsOf(checkConfiguration(SoundConfiguration)), std::multiset<std::string>());
    EXPECT_FALSE(checkConfiguration(SoundConfiguration).changes);
}

// What the hosts' decoder rejects must not pass the check, and each fault is reported at its place.
TEST(ConfigCheck, ReportsEveryFieldThatTheHostsReject)
{
    for (const auto *it : {"", "{", "[]", "7", "\xff"}) {
        EXPECT_EQ(findingsOf(checkConfiguration(it)), std::multiset<std::string>{"error not-json "}) << it;
    }
    for (const auto *field : {"name", "host", "pathPrefix", "service"}) {
        const auto place = "/routes/1/" + std::string(field);
        const auto finding = "error field-invalid routes[1]." + std::string(field);
        for (const auto &patch : {removalOf(place), patchOf(place, "7"), patchOf(place, "null")}) {
            EXPECT_TRUE(findingsOf(checkConfiguration(changedBy(patch))).contains(finding)) << patch;
        }
    }
    for (const auto *field : {"timeoutMs", "targetLatencyMs", "priority", "maxAttempts", "stretch"}) {
        for (const auto *odd : {"-1", "1e300", "null", "\"1\"", "true"}) {
            expectFindings({{patchOf("/routes/0/" + std::string(field), odd),
                             {"error field-invalid routes[0]." + std::string(field)}}});
        }
    }
    expectFindings({
        {removalOf("/version"), {"error field-invalid version"}},
        {patchOf("/version", "-1"), {"error field-invalid version"}},
        {patchOf("/version", "1.5"), {"error field-invalid version"}},
        {patchOf("/routes/0/advice", R"({"decideMs":-1})"), {"error field-invalid routes[0].advice"}},
        {patchOf("/routes/2", "7"), {"error field-invalid routes[2]"}},
        {patchOf("/services/3", "7"), {"error field-invalid services[3]"}},
        {patchOf("/services/2/name", "7"), {"error field-invalid services[2].name"}},
        {patchOf("/services/2/spare", "1"), {"error field-invalid services[2].spare"}},
        {patchOf("/limits", "[]"), {"error field-invalid limits"}},
        {patchOf("/limits/maxHeaderBytes", "-1"), {"error field-invalid limits.maxHeaderBytes"}},
        {patchOf("/limits/idleTimeoutMs", "\"1\""), {"error field-invalid limits.idleTimeoutMs"}},
        {patchOf("/services", "{}"), {"error field-invalid services"}},
        {removalOf("/services"), {"warning section-missing services"}},
        {removalOf("/limits"), {"warning section-missing limits"}},
        {R"([{"op":"replace","path":"/routes/0/stretch","value":-1},{"op":"replace","path":"/routes/1/host","value":1}])",
         {"error field-invalid routes[0].stretch", "error field-invalid routes[1].host"}},
    });
    // Nothing is said of queues and services whose routes are not known.
    for (const auto *it : {"null", "{}", "7"}) {
        expectFindings({{patchOf("/routes", it), {"error field-invalid routes"}}});
    }
    expectFindings({{removalOf("/routes"), {"error section-missing routes"}}});
}

TEST(ConfigCheck, FindsContradictionsAndUselessEntries)
{
    expectFindings({
        {patchOf("/routes/1/name", "\"a\""), {"error duplicate-route-name routes[1].name"}},
        {patchOf("/routes/1/pathPrefix", "\"/a/\""), {"error route-shadowed routes[1]"}},
        {patchOf("/routes/1/service", "\"x\""),
         {"error service-not-listed routes[1].service", "warning service-unused services[1]"}},
        {patchOf("/services/2/name", "\"s\""), {"error duplicate-service-name services[2].name"}},
        {patchOf("/services/1/spare", "true"), {"warning spare-service-used routes[1].service"}},
        {patchOf("/services/2/spare", "false"), {"warning service-unused services[2]"}},
        {patchOf("/routes/0/host", "\"\""), {"warning host-empty routes[0].host"}},
        {patchOf("/routes/0/host", "\"h.example:80\""), {"warning host-with-port routes[0].host"}},
        {patchOf("/routes/0/host", "\"H.example\""), {"warning host-upper-case routes[0].host"}},
        {patchOf("/routes/0/pathPrefix", "\"\""), {"warning prefix-not-absolute routes[0].pathPrefix"}},
        {patchOf("/routes/0/pathPrefix", "\"a/\""), {"warning prefix-not-absolute routes[0].pathPrefix"}},
        {patchOf("/routes/0/pathPrefix", "\"/a?b/\""), {"warning prefix-never-matches routes[0].pathPrefix"}},
        {patchOf("/routes/0/pathPrefix", "\"/a\""), {"warning prefix-without-final-slash routes[0].pathPrefix"}},
        {patchOf("/routes/0/timeoutMs", "2499"), {"warning timeout-below-target-latency routes[0].timeoutMs"}},
        {patchOf("/routes/0/timeoutMs", "2500"), {}},
        {removalOf("/routes/0/timeoutMs"), {}}, // the hosts have a default
        {patchOf("/routes/0/targetLatencyMs", "0"), {"warning target-latency-zero routes[0].targetLatencyMs"}},
        {removalOf("/routes/0/targetLatencyMs"), {"warning target-latency-zero routes[0].targetLatencyMs"}},
        {patchOf("/routes/0/stretch", "0"), {"warning stretch-zero routes[0].stretch"}},
        {removalOf("/routes/0/stretch"), {}}, // 1
        {patchOf("/routes/0/maxAttempts", "0"), {"warning max-attempts-zero routes[0].maxAttempts"}},
        {patchOf("/limits/headerTimeoutMs", "15001"),
         {"warning header-timeout-above-idle-timeout limits.headerTimeoutMs"}},
        {patchOf("/limits/headerTimeoutMs", "15000"), {}},
        {patchOf("/limits/maxHeaderBytes", "16385"), {"warning header-limit-above-reader limits.maxHeaderBytes"}},
        {patchOf("/limits/maxBodyBytes", "262145"), {"warning body-limit-above-reader limits.maxBodyBytes"}},
        {patchOf("/routes", "[]"),
         {"warning no-routes routes", "warning service-unused services[0]", "warning service-unused services[1]"}},
    });
}

// The sentences of the findings on hosts and prefixes state what the hosts do, so that they must be true
// of the code that matches requests.
TEST(ConfigCheck, StatesWhatTheHostsDo)
{
    constexpr std::string_view key = "00000000000000ab";
    const auto one = [](std::string_view host, std::string_view prefix) { return "[" + routeText(host, prefix) + "]"; };
    const auto at = [&](std::string_view folder) { return std::string(folder) + std::string(key); };
    ASSERT_EQ(queueAt(one("h", "/p/"), "h:80", at("/p/")), "q");
    EXPECT_EQ(queueAt(one("", "/p/"), "", at("/p/")), "q") << "host-empty";
    EXPECT_EQ(queueAt(one("", "/p/"), "h", at("/p/")), "") << "host-empty";
    EXPECT_EQ(queueAt(one("h:80", "/p/"), "h:80", at("/p/")), "") << "host-with-port";
    EXPECT_EQ(queueAt(one("H", "/p/"), "h", at("/p/")), "") << "host-upper-case";
    EXPECT_EQ(queueAt(one("H", "/p/"), "H", at("/p/")), "q") << "host-upper-case";
    EXPECT_EQ(queueAt(one("h", ""), "h", at("/")), "") << "prefix-not-absolute";
    EXPECT_EQ(queueAt(one("h", "p/"), "h", at("/p/")), "") << "prefix-not-absolute";
    EXPECT_EQ(queueAt(one("h", "/p?x/"), "h", at("/p?x/")), "") << "prefix-never-matches";
    EXPECT_EQ(queueAt(one("h", "/p"), "h", at("/p/")), "") << "prefix-without-final-slash";
    EXPECT_EQ(queueAt(one("h", "/p"), "h", at("/p")), "q") << "prefix-without-final-slash";
    EXPECT_EQ(queueAt("[" + routeText("h", "/p/", "a") + "," + routeText("h", "/p/", "b") + "]", "h", at("/p/")), "a")
        << "route-shadowed";
    EXPECT_EQ(queueAt(one("h", "/p/"), "h", at("/p/x/")), "") << "a former address below another prefix";
}

TEST(ConfigCheck, ReportsWhatAReplacementDoesToQueuesInUse)
{
    struct Replacement
    {
        std::string patch; // besides the version
        std::multiset<std::string> expected;
        std::string sentence; // contained in a finding
    };
    const std::vector<Replacement> cases = {
        {"[]", {}, ""},
        {removalOf("/routes/1"),
         {"warning queue-dropped inForce.routes[1]", "warning service-unused services[1]"},
         "requests to its former address select queue 'a', where they name no job."},
        {removalOf("/routes/0"),
         {"warning queue-dropped inForce.routes[0]", "warning service-unused services[0]"},
         "requests to its former address are answered 404."},
        {patchOf("/routes/1/name", "\"c\""),
         {"warning queue-dropped inForce.routes[1]"},
         "requests to its former address select queue 'c'."},
        {patchOf("/routes/1/host", "\"g.example\""),
         {"warning queue-address-changed inForce.routes[1]"},
         "requests to its former address select queue 'a', where they name no job."},
        {patchOf("/routes/0/pathPrefix", "\"/c/\""),
         {"warning queue-address-changed inForce.routes[0]"},
         "requests to its former address are answered 404."},
        {patchOf("/routes/1/service", "\"s\""),
         {"warning queue-service-changed inForce.routes[1]", "warning service-unused services[1]"},
         "run on workers of service 's'."},
        {patchOf("/routes/1/name", "7"),
         {"error field-invalid routes[1].name"},
         "is rejected"}, // may be the former one
        {patchOf("/routes", "7"), {"error field-invalid routes"}, "is rejected"},
        {patchOf("/version", "7"), {"error version-not-above version"}, "since version 7 is in force."},
        {patchOf("/version", "6"), {"error version-not-above version"}, "ignore version 6"},
    };
    for (const auto &it : cases) {
        auto json = Json::parse(SoundConfiguration);
        json["version"] = 8;
        json = json.patch(Json::parse(it.patch));
        const auto report = checkConfiguration(codec::writeJson(json), SoundConfiguration);
        EXPECT_EQ(findingsOf(report), it.expected) << it.patch;
        EXPECT_TRUE(it.expected.empty()
                    || std::ranges::any_of(report.findings,
                                           [&](const ReportedFinding &found) {
                                               return found.text.find(it.sentence) != std::string::npos;
                                           }))
            << it.patch;
    }
}

TEST(ConfigCheck, ListsDifferencesFieldByField)
{
    const auto changed = changedBy(R"([{"op":"replace","path":"/version","value":8},
        {"op":"replace","path":"/routes/0/stretch","value":3},
        {"op":"replace","path":"/routes/0/allowedRegions","value":["r1"]},
        {"op":"replace","path":"/routes/1/stretch","value":1.0},
        {"op":"remove","path":"/routes/1/kind"},
        {"op":"add","path":"/routes/0","value":{"name":"c","host":"h","pathPrefix":"/c/","service":"s","targetLatencyMs":1}},
        {"op":"remove","path":"/services/2"},
        {"op":"replace","path":"/limits/maxBodyBytes","value":1000}])");
    const auto report = checkConfiguration(changed, SoundConfiguration);
    EXPECT_EQ(formatReport(report, "new.json"),
              "change version: 7 -> 8\n"
              "change routes[a].allowedRegions: [] -> [\"r1\"]\n"
              "change routes[a].stretch: 2.2 -> 3\n"
              "change routes[b].kind: \"unsafe\" -> (none)\n"
              "change routes[c] is added\n"
              "change services[u] is removed\n"
              "change limits.maxBodyBytes: 262144 -> 1000\n"
              "new.json: 0 errors, 0 warnings, 7 changes\n");
}

TEST(ConfigCheck, ComparesWithNothingIfTheConfigurationInForceCannotBeRead)
{
    for (const auto &it : {std::string("{"), std::string("[]"), changedBy(patchOf("/routes/0/stretch", "-1")),
                           changedBy(removalOf("/version"))}) {
        const auto report = checkConfiguration(changedBy(patchOf("/version", "8")), it);
        EXPECT_EQ(findingsOf(report), std::multiset<std::string>{"error in-force-unreadable inForce"}) << it;
        EXPECT_FALSE(report.changes);
    }
}

TEST(ConfigCheck, EncodesReportsForPrograms)
{
    const auto report = checkConfiguration(changedBy(R"([{"op":"replace","path":"/version","value":8},
        {"op":"replace","path":"/routes/0/maxAttempts","value":0},{"op":"remove","path":"/services/1"}])"),
                                           SoundConfiguration);
    const auto json = Json::parse(encodeReport(report));
    EXPECT_EQ(json.at("errors"), 1);
    EXPECT_EQ(json.at("warnings"), 1);
    EXPECT_EQ(json.at("findings").at(0).at("severity"), "error") << "errors come first";
    EXPECT_EQ(json.at("findings").at(0).at("place"), "routes[1].service");
    EXPECT_EQ(json.at("findings").at(1).at("name"), "max-attempts-zero");
    EXPECT_FALSE(json.at("findings").at(1).at("text").get<std::string>().empty());
    EXPECT_EQ(json.at("changes").at(1),
              Json::parse(R"({"change":"changed","section":"routes","entry":"a","field":"maxAttempts",
                              "before":"2","after":"0"})"));
    EXPECT_FALSE(Json::parse(encodeReport(checkConfiguration(SoundConfiguration))).contains("changes"));
}

} // namespace monsoonspool::platform
