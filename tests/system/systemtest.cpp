#include "bench/localsystem.h"

#include "codec/typejson.h"
#include "http/apiclient.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <gtest/gtest.h>

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <map>
#include <thread>
#include <unistd.h>

// Runs the real programs on loopback: several daemons, an emulated platform and
// sample targets, while daemons are killed, paused and drained. The tests check what
// guests and targets observe, and never how long something takes.
namespace monsoonspool::bench {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace bhttp = boost::beast::http;
using tcp = asio::ip::tcp;

constexpr std::string_view Document = R"({"service": "desk", "team": "t", "idempotent": false, "timeLimitMs": 5000,
  "target": {"slots": 4, "connections": 60},
  "urgency": [{"name": "urgent", "rank": 0, "deadlineMs": 4000, "guaranteedShare": 0.4, "queueLimit": 5000},
              {"name": "plain", "rank": 1, "deadlineMs": 5000, "guaranteedShare": 0.4, "queueLimit": 5000}]})";
constexpr int Slots = 4;

std::string programFolder()
{
    return std::filesystem::canonical("/proc/self/exe").parent_path().string();
}

LocalOptions options(int daemons, int targets, int serviceMs)
{
    LocalOptions options;
    options.programFolder = programFolder();
    options.regions = {{"region", daemons, targets}};
    options.documents = {std::string(Document)};
    options.serviceMs = serviceMs;
    options.workers = 2;
    return options;
}

std::unique_ptr<LocalSystem> start(const LocalOptions &options)
{
    return handleFailure([&] { return LocalSystem::start(options); },
                         [](const Failure &failure) {
                             ADD_FAILURE() << failure.detail;
                             return std::unique_ptr<LocalSystem>();
                         });
}

struct GuestResult
{
    std::string id;
    bool hasReply = false; // false if the connection failed
    int status = 0;
    std::string outcome;
    std::string sampleId;
    std::string body;
};

using Fields = std::vector<std::pair<std::string, std::string>>;

// Sends one request on a new connection.
GuestResult sendRequest(asio::io_context &io, const ports::Address &address, const std::string &id,
                        const Fields &fields, asio::yield_context yield)
{
    GuestResult result;
    result.id = id;
    beast::error_code ec;
    tcp::socket socket(io);
    socket.async_connect({asio::ip::make_address(address.ip), address.port}, yield[ec]);
    if (ec) {
        return result;
    }
    bhttp::request<bhttp::string_body> request(bhttp::verb::post, "/work", 11);
    request.set(bhttp::field::host, "desk");
    request.set("Sample-Id", id);
    for (const auto &[name, value] : fields) {
        request.set(name, value);
    }
    request.body() = "body of " + id;
    request.prepare_payload();
    bhttp::async_write(socket, request, yield[ec]);
    beast::flat_buffer buffer;
    bhttp::response<bhttp::string_body> response;
    if (!ec) {
        bhttp::async_read(socket, buffer, response, yield[ec]);
    }
    if (!ec) {
        result.hasReply = true;
        result.status = static_cast<int>(response.result_int());
        result.outcome = std::string(response["Monsoonspool-Outcome"]);
        result.sampleId = std::string(response["Sample-Id"]);
        result.body = response.body();
    }
    return result;
}

// Sends `n` requests to the daemons in turn from `guests` concurrent guests. Calls
// `onResult` with the number of results after each of them.
std::vector<GuestResult> sendLoad(LocalSystem &system, int n, int guests, const std::function<void(int done)> &onResult)
{
    asio::io_context io{1};
    std::vector<GuestResult> results;
    int next = 0;
    std::vector<ports::Address> addresses;
    for (const auto &it : system.daemons()) {
        addresses.push_back(it.guests);
    }
    for (int g = 0; g < guests; ++g) {
        asio::spawn(
            io,
            [&](const asio::yield_context &yield) {
                while (next < n) {
                    const int number = next++;
                    const Fields fields{{"Monsoonspool-Urgency", number % 3 == 0 ? "urgent" : "plain"}};
                    results.push_back(sendRequest(io, addresses[static_cast<std::size_t>(number) % addresses.size()],
                                                  "id-" + std::to_string(number), fields, yield));
                    onResult(static_cast<int>(results.size()));
                }
            },
            [](const std::exception_ptr &) {});
    }
    io.run();
    return results;
}

// Checks that the targets' counts agree with the outcomes that the guests received.
void checkOutcomesAgainstTargets(LocalSystem &system, const std::vector<GuestResult> &results)
{
    std::map<std::string, int> runs;
    for (std::size_t n = 0; n < system.targets().size(); ++n) {
        const auto counts = handleFailure([&] { return system.targetCounts(n); },
                                          [](const Failure &) { return codec::Json::object(); });
        EXPECT_LE(counts.value("maxOpen", 99), Slots) << "target " << n;
        for (const auto &[id, count] : counts.at("runs").items()) {
            runs[id] += count.get<int>();
        }
    }
    for (const auto &it : results) {
        EXPECT_LE(runs[it.id], 1) << it.id << " ran more than once";
        if (!it.hasReply) {
            continue;
        }
        if (it.outcome == "answered") {
            EXPECT_EQ(it.sampleId, it.id) << it.id << " got the answer of another request";
            EXPECT_EQ(it.body, "body of " + it.id) << it.id << " got an incomplete answer";
            EXPECT_EQ(runs[it.id], 1);
        } else if (it.outcome == "not-run") {
            EXPECT_EQ(runs[it.id], 0) << it.id << " was refused as not run";
        } else {
            EXPECT_EQ(it.outcome, "unknown");
        }
    }
}

int countOutcome(const std::vector<GuestResult> &results, std::string_view outcome)
{
    return static_cast<int>(
        std::ranges::count_if(results, [&](const GuestResult &it) { return it.outcome == outcome; }));
}

codec::Json state(const LocalDaemon &daemon, const std::string &section)
{
    return handleFailure(
        [&]() -> Result<codec::Json> {
            BOOST_LEAF_AUTO(
                answer,
                http::callAndWait(daemon.operators,
                                  {"GET", "/state?section=" + section, {}, {}, std::chrono::milliseconds(5000)}));
            return codec::parseLargeJson(answer.body);
        },
        [](const Failure &) { return codec::Json::object(); });
}

} // namespace

TEST(System, ServesGuestsAtEveryDaemonWithinTheSlotsOfTheTargets)
{
    const auto system = start(options(3, 3, 5));
    ASSERT_TRUE(system);
    const auto results = sendLoad(*system, 600, 40, [](int) {});
    checkOutcomesAgainstTargets(*system, results);
    EXPECT_EQ(countOutcome(results, "answered"), 600);
}

TEST(System, InterruptsNoRequestWhenADaemonDrains)
{
    const auto system = start(options(3, 3, 20));
    ASSERT_TRUE(system);
    int exitStatus = -1;
    const auto results = sendLoad(*system, 600, 30, [&](int done) {
        if (done == 150) {
            system->daemons()[0].process.sendSignal(SIGTERM);
        }
    });
    exitStatus = system->daemons()[0].process.wait();
    checkOutcomesAgainstTargets(*system, results);
    EXPECT_EQ(exitStatus, 0);
    // A request that the daemon accepted is answered; a later one finds the port
    // closed and does not run.
    for (const auto &it : results) {
        EXPECT_TRUE(!it.hasReply || it.outcome == "answered") << it.id << " " << it.outcome;
    }
    EXPECT_GT(countOutcome(results, "answered"), 400);
}

TEST(System, ReportsCorrectOutcomesWhenADaemonIsKilled)
{
    const auto system = start(options(3, 3, 10));
    ASSERT_TRUE(system);
    const auto results = sendLoad(*system, 900, 40, [&](int done) {
        if (done == 200) {
            system->daemons()[1].process.sendSignal(SIGKILL);
        }
    });
    checkOutcomesAgainstTargets(*system, results);
    EXPECT_GT(countOutcome(results, "answered"), 500);
}

TEST(System, ReportsCorrectOutcomesWhenADaemonIsPausedAndResumed)
{
    const auto system = start(options(3, 3, 10));
    ASSERT_TRUE(system);
    auto &process = system->daemons()[0].process;
    std::thread resumeThread;
    const auto results = sendLoad(*system, 1200, 40, [&](int done) {
        if (done == 200) {
            process.sendSignal(SIGSTOP);
            // Long enough for another daemon to take over the ownerships of this one.
            resumeThread = std::thread([&] {
                std::this_thread::sleep_for(std::chrono::seconds(4));
                process.sendSignal(SIGCONT);
            });
        }
    });
    resumeThread.join();
    checkOutcomesAgainstTargets(*system, results);
    EXPECT_GT(countOutcome(results, "answered"), 700);
}

TEST(System, AnswersARepeatedKeyFromAnyDaemonAlsoAfterTheFirstHasDied)
{
    const auto system = start(options(2, 2, 5));
    ASSERT_TRUE(system);
    asio::io_context io{1};
    std::vector<GuestResult> results;
    const Fields keyed{{"Idempotency-Key", "order-1"}};
    asio::spawn(
        io,
        [&](const asio::yield_context &yield) {
            results.push_back(sendRequest(io, system->daemons()[0].guests, "order", keyed, yield));
            system->daemons()[0].process.sendSignal(SIGKILL);
            system->daemons()[0].process.wait();
            results.push_back(sendRequest(io, system->daemons()[1].guests, "order", keyed, yield));
        },
        [](const std::exception_ptr &) {});
    io.run();
    ASSERT_EQ(results.size(), 2U);
    checkOutcomesAgainstTargets(*system, results);
    EXPECT_EQ(results[1].outcome, "answered");
    EXPECT_EQ(results[1].body, results[0].body);
}

// Daemons that listen on port 0 announced that port in their heartbeats, and their peers
// gave up working connections for it.
TEST(System, KeepsItsPeerConnectionsWhenTheSystemChoosesThePorts)
{
    constexpr int messages = 12;
    const auto system = start(options(2, 1, 5));
    ASSERT_TRUE(system);
    for (const auto &daemon : system->daemons()) {
        const auto first = state(daemon, "peers").at("peers");
        auto last = first;
        for (int n = 0; n < 400 && last.at("received") < first.at("received").get<int>() + messages; ++n) {
            std::this_thread::sleep_for(std::chrono::milliseconds(50));
            last = state(daemon, "peers").at("peers");
        }
        EXPECT_GE(last.at("received"), first.at("received").get<int>() + messages) << daemon.name;
        EXPECT_EQ(last.at("connects"), 1) << daemon.name;
        EXPECT_EQ(last.at("dropped"), first.at("dropped")) << daemon.name;
    }
}

TEST(System, RefusesUnauthenticatedOperatorsWhenAKeyIsSet)
{
    const auto path = std::filesystem::temp_directory_path() / ("monsoonspool-key-" + std::to_string(getpid()));
    std::ofstream(path) << "a-key-of-the-operators\n";
    auto keyed = options(1, 1, 5);
    const auto withoutKey = start(keyed);
    ASSERT_TRUE(withoutKey);
    keyed.keyFile = path.string();
    // LocalSystem sends no key, so that the daemon must refuse its calls.
    const bool isRefused = handleFailure(
        [&]() -> Result<bool> {
            BOOST_LEAF_CHECK(LocalSystem::start(keyed));
            return false;
        },
        [](const Failure &) { return true; });
    EXPECT_TRUE(isRefused);
    std::filesystem::remove(path);
}

namespace {

// Sends raw bytes and returns the status line of the response, empty if the
// connection ends before one arrives.
std::string sendRaw(const ports::Address &address, const std::string &bytes, bool closesEarly)
{
    asio::io_context io;
    tcp::socket socket(io);
    boost::system::error_code ec;
    socket.connect({asio::ip::make_address(address.ip), address.port}, ec);
    asio::write(socket, asio::buffer(bytes), ec);
    if (closesEarly) {
        return {};
    }
    std::string reply;
    char part[1024];
    while (!ec && reply.find("\r\n") == std::string::npos) {
        const std::size_t n = socket.read_some(asio::buffer(part), ec);
        reply.append(part, n);
    }
    return reply.substr(0, reply.find("\r\n"));
}

struct RawCase
{
    const char *name;
    std::string bytes;
    std::string status; // empty if the guest disconnects without waiting
};

} // namespace

TEST(System, AnswersInvalidInputWithItsErrorStatusAndLeaksNoResources)
{
    const auto system = start(options(1, 2, 50));
    ASSERT_TRUE(system);
    const auto &daemon = system->daemons()[0];
    const std::string head = "POST /work HTTP/1.1\r\nHost: desk\r\n";
    const RawCase cases[]{
        {"malformed", "NONSENSE\r\n\r\n", "400"},
        {"bad version", "GET / HTTP/9.9\r\n\r\n", "400"},
        {"large header", "GET / HTTP/1.1\r\nHost: desk\r\nX: " + std::string(40'000, 'x') + "\r\n\r\n", "431"},
        {"large body", head + "Content-Length: 99999999999\r\n\r\n", "413"},
        {"unknown service", "GET / HTTP/1.1\r\nHost: nobody\r\n\r\n", "404"},
        {"unknown service by path", "GET /services/nobody/x HTTP/1.1\r\nHost: x\r\n\r\n", "404"},
        {"negative deadline", head + "Monsoonspool-Deadline-Ms: -5\r\nContent-Length: 0\r\n\r\n", "400"},
        {"deadline out of range", head + "Monsoonspool-Deadline-Ms: 99999999999999999999\r\nContent-Length: 0\r\n\r\n",
         "400"},
        {"deadline in words", head + "Monsoonspool-Deadline-Ms: soon\r\nContent-Length: 0\r\n\r\n", "400"},
        {"unknown urgency", head + "Monsoonspool-Urgency: utmost\r\nContent-Length: 0\r\n\r\n", "400"},
        {"empty key", head + "Idempotency-Key: \r\nContent-Length: 0\r\n\r\n", "400"},
        {"long key", head + "Idempotency-Key: " + std::string(300, 'k') + "\r\nContent-Length: 0\r\n\r\n", "400"},
        {"bad chunk", head + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", "400"},
        {"disconnects in the header", "POST /work HT", ""},
        {"disconnects in the body", head + "Content-Length: 100\r\n\r\nhalf", ""},
        {"disconnects in a streamed body", head + "Content-Length: 200000\r\n\r\n" + std::string(100'000, 'x'), ""},
        {"disconnects before the answer", head + "Content-Length: 4\r\n\r\nbody", ""},
        {"valid", head + "Content-Length: 4\r\n\r\nbody", "200"},
    };
    for (const auto &it : cases) {
        const auto line = sendRaw(daemon.guests, it.bytes, it.status.empty());
        EXPECT_EQ(line.find(it.status.empty() ? "" : " " + it.status), it.status.empty() ? 0U : 8U)
            << it.name << ": " << line;
    }
    // All slots, queue places and target connections are released.
    codec::Json lane;
    for (int n = 0; n < 200; ++n) {
        lane = state(daemon, "traffic").at("traffic").at(0);
        if (lane.at("inUse") == 0 && lane.at("waiting") == 0
            && lane.at("targetConnections") == lane.at("idleTargetConnections")) {
            break;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    EXPECT_EQ(lane.at("inUse"), 0);
    EXPECT_EQ(lane.at("waiting"), 0);
    EXPECT_EQ(lane.at("targetConnections"), lane.at("idleTargetConnections"));
}

TEST(System, RefusesToStartOnAPortInUse)
{
    const auto system = start(options(1, 1, 5));
    ASSERT_TRUE(system);
    const auto &daemon = system->daemons()[0];
    const auto path
        = std::filesystem::temp_directory_path() / ("monsoonspool-taken-" + std::to_string(getpid()) + ".json");
    std::ofstream(path) << codec::writeJson({{"name", "other"},
                                             {"region", "region"},
                                             {"failureDomain", "d"},
                                             {"guestAddress", daemon.guests},
                                             {"operatorAddress", ports::Address{"127.0.0.1", 0}},
                                             {"peerAddress", ports::Address{"127.0.0.1", 0}},
                                             {"platformAddress", system->platformAddress()}});
    const int status = handleFailure(
        [&]() -> Result<int> {
            BOOST_LEAF_AUTO(process,
                            ChildProcess::start({programFolder() + "/monsoonspoold", "--settings", path.string()}));
            return process.wait();
        },
        [](const Failure &) { return -1; });
    EXPECT_EQ(status, errorInfo(ErrorKind::AddressInUse).exitStatus);
    std::filesystem::remove(path);
}

} // namespace monsoonspool::bench
