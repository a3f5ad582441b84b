#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <tbb/concurrent_queue.h>

#include <atomic>
#include <functional>
#include <memory>
#include <utility>

namespace monsoonspool::traffic {

// A queue of typed messages from any thread to the thread that runs an io_context.
// One handler call on the io_context drains a batch of messages. post() never blocks.
template <typename T>
class Mailbox
{
public:
    Mailbox(boost::asio::io_context &io, std::function<void(T &&)> handler)
        : d(std::make_shared<Private>(io, std::move(handler)))
    {
    }
    ~Mailbox()
    {
        d->isClosed = true;
    }
    Mailbox(const Mailbox &) = delete;
    Mailbox &operator=(const Mailbox &) = delete;

    // Adds a message. Thread-safe.
    void post(T message)
    {
        d->queue.push(std::move(message));
        if (!d->isDrainScheduled.exchange(true)) {
            boost::asio::post(d->io, [d = d] { d->drain(); });
        }
    }

private:
    struct Private
    {
        Private(boost::asio::io_context &context, std::function<void(T &&)> f) : io(context), handler(std::move(f))
        {
        }

        void drain()
        {
            isDrainScheduled = false; // before draining, so that a concurrent post() schedules another drain
            T message;
            while (!isClosed && queue.try_pop(message)) {
                handler(std::move(message));
            }
        }

        boost::asio::io_context &io;
        std::function<void(T &&)> handler;
        tbb::concurrent_queue<T> queue;
        std::atomic<bool> isDrainScheduled = false;
        std::atomic<bool> isClosed = false;
    };

    std::shared_ptr<Private> d;
};

} // namespace monsoonspool::traffic
