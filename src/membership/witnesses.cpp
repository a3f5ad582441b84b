#include "membership/witnesses.h"

#include <algorithm>
#include <functional>

namespace monsoonspool::membership {

namespace {

std::size_t majorityOf(std::span<const Witness> witnesses)
{
    return witnesses.size() / 2 + 1;
}

} // namespace

void Witnesses::reset(std::span<const Witness> stored)
{
    m_lists.assign(1, {stored.begin(), stored.end()});
}

void Witnesses::add(std::span<const Witness> written)
{
    std::vector<Witness> list(written.begin(), written.end());
    if (std::ranges::find(m_lists, list) == m_lists.end()) {
        m_lists.push_back(std::move(list));
    }
}

bool Witnesses::areNone() const
{
    return std::ranges::all_of(m_lists, [](const auto &it) { return it.empty(); });
}

std::vector<Witness> Witnesses::all() const
{
    std::vector<Witness> all;
    for (const auto &list : m_lists) {
        for (const auto &it : list) {
            if (std::ranges::find(all, it) == all.end()) {
                all.push_back(it);
            }
        }
    }
    return all;
}

std::optional<TimePoint> supportedSince(std::span<const Witness> witnesses, const WitnessAnswers &answers)
{
    std::vector<TimePoint> times;
    for (const auto &it : witnesses) {
        const auto answer = answers.find(it.worker);
        if (answer != answers.end() && answer->second.startTimeMs == it.startTimeMs) {
            times.push_back(answer->second.requestSentAt);
        }
    }
    const auto majority = majorityOf(witnesses);
    if (witnesses.empty() || times.size() < majority) {
        return std::nullopt;
    }
    std::ranges::sort(times, std::greater());
    return times[majority - 1];
}

std::optional<TimePoint> supportedSince(const Witnesses &witnesses, const WitnessAnswers &answers)
{
    std::optional<TimePoint> earliest;
    for (const auto &it : witnesses.lists()) {
        if (it.empty()) {
            continue;
        }
        const auto since = supportedSince(it, answers);
        if (!since) {
            return std::nullopt;
        }
        earliest = std::min(earliest.value_or(*since), *since);
    }
    return earliest;
}

bool isAcceptedByMajority(std::span<const Witness> witnesses, const WitnessAnswers &answers)
{
    // An answer of another process shows that the witness has ended.
    const auto accepted
        = std::ranges::count_if(witnesses, [&](const Witness &it) { return answers.contains(it.worker); });
    return !witnesses.empty() && static_cast<std::size_t>(accepted) >= majorityOf(witnesses);
}

std::vector<Witness> chooseWitnesses(std::span<const Witness> present, std::span<const WitnessCandidate> candidates)
{
    std::vector<Witness> chosen;
    std::map<FailureDomain, std::size_t> chosenByDomain;
    std::map<FailureDomain, std::vector<Witness>> others;
    for (const auto &it : candidates) {
        if (chosen.size() < MaxWitnesses && std::ranges::find(present, it.process) != present.end()) {
            chosen.push_back(it.process);
            ++chosenByDomain[it.domain];
        } else {
            others[it.domain].push_back(it.process);
        }
    }
    while (chosen.size() < MaxWitnesses && !others.empty()) {
        const auto next
            = std::ranges::min_element(others, {}, [&](const auto &it) { return chosenByDomain[it.first]; });
        chosen.push_back(next->second.back());
        ++chosenByDomain[next->first];
        next->second.pop_back();
        if (next->second.empty()) {
            others.erase(next);
        }
    }
    std::ranges::sort(chosen, {}, &Witness::worker);
    return chosen;
}

} // namespace monsoonspool::membership
