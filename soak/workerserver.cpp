#include "soak/workerserver.h"

#include "http/listen.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <string>
#include <utility>

namespace monsoonspool::soak {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace bhttp = boost::beast::http;
using tcp = asio::ip::tcp;

namespace {

// The hosts of a soak open a few connections each.
constexpr int MaxConnections = 256;

http::ApiRequest toApiRequest(const bhttp::request<bhttp::string_body> &message)
{
    http::ApiRequest request;
    request.method = std::string(message.method_string());
    request.path = std::string(message.target());
    for (const auto &it : message) {
        request.fields.emplace_back(it.name_string(), it.value());
    }
    request.body = message.body();
    return request;
}

} // namespace

struct WorkerServer::Private : std::enable_shared_from_this<WorkerServer::Private>
{
    Private(asio::io_context &io, http::ApiHandler &handler, std::unique_ptr<ConnectionBehavior> behavior,
            FaultCounts &faults)
        : io(io), acceptor(io), handler(handler), behavior(std::move(behavior)), faults(faults)
    {
    }

    void accept();

    asio::io_context &io;
    tcp::acceptor acceptor;
    http::ApiHandler &handler;
    std::unique_ptr<ConnectionBehavior> behavior;
    FaultCounts &faults;
    int connections = 0;
    bool isClosed = false;
};

namespace {

// One connection. It lives as long as an operation on it is pending.
template <typename Server>
class Session : public std::enable_shared_from_this<Session<Server>>
{
public:
    Session(std::shared_ptr<Server> server, tcp::socket socket)
        : m_server(std::move(server)), m_socket(std::move(socket)), m_idleTimer(m_server->io)
    {
        ++m_server->connections;
    }
    ~Session()
    {
        --m_server->connections;
    }
    Session(const Session &) = delete;
    Session &operator=(const Session &) = delete;

    void readRequest()
    {
        m_parser.emplace();
        limitIdleTime();
        bhttp::async_read(m_socket, m_buffer, *m_parser,
                          [self = this->shared_from_this()](beast::error_code ec, std::size_t) {
                              self->m_idleTimer.cancel();
                              if (!ec && !self->m_server->isClosed) {
                                  self->handleRequest();
                              }
                          });
    }

private:
    void limitIdleTime()
    {
        const auto limit = m_server->behavior->idleLimit();
        if (!limit || m_requests == 0) {
            return;
        }
        m_idleTimer.expires_after(*limit);
        m_idleTimer.async_wait([weak = this->weak_from_this()](const beast::error_code &ec) {
            const auto self = weak.lock();
            if (self && !ec && !self->m_parser->got_some()) {
                self->m_server->faults.add(FaultKind::IdleConnectionEnded);
                self->close();
            }
        });
    }

    void handleRequest()
    {
        const auto message = m_parser->release();
        const auto request = toApiRequest(message);
        const auto fate = m_server->behavior->fate(request.path, ++m_requests);
        switch (fate) {
        case RequestFate::ResetUnexecuted:
            m_server->faults.add(FaultKind::ResetUnexecuted);
            reset();
            return;
        case RequestFate::Ignore:
            m_server->faults.add(FaultKind::OrderIgnored);
            readRequest(); // keeps the connection open until the caller closes it
            return;
        case RequestFate::ResetExecuted:
            m_server->faults.add(FaultKind::ResetExecuted);
            m_server->handler.handle(request, [](const http::ApiResponse &) {});
            reset();
            return;
        case RequestFate::Answer:
        case RequestFate::AnswerThenClose:
            m_server->handler.handle(request, [self = this->shared_from_this(), fate](const http::ApiResponse &it) {
                self->respond(it, fate == RequestFate::AnswerThenClose);
            });
            return;
        }
    }

    void respond(const http::ApiResponse &response, bool closesAfter)
    {
        m_response = {};
        m_response.version(11);
        m_response.result(static_cast<unsigned>(response.status));
        m_response.set(bhttp::field::content_type, response.contentType);
        m_response.body() = response.body;
        m_response.prepare_payload();
        bhttp::async_write(m_socket, m_response,
                           [self = this->shared_from_this(), closesAfter](beast::error_code ec, std::size_t) {
                               if (ec || self->m_server->isClosed) {
                                   return;
                               }
                               if (closesAfter) {
                                   self->m_server->faults.add(FaultKind::ConnectionEnded);
                                   self->close();
                               } else {
                                   self->readRequest();
                               }
                           });
    }

    void close()
    {
        beast::error_code ignored;
        m_socket.shutdown(tcp::socket::shutdown_both, ignored);
        m_socket.close(ignored);
    }

    void reset()
    {
        beast::error_code ignored;
        m_socket.set_option(asio::socket_base::linger(true, 0), ignored);
        m_socket.close(ignored);
    }

    std::shared_ptr<Server> m_server;
    tcp::socket m_socket;
    asio::steady_timer m_idleTimer;
    beast::flat_buffer m_buffer;
    std::optional<bhttp::request_parser<bhttp::string_body>> m_parser;
    bhttp::response<bhttp::string_body> m_response;
    int m_requests = 0;
};

} // namespace

void WorkerServer::Private::accept()
{
    acceptor.async_accept([self = shared_from_this()](beast::error_code ec, tcp::socket socket) {
        if (ec || self->isClosed) {
            return;
        }
        if (self->connections < MaxConnections) {
            beast::error_code ignored;
            socket.set_option(tcp::no_delay(true), ignored);
            std::make_shared<Session<Private>>(self, std::move(socket))->readRequest();
        }
        self->accept();
    });
}

WorkerServer::WorkerServer(asio::io_context &io, http::ApiHandler &handler,
                           std::unique_ptr<ConnectionBehavior> behavior, FaultCounts &faults)
    : d(std::make_shared<Private>(io, handler, std::move(behavior), faults))
{
}

WorkerServer::~WorkerServer()
{
    d->isClosed = true;
    beast::error_code ignored;
    d->acceptor.close(ignored);
}

Result<void> WorkerServer::listen()
{
    BOOST_LEAF_CHECK(http::openAcceptor(d->acceptor, {"127.0.0.1", 0}));
    d->accept();
    return {};
}

ports::Address WorkerServer::address() const
{
    return {"127.0.0.1", d->acceptor.local_endpoint().port()};
}

bool WorkerServer::takesOrders() const
{
    return d->behavior->takesOrders();
}

} // namespace monsoonspool::soak
