#pragma once

#include "jobs/job.h"
#include "jobs/taskid.h"

#include <string>
#include <string_view>

namespace monsoonspool::jobs {

// Names for logs and dumps; a job's is that which its client drew.
std::string jobName(JobKey key);
std::string taskName(const TaskId &task);
std::string_view runEndName(RunEnd how);

} // namespace monsoonspool::jobs
