#pragma once

#include "control/lanemessages.h"
#include "http/connectionregistry.h"
#include "metrics/latencyhistogram.h"
#include "routing/dispatcher.h"
#include "traffic/laneoptions.h"
#include "traffic/targetconnections.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <unordered_map>
#include <variant>
#include <vector>

namespace monsoonspool::traffic {

// Delivers the events of a lane to the control thread. Thread-safe.
class LaneEventSink
{
public:
    virtual ~LaneEventSink() = default;
    virtual void post(control::LaneEvent event) = 0;
};

// The guest disconnected while its request was queued.
struct GuestDisconnected
{
};

// The result of a request for a slot.
using SlotResult = std::variant<routing::Assignment, Failure, GuestDisconnected>;

// Counters and latencies of one flow, for the state dump.
struct FlowMetrics
{
    // Both start when the request has been read as far as it is buffered.
    metrics::LatencyHistogram total; // until the response has been sent
    metrics::LatencyHistogram waited; // until each attempt gets its slot
    std::uint64_t answered = 0;
    std::uint64_t retries = 0;
    std::map<ErrorKind, std::uint64_t> failed;
};

// Counters of one lane, for the state dump.
struct LaneCounts
{
    std::uint64_t connections = 0;
    std::uint64_t requests = 0;
    std::uint64_t guestsLeft = 0;
    std::map<ErrorKind, std::uint64_t> refusedEarly; // before the request was attributed to a flow
};

// State shared by the sessions of one traffic thread: the current snapshot, the
// dispatchers of the pools, and the coroutines that wait for slots or records.
//
// Not thread-safe: owned by one traffic thread.
class LaneContext
{
public:
    LaneContext(boost::asio::io_context &io, LaneOptions options, LaneEventSink &sink);
    ~LaneContext();
    LaneContext(const LaneContext &) = delete;
    LaneContext &operator=(const LaneContext &) = delete;

    const LaneOptions &options() const
    {
        return m_options;
    }
    boost::asio::io_context &io()
    {
        return m_io;
    }
    TargetConnections &connections()
    {
        return m_connections;
    }
    // The connections of guests. Their sessions may outlive this object.
    const std::shared_ptr<http::ConnectionRegistry> &guests()
    {
        return m_guests;
    }
    // The limits that responses of targets have reached.
    http::LimitCounts &targetLimits()
    {
        return m_targetLimits;
    }
    LaneCounts &counts()
    {
        return m_counts;
    }
    const std::shared_ptr<const control::TrafficSnapshot> &snapshot() const
    {
        return m_snapshot;
    }

    void setSnapshot(std::shared_ptr<const control::TrafficSnapshot> snapshot);
    void startDraining()
    {
        m_isDraining = true;
    }
    bool isDraining() const
    {
        return m_isDraining;
    }

    // Returns the dispatcher of `pool`, or nullptr if the pool is unknown.
    routing::Dispatcher *dispatcher(const PoolName &pool);
    const std::map<PoolName, std::unique_ptr<routing::Dispatcher>> &dispatchers() const
    {
        return m_dispatchers;
    }
    FlowMetrics &metrics(const ServiceName &service, std::string_view urgency);
    const std::map<std::pair<ServiceName, std::string>, FlowMetrics> &allMetrics() const
    {
        return m_metrics;
    }

    // Submits a request to the dispatcher and waits for a slot. `failedTarget` is set
    // for a retry. Returns early if the guest's connection, `socket`, is closed.
    SlotResult acquireSlot(routing::Dispatcher &dispatcher, const routing::DispatchRequest &request,
                           const std::optional<TargetId> &failedTarget, boost::asio::ip::tcp::socket &socket,
                           boost::asio::yield_context yield);

    // Ends an assignment and starts queued requests on the released slot.
    void finishAttempt(routing::Dispatcher &dispatcher, const routing::Assignment &assignment,
                       routing::AttemptResult result);

    // Waits for the decision on a request with an idempotency key.
    records::Decision openRecord(const records::KeyedRequest &request, boost::asio::yield_context yield);

    // Records an answer and waits until it is written or the write is abandoned.
    void recordAnswer(std::uint64_t token, records::RecordedAnswer answer, boost::asio::yield_context yield);
    // Closes the record of a request that has certainly not run.
    void recordNotRun(std::uint64_t token);
    // Closes the record of a request whose outcome is unknown.
    void abandonRecord(std::uint64_t token);

    // Handle messages of the control thread.
    void on(const control::OfferOrder &order);
    void on(const control::RecallOrder &order);
    void on(const control::RecordOrder &order);
    void on(const control::RecordClosedOrder &order);
    void on(const control::TargetsConfirmedOrder &order);

    // Performs due refusals, starts and slot requests, and closes idle connections.
    void tick(TimePoint now);

    admission::RequestId nextRequestId()
    {
        return m_nextRequestId++;
    }

    // Returns whether no slot is in use and no request waits for a slot or a record.
    bool isIdle() const;
    bool holdsSlots() const;
    int waitingCount() const;
    int inUseCount() const;

private:
    struct SlotWaiter
    {
        explicit SlotWaiter(boost::asio::io_context &io) : timer(io)
        {
        }
        boost::asio::steady_timer timer;
        std::optional<routing::Assignment> assignment;
        std::optional<ErrorKind> refusal;
        bool hasGuestDisconnected = false;
    };
    struct RecordWaiter
    {
        explicit RecordWaiter(boost::asio::io_context &io) : timer(io)
        {
        }
        boost::asio::steady_timer timer;
        std::optional<records::Decision> decision;
        bool isClosed = false;
    };

    SlotResult waitForSlot(routing::Dispatcher &dispatcher, admission::RequestId id,
                           boost::asio::ip::tcp::socket &socket, boost::asio::yield_context yield);
    void watchForDisconnect(const std::shared_ptr<SlotWaiter> &waiter, boost::asio::ip::tcp::socket &socket);
    void dispatchWaiting(routing::Dispatcher &dispatcher, TimePoint now);
    void sendSlotRequests(routing::Dispatcher &dispatcher, TimePoint now);
    static void suspendUntilCancelled(boost::asio::steady_timer &timer, boost::asio::yield_context yield);

    boost::asio::io_context &m_io;
    LaneOptions m_options;
    LaneEventSink &m_sink;
    std::shared_ptr<const control::TrafficSnapshot> m_snapshot;
    std::map<PoolName, std::unique_ptr<routing::Dispatcher>> m_dispatchers;
    std::unordered_map<admission::RequestId, std::shared_ptr<SlotWaiter>> m_slotWaiters;
    std::unordered_map<control::RecordTicket, std::shared_ptr<RecordWaiter>> m_recordWaiters;
    std::map<std::pair<ServiceName, std::string>, FlowMetrics> m_metrics;
    TargetConnections m_connections;
    std::shared_ptr<http::ConnectionRegistry> m_guests;
    http::LimitCounts m_targetLimits;
    LaneCounts m_counts;
    admission::RequestId m_nextRequestId = 1;
    control::RecordTicket m_nextTicket = 1;
    bool m_isDraining = false;
    bool m_isConfirmationPending = false; // waiting for TargetsConfirmedOrder
};

} // namespace monsoonspool::traffic
