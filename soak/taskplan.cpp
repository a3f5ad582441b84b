#include "soak/taskplan.h"

#include <random>

namespace monsoonspool::soak {

namespace {

constexpr int MinRunMs = 50;
constexpr int MaxRunMs = 2000;
constexpr int FailingPercent = 20; // of the tasks
constexpr int MaxFailures = 3; // of one task; fewer than MaxAttempts
static_assert(MaxFailures < MaxAttempts);

constexpr std::uint64_t RunTimeStream = 1;
constexpr std::uint64_t FailureStream = 2;

} // namespace

Duration TaskPlan::runTime(const jobs::TaskId &task) const
{
    return std::chrono::milliseconds(MinRunMs + draw(task, RunTimeStream) % (MaxRunMs - MinRunMs + 1));
}

bool TaskPlan::takeFailure(const jobs::TaskId &task)
{
    const auto n = draw(task, FailureStream);
    const int planned = n % 100 < FailingPercent ? 1 + static_cast<int>(n / 100 % MaxFailures) : 0;
    auto &failures = m_failures[task];
    if (failures >= planned) {
        return false;
    }
    ++failures;
    return true;
}

std::uint64_t TaskPlan::draw(const jobs::TaskId &task, std::uint64_t stream) const
{
    std::seed_seq sequence{m_seed,
                           stream,
                           task.job.value,
                           task.job.value >> 32,
                           static_cast<std::uint64_t>(task.step),
                           static_cast<std::uint64_t>(task.index)};
    return std::mt19937_64(sequence)();
}

} // namespace monsoonspool::soak
