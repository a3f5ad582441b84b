#pragma once

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

// Transport of messages between daemons, over WebSocket. This folder is compiled as
// C++17, because websocketpp requires it. The interface therefore passes messages as bytes
// only.
namespace monsoonspool {
namespace peer {

struct PeerAddress
{
    std::string name;
    std::string ip;
    std::uint16_t port = 0;
};

// Handles received messages and connection events.
class PeerEvents
{
public:
    virtual ~PeerEvents() = default;

    // Called for each message received, from any peer.
    virtual void onMessage(std::string_view bytes) = 0;

    // Called when the host of a previously connected peer refuses a new connection: the
    // process that listened there has ended.
    virtual void onConnectionRefused(const std::string &name) = 0;
};

struct PeerCounts
{
    std::uint64_t sent = 0;
    std::uint64_t sentBytes = 0;
    std::uint64_t received = 0;
    std::uint64_t receivedBytes = 0;
    std::uint64_t dropped = 0; // not connected, or send buffer full
    std::uint64_t rejected = 0; // incoming connections without an accepted key
    std::uint64_t connects = 0;
};

// Sends messages to peers and receives messages from them. Each node sends only on
// connections that it has opened, and reopens them with exponential backoff. A message
// is dropped if its connection is not open or has too much data buffered, because the
// protocols that use this class repeat important messages.
//
// A connection must present one of the accepted keys. Changing the keys does not close
// existing connections.
//
// Not thread-safe: `io` must be run by one thread, which also makes all calls.
class PeerNode
{
public:
    PeerNode(boost::asio::io_context &io, PeerEvents &events, std::size_t maxMessageBytes);
    ~PeerNode();
    PeerNode(const PeerNode &) = delete;
    PeerNode &operator=(const PeerNode &) = delete;

    // Sets the accepted keys. The first is sent with new connections. If `keys` is
    // empty, every connection is accepted.
    void setKeys(std::vector<std::string> keys);

    // Starts to listen. Returns an error message, or an empty string on success.
    std::string listen(const std::string &ip, std::uint16_t port);

    // Returns the port it listens on.
    std::uint16_t port() const;

    // Sets the peers to keep connections to. Closes the connections to other peers.
    void setPeers(const std::vector<PeerAddress> &peers);

    void send(const std::string &name, std::string_view bytes);

    // Stops listening and closes all connections.
    void stop();

    PeerCounts counts() const;

    // Returns the number of open connections that peers have made to this node.
    std::size_t incomingCount() const;

private:
    struct Private;
    std::shared_ptr<Private> d;
};

} // namespace peer
} // namespace monsoonspool
