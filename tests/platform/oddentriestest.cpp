#include "platformregistry.h"
#include "wirecodec.h"

#include "codec/json.h"
#include "codec/platformjson.h"
#include "execution/testcluster.h"

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <gtest/gtest.h>

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

// Rows of the list of workers that another program wrote: none may name a worker that
// cannot exist, and none may disturb the workers beside it.
namespace monsoonspool::platform {

using namespace execution::testcluster;
using codec::Json;

namespace {

constexpr std::size_t MaxDetailBytes = 300; // of a log line's `detail`
constexpr std::size_t MaxRowBytes = 65536; // of a row's value in the store, in base64
constexpr std::size_t LongTextBytes = 48000; // an entry with it fits into a row

// An odd entry: a valid one with one field replaced.
struct OddEntry
{
    std::string field; // of the entry, or of its capacity
    std::string value; // JSON text; empty to omit the field
};

std::string entryText(const OddEntry &odd = {})
{
    std::vector<std::pair<std::string, std::string>> capacity = {{"cpu", "16000"}, {"memMb", "32000"}, {"gpu", "0"}};
    std::vector<std::pair<std::string, std::string>> fields
        = {{"service", "\"desk\""}, {"address", "\"10.0.0.1:80\""}, {"zone", "\"z\""}, {"version", "\"1.0\""},
           {"slots", "8"},          {"state", "\"ready\""},         {"seq", "7"},      {"born", "1000"},
           {"remainingMs", "0"},    {"labels", "[\"a\",\"r1\"]"}};
    const auto write = [&](const auto &members) {
        std::string text;
        for (const auto &[name, usual] : members) {
            const auto &value = name == odd.field ? odd.value : usual;
            if (!value.empty()) {
                text += text.empty() ? "\"" : ",\"";
                text += name;
                text += "\":";
                text += value;
            }
        }
        return "{" + text + "}";
    };
    fields.emplace_back("capacity", write(capacity));
    return write(fields);
}

std::string nested(int depth)
{
    return std::string(static_cast<std::size_t>(depth), '[') + std::string(static_cast<std::size_t>(depth), ']');
}

std::string quoted(std::size_t bytes)
{
    return "\"" + std::string(bytes, 'x') + "\"";
}

std::vector<OddEntry> oddEntries()
{
    std::vector<OddEntry> odd;
    for (const auto *field : {"cpu", "memMb", "gpu", "born", "remainingMs"}) {
        for (const auto *value : {"-1", "18446744073709551615", "9223372036854775807", "1e300", "1e400", "-1e300",
                                  "true", "null", "\"8\"", "[]"}) {
            odd.push_back({field, value});
        }
    }
    for (const auto *field : {"cpu", "memMb", "gpu", "born"}) {
        odd.push_back({field, "0.5"});
    }
    for (const auto *field : {"cpu", "memMb"}) {
        odd.push_back({field, "0"});
        odd.push_back({field, ""});
    }
    for (const auto *value : {"\"10.0.0.1:0\"", "\"10.0.0.1:65536\"", "\"10.0.0.1:99999999999\"", "\"10.0.0.1:-80\"",
                              "\"10.0.0.1:\"", "\"10.0.0.1\"", "\"desk.example:80\"", "\":80\"", "80", "null", "",
                              "\"10.0.0.1\\u0000:80\"", "\"10.0.0.1:80\\r\\n\""}) {
        odd.push_back({"address", value});
    }
    for (const auto *field : {"service", "zone"}) {
        for (const auto &value : {std::string("5"), std::string("null"), std::string("[]"), std::string(),
                                  quoted(LongTextBytes), std::string("\"a\\u0000b\"")}) {
            odd.push_back({field, value});
        }
    }
    for (const auto &value : {std::string("\"resting\""), std::string("7"), std::string(), quoted(LongTextBytes)}) {
        odd.push_back({"state", value});
    }
    for (const auto &value :
         {std::string("3"), std::string("\"a\""), std::string("[1,2]"), std::string("{\"a\":\"b\"}"),
          "[" + quoted(LongTextBytes) + "]", "[\"a\"," + quoted(LongTextBytes) + "]", std::string()}) {
        odd.push_back({"labels", value});
    }
    for (const auto &value :
         {nested(40), nested(20000), std::string("1e400"), std::string("{\"cpu\":"), std::string("\"\xff\"")}) {
        odd.push_back({"seq", value});
    }
    for (const auto &value : {std::string("[]"), std::string("{}"), std::string("7"), nested(20000)}) {
        odd.push_back({"capacity", value});
    }
    return odd;
}

std::string shortName(const OddEntry &odd)
{
    return odd.field + " = " + (odd.value.empty() ? "(missing)" : odd.value.substr(0, 30));
}

// Returns the reason why an entry is rejected; nullopt if it is decoded.
std::optional<Failure> rejectionOf(std::string_view key, std::string_view text)
{
    return handleFailure(
        [&]() -> Result<std::optional<Failure>> {
            BOOST_LEAF_CHECK(decodeWorkerEntry(key, text));
            return std::optional<Failure>();
        },
        [](const Failure &failure) { return std::optional(failure); });
}

class RecordingLog : public DecisionLog
{
public:
    struct Line
    {
        std::string event;
        std::string worker;
        std::string detail;
    };
    std::vector<Line> lines;

    void record(std::string_view event, std::initializer_list<DecisionField> fields) override
    {
        Line line{std::string(event), {}, {}};
        for (const auto &it : fields) {
            if (it.key() == "worker") {
                line.worker = it.text();
            } else if (it.key() == "detail") {
                line.detail = it.text();
            }
        }
        lines.push_back(std::move(line));
    }
};

// The cluster's hosts with the platform's own registry and encoding.
class PlatformCluster : public Cluster
{
public:
    PlatformCluster()
    {
        put(platformRegistry.configurationRow(), R"({"version":1,"routes":[{"name":"plans","host":"h",
            "pathPrefix":"/p/","service":"desk","timeoutMs":3000,"maxAttempts":3,"stretch":2,"targetLatencyMs":1000}]})");
        for (int n = 0; n < WorkerCount; ++n) {
            const WorkerId id("w" + std::to_string(n));
            auto entry = workers.entry(id);
            entry.startTimeMs = 1000;
            workers.addWorker(entry);
            putWorker(id.text(), entryText());
        }
        auto entry = workers.entry(WorkerId("w0"));
        entry.id = WorkerId("odd");
        workers.addWorker(entry);
        workers.crash(entry.id);
        for (int n = 0; n < HostCount; ++n) {
            startPlatformHost(n);
        }
    }

    void putWorker(const std::string &key, std::string value)
    {
        put({platformRegistry.workersTable(), "", key}, std::move(value));
    }
    void removeWorker(const std::string &key)
    {
        rows.apply({{}, {}, {{platformRegistry.workersTable(), "", key}}});
    }

    PlatformRegistry platformRegistry;
    RecordingLog recordingLog;

private:
    void startPlatformHost(int n)
    {
        auto &it = host(n);
        it.loop = std::make_unique<execution::ExecutionLoop>(
            execution::ExecutionPorts{it.store, it.link, scheduler, platformRegistry, codec, recordingLog,
                                      [this] { return wallNow(); }},
            execution::ExecutionOptions{it.name, ++it.incarnation, 1.0},
            [](const execution::ExecutionLoop::ConfigurationPointer &) {});
        it.loop->start();
    }
};

} // namespace

TEST(OddEntries, ValuesThatNoWorkerCanHaveAreRejected)
{
    ASSERT_FALSE(rejectionOf("w", entryText())) << rejectionOf("w", entryText())->detail;
    const auto all = oddEntries();
    for (const auto &it : all) {
        const auto rejection = rejectionOf("w", entryText(it));
        if (!rejection) {
            ADD_FAILURE() << "decoded: " << shortName(it);
            continue;
        }
        EXPECT_EQ(rejection->kind, ErrorKind::MalformedMessage) << shortName(it);
        EXPECT_LE(rejection->detail.size(), MaxDetailBytes) << shortName(it);
    }
    for (const auto &key : {std::string(), std::string("a\r\nFence: 9"), std::string(70000, 'k')}) {
        EXPECT_TRUE(rejectionOf(key, entryText())) << key.substr(0, 30);
    }
}

TEST(OddEntries, ARejectionNamesTheField)
{
    for (const OddEntry &it : {OddEntry{"cpu", "1e300"}, OddEntry{"memMb", "-1"}, OddEntry{"born", "0.5"},
                               OddEntry{"remainingMs", "1e300"}, OddEntry{"service", "5"}, OddEntry{"labels", "3"}}) {
        const auto rejection = rejectionOf("w", entryText(it));
        ASSERT_TRUE(rejection) << shortName(it);
        EXPECT_NE(rejection->detail.find(it.field), std::string::npos) << rejection->detail;
    }
}

// A page holds many rows, and a watcher asks for the same page until it can be decoded.
TEST(OddEntries, AnUndecodableValueDoesNotHideTheRowsBesideIt)
{
    const auto pageWith = [](const std::string &table, const std::string &value) {
        const auto row = [&](const std::string &key, const std::string &text) {
            return R"({"table":")" + table + R"(","part":"","key":")" + key + R"(","ver":5,"value":)" + text + "}";
        };
        return R"({"ver":9,"rows":[)" + row("w0", "\"AP8h\"") + "," + row("w1", value) + "," + row("w2", "\"AP8h\"")
            + "]}";
    };
    for (const auto *value : {"\"not base64\"", "\"AP8\"", "\"AP8h=\"", "\"\\u00e9\\u00e9\"", "7", "null", "[]"}) {
        SCOPED_TRACE(value);
        handleFailure(
            [&]() -> Result<void> {
                BOOST_LEAF_AUTO(page, decodeRowPage(pageWith("servers", value)));
                EXPECT_EQ(page.version, 9U);
                EXPECT_EQ(page.rows.size(), 3U);
                EXPECT_EQ(page.rows.back().value, std::string("\0\xff!", 3));
                EXPECT_TRUE(rejectionOf("w1", page.rows[1].value));
                return {};
            },
            [](const Failure &failure) { ADD_FAILURE() << failure.detail; });
    }
    // Skipping a row that the system itself stored would lose what it says.
    const auto isDecoded = handleFailure(
        [&]() -> Result<bool> { return decodeRowPage(pageWith("progress", "\"not base64\"")).has_value(); },
        [](const Failure &) { return false; });
    EXPECT_FALSE(isDecoded);
}

// Values at the edge of what is allowed, and fields that are not read.
TEST(OddEntries, EntriesOfRealWorkersAreDecoded)
{
    for (const OddEntry &it :
         {OddEntry{"cpu", "1"}, OddEntry{"cpu", "16000.0"}, OddEntry{"cpu", "512000"}, OddEntry{"memMb", "24000000"},
          OddEntry{"gpu", "16"}, OddEntry{"gpu", ""}, OddEntry{"born", ""}, OddEntry{"born", "1790000000123"},
          OddEntry{"remainingMs", ""}, OddEntry{"remainingMs", "2500.5"}, OddEntry{"state", "\"draining\""},
          OddEntry{"labels", "[]"}, OddEntry{"address", "\"[::1]:80\""}, OddEntry{"slots", ""}}) {
        const auto rejection = rejectionOf("w", entryText(it));
        const bool isBracketed = it.field == "address";
        EXPECT_EQ(rejection.has_value(), isBracketed) << shortName(it) << ": " << (rejection ? rejection->detail : "");
    }
}

// Each mutation is rejected or decoded into values that a worker can have.
TEST(OddEntries, RandomMutationsAreRejectedOrWithinLimits)
{
    constexpr int mutations = 4000;
    const std::string valid = entryText();
    const std::vector<std::string> pieces = {"-1",
                                             "0",
                                             "1e300",
                                             "1e400",
                                             "0.5",
                                             "18446744073709551615",
                                             "9223372036854775808",
                                             "null",
                                             "true",
                                             "\"\"",
                                             "[",
                                             "]",
                                             "{",
                                             "}",
                                             "\"",
                                             ":",
                                             ",",
                                             "\\u0000",
                                             "\xff",
                                             "\xc3",
                                             "e9",
                                             "999999999999999999999",
                                             nested(50),
                                             quoted(300),
                                             ":99999",
                                             "-"};
    boost::random::mt19937 generator(20261205);
    const auto pick
        = [&](std::size_t n) { return boost::random::uniform_int_distribution<std::size_t>(0, n - 1)(generator); };
    int decodedCount = 0;
    for (int n = 0; n < mutations; ++n) {
        auto text = valid;
        for (std::size_t changes = 1 + pick(3); changes > 0; --changes) {
            const auto at = pick(text.size());
            const auto length = pick(std::min<std::size_t>(text.size() - at, 8) + 1);
            text.replace(at, length, pieces[pick(pieces.size())]);
        }
        SCOPED_TRACE(text);
        handleFailure(
            [&]() -> Result<void> {
                BOOST_LEAF_AUTO(entry, decodeWorkerEntry("w", text));
                ++decodedCount;
                EXPECT_GT(entry.capacity.milliCores, 0);
                EXPECT_LE(entry.capacity.milliCores, 100'000'000);
                EXPECT_GT(entry.capacity.memoryMiB, 0);
                EXPECT_LE(entry.capacity.memoryMiB, 1'000'000'000);
                EXPECT_GE(entry.capacity.accelerators, 0);
                EXPECT_LE(entry.capacity.accelerators, 100'000);
                EXPECT_GE(entry.startTimeMs, 0);
                EXPECT_LE(entry.startTimeMs, 10'000'000'000'000);
                EXPECT_GE(entry.remaining, Duration(0));
                EXPECT_LE(entry.remaining, 10000h);
                EXPECT_NE(entry.address.port, 0);
                for (const auto &it : {entry.service.text(), entry.domain.text(), entry.kind, entry.rack}) {
                    EXPECT_LE(it.size(), 200U);
                }
                return {};
            },
            [&](const Failure &failure) { EXPECT_LE(failure.detail.size(), MaxDetailBytes); });
        if (HasFailure()) {
            return; // one mutation is enough to see the fault
        }
    }
    EXPECT_GT(decodedCount, 0) << "no mutation was valid, so that the limits were not checked";
}

// An odd entry beside good ones, and under the key of a worker that was good before and
// runs tasks: no run ends or starts a second time, and the jobs complete on the others.
TEST(OddEntries, RunsOfGoodWorkersGoOnBesideAnOddEntry)
{
    constexpr std::uint64_t earlyJobs = 8;
    constexpr std::uint64_t lateJobs = 24;
    for (const auto &odd : oddEntries()) {
        SCOPED_TRACE(shortName(odd));
        PlatformCluster cluster;
        for (std::uint64_t key = 1; key <= earlyJobs + lateJobs; ++key) {
            cluster.taskModel.overrides[{key}] = {1500ms, false, TaskSize};
        }
        cluster.scheduler.runFor(2s);
        for (std::uint64_t key = 1; key <= earlyJobs; ++key) {
            cluster.submit(0, key);
        }
        cluster.scheduler.runFor(500ms);
        EXPECT_EQ(cluster.workers.runningCount(), 24);
        cluster.putWorker("odd", entryText(odd));
        for (int n = 0; n < WorkerCount / 2; ++n) {
            cluster.putWorker("w" + std::to_string(n), entryText(odd));
        }
        cluster.scheduler.runFor(200ms);
        for (std::uint64_t key = earlyJobs + 1; key <= earlyJobs + lateJobs; ++key) {
            cluster.submit(1, key);
        }
        cluster.scheduler.runFor(300ms);
        cluster.putWorker("odd", "{\"changed\":" + odd.value + "}");
        cluster.scheduler.runFor(4s);
        for (int n = 0; n < WorkerCount / 2; ++n) {
            cluster.putWorker("w" + std::to_string(n), entryText());
        }
        cluster.removeWorker("odd");
        cluster.scheduler.runFor(20s);
        for (std::uint64_t key = 1; key <= earlyJobs + lateJobs; ++key) {
            EXPECT_EQ(cluster.workers.doneCount({key}), TasksPerJob) << "job " << key;
        }
        EXPECT_EQ(cluster.workers.startCount(), static_cast<int>(earlyJobs + lateJobs) * TasksPerJob);
        EXPECT_EQ(violationsOf(cluster), "");
        std::map<std::string, int> linesPerWorker;
        for (const auto &it : cluster.recordingLog.lines) {
            if (it.event == "worker-entry-unreadable") {
                ++linesPerWorker[it.worker];
                EXPECT_LE(it.detail.size(), MaxDetailBytes);
            }
            EXPECT_NE(it.event, "worker-restarted");
        }
        EXPECT_EQ(linesPerWorker["odd"], 2) << "one line for each change";
        EXPECT_EQ(linesPerWorker["w0"], 1);
    }
}

// A new leader reads the roster that the former one wrote beside odd entries.
TEST(OddEntries, ATakeoverBesideOddEntriesKeepsRuns)
{
    PlatformCluster cluster;
    cluster.scheduler.runFor(2s);
    auto all = oddEntries();
    const auto once = all;
    all.insert(all.end(), once.begin(), once.end());
    int n = 0;
    for (const auto &it : all) {
        const auto key = "odd-" + std::to_string(n++);
        auto entry = cluster.workers.entry(WorkerId("odd"));
        entry.id = WorkerId(key);
        cluster.workers.addWorker(entry);
        cluster.workers.crash(entry.id);
        cluster.putWorker(key, entryText(it));
    }
    for (std::uint64_t key = 1; key <= 8; ++key) {
        cluster.taskModel.overrides[{key}] = {3s, false, TaskSize};
        cluster.submit(0, key);
    }
    cluster.scheduler.runFor(1s);
    EXPECT_EQ(cluster.workers.runningCount(), 24);
    cluster.killHost(cluster.leader());
    cluster.scheduler.runFor(20s);
    ASSERT_GE(cluster.leader(), 0);
    for (std::uint64_t key = 1; key <= 8; ++key) {
        EXPECT_EQ(cluster.workers.doneCount({key}), TasksPerJob) << "job " << key;
    }
    EXPECT_EQ(cluster.workers.startCount(), 8 * TasksPerJob);
    EXPECT_EQ(violationsOf(cluster), "");
    for (const auto &[name, row] : cluster.rows.rows) {
        if (name.table == execution::RosterTable) {
            EXPECT_LE(codec::toBase64(row.value).size(), MaxRowBytes) << "roster " << name.key;
        }
    }
}

} // namespace monsoonspool::platform
