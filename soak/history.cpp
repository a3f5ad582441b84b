#include "soak/history.h"

#include <algorithm>
#include <utility>

namespace monsoonspool::soak {

std::string_view eventKindName(EventKind kind)
{
    switch (kind) {
    case EventKind::WorkerRegistered:
        return "worker-registered";
    case EventKind::Submitted:
        return "submitted";
    case EventKind::Accepted:
        return "accepted";
    case EventKind::Rejected:
        return "rejected";
    case EventKind::ReportedCompleted:
        return "reported-completed";
    case EventKind::ReportedFailed:
        return "reported-failed";
    case EventKind::ReportedUnknown:
        return "reported-unknown";
    case EventKind::RunStarted:
        return "run-started";
    case EventKind::RunEnded:
        return "run-ended";
    case EventKind::DisturbanceBegan:
        return "disturbance-began";
    case EventKind::DisturbanceEnded:
        return "disturbance-ended";
    case EventKind::HostEnded:
        return "host-ended";
    case EventKind::HostEndedBadly:
        return "host-ended-badly";
    }
    return "unknown";
}

std::string_view runEndKindName(RunEndKind kind)
{
    switch (kind) {
    case RunEndKind::Done:
        return "done";
    case RunEndKind::Failed:
        return "failed";
    case RunEndKind::Stopped:
        return "stopped";
    case RunEndKind::Lapsed:
        return "lapsed";
    }
    return "unknown";
}

void Recorder::record(Event event)
{
    const std::scoped_lock lock(m_mutex);
    m_events.push_back(std::move(event));
}

std::vector<Event> Recorder::history() const
{
    std::vector<Event> events;
    {
        const std::scoped_lock lock(m_mutex);
        events = m_events;
    }
    std::ranges::stable_sort(events, {}, &Event::at);
    return events;
}

} // namespace monsoonspool::soak
