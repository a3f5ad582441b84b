// A small HTTP/1.1 server and client for the stand-ins of the third review.
#pragma once

#include <atomic>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>

namespace review {

struct Request
{
    std::string method;
    std::string path; // without the query
    std::map<std::string, std::string> query;
    std::map<std::string, std::string> fields; // names in lower case
    std::string body;

    std::string queryValue(const std::string &name) const;
    std::string field(const std::string &name) const;
};

struct Response
{
    int status = 200;
    std::string body;
    bool isDropped = false; // the connection is closed without an answer
};

struct Address
{
    std::string ip;
    int port = 0;

    std::string text() const
    {
        return ip + ":" + std::to_string(port);
    }
};

// Returns a port of the loopback address that was free a moment ago.
int freePort(const std::string &ip);

// Serves each connection on a thread of its own.
class HttpServer
{
public:
    using Handler = std::function<Response(const Request &)>;

    HttpServer(Address address, Handler handler);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    // Resets all connections and accepts none until resume().
    void suspend();
    void resume();

private:
    void open();
    void accept(int listener);
    void serve(int socket);

    Address m_address;
    Handler m_handler;
    std::mutex m_mutex;
    int m_listener = -1;
    std::thread m_acceptor;
    std::list<int> m_sockets;
    std::atomic<int> m_connections{0};
    std::atomic<bool> m_isClosed{false};
};

struct Answer
{
    int status = 0; // 0 if there was no answer
    std::string body;
};

// A connection that is kept between calls, and opened again after a failure.
class Connection
{
public:
    explicit Connection(Address address) : m_address(std::move(address))
    {
    }
    ~Connection();
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    // `fields` are complete header lines.
    Answer call(const std::string &method, const std::string &path, const std::string &fields, const std::string &body,
                int timeoutMs);

private:
    void disconnect();

    Address m_address;
    int m_socket = -1;
    std::string m_buffer;
};

// Sends one request on a connection of its own. `fields` are complete header lines.
Answer call(const Address &address, const std::string &method, const std::string &path, const std::string &fields,
            const std::string &body, int timeoutMs);

} // namespace review
