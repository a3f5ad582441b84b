#include "wirecodec.h"

#include "codec/cborjobs.h"
#include "codec/json.h"
#include "jobingress.h"
#include "settings.h"

#include <gtest/gtest.h>

namespace monsoonspool::platform {

namespace {

template <typename F>
ErrorKind kindOf(F f)
{
    return handleFailure(
        [&]() -> Result<ErrorKind> {
            BOOST_LEAF_CHECK(f());
            return ErrorKind::Internal; // indicates success
        },
        [](const Failure &failure) { return failure.kind; });
}

template <typename F>
auto valueOf(F f)
{
    using T = std::decay_t<decltype(f().value())>;
    return handleFailure(f, [](const Failure &failure) {
        ADD_FAILURE() << failure.detail;
        return T();
    });
}

} // namespace

TEST(WireCodec, DecodesTaskNames)
{
    const auto task = decodeTaskName("5c0e7a21d94b36f8.3.1.17");
    ASSERT_TRUE(task);
    EXPECT_EQ(task->job.value, 0x5c0e7a21d94b36f8ULL);
    EXPECT_EQ(task->occurrence, 3);
    EXPECT_EQ(task->step, 1);
    EXPECT_EQ(task->index, 17);
    for (const auto *it : {"", "x", "5c0e7a21d94b36f8", "5c0e7a21d94b36f8.0.1", "5c0e7a21d94b36f8.0.1.x",
                           "5c0e7a21d94b36f.0.1.2", "5c0e7a21d94b36f8.0..2", "zc0e7a21d94b36f8.0.1.2"}) {
        EXPECT_FALSE(decodeTaskName(it)) << it;
    }
}

TEST(WireCodec, DecodesSubmittedJobs)
{
    const auto spec = valueOf([] {
        return decodeJobSpec(R"({"spec":"text","steps":[
            {"count":4,"cpu":500,"memMb":256,"estimateMs":900,"affinity":"r1-3"},
            {"count":20,"cpu":2000,"memMb":1024,"estimateMs":7000,"after":[0],"checkpoints":true,"fills":true,
             "image":"i","daemon":true,"targetMs":18,"bestEffort":2,"antiAffinity":1,"requires":"a","speculative":true}]})");
    });
    ASSERT_EQ(spec.steps.size(), 2U);
    EXPECT_EQ(spec.steps[0].dataRack, "r1-3");
    EXPECT_EQ(spec.steps[0].needs.milliCores, 500);
    const auto &step = spec.steps[1];
    EXPECT_TRUE(step.hasCheckpoints && step.usesLeftover && step.isLasting && step.maySpeculate);
    EXPECT_EQ(step.tailTarget, std::optional<Duration>(18ms));
    EXPECT_EQ(step.maxUnavailable, 2);
    EXPECT_EQ(step.maxPerWorker, 1);
    for (const auto *it : {"", "[]", "{}", R"({"steps":[]})", R"({"steps":[{"count":0}]})",
                           R"({"steps":[{"cpu":"x"}]})", R"({"steps":[{"after":[0]}]})", "\xff"}) {
        EXPECT_NE(kindOf([&] { return decodeJobSpec(it); }), ErrorKind::Internal) << it;
    }
}

// Guards against a job whose steps name an earlier one thousands of times, which each plan would look at.
TEST(WireCodec, KeepsEachEarlierStepOnce)
{
    std::string after = "0";
    for (int n = 0; n < 20'000; ++n) {
        after += n % 2 == 0 ? ",1" : ",0";
    }
    const auto spec = valueOf([&] {
        return decodeJobSpec(R"({"spec":"x","steps":[{"count":1},{"count":1},{"count":1,"after":[)" + after + "]}]}");
    });
    EXPECT_EQ(spec.steps[2].after, (std::vector<int>{0, 1}));
    execution::AcceptedJob job;
    job.spec = spec;
    job.spec.steps[2].after = {1, 0, 1};
    const codec::CborJobs codec;
    const auto stored = codec.encode(job);
    EXPECT_EQ(valueOf([&] { return codec.decodeJob(stored); }).spec.steps[2].after, (std::vector<int>{0, 1}));
}

TEST(WireCodec, DecodesWorkerListings)
{
    const auto listing = valueOf([] {
        return decodeListing(R"({"clockMs":482113,"born":17,
            "running":[["5c0e7a21d94b36f8.0.1.17",2,"c",41,12],["foreign",1,"",0]],
            "ended":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""],[57,"5c0e7a21d94b36f8.0.1.8",1,"failed","s"]]})");
    });
    EXPECT_EQ(listing.clock, 482113);
    EXPECT_EQ(listing.startTimeMs, 17);
    ASSERT_EQ(listing.running.size(), 1U);
    EXPECT_EQ(listing.running[0].level, 12);
    ASSERT_EQ(listing.ended.size(), 2U);
    EXPECT_EQ(listing.ended[0].number, 57) << "ends are sorted by number";
    EXPECT_EQ(listing.ended[1].outcome, jobs::RunEnd::Done);
    EXPECT_EQ(kindOf([] { return decodeListing("{}"); }), ErrorKind::MalformedMessage);
}

// A worker lists at most 500 ends at a time.
TEST(WireCodec, RecognizesACutListOfEnds)
{
    for (const int count : {0, 499, 500}) {
        SCOPED_TRACE(count);
        codec::Json json = {{"clockMs", 1}, {"running", codec::Json::array()}, {"ended", codec::Json::array()}};
        for (int n = 1; n <= count; ++n) {
            json["ended"].push_back({n, "5c0e7a21d94b36f8.0.1." + std::to_string(n), 1, "done", ""});
        }
        const auto listing = valueOf([&] { return decodeListing(codec::writeJson(json)); });
        EXPECT_EQ(listing.isTruncated, count == 500);
    }
}

TEST(WireCodec, RejectsInvalidWorkerEntries)
{
    const std::string valid = R"({"service":"s","address":"10.0.0.1:80","zone":"z","state":"ready","born":5,
        "capacity":{"cpu":16000,"memMb":32768,"gpu":0},"labels":["a","r1-3"]})";
    const auto entry = valueOf([&] { return decodeWorkerEntry("i-1", valid); });
    EXPECT_EQ(entry.rack, "r1-3");
    EXPECT_EQ(entry.capacity.milliCores, 16000);
    EXPECT_FALSE(entry.isDraining);
    const std::pair<const char *, const char *> replacements[] = {
        {R"("ready")", R"("resting")"}, {R"("ready")", "7"},      {R"("10.0.0.1:80")", R"("nowhere")"},
        {R"("zone":"z",)", ""},         {R"(["a","r1-3"])", "3"}, {R"({"cpu":16000,"memMb":32768,"gpu":0})", "[]"},
    };
    for (const auto &[from, to] : replacements) {
        auto text = valid;
        text.replace(text.find(from), std::string_view(from).size(), to);
        EXPECT_EQ(kindOf([&] { return decodeWorkerEntry("i-1", text); }), ErrorKind::MalformedMessage) << to;
    }
    EXPECT_EQ(kindOf([] { return decodeWorkerEntry("i-1", "\x01\xff"); }), ErrorKind::MalformedMessage);
}

// Numbers outside their range must not become others: 4294967297 is 1 in an int.
TEST(WireCodec, RejectsJobsWithNumbersOutOfRange)
{
    const std::string step = R"({"count":4,"cpu":500,"memMb":256,"gpu":1,"estimateMs":900,"targetMs":20,
        "antiAffinity":1,"bestEffort":1,"after":[0]})";
    const std::string times = R"("repeatCount":3,"firstRunMs":1700000000000,"intervalMs":5000)";
    const auto decode = [](const std::string &changedStep, const std::string &changedTimes) {
        return kindOf([&] {
            return decodeJobSpec(R"({"spec":"text","steps":[{"cpu":1},)" + changedStep + "]," + changedTimes + "}");
        });
    };
    ASSERT_EQ(decode(step, times), ErrorKind::Internal) << "the unchanged job is valid";
    const auto replaceNumber = [](std::string text, const std::string &field, const std::string &value) {
        const auto begin = text.find("\"" + field + "\":") + field.size() + 3;
        return text.replace(begin, std::min(text.find(',', begin), text.find('}', begin)) - begin, value);
    };
    const auto odd = {"-1", "-1e300", "1e300", "18446744073709551615", "9223372036854775807", "true", "null", "\"1\""};
    for (const auto *field : {"count", "cpu", "memMb", "gpu", "estimateMs", "targetMs", "antiAffinity", "bestEffort"}) {
        for (const auto *value : odd) {
            EXPECT_EQ(decode(replaceNumber(step, field, value), times), ErrorKind::InvalidJob) << field << " " << value;
        }
    }
    for (const auto *field : {"repeatCount", "firstRunMs", "intervalMs"}) {
        for (const auto *value : odd) {
            EXPECT_EQ(decode(step, replaceNumber(times, field, value)), ErrorKind::InvalidJob) << field << " " << value;
        }
    }
    for (const auto *field : {"count", "antiAffinity", "bestEffort"}) {
        for (const auto *value : {"4294967297", "1.5"}) {
            EXPECT_EQ(decode(replaceNumber(step, field, value), times), ErrorKind::InvalidJob) << field << " " << value;
        }
    }
    EXPECT_EQ(decode(step, replaceNumber(times, "repeatCount", "4294967297")), ErrorKind::InvalidJob);
    for (const auto *value : {"[4294967296]", "[-1]", "[0.5]", "[1e300]", "[true]", "7", "{\"a\":0}"}) {
        EXPECT_EQ(decode(R"({"after":)" + std::string(value) + "}", times), ErrorKind::InvalidJob) << value;
    }
}

TEST(WireCodec, RejectsListingsWithNumbersOutOfRange)
{
    const auto listingWith = [](const std::string &clock, const std::string &born, const std::string &run,
                                const std::string &number, const std::string &percent, const std::string &level) {
        return R"({"clockMs":)" + clock + R"(,"born":)" + born + R"(,"running":[["5c0e7a21d94b36f8.0.1.17",)" + run
            + R"(,"c",)" + percent + "," + level + R"(]],"ended":[[)" + number
            + R"(,"5c0e7a21d94b36f8.0.1.9",1,"done",""]]})";
    };
    EXPECT_EQ(kindOf([&] { return decodeListing(listingWith("5.5", "17", "2", "58", "41.5", "12.5")); }),
              ErrorKind::Internal);
    for (const auto *odd : {"-1", "-1e300", "1e300", "18446744073709551615", "true", "null", "\"1\""}) {
        for (const auto &it :
             {listingWith(odd, "17", "2", "58", "41", "12"), listingWith("5", odd, "2", "58", "41", "12"),
              listingWith("5", "17", odd, "58", "41", "12"), listingWith("5", "17", "2", odd, "41", "12")}) {
            EXPECT_EQ(kindOf([&] { return decodeListing(it); }), ErrorKind::MalformedMessage) << it;
        }
    }
    // Measurements are cut to what they can mean, so that the worker's runs stay known.
    for (const auto *odd : {"-1", "-1e300", "1e300", "18446744073709551615"}) {
        const auto listing = valueOf([&] { return decodeListing(listingWith("5", "17", "2", "58", odd, odd)); });
        ASSERT_EQ(listing.running.size(), 1U);
        EXPECT_GE(listing.running[0].percent, 0) << odd;
        EXPECT_LE(listing.running[0].percent, 100) << odd;
        EXPECT_GE(listing.running[0].level, 0) << odd;
        EXPECT_LE(listing.running[0].level, 1'000'000'000) << odd;
    }
    for (const auto *it : {"5c0e7a21d94b36f8.-1.1.17", "5c0e7a21d94b36f8.0.-1.17", "5c0e7a21d94b36f8.0.1.-17"}) {
        EXPECT_FALSE(decodeTaskName(it)) << it;
    }
}

// The end must be counted, so that it is acknowledged, and must not end another task.
TEST(WireCodec, AnEndOfAForeignTaskIsOfNoJob)
{
    const auto listing
        = valueOf([] { return decodeListing(R"({"clockMs":5,"running":[],"ended":[[58,"foreign",1,"done",""]]})"); });
    ASSERT_EQ(listing.ended.size(), 1U);
    EXPECT_EQ(listing.ended[0].number, 58);
    jobs::JobSpec spec;
    spec.steps.resize(1);
    const jobs::Job job({0}, spec, "q", TimePoint());
    EXPECT_FALSE(listing.ended[0].task.job == job.key() && job.contains(listing.ended[0].task));
}

TEST(WireCodec, RejectsConfigurationsWithNumbersOutOfRange)
{
    const auto configurationWith = [](const std::string &field, const std::string &value) {
        const auto number = [&](const std::string &name, const std::string &usual) {
            return "\"" + name + "\":" + (name == field ? value : usual);
        };
        return "{" + number("version", "7") + R"(,"routes":[{"name":"a","host":"h","pathPrefix":"/x/","service":"s",)"
            + number("timeoutMs", "3000") + "," + number("targetLatencyMs", "400") + "," + number("priority", "1") + ","
            + number("maxAttempts", "4") + "," + number("stretch", "1.5") + R"(,"advice":{)" + number("decideMs", "5")
            + "," + number("perItemMs", "0.5") + "," + number("validityMs", "60000") + "}}]}";
    };
    EXPECT_EQ(kindOf([&] { return decodeConfiguration(configurationWith("", "")); }), ErrorKind::Internal);
    for (const auto *field : {"version", "timeoutMs", "targetLatencyMs", "priority", "maxAttempts", "stretch",
                              "decideMs", "perItemMs", "validityMs"}) {
        for (const auto *odd : {"-1", "-1e300", "1e300", "18446744073709551615", "true", "null", "\"1\""}) {
            EXPECT_EQ(kindOf([&] { return decodeConfiguration(configurationWith(field, odd)); }),
                      ErrorKind::InvalidDocument)
                << field << " " << odd;
        }
    }
}

TEST(WireCodec, MarksCommitsThatSpanParts)
{
    ports::Commit commit;
    commit.conditions.push_back({{"t", "1", "a"}, 4});
    commit.writes.push_back({{"t", "1", "a"}, std::string("\0\xff!", 3)});
    EXPECT_EQ(encodeCommit(commit).find("across"), std::string::npos);
    commit.removals.push_back({"t", "2", "b"});
    EXPECT_NE(encodeCommit(commit).find("\"across\":true"), std::string::npos);
    EXPECT_NE(encodeCommit(commit).find("\"value\":\"AP8h\""), std::string::npos);
    const auto page = valueOf([] {
        return decodeRowPage(R"({"ver":9,"rows":[{"table":"t","part":"1","key":"a","ver":5,"value":"AP8h"},
                             {"table":"t","part":"1","key":"b","ver":6,"removed":true}],"truncated":true})");
    });
    ASSERT_EQ(page.rows.size(), 2U);
    EXPECT_EQ(page.rows[0].value, std::string("\0\xff!", 3));
    EXPECT_TRUE(page.rows[1].isRemoved && page.isTruncated);
}

TEST(WireCodec, FindsRouteByHostAndLongestPrefix)
{
    const auto configuration = valueOf([] {
        return decodeConfiguration(R"({"version":7,"routes":[
            {"name":"a","host":"h","pathPrefix":"/x/","service":"s","timeoutMs":3000,"targetLatencyMs":400,
             "priority":1,"maxAttempts":4,"stretch":1.5},
            {"name":"b","host":"h","pathPrefix":"/x/y/","service":"s"}]})");
    });
    EXPECT_EQ(configuration.version, 7);
    EXPECT_EQ(configuration.routes[0].policy.maxAttempts, 4);
    EXPECT_EQ(findRoute(configuration, "h", "/x/1")->policy.queue, "a");
    EXPECT_EQ(findRoute(configuration, "h", "/x/y/1")->policy.queue, "b");
    EXPECT_EQ(findRoute(configuration, "other", "/x/1"), nullptr);
    EXPECT_EQ(findRoute(configuration, "h", "/z"), nullptr);
}

TEST(CborJobs, DecodesWhatItEncodes)
{
    const codec::CborJobs rows;
    execution::AcceptedJob job;
    job.policy.queue = "q";
    job.policy.service = ServiceName("s");
    job.policy.stretch = 1.5;
    job.spec.payload = "text";
    job.spec.steps.resize(2);
    job.spec.steps[1].after = {0};
    job.spec.steps[1].tailTarget = 18ms;
    job.spec.steps[1].isGang = true;
    job.knownFence = {12};
    const auto decoded = valueOf([&] { return rows.decodeJob(rows.encode(job)); });
    EXPECT_EQ(decoded.policy.stretch, 1.5);
    EXPECT_EQ(decoded.spec.steps[1].after, std::vector<int>{0});
    EXPECT_EQ(decoded.spec.steps[1].tailTarget, std::optional<Duration>(18ms));
    EXPECT_TRUE(decoded.spec.steps[1].isGang);
    EXPECT_EQ(decoded.knownFence, Epoch{12});
    job.knownFence = {};
    EXPECT_EQ(rows.encode(job).find("fence"), std::string::npos) << "rows of earlier releases have no such key";
    EXPECT_EQ(valueOf([&] { return rows.decodeJob(rows.encode(job)); }).knownFence, Epoch{});
    jobs::JobProgress progress;
    progress.state = jobs::JobState::Running;
    progress.occurrences = {{jobs::StepProgress{"D.", {{1, {2, 3}}}, {}, {}}}};
    EXPECT_EQ(valueOf([&] { return rows.decodeProgress(rows.encode(progress)); }), progress);
    EXPECT_EQ(kindOf([&] { return rows.decodeProgress("no cbor"); }), ErrorKind::MalformedMessage);
}

// During a rolling update, both builds read the progress rows.
TEST(CborJobs, ReadsTheProgressOfAnOlderBuild)
{
    const codec::CborJobs rows;
    jobs::JobProgress progress;
    progress.state = jobs::JobState::Running;
    progress.occurrences = {{jobs::StepProgress{"D.", {{1, {2, 3}}}, {{0, {4}}, {-1, {5, 6}}}, {{1, 7}}}}};
    EXPECT_EQ(valueOf([&] { return rows.decodeProgress(rows.encode(progress)); }), progress);
    progress.occurrences[0][0].crashedRuns.clear();
    EXPECT_EQ(valueOf([&] { return rows.decodeProgress(rows.encode(progress)); }), progress);
    progress.occurrences[0][0].possiblyCrashedRuns.clear();
    progress.occurrences[0][0].checkpoints = {{1, {4, "c5"}}};
    EXPECT_EQ(valueOf([&] { return rows.decodeProgress(rows.encode(progress)); }), progress);
    progress.occurrences[0][0].checkpoints.clear();
    progress.occurrences[0][0].avoidedWorkers = {{1, {WorkerId("w3")}}};
    EXPECT_EQ(valueOf([&] { return rows.decodeProgress(rows.encode(progress)); }), progress);
    progress.occurrences[0][0].avoidedWorkers.clear();
    using codec::Json;
    const auto older = codec::writeCbor(
        {{"state", 1},
         {"occurrences",
          Json::array({Json::array({Json::array({"D.", Json::array({Json::array({1, Json::array({2, 3})})})})})})}});
    EXPECT_EQ(valueOf([&] { return rows.decodeProgress(older); }), progress);
    EXPECT_EQ(rows.encode(progress), older) << "without crashes, the row is that of the older build";
}

// During a rolling update, both builds read the leader row.
TEST(CborJobs, ReadsTheLeaderRowOfAnOlderBuild)
{
    const codec::CborJobs rows;
    membership::LeaderRow row;
    row.host = EntryHostId("h");
    row.fence = {3};
    row.formersDecideFor = 7s;
    EXPECT_EQ(valueOf([&] { return rows.decodeLeader(rows.encode(row)); }).formersDecideFor, 7s);
    EXPECT_FALSE(valueOf([&] { return rows.decodeLeader(rows.encode(row)); }).former);
    row.former = {EntryHostId("g"), 5, {2}};
    const auto former = valueOf([&] { return rows.decodeLeader(rows.encode(row)); }).former;
    ASSERT_TRUE(former);
    EXPECT_EQ(former->host, EntryHostId("g"));
    EXPECT_EQ(former->incarnation, 5U);
    EXPECT_EQ(former->fence, Epoch{2});
    row.silentWorkers = {{WorkerId("w"), 1500us}};
    const auto silent = valueOf([&] { return rows.decodeLeader(rows.encode(row)); }).silentWorkers;
    ASSERT_EQ(silent.size(), 1U);
    EXPECT_EQ(silent.front().worker, WorkerId("w"));
    EXPECT_EQ(silent.front().leasesEndIn, 2ms) << "rounded up";
    row.witnesses = {{WorkerId("w"), 1765000000123}, {WorkerId("v"), 7}};
    EXPECT_EQ(valueOf([&] { return rows.decodeLeader(rows.encode(row)); }).witnesses, row.witnesses);
    const auto older = codec::writeCbor({{"host", "h"},
                                         {"incarnation", 1},
                                         {"fence", 3},
                                         {"beat", 1},
                                         {"bestShare", 1.0},
                                         {"waiting", codec::Json::object()}});
    const auto decoded = valueOf([&] { return rows.decodeLeader(older); });
    EXPECT_EQ(decoded.fence, Epoch{3});
    EXPECT_EQ(decoded.formersDecideFor, Duration(0));
    EXPECT_FALSE(decoded.former);
    EXPECT_TRUE(decoded.silentWorkers.empty());
    EXPECT_TRUE(decoded.witnesses.empty());
}

TEST(CborJobs, RoundsTheEndOfLeasesUp)
{
    const codec::CborJobs rows;
    const auto term = valueOf([&] { return rows.decodeEndedTerm(rows.encode(membership::EndedTerm{{3}, 1500us})); });
    EXPECT_EQ(term.fence, Epoch{3});
    EXPECT_EQ(term.leasesEndIn, 2ms);
}

TEST(WireCodec, RunOrdersPreserveThePayload)
{
    for (const auto *payload : {"", "plain", "quote \" and \\ and \n", "\xc3\xa9"}) {
        SCOPED_TRACE(payload);
        const ports::RunOrder order{{7}, {{0x5c0e7a21d94b36f8}, 0, 1, 17}, 2, payload, "ck", "tk", 486000};
        const auto json = codec::Json::parse(encodeRunOrder(order, encodePayload(order.payload)));
        EXPECT_EQ(json.at("spec").get<std::string>(), payload);
        EXPECT_EQ(json.at("task").get<std::string>(), "5c0e7a21d94b36f8.0.1.17");
        EXPECT_EQ(json.at("run").get<int>(), 2);
        EXPECT_EQ(json.at("fence").get<int>(), 7);
        EXPECT_EQ(json.at("deadlineMs").get<int>(), 486000);
        EXPECT_EQ(json.at("lastCheckpoint").get<std::string>(), "ck");
        EXPECT_EQ(json.at("ticket").get<std::string>(), "tk");
    }
}

TEST(PlatformSettings, ReportsAllErrors)
{
    const std::string valid = R"({"name":"n","region":"r","failureDomain":"d","clientAddress":"10.0.0.1:1",
        "readyAddress":"10.0.0.1:2","controlAddress":"10.0.0.1:3","storeAddress":"10.0.0.9:4",
        "processorShare":0.1,"logLinesPerSecond":100,"stopGraceSeconds":6})";
    EXPECT_TRUE(decodeSettings(valid).errors.empty());
    EXPECT_EQ(decodeSettings(valid).settings.stopGrace, std::chrono::milliseconds(6000));
    EXPECT_EQ(decodeSettings(valid).settings.storeRowBytes, 65536U);
    const auto withRowBytes = decodeSettings(valid.substr(0, valid.size() - 1) + R"(,"storeRowBytes":4096})");
    EXPECT_TRUE(withRowBytes.errors.empty());
    EXPECT_EQ(withRowBytes.settings.storeRowBytes, 4096U);
    EXPECT_FALSE(decodeSettings(valid).settings.moveCost);
    const auto withMoveCost = decodeSettings(valid.substr(0, valid.size() - 1)
                                             + R"(,"checkpointIntervalSeconds":0.5,"restoreMs":100,"runStopMs":200})");
    EXPECT_TRUE(withMoveCost.errors.empty());
    ASSERT_TRUE(withMoveCost.settings.moveCost);
    EXPECT_EQ(withMoveCost.settings.moveCost->checkpointInterval, 500ms);
    EXPECT_EQ(withMoveCost.settings.moveCost->restore, 100ms);
    EXPECT_EQ(withMoveCost.settings.moveCost->stop, 200ms);
    const auto incomplete = decodeSettings(valid.substr(0, valid.size() - 1) + R"(,"checkpointIntervalSeconds":0.5})");
    EXPECT_EQ(incomplete.errors.size(), 2U) << "the other two are missing";
    EXPECT_FALSE(decodeSettings(valid).settings.remoteRunTimeFactor);
    const auto withFactor = [&](const std::string &value) {
        return decodeSettings(valid.substr(0, valid.size() - 1) + R"(,"remoteRunTimeFactor":)" + value + "}");
    };
    EXPECT_TRUE(withFactor("1.5").errors.empty());
    EXPECT_EQ(withFactor("1.5").settings.remoteRunTimeFactor, 1.5);
    for (const auto *it : {"0.5", "101", "\"2\"", "null"}) {
        EXPECT_FALSE(withFactor(it).errors.empty()) << it;
    }
    const auto invalid = decodeSettings(
        R"({"name":"","storeAddress":"nowhere","storeRowBytes":1,"processorShare":0,"logLinesPerSecond":0,"colour":"red"})");
    std::vector<std::string> keys;
    for (const auto &it : invalid.errors) {
        keys.push_back(it.key);
    }
    for (const auto *it :
         {"name", "region", "storeAddress", "storeRowBytes", "processorShare", "logLinesPerSecond", "colour"}) {
        EXPECT_NE(std::ranges::find(keys, it), keys.end()) << it;
    }
    EXPECT_FALSE(decodeSettings("{").errors.empty());
    EXPECT_FALSE(decodeSettings("[]").errors.empty());
}

} // namespace monsoonspool::platform
