#pragma once

#include "execution/endedjobremover.h"
#include "execution/fleet.h"
#include "execution/leaderload.h"
#include "execution/rowcodec.h"
#include "execution/tombstoneremover.h"
#include "membership/evacuations.h"
#include "ports/changestore.h"
#include "ports/registry.h"
#include "ports/scheduler.h"
#include "ports/workerlink.h"
#include "workers/worker.h"

#include <functional>
#include <memory>
#include <optional>

namespace monsoonspool::execution {

// External dependencies of job execution.
struct ExecutionPorts
{
    ports::ChangeStore &store;
    ports::WorkerLink &workers;
    ports::Scheduler &scheduler;
    const ports::Registry &registry;
    const RowCodec &codec;
    DecisionLog &log;
    std::function<jobs::WallTime()> wallNow;
    // Returns the processor time that the control thread has used; only reported.
    std::function<Duration()> processorTime = [] { return Duration(0); };
};

// The longest time, on a host's clock, for which a worker keeps a lease.
inline constexpr Duration LongestLease
    = std::chrono::duration_cast<Duration>(workers::RunLease * (1 + ports::MaxClockDrift));

// Initial state of a leadership term.
struct LeaderTermStart
{
    Epoch fence;
    std::uint64_t claimVersion = 0;
    std::vector<ports::StoredRow> roster; // as stored by the former leader
    std::vector<jobs::QueuePolicy> queues;
    TimePoint formersDecideUntil; // see membership::Leadership
    std::vector<membership::SilentWorker> silentWorkers; // of the claimed row, from the term's begin
    std::optional<scheduling::MoveCost> moveCost = {}; // see ExecutionOptions
    std::optional<membership::Evacuations> evacuations = {}; // as read so far; none are followed if it is unset
    std::optional<double> remoteRunTimeFactor = {}; // see Fleet
    std::size_t jobMemoryLimit = DefaultJobMemoryLimit; // in bytes; see Fleet
};

// One leadership term of this host: loads the stored state, watches jobs and workers,
// plans, and stores progress until it is destroyed.
//
// Used only on the control thread.
class LeaderTerm
{
public:
    struct Hooks
    {
        std::function<void()> onFenced; // another host has a higher fence
        std::function<bool()> mayDecide;
    };

    LeaderTerm(ExecutionPorts ports, LeaderTermStart start, Hooks hooks);
    ~LeaderTerm();
    LeaderTerm(const LeaderTerm &) = delete;
    LeaderTerm &operator=(const LeaderTerm &) = delete;

    void setQueues(std::span<const jobs::QueuePolicy> queues);
    // Replaces the evacuated failure domains.
    void setEvacuations(const membership::Evacuations &evacuations);
    // Records that the leadership was renewed by a write that was sent at `sentAt`, and lasts
    // until `termEnd`.
    void noteRenewed(TimePoint sentAt, TimePoint termEnd);
    // Records that the former leader has reported its end and that the leases of all leaders before
    // this one end at `time`.
    void noteFormersEnd(TimePoint time);
    // The same after the witnesses have shown that these leaders are not supported any more.
    void noteFormersUnsupported(TimePoint time);
    // See Fleet.
    std::vector<membership::SilentWorker> takeSilentWorkers(TimePoint now, Duration minSilence);
    void markSilentWorkersStored();
    bool awaitsRowRenewal(TimePoint now) const;
    membership::WitnessAnswers witnessAnswers(std::span<const membership::Witness> witnesses) const;
    std::vector<membership::WitnessCandidate> witnessCandidates() const;
    void setWitnesses(std::span<const membership::Witness> witnesses);
    // Returns when all leases of this and former leaders have ended if the term ends now.
    TimePoint leasesEnd() const;
    // Returns the number of jobs per queue that have not started; complete only once
    // isLoaded().
    membership::WaitingCounts waitingCounts(TimePoint now) const;
    // Returns whether all stored jobs and their progress have been read.
    bool isLoaded() const;
    // See Fleet.
    std::vector<std::string> fullQueues(std::size_t most) const;
    FleetCounts counts() const;
    LeaderLoad load() const;
    // Returns the tombstones known; complete only once isLoaded().
    EndedJobCounts endedJobs() const;
    TombstoneCounts tombstones() const;
    // Returns whether the control thread runs late although it starts as little as possible.
    bool isOverloaded() const;

private:
    struct Private;
    std::shared_ptr<Private> d;
};

} // namespace monsoonspool::execution
