#pragma once

#include "common/error.h"
#include "daemon/settings.h"

#include <memory>
#include <string>

namespace monsoonspool::daemon {

struct DaemonOptions
{
    bool isStandalone = false;
    std::string version;
    bool printsAddresses = false; // prints the bound addresses as one JSON line to standard output
};

// One entry host. The thread that calls run() is the control thread; the lanes run the
// traffic threads.
class Daemon
{
public:
    Daemon(Settings settings, DaemonOptions options);
    ~Daemon();
    Daemon(const Daemon &) = delete;
    Daemon &operator=(const Daemon &) = delete;

    // Runs until SIGTERM or SIGINT, then drains and returns. SIGHUP reloads the keys.
    // Fails with AddressInUse or InvalidSettings before any lane has started.
    Result<void> run();

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace monsoonspool::daemon
