#pragma once

#include "common/error.h"
#include "jobs/taskid.h"
#include "ports/changestore.h"
#include "ports/scheduler.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace monsoonspool::execution {

// The stored rows of one job.
struct JobRows
{
    std::optional<ports::StoredRow> job; // nullopt if there is none
    std::vector<ports::StoredRow> progress; // of all sections, in no particular order
};

// Reads the rows of one job: first the job, then its progress, which is therefore no older.
//
// Used only on the control thread. Nothing is called any more once the reader is destroyed.
class JobRowReader
{
public:
    // Calls `done` once, with nullopt if the store has not answered.
    JobRowReader(ports::ChangeStore &store, ports::Scheduler &scheduler, jobs::JobKey key,
                 std::function<void(const std::optional<JobRows> &)> done);
    ~JobRowReader();
    JobRowReader(const JobRowReader &) = delete;
    JobRowReader &operator=(const JobRowReader &) = delete;

private:
    struct Private;
    std::shared_ptr<Private> d;
};

} // namespace monsoonspool::execution
