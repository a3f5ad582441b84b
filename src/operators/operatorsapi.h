#pragma once

#include "control/controlloop.h"
#include "http/apiserver.h"
#include "peer/peernode.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace monsoonspool::operators {

// Identity of the process, for the state dump.
struct ProcessInfo
{
    std::string version;
    EntryHostId host;
    std::uint64_t incarnation = 0;
};

// Dependencies of the operators' API.
struct OperatorsPorts
{
    control::ControlLoop &loop;
    std::function<peer::PeerCounts()> peerCounts;
    std::function<TimePoint()> now;
    std::function<std::vector<http::ConnectionUsage>()> connections;
};

// The operators' HTTP API for documents, jobs and the state dump.
//
//   GET  /state[?section=NAME]           one JSON object, or one section
//   GET  /documents                      services, revisions and teams in force
//   GET  /documents/status               the feed position of each daemon
//   GET  /documents/NAME                 the text in force
//   GET  /documents/NAME/history         all revisions
//   PUT  /documents/NAME?base=N&author=A applies the text if revision N is in force
//   POST /documents                      validates the text without applying it
//   POST /jobs                           submits a job
//   GET  /jobs[?team=NAME]               jobs, newest first
//   GET  /jobs/ID                        one job
//   DELETE /jobs/ID                      cancels a job
//   GET  /health                         503 while the daemon drains, else 200
//
// If keys are set, all requests except /health need "Authorization: Bearer KEY".
// Runs on the control thread.
class OperatorsApi : public http::ApiHandler
{
public:
    OperatorsApi(OperatorsPorts ports, ProcessInfo facts);
    ~OperatorsApi() override;

    // Sets the accepted keys. An empty list disables authorization.
    void setKeys(std::vector<std::string> keys);

    void handle(const http::ApiRequest &request, http::ApiReply reply) override;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

// Returns the response with the HTTP status and the JSON description of `failure`.
http::ApiResponse failureResponse(const Failure &failure);

} // namespace monsoonspool::operators
