#pragma once

#include "common/identifiers.h"
#include "common/time.h"

#include <cstddef>
#include <map>

namespace monsoonspool::workers {

// Decides how long an answer of a worker may be overdue before the worker counts as silent.
//
// One worker that answers late may be about to be lost. Where many of a failure domain answer late at the same
// time, the way to them is slow: on a link that is full for some seconds, answers arrive seconds late, and workers
// taken as silent would get no leases, so that all of their work is lost.
//
// Not thread-safe: owned by the control thread.
class AnswerTimes
{
public:
    // Returns the time beyond the usual one, up to now: ShortestTimeout unless the domain is slow.
    Duration timeout(const FailureDomain &domain, TimePoint now);
    // Records an answer that came `late` after it could have been expected, or has not come by then.
    void note(const FailureDomain &domain, const WorkerId &worker, Duration late, TimePoint now);
    // Lets the next call of timeout() take all recorded answers into account; it does so at intervals otherwise.
    void refresh();
    // Sets how many workers a domain has.
    void setWorkerCount(const FailureDomain &domain, std::size_t count);

    static constexpr Duration ShortestTimeout = 700ms;
    static constexpr Duration LongestTimeout = 3s;

private:
    struct LateAnswer
    {
        TimePoint at;
        Duration late{0};
    };
    struct Domain
    {
        std::size_t workerCount = 0;
        std::map<WorkerId, LateAnswer> lateAnswers; // the last one of each worker
        Duration timeout = ShortestTimeout;
        TimePoint validUntil;
    };

    std::map<FailureDomain, Domain> m_domains;
};

} // namespace monsoonspool::workers
