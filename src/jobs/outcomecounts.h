#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace monsoonspool::jobs {

// How a job ended, for the accounts of a queue.
enum class JobOutcome {
    OnTime, // done by its soft deadline
    Late, // done by its hard deadline
    TooLate, // done, when the result was of no use any more
    Failed,
    Cancelled,
};
inline constexpr std::size_t JobOutcomeCount = 5;

std::string_view jobOutcomeName(JobOutcome outcome);

// The size of a job is the number of start orders that it needs. Sizes are counted in classes, each
// twice as large as the one before; the last one has no upper bound.
inline constexpr std::size_t SizeClassCount = 6;
std::size_t sizeClassOf(int orders);
// Returns the range of a class, such as "8-15" or "128+".
std::string sizeClassName(std::size_t sizeClass);

// The jobs of one queue and one size class.
struct OutcomeRow
{
    std::string queue;
    std::size_t sizeClass = 0;
    std::uint64_t accepted = 0;
    std::array<std::uint64_t, JobOutcomeCount> ended{};

    std::uint64_t open() const;
};

// Counts jobs by queue, size and outcome, so that it shows which kinds and sizes a shortage
// falls on. The number of rows is bounded by MaxQueues; the jobs of further queues are counted together.
//
// Not thread-safe: owned by the control thread.
class OutcomeCounts
{
public:
    static constexpr std::size_t MaxQueues = 16;
    static constexpr std::string_view OtherQueues = "(other)";

    void noteAccepted(std::string_view queue, int orders);
    // Takes noteAccepted() back for a job that turns out to have ended before it was counted.
    void forgetAccepted(std::string_view queue, int orders);
    void noteEnded(std::string_view queue, int orders, JobOutcome outcome);
    void clear();
    // Returns the rows with accepted jobs, by queue and size.
    std::vector<OutcomeRow> rows() const;

private:
    OutcomeRow &rowOf(std::string_view queue, int orders);

    std::map<std::string, std::vector<OutcomeRow>, std::less<>> m_rows;
};

} // namespace monsoonspool::jobs
