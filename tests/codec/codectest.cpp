#include "codec/cborrows.h"
#include "codec/documentjson.h"
#include "codec/jobjson.h"
#include "codec/json.h"
#include "codec/peercbor.h"
#include "codec/platformjson.h"

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <gtest/gtest.h>

#include <optional>

namespace monsoonspool::codec {

namespace {

constexpr std::string_view Minimal = R"({"service": "s", "team": "t", "urgency": [{"name": "u", "rank": 0}]})";

bool isDecoded(std::string_view bytes)
{
    return handleFailure(
        [&]() -> Result<bool> {
            BOOST_LEAF_CHECK(decodePeerMessage(bytes));
            return true;
        },
        [](const Failure &failure) {
            EXPECT_EQ(failure.kind, ErrorKind::MalformedMessage);
            return false;
        });
}

std::vector<control::PeerMessage> messagesOfEveryKind()
{
    membership::Heartbeat heartbeat;
    heartbeat.host = EntryHostId("e");
    heartbeat.owned = {{PartitionName("p"), Epoch{3}}};
    grants::SlotRequest request;
    request.ledger = {PoolName("p"), RegionName("r")};
    request.holder = {EntryHostId("e"), 5, 1};
    request.inUseOverLimit = {{TargetId("t"), 2, 0}};
    request.unhealthy = {TargetId("i")};
    grants::SlotOffer offer;
    offer.slots = {{TargetId("t"), 2, 6}};
    offer.startWindow = 5s;
    control::JobCall call;
    call.kind = control::JobCall::Kind::Cancel;
    call.job = JobId("d-1");
    control::JobReply reply{4, Failure{ErrorKind::QuotaExceeded, "no"}, {{}}};
    return {heartbeat,
            request,
            offer,
            control::SlotRecall{},
            control::ChangesRequest{EntryHostId("e"), 7},
            control::DocumentChanges{{{1, ServiceName("s"), 2, "text"}}},
            call,
            reply};
}

struct DocumentCase
{
    const char *name;
    std::string text;
    std::string path; // of the first fault
    std::string message; // part of its problem
};

class InvalidDocument : public testing::TestWithParam<DocumentCase>
{
};

} // namespace

TEST(DocumentJson, AppliesDefaults)
{
    const auto decoded = decodeDocument(Minimal);
    ASSERT_TRUE(decoded.faults.empty());
    EXPECT_EQ(decoded.document.pool.text(), "s");
    EXPECT_EQ(decoded.document.hostNames, std::vector<std::string>{"s"});
    EXPECT_EQ(decoded.document.slotsPerTarget, 8);
    EXPECT_EQ(decoded.document.urgency.front().deadline, Duration(10s));
    const auto again = decodeDocument(writeJson(documentToJson(decoded.document)));
    EXPECT_TRUE(again.faults.empty());
}

TEST_P(InvalidDocument, ReportsPathAndExpectedValue)
{
    const auto faults = decodeDocument(GetParam().text).faults;
    ASSERT_FALSE(faults.empty());
    EXPECT_EQ(faults.front().path, GetParam().path);
    EXPECT_NE(faults.front().problem.find(GetParam().message), std::string::npos) << faults.front().problem;
}

INSTANTIATE_TEST_SUITE_P(
    Faults, InvalidDocument,
    testing::Values(
        DocumentCase{"NotJson", "{", "", "must be JSON"},
        DocumentCase{"NotUtf8", "{\"service\": \"\xff\"}", "", "must be JSON"},
        DocumentCase{"TooDeep", std::string(100, '[') + std::string(100, ']'), "", "deeper than"},
        DocumentCase{"UnknownKey",
                     R"({"service": "s", "team": "t", "urgency": [{"name": "u", "rank": 0}], "servce": 1})", "servce",
                     "the known keys are"},
        DocumentCase{"MissingTeam", R"({"service": "s", "urgency": [{"name": "u", "rank": 0}]})", "team",
                     "is required"},
        DocumentCase{"WrongType",
                     R"({"service": "s", "team": "t", "weight": "much", "urgency": [{"name": "u", "rank": 0}]})",
                     "weight", "0.01 to 100"},
        DocumentCase{"OutOfRange",
                     R"({"service": "s", "team": "t", "target": {"slots": 0}, "urgency": [{"name": "u", "rank": 0}]})",
                     "target/slots", "1 to 1000"},
        DocumentCase{"NoClass", R"({"service": "s", "team": "t", "urgency": []})", "urgency", "1 to 8"},
        DocumentCase{"ClassWithoutRank", R"({"service": "s", "team": "t", "urgency": [{"name": "u"}]})",
                     "urgency/0/rank", "is required"},
        DocumentCase{
            "DuplicateName",
            R"({"service": "s", "team": "t", "urgency": [{"name": "u", "rank": 0}, {"name": "u", "rank": 1}]})",
            "urgency/1/name", "is a duplicate"},
        DocumentCase{
            "SharesOverOne",
            R"({"service": "s", "team": "t", "urgency": [{"name": "u", "rank": 0, "guaranteedShare": 0.7}, {"name": "v", "rank": 1, "guaranteedShare": 0.4}]})",
            "urgency", "add up"},
        DocumentCase{
            "DeadlineOverLimit",
            R"({"service": "s", "team": "t", "timeLimitMs": 100, "urgency": [{"name": "u", "rank": 0, "deadlineMs": 200}]})",
            "urgency/0/deadlineMs", "timeLimitMs"},
        DocumentCase{
            "WrongChoice",
            R"({"service": "s", "team": "t", "pressure": {"storeOutage": "panic"}, "urgency": [{"name": "u", "rank": 0}]})",
            "pressure/storeOutage", "wait"}),
    [](const auto &info) { return info.param.name; });

TEST(DocumentJson, ReportsEveryFault)
{
    const auto faults
        = decodeDocument(
              R"({"service": "S!", "team": "t", "weight": -1, "extra": 1, "urgency": [{"name": "u", "rank": 0}]})")
              .faults;
    EXPECT_EQ(faults.size(), 3U);
}

TEST(DocumentJson, DiffListsChangedValues)
{
    const auto differences = handleFailure(
        [&] {
            return diffDocuments(
                Minimal, R"({"service": "s", "team": "t", "weight": 2, "urgency": [{"name": "u", "rank": 0}]})");
        },
        [](const Failure &) { return std::vector<DocumentDifference>(); });
    ASSERT_EQ(differences.size(), 1U);
    EXPECT_EQ(differences.front().path, "weight");
    EXPECT_EQ(differences.front().before, "1.0");
    EXPECT_EQ(differences.front().after, "2.0");
}

TEST(PeerCbor, RoundTripsEveryMessageKind)
{
    for (const auto &message : messagesOfEveryKind()) {
        const auto bytes = encodePeerMessage(message);
        const auto again = handleFailure([&] { return decodePeerMessage(bytes); },
                                         [](const Failure &failure) {
                                             ADD_FAILURE() << failure.detail;
                                             return control::PeerMessage();
                                         });
        EXPECT_EQ(again.index(), message.index());
        EXPECT_EQ(encodePeerMessage(again), bytes);
    }
}

TEST(PeerCbor, RejectsInvalidMessages)
{
    EXPECT_FALSE(isDecoded(""));
    EXPECT_FALSE(isDecoded(writeCbor(Json::array({2, 0, Json::object()}))));
    EXPECT_FALSE(isDecoded(writeCbor(Json::array({1, 99, Json::object()}))));
    EXPECT_FALSE(isDecoded(writeCbor(Json::array({1, 0, Json::object()}))));
    EXPECT_FALSE(isDecoded(std::string(MaxPeerMessageBytes + 1, 'x')));
    Json deep = 1;
    for (int n = 0; n < 100; ++n) {
        deep = Json::array({deep});
    }
    EXPECT_FALSE(isDecoded(writeCbor(Json::array({1, 0, deep}))));
}

// Guards against a row or message of some KB that ends the process: the parser calls itself for each level.
TEST(Cbor, RejectsMessagesThatNestWithoutEnd)
{
    constexpr std::size_t bytes = 1024 * 1024;
    const std::string arrays(bytes, '\x81');
    std::string objects;
    while (objects.size() < bytes) {
        objects += "\xa1\x61k";
    }
    for (const auto &it : {arrays, objects, std::string(bytes, '\x9f')}) {
        const auto kind = handleFailure(
            [&]() -> Result<std::optional<ErrorKind>> {
                BOOST_LEAF_CHECK(parseLargeCbor(it));
                return std::optional<ErrorKind>();
            },
            [](const Failure &failure) { return std::optional(failure.kind); });
        EXPECT_EQ(kind, ErrorKind::MalformedMessage);
    }
    Json wide = Json::array();
    for (int n = 0; n < 1000; ++n) {
        wide.push_back(Json::array({Json::object()}));
    }
    EXPECT_EQ(parseLargeCbor(writeCbor(wide)).value(), wide);
}

// Mutates and truncates valid encodings at random. Each decoder must accept or reject the
// input; a crash or an uncaught exception fails the test.
TEST(CodecFuzz, DecodesOrRejectsMutatedInput)
{
    boost::random::mt19937_64 generator(20261204);
    const auto draw
        = [&](std::size_t n) { return boost::random::uniform_int_distribution<std::size_t>(0, n - 1)(generator); };
    const CborRows rows;
    const CborRecords records;
    const CborPlacement placement;
    std::vector<std::string> seeds;
    for (const auto &it : messagesOfEveryKind()) {
        seeds.push_back(encodePeerMessage(it));
    }
    seeds.push_back(rows.encode(membership::OwnershipRow{EntryHostId("e"), 1, Epoch{1}, 1}));
    seeds.push_back(records.encode(records::RequestRecord{
        records::RecordState::Answered, "f", EntryHostId("e"), 1, 1, {200, {{"a", "b"}}, "body"}}));
    seeds.push_back(placement.encode(control::LogBatch{Epoch{1}, 1, {placement::JobCancelled{JobId("d-1")}}}));
    seeds.emplace_back(Minimal);
    int accepted = 0;
    const auto attempt = [&](auto f) {
        accepted += handleFailure(
            [&]() -> Result<int> {
                BOOST_LEAF_CHECK(f());
                return 1;
            },
            [](const Failure &) { return 0; });
    };
    for (int n = 0; n < 20'000; ++n) {
        std::string bytes = seeds[draw(seeds.size())];
        for (std::size_t changes = draw(4); changes > 0 && !bytes.empty(); --changes) {
            bytes[draw(bytes.size())] = static_cast<char>(draw(256));
        }
        if (draw(3) == 0) {
            bytes.resize(draw(bytes.size() + 1));
        }
        attempt([&] { return decodePeerMessage(bytes); });
        attempt([&] { return rows.decodeOwnership(bytes); });
        attempt([&] { return rows.decodeDocument(bytes); });
        attempt([&] { return rows.decodeChange(bytes); });
        attempt([&] { return rows.decodeHolder(bytes); });
        attempt([&] { return records.decode(bytes); });
        attempt([&] { return placement.decodeBatch(bytes); });
        attempt([&] { return placement.decodeJobs(bytes); });
        attempt([&] { return fromBase64(bytes); });
        decodeDocument(bytes);
        decodeJob(bytes);
    }
    EXPECT_GT(accepted, 1'000) << "unmutated inputs must decode";
}

TEST(Base64, RoundTripsEveryLength)
{
    for (std::size_t n = 0; n < 20; ++n) {
        std::string bytes;
        for (std::size_t i = 0; i < n; ++i) {
            bytes += static_cast<char>(i * 37 + 200);
        }
        EXPECT_EQ(handleFailure([&] { return fromBase64(toBase64(bytes)); },
                                [](const Failure &) { return std::string("failed"); }),
                  bytes);
    }
}

} // namespace monsoonspool::codec
