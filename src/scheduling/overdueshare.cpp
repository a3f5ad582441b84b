#include "scheduling/overdueshare.h"

#include <algorithm>

namespace monsoonspool::scheduling {

namespace {

// Part of all start orders that goes to the oldest overdue jobs.
constexpr double OverduePart = 0.1;
// Orders that may gather for overdue jobs while there are none.
constexpr double MaxOverdueCredit = 16;

} // namespace

int OverdueShare::available() const
{
    return std::max(static_cast<int>(m_credit), 0);
}

void OverdueShare::noteStarts(int starts, int overdue)
{
    m_credit = std::min(m_credit + OverduePart * starts - overdue, MaxOverdueCredit);
}

} // namespace monsoonspool::scheduling
