#pragma once

#include "common/error.h"
#include "ports/hostlist.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace monsoonspool::http {

// A small request, read whole, of an operator, a worker or a test.
struct ApiRequest
{
    std::string method;
    std::string path; // without the query
    std::vector<std::pair<std::string, std::string>> query;
    std::string authorization; // value of the Authorization field
    std::vector<std::pair<std::string, std::string>> fields; // all header fields
    std::string body;

    // Returns the value of `key` in the query, or an empty view.
    std::string_view queryValue(std::string_view key) const;
    // Returns the value of a header field, or an empty view.
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

// Answers the requests that a server takes in.
class ApiHandler
{
public:
    virtual ~ApiHandler() = default;

    // Handles `request`; calls `reply` once, now or later, on the same thread.
    virtual void handle(const ApiRequest &request, ApiReply reply) = 0;
};

struct ApiLimits
{
    std::size_t headerBytes = 16 * 1024;
    std::size_t bodyBytes = 8 * 1024 * 1024;
    std::chrono::milliseconds idleTimeout{60'000};
};

// An HTTP/1.1 server for small requests, with keep-alive. It lives on one
// io_context, which one thread runs.
class ApiServer
{
public:
    ApiServer(boost::asio::io_context &io, ApiHandler &handler, ApiLimits limits = {});
    ~ApiServer();
    ApiServer(const ApiServer &) = delete;
    ApiServer &operator=(const ApiServer &) = delete;

    // Starts to listen; port 0 takes any free one.
    // Fails with AddressInUse if the address cannot be taken.
    Result<void> listen(const ports::Address &address);

    // Returns the address that is listened on.
    ports::Address address() const;

    // Closes each connection with its next answer, so that callers go elsewhere.
    void drain();

    // Accepts no more connections.
    void stop();

private:
    struct Private;
    std::shared_ptr<Private> d;
};

// Returns `text` with %XX and + decoded.
std::string decodeUrl(std::string_view text);

// Returns `text` with everything but letters, digits, '-', '_', '.', '~' as %XX.
std::string encodeUrl(std::string_view text);

} // namespace monsoonspool::http
