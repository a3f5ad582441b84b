#include "peer/peernode.h"

#include "common/secret.h"

#include <boost/asio/steady_timer.hpp>
#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

#include <algorithm>
#include <chrono>
#include <map>
#include <set>

namespace monsoonspool {
namespace peer {

namespace {

using Server = websocketpp::server<websocketpp::config::asio>;
using Client = websocketpp::client<websocketpp::config::asio_client>;
using Handle = websocketpp::connection_hdl;

constexpr std::size_t MaxBufferedBytes = 2 * 1024 * 1024;
constexpr std::chrono::milliseconds MinReconnectDelay{100};
constexpr std::chrono::milliseconds MaxReconnectDelay{2000};
constexpr const char *AuthorizationField = "Authorization";
constexpr const char *AuthorizationPrefix = "Bearer ";

} // namespace

struct PeerNode::Private : std::enable_shared_from_this<PeerNode::Private>
{
    struct Peer
    {
        explicit Peer(boost::asio::io_context &io) : reconnectTimer(io)
        {
        }
        PeerAddress address;
        Handle handle;
        bool isConnecting = false;
        bool isOpen = false;
        bool wasOpen = false;
        bool isRemoved = false;
        std::chrono::milliseconds reconnectDelay = MinReconnectDelay;
        boost::asio::steady_timer reconnectTimer;
    };
    using PeerPointer = std::shared_ptr<Peer>;

    Private(boost::asio::io_context &context, PeerEvents &peerEvents, std::size_t maxBytes)
        : io(context), events(peerEvents), maxMessageBytes(maxBytes)
    {
    }

    void configureEndpoints();
    bool isAuthorized(const std::string &authorization) const;
    void connect(const PeerPointer &peer);
    void scheduleReconnect(const PeerPointer &peer);
    void remove(Peer &peer);

    boost::asio::io_context &io;
    PeerEvents &events;
    std::size_t maxMessageBytes;
    Server server;
    Client client;
    std::vector<std::string> keys;
    std::map<std::string, PeerPointer> peers;
    std::set<Handle, std::owner_less<Handle>> incoming;
    PeerCounts counts;
    bool isStopped = false;
};

PeerNode::PeerNode(boost::asio::io_context &io, PeerEvents &events, std::size_t maxMessageBytes)
    : d(std::make_shared<Private>(io, events, maxMessageBytes))
{
    d->configureEndpoints();
}

PeerNode::~PeerNode()
{
    stop();
}

void PeerNode::Private::configureEndpoints()
{
    server.clear_access_channels(websocketpp::log::alevel::all);
    server.clear_error_channels(websocketpp::log::elevel::all);
    client.clear_access_channels(websocketpp::log::alevel::all);
    client.clear_error_channels(websocketpp::log::elevel::all);
    server.init_asio(&io);
    client.init_asio(&io);
    server.set_reuse_addr(true);
    server.set_max_message_size(maxMessageBytes);
    client.set_max_message_size(maxMessageBytes);
    // The handlers capture `this` without ownership: they are destroyed with the
    // endpoints, which are members.
    server.set_validate_handler([this](Handle handle) {
        const bool isAllowed = isAuthorized(server.get_con_from_hdl(handle)->get_request_header(AuthorizationField));
        if (!isAllowed) {
            ++counts.rejected;
            server.get_con_from_hdl(handle)->set_status(websocketpp::http::status_code::unauthorized);
        }
        return isAllowed;
    });
    server.set_open_handler([this](Handle handle) { incoming.insert(handle); });
    server.set_close_handler([this](Handle handle) { incoming.erase(handle); });
    server.set_message_handler([this](Handle, const Server::message_ptr &message) {
        if (isStopped) {
            return;
        }
        ++counts.received;
        counts.receivedBytes += message->get_payload().size();
        events.onMessage(message->get_payload());
    });
}

bool PeerNode::Private::isAuthorized(const std::string &authorization) const
{
    if (keys.empty()) {
        return true;
    }
    return std::any_of(keys.begin(), keys.end(), [&](const std::string &key) {
        return constantTimeEquals(authorization, AuthorizationPrefix + key);
    });
}

void PeerNode::setKeys(std::vector<std::string> keys)
{
    d->keys = std::move(keys);
}

std::string PeerNode::listen(const std::string &ip, std::uint16_t port)
{
    websocketpp::lib::error_code ec;
    boost::system::error_code addressError;
    const auto address = boost::asio::ip::make_address(ip, addressError);
    if (addressError) {
        return "'" + ip + "' is not a valid IP address";
    }
    d->server.listen(boost::asio::ip::tcp::endpoint(address, port), ec);
    if (ec) {
        return ip + ":" + std::to_string(port) + ": " + ec.message();
    }
    d->server.start_accept(ec);
    return ec ? ec.message() : std::string();
}

std::uint16_t PeerNode::port() const
{
    websocketpp::lib::asio::error_code ec;
    return d->server.get_local_endpoint(ec).port();
}

void PeerNode::setPeers(const std::vector<PeerAddress> &addresses)
{
    std::set<std::string> names;
    for (const auto &it : addresses) {
        names.insert(it.name);
        auto &peer = d->peers[it.name];
        const bool hasAddressChanged = peer && (peer->address.ip != it.ip || peer->address.port != it.port);
        if (peer && !hasAddressChanged) {
            continue;
        }
        if (hasAddressChanged) {
            d->remove(*peer);
        }
        peer = std::make_shared<Private::Peer>(d->io);
        peer->address = it;
        d->connect(peer);
    }
    for (auto it = d->peers.begin(); it != d->peers.end();) {
        if (names.count(it->first) > 0) {
            ++it;
            continue;
        }
        d->remove(*it->second);
        it = d->peers.erase(it);
    }
}

// Closes the connection to `peer`, and opens no other. One that is being opened is
// closed by its open handler.
void PeerNode::Private::remove(Peer &peer)
{
    peer.isRemoved = true;
    peer.reconnectTimer.cancel();
    if (peer.isOpen) {
        websocketpp::lib::error_code ec;
        client.close(peer.handle, websocketpp::close::status::going_away, "", ec);
    }
}

void PeerNode::Private::connect(const PeerPointer &peer)
{
    if (isStopped || peer->isRemoved) {
        return;
    }
    websocketpp::lib::error_code ec;
    const auto uri = "ws://" + peer->address.ip + ":" + std::to_string(peer->address.port) + "/";
    const auto connection = client.get_connection(uri, ec);
    if (ec) {
        scheduleReconnect(peer);
        return;
    }
    if (!keys.empty()) {
        connection->append_header(AuthorizationField, AuthorizationPrefix + keys.front());
    }
    const std::weak_ptr<Private> weak = shared_from_this();
    connection->set_open_handler([weak, peer](Handle handle) {
        if (const auto self = weak.lock()) {
            if (peer->isRemoved) {
                websocketpp::lib::error_code ec;
                self->client.close(handle, websocketpp::close::status::going_away, "", ec);
                return;
            }
            peer->handle = handle;
            peer->isOpen = true;
            peer->wasOpen = true;
            peer->reconnectDelay = MinReconnectDelay;
            ++self->counts.connects;
        }
    });
    connection->set_close_handler([weak, peer](Handle) {
        peer->isOpen = false;
        if (const auto self = weak.lock()) {
            self->scheduleReconnect(peer);
        }
    });
    connection->set_fail_handler([weak, peer, connection = std::weak_ptr(connection)](Handle) {
        const auto self = weak.lock();
        const auto failed = connection.lock();
        if (!self || self->isStopped) {
            return;
        }
        const bool isRefused = failed && failed->get_transport_ec() == boost::asio::error::connection_refused;
        if (isRefused && peer->wasOpen && !peer->isRemoved) {
            peer->wasOpen = false;
            self->events.onConnectionRefused(peer->address.name);
        }
        self->scheduleReconnect(peer);
    });
    client.connect(connection);
}

void PeerNode::Private::scheduleReconnect(const PeerPointer &peer)
{
    if (isStopped || peer->isRemoved) {
        return;
    }
    peer->reconnectTimer.expires_after(peer->reconnectDelay);
    peer->reconnectDelay = std::min(MaxReconnectDelay, peer->reconnectDelay * 2);
    const std::weak_ptr<Private> weak = shared_from_this();
    peer->reconnectTimer.async_wait([weak, peer](const boost::system::error_code &ec) {
        const auto self = weak.lock();
        if (!ec && self) {
            self->connect(peer);
        }
    });
}

void PeerNode::send(const std::string &name, std::string_view bytes)
{
    const auto it = d->peers.find(name);
    if (it == d->peers.end() || !it->second->isOpen) {
        ++d->counts.dropped;
        return;
    }
    websocketpp::lib::error_code ec;
    const auto connection = d->client.get_con_from_hdl(it->second->handle, ec);
    if (ec || connection->get_buffered_amount() > MaxBufferedBytes) {
        ++d->counts.dropped;
        return;
    }
    ec = connection->send(bytes.data(), bytes.size(), websocketpp::frame::opcode::binary);
    if (ec) {
        ++d->counts.dropped;
        return;
    }
    ++d->counts.sent;
    d->counts.sentBytes += bytes.size();
}

void PeerNode::stop()
{
    if (d->isStopped) {
        return;
    }
    d->isStopped = true;
    websocketpp::lib::error_code ec;
    d->server.stop_listening(ec);
    for (const auto &entry : d->peers) {
        d->remove(*entry.second);
    }
    for (const auto &handle : d->incoming) {
        d->server.close(handle, websocketpp::close::status::going_away, "", ec);
    }
}

PeerCounts PeerNode::counts() const
{
    return d->counts;
}

std::size_t PeerNode::incomingCount() const
{
    return d->incoming.size();
}

} // namespace peer
} // namespace monsoonspool
