#pragma once

#include "codec/json.h"
#include "common/error.h"
#include "ports/hostlist.h"

#include <string>
#include <string_view>

namespace monsoonspool::cli {

// What a daemon answered.
struct Reply
{
    int status = 0;
    codec::Json json;

    bool isOk() const;

    // Returns the failure that the answer tells of.
    Failure failure() const;
};

// Calls the operators' port of a daemon.
class Client
{
public:
    Client(ports::Address address, std::string key);

    // Fails with DaemonUnreachable, StoreReplyLost if the call may have had its
    // effect, or MalformedMessage.
    Result<Reply> call(std::string_view method, std::string_view target, std::string_view body = {}) const;

private:
    ports::Address m_address;
    std::string m_key;
};

// Prints the faults of a refused text, one to a line, on standard error.
void printFaults(const codec::Json &json);

} // namespace monsoonspool::cli
