#include "scheduling/localitywait.h"

#include <algorithm>

namespace monsoonspool::scheduling {

namespace {

// The platform takes a task as lost that has not run for 3 s beside free capacity.
constexpr Duration MaxWait = 2s;
// The time without a run counts against the availability that was promised for a lasting task.
constexpr Duration MaxLastingWait = 1s;
// A waiting task is looked at again within this time, the leader's longest time between plans. A
// wait that would end before that ends at once.
constexpr Duration LookInterval = 150ms;

Duration scaled(Duration d, double factor)
{
    return Duration(static_cast<Duration::rep>(static_cast<double>(d.count()) * factor));
}

} // namespace

WaitWhileItPays::WaitWhileItPays(double remoteFactor) : m_remoteFactor(remoteFactor)
{
}

LocalityDecision WaitWhileItPays::decide(const LocalityQuestion &question, TimePoint now) const
{
    if (m_remoteFactor <= 1 || !question.expectedWait) {
        return {};
    }
    const auto expectedWait = *question.expectedWait;
    if (question.isLasting) {
        const auto until = question.waitsSince + MaxLastingWait;
        return {expectedWait <= MaxLastingWait && now + LookInterval <= until, until};
    }
    const auto gain = scaled(question.runTime, m_remoteFactor - 1);
    if (expectedWait >= gain || expectedWait > MaxWait) {
        return {};
    }
    auto until = question.waitsSince + std::min(MaxWait, gain);
    for (const auto deadline : {question.softDeadline, question.hardDeadline}) {
        const auto latestStart = deadline - question.remainingAfter - scaled(question.runTime, m_remoteFactor);
        if (latestStart < now) {
            continue; // a start on another rack would miss it anyway
        }
        if (now + expectedWait > latestStart) {
            return {};
        }
        until = std::min(until, latestStart);
    }
    return {now + LookInterval <= until, until};
}

FixedWait::FixedWait(Duration wait) : m_wait(wait)
{
}

LocalityDecision FixedWait::decide(const LocalityQuestion &question, TimePoint now) const
{
    const auto until = question.waitsSince + m_wait;
    return {now < until, until};
}

} // namespace monsoonspool::scheduling
