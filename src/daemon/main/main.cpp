#include "codec/json.h"
#include "daemon/daemon.h"
#include "daemon/settingsjson.h"
#include "logging/log.h"

#include <tclap/CmdLine.h>

#include <iostream>

using namespace monsoonspool;

namespace {

struct Arguments
{
    std::string settingsPath;
    bool isStandalone = false;
    bool printsAddresses = false;
};

daemon::Settings standaloneSettings()
{
    daemon::Settings settings;
    settings.name = EntryHostId("standalone");
    settings.region = RegionName("region-1");
    settings.domain = FailureDomain("domain-1");
    settings.guestAddress = {"127.0.0.1", 8080};
    settings.operatorAddress = {"127.0.0.1", 8081};
    settings.peerAddress = {"127.0.0.1", 8082};
    return settings;
}

Result<daemon::Settings> loadSettings(const Arguments &arguments)
{
    if (arguments.settingsPath.empty()) {
        if (arguments.isStandalone) {
            return standaloneSettings();
        }
        return fail(ErrorKind::InvalidArguments, "missing option: --settings FILE or --standalone");
    }
    BOOST_LEAF_AUTO(text, daemon::readFile(arguments.settingsPath));
    auto decoded = daemon::decodeSettings(text);
    if (!arguments.isStandalone && decoded.faults.empty() && !decoded.settings.platformAddress) {
        decoded.faults.push_back({"platformAddress", "is required unless the daemon runs with --standalone"});
    }
    if (decoded.faults.empty()) {
        return std::move(decoded.settings);
    }
    for (const auto &it : decoded.faults) {
        std::cerr << arguments.settingsPath << ": " << (it.path.empty() ? "(root)" : it.path) << " " << it.problem
                  << "\n";
    }
    return fail(ErrorKind::InvalidSettings,
                std::to_string(decoded.faults.size()) + " faults in " + arguments.settingsPath);
}

Result<int> runDaemon(const Arguments &arguments)
{
    BOOST_LEAF_AUTO(settings, loadSettings(arguments));
    BOOST_LEAF_CHECK(logging::configure(settings.logLevel, settings.logFormat));
    daemon::Daemon instance(std::move(settings),
                            {arguments.isStandalone, MONSOONSPOOL_VERSION, arguments.printsAddresses});
    BOOST_LEAF_CHECK(instance.run());
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    TCLAP::CmdLine line("monsoonspoold: one entry host of the monsoonspool scheduler", ' ', MONSOONSPOOL_VERSION);
    TCLAP::ValueArg<std::string> settings("", "settings", "JSON file with the daemon's settings", false, "", "FILE",
                                          line);
    TCLAP::SwitchArg standalone("", "standalone", "run with an in-memory platform, sample targets and sample workers",
                                line);
    TCLAP::SwitchArg printAddresses("", "print-addresses", "print the bound addresses as one JSON line after startup",
                                    line);
    line.parse(argc, argv);
    const Arguments arguments{settings.getValue(), standalone.getValue(), printAddresses.getValue()};
    return handleFailure([&] { return runDaemon(arguments); },
                         [](const Failure &failure) {
                             const auto &row = errorInfo(failure.kind);
                             std::cerr << "monsoonspoold: " << row.name << ": " << failure.detail << "\n";
                             return row.exitStatus;
                         });
}
