#pragma once

#include <compare>
#include <cstdint>
#include <functional>

namespace monsoonspool::jobs {

// The identity of a job, drawn by its client.
struct JobKey
{
    std::uint64_t value = 0;
    auto operator<=>(const JobKey &) const = default;
};

// One task of one occurrence of a job.
struct TaskId
{
    JobKey job;
    std::int32_t occurrence = 0;
    std::int32_t step = 0;
    std::int32_t index = 0;
    auto operator<=>(const TaskId &) const = default;
};

// The number of a start of a task. Later starts have higher numbers; the members
// of a gang that start together share one.
using RunNumber = std::uint64_t;

} // namespace monsoonspool::jobs

template <>
struct std::hash<monsoonspool::jobs::JobKey>
{
    std::size_t operator()(const monsoonspool::jobs::JobKey &key) const noexcept
    {
        return std::hash<std::uint64_t>{}(key.value);
    }
};

template <>
struct std::hash<monsoonspool::jobs::TaskId>
{
    std::size_t operator()(const monsoonspool::jobs::TaskId &id) const noexcept
    {
        constexpr std::uint64_t multiplier = 0x9e3779b97f4a7c15ULL; // of Fibonacci hashing
        const auto position = static_cast<std::uint64_t>(id.occurrence) << 40
            ^ static_cast<std::uint64_t>(id.step) << 20 ^ static_cast<std::uint64_t>(id.index);
        return (id.job.value ^ position * multiplier) * multiplier >> 7;
    }
};
