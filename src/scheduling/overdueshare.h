#pragma once

namespace monsoonspool::scheduling {

// Divides start orders between overdue jobs and all others. While there is more work than can be on time, new jobs
// come before overdue ones for ever; a share of the orders goes to the oldest of these, so that the wait of each
// is bounded by the work that came before it.
//
// Not thread-safe: owned by the control thread.
class OverdueShare
{
public:
    // Returns how many orders the next plan gives to overdue jobs first.
    int available() const;
    // Records that a plan ordered `starts` in all, `overdue` of them for overdue jobs.
    void noteStarts(int starts, int overdue);

private:
    double m_credit = 0; // in orders; negative after a gang that is larger than the share
};

} // namespace monsoonspool::scheduling
