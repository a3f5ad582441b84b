#include "codec/json.h"
#include "codec/typejson.h"
#include "daemon/asioscheduler.h"
#include "emulator/emulatedplatform.h"
#include "emulator/platformapi.h"
#include "emulator/sampletarget.h"
#include "http/listen.h"

#include <boost/asio/signal_set.hpp>
#include <tclap/CmdLine.h>

#include <csignal>
#include <iostream>

using namespace monsoonspool;

namespace {

struct Arguments
{
    std::string address;
    int targets = 0;
    int serviceMs = 0;
};

Result<int> serve(const Arguments &arguments)
{
    boost::asio::io_context io{1};
    daemon::AsioScheduler scheduler(io);
    ports::NoFaults faults;
    emulator::EmulatedPlatform platform(scheduler, faults);
    emulator::PlatformApi api(platform);
    http::ApiServer server(io, api);
    BOOST_LEAF_AUTO(address, http::parseAddress(arguments.address));
    BOOST_LEAF_CHECK(server.listen(address));
    std::vector<std::unique_ptr<emulator::SampleTarget>> targets;
    codec::Json addresses = codec::Json::array();
    for (int n = 0; n < arguments.targets; ++n) {
        auto target = std::make_unique<emulator::SampleTarget>(
            io, "target-" + std::to_string(n + 1), Duration(std::chrono::milliseconds(arguments.serviceMs)));
        BOOST_LEAF_CHECK(target->listen({address.ip, 0}));
        addresses.push_back(target->address());
        targets.push_back(std::move(target));
    }
    std::cout << codec::writeJson({{"platform", server.address()}, {"targets", addresses}}) << std::endl;
    boost::asio::signal_set signals(io, SIGTERM, SIGINT);
    signals.async_wait([&](const boost::system::error_code &, int) { io.stop(); });
    io.run();
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    TCLAP::CmdLine line(
        "monsoonspool-platform: in-memory platform services and sample targets, for demonstrations and tests", ' ',
        MONSOONSPOOL_VERSION);
    TCLAP::ValueArg<std::string> address("", "address", "address to listen on, as IP:PORT; port 0 selects a free port",
                                         false, "127.0.0.1:0", "IP:PORT", line);
    TCLAP::ValueArg<int> targets("", "targets", "number of sample targets to start", false, 0, "N", line);
    TCLAP::ValueArg<int> service("", "service-ms", "run time of a request at a sample target, in milliseconds", false,
                                 5, "MS", line);
    line.parse(argc, argv);
    const Arguments arguments{address.getValue(), targets.getValue(), service.getValue()};
    return handleFailure([&] { return serve(arguments); },
                         [](const Failure &failure) {
                             std::cerr << "monsoonspool-platform: " << failure.detail << "\n";
                             return errorInfo(failure.kind).exitStatus;
                         });
}
