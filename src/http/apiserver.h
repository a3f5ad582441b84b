#pragma once

#include "common/error.h"
#include "http/connectionregistry.h"
#include "ports/hostlist.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace monsoonspool::http {

// A small request with its complete body, from an operator, a worker or a test.
struct ApiRequest
{
    std::string method;
    std::string path; // without the query
    std::vector<std::pair<std::string, std::string>> query;
    std::string authorization; // value of the Authorization field
    std::vector<std::pair<std::string, std::string>> fields; // all header fields
    std::string body;

    // Returns the first value of `key` in the query, or an empty view.
    std::string_view queryValue(std::string_view key) const;
    // Returns the first value of a header field, or an empty view. Ignores case.
    std::string_view field(std::string_view name) const;
};

struct ApiResponse
{
    int status = 200;
    std::string contentType = "application/json";
    std::string body;
    std::vector<std::pair<std::string, std::string>> fields;
};

using ApiReply = std::function<void(ApiResponse)>;

// Handles the requests that a server receives.
class ApiHandler
{
public:
    virtual ~ApiHandler() = default;

    // Handles `request`. Calls `reply` exactly once, before or after returning, on the
    // same thread.
    virtual void handle(const ApiRequest &request, ApiReply reply) = 0;
};

struct ApiLimits
{
    MessageLimits message;
    std::size_t bodyBytes = 8 * 1024 * 1024;
    BudgetLimits budget;
    std::chrono::milliseconds idleTimeout{60'000};
    std::chrono::milliseconds headerTimeout{10'000};
    std::chrono::milliseconds bodyTimeout{30'000}; // also for writing a response
};

// An HTTP/1.1 server for small requests, with keep-alive. Not thread-safe: `io` must be
// run by one thread, which also makes all calls.
class ApiServer
{
public:
    // `name` names the server in logs.
    ApiServer(boost::asio::io_context &io, ApiHandler &handler, ApiLimits limits = {}, std::string name = "api");
    ~ApiServer();
    ApiServer(const ApiServer &) = delete;
    ApiServer &operator=(const ApiServer &) = delete;

    // Starts to listen. Port 0 selects any free port.
    // Fails with AddressInUse if `address` cannot be bound, and with InvalidSettings if
    // its IP address is not valid.
    Result<void> listen(const ports::Address &address);

    // Returns the bound address.
    ports::Address address() const;

    // Closes each connection after its next response, so that clients connect to other
    // hosts.
    void drain();

    // Stops accepting connections.
    void stop();

    // Returns what the connections hold, and the limits that they reached. Thread-safe.
    ConnectionUsage connections() const;

private:
    struct Private;
    std::shared_ptr<Private> d;
};

// Decodes %XX sequences, and '+' as a space.
std::string decodeUrl(std::string_view text);

// Encodes every byte as %XX except letters, digits, '-', '_', '.' and '~'.
std::string encodeUrl(std::string_view text);

} // namespace monsoonspool::http
