#pragma once

#include "http/apiserver.h"
#include "soak/faultcounts.h"
#include "soak/history.h"
#include "soak/taskplan.h"

#include <memory>
#include <string>

namespace monsoonspool::soak {

struct WorkerOptions
{
    std::string id;
    std::string service;
    std::string domain;
    std::string rack;
    std::int64_t milliCores = 16'000;
    std::int64_t memoryMiB = 32'768;
};

// A stand-in of a worker: takes orders to start and stop runs and listings with leases, and
// records its runs. Not thread-safe.
class WorkerStandIn : public http::ApiHandler
{
public:
    WorkerStandIn(WorkerOptions options, TaskPlan &plan, Recorder &recorder, FaultCounts &faults, TimePoint now);
    ~WorkerStandIn() override;
    WorkerStandIn(const WorkerStandIn &) = delete;
    WorkerStandIn &operator=(const WorkerStandIn &) = delete;

    void handle(const http::ApiRequest &request, http::ApiReply reply) override;

    // Ends the runs that are done, stopped or without a lease, and answers listings that have waited
    // long enough. Call every few milliseconds.
    void advance(TimePoint now);

    // Returns the value of its row in the registry.
    std::string registryEntry(std::string_view address) const;
    const WorkerOptions &options() const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace monsoonspool::soak
