#pragma once

#include "bench/childprocess.h"
#include "codec/json.h"
#include "common/error.h"
#include "ports/hostlist.h"

#include <filesystem>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace monsoonspool::bench {

// A daemon process and the addresses that it listens on.
struct LocalDaemon
{
    ChildProcess process;
    std::string name;
    ports::Address guests;
    ports::Address operators;
    ports::Address peers;
};

struct LocalRegion
{
    std::string name;
    int daemons = 1;
    int targets = 1;
};

struct LocalOptions
{
    std::string programFolder; // with monsoonspoold and monsoonspool-platform
    std::vector<LocalRegion> regions;
    std::vector<std::string> documents; // service documents as JSON; each pool gets all targets
    int workers = 0;
    int serviceMs = 5;
    int startWindowMs = 60'000;
    std::string keyFile;
    std::optional<ports::Address> targetAddress; // of all targets, in place of the emulated ones
};

// The real programs on loopback: one process with the emulated platform and the
// sample targets, and one process per daemon.
class LocalSystem
{
public:
    // Starts all processes, and returns when every daemon holds slots.
    static Result<std::unique_ptr<LocalSystem>> start(const LocalOptions &options);
    ~LocalSystem();

    std::vector<LocalDaemon> &daemons()
    {
        return m_daemons;
    }
    const std::vector<ports::Address> &targets() const
    {
        return m_targets;
    }
    const ports::Address &platformAddress() const
    {
        return m_platformAddress;
    }

    // Replaces a daemon by a new process under the same name.
    Result<void> restart(std::size_t n);

    // Publishes the host list to the platform, with the targets at the indexes
    // `leavingTargets` marked as leaving.
    Result<void> publishHosts(const std::vector<std::size_t> &leavingTargets);

    // Returns the request counts of a sample target.
    Result<codec::Json> targetCounts(std::size_t n) const;

private:
    explicit LocalSystem(LocalOptions options);

    Result<void> startPlatform();
    Result<LocalDaemon> startDaemon(const std::string &name, const std::string &region);
    Result<void> applyDocuments();
    Result<void> awaitSlots();
    std::string describeDaemonStates() const;

    LocalOptions m_options;
    std::filesystem::path m_settingsFolder;
    std::vector<std::string> m_targetRegions;
    std::unique_ptr<ChildProcess> m_platform;
    ports::Address m_platformAddress;
    std::vector<ports::Address> m_targets;
    std::vector<LocalDaemon> m_daemons;
    std::vector<std::string> m_daemonRegions;
};

} // namespace monsoonspool::bench
