#pragma once

#include <array>
#include <atomic>
#include <string_view>

namespace monsoonspool::soak {

enum class FaultKind {
    ConnectionEnded, // after a response, without announcing it
    IdleConnectionEnded,
    ResetUnexecuted, // a request was not executed, and its connection reset
    ResetExecuted, // a request was executed, and its connection reset instead of a response
    OrderIgnored,
    RunFailed,
    HostPaused,
    HostKilled,
    HostStopped, // by SIGTERM
};
inline constexpr std::size_t FaultKindCount = 9;

inline std::string_view faultKindName(FaultKind kind)
{
    constexpr std::array<std::string_view, FaultKindCount> names{
        "connection-ended", "idle-connection-ended", "reset-unexecuted", "reset-executed", "order-ignored",
        "run-failed",       "host-paused",           "host-killed",      "host-stopped"};
    return names[static_cast<std::size_t>(kind)];
}

// How often each kind of fault was injected. Thread-safe.
class FaultCounts
{
public:
    void add(FaultKind kind)
    {
        ++m_counts[static_cast<std::size_t>(kind)];
    }
    long long count(FaultKind kind) const
    {
        return m_counts[static_cast<std::size_t>(kind)];
    }

private:
    std::array<std::atomic<long long>, FaultKindCount> m_counts{};
};

} // namespace monsoonspool::soak
