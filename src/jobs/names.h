#pragma once

#include "jobs/job.h"
#include "jobs/taskid.h"

#include <string>
#include <string_view>

namespace monsoonspool::jobs {

// Printable names for logs and state dumps. The name of a job is its client-generated key
// in hexadecimal.
std::string jobName(JobKey key);
std::string taskName(const TaskId &task);
std::string_view runEndName(RunEnd end);

// See DecisionField.
inline std::string decisionText(JobKey key)
{
    return jobName(key);
}
inline std::string decisionText(const TaskId &task)
{
    return taskName(task);
}

} // namespace monsoonspool::jobs
