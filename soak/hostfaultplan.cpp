#include "soak/hostfaultplan.h"

#include <array>
#include <random>
#include <string>
#include <utility>

namespace monsoonspool::soak {

namespace {

using Random = std::mt19937_64;

constexpr std::array<std::pair<HostFaultSet, std::string_view>, 5> Names{{
    {HostFaultSet::None, "none"},
    {HostFaultSet::Pauses, "pause"},
    {HostFaultSet::Kills, "kill"},
    {HostFaultSet::Stops, "stop"},
    {HostFaultSet::All, "mix"},
}};
constexpr Duration FirstFault = 3s;
constexpr int MaxSeriesLength = 3;
// Longer than HistoryRules::settleTime and standstillBound, so that standstills are checked between series.
constexpr Duration QuietTime = 18s;

Duration drawDuration(Random &random, Duration first, Duration last)
{
    return Duration(std::uniform_int_distribution<Duration::rep>(first.count(), last.count())(random));
}

HostFault drawFault(Random &random, HostFaultSet set)
{
    switch (set) {
    case HostFaultSet::Kills:
        return HostFault::Kill;
    case HostFaultSet::Stops:
        return HostFault::Stop;
    case HostFaultSet::All:
        return static_cast<HostFault>(std::uniform_int_distribution<int>(0, 2)(random));
    case HostFaultSet::None:
    case HostFaultSet::Pauses:
        break;
    }
    return HostFault::Pause;
}

} // namespace

Result<HostFaultSet> parseHostFaultSet(std::string_view text)
{
    for (const auto &[set, name] : Names) {
        if (name == text) {
            return set;
        }
    }
    return fail(ErrorKind::InvalidArguments, "there are no signals '" + std::string(text) + "'");
}

std::string_view hostFaultSetName(HostFaultSet set)
{
    return Names[static_cast<std::size_t>(set)].second;
}

std::vector<PlannedHostFault> planHostFaults(HostFaultSet set, std::uint64_t seed, int hosts, Duration length)
{
    std::vector<PlannedHostFault> plan;
    if (set == HostFaultSet::None) {
        return plan;
    }
    Random random(seed);
    auto at = FirstFault;
    while (at < length) {
        const int faults = std::uniform_int_distribution<int>(1, MaxSeriesLength)(random);
        for (int n = 0; n < faults && at < length; ++n) {
            PlannedHostFault fault;
            fault.fault = drawFault(random, set);
            fault.host = std::uniform_int_distribution<int>(0, hosts - 1)(random);
            fault.at = at;
            fault.length = drawDuration(random, 200ms, 1900ms);
            plan.push_back(fault);
            at += drawDuration(random, 500ms, 4s);
        }
        at += QuietTime;
    }
    return plan;
}

} // namespace monsoonspool::soak
