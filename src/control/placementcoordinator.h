#pragma once

#include "common/time.h"
#include "control/jobmessages.h"
#include "control/placementcodec.h"
#include "control/placementlogstore.h"
#include "control/ports.h"
#include "membership/ownership.h"
#include "placement/partition.h"
#include "ports/hostlist.h"
#include "ports/objectstore.h"
#include "ports/tableservice.h"
#include "ports/workeragent.h"

#include <functional>
#include <memory>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace monsoonspool::control {

struct PlacementCoordinatorOptions
{
    EntryHostId host;
    placement::LeaseTimes times;
    Duration logWindow = 60ms;
    std::string scoring = "tight-and-quiet";
};

struct PlacementPorts
{
    ports::TableService &table;
    ports::ObjectStore &objects;
    ports::WorkerAgent &workers;
    const PlacementCodec &codec;
};

using JobHandler = std::function<void(const JobReply &)>;

// Return the partition of a failure domain, and the failure domain of such a partition
// (empty for other partitions).
PartitionName placementPartition(const FailureDomain &domain);
FailureDomain domainOfPartition(const PartitionName &partition);

// Routes job calls to the owners of the jobs' partitions, and runs the partitions
// owned here: their logs, their orders to workers, and the workers' reports.
//
// A partition sends orders only while this host owns it and the lease is valid.
//
// Not thread-safe: owned by the control thread.
class PlacementCoordinator
{
public:
    PlacementCoordinator(PlacementCoordinatorOptions options, membership::Ownership &ownership, PlacementPorts ports,
                         PeerLink &peers);
    ~PlacementCoordinator();
    PlacementCoordinator(const PlacementCoordinator &) = delete;
    PlacementCoordinator &operator=(const PlacementCoordinator &) = delete;

    void noteOwnership(const membership::OwnershipEvent &event, TimePoint now);

    // Replace the list of workers, and the quotas of the teams.
    void setWorkers(std::span<const ports::ListedWorker> workers);
    void setQuotas(const std::unordered_map<TeamName, std::int64_t> &milliCores);

    // Submits a job to the partition that its key selects. The reply is sent after the
    // job is recorded.
    void submit(const placement::JobSpec &spec, TimePoint now, JobHandler handler);
    void cancel(const JobId &job, TimePoint now, JobHandler handler);
    void view(const JobId &job, TimePoint now, JobHandler handler);
    void list(const TeamName &team, TimePoint now, JobHandler handler);

    // Handle calls and replies from peers.
    void handleCall(const JobCall &call, TimePoint now);
    void handleReply(const JobReply &reply);

    void tick(TimePoint now);

    // Returns whether all decisions are recorded.
    bool isIdle() const;

    std::vector<std::pair<FailureDomain, placement::PartitionSummary>> summary(TimePoint now) const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace monsoonspool::control
