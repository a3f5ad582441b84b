#pragma once

#include "host.h"
#include "record.h"
#include "runner.h"
#include "store.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace review {

struct CaseOptions
{
    std::string program; // of the entry hosts
    std::string folder; // for settings and logs, removed afterwards
    std::string record; // path of record.txt
    bool hasTrouble = true;
};

// A small deployment: the store, runners, three entry hosts and a client.
class Deployment
{
public:
    explicit Deployment(const CaseOptions &options);

    Runner &addRunner(RunnerOptions options);
    // Writes a configuration with one queue and starts the runners and the hosts. Returns whether all
    // hosts became ready.
    asio::awaitable<bool> start();

    // Hands in a job as a client does, with repetitions at the next host. Returns the last status.
    asio::awaitable<int> submit(std::string id, std::string body);
    // Returns the state of a job as a host shows it, or its status.
    asio::awaitable<std::string> state(std::string id, std::size_t host);
    asio::awaitable<int> cancel(std::string id, std::size_t host);

    asio::io_context &io()
    {
        return m_io;
    }
    Record &record()
    {
        return m_record;
    }
    Store &store()
    {
        return m_store;
    }
    std::vector<std::unique_ptr<Runner>> &runners()
    {
        return m_runners;
    }
    std::vector<std::unique_ptr<Host>> &hosts()
    {
        return m_hosts;
    }
    const std::vector<Start> &starts() const
    {
        return m_starts;
    }
    bool hasTrouble() const
    {
        return m_options.hasTrouble;
    }

private:
    CaseOptions m_options;
    asio::io_context m_io;
    Record m_record;
    Store m_store;
    std::vector<Start> m_starts;
    std::vector<std::unique_ptr<Runner>> m_runners;
    std::vector<std::unique_ptr<Host>> m_hosts;
    std::size_t m_nextHost = 0;
};

// The cases. Each returns the exit status: 0 if the rule held, 1 if it was broken, 2 if it could not run.
asio::awaitable<int> playRebornRunners(Deployment &deployment);
asio::awaitable<int> playRollingStops(Deployment &deployment);

} // namespace review
