#include "peer/peernode.h"

#include <boost/asio/ip/tcp.hpp>
#include <gtest/gtest.h>

#include <chrono>
#include <functional>
#include <string>
#include <vector>

namespace monsoonspool::peer {

namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

constexpr std::size_t MaxMessageBytes = 1024;
constexpr const char *Ip = "127.0.0.1";

struct RecordedEvents : PeerEvents
{
    void onMessage(std::string_view bytes) override
    {
        messages.emplace_back(bytes);
    }
    void onConnectionRefused(const std::string &name) override
    {
        refused.push_back(name);
    }
    std::vector<std::string> messages;
    std::vector<std::string> refused;
};

// A peer node with its recorded events.
struct Node
{
    explicit Node(asio::io_context &io) : node(io, events, MaxMessageBytes)
    {
    }
    RecordedEvents events;
    PeerNode node;
};

// Runs `io` until `isDone`, for at most `limit`. Returns whether it is done.
bool runUntil(asio::io_context &io, std::chrono::seconds limit, const std::function<bool()> &isDone)
{
    const auto end = std::chrono::steady_clock::now() + limit;
    while (!isDone() && std::chrono::steady_clock::now() < end) {
        io.restart();
        io.run_one_for(std::chrono::milliseconds(50));
    }
    return isDone();
}

std::uint16_t unusedPort(asio::io_context &io)
{
    const tcp::acceptor acceptor(io, {asio::ip::make_address(Ip), 0});
    return acceptor.local_endpoint().port();
}

} // namespace

TEST(PeerNode, ConnectsToAPeerThatListensLater)
{
    asio::io_context io;
    Node a(io);
    Node b(io);
    const auto port = unusedPort(io);
    a.node.setPeers({{"b", Ip, port}});
    runUntil(io, std::chrono::seconds(1), [] { return false; });
    EXPECT_EQ(a.node.counts().connects, 0U);
    ASSERT_EQ(b.node.listen(Ip, port), "");
    EXPECT_TRUE(runUntil(io, std::chrono::seconds(20), [&] { return a.node.counts().connects == 1; }));
    a.node.send("b", "text");
    EXPECT_TRUE(runUntil(io, std::chrono::seconds(20), [&] { return b.events.messages.size() == 1; }));
    EXPECT_TRUE(a.events.refused.empty());
    a.node.stop();
    b.node.stop();
}

TEST(PeerNode, TriesAgainWhenAPeerAcceptsAndSaysNothing)
{
    asio::io_context io;
    Node a(io);
    tcp::acceptor silent(io, {asio::ip::make_address(Ip), 0});
    std::vector<tcp::socket> accepted;
    std::function<void()> acceptNext = [&] {
        silent.async_accept([&](boost::system::error_code ec, tcp::socket socket) {
            if (!ec) {
                accepted.push_back(std::move(socket));
                acceptNext();
            }
        });
    };
    acceptNext();
    a.node.setPeers({{"b", Ip, silent.local_endpoint().port()}});
    EXPECT_TRUE(runUntil(io, std::chrono::seconds(30), [&] { return accepted.size() == 2; }));
    a.node.stop();
}

// The former connection stayed open, unused, as long as both processes lived.
TEST(PeerNode, ClosesTheConnectionToAnAddressThatAPeerHasLeft)
{
    asio::io_context io;
    Node a(io);
    tcp::acceptor next(io, {asio::ip::make_address(Ip), 0});
    Node former(io);
    ASSERT_EQ(former.node.listen(Ip, 0), "");
    a.node.setPeers({{"b", Ip, former.node.port()}});
    ASSERT_TRUE(runUntil(io, std::chrono::seconds(20), [&] { return a.node.counts().connects == 1; }));
    ASSERT_TRUE(runUntil(io, std::chrono::seconds(20), [&] { return former.node.incomingCount() == 1; }));
    a.node.setPeers({{"b", Ip, next.local_endpoint().port()}});
    EXPECT_TRUE(runUntil(io, std::chrono::seconds(20), [&] { return former.node.incomingCount() == 0; }));
    a.node.stop();
    former.node.stop();
}

// A connection that opened after its peer was removed stayed open.
TEST(PeerNode, ClosesAConnectionThatOpensAfterItsPeerWasRemoved)
{
    asio::io_context io;
    Node a(io);
    Node b(io);
    ASSERT_EQ(b.node.listen(Ip, 0), "");
    a.node.setPeers({{"b", Ip, b.node.port()}});
    a.node.setPeers({});
    runUntil(io, std::chrono::seconds(1), [] { return false; });
    EXPECT_EQ(b.node.incomingCount(), 0U);
    a.node.stop();
    b.node.stop();
}

} // namespace monsoonspool::peer
