#pragma once

#include "common/error.h"
#include "common/time.h"
#include "documents/servicedocument.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

// Experiments on guests' requests, as a user writes them; docs/BENCH.md gives the
// format.
namespace monsoonspool::bench {

// One kind of request.
struct FlowLoad
{
    std::string service;
    std::string urgency;
    Duration meanService = 100ms;
    double sizeSpread = 1; // of the logarithm of the service times; 0 makes them equal
    bool isIdempotent = false;
};

// A stretch of time with fixed rates.
struct Phase
{
    std::string name;
    Duration length{0};
    std::vector<double> rates; // requests a second, one for each flow
    bool isMeasured = true;
};

// What befalls the world at a time.
struct ScenarioFault
{
    enum class Kind {
        KillHost, // `count` entry hosts, starting with number `first`
        PauseHost,
        ResumeHost,
        RestartHost,
        SlowTargets, // by `factor`
        FailTargets, // they answer errors at once
        DeadTargets, // they refuse connections
        LeaveTargets,
        HealTargets,
        StoreDown,
        StoreUp,
        StoreSlow, // every call takes `factor` seconds
        StoreLosesReplies, // a part `factor` of the commits
        CutRegions,
        JoinRegions,
        LoseMessages, // a part `factor` of the peers' messages
    };
    Kind kind = Kind::KillHost;
    Duration at{0};
    int first = 0;
    int count = 1;
    double factor = 1;
};

struct RegionShape
{
    std::string name;
    int entryHosts = 1;
    int targets = 1;
};

struct Scenario
{
    std::string name;
    std::string about;
    std::vector<RegionShape> regions;
    std::vector<std::string> documents; // texts
    std::vector<FlowLoad> flows;
    std::vector<Phase> phases;
    std::vector<ScenarioFault> faults;
    Duration settle = 20s; // after the last phase
};

// Returns the names of the scenarios that ship, with what each is about.
std::vector<std::pair<std::string_view, std::string_view>> builtInScenarios();

// Returns a scenario that ships, or reads one from a file.
// Fails with InvalidArguments and tells every fault.
Result<Scenario> loadScenario(const std::string &nameOrFile);

// Checks and decodes the text of a scenario. Fails with InvalidArguments.
Result<Scenario> decodeScenario(std::string_view text);

// Returns the text of a scenario that ships, empty for an unknown name.
std::string builtInScenarioText(std::string_view name);

} // namespace monsoonspool::bench
