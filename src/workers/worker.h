#pragma once

#include "jobs/taskid.h"
#include "ports/workerlink.h"
#include "scheduling/interferencemodel.h"
#include "scheduling/paceregulator.h"
#include "workers/lostruns.h"
#include "workers/workerclock.h"

#include <bitset>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace monsoonspool::workers {

// Image sets cover the image numbers below this limit. Tasks of other images are placed
// without the information kept in such sets.
constexpr std::size_t MaxTrackedImages = 128;
using ImageSet = std::bitset<MaxTrackedImages>;

enum class RunState {
    Ordered, // the start order was sent, no answer yet
    Unanswered, // the start order failed without an answer: the run may exist or start later
    Running,
    Stopping, // a stop is required; resources stay reserved until the worker lists the end
};

// Paces, in percent.
constexpr int FullPace = 100;
// Differs from every valid pace, so that the next plan orders one.
constexpr int UnknownPace = -1;
// The pace of a reduced run: one that a worker takes although it has too few leftover cores for it, or a serving
// task is forecast to be disturbed. It works faster only as far as all other runs on the worker leave room.
constexpr int ReducedPace = 5;

// Why nothing new may be placed on a worker.
enum class PlacementObstacle {
    None,
    Leaving, // not listed, draining, or its failure domain is evacuated
    Unconfirmed, // it has not answered this leader, or the stored roster does not list it yet
    Undescribed, // its entry is of another process than the one that answers
    Silent,
    Unhealthy, // it rejected an order, did not answer one, or failed tasks a short time ago
    OnTrial, // one task shows whether it still fails tasks, or leaves orders without an answer
};
inline constexpr std::size_t PlacementObstacleCount = 7;

// A run that may be active on a worker.
struct Run
{
    jobs::TaskId task;
    jobs::RunNumber number = 0;
    Resources needs;
    bool areNeedsKnown = true;
    scheduling::ImageNumber image = 0;
    bool usesLeftover = false;
    bool isLasting = false;
    bool isRemote = false; // off the rack of its data, or in a colocated gang on several racks
    Duration tailTarget{0}; // tail latency target of a serving task
    RunState state = RunState::Ordered;
    TimePoint orderedAt;
    TimePoint answeredAt; // when the worker confirmed the start
    ports::WorkerMillis startDeadline = 0; // the worker rejects the start order after it
    int percent = 0;
    int adoptedPercent = 0; // when this leader first saw the run, if it did not order it
    TimePoint progressedAt; // last increase of percent
    TimePoint listedAt; // last listing that contains the run
    int pace = FullPace; // UnknownPace if the worker may apply another one than the last ordered
    bool isReduced = false; // see ReducedPace
    TimePoint paceChangedAt; // last change of pace
    Duration lostToPace{0}; // run time lost to paces below full speed, since the last run at full speed
    TimePoint lostToPaceUntil; // up to which it is counted
    bool mayPaceChangeLate = false; // a pace order got no answer and may be carried out after later ones
    std::int64_t level = 0; // see ports::ListedRun
    double smoothedLevel = 0; // moving average for a serving task, since measurements are noisy
    TimePoint withinTargetAt; // last time that a serving task was below its target
    TimePoint unansweredAt;
    bool mayRepeatStart = true; // the order may be sent once more
    bool wasStartRepeated = false;
    bool isRepeatUnderWay = false; // the repeated order has no answer yet
    bool isKnownEnded = false; // the worker refused the repeated order since it has ended or stopped the run
    TimePoint stopSentAt;
    TimePoint stopConfirmedAt; // the worker cannot start the run after this
    bool isListed = false; // the worker has listed it as running since the start was ordered
    bool isStopSent = false;
    bool isStopConfirmed = false;
    int crashCount = 0; // of workers under earlier runs of the task
    bool isVerified = false; // see ports::RunOrder::verifiesProcess

    // Returns whether only a listing can tell if the run exists: its start order failed, and no answer
    // and no listing has confirmed it since.
    bool isInDoubt() const
    {
        const bool wasConfirmed = isListed || (answeredAt != TimePoint() && !isKnownEnded);
        return unansweredAt != TimePoint() && !wasConfirmed;
    }
};

// A worker keeps its runs for this time without a renewal from the scheduler. A new leader
// must take over within it, and the tasks of an unreachable worker are started elsewhere
// only after it.
constexpr Duration RunLease = 6s;
// The lease of a worker that is about to leave, or has stayed longer than it announced. A
// renewal may fail and be repeated before it ends.
constexpr Duration DepartingRunLease = 3s;
// The platform shortens longer leases to this time.
constexpr Duration MaxRunLease = 10s;
// Validity of a start order: later the worker rejects it, so an unanswered order cannot
// start its task any more.
constexpr Duration StartValidity = 2500ms;
// Added to a lease's deadline before it is considered expired, for rounding on both sides.
constexpr ports::WorkerMillis LeaseMargin = 50;
// A run of a task under which a worker has crashed is suspect for this time from its start.
constexpr Duration CrashSuspicionTime = 10s;

// The scheduler's view of a worker process. Invariants:
//  - the resources of all runs that may be active there never exceed its capacity,
//  - a run is counted until the worker lists its end or its lease has certainly expired,
//  - nothing is started there before the worker has confirmed this scheduler's fence and
//    the stored roster, from which a new leader recovers, lists the worker,
//  - only the worker's own listing shows that it has restarted,
//  - what its entry tells belongs to one process: nothing is started on another one, which may be of
//    another kind, service or size.
//
// Not thread-safe: owned by the control thread.
class Worker
{
public:
    // `now` is when the entry was received.
    Worker(ports::WorkerEntry entry, TimePoint now);

    const ports::WorkerEntry &entry() const
    {
        return m_entry;
    }
    // Replaces the entry by a newer one, received at `now`.
    void setEntry(ports::WorkerEntry entry, TimePoint now);
    // Keeps an entry of another process than the one that answers, received at `now`, until that process
    // answers: its time of day may be behind that of the former one. Otherwise the entry is outdated.
    void keepEntry(ports::WorkerEntry entry, TimePoint now)
    {
        m_keptEntry = {std::move(entry), now};
    }
    // Returns whether the entry is of the process whose listing was received last.
    bool isDescribed() const
    {
        return m_entry.startTimeMs == m_startTimeMs;
    }
    // Returns when the process that answers leaves at the earliest, or nothing unless it has
    // announced that it drains.
    std::optional<TimePoint> departure() const;
    // Returns when the process whose listing was received last has started; 0 before the
    // first listing. The entry may tell of a process that has not answered yet.
    std::int64_t startTimeMs() const
    {
        return m_startTimeMs;
    }
    // Returns whether the entry tells of a later process than the last listing.
    bool isRestartAnnounced() const
    {
        return m_startTimeMs != 0 && m_entry.startTimeMs > m_startTimeMs;
    }
    void setStartTimeMs(std::int64_t startTimeMs)
    {
        m_startTimeMs = startTimeMs;
    }
    // Begins a new process: all that was learned of the former one is dropped, but for what the platform, the
    // stored rows and the leader's own row say of the identifier. A restarted worker runs nothing of before. Of the
    // orders sent to the former process it may have carried out some, and `clock` is a reading of its own: their
    // deadlines, which lie far ahead on it, may have given it the longest lease.
    void restart(std::int64_t startTimeMs, ports::WorkerMillis clock);

    // Returns whether the platform lists the worker.
    bool isListed() const
    {
        return m_isListed;
    }
    // Returns whether the stored roster lists the worker, so that a new leader knows that
    // tasks may run there.
    bool isRostered() const
    {
        return m_isRostered;
    }
    void setRostered(bool isRostered = true)
    {
        m_isRostered = isRostered;
    }
    // A draining worker may be closed: nothing is started there any more, and only these jobs may
    // have runs or unstored ends there. Empty if it is not closed.
    const std::optional<std::vector<jobs::JobKey>> &remainingJobs() const
    {
        return m_remainingJobs;
    }
    // Closes the worker with its present runs, or adds those that it has listed since. Returns
    // whether that changed anything.
    bool close();
    // Closes the worker with the jobs that a former leader has stored.
    void close(std::span<const jobs::JobKey> remainingJobs)
    {
        m_remainingJobs.emplace(remainingJobs.begin(), remainingJobs.end());
    }
    // Lets tasks be started again once a roster that says so is stored.
    void reopen()
    {
        m_remainingJobs.reset();
        m_isRostered = false;
    }
    // Returns whether the roster that was taken last for storing lists the worker.
    bool isOnTakenRoster() const
    {
        return m_isOnTakenRoster;
    }
    void setOnTakenRoster(bool isOnTakenRoster)
    {
        m_isOnTakenRoster = isOnTakenRoster;
    }
    // Last time that the worker's measurements were added to the interference model.
    TimePoint observedAt() const
    {
        return m_observedAt;
    }
    void setObservedAt(TimePoint now)
    {
        m_observedAt = now;
    }
    // Returns whether a serving task is over its target, in which case no task on leftover
    // cores may be added.
    bool hasTailViolation() const
    {
        return m_tailRatio >= 1;
    }
    // Returns the highest measured ratio of tail latency to target of the serving tasks.
    double tailRatio() const
    {
        return m_tailRatio;
    }
    void setTailRatio(double tailRatio)
    {
        m_tailRatio = tailRatio;
    }
    // Returns the images known to interfere with a serving task on the worker.
    const ImageSet &interferingImages() const
    {
        return m_interferingImages;
    }
    void setInterferingImages(const ImageSet &interferingImages)
    {
        m_interferingImages = interferingImages;
    }
    // Returns whether a listing was received since the last call, and resets the flag.
    bool consumeNewListing()
    {
        return std::exchange(m_hasNewListing, false);
    }
    // When a plan must look at the worker even if nothing has changed by then.
    std::optional<TimePoint> visitAt() const
    {
        return m_visitAt;
    }
    void setVisitAt(std::optional<TimePoint> visitAt)
    {
        m_visitAt = visitAt;
    }
    scheduling::PaceRegulator &paceRegulator()
    {
        return m_paceRegulator;
    }
    // Sets whether the worker's failure domain is evacuated, in which case it gets no new tasks.
    void setEvacuated(bool isEvacuated)
    {
        m_isEvacuated = isEvacuated;
    }
    void setListed(bool isListed)
    {
        m_isListed = isListed;
    }

    // Keeps new tasks away until the leadership was renewed by a write sent after `now`.
    void awaitTermRenewal(TimePoint now)
    {
        m_awaitsTermRenewalSince = now;
    }
    void noteTermRenewed(TimePoint sentAt)
    {
        if (m_awaitsTermRenewalSince && sentAt > *m_awaitsTermRenewalSince) {
            m_awaitsTermRenewalSince.reset();
        }
    }
    // Returns whether new tasks may be placed on the worker.
    bool isSchedulable(TimePoint now, bool ignoresSuspicion = false) const
    {
        return placementObstacle(now, ignoresSuspicion) == PlacementObstacle::None;
    }
    PlacementObstacle placementObstacle(TimePoint now, bool ignoresSuspicion = false) const;
    bool isConfirmed() const
    {
        return m_isConfirmed;
    }

    // Returns the resources available to tasks with cores of their own. Negative where the
    // capacity has shrunk to less than what is reserved.
    Resources freeResources() const;
    // Returns the resources available to tasks on leftover cores: unreserved ones, and
    // cores that serving tasks reserve and do not use.
    Resources freeLeftoverResources() const;
    // Returns the total leftover cores in milli-cores, whether in use or not.
    std::int64_t leftoverMilliCores() const
    {
        return leftoverCapacity().milliCores;
    }
    // Returns whether a task with `needs` fits into the available resources.
    bool fits(const Resources &needs, bool usesLeftover) const;
    // Returns whether a task on leftover cores has room as a reduced run. If `keepsHalf`, only while half of the
    // memory and of the accelerators is free, so that such runs leave room for others.
    bool fitsReduced(const Resources &needs, bool keepsHalf) const;
    int reducedRunCount() const;
    // Returns whether a reduced run may work at full pace, as each does at its start.
    bool hasUnpacedReducedRun() const;
    // Makes a reduced run one like the others.
    void endReduction(Run &run);

    int runsOfStep(const jobs::TaskId &task) const;
    // Returns whether a run of another step is suspect since at least `minCrashes` workers have
    // crashed under earlier runs of its task.
    bool hasCrashSuspect(const jobs::TaskId &task, int minCrashes, TimePoint now) const;
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

    // Sets the pace of a run in percent, or UnknownPace.
    void setPace(Run &run, int percent);

    void add(const Run &run);
    void remove(const jobs::TaskId &task);

    // Leases, in terms of the worker's own clock. They have certainly ended at `termEnd`. A worker
    // that drains gets none beyond its departure, except for DepartingRunLease.
    ports::WorkerMillis nextDeadline(TimePoint now, TimePoint termEnd = TimePoint::max());
    ports::WorkerMillis startDeadline(TimePoint now, TimePoint termEnd = TimePoint::max());
    bool hasLapsed(TimePoint now) const;
    // Returns an upper bound of the time for which the worker keeps what was ordered so far, on this
    // host's clock.
    Duration leaseRemaining(TimePoint now) const;
    bool isTooLateToStart(const Run &run, TimePoint now) const;

    // Called for each listing received from the worker.
    void noteContact(ports::WorkerMillis clock, TimePoint sentAt, TimePoint now);
    void noteSilence(TimePoint now);
    // Returns when the last answered renewal was sent.
    TimePoint contactSentAt() const
    {
        return m_contactSentAt;
    }
    bool isSilent() const
    {
        return m_isSilent;
    }
    // Sets whether the stored row of the leader may name the worker as silent. Until it does not,
    // no lease is extended and nothing is started on the worker.
    void setNamedSilent(bool isNamedSilent)
    {
        m_isNamedSilent = isNamedSilent;
    }
    bool isNamedSilent() const
    {
        return m_isNamedSilent;
    }
    // Returns when the worker stopped answering; `now` if it answers.
    TimePoint heardUntil(TimePoint now) const
    {
        return m_isSilent ? m_silentSince : now;
    }
    // Returns whether the process whose listing was received last has announced that it leaves.
    bool hasAnnouncedLeaving() const
    {
        return m_startTimeMs != 0 && m_leavingStartTimeMs == m_startTimeMs;
    }
    // Returns the process whose listing was received last.
    Process process() const
    {
        return {m_entry.id, m_entry.address, m_startTimeMs};
    }
    // Returns the runs that the worker's process had confirmed, or may have begun without an answer,
    // and what shows that they existed. One that this leader did not order counts as older than
    // LastingTrialTime: how long it ran is not known.
    std::vector<LostRun> possibleRuns(TimePoint now) const;

    // Numbers of the last end that was processed and of the last one that the worker need
    // not list again.
    std::int64_t processedEnd() const
    {
        return m_processedEnd;
    }
    void setProcessedEnd(std::int64_t number)
    {
        m_processedEnd = number;
    }
    // Keeps an end, and with it all later ones, from being acknowledged until releaseEnd().
    void holdEnd(std::int64_t number)
    {
        m_heldEnds.insert(number);
    }
    void releaseEnd(std::int64_t number)
    {
        m_heldEnds.erase(number);
    }
    // Number of the last end that may be acknowledged once its effects are stored.
    std::int64_t acknowledgeableEnd() const
    {
        return m_heldEnds.empty() ? m_processedEnd : *m_heldEnds.begin() - 1;
    }
    std::int64_t acknowledgedEnd() const
    {
        return m_acknowledgedEnd;
    }
    void acknowledge(std::int64_t number);

    // An additional listing, which is asked for while runs are in doubt.
    bool isQueryDue(TimePoint now) const
    {
        return !m_isQueryUnderWay && now >= m_queryDueAt;
    }
    void noteQuerySent()
    {
        m_isQueryUnderWay = true;
    }
    // Another one is sent no sooner than at `nextAt`.
    void noteQueryEnded(TimePoint nextAt)
    {
        m_isQueryUnderWay = false;
        m_queryDueAt = nextAt;
    }

    // Health tracking from the answers to orders. A worker that answers listings may still leave
    // orders without an answer, for instance if it accepts no new connections.
    void noteOrderAnswered();
    void noteOrderUnanswered(TimePoint now);

    // Health tracking from the outcomes of runs.
    void noteDone(TimePoint now);
    void noteFailure(TimePoint now);
    void noteUnhealthy(TimePoint now);
    // Returns whether recent runs failed so often that only one trial task at a time is
    // allowed.
    bool isSuspect() const
    {
        return m_consecutiveFailures >= SuspectFailureCount;
    }
    // Returns whether it is suspect and has failed a task lately.
    bool isUnderSuspicion(TimePoint now) const;

private:
    Resources unreservedResources() const;
    Resources leftoverCapacity() const;

    static constexpr int SuspectFailureCount = 2; // consecutive failures, of any tasks

    struct KeptEntry
    {
        ports::WorkerEntry entry;
        TimePoint receivedAt;
    };

    ports::WorkerEntry m_entry;
    std::optional<KeptEntry> m_keptEntry;
    std::int64_t m_startTimeMs = 0;
    std::optional<TimePoint> m_departure; // announced by m_entry
    std::int64_t m_leavingStartTimeMs = 0; // of the last process that announced that it leaves
    WorkerClock m_clock;
    std::vector<Run> m_runs;
    std::optional<std::vector<jobs::JobKey>> m_remainingJobs;
    int m_crashSuspects = 0; // runs with a crashCount, of any age
    Resources m_reserved; // by runs with cores of their own
    std::int64_t m_servingMilliCores = 0; // the part of m_reserved of lasting runs
    int m_runsOfUnknownNeeds = 0; // each may use everything that no other run reserves
    Resources m_leftoverReserved; // by runs on leftover cores, whose cores are scaled by pace
    ports::WorkerMillis m_deadline = 0; // of all leases granted so far, by any leader
    std::int64_t m_processedEnd = 0;
    std::int64_t m_acknowledgedEnd = 0;
    std::set<std::int64_t> m_heldEnds;
    TimePoint m_contactSentAt;
    TimePoint m_silentSince;
    bool m_isNamedSilent = false;
    TimePoint m_observedAt;
    std::optional<TimePoint> m_visitAt;
    TimePoint m_unschedulableUntil;
    TimePoint m_suspectUntil; // gets no trial task before
    std::optional<TimePoint> m_awaitsTermRenewalSince;
    TimePoint m_lastFailureAt;
    int m_consecutiveFailures = 0;
    TimePoint m_lastUnansweredAt;
    TimePoint m_unansweredUntil; // no new tasks before
    int m_unansweredOrders = 0; // one after the other
    TimePoint m_queryDueAt;
    bool m_isQueryUnderWay = false;
    scheduling::PaceRegulator m_paceRegulator;
    ImageSet m_interferingImages;
    double m_tailRatio = 0;
    bool m_isListed = true;
    bool m_isRostered = false;
    bool m_isOnTakenRoster = false;
    bool m_isEvacuated = false;
    bool m_isConfirmed = false;
    bool m_isSilent = false;
    bool m_hasNewListing = false;
};

} // namespace monsoonspool::workers
