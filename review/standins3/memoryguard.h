// The platform's part in a case about memory, and jobs that show whether work is still done.
#pragma once

#include "deployment.h"

#include <atomic>
#include <chrono>
#include <map>
#include <mutex>
#include <string>
#include <thread>

namespace review {

// Kills processes that exceed the memory of their machine and starts them again, as the platform does.
class MemoryGuard
{
public:
    MemoryGuard(Deployment &deployment, Record &record);
    ~MemoryGuard();
    MemoryGuard(const MemoryGuard &) = delete;
    MemoryGuard &operator=(const MemoryGuard &) = delete;

    // Kills a host for a reason of its own; it is started again as well.
    void kill(Host &host);
    std::map<std::string, int> endsByHost();

private:
    using Clock = std::chrono::steady_clock;

    void run();

    Deployment &m_deployment;
    Record &m_record;
    std::mutex m_mutex;
    std::map<Host *, Clock::time_point> m_startAt;
    std::map<std::string, int> m_ends;
    std::atomic<bool> m_isClosed{false};
    std::thread m_thread;
};

// Returns the name of a job.
std::string hexName(std::uint64_t number);

// Hands in small jobs one after the other while the runners have room, and notes those that stand still. Returns the
// result of a case about LOST.
int probe(Deployment &deployment, MemoryGuard &guard, Record &record, int jobs);

} // namespace review
