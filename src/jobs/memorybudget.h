#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace monsoonspool::jobs {

// Accounts for the memory that jobs take, by queue.
//
// A queue may use as much as is left free by all of them (a dynamic threshold, as in shared buffers of switches):
// one queue alone gets half of the limit, two get a third each. So whatever is sent to some queues, others find
// room.
//
// Not thread-safe: owned by the control thread.
class MemoryBudget
{
public:
    explicit MemoryBudget(std::size_t limit) : m_limit(limit)
    {
    }

    std::size_t limit() const
    {
        return m_limit;
    }
    void setLimit(std::size_t bytes)
    {
        m_limit = bytes;
    }
    std::size_t used() const
    {
        return m_used;
    }
    std::size_t usedBy(std::string_view queue) const;
    // Records that a job of `queue` takes `bytes` instead of `before`.
    void change(std::string_view queue, std::size_t before, std::size_t bytes);
    // Returns whether a job of `queue` that takes `bytes` may be added.
    bool hasRoom(std::string_view queue, std::size_t bytes) const;
    // Returns the queues that have no room, those that use most first, but at most `most`.
    std::vector<std::string> fullQueues(std::size_t most) const;
    void clear();

private:
    std::size_t m_limit;
    std::size_t m_used = 0;
    std::map<std::string, std::size_t, std::less<>> m_usedByQueue; // those that use any
};

} // namespace monsoonspool::jobs
