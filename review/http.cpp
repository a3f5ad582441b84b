#include "http.h"

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <sys/socket.h>
#include <sys/time.h>
#include <thread>

namespace standin {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace bhttp = boost::beast::http;
using tcp = asio::ip::tcp;

namespace {

std::string decoded(const std::string &text)
{
    std::string out;
    for (std::size_t n = 0; n < text.size(); ++n) {
        if (text[n] == '%' && n + 2 < text.size()) {
            out += static_cast<char>(std::stoi(text.substr(n + 1, 2), nullptr, 16));
            n += 2;
        } else {
            out += text[n] == '+' ? ' ' : text[n];
        }
    }
    return out;
}

Request toRequest(const bhttp::request<bhttp::string_body> &message)
{
    Request request;
    request.method = std::string(message.method_string());
    request.body = message.body();
    const std::string target(message.target());
    const auto mark = target.find('?');
    request.path = target.substr(0, mark);
    auto rest = mark == std::string::npos ? std::string() : target.substr(mark + 1);
    while (!rest.empty()) {
        const auto end = rest.find('&');
        const auto pair = rest.substr(0, end);
        const auto equals = pair.find('=');
        if (equals != std::string::npos) {
            request.query[decoded(pair.substr(0, equals))] = decoded(pair.substr(equals + 1));
        }
        rest = end == std::string::npos ? std::string() : rest.substr(end + 1);
    }
    for (const auto &it : message) {
        std::string name(it.name_string());
        std::ranges::transform(name, name.begin(), [](unsigned char c) { return std::tolower(c); });
        request.fields[name] = std::string(it.value());
    }
    return request;
}

void serveConnection(tcp::socket socket, const Handler &handler)
{
    beast::flat_buffer buffer;
    beast::error_code ec;
    while (true) {
        bhttp::request<bhttp::string_body> message;
        bhttp::read(socket, buffer, message, ec);
        if (ec) {
            return;
        }
        const auto answer = handler(toRequest(message));
        bhttp::response<bhttp::string_body> response(static_cast<bhttp::status>(answer.status), 11);
        response.set(bhttp::field::content_type, "application/json");
        response.keep_alive(message.keep_alive());
        response.body() = answer.body;
        response.prepare_payload();
        bhttp::write(socket, response, ec);
        if (ec || !message.keep_alive()) {
            return;
        }
    }
}

} // namespace

void serve(int port, const Handler &handler)
{
    asio::io_context io;
    tcp::acceptor acceptor(io);
    const tcp::endpoint endpoint(asio::ip::make_address("127.0.0.1"), static_cast<unsigned short>(port));
    acceptor.open(endpoint.protocol());
    acceptor.set_option(asio::socket_base::reuse_address(true));
    acceptor.bind(endpoint);
    acceptor.listen(512);
    while (true) {
        tcp::socket socket(io);
        acceptor.accept(socket);
        socket.set_option(tcp::no_delay(true));
        std::thread([socket = std::move(socket), &handler]() mutable {
            serveConnection(std::move(socket), handler);
        }).detach();
    }
}

std::optional<Response> call(int port, const std::string &method, const std::string &target, const Fields &fields,
                             const std::string &body, int timeoutMs)
{
    asio::io_context io;
    beast::tcp_stream stream(io);
    bhttp::request<bhttp::string_body> request;
    request.version(11);
    request.method_string(method);
    request.target(target);
    request.set(bhttp::field::host, "127.0.0.1");
    for (const auto &[name, value] : fields) {
        request.set(name, value);
    }
    request.body() = body;
    request.prepare_payload();
    bhttp::response<bhttp::string_body> message;
    beast::flat_buffer buffer;
    std::optional<Response> result;
    stream.expires_after(std::chrono::milliseconds(timeoutMs));
    const tcp::endpoint endpoint(asio::ip::make_address("127.0.0.1"), static_cast<unsigned short>(port));
    stream.async_connect(endpoint, [&](beast::error_code ec) {
        if (ec) {
            return;
        }
        bhttp::async_write(stream, request, [&](beast::error_code writeError, std::size_t) {
            if (writeError) {
                return;
            }
            bhttp::async_read(stream, buffer, message, [&](beast::error_code readError, std::size_t) {
                if (!readError) {
                    result = Response{static_cast<int>(message.result_int()), message.body()};
                }
            });
        });
    });
    io.run();
    return result;
}

} // namespace standin
