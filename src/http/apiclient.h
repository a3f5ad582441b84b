#pragma once

#include "common/error.h"
#include "http/connectionregistry.h"
#include "ports/asyncresult.h"
#include "ports/hostlist.h"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace monsoonspool::http {

// A request to a platform service or to the operators' port of a daemon.
struct ApiCall
{
    std::string method = "GET";
    std::string target; // path and query
    std::string body;
    std::vector<std::pair<std::string, std::string>> fields;
    std::chrono::milliseconds timeout{5000};
    // If not 0, the call is made on the idle connection with this number, or fails with
    // DaemonUnreachable.
    std::uint64_t connection = 0;
};

struct ApiAnswer
{
    int status = 0;
    std::string body;
    std::uint64_t connection = 0; // on which it arrived; numbers are not reused by one client
};

// Bounds on the responses to all clients of one io_context.
struct ResponseLimits
{
    MessageLimits message;
    std::size_t bodyBytes = 32 * 1024 * 1024; // of one response
    std::size_t bufferedBytes = 40 * 1024 * 1024; // of all responses that are being read
};

// Sets the limits of the clients of `io`. Call before the first call of a client.
void setResponseLimits(boost::asio::io_context &io, const ResponseLimits &limits);
// Returns what large responses to the clients of `io` hold, and the limits that they reached.
// Thread-safe.
ConnectionUsage responseUsage(boost::asio::io_context &io);

// An HTTP/1.1 client for small requests to one address. Connections are reused. At most
// `maxConnections` are open, and further calls are queued.
//
// Calls fail with DaemonUnreachable if no part of the request was sent, and with
// StoreReplyLost if the request may have taken effect.
//
// Not thread-safe: `io` must be run by one thread, which also makes all calls.
class ApiClient
{
public:
    ApiClient(boost::asio::io_context &io, ports::Address address, int maxConnections = 16);
    ~ApiClient();
    ApiClient(const ApiClient &) = delete;
    ApiClient &operator=(const ApiClient &) = delete;

    // Makes a call. `handler` is not called after the client is destroyed.
    void call(ApiCall call, ports::Handler<ApiAnswer> handler);

private:
    struct Private;
    std::shared_ptr<Private> d;
};

// Makes one call and blocks until it is answered or fails. For the command-line tool.
Result<ApiAnswer> callAndWait(const ports::Address &address, const ApiCall &call);

} // namespace monsoonspool::http
