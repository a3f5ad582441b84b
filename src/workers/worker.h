#pragma once

#include "jobs/taskid.h"
#include "ports/workerlink.h"
#include "scheduling/interferencemodel.h"
#include "scheduling/paceregulator.h"
#include "workers/workerclock.h"

#include <bitset>
#include <cstdint>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace monsoonspool::workers {

// Images with numbers below this are told apart where it matters which work disturbs
// whom; work of images beyond is placed without that knowledge.
constexpr std::size_t MaxTrackedImages = 128;
using ImageSet = std::bitset<MaxTrackedImages>;

enum class RunState {
    Ordered, // the order is on its way
    Unsettled, // no answer: it may run, or start later
    Running,
    Stopping, // a stop was ordered; holds its room until its end is listed
};

// A run that may be at work on a worker.
struct Run
{
    jobs::TaskId task;
    jobs::RunNumber number = 0;
    Resources needs;
    scheduling::ImageNumber image = 0;
    bool usesLeftover = false;
    bool isLasting = false;
    Duration tailTarget{0}; // of a serving task
    RunState state = RunState::Ordered;
    TimePoint orderedAt;
    TimePoint answeredAt; // when the worker said that it runs
    ports::WorkerMillis startDeadline = 0; // after it the order cannot start any more
    int percent = 0;
    TimePoint progressedAt; // when percent last grew
    int pace = 100; // percent of full speed
    TimePoint pacedAt; // when it changed last
    std::int64_t level = 0; // see ports::ListedRun
    double smoothLevel = 0; // of a serving task; measurements are rough
    TimePoint underAt; // when a serving task was last seen below its target
    TimePoint unsettledAt;
    TimePoint stopSentAt;
    TimePoint stopConfirmedAt; // the worker cannot begin the run after this any more
    bool isStopSent = false;
    bool isStopConfirmed = false;
};

// For so long a worker keeps what it runs without word from the scheduler. A
// successor must be in office within it, and a silent worker's tasks are started
// elsewhere only after it. The platform allows 10 s.
constexpr Duration RunLease = 6s;
// After this time an order that got no answer cannot start its task any more.
constexpr Duration StartValidity = 2500ms;
// Added before a lease is taken as over, for rounding on either side.
constexpr ports::WorkerMillis LeaseMargin = 50;

// One run of a worker, as the scheduler knows it. Guards that
//  - the room of all runs that may be at work there never exceeds its capacity,
//  - a run counts until the worker lists its end, or its lease has surely lapsed,
//  - nothing starts there before it has confirmed this scheduler's fence, or before
//    a successor would know of the worker.
//
// Not thread-safe: owned by the control thread.
class Worker
{
public:
    explicit Worker(ports::WorkerEntry entry);

    const ports::WorkerEntry &entry() const
    {
        return m_entry;
    }
    // Takes in a newer entry of the same run of the worker.
    void setEntry(ports::WorkerEntry entry);
    // Forgets all runs, leases and ends: the worker runs nothing since its restart.
    void restart(std::int64_t bornMs);

    // Returns whether the platform lists the worker.
    bool isListed() const
    {
        return m_isListed;
    }
    // Whether a successor would know that something may run here.
    bool isRostered() const
    {
        return m_isRostered;
    }
    void setRostered()
    {
        m_isRostered = true;
    }
    // When measurements of this worker were last learned from.
    TimePoint observedAt() const
    {
        return m_observedAt;
    }
    void setObservedAt(TimePoint now)
    {
        m_observedAt = now;
    }
    // Whether a serving task is over its target, so that no leftover work may join.
    bool isStrained() const
    {
        return m_tailRatio >= 1;
    }
    // The greatest ratio of a serving task's tail to its target, as last measured.
    double tailRatio() const
    {
        return m_tailRatio;
    }
    void setTailRatio(double tailRatio)
    {
        m_tailRatio = tailRatio;
    }
    // The images whose work is known to disturb a serving task here.
    const ImageSet &disturbers() const
    {
        return m_disturbers;
    }
    void setDisturbers(const ImageSet &disturbers)
    {
        m_disturbers = disturbers;
    }
    // Returns whether a listing came in since the last call.
    bool takeMeasured()
    {
        return std::exchange(m_isMeasured, false);
    }
    scheduling::PaceRegulator &paceRegulator()
    {
        return m_paceRegulator;
    }
    void setListed(bool isListed)
    {
        m_isListed = isListed;
    }

    // Returns whether new tasks may go there.
    bool isOpen(TimePoint now) const;
    bool isConfirmed() const
    {
        return m_isConfirmed;
    }

    // Room that tasks with processors of their own may take.
    Resources freeRoom() const;
    // Room that tasks on leftover processors may take: what nobody holds, and what
    // serving tasks hold and do not use.
    Resources leftoverRoom() const;
    // Processors that work on leftover ones may use, in thousandths of a core.
    std::int64_t leftoverMilliCores() const
    {
        return leftoverCapacity().milliCores;
    }
    // Returns whether a task with `needs` would fit now.
    bool fits(const Resources &needs, bool usesLeftover) const;

    int runsOfStep(const jobs::TaskId &task) const;
    int runCount() const
    {
        return static_cast<int>(m_runs.size());
    }
    const Run *find(const jobs::TaskId &task) const;
    Run *find(const jobs::TaskId &task);
    std::span<Run> runs()
    {
        return m_runs;
    }
    std::span<const Run> runs() const
    {
        return m_runs;
    }

    // Sets the pace at which a run is to work; -1 if the worker may not have taken it.
    void setPace(Run &run, int percent);

    void add(const Run &run);
    void remove(const jobs::TaskId &task);

    // Leases on the worker's own clock.
    ports::WorkerMillis nextDeadline(TimePoint now);
    ports::WorkerMillis startDeadline(TimePoint now);
    bool hasLapsed(TimePoint now) const;
    bool isTooLateToStart(const Run &run, TimePoint now) const;

    // A listing of this worker came in.
    void noteContact(ports::WorkerMillis clock, TimePoint sentAt, TimePoint now);
    void noteSilence(TimePoint now);
    bool isSilent() const
    {
        return m_isSilent;
    }

    // Ends that were taken in, and those that need not be listed again.
    std::int64_t takenEnd() const
    {
        return m_takenEnd;
    }
    void setTakenEnd(std::int64_t number)
    {
        m_takenEnd = number;
    }
    std::int64_t acknowledgedEnd() const
    {
        return m_acknowledgedEnd;
    }
    void acknowledge(std::int64_t number);

    // Health, from how runs end.
    void noteDone(TimePoint now);
    void noteFailure(TimePoint now);
    void noteUnhealthy(TimePoint now);
    // Returns whether so much went wrong lately that only one task may try it at a time.
    bool isSuspect() const
    {
        return m_suspicion >= SuspicionLimit;
    }

private:
    Resources leftoverCapacity() const;

    static constexpr int SuspicionLimit = 2; // failures in a row, of any tasks

    ports::WorkerEntry m_entry;
    WorkerClock m_clock;
    std::vector<Run> m_runs;
    Resources m_held; // of runs with processors of their own
    std::int64_t m_servingMilliCores = 0; // the lasting runs' part of it
    Resources m_leftoverHeld; // processors by pace
    ports::WorkerMillis m_deadline = 0;
    std::int64_t m_takenEnd = 0;
    std::int64_t m_acknowledgedEnd = 0;
    TimePoint m_observedAt;
    TimePoint m_closedUntil;
    TimePoint m_failedAt; // last
    int m_suspicion = 0;
    scheduling::PaceRegulator m_paceRegulator;
    ImageSet m_disturbers;
    double m_tailRatio = 0;
    bool m_isListed = true;
    bool m_isRostered = false;
    bool m_isConfirmed = false;
    bool m_isSilent = false;
    bool m_isMeasured = false;
};

} // namespace monsoonspool::workers
