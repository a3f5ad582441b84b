#include "host.h"

#include "record.h"

#include <nlohmann/json.hpp>

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <fstream>

namespace review {

namespace {

constexpr const char *Program = "target/monsoonspool-execution";
constexpr int CallTimeoutMs = 800;

} // namespace

Host::Host(HostOptions options, Record &record) : m_options(std::move(options)), m_record(record)
{
    for (auto *it : {&m_front, &m_ready, &m_control}) {
        *it = {m_options.ip, freePort(m_options.ip)};
    }
    writeSettings();
}

Host::~Host()
{
    kill();
}

// The fields of deploy/settings.json, with the figures of the site.
void Host::writeSettings() const
{
    const nlohmann::json settings = {{"name", m_options.name},
                                     {"region", m_options.region},
                                     {"failureDomain", m_options.zone},
                                     {"clientAddress", m_front.text()},
                                     {"readyAddress", m_ready.text()},
                                     {"controlAddress", m_control.text()},
                                     {"storeAddress", m_options.store.text()},
                                     {"storeRowBytes", 65536},
                                     {"checkpointIntervalSeconds", 2},
                                     {"restoreMs", 250},
                                     {"runStopMs", 900},
                                     {"processorShare", 0.1},
                                     {"logLinesPerSecond", 100},
                                     {"remoteRunTimeFactor", 3},
                                     {"stopGraceSeconds", 6}};
    std::ofstream(m_options.folder + "/" + m_options.name + ".json") << settings.dump(2);
}

void Host::start()
{
    const auto settings = "MONSOONSPOOL_BOOT=" + m_options.folder + "/" + m_options.name + ".json";
    const auto log = m_options.folder + "/" + m_options.name + ".log";
    const pid_t child = fork();
    if (child == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL); // ends with this program, also if that is killed
        const int file = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(file, STDOUT_FILENO);
        dup2(file, STDERR_FILENO);
        const char *arguments[] = {Program, nullptr};
        const char *environment[] = {settings.c_str(), "PATH=/usr/bin:/bin", "LANG=C", nullptr};
        execve(Program, const_cast<char **>(arguments), const_cast<char **>(environment));
        _exit(127);
    }
    m_process = child;
    m_record.note("host-start", m_options.name);
}

void Host::signal(int number)
{
    if (m_process > 0) {
        m_record.note("host-signal", m_options.name + " " + std::to_string(number));
        ::kill(m_process, number);
    }
}

void Host::kill()
{
    if (m_process > 0) {
        signal(SIGKILL);
        waitpid(m_process, nullptr, 0);
        m_process = 0;
    }
}

bool Host::isRunning()
{
    if (m_process > 0 && waitpid(m_process, nullptr, WNOHANG) == m_process) {
        m_process = 0;
    }
    return m_process > 0;
}

double Host::memoryMb() const
{
    if (m_process <= 0) {
        return 0;
    }
    std::ifstream file("/proc/" + std::to_string(m_process) + "/statm");
    double size = 0;
    double resident = 0;
    file >> size >> resident;
    return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1e6;
}

bool Host::isReady() const
{
    return call(m_ready, "GET", "/ready", "Host: ready\r\n", {}, CallTimeoutMs).status == 200;
}

bool Host::isLeader() const
{
    const auto answer = call(m_control, "GET", "/state", "Host: control\r\n", {}, CallTimeoutMs);
    return answer.body.find("\"isLeader\": true") != std::string::npos;
}

} // namespace review
