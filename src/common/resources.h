#pragma once

#include <compare>
#include <cstdint>

namespace monsoonspool {

// Resources that a task needs or a worker provides.
struct Resources
{
    std::int64_t milliCores = 0;
    std::int64_t memoryMiB = 0;
    std::int64_t accelerators = 0;

    bool operator==(const Resources &) const = default;

    Resources &operator+=(const Resources &other)
    {
        milliCores += other.milliCores;
        memoryMiB += other.memoryMiB;
        accelerators += other.accelerators;
        return *this;
    }
    Resources &operator-=(const Resources &other)
    {
        milliCores -= other.milliCores;
        memoryMiB -= other.memoryMiB;
        accelerators -= other.accelerators;
        return *this;
    }
    friend Resources operator+(Resources a, const Resources &b)
    {
        return a += b;
    }
    friend Resources operator-(Resources a, const Resources &b)
    {
        return a -= b;
    }

    // Returns whether `other` fits into these resources in every dimension.
    bool contains(const Resources &other) const
    {
        return other.milliCores <= milliCores && other.memoryMiB <= memoryMiB && other.accelerators <= accelerators;
    }
};

} // namespace monsoonspool
