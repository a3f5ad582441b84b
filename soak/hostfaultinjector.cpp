#include "soak/hostfaultinjector.h"

#include <csignal>
#include <optional>
#include <utility>

namespace monsoonspool::soak {

namespace {

// A stopped host has its stopGraceSeconds to end, then it is killed.
constexpr Duration StopGrace = 6s;

// The fault that a host is under.
struct ActiveFault
{
    HostFault fault = HostFault::Pause;
    Duration length{0};
    TimePoint since;
    std::optional<TimePoint> endedAt; // of the process
};

struct HostState
{
    std::optional<ActiveFault> active;
    bool isEndReported = false;
};

} // namespace

struct HostFaultInjector::Private
{
    void begin(const PlannedHostFault &planned, TimePoint now);
    Result<bool> isOver(EntryHost &host, ActiveFault &active, TimePoint now);
    void record(EventKind kind, const EntryHost &host, TimePoint now);

    std::span<EntryHost> hosts;
    std::vector<PlannedHostFault> plan;
    TimePoint beganAt;
    Recorder &recorder;
    FaultCounts &faults;
    std::vector<HostState> states;
    std::size_t next = 0; // in the plan
};

HostFaultInjector::HostFaultInjector(std::span<EntryHost> hosts, std::vector<PlannedHostFault> plan, TimePoint begin,
                                     Recorder &recorder, FaultCounts &faults)
    : d(new Private{hosts, std::move(plan), begin, recorder, faults, std::vector<HostState>(hosts.size()), 0})
{
}

HostFaultInjector::~HostFaultInjector() = default;

Result<void> HostFaultInjector::advance(TimePoint now)
{
    for (std::size_t n = 0; n < d->hosts.size(); ++n) {
        auto &host = d->hosts[n];
        auto &state = d->states[n];
        if (!state.active) {
            if (host.reap() && !std::exchange(state.isEndReported, true)) {
                d->record(EventKind::HostEnded, host, now);
            }
            continue;
        }
        BOOST_LEAF_AUTO(isOver, d->isOver(host, *state.active, now));
        if (isOver) {
            state.active.reset();
            d->record(EventKind::DisturbanceEnded, host, now);
        }
    }
    for (; d->next < d->plan.size() && d->beganAt + d->plan[d->next].at <= now; ++d->next) {
        d->begin(d->plan[d->next], now);
    }
    return {};
}

void HostFaultInjector::Private::begin(const PlannedHostFault &planned, TimePoint now)
{
    auto &host = hosts[static_cast<std::size_t>(planned.host)];
    auto &state = states[static_cast<std::size_t>(planned.host)];
    if (state.active || host.pid() <= 0) {
        return;
    }
    record(EventKind::DisturbanceBegan, host, now);
    state.active = ActiveFault{planned.fault, planned.length, now, std::nullopt};
    switch (planned.fault) {
    case HostFault::Pause:
        faults.add(FaultKind::HostPaused);
        host.sendSignal(SIGSTOP);
        break;
    case HostFault::Kill:
        faults.add(FaultKind::HostKilled);
        host.sendSignal(SIGKILL);
        break;
    case HostFault::Stop:
        faults.add(FaultKind::HostStopped);
        host.sendSignal(SIGTERM);
        break;
    }
}

// Returns whether `host` runs again.
Result<bool> HostFaultInjector::Private::isOver(EntryHost &host, ActiveFault &active, TimePoint now)
{
    if (active.fault == HostFault::Pause) {
        if (now < active.since + active.length) {
            return false;
        }
        host.sendSignal(SIGCONT);
        return true;
    }
    if (!host.reap()) {
        if (now >= active.since + StopGrace) {
            host.sendSignal(SIGKILL);
        }
        return false;
    }
    if (active.fault == HostFault::Stop && !active.endedAt && !host.hasEndedInOrder()) {
        record(EventKind::HostEndedBadly, host, now);
    }
    active.endedAt = active.endedAt.value_or(now);
    if (now < *active.endedAt + active.length) {
        return false;
    }
    BOOST_LEAF_CHECK(host.start());
    return true;
}

void HostFaultInjector::Private::record(EventKind kind, const EntryHost &host, TimePoint now)
{
    Event event;
    event.kind = kind;
    event.at = now;
    event.host = host.name();
    recorder.record(std::move(event));
}

} // namespace monsoonspool::soak
