#include "abusedprocess.h"

#include "bench/localsystem.h"

#include <gtest/gtest.h>

#include <chrono>
#include <filesystem>
#include <functional>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

// Clients, targets and a store that send without end, or never read, to the real programs. The
// tests check that each process lives within the memory and the descriptors of its host and
// answers an ordinary request afterwards, and never how long something takes.
namespace monsoonspool::bench {

namespace {

using Abuse = std::function<void(const AbusedAddress &)>;

template <typename T>
std::unique_ptr<T> started(const std::function<Result<T>()> &start)
{
    return handleFailure(
        [&]() -> Result<std::unique_ptr<T>> {
            BOOST_LEAF_AUTO(it, start());
            return std::make_unique<T>(std::move(it));
        },
        [](const Failure &failure) {
            ADD_FAILURE() << failure.detail;
            return std::unique_ptr<T>();
        });
}

void expectHolds(const std::function<Result<AbusedProcess>()> &start, const Abuse &abuse)
{
    const auto process = started<AbusedProcess>(start);
    ASSERT_TRUE(process);
    for (const auto &it : process->addresses()) {
        SCOPED_TRACE(it.name);
        abuse(it);
        expectWithinBounds(process->pid());
        expectAnswered(it);
    }
}

// Starts each program and abuses each of its addresses.
void expectEachAddressHolds(const Abuse &abuse)
{
    expectHolds([] { return AbusedProcess::startStandalone(); }, abuse);
    expectHolds([] { return AbusedProcess::startExecution({"127.0.0.1", 1}); }, abuse);
}

// An ordinary request must be answered while the crowd is connected, and the process must still
// be within its bounds.
Abuse crowdSends(const std::function<std::string(const AbusedAddress &)> &head, const std::string &part)
{
    return [=](const AbusedAddress &address) {
        const Crowd crowd(address.address, head(address), part);
        expectAnswered(address);
    };
}

std::string chunkedHead(const AbusedAddress &address)
{
    return address.chunkedHead;
}

} // namespace

// A process ran out of memory in a trial: trailers were buffered without a limit.
TEST(SystemAbuse, EndlessTrailers)
{
    expectEachAddressHolds(crowdSends([](const auto &it) { return it.chunkedHead + "0\r\n"; },
                                      "Trailer-Field: " + std::string(1000, 't') + "\r\n"));
}

TEST(SystemAbuse, EndlessChunkSize)
{
    expectEachAddressHolds(crowdSends(chunkedHead, std::string(1000, '0')));
}

TEST(SystemAbuse, EndlessChunkExtension)
{
    expectEachAddressHolds(
        crowdSends([](const auto &it) { return it.chunkedHead + "1;"; }, "name=" + std::string(1000, 'e') + ";"));
}

// Many chunks of one byte, each with an extension.
TEST(SystemAbuse, EndlessChunksWithExtensions)
{
    expectEachAddressHolds(crowdSends(chunkedHead, "1;name=" + std::string(1000, 'e') + "\r\nx\r\n"));
}

TEST(SystemAbuse, EndlessChunkData)
{
    expectEachAddressHolds(crowdSends(chunkedHead, "fa0\r\n" + std::string(4000, 'x') + "\r\n"));
}

TEST(SystemAbuse, EndlessHeaderFields)
{
    expectEachAddressHolds(crowdSends([](const auto &) { return "POST / HTTP/1.1\r\nHost: x\r\n"; },
                                      "Some-Field: " + std::string(1000, 'f') + "\r\n"));
}

TEST(SystemAbuse, EndlessRequestLine)
{
    expectEachAddressHolds(crowdSends([](const auto &) { return "GET /"; }, std::string(1000, 'r')));
}

TEST(SystemAbuse, PipelinedRequestsWhoseResponsesAreNeverRead)
{
    expectEachAddressHolds([](const AbusedAddress &address) {
        const Crowd crowd(address.address, "", address.ordinaryRequest);
        expectAnswered(address);
    });
}

// A few bytes at a time within one part of a request, from each of a crowd.
TEST(SystemAbuse, SlowTrickle)
{
    const auto trickle = [](const AbusedAddress &address) {
        const std::vector<std::pair<std::string, std::string>> parts{
            {"GET /", "r"},
            {"GET / HTTP/1.1\r\nHost: x\r\nField: ", "f"},
            {address.chunkedHead, "0"},
            {address.chunkedHead + "1;", "e"},
            {address.chunkedHead + "fff\r\n", "d"},
            {address.chunkedHead + "0\r\nTrailer: ", "t"},
        };
        std::vector<int> sockets;
        for (const auto &[head, part] : parts) {
            for (int n = 0; n < CrowdConnections; ++n) {
                sockets.push_back(sendRepeatedly(address.address, head, part, 1));
            }
        }
        for (int n = 0; n < 20; ++n) {
            for (std::size_t s = 0; s < sockets.size(); ++s) {
                const auto &part = parts[s / CrowdConnections].second;
                send(sockets[s], part.data(), part.size(), MSG_NOSIGNAL);
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(50));
        }
        expectAnswered(address);
        for (const int it : sockets) {
            close(it);
        }
    };
    expectEachAddressHolds(trickle);
}

// More connections than the process may have descriptors.
TEST(SystemAbuse, IdleConnections)
{
    const auto connectMany = [](pid_t pid) {
        return [pid](const AbusedAddress &address) {
            std::vector<int> sockets;
            for (int n = 0; n < IdleConnections; ++n) {
                sockets.push_back(sendRepeatedly(address.address, "", "", 0));
            }
            expectAnswered(address);
            expectWithinBounds(pid);
            for (const int it : sockets) {
                close(it);
            }
        };
    };
    for (const auto &start : {std::function([] { return AbusedProcess::startStandalone(); }), std::function([] {
                                  return AbusedProcess::startExecution({"127.0.0.1", 1});
                              })}) {
        const auto process = started<AbusedProcess>(start);
        ASSERT_TRUE(process);
        for (const auto &it : process->addresses()) {
            SCOPED_TRACE(it.name);
            connectMany(process->pid())(it);
            expectAnswered(it);
        }
    }
}

namespace {

constexpr std::string_view ChunkedAnswer = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

// The target of a daemon answers a crowd of guests without end.
void expectDaemonHoldsAgainstTarget(const std::string &head, const std::string &part)
{
    EndlessServer target(head, part, BytesPerConnection);
    LocalOptions options;
    options.programFolder = std::filesystem::canonical("/proc/self/exe").parent_path().string();
    options.regions = {{"region", 1, 1}};
    options.documents = {R"({"service": "desk", "team": "t", "idempotent": false, "timeLimitMs": 5000,
      "target": {"slots": 16, "connections": 160},
      "urgency": [{"name": "plain", "rank": 0, "deadlineMs": 4000, "guaranteedShare": 0.9, "queueLimit": 5000}]})"};
    options.targetAddress = target.address();
    const auto system = started<std::unique_ptr<LocalSystem>>([&] { return LocalSystem::start(options); });
    ASSERT_TRUE(system);
    auto &daemon = (*system)->daemons()[0];
    const std::string request = "GET / HTTP/1.1\r\nHost: desk\r\n\r\n";
    std::vector<int> guests;
    for (int n = 0; n < CrowdConnections; ++n) {
        guests.push_back(sendRepeatedly(daemon.guests, request, "", 0));
    }
    target.awaitResponses(CrowdConnections);
    expectWithinBounds(daemon.process.pid());
    expectAnswered(
        {"operators", daemon.operators, "", "GET /state?section=peers HTTP/1.1\r\nHost: x\r\n\r\n", "HTTP/1.1 200"});
    for (const int it : guests) {
        close(it);
    }
}

void expectExecutionHoldsAgainstStore(const std::string &head, const std::string &part)
{
    // A host opens fewer connections to its store than a crowd does.
    EndlessServer store(head, part, CrowdConnections * BytesPerConnection);
    expectHolds([&] { return AbusedProcess::startExecution(store.address()); },
                [&](const AbusedAddress &) { store.awaitResponses(CrowdConnections); });
}

} // namespace

TEST(SystemAbuse, EndlessTrailersOfATarget)
{
    expectDaemonHoldsAgainstTarget(std::string(ChunkedAnswer) + "0\r\n",
                                   "Trailer-Field: " + std::string(1000, 't') + "\r\n");
}

TEST(SystemAbuse, EndlessChunkExtensionOfATarget)
{
    expectDaemonHoldsAgainstTarget(std::string(ChunkedAnswer) + "1;", "name=" + std::string(1000, 'e') + ";");
}

TEST(SystemAbuse, EndlessTrailersOfTheStore)
{
    expectExecutionHoldsAgainstStore(std::string(ChunkedAnswer) + "0\r\n",
                                     "Trailer-Field: " + std::string(1000, 't') + "\r\n");
}

TEST(SystemAbuse, EndlessChunkExtensionOfTheStore)
{
    expectExecutionHoldsAgainstStore(std::string(ChunkedAnswer) + "1;", "name=" + std::string(1000, 'e') + ";");
}

TEST(SystemAbuse, EndlessBodyOfTheStore)
{
    expectExecutionHoldsAgainstStore(std::string(ChunkedAnswer), "fa0\r\n" + std::string(4000, 'x') + "\r\n");
}

} // namespace monsoonspool::bench
