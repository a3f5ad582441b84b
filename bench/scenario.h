#pragma once

#include "common/error.h"
#include "common/time.h"
#include "documents/servicedocument.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

// Experiments with guests' requests in virtual time. docs/BENCH.md describes the
// file format.
namespace monsoonspool::bench {

// The requests of one urgency class of a service.
struct FlowLoad
{
    std::string service;
    std::string urgency;
    Duration meanServiceTime = 100ms;
    double sizeSpread = 1; // standard deviation of the logarithm of the service time; 0 gives a fixed time
    bool isIdempotent = false;
};

// An interval with fixed arrival rates.
struct Phase
{
    std::string name;
    Duration length{0};
    std::vector<double> rates; // requests per second, one entry per flow
    bool isMeasured = true;
};

// A fault that is injected, or a fault that is repaired, at a given time.
struct ScenarioFault
{
    enum class Kind {
        KillHost, // `count` entry hosts, starting with index `first`
        PauseHost,
        ResumeHost,
        RestartHost,
        SlowTargets, // service times are multiplied by `factor`
        FailTargets, // answer every request with an error
        DeadTargets, // refuse connections
        LeaveTargets,
        HealTargets,
        StoreDown,
        StoreUp,
        StoreSlow, // every call takes `factor` seconds
        StoreLosesReplies, // the fraction `factor` of the calls' replies
        CutRegions,
        JoinRegions,
        LoseMessages, // the fraction `factor` of the messages between daemons
    };
    Kind kind = Kind::KillHost;
    Duration at{0}; // after the start of the first phase
    int first = 0;
    int count = 1;
    double factor = 1;
};

struct RegionSpec
{
    std::string name;
    int entryHosts = 1;
    int targets = 1;
};

struct Scenario
{
    std::string name;
    std::string about;
    std::vector<RegionSpec> regions;
    std::vector<std::string> documents; // service documents as JSON
    std::vector<FlowLoad> flows;
    std::vector<Phase> phases;
    std::vector<ScenarioFault> faults;
    Duration settleTime = 20s; // after the last phase
};

// Returns the names and descriptions of the built-in scenarios.
std::vector<std::pair<std::string_view, std::string_view>> builtInScenarios();

// Returns a built-in scenario, or reads one from a file. Fails with
// InvalidArguments; the error lists every fault of the file.
Result<Scenario> loadScenario(const std::string &nameOrFile);

// Validates and decodes a scenario. Fails with InvalidArguments.
Result<Scenario> decodeScenario(std::string_view text);

// Returns a built-in scenario as JSON, or an empty string for an unknown name.
std::string builtInScenarioText(std::string_view name);

} // namespace monsoonspool::bench
