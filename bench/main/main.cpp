#include "bench/capacity.h"
#include "bench/leaderbench.h"
#include "bench/proxybench.h"
#include "bench/report.h"
#include "bench/scenario.h"

#include <tclap/CmdLine.h>

#include <filesystem>
#include <iostream>

using namespace monsoonspool;

namespace {

constexpr int ExitViolation = 3;
constexpr int Indent = 2;

// Returns the folder of this executable, which also holds the other programs.
std::string ownFolder()
{
    return std::filesystem::canonical("/proc/self/exe").parent_path().string();
}

void print(const codec::Json &json, bool isJson)
{
    std::cout << codec::writeJson(json, isJson ? -1 : Indent) << "\n";
}

Result<int> runCommand(int argc, char **argv)
{
    TCLAP::CmdLine line("monsoonspool-bench: runs experiments in virtual time, and measures the real daemon", ' ',
                        MONSOONSPOOL_VERSION);
    TCLAP::UnlabeledValueArg<std::string> command(
        "command", "list, show, run, proxy, scale, placement, slots or leader", true, "", "COMMAND", line);
    TCLAP::UnlabeledValueArg<std::string> scenarioName("scenario", "of show and run: a scenario's name or file", false,
                                                       "", "NAME|FILE", line);
    TCLAP::ValueArg<std::uint64_t> seed("", "seed", "of run; equal seeds give equal runs", false, 1, "N", line);
    TCLAP::SwitchArg json("", "json", "print one line", line);
    TCLAP::SwitchArg noBaselines("", "no-baselines", "of run: the system alone", line);
    TCLAP::ValueArg<int> connections("", "connections", "of proxy", false, 64, "N", line);
    TCLAP::ValueArg<int> seconds("", "seconds", "of proxy and leader: length of each measurement", false, 5, "N", line);
    TCLAP::ValueArg<int> workers("", "workers", "of leader", false, 1100, "N", line);
    TCLAP::ValueArg<int> startsPerSecond("", "starts-per-second", "of leader", false, 2400, "N", line);
    line.parse(argc, argv);
    if (command.getValue() == "list") {
        for (const auto &[name, about] : bench::builtInScenarios()) {
            std::cout << name << ": " << about << "\n";
        }
        return 0;
    }
    if (command.getValue() == "show") {
        const auto text = bench::builtInScenarioText(scenarioName.getValue());
        if (text.empty()) {
            return fail(ErrorKind::InvalidArguments, "there is no scenario '" + scenarioName.getValue() + "'");
        }
        std::cout << text << "\n";
        return 0;
    }
    if (command.getValue() == "run") {
        BOOST_LEAF_AUTO(scenario, bench::loadScenario(scenarioName.getValue()));
        const auto result = bench::runScenario(scenario, seed.getValue(), !noBaselines.getValue());
        print(result.json, json.getValue());
        return result.violations.empty() ? 0 : ExitViolation;
    }
    if (command.getValue() == "proxy") {
        bench::ProxyOptions options;
        options.programFolder = ownFolder();
        options.connections = connections.getValue();
        options.seconds = seconds.getValue();
        BOOST_LEAF_AUTO(stats, bench::measureProxy(options));
        print(stats, json.getValue());
        return 0;
    }
    if (command.getValue() == "scale") {
        print(bench::measureScale(seed.getValue()), json.getValue());
        return 0;
    }
    if (command.getValue() == "placement") {
        print(bench::measurePlacement(), json.getValue());
        return 0;
    }
    if (command.getValue() == "slots") {
        print(bench::measureSlots(), json.getValue());
        return 0;
    }
    if (command.getValue() == "leader") {
        BOOST_LEAF_AUTO(profile,
                        bench::measureLeader({workers.getValue(), startsPerSecond.getValue(), seconds.getValue()}));
        print(profile, json.getValue());
        return 0;
    }
    return fail(ErrorKind::InvalidArguments, "there is no command '" + command.getValue() + "'");
}

} // namespace

int main(int argc, char **argv)
{
    return handleFailure([&] { return runCommand(argc, argv); },
                         [](const Failure &failure) {
                             const auto &row = errorInfo(failure.kind);
                             std::cerr << "monsoonspool-bench: " << row.name << ": " << failure.detail << "\n";
                             return row.exitStatus;
                         });
}
