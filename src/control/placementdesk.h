#pragma once

#include "common/time.h"
#include "control/jobmessages.h"
#include "control/placementcodec.h"
#include "control/placementlogkeeper.h"
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

struct PlacementDeskOptions
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

// Returns the partition of a failure domain, and the domain of such a partition
// (empty for another partition).
PartitionName placementPartition(const FailureDomain &domain);
FailureDomain domainOfPartition(const PartitionName &partition);

// Carries calls about jobs to the owners of their partitions, and runs the
// partitions owned here: their logs, their orders to workers, and the reports.
//
// A partition gives orders only while it is owned and renewed.
//
// Not thread-safe: owned by the control thread.
class PlacementDesk
{
public:
    PlacementDesk(PlacementDeskOptions options, membership::Ownership &ownership, PlacementPorts ports,
                  PeerLink &peers);
    ~PlacementDesk();
    PlacementDesk(const PlacementDesk &) = delete;
    PlacementDesk &operator=(const PlacementDesk &) = delete;

    void noteOwnership(const membership::OwnershipEvent &event, TimePoint now);

    // Takes in the workers, and the quotas of the teams.
    void setWorkers(std::span<const ports::ListedWorker> workers);
    void setQuotas(const std::unordered_map<TeamName, std::int64_t> &milliCores);

    // Submits a job, in the partition that its key belongs to. The reply comes
    // once the job is recorded.
    void submit(const placement::JobSpec &spec, TimePoint now, JobHandler handler);
    void cancel(const JobId &job, TimePoint now, JobHandler handler);
    void view(const JobId &job, TimePoint now, JobHandler handler);
    void list(const TeamName &team, TimePoint now, JobHandler handler);

    // Takes in calls and replies from peers.
    void handleCall(const JobCall &call, TimePoint now);
    void handleReply(const JobReply &reply);

    void tick(TimePoint now);

    // Returns whether everything that was decided is recorded.
    bool isIdle() const;

    std::vector<std::pair<FailureDomain, placement::PartitionSummary>> summary(TimePoint now) const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace monsoonspool::control
