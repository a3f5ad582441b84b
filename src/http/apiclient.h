#pragma once

#include "common/error.h"
#include "ports/asyncresult.h"
#include "ports/hostlist.h"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace monsoonspool::http {

// A request to a platform service or a daemon's operators' port.
struct ApiCall
{
    std::string method = "GET";
    std::string target; // path and query
    std::string body;
    std::vector<std::pair<std::string, std::string>> fields;
    std::chrono::milliseconds timeout{5000};
};

struct ApiAnswer
{
    int status = 0;
    std::string body;
    std::vector<std::pair<std::string, std::string>> fields;

    std::string_view field(std::string_view name) const;
};

// An HTTP/1.1 client for small requests to one address. Connections are kept and
// used again; at most `maxConnections` are open, and further calls wait.
//
// Failures tell how far a call came: DaemonUnreachable when no byte was sent,
// StoreReplyLost when the call may have had its effect.
// Lives on one io_context, which one thread runs.
class ApiClient
{
public:
    ApiClient(boost::asio::io_context &io, ports::Address address, int maxConnections = 16);
    ~ApiClient();
    ApiClient(const ApiClient &) = delete;
    ApiClient &operator=(const ApiClient &) = delete;

    void call(ApiCall call, ports::Handler<ApiAnswer> handler);

private:
    struct Private;
    std::shared_ptr<Private> d;
};

// Makes one call and waits for its answer; for the command-line tool.
Result<ApiAnswer> callAndWait(const ports::Address &address, const ApiCall &call);

} // namespace monsoonspool::http
