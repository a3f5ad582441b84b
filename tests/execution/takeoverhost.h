#pragma once

#include "execution/executionloop.h"
#include "ports/memory/memorychangestore.h"
#include "ports/memory/simulatedworkers.h"
#include "ports/virtualscheduler.h"

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <boost/random/uniform_real_distribution.hpp>

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

// A host whose process, store calls and orders to workers fail as they do in operation.
namespace monsoonspool::execution::takeover {

using namespace ports;

class Random
{
public:
    explicit Random(std::uint32_t seed) : m_generator(seed)
    {
    }
    int below(int n)
    {
        return boost::random::uniform_int_distribution<int>(0, n - 1)(m_generator);
    }
    double real(double low = 0, double high = 1)
    {
        return low < high ? boost::random::uniform_real_distribution<double>(low, high)(m_generator) : low;
    }
    Duration duration(Duration low, Duration high)
    {
        return Duration(
            static_cast<Duration::rep>(real(static_cast<double>(low.count()), static_cast<double>(high.count()))));
    }
    bool chance(double p)
    {
        return real() < p;
    }

private:
    boost::random::mt19937 m_generator;
};

// The control thread of one host process. Runs callbacks one at a time; while frozen, it
// keeps them for later.
class HostThread : public Scheduler
{
public:
    explicit HostThread(VirtualScheduler &clock) : m_clock(clock)
    {
    }
    TimePoint now() const override
    {
        return m_clock.now();
    }
    void runAfter(Duration delay, std::function<void()> f) override
    {
        m_clock.runAfter(delay, guarded(std::move(f)));
    }
    // Returns a function that runs `f` on this thread, unless the process has ended by then.
    std::function<void()> guarded(std::function<void()> f)
    {
        return [this, life = m_life, f = std::move(f)] {
            if (life == m_life) {
                m_waiting.push_back(f);
                runWaiting();
            }
        };
    }
    // Forgets what the process has scheduled.
    void endProcess()
    {
        ++m_life;
        m_waiting.clear();
        m_frozenUntil = {};
        m_busyUntil = {};
        m_slowUntil = {};
    }
    void freeze(Duration time)
    {
        m_frozenUntil = std::max(m_frozenUntil, now() + time);
        m_clock.runAfter(time, [this] { runWaiting(); });
    }
    // Lets each callback take `perCallback`.
    void slowDown(Duration time, Duration perCallback)
    {
        m_slowUntil = now() + time;
        m_perCallback = perCallback;
    }

private:
    void runWaiting()
    {
        while (!m_isRunning && !m_waiting.empty() && now() >= m_frozenUntil && now() >= m_busyUntil) {
            const auto f = std::move(m_waiting.front());
            m_waiting.pop_front();
            m_isRunning = true;
            f();
            m_isRunning = false;
            if (now() < m_slowUntil) {
                m_busyUntil = now() + m_perCallback;
                m_clock.runAfter(m_perCallback, [this] { runWaiting(); });
            }
        }
    }

    VirtualScheduler &m_clock;
    std::deque<std::function<void()>> m_waiting;
    std::uint64_t m_life = 0;
    bool m_isRunning = false;
    TimePoint m_frozenUntil;
    TimePoint m_slowUntil;
    TimePoint m_busyUntil;
    Duration m_perCallback{0};
};

// What happens to a call while a rule applies to it.
enum class CallFault {
    Refused, // at once, without an effect
    Lost, // no effect and no reply
    ReplyLost, // an effect and no reply
    Reset, // an effect, then a broken connection
    Late, // an effect after the timeout
};

// Kinds of calls to the store and to workers.
enum Call : unsigned {
    CommitLeader = 1,
    CommitProgress = 2,
    CommitRoster = 4,
    CommitOther = 8,
    ScanJobs = 16,
    ScanProgress = 32,
    ScanOther = 64,
    FeedLeader = 128,
    FeedJobs = 256,
    FeedWorkers = 512,
    FeedOther = 1024,
    AllStoreCalls = 2047,
    Renew = 4096,
    Start = 8192,
    Stop = 16384,
    AllOrders = Renew | Start | Stop,
};

struct CallRule
{
    TimePoint until;
    unsigned calls = 0; // affected kinds
    double probability = 1;
    CallFault fault = CallFault::Refused;
    unsigned workers = ~0U; // affected workers, by their number modulo 32
};

// The rules of one host; the first one that applies decides.
class CallRules
{
public:
    void add(const CallRule &rule)
    {
        m_rules.push_back(rule);
    }
    void clear()
    {
        m_rules.clear();
    }
    const CallRule *find(unsigned call, int worker, TimePoint now, Random &random)
    {
        std::erase_if(m_rules, [&](const CallRule &it) { return now >= it.until; });
        for (const auto &it : m_rules) {
            const bool isAffected = worker < 0 || (it.workers >> (static_cast<unsigned>(worker) % 32U) & 1U) != 0;
            if ((it.calls & call) != 0 && isAffected && random.chance(it.probability)) {
                return &it;
            }
        }
        return nullptr;
    }

private:
    std::vector<CallRule> m_rules;
};

// The store as one host reaches it.
class HostStore : public ChangeStore
{
public:
    HostStore(memory::SharedRows &rows, VirtualScheduler &clock, HostThread &thread, CallRules &rules, Random &random)
        : m_store(rows, clock, m_noFaults), m_clock(clock), m_thread(thread), m_rules(rules), m_random(random)
    {
    }

    std::size_t maxValueSize() const override
    {
        return m_store.maxValueSize();
    }
    void commit(Commit commit, Handler<CommitResult> handler) override
    {
        const auto table = commit.writes.empty() ? std::string() : commit.writes.front().name.table;
        const auto kind = table == LeaderTable ? CommitLeader
            : table == ProgressTable           ? CommitProgress
            : table == RosterTable             ? CommitRoster
                                               : CommitOther;
        call<CommitResult>(
            kind, CallTimeout, true,
            [this, commit = std::move(commit)](Handler<CommitResult> reply) {
                m_store.commit(commit, std::move(reply));
            },
            std::move(handler));
    }
    void scan(std::string_view table, std::string_view part, std::string_view first, std::string_view last,
              Handler<RowPage> handler) override
    {
        const auto kind = table == JobsTable ? ScanJobs : table == ProgressTable ? ScanProgress : ScanOther;
        call<RowPage>(
            kind, CallTimeout, false,
            [this, table = std::string(table), part = std::string(part), first = std::string(first),
             last = std::string(last)](Handler<RowPage> reply) {
                m_store.scan(table, part, first, last, std::move(reply));
            },
            std::move(handler));
    }
    void changes(std::string_view table, std::uint64_t after, Duration wait, Handler<RowPage> handler) override
    {
        const auto kind = table == LeaderTable ? FeedLeader
            : table == JobsTable               ? FeedJobs
            : table == "workers"               ? FeedWorkers
                                               : FeedOther;
        call<RowPage>(
            kind, wait + FeedTimeoutMargin, false,
            [this, table = std::string(table), after, wait](Handler<RowPage> reply) {
                m_store.changes(table, after, wait, std::move(reply));
            },
            std::move(handler));
    }

private:
    static constexpr Duration CallTimeout = 1s;
    static constexpr Duration FeedTimeoutMargin = 900ms;
    static constexpr Duration MaxDelay = 4ms;

    template <typename T>
    void call(unsigned kind, Duration timeout, bool isWrite, std::function<void(Handler<T>)> effect, Handler<T> handler)
    {
        const auto isAnswered = std::make_shared<bool>(false);
        const auto reply = [this, isAnswered, handler = std::move(handler)](Duration delay, AsyncResult<T> result) {
            m_clock.runAfter(delay, m_thread.guarded([isAnswered, handler, result = std::move(result)] {
                if (!std::exchange(*isAnswered, true)) {
                    handler(result);
                }
            }));
        };
        const auto *rule = m_rules.find(kind, -1, m_clock.now(), m_random);
        auto delay = m_random.duration(500us, MaxDelay);
        reply(timeout, Failure{ErrorKind::StoreReplyLost, "timeout"});
        if (rule != nullptr && rule->fault == CallFault::Refused) {
            reply(delay, Failure{ErrorKind::StoreUnavailable, "refused"});
            return;
        }
        if (rule != nullptr && rule->fault == CallFault::Lost) {
            return;
        }
        if (rule != nullptr && rule->fault == CallFault::Late && isWrite) {
            delay = m_random.duration(1s, 6s);
        }
        const bool isReplyLost = rule != nullptr && rule->fault != CallFault::Reset;
        const bool isReset = rule != nullptr && rule->fault == CallFault::Reset;
        const auto replyDelay = m_random.duration(500us, MaxDelay);
        m_clock.runAfter(delay, [effect = std::move(effect), reply, replyDelay, isReplyLost, isReset] {
            effect([reply, replyDelay, isReplyLost, isReset](const AsyncResult<T> &result) {
                if (isReset) {
                    reply(replyDelay, Failure{ErrorKind::StoreReplyLost, "reset"});
                } else if (!isReplyLost) {
                    reply(replyDelay, result);
                }
            });
        });
    }

    NoFaults m_noFaults{0ms};
    memory::MemoryChangeStore m_store;
    VirtualScheduler &m_clock;
    HostThread &m_thread;
    CallRules &m_rules;
    Random &m_random;
};

// Delays and faults of the orders of one host.
class OrderFaults : public FaultPlan
{
public:
    OrderFaults(CallRules &rules, Random &random) : m_rules(rules), m_random(random)
    {
    }
    Duration maxDelay = 5ms; // each way

    Fault next(std::string_view name, std::uint64_t, TimePoint now) override
    {
        const auto kind = name.starts_with("renew") ? Renew : name.starts_with("start") ? Start : Stop;
        const auto worker = std::stoi(std::string(name.substr(name.find(" w") + 2)));
        Fault fault{m_random.duration(500us, maxDelay), false, false, m_random.duration(500us, maxDelay)};
        if (const auto *rule = m_rules.find(kind, worker, now, m_random)) {
            fault.isRefused = rule->fault == CallFault::Refused || rule->fault == CallFault::Lost;
            fault.isReplyLost = !fault.isRefused;
            if (rule->fault == CallFault::Late) {
                fault.delay = m_random.duration(2s, 12s);
            }
        }
        return fault;
    }

private:
    CallRules &m_rules;
    Random &m_random;
};

// Passes a worker's answers to the control thread of one host.
class HostChannel : public WorkerChannel
{
public:
    HostChannel(std::unique_ptr<WorkerChannel> channel, HostThread &thread)
        : m_channel(std::move(channel)), m_thread(thread)
    {
    }
    void renew(const WorkerEntry &worker, ConnectionNumber connection, const LeaseOrder &order,
               Handler<WorkerListing> handler) override
    {
        m_channel->renew(worker, connection, order, onThread(std::move(handler)));
    }
    void start(const WorkerEntry &worker, ConnectionNumber connection, const RunOrder &order,
               Handler<StartResult> handler) override
    {
        m_channel->start(worker, connection, order, onThread(std::move(handler)));
    }
    void stop(const WorkerEntry &worker, Epoch fence, const jobs::TaskId &task, jobs::RunNumber run,
              Handler<Done> handler) override
    {
        m_channel->stop(worker, fence, task, run, onThread(std::move(handler)));
    }
    void pace(const WorkerEntry &worker, Epoch fence, const jobs::TaskId &task, jobs::RunNumber run, int percent,
              Handler<Done> handler) override
    {
        m_channel->pace(worker, fence, task, run, percent, onThread(std::move(handler)));
    }
    ConnectionNumber connection() const override
    {
        return m_channel->connection();
    }

private:
    template <typename T>
    Handler<T> onThread(Handler<T> handler)
    {
        // The process may end before the answer, so the guard is made now.
        const auto answer = std::make_shared<std::optional<AsyncResult<T>>>();
        return [answer, run = m_thread.guarded([answer, handler = std::move(handler)] { handler(**answer); })](
                   const AsyncResult<T> &result) {
            answer->emplace(result);
            run();
        };
    }

    std::unique_ptr<WorkerChannel> m_channel;
    HostThread &m_thread;
};

// The workers as one host process reaches them.
class HostLink : public PooledWorkerLink
{
public:
    HostLink(memory::SimulatedWorkers &workers, VirtualScheduler &clock, HostThread &thread, OrderFaults &faults)
        : PooledWorkerLink(memory::MemoryWorkerLink::ConnectionsPerWorker, thread), m_link(workers, clock, faults),
          m_thread(thread)
    {
    }

private:
    std::unique_ptr<WorkerChannel> openChannel(const WorkerEntry &worker) override
    {
        return std::make_unique<HostChannel>(m_link.openChannel(worker), m_thread);
    }

    memory::MemoryWorkerLink m_link;
    HostThread &m_thread;
};

} // namespace monsoonspool::execution::takeover
