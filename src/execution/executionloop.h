#pragma once

#include "execution/jobrequesthandler.h"
#include "execution/leaderterm.h"
#include "membership/evacuations.h"
#include "membership/leadership.h"

#include <memory>
#include <optional>
#include <vector>

namespace monsoonspool::execution {

struct ExecutionOptions
{
    EntryHostId self;
    std::uint64_t incarnation = 0; // drawn anew at each process start
    double processorShare = 1; // in cores; hosts with a small share claim later
    std::optional<scheduling::MoveCost> moveCost = {}; // of a run with checkpoints; runs are not moved if it is not set
    // No task starts in a failure domain later than this after its evacuation was stored.
    Duration evacuationBound = membership::DefaultEvacuationBound;
    std::optional<double> remoteRunTimeFactor = {}; // see Fleet
    std::size_t memoryBytes = 256UL * 1024 * 1024; // that the process may use
};

// Values shown in the state dump and metrics.
struct ExecutionSummary
{
    bool isLeader = false;
    bool isLoaded = false;
    std::uint64_t fence = 0;
    std::int64_t configurationVersion = -1; // -1 until one has been read
    Duration timeSinceStoreContact{0};
    std::vector<FailureDomain> evacuatedDomains; // as read by this host
    std::optional<Duration> evacuationsReadAgo; // nothing before the first reading
    Duration clockJump{0}; // how far the wall clock is ahead of the time that is used
    FleetCounts fleet;
    LeaderLoad load; // while this host leads
    EndedJobCounts endedJobs; // while this host leads
    TombstoneCounts tombstones; // while this host leads
    TombstoneRequestCounts tombstoneRequests; // of this host
    std::uint64_t refusedByFullQueue = 0; // submissions, of this host
};

// Control state of job execution on one host: the configuration, client requests, and
// the leadership of the fleet while this host holds it.
//
// Used only on the control thread.
class ExecutionLoop
{
public:
    using ConfigurationPointer = std::shared_ptr<const ports::Configuration>;

    ExecutionLoop(ExecutionPorts ports, ExecutionOptions options,
                  std::function<void(ConfigurationPointer)> onConfiguration);
    ~ExecutionLoop();
    ExecutionLoop(const ExecutionLoop &) = delete;
    ExecutionLoop &operator=(const ExecutionLoop &) = delete;

    void start();
    // Releases the leadership; calls `done` once the release was written or has failed.
    void stop(std::function<void()> done);

    JobRequestHandler &jobRequestHandler();
    // Calls `reply` by `deadline` with the number of the queue's accepted jobs that have not
    // started. Fails with StoreUnavailable if that is not known.
    void waitingJobs(std::string queue, TimePoint deadline, const ports::Handler<int> &reply);
    // Returns the time of the host's wall clock without its short jumps.
    jobs::WallTime wallNow() const;
    // Returns whether this host can serve client requests.
    bool isReady() const;
    ExecutionSummary summary() const;

private:
    struct Private;
    std::shared_ptr<Private> d;
};

} // namespace monsoonspool::execution
