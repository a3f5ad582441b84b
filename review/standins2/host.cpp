#include "host.h"

#include <nlohmann/json.hpp>

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

constexpr int MaxDescriptors = 4096;

} // namespace

Host::Host(asio::io_context &io, HostOptions options)
    : m_options(std::move(options)), m_clients(freePort(io)), m_ready(freePort(io)), m_control(freePort(io)),
      m_settings(m_options.folder + "/" + m_options.name + ".json")
{
    const auto address = [](unsigned short port) { return "127.0.0.1:" + std::to_string(port); };
    const nlohmann::json json{{"name", m_options.name},
                              {"region", m_options.region},
                              {"failureDomain", m_options.zone},
                              {"clientAddress", address(m_clients)},
                              {"readyAddress", address(m_ready)},
                              {"controlAddress", address(m_control)},
                              {"storeAddress", address(m_options.store)},
                              {"storeRowBytes", 65536},
                              {"checkpointIntervalSeconds", 2},
                              {"restoreMs", 250},
                              {"runStopMs", 900},
                              {"processorShare", 0.1},
                              {"logLinesPerSecond", 100},
                              {"remoteRunTimeFactor", 3},
                              {"stopGraceSeconds", 6}};
    std::ofstream(m_settings) << json.dump(2) << "\n";
}

Host::~Host()
{
    signal(SIGKILL);
    wait();
}

void Host::start()
{
    const auto log = m_options.folder + "/" + m_options.name + ".log";
    m_pid = fork();
    if (m_pid < 0) {
        throw std::runtime_error("cannot start a process");
    }
    if (m_pid == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        const rlimit noCores{0, 0};
        setrlimit(RLIMIT_CORE, &noCores);
        const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(out, STDOUT_FILENO);
        dup2(out, STDERR_FILENO);
        for (int fd = STDERR_FILENO + 1; fd < MaxDescriptors; ++fd) {
            close(fd); // the ports and connections of the stand-ins
        }
        setenv("MONSOONSPOOL_BOOT", m_settings.c_str(), 1);
        execl(m_options.program.c_str(), m_options.program.c_str(), nullptr);
        _exit(127);
    }
}

void Host::signal(int number) const
{
    if (m_pid > 0) {
        kill(m_pid, number);
    }
}

void Host::wait()
{
    if (m_pid > 0) {
        waitpid(m_pid, nullptr, 0);
        m_pid = -1;
    }
}

std::optional<int> Host::poll()
{
    int status = 0;
    if (m_pid <= 0 || waitpid(m_pid, &status, WNOHANG) != m_pid) {
        return std::nullopt;
    }
    m_pid = -1;
    return status;
}

} // namespace review
