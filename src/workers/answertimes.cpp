#include "workers/answertimes.h"

#include <algorithm>

namespace monsoonspool::workers {

namespace {

// An answer counts as late from here on.
constexpr Duration MinLate = AnswerTimes::ShortestTimeout / 2;
// Late answers tell about the present for this time.
constexpr Duration Memory = 5s;
// A domain is slow once this part of its workers have answered late, and at least this many of them.
constexpr std::size_t SlowPart = 20;
constexpr std::size_t MinSlowWorkers = 3;
// Of the latest answer.
constexpr int TimeoutFactor = 2;
constexpr Duration TimeoutValidity = 200ms;

} // namespace

void AnswerTimes::note(const FailureDomain &domain, const WorkerId &worker, Duration late, TimePoint now)
{
    if (late >= MinLate) {
        m_domains[domain].lateAnswers[worker] = {now, late};
    }
}

void AnswerTimes::refresh()
{
    for (auto &[name, it] : m_domains) {
        it.validUntil = TimePoint();
    }
}

void AnswerTimes::setWorkerCount(const FailureDomain &domain, std::size_t count)
{
    m_domains[domain].workerCount = count;
}

Duration AnswerTimes::timeout(const FailureDomain &domain, TimePoint now)
{
    const auto known = m_domains.find(domain);
    if (known == m_domains.end() || known->second.lateAnswers.empty()) {
        return ShortestTimeout;
    }
    auto &it = known->second;
    if (now < it.validUntil) {
        return it.timeout;
    }
    it.validUntil = now + TimeoutValidity;
    std::erase_if(it.lateAnswers, [&](const auto &answer) { return now - answer.second.at > Memory; });
    it.timeout = ShortestTimeout;
    if (it.lateAnswers.size() >= std::max(MinSlowWorkers, it.workerCount / SlowPart)) {
        const auto latest = std::ranges::max_element(it.lateAnswers, {}, [](const auto &a) { return a.second.late; });
        it.timeout = std::clamp(latest->second.late * TimeoutFactor, ShortestTimeout, LongestTimeout);
    }
    return it.timeout;
}

} // namespace monsoonspool::workers
