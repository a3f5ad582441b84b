#pragma once

#include "ports/hostlist.h"
#include "ports/objectstore.h"
#include "ports/scheduler.h"
#include "ports/tableservice.h"
#include "ports/workeragent.h"

#include <functional>
#include <utility>

namespace monsoonspool::bench {

// The platform as one node reaches it: over the network, which may be cut, and
// from a process that may be paused or dead when the reply comes.
class NodePlatform : public ports::TableService,
                     public ports::ObjectStore,
                     public ports::HostList,
                     public ports::WorkerAgent
{
public:
    struct Shared
    {
        ports::Scheduler &scheduler;
        ports::TableService &table;
        ports::ObjectStore &objects;
        ports::HostList &hosts;
        ports::WorkerAgent &workers;
    };
    // Runs a function on the node, when it can run.
    using Runner = std::function<void(std::function<void()>)>;

    NodePlatform(Shared shared, Runner runner) : m_shared(shared), m_runner(std::move(runner))
    {
    }

    void setCut(bool isCut)
    {
        m_isCut = isCut;
    }

    void read(std::string_view key, ports::Handler<std::optional<ports::Row>> handler) override
    {
        if (!isReachable(handler, ErrorKind::StoreUnavailable)) {
            return;
        }
        m_shared.table.read(key, back(std::move(handler)));
    }
    void scan(std::string_view first, std::string_view last, int limit,
              ports::Handler<std::vector<ports::Row>> handler) override
    {
        if (!isReachable(handler, ErrorKind::StoreUnavailable)) {
            return;
        }
        m_shared.table.scan(first, last, limit, back(std::move(handler)));
    }
    void commit(std::span<const ports::RowWrite> writes, ports::Handler<std::uint64_t> handler) override
    {
        if (!isReachable(handler, ErrorKind::StoreReplyLost)) {
            return;
        }
        m_shared.table.commit(writes, back(std::move(handler)));
    }
    void put(std::string_view name, std::string_view value, ports::Handler<ports::Done> handler) override
    {
        if (!isReachable(handler, ErrorKind::StoreReplyLost)) {
            return;
        }
        m_shared.objects.put(name, value, back(std::move(handler)));
    }
    void get(std::string_view name, ports::Handler<std::optional<std::string>> handler) override
    {
        if (!isReachable(handler, ErrorKind::StoreUnavailable)) {
            return;
        }
        m_shared.objects.get(name, back(std::move(handler)));
    }
    void remove(std::string_view name, ports::Handler<ports::Done> handler) override
    {
        if (!isReachable(handler, ErrorKind::StoreReplyLost)) {
            return;
        }
        m_shared.objects.remove(name, back(std::move(handler)));
    }
    void list(ports::Handler<ports::HostListing> handler) override
    {
        if (!isReachable(handler, ErrorKind::StoreUnavailable)) {
            return;
        }
        m_shared.hosts.list(back(std::move(handler)));
    }
    void start(const WorkerId &worker, const ports::StartOrder &order, ports::Handler<ports::Done> handler) override
    {
        m_shared.workers.start(worker, order, back(std::move(handler)));
    }
    void renew(const WorkerId &worker, Epoch epoch, Duration lease, std::span<const ports::AttemptId> acknowledged,
               ports::Handler<ports::WorkerReport> handler) override
    {
        m_shared.workers.renew(worker, epoch, lease, acknowledged, back(std::move(handler)));
    }
    void stop(const WorkerId &worker, Epoch epoch, const ports::AttemptId &attempt,
              ports::Handler<ports::Done> handler) override
    {
        m_shared.workers.stop(worker, epoch, attempt, back(std::move(handler)));
    }
    void checkpoint(const WorkerId &worker, Epoch epoch, const ports::AttemptId &attempt,
                    ports::Handler<ports::Done> handler) override
    {
        m_shared.workers.checkpoint(worker, epoch, attempt, back(std::move(handler)));
    }
    void throttle(const WorkerId &worker, Epoch epoch, const ports::AttemptId &attempt, double part,
                  ports::Handler<ports::Done> handler) override
    {
        m_shared.workers.throttle(worker, epoch, attempt, part, back(std::move(handler)));
    }

private:
    static constexpr Duration CutTimeout = 1s;

    template <typename T>
    ports::Handler<T> back(ports::Handler<T> handler)
    {
        return [runner = m_runner, handler = std::move(handler)](const ports::AsyncResult<T> &result) {
            runner([handler, result] { handler(result); });
        };
    }

    // Behind a cut a call has no effect, but its caller cannot know that.
    template <typename T>
    bool isReachable(ports::Handler<T> &handler, ErrorKind kind)
    {
        if (!m_isCut) {
            return true;
        }
        auto later = back<T>(std::move(handler));
        m_shared.scheduler.runAfter(CutTimeout, [later = std::move(later), kind] { later(Failure{kind, "no reply"}); });
        return false;
    }

    Shared m_shared;
    Runner m_runner;
    bool m_isCut = false;
};

} // namespace monsoonspool::bench
