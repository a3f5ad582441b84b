#pragma once

#include "codec/json.h"
#include "common/error.h"
#include "ports/hostlist.h"

#include <string>
#include <string_view>

namespace monsoonspool::cli {

// A daemon's response.
struct Reply
{
    int status = 0;
    codec::Json json;

    bool isOk() const;

    // Returns the failure that the response describes.
    Failure failure() const;
};

// HTTP client of the operators' API of a daemon.
class Client
{
public:
    Client(ports::Address address, std::string key);

    // Sends a request and waits for the response. Fails with DaemonUnreachable, with
    // StoreReplyLost if the call may have taken effect, or with MalformedMessage.
    Result<Reply> call(std::string_view method, std::string_view target, std::string_view body = {}) const;

private:
    ports::Address m_address;
    std::string m_key;
};

// Prints the faults of a rejected document or job to standard error, one per line.
void printFaults(const codec::Json &json);

} // namespace monsoonspool::cli
