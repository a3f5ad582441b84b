#pragma once

#include "bench/childprocess.h"
#include "codec/json.h"
#include "common/error.h"
#include "ports/hostlist.h"

#include <filesystem>
#include <memory>
#include <string>
#include <vector>

namespace monsoonspool::bench {

// A daemon as a process, with the addresses that it took.
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
    std::string programFolder;
    std::vector<LocalRegion> regions;
    std::vector<std::string> documents; // texts; each pool gets all targets
    int workers = 0;
    int serviceMs = 5;
    int startWindowMs = 60'000;
    std::string keyFile;
};

// The real programs on loopback: one emulated platform with sample targets, and
// daemons around it.
class LocalSystem
{
public:
    // Starts everything, and returns once the daemons serve.
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

    // Starts a daemon again under the same name, as a new process.
    Result<void> restart(std::size_t n);

    // Tells the platform that the targets with these numbers are leaving.
    Result<void> publishHosts(const std::vector<std::size_t> &leavingTargets);

    // Returns the counts of a sample target.
    Result<codec::Json> targetCounts(std::size_t n) const;

private:
    explicit LocalSystem(LocalOptions options);

    Result<void> startPlatform();
    Result<LocalDaemon> startDaemon(const std::string &name, const std::string &region);
    Result<void> applyDocuments();
    Result<void> awaitReady();
    std::string describeAll() const;

    LocalOptions m_options;
    std::filesystem::path m_folder;
    std::vector<std::string> m_targetRegions;
    std::unique_ptr<ChildProcess> m_platform;
    ports::Address m_platformAddress;
    std::vector<ports::Address> m_targets;
    std::vector<LocalDaemon> m_daemons;
    std::vector<std::string> m_daemonRegions;
};

} // namespace monsoonspool::bench
