#pragma once

#include "common/time.h"
#include "jobs/taskid.h"

#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

// The history of a soak: what clients and workers saw, never the internal state of the system.
namespace monsoonspool::soak {

struct StepShape
{
    int count = 1; // of tasks
    std::int64_t milliCores = 1000; // that each task needs
    std::vector<int> after; // positions of steps whose tasks must be done first
};

struct JobShape
{
    std::vector<StepShape> steps;
};

enum class EventKind {
    WorkerRegistered, // with `milliCores` of capacity
    Submitted, // a client began to submit the job with `shape`
    Accepted, // a client received a 2xx response
    Rejected, // a client received 429 or 503, and every earlier attempt was answered
    ReportedCompleted, // a client received this state
    ReportedFailed,
    ReportedUnknown, // a client received 410 for an accepted job
    RunStarted, // a worker began a run
    RunEnded, // a worker ended a run with `runEnd`
    DisturbanceBegan, // the soak disturbed a host; it is calm while no disturbance is under way
    DisturbanceEnded,
    HostEnded, // a process of a host ended without a signal
    HostEndedBadly, // a process of a host was asked to stop, and crashed or had to be killed
};

enum class RunEndKind {
    Done,
    Failed,
    Stopped,
    Lapsed,
};

struct Event
{
    EventKind kind = EventKind::Submitted;
    TimePoint at;
    jobs::JobKey job;
    JobShape shape; // of Submitted
    std::string host; // of the disturbances, HostEnded and HostEndedBadly
    std::string worker; // of WorkerRegistered, RunStarted and RunEnded
    std::int64_t milliCores = 0; // of WorkerRegistered
    bool takesOrders = true; // of WorkerRegistered: whether it answers orders to start a task
    jobs::TaskId task; // of RunStarted and RunEnded
    jobs::RunNumber run = 0; // of RunStarted and RunEnded
    RunEndKind runEnd = RunEndKind::Done; // of RunEnded
};

std::string_view eventKindName(EventKind kind);
std::string_view runEndKindName(RunEndKind kind);

// Collects the events of all threads. Thread-safe.
class Recorder
{
public:
    void record(Event event);

    // Returns all events so far, ordered by time.
    std::vector<Event> history() const;

private:
    mutable std::mutex m_mutex;
    std::vector<Event> m_events;
};

} // namespace monsoonspool::soak
