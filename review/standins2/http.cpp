#include "http.h"

namespace review {

asio::awaitable<void> pause(Clock::duration time)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, time);
    co_await timer.async_wait(asio::use_awaitable);
}

std::string queryValue(std::string_view target, std::string_view key)
{
    auto start = target.find('?');
    while (start != std::string_view::npos) {
        const auto end = target.find('&', start + 1);
        const auto pair = target.substr(start + 1, end == std::string_view::npos ? end : end - start - 1);
        const auto equals = pair.find('=');
        if (equals != std::string_view::npos && pair.substr(0, equals) == key) {
            std::string value;
            const auto text = pair.substr(equals + 1);
            for (std::size_t n = 0; n < text.size(); ++n) {
                if (text[n] == '%' && n + 2 < text.size()) {
                    value += static_cast<char>(std::stoi(std::string(text.substr(n + 1, 2)), nullptr, 16));
                    n += 2;
                } else {
                    value += text[n];
                }
            }
            return value;
        }
        start = end;
    }
    return {};
}

unsigned short freePort(asio::io_context &io)
{
    tcp::acceptor acceptor(io, {asio::ip::address_v4::loopback(), 0});
    return acceptor.local_endpoint().port();
}

struct Server::State
{
    State(asio::io_context &io, Handler h) : acceptor(io), handler(std::move(h))
    {
    }

    tcp::acceptor acceptor;
    Handler handler;
    std::set<std::shared_ptr<tcp::socket>> sockets;
    bool isClosed = false;
};

Server::Server(asio::io_context &io, unsigned short port, Handler handler)
    : m_io(io), m_port(port), m_handler(std::move(handler))
{
}

Server::~Server()
{
    stop();
}

void Server::start()
{
    m_state = std::make_shared<State>(m_io, m_handler);
    auto &acceptor = m_state->acceptor;
    acceptor.open(tcp::v4());
    acceptor.set_option(tcp::acceptor::reuse_address(true));
    acceptor.bind({asio::ip::address_v4::loopback(), m_port});
    acceptor.listen();
    asio::co_spawn(m_io, accept(m_state), asio::detached);
}

void Server::stop()
{
    if (!m_state) {
        return;
    }
    m_state->isClosed = true;
    beast::error_code ignored;
    m_state->acceptor.close(ignored);
    for (const auto &it : m_state->sockets) {
        it->close(ignored);
    }
    m_state.reset();
}

asio::awaitable<void> Server::accept(std::shared_ptr<State> state)
{
    while (!state->isClosed) {
        auto socket = std::make_shared<tcp::socket>(state->acceptor.get_executor());
        beast::error_code ec;
        co_await state->acceptor.async_accept(*socket, asio::redirect_error(asio::use_awaitable, ec));
        if (ec || state->isClosed) {
            co_return;
        }
        socket->set_option(tcp::no_delay(true), ec);
        state->sockets.insert(socket);
        asio::co_spawn(state->acceptor.get_executor(), serve(state, socket), asio::detached);
    }
}

asio::awaitable<void> Server::serve(std::shared_ptr<State> state, std::shared_ptr<tcp::socket> socket)
{
    beast::flat_buffer buffer;
    while (true) {
        Request request;
        beast::error_code ec;
        co_await bhttp::async_read(*socket, buffer, request, asio::redirect_error(asio::use_awaitable, ec));
        if (ec || state->isClosed) {
            break;
        }
        const auto answer = co_await state->handler(request);
        if (state->isClosed) {
            break;
        }
        if (answer.isDropped) {
            continue;
        }
        bhttp::response<bhttp::string_body> response(static_cast<bhttp::status>(answer.status), 11);
        response.set(bhttp::field::content_type, "application/json");
        response.body() = answer.body;
        response.prepare_payload();
        co_await bhttp::async_write(*socket, response, asio::redirect_error(asio::use_awaitable, ec));
        if (ec) {
            break;
        }
    }
    beast::error_code ignored;
    socket->close(ignored);
    state->sockets.erase(socket);
}

asio::awaitable<Answer> call(unsigned short port, std::string method, std::string target, std::string host,
                             std::string body, milliseconds timeout)
{
    beast::tcp_stream stream(co_await asio::this_coro::executor);
    stream.expires_after(timeout);
    beast::error_code ec;
    co_await stream.async_connect(tcp::endpoint(asio::ip::address_v4::loopback(), port),
                                  asio::redirect_error(asio::use_awaitable, ec));
    if (ec) {
        co_return Answer{};
    }
    Request request;
    request.method_string(method);
    request.target(target);
    request.version(11);
    request.set(bhttp::field::host, host);
    request.set(bhttp::field::content_type, "application/json");
    request.set("Request-Deadline", std::to_string(timeout.count()));
    request.body() = std::move(body);
    request.prepare_payload();
    co_await bhttp::async_write(stream, request, asio::redirect_error(asio::use_awaitable, ec));
    if (ec) {
        co_return Answer{};
    }
    beast::flat_buffer buffer;
    bhttp::response<bhttp::string_body> response;
    co_await bhttp::async_read(stream, buffer, response, asio::redirect_error(asio::use_awaitable, ec));
    if (ec) {
        co_return Answer{};
    }
    co_return Answer{static_cast<int>(response.result_int()), response.body()};
}

} // namespace review
