#pragma once

#include "common/error.h"
#include "ports/hostlist.h"

#include <optional>
#include <string>
#include <sys/types.h>

namespace monsoonspool::soak {

struct EntryHostOptions
{
    std::string program; // path of monsoonspool-execution
    std::string folder; // for its settings and its log
    std::string name;
    std::string domain;
    ports::Address store;
};

// A real process of an entry host. The destructor kills it.
class EntryHost
{
public:
    // Writes the settings; the process is started by start().
    explicit EntryHost(EntryHostOptions options);
    ~EntryHost();
    EntryHost(EntryHost &&other) noexcept;
    EntryHost &operator=(EntryHost &&other) = delete;
    EntryHost(const EntryHost &) = delete;
    EntryHost &operator=(const EntryHost &) = delete;

    // Starts the process; its log is appended to that of its earlier lives. Fails with Internal.
    Result<void> start();

    // Sends a signal to the process, if it runs.
    void sendSignal(int number) const;

    // Returns whether the process has ended, and then releases its process number.
    bool reap();

    // Returns whether the last process that reap() has noticed ended in order, with status 0.
    bool hasEndedInOrder() const
    {
        return m_waitStatus == 0;
    }

    // Returns how the last process that reap() has noticed ended, such as "exit status 3", and the last
    // lines of its log. Empty if none has ended.
    std::string describeEnd() const;

    // Returns whether it answers the readiness check. Blocks for at most half a second.
    bool isReady() const;

    const std::string &name() const
    {
        return m_options.name;
    }
    const ports::Address &clientAddress() const
    {
        return m_clients;
    }
    pid_t pid() const
    {
        return m_pid;
    }

private:
    std::string logFile() const;

    EntryHostOptions m_options;
    ports::Address m_clients;
    ports::Address m_ready;
    std::string m_settingsFile;
    pid_t m_pid = -1;
    std::optional<int> m_waitStatus; // of the last process that has ended
};

} // namespace monsoonspool::soak
