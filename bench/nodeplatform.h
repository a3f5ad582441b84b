#pragma once

#include "ports/hostlist.h"
#include "ports/objectstore.h"
#include "ports/scheduler.h"
#include "ports/tableservice.h"
#include "ports/workeragent.h"

#include <functional>
#include <utility>

namespace monsoonspool::bench {

// The platform services as one node reaches them: the network in between may be
// disconnected, and the process may be paused or dead when a reply arrives.
class NodePlatform : public ports::TableService,
                     public ports::ObjectStore,
                     public ports::HostList,
                     public ports::WorkerAgent
{
public:
    struct Services
    {
        ports::Scheduler &scheduler;
        ports::TableService &table;
        ports::ObjectStore &objects;
        ports::HostList &hosts;
        ports::WorkerAgent &workers;
    };
    // Runs a function in the node's process as soon as the process can run.
    using Runner = std::function<void(std::function<void()>)>;

    NodePlatform(Services services, Runner runner) : m_services(services), m_runner(std::move(runner))
    {
    }

    void setDisconnected(bool isDisconnected)
    {
        m_isDisconnected = isDisconnected;
    }

    void read(std::string_view key, ports::Handler<std::optional<ports::Row>> handler) override
    {
        if (!checkReachable(handler, ErrorKind::StoreUnavailable)) {
            return;
        }
        m_services.table.read(key, replyOnNode(std::move(handler)));
    }
    void scan(std::string_view first, std::string_view last, int limit,
              ports::Handler<std::vector<ports::Row>> handler) override
    {
        if (!checkReachable(handler, ErrorKind::StoreUnavailable)) {
            return;
        }
        m_services.table.scan(first, last, limit, replyOnNode(std::move(handler)));
    }
    void commit(std::span<const ports::RowWrite> writes, ports::Handler<std::uint64_t> handler) override
    {
        if (!checkReachable(handler, ErrorKind::StoreReplyLost)) {
            return;
        }
        m_services.table.commit(writes, replyOnNode(std::move(handler)));
    }
    void put(std::string_view name, std::string_view value, ports::Handler<ports::Done> handler) override
    {
        if (!checkReachable(handler, ErrorKind::StoreReplyLost)) {
            return;
        }
        m_services.objects.put(name, value, replyOnNode(std::move(handler)));
    }
    void get(std::string_view name, ports::Handler<std::optional<std::string>> handler) override
    {
        if (!checkReachable(handler, ErrorKind::StoreUnavailable)) {
            return;
        }
        m_services.objects.get(name, replyOnNode(std::move(handler)));
    }
    void remove(std::string_view name, ports::Handler<ports::Done> handler) override
    {
        if (!checkReachable(handler, ErrorKind::StoreReplyLost)) {
            return;
        }
        m_services.objects.remove(name, replyOnNode(std::move(handler)));
    }
    void list(ports::Handler<ports::HostListing> handler) override
    {
        if (!checkReachable(handler, ErrorKind::StoreUnavailable)) {
            return;
        }
        m_services.hosts.list(replyOnNode(std::move(handler)));
    }
    void start(const WorkerId &worker, const ports::StartOrder &order, ports::Handler<ports::Done> handler) override
    {
        m_services.workers.start(worker, order, replyOnNode(std::move(handler)));
    }
    void renew(const WorkerId &worker, Epoch epoch, Duration lease, std::span<const ports::AttemptId> acknowledged,
               ports::Handler<ports::WorkerReport> handler) override
    {
        m_services.workers.renew(worker, epoch, lease, acknowledged, replyOnNode(std::move(handler)));
    }
    void stop(const WorkerId &worker, Epoch epoch, const ports::AttemptId &attempt,
              ports::Handler<ports::Done> handler) override
    {
        m_services.workers.stop(worker, epoch, attempt, replyOnNode(std::move(handler)));
    }
    void checkpoint(const WorkerId &worker, Epoch epoch, const ports::AttemptId &attempt,
                    ports::Handler<ports::Done> handler) override
    {
        m_services.workers.checkpoint(worker, epoch, attempt, replyOnNode(std::move(handler)));
    }
    void throttle(const WorkerId &worker, Epoch epoch, const ports::AttemptId &attempt, double processorShare,
                  ports::Handler<ports::Done> handler) override
    {
        m_services.workers.throttle(worker, epoch, attempt, processorShare, replyOnNode(std::move(handler)));
    }

private:
    static constexpr Duration DisconnectedCallTimeout = 1s;

    template <typename T>
    ports::Handler<T> replyOnNode(ports::Handler<T> handler)
    {
        return [runner = m_runner, handler = std::move(handler)](const ports::AsyncResult<T> &result) {
            runner([handler, result] { handler(result); });
        };
    }

    // Returns whether the platform is reachable. If not, the call has no effect and
    // `handler` fails with `kind` after a timeout: the caller cannot tell whether
    // the call took effect.
    template <typename T>
    bool checkReachable(ports::Handler<T> &handler, ErrorKind kind)
    {
        if (!m_isDisconnected) {
            return true;
        }
        auto reply = replyOnNode<T>(std::move(handler));
        m_services.scheduler.runAfter(DisconnectedCallTimeout, [reply = std::move(reply), kind] {
            reply(Failure{kind, "no reply"});
        });
        return false;
    }

    Services m_services;
    Runner m_runner;
    bool m_isDisconnected = false;
};

} // namespace monsoonspool::bench
