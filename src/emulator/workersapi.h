#pragma once

#include "http/apiserver.h"
#include "ports/memory/simulatedworkers.h"

#include <memory>

namespace monsoonspool::emulator {

// Serves simulated workers over the protocol of the users' platform, all of them at one
// address: the header field of each order names the worker.
class WorkersApi : public http::ApiHandler
{
public:
    explicit WorkersApi(ports::memory::SimulatedWorkers &workers);
    ~WorkersApi() override;

    void handle(const http::ApiRequest &request, http::ApiReply reply) override;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace monsoonspool::emulator
