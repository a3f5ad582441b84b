#include "http.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cstdlib>
#include <cstring>
#include <optional>
#include <stdexcept>

namespace review {

namespace {

sockaddr_in toSocketAddress(const Address &address)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(static_cast<std::uint16_t>(address.port));
    inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr);
    return result;
}

std::string lowerCase(std::string text)
{
    std::ranges::transform(text, text.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

std::string decodeUrl(std::string_view text)
{
    std::string decoded;
    for (std::size_t n = 0; n < text.size(); ++n) {
        if (text[n] == '%' && n + 2 < text.size()) {
            decoded += static_cast<char>(std::stoi(std::string(text.substr(n + 1, 2)), nullptr, 16));
            n += 2;
        } else {
            decoded += text[n] == '+' ? ' ' : text[n];
        }
    }
    return decoded;
}

bool sendAll(int socket, std::string_view bytes)
{
    while (!bytes.empty()) {
        const auto sent = send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent <= 0) {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
}

// Parses the header fields in `head`, without its first line.
std::map<std::string, std::string> parseFields(std::string_view head)
{
    std::map<std::string, std::string> fields;
    auto begin = head.find("\r\n");
    while (begin != std::string_view::npos && begin + 2 < head.size()) {
        const auto end = head.find("\r\n", begin + 2);
        const auto line = head.substr(begin + 2, end == std::string_view::npos ? end : end - begin - 2);
        if (const auto colon = line.find(':'); colon != std::string_view::npos) {
            auto value = line.substr(colon + 1);
            while (value.starts_with(' ')) {
                value.remove_prefix(1);
            }
            fields[lowerCase(std::string(line.substr(0, colon)))] = std::string(value);
        }
        begin = end;
    }
    return fields;
}

// Reads a message into `buffer`, which keeps what follows it. Returns its head and body.
std::optional<std::pair<std::string, std::string>> readMessage(int socket, std::string &buffer, int timeoutMs)
{
    const auto until = std::chrono::steady_clock::now() + std::chrono::milliseconds(timeoutMs);
    std::size_t needed = std::string::npos;
    std::size_t headEnd = std::string::npos;
    for (;;) {
        if (headEnd == std::string::npos) {
            headEnd = buffer.find("\r\n\r\n");
            if (headEnd != std::string::npos) {
                const auto fields = parseFields(std::string_view(buffer).substr(0, headEnd));
                const auto length = fields.find("content-length");
                needed = headEnd + 4 + (length == fields.end() ? 0 : std::stoul(length->second));
            }
        }
        if (headEnd != std::string::npos && buffer.size() >= needed) {
            auto head = buffer.substr(0, headEnd);
            auto body = buffer.substr(headEnd + 4, needed - headEnd - 4);
            buffer.erase(0, needed);
            return std::pair(std::move(head), std::move(body));
        }
        if (timeoutMs >= 0) {
            const auto left
                = std::chrono::duration_cast<std::chrono::milliseconds>(until - std::chrono::steady_clock::now())
                      .count();
            pollfd readable{socket, POLLIN, 0};
            if (left <= 0 || poll(&readable, 1, static_cast<int>(left)) <= 0) {
                return std::nullopt;
            }
        }
        char bytes[16384];
        const auto n = recv(socket, bytes, sizeof(bytes), 0);
        if (n <= 0) {
            return std::nullopt;
        }
        buffer.append(bytes, static_cast<std::size_t>(n));
    }
}

Request parseRequest(const std::string &head, std::string body)
{
    Request request;
    const auto lineEnd = head.find("\r\n");
    const auto line = head.substr(0, lineEnd);
    const auto first = line.find(' ');
    const auto second = line.find(' ', first + 1);
    request.method = line.substr(0, first);
    const auto target = line.substr(first + 1, second - first - 1);
    const auto question = target.find('?');
    request.path = target.substr(0, question);
    if (question != std::string::npos) {
        std::string_view query = std::string_view(target).substr(question + 1);
        while (!query.empty()) {
            const auto end = query.find('&');
            const auto pair = query.substr(0, end);
            const auto equals = pair.find('=');
            request.query[decodeUrl(pair.substr(0, equals))]
                = equals == std::string_view::npos ? std::string() : decodeUrl(pair.substr(equals + 1));
            query = end == std::string_view::npos ? std::string_view() : query.substr(end + 1);
        }
    }
    request.fields = parseFields(head);
    request.body = std::move(body);
    return request;
}

} // namespace

std::string Request::queryValue(const std::string &name) const
{
    const auto it = query.find(name);
    return it == query.end() ? std::string() : it->second;
}

std::string Request::field(const std::string &name) const
{
    const auto it = fields.find(name);
    return it == fields.end() ? std::string() : it->second;
}

int freePort(const std::string &ip)
{
    const int probe = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto address = toSocketAddress({ip, 0});
    socklen_t size = sizeof(address);
    if (bind(probe, reinterpret_cast<sockaddr *>(&address), size) != 0) {
        throw std::runtime_error("no free port on " + ip);
    }
    getsockname(probe, reinterpret_cast<sockaddr *>(&address), &size);
    close(probe);
    return ntohs(address.sin_port);
}

HttpServer::HttpServer(Address address, Handler handler) : m_address(std::move(address)), m_handler(std::move(handler))
{
    open();
}

HttpServer::~HttpServer()
{
    m_isClosed = true;
    suspend();
    while (m_connections > 0) {
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
}

void HttpServer::open()
{
    const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int yes = 1;
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
    const auto address = toSocketAddress(m_address);
    if (bind(listener, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0
        || listen(listener, 512) != 0) {
        throw std::runtime_error("cannot listen on " + m_address.text() + ": " + std::strerror(errno));
    }
    {
        const std::lock_guard lock(m_mutex);
        m_listener = listener;
    }
    m_acceptor = std::thread([this, listener] { accept(listener); });
}

void HttpServer::suspend()
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_listener < 0) {
            return;
        }
        shutdown(m_listener, SHUT_RDWR);
        const linger reset{1, 0};
        for (const int it : m_sockets) {
            setsockopt(it, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
            shutdown(it, SHUT_RDWR);
        }
    }
    m_acceptor.join();
    const std::lock_guard lock(m_mutex);
    close(m_listener);
    m_listener = -1;
}

void HttpServer::resume()
{
    if (m_listener < 0) {
        open();
    }
}

void HttpServer::accept(int listener)
{
    for (;;) {
        const int socket = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (socket < 0) {
            return;
        }
        const int yes = 1;
        setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof(yes));
        const std::lock_guard lock(m_mutex);
        m_sockets.push_back(socket);
        ++m_connections;
        std::thread([this, socket] { serve(socket); }).detach();
    }
}

void HttpServer::serve(int socket)
{
    std::string buffer;
    while (auto message = readMessage(socket, buffer, -1)) {
        const auto response = m_handler(parseRequest(message->first, std::move(message->second)));
        if (response.isDropped) {
            break;
        }
        const auto text = "HTTP/1.1 " + std::to_string(response.status)
            + " -\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(response.body.size())
            + "\r\n\r\n" + response.body;
        if (!sendAll(socket, text)) {
            break;
        }
    }
    {
        const std::lock_guard lock(m_mutex);
        m_sockets.remove(socket);
        close(socket);
    }
    --m_connections;
}

Connection::~Connection()
{
    disconnect();
}

void Connection::disconnect()
{
    if (m_socket >= 0) {
        close(m_socket);
    }
    m_socket = -1;
    m_buffer.clear();
}

Answer Connection::call(const std::string &method, const std::string &path, const std::string &fields,
                        const std::string &body, int timeoutMs)
{
    if (m_socket < 0) {
        m_socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const auto target = toSocketAddress(m_address);
        if (connect(m_socket, reinterpret_cast<const sockaddr *>(&target), sizeof(target)) != 0) {
            disconnect();
            return {};
        }
        const int yes = 1;
        setsockopt(m_socket, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof(yes));
    }
    const auto text = method + " " + path + " HTTP/1.1\r\n" + fields + "Content-Length: " + std::to_string(body.size())
        + "\r\n\r\n" + body;
    auto message = sendAll(m_socket, text) ? readMessage(m_socket, m_buffer, timeoutMs) : std::nullopt;
    if (!message) {
        disconnect();
        return {};
    }
    const auto fieldsOfAnswer = parseFields(message->first);
    const auto connection = fieldsOfAnswer.find("connection");
    if (connection != fieldsOfAnswer.end() && lowerCase(connection->second) == "close") {
        disconnect();
    }
    return {std::atoi(message->first.c_str() + sizeof("HTTP/1.1")), std::move(message->second)};
}

Answer call(const Address &address, const std::string &method, const std::string &path, const std::string &fields,
            const std::string &body, int timeoutMs)
{
    return Connection(address).call(method, path, "Connection: close\r\n" + fields, body, timeoutMs);
}

} // namespace review
