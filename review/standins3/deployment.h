// A small deployment on loopback addresses: store, runners, hosts, and calls of clients.
#pragma once

#include "host.h"
#include "record.h"
#include "runner.h"
#include "store.h"

#include <memory>
#include <string>
#include <vector>

namespace review {

struct DeploymentOptions
{
    int hosts = 3;
    int runners = 8;
};

// The routes of kerbrat-spool, in its order: initials-proof, cut-stitch-plan, night-sewing-watch.
struct Route
{
    std::string host;
    std::string prefix;
};

class Deployment
{
public:
    Deployment(const DeploymentOptions &options, Record &record, WorkTime workTime);
    ~Deployment();
    Deployment(const Deployment &) = delete;
    Deployment &operator=(const Deployment &) = delete;

    // Starts the hosts and waits until one leads and all are ready. Returns false if that takes too long.
    bool start();
    Host *leader();

    // A client's call about a job, at one host.
    Answer submit(Host &host, const Route &route, const std::string &id, const std::string &body);
    Answer status(Host &host, const Route &route, const std::string &id, int timeoutMs = 3000);
    Answer cancel(Host &host, const Route &route, const std::string &id);

    Store &store()
    {
        return *m_store;
    }
    std::vector<std::unique_ptr<Host>> &hosts()
    {
        return m_hosts;
    }
    std::vector<std::unique_ptr<Runner>> &runners()
    {
        return m_runners;
    }
    const std::vector<Route> &routes() const
    {
        return m_routes;
    }

private:
    Answer callHost(Host &host, const Route &route, const std::string &method, const std::string &id,
                    const std::string &body, int timeoutMs);

    Record &m_record;
    std::string m_folder;
    std::vector<Route> m_routes;
    std::unique_ptr<Store> m_store;
    std::vector<std::unique_ptr<Runner>> m_runners;
    std::vector<std::unique_ptr<Host>> m_hosts;
};

} // namespace review
