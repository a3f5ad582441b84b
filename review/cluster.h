#pragma once

#include "standin.h"

#include <map>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace standin {

struct RunnerProcess
{
    RunnerOptions options;
    pid_t process = -1;
};

struct EntryHost
{
    std::string name;
    int clientPort = 0;
    int readyPort = 0;
    int controlPort = 0;
    std::string settings;
    pid_t process = -1;
};

// A small deployment on loopback: the store, runners, and entry hosts that run the project's
// own program. Everything that was started is killed by the destructor.
class Cluster
{
public:
    static constexpr int ClientTimeoutMs = 3000; // the route's deadline
    static constexpr const char *Host = "desk.example";
    static constexpr const char *Service = "desk-service";

    // `record` is the file that the runners and the case write to.
    Cluster(int runners, int hosts, std::string record);
    ~Cluster();
    Cluster(const Cluster &) = delete;
    Cluster &operator=(const Cluster &) = delete;

    // Waits until all entry hosts are ready. Returns false after `timeoutMs`.
    bool awaitReady(int timeoutMs);
    // Starts a runner at the same address, as given by its options.
    void startRunner(std::size_t n);
    void kill(RunnerProcess &runner);
    void startHost(EntryHost &host);
    // Sends SIGTERM to a host and starts it again when it has ended, as the platform does.
    void restartHost(EntryHost &host, int graceMs);
    // Writes an entry of another writer, whose address nobody listens at.
    void writeForeignEntry(const std::string &id, const std::string &service);

    // Writes a row for the operator or for another writer.
    void write(const std::string &table, const std::string &key, const std::string &value);
    // Client calls at the entry host `n`. The answer is empty if there was none.
    std::optional<Response> submit(std::size_t n, const std::string &path, const std::string &body,
                                   int timeoutMs = ClientTimeoutMs);
    std::optional<Response> status(std::size_t n, const std::string &path);
    std::optional<Response> cancel(std::size_t n, const std::string &path);
    // Stops a host's process and lets it run again.
    void freezeHost(const EntryHost &host) const;
    void thawHost(const EntryHost &host) const;
    // Returns the host that leads, by its state page.
    std::optional<std::size_t> leader();

    // Returns the number of runs that are active by the record.
    std::size_t activeRuns() const;
    // Returns whether a run of the job is active by the record.
    bool isActive(const std::string &job) const;
    void note(const std::string &line) const;

    std::vector<RunnerProcess> runners;
    std::vector<EntryHost> hosts;

private:
    std::map<std::string, std::string> activeTasks() const;
    pid_t spawn(const std::vector<std::string> &command, const std::string &settings, const std::string &output);

    std::string m_record;
    std::string m_folder;
    int m_storePort = 0;
    pid_t m_store = -1;
};

std::int64_t nowMs();
void sleepMs(int ms);

} // namespace standin
