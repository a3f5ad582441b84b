// A process of the system on an entry host, started as the deploy file says.
#pragma once

#include "http.h"

#include <sys/types.h>

#include <string>

namespace review {

class Record;

struct HostOptions
{
    std::string name;
    std::string region;
    std::string zone;
    std::string ip;
    Address store;
    std::string folder; // for the settings file and the log
};

class Host
{
public:
    Host(HostOptions options, Record &record);
    ~Host();
    Host(const Host &) = delete;
    Host &operator=(const Host &) = delete;

    void start();
    void signal(int number);
    // Kills the process and waits for its end.
    void kill();
    bool isRunning();
    // Resident memory in MB; 0 if the process does not run.
    double memoryMb() const;
    bool isReady() const;
    bool isLeader() const;

    const std::string &name() const
    {
        return m_options.name;
    }
    const Address &front() const
    {
        return m_front;
    }

private:
    void writeSettings() const;

    HostOptions m_options;
    Record &m_record;
    Address m_front;
    Address m_ready;
    Address m_control;
    pid_t m_process = 0;
};

} // namespace review
