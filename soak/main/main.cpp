#include "soak/soak.h"
#include "soak/soakreport.h"

#include <tclap/CmdLine.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <unistd.h>

using namespace monsoonspool;

namespace {

constexpr int ExitViolation = 1;
constexpr int ExitInterrupted = 130;
constexpr int MaxHosts = 40;
constexpr int MaxWorkers = 200;
constexpr int MaxClients = 100;
constexpr int MaxStoreDelayMs = 1000;

std::string ownFolder()
{
    return std::filesystem::canonical("/proc/self/exe").parent_path().string();
}

std::string makeFolder(std::uint64_t seed)
{
    const auto folder = std::filesystem::temp_directory_path()
        / ("monsoonspool-soak-" + std::to_string(seed) + "-" + std::to_string(getpid()));
    std::filesystem::create_directories(folder);
    return folder.string();
}

void writeCommand(const std::string &folder, int argc, char **argv)
{
    std::ofstream file(folder + "/command.txt");
    for (int n = 0; n < argc; ++n) {
        file << (n == 0 ? "" : " ") << argv[n];
    }
    file << "\n";
}

Result<int> run(int argc, char **argv)
{
    TCLAP::CmdLine line("monsoonspool-soak: plays real processes under injected faults and checks the promises", ' ',
                        MONSOONSPOOL_VERSION);
    TCLAP::ValueArg<std::uint64_t> seed("", "seed", "of the jobs and the faults", true, 1, "N", line);
    TCLAP::ValueArg<int> seconds("", "seconds", "in which jobs are submitted", false, 20, "S", line);
    TCLAP::ValueArg<int> hosts("", "hosts", "processes of entry hosts", false, 3, "H", line);
    TCLAP::ValueArg<int> workers("", "workers", "", false, 6, "W", line);
    TCLAP::ValueArg<int> clients("", "clients", "with one job at a time each", false, 6, "N", line);
    TCLAP::ValueArg<std::string> connections("", "worker-connections",
                                             "keep, end-each, end-after, end-idle, reset, ignore-orders or mix", false,
                                             "keep", "KIND", line);
    TCLAP::ValueArg<int> storeDelay("", "store-delay-ms", "of each answer of the store", false, 0, "N", line);
    TCLAP::ValueArg<std::string> signals("", "host-signals", "none, pause, kill, stop or mix", false, "none", "KIND",
                                         line);
    TCLAP::ValueArg<std::string> program("", "program", "path of monsoonspool-execution", false,
                                         ownFolder() + "/monsoonspool-execution", "FILE", line);
    TCLAP::SwitchArg json("", "json", "print one line", line);
    TCLAP::SwitchArg keepsLogs("", "keep-logs", "keep the folder of logs also if no promise is broken", line);
    line.parse(argc, argv);
    const auto isWithin = [](int n, int last) { return n >= 1 && n <= last; };
    if (!isWithin(hosts.getValue(), MaxHosts) || !isWithin(workers.getValue(), MaxWorkers)
        || !isWithin(clients.getValue(), MaxClients) || seconds.getValue() < 1) {
        return fail(ErrorKind::InvalidArguments,
                    "at most 40 hosts, 200 workers and 100 clients are supported, and at least one of each");
    }
    soak::SoakOptions options;
    options.seed = seed.getValue();
    options.seconds = seconds.getValue();
    options.hosts = hosts.getValue();
    options.workers = workers.getValue();
    options.clients = clients.getValue();
    BOOST_LEAF_ASSIGN(options.connections, soak::parseConnectionKind(connections.getValue()));
    options.storeDelay = std::chrono::milliseconds(std::clamp(storeDelay.getValue(), 0, MaxStoreDelayMs));
    BOOST_LEAF_ASSIGN(options.hostFaults, soak::parseHostFaultSet(signals.getValue()));
    options.program = program.getValue();
    options.folder = makeFolder(options.seed);
    writeCommand(options.folder, argc, argv);
    soak::SoakResult result;
    BOOST_LEAF_CHECK(soak::playSoak(options, result));
    const bool isKept = result.verdict.isKept();
    if (json.getValue()) {
        std::cout << codec::writeJson(soak::encodeReport(options, result)) << "\n";
    } else {
        std::cout << soak::formatReport(options, result);
    }
    if (result.isInterrupted) {
        std::cerr << "interrupted; the logs are in " << options.folder << "\n";
        return ExitInterrupted;
    }
    if (isKept && !keepsLogs.getValue()) {
        std::filesystem::remove_all(options.folder);
    } else {
        std::cerr << (isKept ? "" : "a promise is broken; ") << "the logs are in " << options.folder << "\n";
    }
    return isKept ? 0 : ExitViolation;
}

} // namespace

int main(int argc, char **argv)
{
    return handleFailure([&] { return run(argc, argv); },
                         [](const Failure &failure) {
                             const auto &row = errorInfo(failure.kind);
                             std::cerr << "monsoonspool-soak: " << row.name << ": " << failure.detail << "\n";
                             return row.exitStatus;
                         });
}
