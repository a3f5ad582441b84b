#pragma once

#include "http.h"

#include <optional>
#include <string>

#include <sys/types.h>

namespace review {

struct HostOptions
{
    std::string program;
    std::string folder; // for the settings and the log
    std::string name;
    std::string zone;
    std::string region;
    unsigned short store = 0;
};

// A process of the program under review, with the settings that the deploy file's template gives it.
class Host
{
public:
    Host(asio::io_context &io, HostOptions options);
    ~Host();
    Host(const Host &) = delete;
    Host &operator=(const Host &) = delete;

    void start();
    void signal(int number) const;
    // Waits for the end of the process.
    void wait();
    // Returns the status of the process as waitpid() gives it, once it has ended.
    std::optional<int> poll();
    unsigned short clients() const
    {
        return m_clients;
    }
    unsigned short ready() const
    {
        return m_ready;
    }
    const std::string &name() const
    {
        return m_options.name;
    }

private:
    HostOptions m_options;
    unsigned short m_clients;
    unsigned short m_ready;
    unsigned short m_control;
    std::string m_settings;
    pid_t m_pid = -1;
};

} // namespace review
