#include "jobs/names.h"

namespace monsoonspool::jobs {

std::string jobName(JobKey key)
{
    constexpr int width = 16;
    constexpr std::string_view digits = "0123456789abcdef";
    std::string name(width, '0');
    for (int n = width - 1; n >= 0; --n) {
        name[static_cast<std::size_t>(n)] = digits[key.value & 0xf];
        key.value >>= 4;
    }
    return name;
}

std::string_view runEndName(RunEnd end)
{
    switch (end) {
    case RunEnd::Done:
        return "done";
    case RunEnd::Failed:
        return "failed";
    case RunEnd::Stopped:
        return "stopped";
    case RunEnd::Lapsed:
        return "lapsed";
    case RunEnd::Broken:
        return "broken";
    case RunEnd::Alone:
        break;
    }
    return "alone";
}

std::string taskName(const TaskId &task)
{
    return jobName(task.job) + "." + std::to_string(task.occurrence) + "." + std::to_string(task.step) + "."
        + std::to_string(task.index);
}

} // namespace monsoonspool::jobs
