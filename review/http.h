#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

// A small blocking HTTP/1.1 server and client on loopback, for the stand-ins.
namespace standin {

struct Request
{
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    std::map<std::string, std::string> fields; // names in lower case
    std::string body;
};

struct Response
{
    int status = 200;
    std::string body = "{}";
};

using Handler = std::function<Response(const Request &)>;
using Fields = std::vector<std::pair<std::string, std::string>>;

// Serves on 127.0.0.1:port with one thread per connection. Does not return.
void serve(int port, const Handler &handler);

// Sends one request on a new connection. Returns nothing if there is no response in time.
std::optional<Response> call(int port, const std::string &method, const std::string &target, const Fields &fields,
                             const std::string &body, int timeoutMs);

} // namespace standin
