#include "jobs/outcomecounts.h"

#include <algorithm>
#include <array>
#include <bit>
#include <numeric>

namespace monsoonspool::jobs {

namespace {

constexpr int FirstSizeBound = 8; // sizes below it are the first class

constexpr std::array<std::string_view, JobOutcomeCount> OutcomeNames
    = {"onTime", "late", "tooLate", "failed", "cancelled"};

} // namespace

std::string_view jobOutcomeName(JobOutcome outcome)
{
    return OutcomeNames[static_cast<std::size_t>(outcome)];
}

std::size_t sizeClassOf(int orders)
{
    const auto multiple = static_cast<unsigned>(std::max(orders, 0)) / FirstSizeBound;
    return std::min(static_cast<std::size_t>(std::bit_width(multiple)), SizeClassCount - 1);
}

std::string sizeClassName(std::size_t sizeClass)
{
    const auto smallest = [](std::size_t n) { return n == 0 ? 1 : FirstSizeBound << (n - 1); };
    const auto name = std::to_string(smallest(sizeClass));
    return sizeClass + 1 < SizeClassCount ? name + "-" + std::to_string(smallest(sizeClass + 1) - 1) : name + "+";
}

std::uint64_t OutcomeRow::open() const
{
    const auto over = std::accumulate(ended.begin(), ended.end(), std::uint64_t{0});
    return accepted - std::min(over, accepted);
}

OutcomeRow &OutcomeCounts::rowOf(std::string_view queue, int orders)
{
    auto it = m_rows.find(queue);
    if (it == m_rows.end()) {
        const auto name = m_rows.size() < MaxQueues ? queue : OtherQueues;
        it = m_rows.try_emplace(std::string(name)).first;
        it->second.resize(SizeClassCount);
        for (std::size_t n = 0; n < SizeClassCount; ++n) {
            it->second[n].queue = name;
            it->second[n].sizeClass = n;
        }
    }
    return it->second[sizeClassOf(orders)];
}

void OutcomeCounts::noteAccepted(std::string_view queue, int orders)
{
    ++rowOf(queue, orders).accepted;
}

void OutcomeCounts::forgetAccepted(std::string_view queue, int orders)
{
    auto &accepted = rowOf(queue, orders).accepted;
    accepted -= std::min<std::uint64_t>(accepted, 1);
}

void OutcomeCounts::noteEnded(std::string_view queue, int orders, JobOutcome outcome)
{
    ++rowOf(queue, orders).ended[static_cast<std::size_t>(outcome)];
}

void OutcomeCounts::clear()
{
    m_rows.clear();
}

std::vector<OutcomeRow> OutcomeCounts::rows() const
{
    std::vector<OutcomeRow> rows;
    for (const auto &[queue, classes] : m_rows) {
        std::ranges::copy_if(classes, std::back_inserter(rows), [](const OutcomeRow &it) { return it.accepted > 0; });
    }
    return rows;
}

} // namespace monsoonspool::jobs
