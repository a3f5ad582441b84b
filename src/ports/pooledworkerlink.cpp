#include "ports/pooledworkerlink.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <utility>
#include <vector>

namespace monsoonspool::ports {

namespace {

// A start that has waited this long for a channel fails, so that its task starts elsewhere. The platform
// takes a task as lost that stands still for 3 s, and a sound worker answers 80 starts within this time at
// the longest round trip, 25 ms, on two channels.
constexpr Duration MaxStartWait = 1s;

struct Channel
{
    // Returns whether the process has listed its runs on the connection. Start times are not 0.
    bool belongsTo(std::int64_t process) const
    {
        return process != 0 && startTimeMs == process;
    }

    std::unique_ptr<WorkerChannel> orders;
    ConnectionNumber connection = AnyConnection;
    std::int64_t startTimeMs = 0; // of the process that answers on the connection, or 0
    std::uint64_t lastUse = 0;
    bool isBusy = false;
};

template <typename T>
bool wasNotSent(const AsyncResult<T> &result)
{
    return !result.isOk() && result.failure().kind == ErrorKind::DaemonUnreachable;
}

template <typename T>
bool hasNoAnswer(const AsyncResult<T> &result)
{
    return !result.isOk() && result.failure().kind == ErrorKind::StoreReplyLost;
}

// Renews nothing and acknowledges nothing, so that any process may receive it.
LeaseOrder listingRequest(Epoch fence)
{
    LeaseOrder order;
    order.fence = fence;
    return order;
}

// Returns the failure of an order that was not sent since `listing` is not of the process meant.
Failure notSent(const AsyncResult<WorkerListing> &listing)
{
    if (listing.isOk()) {
        return {ErrorKind::DaemonUnreachable, "another process of the worker answers"};
    }
    const auto kind = listing.failure().kind;
    const bool isRefusal = kind == ErrorKind::StaleEpoch || kind == ErrorKind::Superseded;
    return {isRefusal ? kind : ErrorKind::DaemonUnreachable, listing.failure().detail};
}

} // namespace

// The channels to one worker at one address. Pending calls keep it alive.
struct PooledWorkerLink::Pool : std::enable_shared_from_this<PooledWorkerLink::Pool>
{
    struct WaitingOrder
    {
        std::int64_t startTimeMs = 0; // of the process that the order is for, or 0
        std::function<void(Channel &)> send;
    };
    struct WaitingStart : WaitingOrder
    {
        std::uint64_t number = 0;
        std::function<void()> giveUp;
    };

    // Sends an order once a channel is free.
    void enqueue(const WorkerEntry &worker, std::int64_t startTimeMs, std::function<void(Channel &)> send)
    {
        waitingOrders.push_back({startTimeMs, std::move(send)});
        openChannels(worker);
        sendWaiting();
    }

    // Sends a start after all other orders, or fails it without sending it.
    void enqueueStart(const WorkerEntry &worker, const RunOrder &order, Handler<StartResult> handler)
    {
        WaitingStart waiting;
        waiting.startTimeMs = order.startTimeMs;
        waiting.send = [this, worker, order, handler](Channel &channel) { start(channel, worker, order, handler); };
        waiting.number = ++startCount;
        waiting.giveUp = [handler] {
            handler(Failure{ErrorKind::DaemonUnreachable, "earlier orders to the worker have no answer"});
        };
        waitingStarts.push_back(std::move(waiting));
        openChannels(worker);
        sendWaiting();
        if (!waitingStarts.empty()) {
            scheduler->runAfter(MaxStartWait, [self = shared_from_this(), number = startCount] {
                while (!self->waitingStarts.empty() && self->waitingStarts.front().number <= number) {
                    const auto giveUp = std::move(self->waitingStarts.front().giveUp);
                    self->waitingStarts.pop_front();
                    giveUp();
                }
            });
        }
    }

    void openChannels(const WorkerEntry &worker)
    {
        const auto wanted = busyCount() + waitingOrders.size() + std::min(waitingStarts.size(), freeForStarts());
        while (channels.size() < std::min(maxChannels, wanted)) {
            channels.push_back(std::make_unique<Channel>());
            channels.back()->orders = open(worker);
        }
    }

    std::size_t busyCount() const
    {
        return static_cast<std::size_t>(std::ranges::count_if(channels, [](const auto &it) { return it->isBusy; }));
    }

    // One channel is left to the other orders, as starts without an answer must not hold up renewals.
    std::size_t freeForStarts() const
    {
        const auto most = std::max<std::size_t>(maxChannels, 2) - 1;
        return most - std::min(most, startsUnderWay);
    }

    void sendWaiting()
    {
        while (!waitingOrders.empty()) {
            if (!sendFirst(waitingOrders)) {
                return;
            }
        }
        while (!waitingStarts.empty() && freeForStarts() > 0) {
            ++startsUnderWay;
            if (!sendFirst(waitingStarts)) {
                --startsUnderWay;
                return;
            }
        }
    }

    // Returns whether a channel was free.
    template <typename T>
    bool sendFirst(std::deque<T> &waiting)
    {
        auto *channel = freeChannel(waiting.front().startTimeMs);
        if (channel == nullptr) {
            return false;
        }
        const auto send = std::move(waiting.front().send);
        waiting.pop_front();
        channel->isBusy = true;
        channel->lastUse = ++uses;
        send(*channel);
        return true;
    }

    // Prefers a connection of the process, then the one used last, so that others may close.
    Channel *freeChannel(std::int64_t startTimeMs) const
    {
        Channel *best = nullptr;
        for (const auto &it : channels) {
            const auto rank
                = [&](const Channel &channel) { return std::pair(channel.belongsTo(startTimeMs), channel.lastUse); };
            if (!it->isBusy && (best == nullptr || rank(*it) > rank(*best))) {
                best = it.get();
            }
        }
        return best;
    }

    template <typename T>
    void finish(Channel &channel, const AsyncResult<T> &result, const Handler<T> &handler)
    {
        channel.isBusy = false;
        handler(result);
        sendWaiting();
    }

    // A worker that does not answer a start, or the listing before it, gets none of those that wait.
    void finishStart(Channel &channel, const AsyncResult<StartResult> &result, bool isAnswered,
                     const Handler<StartResult> &handler)
    {
        --startsUnderWay;
        const auto unsent = isAnswered ? std::deque<WaitingStart>() : std::exchange(waitingStarts, {});
        finish(channel, result, handler);
        for (const auto &it : unsent) {
            it.giveUp();
        }
    }

    // Obtains a listing, and with it the process that answers on the channel's connection.
    void list(Channel &channel, const WorkerEntry &worker, ConnectionNumber connection, const LeaseOrder &order,
              Handler<WorkerListing> handler)
    {
        channel.orders->renew(worker, connection, order,
                              [self = shared_from_this(), &channel, entryStartTimeMs = worker.startTimeMs,
                               handler = std::move(handler)](const AsyncResult<WorkerListing> &result) {
                                  channel.startTimeMs = 0;
                                  if (result.isOk()) {
                                      channel.connection = channel.orders->connection();
                                      channel.startTimeMs = result.value().startTimeMs != 0 ? result.value().startTimeMs
                                                                                            : entryStartTimeMs;
                                  }
                                  handler(result);
                              });
    }

    void renew(Channel &channel, const WorkerEntry &worker, const LeaseOrder &order, Handler<WorkerListing> handler)
    {
        const auto finishRenewal
            = [self = shared_from_this(), &channel, handler = std::move(handler)](
                  const AsyncResult<WorkerListing> &result) { self->finish(channel, result, handler); };
        const auto request = listingRequest(order.fence);
        if (order.startTimeMs == 0) {
            list(channel, worker, AnyConnection, order, finishRenewal);
        } else if (channel.belongsTo(order.startTimeMs)) {
            list(channel, worker, channel.connection, order,
                 [self = shared_from_this(), &channel, worker, request,
                  finishRenewal](const AsyncResult<WorkerListing> &result) {
                     if (wasNotSent(result)) {
                         self->list(channel, worker, AnyConnection, request, finishRenewal);
                     } else {
                         finishRenewal(result);
                     }
                 });
        } else {
            list(channel, worker, AnyConnection, request, finishRenewal);
        }
    }

    void start(Channel &channel, const WorkerEntry &worker, const RunOrder &order, Handler<StartResult> handler)
    {
        const bool isForAnyProcess = order.startTimeMs == 0;
        if (!isForAnyProcess && (order.verifiesProcess || !channel.belongsTo(order.startTimeMs))) {
            identifyAndStart(channel, worker, order, std::move(handler));
            return;
        }
        channel.orders->start(worker, isForAnyProcess ? AnyConnection : channel.connection, order,
                              [self = shared_from_this(), &channel, worker, order, isForAnyProcess,
                               handler = std::move(handler)](const AsyncResult<StartResult> &result) {
                                  if (wasNotSent(result) && !isForAnyProcess) {
                                      self->identifyAndStart(channel, worker, order, handler);
                                  } else {
                                      self->finishStart(channel, result, !hasNoAnswer(result), handler);
                                  }
                              });
    }

    void identifyAndStart(Channel &channel, const WorkerEntry &worker, const RunOrder &order,
                          Handler<StartResult> handler)
    {
        list(channel, worker, AnyConnection, listingRequest(order.fence),
             [self = shared_from_this(), &channel, worker, order,
              handler = std::move(handler)](const AsyncResult<WorkerListing> &listing) {
                 if (!channel.belongsTo(order.startTimeMs)) {
                     self->finishStart(channel, notSent(listing), !hasNoAnswer(listing), handler);
                     return;
                 }
                 channel.orders->start(worker, channel.connection, order,
                                       [self, &channel, handler](const AsyncResult<StartResult> &result) {
                                           self->finishStart(channel, result, !hasNoAnswer(result), handler);
                                       });
             });
    }

    Address address;
    std::size_t maxChannels = 0;
    std::function<std::unique_ptr<WorkerChannel>(const WorkerEntry &)> open;
    std::vector<std::unique_ptr<Channel>> channels;
    Scheduler *scheduler = nullptr;
    std::deque<WaitingOrder> waitingOrders; // other than starts
    std::deque<WaitingStart> waitingStarts;
    std::size_t startsUnderWay = 0; // on channels
    std::uint64_t startCount = 0;
    std::uint64_t uses = 0;
};

PooledWorkerLink::PooledWorkerLink(std::size_t channelsPerWorker, Scheduler &scheduler)
    : m_channelsPerWorker(channelsPerWorker), m_scheduler(scheduler)
{
}

PooledWorkerLink::~PooledWorkerLink() = default;

const std::shared_ptr<PooledWorkerLink::Pool> &PooledWorkerLink::poolOf(const WorkerEntry &worker)
{
    auto &pool = m_pools[worker.id];
    if (!pool || pool->address != worker.address) {
        pool = std::make_shared<Pool>();
        pool->address = worker.address;
        pool->maxChannels = m_channelsPerWorker;
        pool->scheduler = &m_scheduler;
        pool->open = [this](const WorkerEntry &entry) { return openChannel(entry); };
    }
    return pool;
}

void PooledWorkerLink::renew(const WorkerEntry &worker, const LeaseOrder &order, Handler<WorkerListing> handler)
{
    const auto &pool = poolOf(worker);
    pool->enqueue(worker, order.startTimeMs,
                  [pool = pool.get(), worker, order, handler = std::move(handler)](Channel &channel) {
                      pool->renew(channel, worker, order, handler);
                  });
}

void PooledWorkerLink::start(const WorkerEntry &worker, const RunOrder &order, Handler<StartResult> handler)
{
    poolOf(worker)->enqueueStart(worker, order, std::move(handler));
}

void PooledWorkerLink::stop(const WorkerEntry &worker, Epoch fence, const jobs::TaskId &task, jobs::RunNumber run,
                            Handler<Done> handler)
{
    const auto &pool = poolOf(worker);
    pool->enqueue(
        worker, 0, [pool = pool.get(), worker, fence, task, run, handler = std::move(handler)](Channel &channel) {
            channel.orders->stop(worker, fence, task, run,
                                 [self = pool->shared_from_this(), &channel, handler](const AsyncResult<Done> &result) {
                                     self->finish(channel, result, handler);
                                 });
        });
}

void PooledWorkerLink::pace(const WorkerEntry &worker, Epoch fence, const jobs::TaskId &task, jobs::RunNumber run,
                            int percent, Handler<Done> handler)
{
    const auto &pool = poolOf(worker);
    pool->enqueue(
        worker, 0,
        [pool = pool.get(), worker, fence, task, run, percent, handler = std::move(handler)](Channel &channel) {
            channel.orders->pace(worker, fence, task, run, percent,
                                 [self = pool->shared_from_this(), &channel, handler](const AsyncResult<Done> &result) {
                                     self->finish(channel, result, handler);
                                 });
        });
}

void PooledWorkerLink::closeConnections(const WorkerId &worker)
{
    m_pools.erase(worker);
}

} // namespace monsoonspool::ports
