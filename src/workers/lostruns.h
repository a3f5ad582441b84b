#pragma once

#include "common/identifiers.h"
#include "common/time.h"
#include "jobs/taskid.h"
#include "ports/workerlink.h"

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace monsoonspool::workers {

// What shows that a run existed on the process that was lost with it.
enum class RunEvidence {
    None, // its start got no answer, and the process may have ended before
    Confirmed, // the process answered the start, or has listed the run
    // Its start got no answer, but the process had answered on the same connection right before the
    // order was sent.
    Verified,
};

std::string_view runEvidenceName(RunEvidence evidence);

// A run that a worker had confirmed, or may have begun, and that ended without a listed end.
struct LostRun
{
    jobs::TaskId task;
    jobs::RunNumber number = 0;
    Duration ranFor{0}; // from its start until the worker was heard last
    RunEvidence evidence = RunEvidence::None;
};

// A process of a worker. The next one on its machine may have another identifier.
struct Process
{
    WorkerId worker;
    ports::Address address;
    std::int64_t startTimeMs = 0;

    // Returns whether `later` has answered in place of this process, which has ended then.
    bool isReplacedBy(const Process &later) const;
};

// The runs of workers whose leases have expired, kept until a process answers in their place.
// Only that shows that the former process crashed: a worker that was cut off answers with the
// process that it had, and a worker that is gone never answers.
//
// The number of processes and the time that their runs are kept are bounded. What is forgotten
// counts as no crash.
//
// Not thread-safe: owned by the control thread.
class LostRuns
{
public:
    // Keeps the runs that were lost with `process`.
    void remember(const Process &process, std::vector<LostRun> runs, TimePoint now);
    // Called when `process` answers. Returns the runs that were lost with the process that it
    // replaces, and forgets them and those that were lost with `process` itself.
    std::vector<LostRun> take(const Process &process);
    void clear();

private:
    struct LostProcess
    {
        Process process;
        TimePoint lostAt;
        std::vector<LostRun> runs;
    };

    static constexpr Duration RetentionTime = 60s;
    static constexpr std::size_t MaxProcesses = 1000;

    std::vector<LostProcess> m_processes;
};

} // namespace monsoonspool::workers
