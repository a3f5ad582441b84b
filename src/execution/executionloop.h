#pragma once

#include "execution/jobdesk.h"
#include "execution/leaderterm.h"
#include "membership/leadership.h"

#include <memory>

namespace monsoonspool::execution {

struct ExecutionOptions
{
    EntryHostId self;
    std::uint64_t incarnation = 0; // drawn at each start of the process
    double processorShare = 1; // of a core; hosts with little of one claim late
};

// What the state dump and the metrics show.
struct ExecutionSummary
{
    bool isLeader = false;
    bool isLoaded = false;
    std::uint64_t fence = 0;
    std::int64_t configurationVersion = -1; // -1 until one was read
    Duration storeSilence{0}; // since the store answered last
    FleetCounts fleet;
};

// The control state of job execution on one host: the configuration, clients'
// calls, and the leadership of the fleet while this host holds it.
//
// Lives on the control thread.
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
    // Hands the leadership back; calls `done` once that was written or has failed.
    void stop(std::function<void()> done);

    JobDesk &jobDesk();
    // Returns the queue's accepted jobs that have not started, up to 2 s old.
    int waitingJobs(std::string_view queue) const;
    // Returns whether this host can take clients' calls.
    bool isReady() const;
    ExecutionSummary summary() const;

private:
    struct Private;
    std::shared_ptr<Private> d;
};

} // namespace monsoonspool::execution
